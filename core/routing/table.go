package routing

import (
	"net"
	"strings"
)

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	config *Config
	// hosts holds the routes by host, in lower case, and path prefix.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// workspaces holds the workspaces by their keys, and names their names.
	workspaces map[KeyDigest]*Workspace
	names      map[string]bool
}

// NewTable returns the table of a valid configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(c.Services)),

		workspaces: make(map[KeyDigest]*Workspace),
		names:      make(map[string]bool, len(c.Workspaces)),
	}
	for n := range c.Routes {
		r := &c.Routes[n]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
	}
	for n := range c.Services {
		t.services[c.Services[n].Name] = &c.Services[n]
	}
	for n := range c.Workspaces {
		w := &c.Workspaces[n]
		t.names[w.Name] = true
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// RequiresKeys reports whether requests of routes that are not public must carry a key of a workspace.
func (t *Table) RequiresKeys() bool {
	return len(t.config.Workspaces) > 0
}

// WorkspaceOf returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceOf(key KeyDigest) *Workspace {
	return t.workspaces[key]
}

// HasWorkspace reports whether there is a workspace with the given name.
func (t *Table) HasWorkspace(name string) bool {
	return t.names[name]
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Config returns the configuration that the table was built from. It must not be changed.
func (t *Table) Config() *Config {
	return t.config
}

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Match returns the route of the host with the longest prefix of the path, or nil. It ignores a port in host.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Pick selects one of the route's services by weight. The argument draw must be a random number from [0, 1). If
// all weights are 0, it selects the last service.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		if rest -= float64(t.Weight); rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
