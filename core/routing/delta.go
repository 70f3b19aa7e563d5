package routing

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// Delta holds the changes from one version of a configuration to a later one. It is usually much smaller than the
// configuration, because successive versions differ in few routes and workspaces.
type Delta struct {
	// From is the version to which the changes apply, and Version is the later version.
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Removed holds the names of the removed routes.
	Removed []string `json:"removed,omitempty"`
	// Routes holds the added and the changed routes.
	Routes []Route `json:"routes,omitempty"`
	// RemovedWorkspaces and Workspaces hold the same for the workspaces.
	RemovedWorkspaces []string    `json:"removed_workspaces,omitempty"`
	Workspaces        []Workspace `json:"workspaces,omitempty"`
	// Services and Limits hold all services and the limits of the later version.
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// ErrWrongBase is returned by Apply if the given configuration is not the version to which the delta applies.
var ErrWrongBase = errors.New("the delta does not apply to this version")

func routeName(r *Route) string         { return r.Name }
func workspaceName(w *Workspace) string { return w.Name }

// Diff returns the delta between two versions.
func Diff(from, to *Config) *Delta {
	d := &Delta{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	d.Routes, d.Removed = diff(from.Routes, to.Routes, routeName)
	d.Workspaces, d.RemovedWorkspaces = diff(from.Workspaces, to.Workspaces, workspaceName)
	return d
}

// diff returns the items of a list that were added or changed, and the names of those that were removed.
func diff[T any](from, to []T, name func(*T) string) (changed []T, removed []string) {
	before := make(map[string]*T, len(from))
	for n := range from {
		before[name(&from[n])] = &from[n]
	}
	for n := range to {
		item := &to[n]
		if old := before[name(item)]; old == nil || !reflect.DeepEqual(old, item) {
			changed = append(changed, *item)
		}
		delete(before, name(item))
	}
	for name := range before {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// Apply returns the later version, given the version to which the delta applies. It does not modify its argument.
func (d *Delta) Apply(from *Config) (*Config, error) {
	if from.Version != d.From {
		return nil, fmt.Errorf("apply delta from version %d to %d: %w: %d", d.From, d.Version, ErrWrongBase, from.Version)
	}
	return &Config{
		Version: d.Version, Services: d.Services, Limits: d.Limits,
		Routes:     apply(from.Routes, d.Routes, d.Removed, routeName),
		Workspaces: apply(from.Workspaces, d.Workspaces, d.RemovedWorkspaces, workspaceName),
	}, nil
}

// apply returns a list with changes from diff: changed items keep their positions, and added ones follow.
func apply[T any](from, changes []T, removals []string, name func(*T) string) []T {
	changed := make(map[string]*T, len(changes))
	for n := range changes {
		changed[name(&changes[n])] = &changes[n]
	}
	removed := make(map[string]bool, len(removals))
	for _, name := range removals {
		removed[name] = true
	}
	to := make([]T, 0, len(from)+len(changes))
	for n := range from {
		item := from[n]
		key := name(&item)
		if removed[key] {
			continue
		}
		if c := changed[key]; c != nil {
			item = *c
			delete(changed, key)
		}
		to = append(to, item)
	}
	for n := range changes {
		if changed[name(&changes[n])] != nil {
			to = append(to, changes[n])
		}
	}
	return to
}
