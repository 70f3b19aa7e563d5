package config

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
)

// Snapshot is an indexed, immutable view of a checked document. The services and routes that its methods return have all
// defaults filled in; Document returns them without.
type Snapshot struct {
	document      *Document
	digest        string
	size          int
	hosts         map[string]*Host
	services      map[string]*Service
	endpoints     map[string]EndpointRef
	byHost        map[string][]EndpointRef
	routes        map[string][]*Route
	prefixLengths []int
}

// EndpointRef is an endpoint with the service and the host that it belongs to.
type EndpointRef struct {
	*Endpoint
	Service *Service
	HostRef *Host
}

// NewSnapshot indexes a document that has passed Validate. The document must not be changed afterwards.
func NewSnapshot(document *Document, digest string) *Snapshot {
	document = Normalize(document)
	s := &Snapshot{
		document:  document,
		digest:    digest,
		hosts:     make(map[string]*Host, len(document.Hosts)),
		services:  make(map[string]*Service, len(document.Services)),
		endpoints: make(map[string]EndpointRef, countEndpoints(document)),
		byHost:    make(map[string][]EndpointRef, len(document.Hosts)),
		routes:    make(map[string][]*Route, len(document.Routes)),
	}
	for i := range document.Hosts {
		s.hosts[document.Hosts[i].ID] = &document.Hosts[i]
	}
	for i := range document.Services {
		s.addService(document.Services[i].WithDefaults())
	}
	for i := range document.Routes {
		s.addRoute(document.Routes[i].WithDefaults())
	}
	slices.SortFunc(s.prefixLengths, func(a, b int) int { return cmp.Compare(b, a) })
	return s
}

// Version returns the version of the document.
func (s *Snapshot) Version() Version { return s.document.Version }

// Digest returns the digest of the document.
func (s *Snapshot) Digest() string { return s.digest }

// Size returns the length of the canonical JSON in bytes. It is zero if the snapshot was created by NewSnapshot.
func (s *Snapshot) Size() int { return s.size }

// Document returns the document in canonical order, without defaults filled in. It must not be changed.
func (s *Snapshot) Document() *Document { return s.document }

// Host returns the host with the given id, or nil.
func (s *Snapshot) Host(id string) *Host { return s.hosts[id] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Workspace returns the workspace with the given id, or nil. It searches the ordered list: a map of 320,000 workspaces
// would need half as much memory as the workspaces themselves.
func (s *Snapshot) Workspace(id string) *Workspace {
	list := s.document.Workspaces
	i, found := slices.BinarySearchFunc(list, id, func(w Workspace, id string) int { return strings.Compare(w.ID, id) })
	if !found {
		return nil
	}
	return &list[i]
}

// Endpoint returns the endpoint with the given id.
func (s *Snapshot) Endpoint(id string) (EndpointRef, bool) {
	ref, ok := s.endpoints[id]
	return ref, ok
}

// EndpointsOn returns the endpoints owned by a host.
func (s *Snapshot) EndpointsOn(host string) []EndpointRef { return s.byHost[host] }

// Route returns the route with the longest prefix of path that accepts the method. If a prefix matches but no method
// does, the route is nil and pathKnown is true.
func (s *Snapshot) Route(method, path string) (route *Route, pathKnown bool) {
	for _, length := range s.prefixLengths {
		if length > len(path) {
			continue
		}
		prefix := path[:length]
		if !isSegmentBoundary(path, length) {
			continue
		}
		for _, candidate := range s.routes[prefix] {
			pathKnown = true
			if candidate.Accepts(method) {
				return candidate, true
			}
		}
	}
	return nil, pathKnown
}

// Accepts reports whether the route takes the method. A route without methods takes all.
func (r *Route) Accepts(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// IngressAddress returns the address at which callers reach the host's node.
func (h *Host) IngressAddress() string { return hostPort(h.Address, h.IngressPort) }

// HopAddress returns the address at which the host's node accepts requests that other nodes forward.
func (h *Host) HopAddress() string { return hostPort(h.Address, h.HopPort) }

// PeerAddress returns the address at which the host's node accepts the peer protocol.
func (h *Host) PeerAddress() string { return hostPort(h.Address, h.PeerPort) }

// isSegmentBoundary reports whether a prefix of the given length ends at a path segment of path.
func isSegmentBoundary(path string, length int) bool {
	return length == len(path) || path[length] == '/' || strings.HasSuffix(path[:length], "/")
}

func (s *Snapshot) addService(service *Service) {
	s.services[service.Name] = service
	for i := range service.Endpoints {
		endpoint := &service.Endpoints[i]
		ref := EndpointRef{Endpoint: endpoint, Service: service, HostRef: s.hosts[endpoint.Host]}
		s.endpoints[endpoint.ID] = ref
		s.byHost[endpoint.Host] = append(s.byHost[endpoint.Host], ref)
	}
}

func (s *Snapshot) addRoute(route *Route) {
	length := len(route.PathPrefix)
	if !slices.Contains(s.prefixLengths, length) {
		s.prefixLengths = append(s.prefixLengths, length)
	}
	s.routes[route.PathPrefix] = append(s.routes[route.PathPrefix], route)
}

func countEndpoints(document *Document) int {
	count := 0
	for i := range document.Services {
		count += len(document.Services[i].Endpoints)
	}
	return count
}

func hostPort(address string, port int) string {
	return net.JoinHostPort(address, strconv.Itoa(port))
}
