// Package announce tracks what endpoints announce about themselves in their responses: a limit on the rate of requests that
// they take from all nodes together, and that they are leaving.
//
// All responses of an endpoint pass through the node on its host, which decides what the endpoint has announced and numbers
// the changes. The other nodes learn the numbered states and keep them, so that a node that was restarted learns from the
// others what its endpoint announced before.
//
// response.go reads the announcements of one response, book.go holds the states of the endpoints.
package announce

import (
	"cmp"
	"time"
)

// State is what one incarnation of an endpoint has announced.
type State struct {
	// StartedAtMS is the start time of the incarnation, in milliseconds since the Unix epoch, or 0 if it is not known.
	StartedAtMS int64 `json:"b,omitempty"`
	// Version orders the states of an incarnation. It is the time of the latest change, in milliseconds since the Unix epoch, or
	// higher where clocks differ, and 0 as long as the endpoint has announced nothing.
	Version uint64 `json:"v"`
	// Limit is the number of requests per second that the endpoint takes from all nodes together, if Limited is set.
	Limited bool    `json:"l,omitempty"`
	Limit   float64 `json:"r,omitempty"`
	// Leaving is set for good once the endpoint has announced that it is leaving.
	Leaving bool `json:"g,omitempty"`
}

// Restricts reports whether the endpoint takes fewer requests than it could run.
func (s State) Restricts() bool {
	return s.Limited || s.Leaving
}

// ChangedAt returns the time of the latest change.
func (s State) ChangedAt() time.Time {
	return time.UnixMilli(int64(s.Version))
}

// sameAnnouncements reports whether two states differ at most in their incarnation and version.
func (s State) sameAnnouncements(o State) bool {
	s.StartedAtMS, s.Version = o.StartedAtMS, o.Version
	return s == o
}

// allowsMoreThan reports whether the rate that a state allows is higher than that of another one.
func (s State) allowsMoreThan(o State) bool {
	return o.Limited && (!s.Limited || s.Limit > o.Limit)
}

// compareIncarnations compares two start times of an endpoint. An unknown one counts as equal to any other.
func compareIncarnations(a, b int64) int {
	if a == 0 || b == 0 {
		return 0
	}
	return cmp.Compare(a, b)
}
