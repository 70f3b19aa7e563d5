// Package drain keeps the leaving state of each host from three sources: the configuration, the host list and the host
// itself. The earliest source to report a host as leaving takes it out of rotation.
//
// The sources differ in what ends the state. The configuration is versioned, so a host is draining as long as the
// version in force says so. The host orders its own reports by (incarnation, sequence), so its latest report counts. The
// host list lags and carries no order, so its "live" proves nothing: a host that it reported as leaving returns with a
// report of the host itself that is newer than any known when the list reported it. If none was known then, the first
// report may be older than the list's, and the host returns once the list agrees with it.
package drain

import "time"

// Source is where a report comes from.
type Source int

// Sources of reports. SourceNone is the source of a host that is not leaving.
const (
	SourceNone Source = iota
	SourceConfig
	SourceHostList
	SourceHost
)

// String returns the name used in logs.
func (s Source) String() string {
	switch s {
	case SourceConfig:
		return "configuration"
	case SourceHostList:
		return "host-list"
	case SourceHost:
		return "host"
	default:
		return "none"
	}
}

// State says whether a host is leaving, and which source reported it first and when.
type State struct {
	Leaving     bool
	Source      Source
	Since       time.Duration
	Incarnation uint64
}

// Tracker holds the state of all hosts. It is not safe for concurrent use.
type Tracker struct {
	hosts map[string]*host
}

// latch is the report of one source.
type latch struct {
	set   bool
	since time.Duration
}

// order places the reports of one host.
type order struct {
	incarnation uint64
	sequence    uint64
}

type host struct {
	latest order
	config latch
	list   latch
	own    latch
	// listed is the last state in the host list. Only a change to leaving is a report.
	listed bool
	// confirmed is true if the first report of the host, which says that it serves, followed that of the list.
	confirmed bool
}

// NewTracker returns a tracker that knows no host; unknown hosts are not leaving.
func NewTracker() *Tracker {
	return &Tracker{hosts: make(map[string]*host)}
}

// ObserveConfig records what the version of the configuration that was adopted at the given time says about a host.
// It must be called in the order of adoption. It returns true if the host's leaving state changed.
func (t *Tracker) ObserveConfig(id string, draining bool, now time.Duration) bool {
	return t.change(id, func(h *host) {
		h.config.observe(draining, now)
	})
}

// ObserveList records what the host list says about a host. It returns true if the host's leaving state changed.
func (t *Tracker) ObserveList(id string, leaving bool, now time.Duration) bool {
	return t.change(id, func(h *host) {
		if leaving && !h.listed {
			h.list.observe(true, now)
			h.confirmed = false
		}
		h.listed = leaving
		if !leaving && h.confirmed {
			h.clearList(now)
		}
	})
}

// ObserveHost records a report of the host itself. A report that is not newer than the latest one by (incarnation,
// sequence) is ignored. It returns true if the host's leaving state changed.
func (t *Tracker) ObserveHost(id string, incarnation, sequence uint64, leaving bool, now time.Duration) bool {
	return t.change(id, func(h *host) {
		report := order{incarnation: incarnation, sequence: sequence}
		if !h.latest.before(report) {
			return
		}
		known := h.latest.incarnation != 0
		restarted := known && incarnation > h.latest.incarnation
		// Within one incarnation a host that left does not return.
		if h.own.set && !restarted {
			leaving = true
		}
		h.latest = report
		h.own.observe(leaving, now)
		if leaving {
			return
		}
		h.confirmed = true
		if known || !h.listed {
			h.clearList(now)
		}
	})
}

func (h *host) clearList(now time.Duration) {
	h.list.observe(false, now)
	h.confirmed = false
}

// State returns the state of a host.
func (t *Tracker) State(id string) State {
	h, ok := t.hosts[id]
	if !ok {
		return State{}
	}
	return h.state()
}

// Leaving reports whether a host is leaving.
func (t *Tracker) Leaving(id string) bool {
	return t.State(id).Leaving
}

// Retain forgets all hosts for which keep returns false, such as those that the configuration no longer lists.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id := range t.hosts {
		if !keep(id) {
			delete(t.hosts, id)
		}
	}
}

// Knows reports whether there is a state of a host.
func (t *Tracker) Knows(id string) bool {
	return t.hosts[id] != nil
}

// Len returns the number of hosts whose state is held.
func (t *Tracker) Len() int {
	return len(t.hosts)
}

func (t *Tracker) change(id string, apply func(*host)) bool {
	h, ok := t.hosts[id]
	if !ok {
		h = &host{}
		t.hosts[id] = h
	}
	before := h.state().Leaving
	apply(h)
	return h.state().Leaving != before
}

func (h *host) state() State {
	state := State{Incarnation: h.latest.incarnation}
	state.consider(SourceConfig, h.config)
	state.consider(SourceHostList, h.list)
	state.consider(SourceHost, h.own)
	return state
}

// consider takes over the report of a source if it is the earliest so far.
func (s *State) consider(source Source, l latch) {
	if !l.set {
		return
	}
	if s.Leaving && s.Since <= l.since {
		return
	}
	s.Leaving = true
	s.Source = source
	s.Since = l.since
}

// observe sets or clears the latch. The time of the first report is kept.
func (l *latch) observe(set bool, now time.Duration) {
	if set && !l.set {
		l.since = now
	}
	l.set = set
}

func (o order) before(other order) bool {
	if o.incarnation != other.incarnation {
		return o.incarnation < other.incarnation
	}
	return o.sequence < other.sequence
}
