package announce

import "time"

const (
	// maxRecords is the number of endpoints whose states are kept. A node hears of those on the hosts that it exchanges
	// reports with, and of those that it sends requests to.
	maxRecords = 4096
	// retention is how long the state of an endpoint that is not registered is kept. An entry that expired while the store
	// was away may come back with the same incarnation.
	retention = 10 * time.Minute
	// clockTolerance is the largest difference that is assumed between the clocks of an endpoint and of its node.
	clockTolerance = 10 * time.Second
)

// Change is a change of what is known of an endpoint.
type Change struct {
	Before, After State
}

// Outcome names the change in decision lines.
func (c Change) Outcome() string {
	switch {
	case c.After.Leaving && !c.Before.Leaving:
		return "leaving"
	case c.After.Limited && !c.Before.Limited:
		return "limited"
	case c.After.Limited:
		return "limit-changed"
	default:
		return "limit-ended"
	}
}

// record is the state of an endpoint with what is needed to judge the next response.
type record struct {
	State
	// observed is set once this node has received a response of the incarnation itself.
	observed bool
	// limitAt is when the latest response that announced the current limit was received, and announcedMS when the latest
	// response with any announcement was, in milliseconds since the Unix epoch.
	limitAt     time.Duration
	announcedMS int64
	// listed is set while the endpoint is registered. listedAt is when it was registered last, or when the record was made.
	listed   bool
	listedAt time.Duration
}

// Book holds the states of the endpoints. It is not safe for concurrent use.
type Book struct {
	records map[string]*record
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: make(map[string]*record)}
}

// Received is a response of an endpoint on this node's host.
type Received struct {
	Response
	// StartedAtMS is the start time of the endpoint according to the registry, or 0 if it is not known.
	StartedAtMS int64
	// SentAt is when the request was sent and ReceivedAt when the response was received. ReceivedMS is the latter in
	// milliseconds since the Unix epoch.
	SentAt, ReceivedAt time.Duration
	ReceivedMS         int64
}

// Observe records a response of an endpoint on this node's host. It returns what has changed, or false.
//
// A response to a request that was sent before the current limit was announced may have been made before, so it can
// lower the limit, but neither raise nor end it.
func (b *Book) Observe(id string, r Received) (Change, bool) {
	k := b.current(id, r.StartedAtMS, r.ReceivedAt)
	before := k.State
	announced := State{Limited: r.Limited, Limit: r.Limit}
	overlaps := k.observed && r.SentAt < k.limitAt
	if !r.LimitUnknown && !(overlaps && announced.allowsMoreThan(k.State)) {
		k.Limited, k.Limit = r.Limited, r.Limit
		k.observed = true
	}
	if r.Limited && r.Limit == k.Limit {
		k.limitAt = r.ReceivedAt
	}
	k.Leaving = k.Leaving || r.Leaving
	if r.Limited || r.Leaving {
		k.announcedMS = r.ReceivedMS
	}
	if before.sameAnnouncements(k.State) {
		return Change{}, false
	}
	// Versions follow the clock, so that those of a process that was restarted are above those of the one before.
	k.Version = max(k.Version+1, uint64(max(r.ReceivedMS, 0)))
	return Change{Before: before, After: k.State}, true
}

// Learn records a state that another node has told. It returns what has changed, or false.
//
// What this node has received from the endpoint itself is newer than what an earlier process on this host has told the
// others. If they differ, it gets a version above that of the told state.
func (b *Book) Learn(id string, told State, now time.Duration) (Change, bool) {
	k := b.records[id]
	if k == nil {
		if told.Version == 0 {
			return Change{}, false
		}
		k = b.add(id, now)
	}
	before := k.State
	switch order := compareIncarnations(told.StartedAtMS, k.StartedAtMS); {
	case order < 0:
		return Change{}, false
	case order > 0:
		*k = record{State: told, listed: k.listed, listedAt: k.listedAt}
		return Change{Before: before, After: k.State}, !before.sameAnnouncements(k.State)
	}
	k.StartedAtMS = max(k.StartedAtMS, told.StartedAtMS)
	leaving := k.Leaving || told.Leaving
	switch differs := told.Limited != k.Limited || told.Limit != k.Limit || told.Leaving != leaving; {
	case k.observed && differs && told.Version >= k.Version:
		k.Version = told.Version + 1
	case !k.observed && told.Version > k.Version:
		k.Limited, k.Limit, k.Version = told.Limited, told.Limit, told.Version
	default:
		k.Version = max(k.Version, told.Version)
	}
	k.Leaving = leaving
	return Change{Before: before, After: k.State}, !before.sameAnnouncements(k.State)
}

// State returns what an endpoint has announced. The start time is that of the registered incarnation, or 0 if it is not
// known: what an earlier incarnation announced does not count.
func (b *Book) State(id string, startedAtMS int64) State {
	k := b.records[id]
	if k == nil || k.endedBefore(startedAtMS) {
		return State{}
	}
	s := k.State
	s.StartedAtMS = max(s.StartedAtMS, startedAtMS)
	return s
}

// Registered records which endpoints are registered, and forgets those that have not been for the retention time.
func (b *Book) Registered(now time.Duration, listed func(id string) bool) {
	for id, k := range b.records {
		k.listed = listed(id)
		if k.listed {
			k.listedAt = now
		} else if now-k.listedAt > retention {
			delete(b.records, id)
		}
	}
}

// Each calls f for each endpoint that has announced something.
func (b *Book) Each(f func(id string, s State)) {
	for id, k := range b.records {
		if k.Version > 0 {
			f(id, k.State)
		}
	}
}

// current returns the record of the registered incarnation of an endpoint, which it creates if there is none.
func (b *Book) current(id string, startedAtMS int64, now time.Duration) *record {
	k := b.records[id]
	if k == nil {
		k = b.add(id, now)
	}
	if k.endedBefore(startedAtMS) {
		*k = record{listed: k.listed, listedAt: now}
	}
	k.StartedAtMS = max(k.StartedAtMS, startedAtMS)
	return k
}

// endedBefore reports whether the record is about an incarnation before the registered one. The registration of an
// endpoint that was restarted may arrive late. What was received well after its start is its own then.
func (k *record) endedBefore(startedAtMS int64) bool {
	if compareIncarnations(k.StartedAtMS, startedAtMS) >= 0 {
		return false
	}
	return !k.observed || k.announcedMS < startedAtMS+clockTolerance.Milliseconds()
}

func (b *Book) add(id string, now time.Duration) *record {
	if len(b.records) >= maxRecords {
		b.dropOldest()
	}
	k := &record{listedAt: now}
	b.records[id] = k
	return k
}

// dropOldest removes the record of the endpoint that has not been registered for the longest time, if possible of one that is not
// registered now.
func (b *Book) dropOldest() {
	oldest := ""
	var least *record
	for id, k := range b.records {
		if least == nil || (least.listed && !k.listed) || (least.listed == k.listed && k.listedAt < least.listedAt) {
			oldest, least = id, k
		}
	}
	delete(b.records, oldest)
}
