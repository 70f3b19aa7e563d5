package routing

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// Delta holds the changes from one version of a configuration to a later one. It is usually much smaller than the
// configuration, because successive versions differ in few routes.
type Delta struct {
	// From is the version to which the changes apply, and Version is the later version.
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Removed holds the names of the removed routes.
	Removed []string `json:"removed,omitempty"`
	// Routes holds the added and the changed routes.
	Routes []Route `json:"routes,omitempty"`
	// Services and Limits hold all services and the limits of the later version.
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// ErrWrongBase is returned by Apply if the given configuration is not the version to which the delta applies.
var ErrWrongBase = errors.New("the delta does not apply to this version")

// Diff returns the delta between two versions.
func Diff(from, to *Config) *Delta {
	d := &Delta{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	before := make(map[string]*Route, len(from.Routes))
	for n := range from.Routes {
		before[from.Routes[n].Name] = &from.Routes[n]
	}
	for n := range to.Routes {
		r := &to.Routes[n]
		if old := before[r.Name]; old == nil || !reflect.DeepEqual(old, r) {
			d.Routes = append(d.Routes, *r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}

// Apply returns the later version, given the version to which the delta applies. It does not modify its argument.
func (d *Delta) Apply(from *Config) (*Config, error) {
	if from.Version != d.From {
		return nil, fmt.Errorf("apply delta from version %d to %d: %w: %d", d.From, d.Version, ErrWrongBase, from.Version)
	}
	changed := make(map[string]*Route, len(d.Routes))
	for n := range d.Routes {
		changed[d.Routes[n].Name] = &d.Routes[n]
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		removed[name] = true
	}
	to := &Config{Version: d.Version, Services: d.Services, Limits: d.Limits, Routes: make([]Route, 0, len(from.Routes)+len(d.Routes))}
	for n := range from.Routes {
		r := from.Routes[n]
		if removed[r.Name] {
			continue
		}
		if c := changed[r.Name]; c != nil {
			r = *c
			delete(changed, r.Name)
		}
		to.Routes = append(to.Routes, r)
	}
	for n := range d.Routes {
		if changed[d.Routes[n].Name] != nil {
			to.Routes = append(to.Routes, d.Routes[n])
		}
	}
	return to, nil
}
