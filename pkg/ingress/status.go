package ingress

import (
	"sort"

	"agatepulley.example/agatepulley/core/balance"
	"agatepulley.example/agatepulley/pkg/admin"
)

// Status returns the state of the endpoints as observed by this ingress, for each service that it has used, sorted by
// name.
func (i *Ingress) Status() []admin.ServiceStatus {
	views := i.allViews()
	list := make([]admin.ServiceStatus, 0, len(views))
	for _, v := range views {
		list = append(list, v.status())
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

func (v *view) status() admin.ServiceStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	status := admin.ServiceStatus{Name: v.name, FloorPercent: v.service.FloorPercent}
	for n, e := range v.entries {
		state := v.detector.View(v.now(), e.id)
		s := admin.EndpointStatus{
			ID: e.id, Host: e.host.ID, Zone: e.host.Zone, State: state.State.String(), Reason: state.Reason,
			Protected: state.Protected, Slots: e.slots, InFlight: e.inFlight, Load: balance.Load(v.candidate(n, nil)),
		}
		if v.unavailable(e) {
			s.State = "unavailable"
		}
		status.Endpoints = append(status.Endpoints, s)
	}
	return status
}
