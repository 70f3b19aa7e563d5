package config

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// Delta holds the entry-level changes from one version to another. Endpoints belong to the entry of their service.
type Delta struct {
	From       Version            `json:"from"`
	FromDigest string             `json:"from_digest"`
	To         Version            `json:"to"`
	ToDigest   string             `json:"to_digest"`
	Format     string             `json:"format"`
	Hosts      Changes[Host]      `json:"hosts,omitzero"`
	Services   Changes[Service]   `json:"services,omitzero"`
	Routes     Changes[Route]     `json:"routes,omitzero"`
	Workspaces Changes[Workspace] `json:"workspaces,omitzero"`
}

// Changes holds the changes of one list: entries that were added or changed, and the ids of removed ones, both in
// increasing order of ids. If an id is in both lists, Set takes precedence.
type Changes[T any] struct {
	Set    []T      `json:"set,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

// Len returns the number of changed entries.
func (c Changes[T]) Len() int {
	return len(c.Set) + len(c.Remove)
}

// ErrDeltaMismatch is wrapped by the errors for a delta whose From is not the version it is applied to, or whose result
// does not have the digest ToDigest.
var ErrDeltaMismatch = errors.New("delta does not match")

// NewDelta returns the changes that lead from one configuration to another.
func NewDelta(from, to *Snapshot) *Delta {
	a, b := from.document, to.document
	return &Delta{
		From: from.Version(), FromDigest: from.digest,
		To: to.Version(), ToDigest: to.digest,
		Format:     b.Format,
		Hosts:      compare(a.Hosts, b.Hosts, hostID, equal[Host]),
		Services:   compare(a.Services, b.Services, serviceName, equalServices),
		Routes:     compare(a.Routes, b.Routes, routeID, equalRoutes),
		Workspaces: compare(a.Workspaces, b.Workspaces, workspaceID, equal[Workspace]),
	}
}

// Len returns the number of changed entries.
func (d *Delta) Len() int {
	return d.Hosts.Len() + d.Services.Len() + d.Routes.Len() + d.Workspaces.Len()
}

// Apply returns the configuration that results from applying a delta to a base. The result has passed all checks and has
// the digest ToDigest of the delta. Unchanged entries are shared with the base.
func Apply(base *Snapshot, delta *Delta) (*Snapshot, error) {
	if base.Version() != delta.From || base.digest != delta.FromDigest {
		return nil, fmt.Errorf("apply delta made from %v %.12s to configuration %v %.12s: %w", delta.From, delta.FromDigest,
			base.Version(), base.digest, ErrDeltaMismatch)
	}
	document := &Document{
		Format:     delta.Format,
		Version:    delta.To,
		Hosts:      merge(base.document.Hosts, delta.Hosts, hostID),
		Services:   merge(base.document.Services, delta.Services, serviceName),
		Routes:     merge(base.document.Routes, delta.Routes, routeID),
		Workspaces: merge(base.document.Workspaces, delta.Workspaces, workspaceID),
	}
	snapshot, err := FromDocument(document)
	if err != nil {
		return nil, fmt.Errorf("apply delta to %v: %w", base.Version(), err)
	}
	if snapshot.digest != delta.ToDigest {
		return nil, fmt.Errorf("apply delta to %v: digest %.12s instead of %.12s: %w", base.Version(), snapshot.digest,
			delta.ToDigest, ErrDeltaMismatch)
	}
	return snapshot, nil
}

// Compose returns one delta with the effect of several that follow each other.
func Compose(deltas []*Delta) (*Delta, error) {
	if len(deltas) == 0 {
		return nil, fmt.Errorf("compose deltas: none given: %w", ErrDeltaMismatch)
	}
	composed := *deltas[0]
	for _, next := range deltas[1:] {
		if next.From != composed.To || next.FromDigest != composed.ToDigest {
			return nil, fmt.Errorf("compose deltas: %v does not follow %v: %w", next.From, composed.To, ErrDeltaMismatch)
		}
		composed.To, composed.ToDigest, composed.Format = next.To, next.ToDigest, next.Format
		composed.Hosts = composeChanges(composed.Hosts, next.Hosts, hostID)
		composed.Services = composeChanges(composed.Services, next.Services, serviceName)
		composed.Routes = composeChanges(composed.Routes, next.Routes, routeID)
		composed.Workspaces = composeChanges(composed.Workspaces, next.Workspaces, workspaceID)
	}
	return &composed, nil
}

// composeChanges merges later changes into earlier ones. An id may be in both lists of the result: merge gives Set
// precedence, and removing an id that the base does not have has no effect.
func composeChanges[T any](earlier, later Changes[T], id func(*T) string) Changes[T] {
	if later.Len() == 0 {
		return earlier
	}
	composed := Changes[T]{
		Set:    merge(earlier.Set, later, id),
		Remove: slices.Concat(earlier.Remove, later.Remove),
	}
	slices.Sort(composed.Remove)
	composed.Remove = slices.Compact(composed.Remove)
	return composed
}

// compare returns the changes between two ordered lists.
func compare[T any](old, new []T, id func(*T) string, same func(a, b *T) bool) Changes[T] {
	var changes Changes[T]
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch order := compareHeads(old[i:], new[j:], id); {
		case order < 0:
			changes.Remove = append(changes.Remove, id(&old[i]))
			i++
		case order > 0:
			changes.Set = append(changes.Set, new[j])
			j++
		default:
			if !same(&old[i], &new[j]) {
				changes.Set = append(changes.Set, new[j])
			}
			i++
			j++
		}
	}
	return changes
}

// compareHeads compares the first ids of two lists, at least one of which has entries. The end of a list counts as
// higher than any id.
func compareHeads[T any](a, b []T, id func(*T) string) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return cmp.Compare(id(&a[0]), id(&b[0]))
	}
}

// merge applies changes to an ordered list.
func merge[T any](old []T, changes Changes[T], id func(*T) string) []T {
	if changes.Len() == 0 {
		return old
	}
	merged := make([]T, 0, len(old)+len(changes.Set))
	set := changes.Set
	for i := range old {
		for len(set) > 0 && id(&set[0]) < id(&old[i]) {
			merged = append(merged, set[0])
			set = set[1:]
		}
		if len(set) > 0 && id(&set[0]) == id(&old[i]) {
			merged = append(merged, set[0])
			set = set[1:]
			continue
		}
		if _, removed := slices.BinarySearch(changes.Remove, id(&old[i])); !removed {
			merged = append(merged, old[i])
		}
	}
	return append(merged, set...)
}

func equal[T comparable](a, b *T) bool {
	return *a == *b
}

func equalServices(a, b *Service) bool {
	return reflect.DeepEqual(a, b)
}

func equalRoutes(a, b *Route) bool {
	if !slices.Equal(a.Methods, b.Methods) {
		return false
	}
	x, y := *a, *b
	x.Methods, y.Methods = nil, nil
	return reflect.DeepEqual(x, y)
}
