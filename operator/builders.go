package operator

import (
	"time"

	"agatepulley.example/agatepulley/pkg/config"
)

// Host describes a host.
type Host struct {
	entry config.Host
}

// Zone sets the availability zone.
func (h *Host) Zone(zone string) *Host {
	h.entry.Zone = zone
	return h
}

// Region sets the region.
func (h *Host) Region(region string) *Host {
	h.entry.Region = region
	return h
}

// Ports sets the ports of the node's listeners for callers, for the inner hop and for peers.
func (h *Host) Ports(ingress, hop, peer int) *Host {
	h.entry.IngressPort = ingress
	h.entry.HopPort = hop
	h.entry.PeerPort = peer
	return h
}

// Drain takes the host out of service without interrupting its requests.
func (h *Host) Drain() *Host {
	h.entry.Draining = true
	return h
}

// Service describes a service and its endpoints.
type Service struct {
	fleet     *Fleet
	entry     config.Service
	endpoints []*Endpoint
}

// Floor sets the share of the service's slots, in percent, that ejections must leave in place.
func (s *Service) Floor(percent int) *Service {
	s.entry.FloorPercent = percent
	return s
}

// ClaimWindow sets the time for which an idempotency key suppresses duplicates.
func (s *Service) ClaimWindow(window time.Duration) *Service {
	s.entry.Claims.WindowMS = s.fleet.millis("claim window of service "+s.entry.Name, window)
	return s
}

// Health replaces the settings of the detection of failing endpoints.
func (s *Service) Health(settings config.HealthSettings) *Service {
	s.entry.Health = settings
	return s
}

// Admission replaces the settings of the owners' queues.
func (s *Service) Admission(settings config.AdmissionSettings) *Service {
	s.entry.Admission = settings
	return s
}

// Retry replaces the settings of retries.
func (s *Service) Retry(settings config.RetrySettings) *Service {
	s.entry.Retry = settings
	return s
}

// Balance replaces the settings of the choice of an endpoint.
func (s *Service) Balance(settings config.BalanceSettings) *Service {
	s.entry.Balance = settings
	return s
}

// Quarantine replaces the settings of the containment of requests that crash backend servers.
func (s *Service) Quarantine(settings config.QuarantineSettings) *Service {
	s.entry.Quarantine = settings
	return s
}

// Endpoint adds a backend server on a host. It has one slot unless Slots is called.
func (s *Service) Endpoint(id, host string) *Endpoint {
	endpoint := &Endpoint{entry: config.Endpoint{ID: id, Host: host, Slots: 1}}
	s.endpoints = append(s.endpoints, endpoint)
	return endpoint
}

// EndpointOnEach adds one endpoint on each host, with the id PREFIX-HOST and the given number of slots.
func (s *Service) EndpointOnEach(prefix string, slots int, hosts ...string) *Service {
	for _, host := range hosts {
		s.Endpoint(prefix+"-"+host, host).Slots(slots)
	}
	return s
}

// Endpoint describes one backend server.
type Endpoint struct {
	entry config.Endpoint
}

// Slots sets the number of requests that the backend server runs at a time.
func (e *Endpoint) Slots(slots int) *Endpoint {
	e.entry.Slots = slots
	return e
}

// Drain takes the endpoint out of service without interrupting its requests.
func (e *Endpoint) Drain() *Endpoint {
	e.entry.Draining = true
	return e
}

// Route describes which requests go to a service.
type Route struct {
	fleet *Fleet
	entry config.Route
}

// To sets the service.
func (r *Route) To(service string) *Route {
	r.entry.Service = service
	return r
}

// Methods restricts the route to the given request methods.
func (r *Route) Methods(methods ...string) *Route {
	r.entry.Methods = methods
	return r
}

// Repeatable states that running a request more than once is harmless, so that it may be retried.
func (r *Route) Repeatable() *Route {
	r.entry.Repeatable = true
	return r
}

// NonRepeatable states that a request must run at most once, such as a charge or a booking.
func (r *Route) NonRepeatable() *Route {
	r.entry.Repeatable = false
	return r
}

// RequireKey rejects requests without an idempotency key.
func (r *Route) RequireKey() *Route {
	r.entry.KeyRequired = true
	return r
}

// RequireWorkspace rejects requests that name no workspace.
func (r *Route) RequireWorkspace() *Route {
	r.entry.WorkspaceRequired = true
	return r
}

// Deadline sets the time within which a request is answered or rejected.
func (r *Route) Deadline(deadline time.Duration) *Route {
	r.entry.DeadlineMS = r.fleet.millis("deadline of route "+r.entry.ID, deadline)
	return r
}

// MaxBody sets the largest accepted request body in bytes.
func (r *Route) MaxBody(bytes int64) *Route {
	r.entry.MaxBodyBytes = bytes
	return r
}

// Short states that requests are usually quick.
func (r *Route) Short() *Route {
	r.entry.Class = config.ClassShort
	return r
}

// Long states that requests usually take long, such as downloads.
func (r *Route) Long() *Route {
	r.entry.Class = config.ClassLong
	return r
}

// Workspace describes a tenant of callers.
type Workspace struct {
	entry config.Workspace
}

// MaxInFlight limits the tenant's requests in flight at one ingress.
func (w *Workspace) MaxInFlight(limit int) *Workspace {
	w.entry.MaxInFlight = limit
	return w
}
