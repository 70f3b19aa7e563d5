// Package fleet keeps what a node knows about the other hosts: which are listed, which are leaving according to whom,
// and which configuration was last seen in force on each.
package fleet

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/drain"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/config"
)

// Observation is the state of another node as of the latest message from it.
type Observation struct {
	Incarnation uint64
	Version     config.Version
	Digest      string
	ObservedAt  time.Time
}

// Hosts tracks the other hosts. It is safe for concurrent use.
type Hosts struct {
	self    string
	started time.Time
	changed func()

	mu      sync.RWMutex
	tracker *drain.Tracker
	listed  map[string]config.Host
	seen    map[string]Observation
}

// New returns a tracker for the node on host self. It calls changed after each change of a host's leaving state.
func New(self string, changed func()) *Hosts {
	return &Hosts{
		self:    self,
		started: time.Now(),
		changed: changed,
		tracker: drain.NewTracker(),
		listed:  make(map[string]config.Host),
		seen:    make(map[string]Observation),
	}
}

// Update takes over the hosts of a new configuration.
func (h *Hosts) Update(snapshot *config.Snapshot) {
	document := snapshot.Document()
	changed := false
	h.mu.Lock()
	listed := make(map[string]config.Host, len(document.Hosts))
	for _, host := range document.Hosts {
		listed[host.ID] = host
		changed = h.tracker.ObserveConfig(host.ID, host.Draining, h.now()) || changed
	}
	h.listed = listed
	h.tracker.Retain(func(id string) bool {
		_, ok := listed[id]
		return ok
	})
	for id := range h.seen {
		if _, ok := listed[id]; !ok {
			delete(h.seen, id)
		}
	}
	h.mu.Unlock()
	h.notify(changed)
}

// ObserveList records a state of the host list. It returns true if the host's leaving state changed.
func (h *Hosts) ObserveList(id string, leaving bool) bool {
	h.mu.Lock()
	changed := h.tracker.ObserveList(id, leaving, h.now())
	h.mu.Unlock()
	h.notify(changed)
	return changed
}

// ObserveHost records what a host said about itself.
func (h *Hosts) ObserveHost(id string, incarnation, sequence uint64, leaving bool) {
	h.mu.Lock()
	changed := h.tracker.ObserveHost(id, incarnation, sequence, leaving, h.now())
	h.mu.Unlock()
	h.notify(changed)
}

// ObserveConfiguration records the configuration in force on another node.
func (h *Hosts) ObserveConfiguration(id string, version config.Version, digest string) {
	h.observe(id, func(s *Observation) {
		s.Version, s.Digest = version, digest
	})
}

// ObserveIncarnation records that a node was heard from.
func (h *Hosts) ObserveIncarnation(id string, incarnation uint64) {
	h.observe(id, func(s *Observation) {
		s.Incarnation = max(s.Incarnation, incarnation)
	})
}

func (h *Hosts) observe(id string, apply func(*Observation)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.listed[id]; !ok {
		return
	}
	s := h.seen[id]
	apply(&s)
	s.ObservedAt = time.Now()
	h.seen[id] = s
}

// Leaving reports whether a host gets no new work.
func (h *Hosts) Leaving(id string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.tracker.Leaving(id)
}

// State returns the leaving state of a host and the time since which it holds.
func (h *Hosts) State(id string) (drain.State, time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	state := h.tracker.State(id)
	return state, h.started.Add(state.Since)
}

// LastObservation returns the latest state received from the node on a host, if any was received.
func (h *Hosts) LastObservation(id string) (Observation, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	s, ok := h.seen[id]
	return s, ok
}

// Members returns the other hosts that are listed and not leaving.
func (h *Hosts) Members() []membership.Member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	members := make([]membership.Member, 0, len(h.listed))
	for id, host := range h.listed {
		if id != h.self && !h.tracker.Leaving(id) {
			members = append(members, membership.Member{ID: id, Address: host.PeerAddress(), Zone: host.Zone, Region: host.Region})
		}
	}
	return members
}

// IDByPeerAddress returns the host whose peer listener has the address.
func (h *Hosts) IDByPeerAddress(address string) (string, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for id, host := range h.listed {
		if host.PeerAddress() == address {
			return id, true
		}
	}
	return "", false
}

func (h *Hosts) now() time.Duration {
	return time.Since(h.started)
}

func (h *Hosts) notify(changed bool) {
	if changed {
		h.changed()
	}
}
