package config

import "slices"

// EntryKind is the kind of a changed entry.
type EntryKind string

// Kinds of entries.
const (
	KindHost      EntryKind = "host"
	KindService   EntryKind = "service"
	KindEndpoint  EntryKind = "endpoint"
	KindRoute     EntryKind = "route"
	KindWorkspace EntryKind = "workspace"
)

// Action says how an entry changed.
type Action string

// Actions.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one entry-level difference between two documents. Old is nil for an added entry and New for a removed one;
// otherwise they are pointers to the entries, such as *Endpoint.
type Change struct {
	Kind   EntryKind
	Action Action
	ID     string
	// Service is the service of an endpoint.
	Service string
	Old     any
	New     any
}

// Diff returns the differences between two documents by kind and id. A change of an endpoint is reported for the
// endpoint; its service is reported only if anything else of it changed.
func Diff(old, new *Document) []Change {
	old, new = Normalize(old), Normalize(new)
	var changes []Change
	changes = appendChanges(changes, KindHost, old.Hosts, new.Hosts, hostID, equal[Host])
	changes = appendChanges(changes, KindService, old.Services, new.Services, serviceName, equalSettings)
	changes = appendEndpointChanges(changes, old.Services, new.Services)
	changes = appendChanges(changes, KindRoute, old.Routes, new.Routes, routeID, equalRoutes)
	return appendChanges(changes, KindWorkspace, old.Workspaces, new.Workspaces, workspaceID, equal[Workspace])
}

func appendChanges[T any](changes []Change, kind EntryKind, old, new []T, id func(*T) string,
	same func(a, b *T) bool) []Change {
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch order := compareHeads(old[i:], new[j:], id); {
		case order < 0:
			changes = append(changes, Change{Kind: kind, Action: Removed, ID: id(&old[i]), Old: &old[i]})
			i++
		case order > 0:
			changes = append(changes, Change{Kind: kind, Action: Added, ID: id(&new[j]), New: &new[j]})
			j++
		default:
			if !same(&old[i], &new[j]) {
				changes = append(changes, Change{Kind: kind, Action: Changed, ID: id(&new[j]), Old: &old[i], New: &new[j]})
			}
			i++
			j++
		}
	}
	return changes
}

// appendEndpointChanges reports the endpoints of each service, including those of added and removed services.
func appendEndpointChanges(changes []Change, old, new []Service) []Change {
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		var before, after []Endpoint
		var name string
		order := compareHeads(old[i:], new[j:], serviceName)
		if order <= 0 {
			name = old[i].Name
			before = old[i].Endpoints
			i++
		}
		if order >= 0 {
			name = new[j].Name
			after = new[j].Endpoints
			j++
		}
		first := len(changes)
		changes = appendChanges(changes, KindEndpoint, before, after, endpointID, equal[Endpoint])
		for k := first; k < len(changes); k++ {
			changes[k].Service = name
		}
	}
	return changes
}

// equalSettings compares two services without their endpoints.
func equalSettings(a, b *Service) bool {
	return a.FloorPercent == b.FloorPercent && a.Health == b.Health && a.Admission == b.Admission &&
		a.Retry == b.Retry && a.Balance == b.Balance && a.Quarantine == b.Quarantine &&
		a.Claims.WindowMS == b.Claims.WindowMS && a.Claims.Generation == b.Claims.Generation &&
		slices.Equal(a.Claims.Recorders, b.Claims.Recorders) && slices.Equal(a.Claims.Previous, b.Claims.Previous)
}
