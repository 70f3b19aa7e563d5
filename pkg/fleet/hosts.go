// Package fleet tracks the hosts of the fleet as known to a node: which hosts the configuration lists, which of them are
// leaving and which source reported that, and which configuration each node last reported as in force.
package fleet

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/drain"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/config"
)

// Observation is the latest known state of another node. Version and Digest are those of the configuration in force on
// the node, and ObservedAt is the time of its latest message.
type Observation struct {
	Incarnation uint64
	Version     config.Version
	Digest      string
	ObservedAt  time.Time
}

// Hosts tracks the hosts listed in the configuration. It is safe for concurrent use.
type Hosts struct {
	// self is the ID of the host on which this node runs.
	self string
	// started is the time that all times of the tracker are relative to.
	started time.Time
	changed func()

	mu           sync.RWMutex
	tracker      *drain.Tracker
	listed       map[string]config.Host
	observations map[string]Observation
}

// New returns a tracker for the node on host self. It calls changed after each change of a host's leaving state.
func New(self string, changed func()) *Hosts {
	return &Hosts{
		self:         self,
		started:      time.Now(),
		changed:      changed,
		tracker:      drain.NewTracker(),
		listed:       make(map[string]config.Host),
		observations: make(map[string]Observation),
	}
}

// Update applies the hosts of a new configuration. The state of hosts that are not listed any more is dropped.
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
	for id := range h.observations {
		if _, ok := listed[id]; !ok {
			delete(h.observations, id)
		}
	}
	h.mu.Unlock()
	h.notify(changed)
}

// ObserveList records whether the platform's host list reports a host as leaving. It returns true if the host's leaving
// state changed.
func (h *Hosts) ObserveList(id string, leaving bool) bool {
	h.mu.Lock()
	changed := h.hasRoom(id) && h.tracker.ObserveList(id, leaving, h.now())
	h.mu.Unlock()
	h.notify(changed)
	return changed
}

// ObserveHost records whether a host reports itself as leaving. A report that is not newer than the latest one by
// (incarnation, sequence) is ignored.
func (h *Hosts) ObserveHost(id string, incarnation, sequence uint64, leaving bool) {
	h.mu.Lock()
	changed := h.hasRoom(id) && h.tracker.ObserveHost(id, incarnation, sequence, leaving, h.now())
	h.mu.Unlock()
	h.notify(changed)
}

// maxUnlisted is the number of hosts whose state is kept although the configuration in force does not list them. A newer one may.
const maxUnlisted = 256

// hasRoom reports whether the state of a host may be kept. The caller holds the lock.
func (h *Hosts) hasRoom(id string) bool {
	_, listed := h.listed[id]
	return listed || h.tracker.Knows(id) || h.tracker.Len() < len(h.listed)+maxUnlisted
}

// ObserveConfiguration records the configuration that another node reports as in force.
func (h *Hosts) ObserveConfiguration(id string, version config.Version, digest string) {
	h.observe(id, func(o *Observation) {
		o.Version, o.Digest = version, digest
	})
}

// ObserveIncarnation records that a message of another node was received, and the incarnation of its process.
func (h *Hosts) ObserveIncarnation(id string, incarnation uint64) {
	h.observe(id, func(o *Observation) {
		o.Incarnation = max(o.Incarnation, incarnation)
	})
}

// observe updates the observation of a host and its time. Hosts that are not listed are ignored.
func (h *Hosts) observe(id string, update func(*Observation)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.listed[id]; !ok {
		return
	}
	o := h.observations[id]
	update(&o)
	o.ObservedAt = time.Now()
	h.observations[id] = o
}

// Leaving reports whether a host gets no new work.
func (h *Hosts) Leaving(id string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.tracker.Leaving(id)
}

// State returns the leaving state of a host and, if it is leaving, the time since when.
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
	o, ok := h.observations[id]
	return o, ok
}

// Members returns the hosts that are listed and not leaving, without the host of this node.
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

// IDByPeerAddress returns the ID of the listed host whose peer listener has the address, if there is one.
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

// now returns the time since the tracker was created.
func (h *Hosts) now() time.Duration {
	return time.Since(h.started)
}

// notify calls the function given to New if a leaving state changed. The caller must not hold the lock.
func (h *Hosts) notify(changed bool) {
	if changed {
		h.changed()
	}
}
