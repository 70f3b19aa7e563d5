// Package operator is the library with which operators describe a fleet in Go and build the configuration document
// that they publish.
//
// A program describes the whole fleet each time it runs and passes in the document that was published last:
//
//	fleet := operator.New(previous)
//	fleet.Host("h1", "10.0.0.1").Zone("z1")
//	desk := fleet.Service("order-desk").Floor(70)
//	desk.Endpoint("order-1", "h1").Slots(3)
//	fleet.Route("charge", "/charges").To("order-desk").Methods("POST").NonRepeatable().RequireKey()
//	document, err := fleet.Build()
//
// Build raises the version, keeps the recorders of idempotency keys from version to version, and checks the result.
package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"agatepulley.example/agatepulley/pkg/config"
)

// Ports of hosts that set none.
const (
	DefaultIngressPort = 7000
	DefaultHopPort     = 7001
	DefaultPeerPort    = 7002
)

// Fleet collects the description of a fleet. It is not safe for concurrent use.
type Fleet struct {
	previous   *config.Document
	epoch      uint64
	now        time.Time
	published  map[string]time.Time
	hosts      []*Host
	services   []*Service
	routes     []*Route
	workspaces []*Workspace
	errs       []error
}

// New starts the description of a fleet. The argument is the document published last, or nil if there is none.
func New(previous *config.Document) *Fleet {
	return &Fleet{previous: previous, now: time.Now(), published: make(map[string]time.Time)}
}

// Epoch sets the epoch of the version. It must not be lower than that of the previous document. A higher epoch starts
// a new sequence, for example after the previous document was lost.
func (f *Fleet) Epoch(epoch uint64) *Fleet {
	f.epoch = epoch
	return f
}

// Now replaces the current time, against which published times are compared.
func (f *Fleet) Now(now time.Time) *Fleet {
	f.now = now
	return f
}

// RecordersPublished states when the document that last changed the recorders of a service was published. Without it,
// a group that has a previous group is never changed again.
func (f *Fleet) RecordersPublished(service string, published time.Time) *Fleet {
	f.published[service] = published
	return f
}

// Host adds a host with its IP address.
func (f *Fleet) Host(id, address string) *Host {
	host := &Host{entry: config.Host{
		ID: id, Address: address,
		IngressPort: DefaultIngressPort, HopPort: DefaultHopPort, PeerPort: DefaultPeerPort,
	}}
	f.hosts = append(f.hosts, host)
	return host
}

// Service adds a service.
func (f *Fleet) Service(name string) *Service {
	service := &Service{fleet: f, entry: config.Service{Name: name}}
	f.services = append(f.services, service)
	return service
}

// Route adds a route for a path prefix. It is non-repeatable unless Repeatable is called.
func (f *Fleet) Route(id, pathPrefix string) *Route {
	route := &Route{fleet: f, entry: config.Route{ID: id, PathPrefix: pathPrefix}}
	f.routes = append(f.routes, route)
	return route
}

// Workspace adds a tenant of callers.
func (f *Fleet) Workspace(id string) *Workspace {
	workspace := &Workspace{entry: config.Workspace{ID: id}}
	f.workspaces = append(f.workspaces, workspace)
	return workspace
}

// DrainHost takes a host out of service without interrupting its requests.
func (f *Fleet) DrainHost(id string) *Fleet {
	for _, host := range f.hosts {
		if host.entry.ID == id {
			host.entry.Draining = true
			return f
		}
	}
	f.errs = append(f.errs, fmt.Errorf("drain host %q: no such host", id))
	return f
}

// DrainEndpoint takes an endpoint out of service without interrupting its requests.
func (f *Fleet) DrainEndpoint(id string) *Fleet {
	for _, service := range f.services {
		for _, endpoint := range service.endpoints {
			if endpoint.entry.ID == id {
				endpoint.entry.Draining = true
				return f
			}
		}
	}
	f.errs = append(f.errs, fmt.Errorf("drain endpoint %q: no such endpoint", id))
	return f
}

// Build returns the checked document with the next version. The error lists everything that is wrong.
//
// Recorders follow the hosts of their service: up to five, an odd number, spread over the zones. A changed group lists
// the previous one. Until two claim windows have passed after that, the group stays as it is, and removing one of its
// hosts is an error of type *RecorderError.
func (f *Fleet) Build() (*config.Document, error) {
	errs := append([]error(nil), f.errs...)
	version, err := f.nextVersion()
	if err != nil {
		errs = append(errs, err)
	}
	document := f.assemble(version)
	chooser := newChooser(f, document)
	for i := range document.Services {
		if err := chooser.choose(&document.Services[i]); err != nil {
			errs = append(errs, err)
		}
	}
	if err := config.Validate(document); err != nil {
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("build document: %w", errors.Join(errs...))
	}
	return config.Normalize(document), nil
}

// Write writes the canonical document, as it is published, and a line feed.
func Write(w io.Writer, document *config.Document) error {
	if err := config.WriteCanonical(w, document); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\n")
	return err
}

// ReadFile reads and checks the document published last from a file.
func ReadFile(name string) (*config.Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	snapshot, err := config.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("read document %s: %w", name, err)
	}
	return snapshot.Document(), nil
}

func (f *Fleet) nextVersion() (config.Version, error) {
	if f.previous == nil {
		return config.Version{Epoch: max(f.epoch, 1), Sequence: 1}, nil
	}
	last := f.previous.Version
	switch {
	case f.epoch > last.Epoch:
		return config.Version{Epoch: f.epoch, Sequence: 1}, nil
	case f.epoch != 0 && f.epoch < last.Epoch:
		return last, fmt.Errorf("epoch %d is lower than epoch %d of the previous document", f.epoch, last.Epoch)
	default:
		return config.Version{Epoch: last.Epoch, Sequence: last.Sequence + 1}, nil
	}
}

func (f *Fleet) assemble(version config.Version) *config.Document {
	document := &config.Document{Format: config.Format, Version: version}
	for _, host := range f.hosts {
		document.Hosts = append(document.Hosts, host.entry)
	}
	for _, service := range f.services {
		entry := service.entry
		for _, endpoint := range service.endpoints {
			entry.Endpoints = append(entry.Endpoints, endpoint.entry)
		}
		document.Services = append(document.Services, entry)
	}
	for _, route := range f.routes {
		document.Routes = append(document.Routes, route.entry)
	}
	for _, workspace := range f.workspaces {
		document.Workspaces = append(document.Workspaces, workspace.entry)
	}
	return document
}

// millis converts a duration to milliseconds. A duration that is no whole number of them is reported, because it would
// be cut without notice.
func (f *Fleet) millis(what string, d time.Duration) int {
	if d%time.Millisecond != 0 {
		f.errs = append(f.errs, fmt.Errorf("%s: %v is not a whole number of milliseconds", what, d))
	}
	return int(d / time.Millisecond)
}
