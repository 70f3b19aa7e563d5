package member

import (
	"errors"
	"slices"
	"strings"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// Readiness implements admin.ReadinessSource.
func (m *Member) Readiness() admin.Readiness {
	if state := m.life.State(); state != lifecycle.Serving {
		return admin.Readiness{Reason: string(state)}
	}
	return admin.Readiness{Ready: true}
}

// Status implements admin.StatusSource.
func (m *Member) Status() admin.Status {
	s := m.settings.Load()
	summary := m.discovery.Summary()
	status := admin.Status{
		Node: admin.NodeStatus{
			Host: s.Name, Zone: s.Zone, Region: s.Region, Incarnation: m.incarnation, State: string(m.life.State()),
			StartedAt: m.started, InFlight: m.inFlight(),
		},
		Configuration: admin.ConfigurationStatus{
			Version: configstate.Version{Sequence: summary.ConfigVersion}, Source: "store", ReadAgeSeconds: summary.StoreContactAge.Seconds(),
		},
	}
	view := m.discovery.View()
	for name, endpoints := range view.ByService {
		status.Services = append(status.Services, m.serviceStatus(name, endpoints))
	}
	slices.SortFunc(status.Services, func(a, b admin.ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range view.ByHost[s.IP] {
		owned := admin.OwnedStatus{
			ID: e.ID, Service: e.Service, Address: e.Address, State: phase(e, m.announcements.State(e.ID)), Slots: e.Slots,
		}
		if r, ok := m.dispatcher.Report(e.ID); ok {
			owned.Busy, owned.Queued = r.Busy, r.Queued
		}
		status.Owned = append(status.Owned, owned)
	}
	for _, suspect := range m.suspects.List() {
		status.Suspects = append(status.Suspects, admin.SuspectStatus{
			Fingerprint: suspect.Fingerprint, Service: suspect.Service, Action: suspect.Action.String(), Crashed: suspect.Crashed,
		})
	}
	return status
}

func (m *Member) serviceStatus(name string, endpoints []*registry.Endpoint) admin.ServiceStatus {
	status := admin.ServiceStatus{Name: name}
	for _, e := range endpoints {
		announced := m.announcements.State(e.ID)
		entry := admin.EndpointStatus{
			ID: e.ID, Host: registry.HostIP(e.Address), Zone: e.Zone, State: phase(e, announced), Slots: e.Slots,
		}
		if announced.Limited {
			entry.Limit = &announced.Limit
		}
		if known, ok := m.reports.Endpoint(e.ID); ok {
			entry.InFlight = known.Busy + known.Queued
			entry.Load = float64(entry.InFlight) / float64(max(e.Slots, 1))
		}
		status.Endpoints = append(status.Endpoints, entry)
	}
	return status
}

// phase returns the state of an endpoint as shown in the status.
func phase(e *registry.Endpoint, announced announce.State) string {
	switch {
	case e.Draining:
		return "draining"
	case announced.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

// observeMetrics registers the metrics whose values are read from the services of the node.
func (m *Member) observeMetrics() error {
	metrics := m.telemetry.Metrics()
	return errors.Join(
		metrics.ObserveConfig(func() telemetry.ConfigState {
			summary := m.discovery.Summary()
			return telemetry.ConfigState{Sequence: summary.ConfigVersion, Age: max(summary.StoreContactAge, 0)}
		}),
		metrics.ObserveDecisionsDropped(m.decisions.Dropped),
		metrics.ObserveGauge("agatepulley_fleet_nodes", "Live nodes that this one knows, itself included.", func() float64 {
			return float64(m.reports.Nodes())
		}),
		metrics.ObserveGauge("agatepulley_configuration_unknown_values", "Values of the configuration in force that this release does not know.", func() float64 {
			return float64(m.discovery.UnknownValues())
		}),
		metrics.ObserveGauge("agatepulley_quarantined_requests", "Fingerprints of requests that are refused because they crash endpoints.", func() float64 {
			return float64(m.suspects.Refused())
		}),
		metrics.ObserveGauge("agatepulley_limited_endpoints", "Endpoints that limit the rate of their requests by an announcement in their responses.", func() float64 {
			limited, _ := m.announcements.Counts()
			return float64(limited)
		}),
		metrics.ObserveGauge("agatepulley_leaving_endpoints", "Endpoints that have announced in their responses that they are leaving.", func() float64 {
			_, leaving := m.announcements.Counts()
			return float64(leaving)
		}),
		metrics.ObserveGauge("agatepulley_refused_heads", "Request heads that were refused because they were malformed, too large or left no memory.", func() float64 {
			return float64(m.callers.Refused() + m.hops.Refused())
		}),
		metrics.ObserveGauge("agatepulley_closed_connections", "Connections that were closed because a head took too long or too many were open.", func() float64 {
			return float64(m.callers.Closed() + m.hops.Closed())
		}),
		metrics.ObserveGauge("agatepulley_quota_slots_held", "Slots whose workspaces this node counts for the fleet.", func() float64 {
			return float64(m.quotas.Held())
		}),
		metrics.ObserveGauge("agatepulley_panics", "Panics that were recovered.", func() float64 {
			return float64(guard.Panics())
		}),
		metrics.ObserveGauge("agatepulley_uptime", "Seconds since the start of the process.", func() float64 {
			return time.Since(m.started).Seconds()
		}),
	)
}
