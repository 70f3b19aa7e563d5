package routing

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines whether its requests may run more than once and whether they are large.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Download requests are safe and have large responses.
	Download Kind = "download"
	// Upload requests are unsafe and have large bodies.
	Upload Kind = "upload"
)

// Known reports whether the kind is one of those above. Requests of any other kind are treated as unsafe.
func (k Kind) Known() bool {
	return k == Safe || k == Unsafe || k == Download || k == Upload
}

// Large reports whether requests of the kind move many bytes in one direction.
func (k Kind) Large() bool {
	return k == Download || k == Upload
}

// Repeatable reports whether requests of the kind may run more than once.
func (k Kind) Repeatable() bool {
	return k == Safe || k == Download
}

// Target is one of the services to which the requests of a route are sent.
type Target struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the share of the route's requests that the service receives, relative to the sum of all weights.
	Weight int `json:"weight"`
}

// Route is a rule for the requests of one host below one path prefix.
type Route struct {
	// Name identifies the route in a Delta.
	Name string `json:"name"`
	// Host is the host name of the requests, without a port. Upper and lower case are equivalent.
	Host string `json:"host"`
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the time within which a request must be answered.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which the caller should receive the response. A later response is of less use to it.
	TargetLatency time.Duration `json:"target_latency"`
	// Attempts is the largest number of endpoints that one request may be sent to.
	Attempts int `json:"attempts"`
	// Priority orders the requests of the routes to a service; 0 is the highest priority.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// Public routes serve requests without a key of a workspace.
	Public bool `json:"public,omitempty"`
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check of the service's endpoints.
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that an endpoint accepts from all nodes together.
	MaxConnections int `json:"max_connections"`
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of the header and of the body of a request, in bytes.
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// HeaderTimeout is the longest time for receiving the header of a request.
	HeaderTimeout time.Duration `json:"header_timeout"`
	// IdleTimeout is the longest time for which a connection may be idle.
	IdleTimeout time.Duration `json:"idle_timeout"`
}

// Config is one version of the published configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Workspaces are the customers. If there are any, requests of routes that are not public must carry a key.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Limits     Limits      `json:"limits"`
}

// Validate checks a configuration and returns all problems as one error. Each problem names the path of its field.
func (c *Config) Validate() error {
	var problems []error
	report := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	report(c.Version > 0, "version: must be above 0")
	services := make(map[string]bool, len(c.Services))
	for n, s := range c.Services {
		report(s.Name != "", "services[%d].name: is missing", n)
		report(!services[s.Name], "services[%d].name: %q occurs twice", n, s.Name)
		services[s.Name] = true
	}
	for n := range c.Routes {
		c.Routes[n].validate(fmt.Sprintf("routes[%d]", n), services, report)
	}
	c.validateWorkspaces(report)
	return errors.Join(problems...)
}

// UnknownValues describes the values of a valid configuration that this release does not know, each with the path of its
// field and how it is treated. Validate does not reject them, so that a value that a later release introduces does not make
// all nodes reject the configuration; the safest meaning is assumed instead.
func (c *Config) UnknownValues() []string {
	var list []string
	for n := range c.Routes {
		if kind := c.Routes[n].Kind; !kind.Known() {
			list = append(list, fmt.Sprintf("routes[%d].kind: %q is not known, requests run at most once", n, kind))
		}
	}
	return list
}

func (r *Route) validate(path string, services map[string]bool, report func(ok bool, format string, args ...any)) {
	report(r.Host != "", "%s.host: is missing", path)
	report(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "%s.prefix: %q does not begin and end with a slash", path, r.Prefix)
	report(r.Kind != "", "%s.kind: is missing", path)
	report(r.Timeout > 0, "%s.timeout: must be above 0", path)
	report(r.Attempts > 0, "%s.attempts: must be above 0", path)
	report(len(r.Targets) > 0, "%s.targets: has no service", path)
	for n, t := range r.Targets {
		report(services[t.Service], "%s.targets[%d].service: %q is not a service", path, n, t.Service)
		report(t.Weight >= 0, "%s.targets[%d].weight: is negative", path, n)
	}
}
