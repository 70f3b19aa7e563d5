// Package attempts keeps the state of the latest attempts to run requests. An ingress, the node that accepted a request,
// that loses the connection to the owner of an endpoint, the node on its host, can then ask the owner whether the request
// was run.
package attempts

import (
	"sync"
)

// State is the state of an attempt at the owner.
type State string

// States of an attempt. NotRun means that it was not run and will not be. Unknown means that it may have been run.
const (
	Queued   State = "queued"
	Running  State = "running"
	Answered State = "answered"
	NotRun   State = "not-run"
	Unknown  State = "unknown"
)

// Capacity is the number of attempts that the registry of package owner keeps. At 2,000 requests/s it covers 30 s, which is
// longer than an inquiry or a request can be delayed on the network.
const Capacity = 65536

// Registry keeps the states of the latest attempts. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	states map[string]State
	// order is a ring of the kept attempts; the one at next is the oldest and is replaced first.
	order []string
	next  int
}

// NewRegistry returns a registry that keeps the given number of attempts.
func NewRegistry(capacity int) *Registry {
	return &Registry{states: make(map[string]State), order: make([]string, capacity)}
}

// Begin registers an attempt and returns true. If the attempt is registered already, because it is a copy or because an
// inquiry has marked it as not run, Begin returns its state and false.
func (r *Registry) Begin(attempt string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, known := r.states[attempt]; known {
		return state, false
	}
	r.insert(attempt, Queued)
	return Queued, true
}

// Set sets the state of a registered attempt.
func (r *Registry) Set(attempt string, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.states[attempt]; known {
		r.states[attempt] = state
	}
}

// Inquire returns the state of an attempt. An attempt that is not registered is marked as not run, so that it is refused if
// it arrives later.
func (r *Registry) Inquire(attempt string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, known := r.states[attempt]; known {
		return state
	}
	r.insert(attempt, NotRun)
	return NotRun
}

func (r *Registry) insert(attempt string, state State) {
	delete(r.states, r.order[r.next])
	r.order[r.next] = attempt
	r.next = (r.next + 1) % len(r.order)
	r.states[attempt] = state
}
