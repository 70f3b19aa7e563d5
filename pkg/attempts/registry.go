// Package attempts remembers what became of the latest attempts to run requests, so that an ingress which lost a
// connection can learn the outcome from the owner.
package attempts

import (
	"sync"
)

// State is what an owner knows about an attempt.
type State string

// States of an attempt.
const (
	Queued   State = "queued"
	Running  State = "running"
	Answered State = "answered"
	NotRun   State = "not-run"
	Unknown  State = "unknown"
)

// Capacity bounds the attempts that are remembered. At 2,000 requests/s it covers 30 s, longer than an inquiry
// or a delayed request can be under way.
const Capacity = 65536

// Registry remembers the latest attempts, so that an ingress which lost a connection can learn what became of its
// request. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	states map[string]State
	order  []string
	next   int
}

// NewRegistry returns a registry that remembers the given number of attempts.
func NewRegistry(capacity int) *Registry {
	return &Registry{states: make(map[string]State), order: make([]string, capacity)}
}

// Begin registers an attempt. If the attempt is known already, because it was voided by an inquiry or is a copy, Begin
// returns its state and false.
func (r *Registry) Begin(attempt string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, known := r.states[attempt]; known {
		return state, false
	}
	r.insert(attempt, Queued)
	return Queued, true
}

// Set records the state of a registered attempt.
func (r *Registry) Set(attempt string, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.states[attempt]; known {
		r.states[attempt] = state
	}
}

// Inquire returns the state of an attempt. An unknown attempt is recorded as not run first, so that a copy which
// arrives later is refused.
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
