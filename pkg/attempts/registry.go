// Package attempts keeps the state of the latest attempts to run requests. An ingress, the node that accepted a request,
// that loses the connection to the owner of an endpoint, the node on its host, can then ask the owner whether the request
// was run.
package attempts

import (
	"container/list"
	"sync"
	"time"
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

const (
	// Capacity is the number of attempts that the registry of package owner keeps. At 2,000 requests/s it covers 30 s, which is
	// longer than an inquiry or a request can be delayed on the network.
	Capacity = 65536
	// EntryBytes is the memory of one attempt.
	EntryBytes = 224
	// retention is how long an attempt must be remembered: longer than an inquiry or a request can be delayed on the network.
	retention = 30 * time.Second
	// markShare is the share of the capacity that attempts may take up which are known from inquiries only.
	markShare = 4
)

// entry is what is known of an attempt.
type entry struct {
	id    string
	state State
	// marked is set if the attempt is known from an inquiry only.
	marked bool
	// since is when the attempt was marked, or when it ended.
	since time.Duration
	// place is the place among the attempts that can be forgotten, or nil while the attempt is in progress.
	place *list.Element
}

// Registry keeps the states of the latest attempts. Attempts in progress are never forgotten. Once one that may have run and
// ended less than retention ago is forgotten for lack of room, attempts that are not known may be that one, and are reported as
// Unknown for as long. It is safe for concurrent use.
type Registry struct {
	capacity int
	now      func() time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	// ended holds the attempts that have ended, and marks those known from inquiries only, the oldest first.
	ended, marks *list.List
	// uncertainUntil is the end of the time in which an attempt that is not known may have been forgotten.
	uncertainUntil time.Duration
}

// NewRegistry returns a registry that keeps the given number of attempts. now returns the monotonic time.
func NewRegistry(capacity int, now func() time.Duration) *Registry {
	return &Registry{capacity: capacity, now: now, entries: make(map[string]*entry), ended: list.New(), marks: list.New()}
}

// Begin registers an attempt and returns true. If the attempt is registered already, because it is a copy or because an
// inquiry has marked it as not run, Begin returns its state and false. An attempt that has begun must end with End.
func (r *Registry) Begin(attempt string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.entries[attempt]; known != nil {
		return known.state, false
	}
	r.makeRoom()
	r.entries[attempt] = &entry{id: attempt, state: Queued}
	return Queued, true
}

// Set sets the state of an attempt in progress.
func (r *Registry) Set(attempt string, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.entries[attempt]; known != nil && !known.marked {
		known.state = state
	}
}

// End sets the state of an attempt that has ended. The attempt is then remembered for retention, if there is room.
func (r *Registry) End(attempt string, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[attempt]
	if known == nil || known.marked {
		return
	}
	known.state, known.since = state, r.now()
	if known.place == nil {
		known.place = r.ended.PushBack(known)
	}
}

// Inquire returns the state of an attempt. An attempt that is not registered is marked as not run, so that it is refused if
// it arrives later. If there is no room for the mark, if the attempt may have been forgotten, or if no attempt can have the id, its
// state is Unknown.
func (r *Registry) Inquire(attempt string) State {
	if len(attempt) > maxIDLength {
		return Unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.entries[attempt]; known != nil {
		return known.state
	}
	now := r.now()
	if oldest := r.marks.Front(); r.marks.Len() >= max(r.capacity/markShare, 1) {
		if now-oldest.Value.(*entry).since < retention {
			return Unknown
		}
		r.remove(r.marks, oldest)
	}
	if now < r.uncertainUntil {
		return Unknown
	}
	r.makeRoom()
	mark := &entry{id: attempt, state: NotRun, marked: true, since: now}
	mark.place = r.marks.PushBack(mark)
	r.entries[attempt] = mark
	return NotRun
}

// makeRoom forgets attempts until there is room for another one. The caller holds the lock.
func (r *Registry) makeRoom() {
	now := r.now()
	for len(r.entries) >= r.capacity {
		if oldest := r.marks.Front(); oldest != nil && now-oldest.Value.(*entry).since >= retention {
			r.remove(r.marks, oldest)
			continue
		}
		oldest := r.ended.Front()
		if oldest == nil {
			return
		}
		// A forgotten attempt that was not run is reported as such again.
		if forgotten := oldest.Value.(*entry); forgotten.state != NotRun {
			r.uncertainUntil = max(r.uncertainUntil, forgotten.since+retention)
		}
		r.remove(r.ended, oldest)
	}
}

func (r *Registry) remove(from *list.List, place *list.Element) {
	from.Remove(place)
	delete(r.entries, place.Value.(*entry).id)
}
