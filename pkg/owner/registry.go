package owner

import (
	"sync"
)

// AttemptState is what an owner knows about an attempt.
type AttemptState string

// States of an attempt.
const (
	AttemptQueued   AttemptState = "queued"
	AttemptRunning  AttemptState = "running"
	AttemptAnswered AttemptState = "answered"
	AttemptNotRun   AttemptState = "not-run"
	AttemptUnknown  AttemptState = "unknown"
)

// registryCapacity bounds the attempts that are remembered. At 2,000 requests/s it covers 30 s, longer than an inquiry
// or a delayed request can be under way.
const registryCapacity = 65536

// registry remembers the latest attempts, so that an ingress which lost a connection can learn what became of its
// request. It is safe for concurrent use.
type registry struct {
	mu     sync.Mutex
	states map[string]AttemptState
	order  []string
	next   int
}

func newRegistry(capacity int) *registry {
	return &registry{states: make(map[string]AttemptState), order: make([]string, capacity)}
}

// begin registers an attempt. If the attempt is known already, because it was voided by an inquiry or is a copy, begin
// returns its state and false.
func (r *registry) begin(attempt string) (AttemptState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, known := r.states[attempt]; known {
		return state, false
	}
	r.insert(attempt, AttemptQueued)
	return AttemptQueued, true
}

func (r *registry) set(attempt string, state AttemptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.states[attempt]; known {
		r.states[attempt] = state
	}
}

// inquire returns the state of an attempt. An unknown attempt is recorded as not run first, so that a copy which
// arrives later is refused.
func (r *registry) inquire(attempt string) AttemptState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, known := r.states[attempt]; known {
		return state
	}
	r.insert(attempt, AttemptNotRun)
	return AttemptNotRun
}

func (r *registry) insert(attempt string, state AttemptState) {
	delete(r.states, r.order[r.next])
	r.order[r.next] = attempt
	r.next = (r.next + 1) % len(r.order)
	r.states[attempt] = state
}
