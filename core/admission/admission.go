// Package admission decides on the owner of an endpoint which requests run, wait or are refused.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Settings describe the endpoint and its queue.
type Settings struct {
	Slots      int
	QueueLimit int
	// LongReserve is the number of slots that long requests leave free. One slot is always open to them.
	LongReserve int
	// AssumedServiceTime is the service time that is expected of requests until one of their class has been answered.
	AssumedServiceTime time.Duration
}

// Item is a request offered to the endpoint.
type Item struct {
	ID       string
	Long     bool
	Deadline time.Duration
	// Priority ranks the item among the queued ones; lower values run first.
	Priority int
	// Exclusive requests run only while no other request runs on the endpoint.
	Exclusive bool
	// MaxWait, if not zero, refuses the request as busy when it would wait longer, so that its ingress can try another
	// endpoint with a load report that is up to date.
	MaxWait time.Duration
}

// Verdict says what happens to an offered item.
type Verdict int

// Verdicts of Offer.
const (
	Run Verdict = iota
	Queued
	Refused
)

// Reason names the rule behind a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonNone     Reason = ""
	ReasonFull     Reason = "queue-full"
	ReasonDeadline Reason = "deadline"
	ReasonBusy     Reason = "busy"
	ReasonLeaving  Reason = "leaving"
	ReasonRepeated Reason = "repeated-id"
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Wait is the expected wait of a queued or refused item.
	Wait time.Duration
}

// Load is the load of the endpoint.
type Load struct {
	Busy     int
	LongBusy int // slots busy with long requests
	Queued   int
	Slots    int
}

const (
	// aloneHold bounds how long other requests are kept waiting so that the endpoint becomes idle for a request that
	// runs alone; afterwards they run for aloneGap before the next try.
	aloneHold = 500 * time.Millisecond
	aloneGap  = 500 * time.Millisecond
	// overdue bounds, in units of the mean of its class, for how long a request is expected to run on.
	overdue = 4
	// minWorking keeps estimates finite while all slots are held by overdue requests.
	minWorking = 0.05
	// estimateShare is the weight of the latest service time in the running mean of its class.
	estimateShare = 0.1
)

type running struct {
	item  Item
	start time.Duration
}

// Queue is the slots and the queue of one endpoint. Short requests run before long ones; within a class the lowest
// priority value runs first, then the earliest deadline.
type Queue struct {
	settings  Settings
	running   map[string]running
	short     []Item
	long      []Item
	alone     []Item
	expired   []Item
	meanShort time.Duration
	meanLong  time.Duration
	longBusy  int
	aloneBusy bool
	draining  bool
	holdUntil time.Duration
	gapUntil  time.Duration
	holding   bool
}

// New returns an empty queue.
func New(s Settings) *Queue {
	q := &Queue{running: map[string]running{}}
	q.Configure(s)
	return q
}

// Configure replaces the settings. Requests that run or wait are not affected.
func (q *Queue) Configure(s Settings) {
	s.Slots = max(s.Slots, 1)
	s.LongReserve = max(s.LongReserve, 0)
	q.settings = s
}

// Resize changes the number of slots.
func (q *Queue) Resize(slots int) {
	q.settings.Slots = max(slots, 1)
}

// Drain makes the queue refuse new requests. Queued ones still run.
func (q *Queue) Drain() {
	q.draining = true
}

// Load returns the number of busy slots, queued requests and slots.
func (q *Queue) Load() Load {
	return Load{Busy: len(q.running), LongBusy: q.longBusy, Queued: q.queued(), Slots: q.settings.Slots}
}

// Offer asks for a request to be run. A request that would wait beyond its deadline is refused at once.
func (q *Queue) Offer(now time.Duration, item Item) Decision {
	switch {
	case q.draining:
		return Decision{Verdict: Refused, Reason: ReasonLeaving}
	case q.known(item.ID):
		return Decision{Verdict: Refused, Reason: ReasonRepeated}
	case item.Deadline <= now:
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if q.mayStart(now, item) && q.firstInLine(item) {
		q.start(now, item)
		return Decision{Verdict: Run}
	}
	wait := q.expectedWait(now, item)
	if item.MaxWait > 0 && wait > item.MaxWait {
		return Decision{Verdict: Refused, Reason: ReasonBusy, Wait: wait}
	}
	if q.full(item) {
		return Decision{Verdict: Refused, Reason: ReasonFull, Wait: wait}
	}
	if now+wait+q.mean(item.Long) > item.Deadline {
		return Decision{Verdict: Refused, Reason: ReasonDeadline, Wait: wait}
	}
	q.insert(item)
	return Decision{Verdict: Queued, Wait: wait}
}

// Done records that a running request has ended. A negative service time ends it without learning from it.
func (q *Queue) Done(_ time.Duration, id string, serviceTime time.Duration) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	if r.item.Long {
		q.longBusy--
	}
	if r.item.Exclusive {
		q.aloneBusy = false
	}
	if serviceTime >= 0 {
		q.learn(r.item.Long, serviceTime)
	}
}

// Next starts and returns the queued requests that may run now. A request whose deadline can no longer be met is not
// started; Expire returns it.
func (q *Queue) Next(now time.Duration) []Item {
	q.dropLate(now)
	var started []Item
	for {
		item, ok := q.head(now)
		if !ok {
			return started
		}
		q.remove(item.ID)
		q.start(now, item)
		started = append(started, item)
	}
}

// Expire removes and returns the queued requests whose deadline cannot be met any more. It is called after Next.
func (q *Queue) Expire(now time.Duration) []Item {
	q.dropLate(now)
	if len(q.running) >= q.settings.Slots {
		q.dropOvertaken(now)
	}
	expired := q.expired
	q.expired = nil
	return expired
}

// Cancel removes a queued request and reports whether it was queued. A request that runs is not affected.
func (q *Queue) Cancel(id string) bool {
	return q.remove(id)
}

func (q *Queue) queued() int {
	return len(q.short) + len(q.long) + len(q.alone)
}

func (q *Queue) known(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	same := func(i Item) bool { return i.ID == id }
	return slices.ContainsFunc(q.short, same) || slices.ContainsFunc(q.long, same) || slices.ContainsFunc(q.alone, same)
}

// full reports whether the queue has no place for the item. Long requests use at most half of the places, so that
// short ones are not refused because of waiting long ones.
func (q *Queue) full(item Item) bool {
	if q.queued() >= q.settings.QueueLimit {
		return true
	}
	return item.Long && len(q.long) >= max(1, q.settings.QueueLimit/2)
}

func (q *Queue) longSlots() int {
	return max(1, q.settings.Slots-q.settings.LongReserve)
}

func (q *Queue) mayStart(now time.Duration, item Item) bool {
	if q.aloneBusy || len(q.running) >= q.settings.Slots {
		return false
	}
	if item.Exclusive {
		return len(q.running) == 0
	}
	if item.Long && q.longBusy >= q.longSlots() {
		return false
	}
	return !q.holdsForAlone(now)
}

// firstInLine reports whether no queued request goes before the item.
func (q *Queue) firstInLine(item Item) bool {
	if item.Exclusive {
		return len(q.alone) == 0
	}
	line := q.line(item)
	return len(*line) == 0 && (!item.Long || len(q.short) == 0)
}

// holdsForAlone reports whether other requests are kept waiting for one that runs alone. Holding alternates with gaps
// in which the others run, so neither side starves.
func (q *Queue) holdsForAlone(now time.Duration) bool {
	if len(q.alone) == 0 {
		q.holding = false
		return false
	}
	if q.holding && now >= q.holdUntil {
		q.holding = false
		q.gapUntil = now + aloneGap
	}
	if !q.holding && now >= q.gapUntil {
		q.holding = true
		q.holdUntil = now + aloneHold
	}
	return q.holding
}

func (q *Queue) start(now time.Duration, item Item) {
	q.running[item.ID] = running{item: item, start: now}
	if item.Long {
		q.longBusy++
	}
	if item.Exclusive {
		q.aloneBusy = true
		q.holding = false
		// The others get their turn before the next request that runs alone.
		q.gapUntil = now + aloneGap
	}
}

func (q *Queue) head(now time.Duration) (Item, bool) {
	if len(q.alone) > 0 && q.mayStart(now, q.alone[0]) && (now >= q.gapUntil || len(q.short)+len(q.long) == 0) {
		return q.alone[0], true
	}
	if len(q.short) > 0 && q.mayStart(now, q.short[0]) {
		return q.short[0], true
	}
	if len(q.long) > 0 && q.mayStart(now, q.long[0]) {
		return q.long[0], true
	}
	return Item{}, false
}

func (q *Queue) line(item Item) *[]Item {
	switch {
	case item.Exclusive:
		return &q.alone
	case item.Long:
		return &q.long
	default:
		return &q.short
	}
}

// before reports whether a queued item runs before a new one.
func (i Item) before(new Item) bool {
	if i.Priority != new.Priority {
		return i.Priority < new.Priority
	}
	return i.Deadline <= new.Deadline
}

func (q *Queue) insert(item Item) {
	line := q.line(item)
	at, _ := slices.BinarySearchFunc(*line, item, func(i, new Item) int {
		if i.before(new) {
			return -1
		}
		return 1
	})
	*line = slices.Insert(*line, at, item)
}

func (q *Queue) remove(id string) bool {
	for _, line := range []*[]Item{&q.short, &q.long, &q.alone} {
		at := slices.IndexFunc(*line, func(i Item) bool { return i.ID == id })
		if at >= 0 {
			*line = slices.Delete(*line, at, at+1)
			return true
		}
	}
	return false
}

// dropLate takes out the requests that would not be finished by their deadline if they started now.
func (q *Queue) dropLate(now time.Duration) {
	q.drop(func(i Item) bool { return i.Deadline <= now+q.mean(i.Long) })
}

// dropOvertaken takes out the requests that will not be finished by their deadline because of those that run before them.
// While more urgent ones keep coming, they would otherwise wait to the end for nothing. No slot may be free.
func (q *Queue) dropOvertaken(now time.Duration) {
	if q.queued() == 0 {
		return
	}
	first, working := q.capacity(now)
	var ahead time.Duration
	q.drop(func(i Item) bool {
		mean := q.mean(i.Long)
		late := i.Deadline <= now+q.waitFor(i, first, ahead, working)+mean
		if !late {
			ahead += mean
		}
		return late
	})
}

// drop takes out the queued requests that are late, in the order in which they would run.
func (q *Queue) drop(late func(i Item) bool) {
	for _, line := range []*[]Item{&q.short, &q.long, &q.alone} {
		*line = slices.DeleteFunc(*line, func(i Item) bool {
			if !late(i) {
				return false
			}
			q.expired = append(q.expired, i)
			return true
		})
	}
}

func (q *Queue) mean(long bool) time.Duration {
	if long {
		return cmp.Or(q.meanLong, q.settings.AssumedServiceTime)
	}
	return cmp.Or(q.meanShort, q.settings.AssumedServiceTime)
}

func (q *Queue) learn(long bool, serviceTime time.Duration) {
	mean := &q.meanShort
	if long {
		mean = &q.meanLong
	}
	if *mean == 0 {
		*mean = serviceTime
		return
	}
	*mean += time.Duration(estimateShare * float64(serviceTime-*mean))
}

// expectedWait estimates the time until the item would start: until the first of the running requests ends, and then
// for the requests that go before it, with all slots at work. A request that has run for long is expected to run on, so
// that its slot works off less.
func (q *Queue) expectedWait(now time.Duration, item Item) time.Duration {
	first, working := q.capacity(now)
	var ahead time.Duration
	for _, other := range q.short {
		if item.Long || item.Exclusive || other.before(item) {
			ahead += q.mean(false)
		}
	}
	if item.Long || item.Exclusive {
		ahead += time.Duration(len(q.long)) * q.mean(true)
	}
	return q.waitFor(item, first, ahead, working)
}

// capacity returns the time until the first of the running requests ends, if all slots were at work, and the number of
// slots that are.
func (q *Queue) capacity(now time.Duration) (first time.Duration, working float64) {
	slots := float64(q.settings.Slots)
	working = slots - float64(len(q.running))
	for _, r := range q.running {
		usual := q.mean(r.item.Long)
		first += usual
		working += float64(usual+1) / float64(max(usual, 2*min(now-r.start, overdue*usual))+1)
	}
	return time.Duration(float64(first) / (slots + 1)), working
}

// waitFor returns the time until an item starts, given the work that goes before it.
func (q *Queue) waitFor(item Item, first, ahead time.Duration, working float64) time.Duration {
	if item.Long {
		working *= float64(q.longSlots()) / float64(q.settings.Slots)
	}
	return time.Duration(float64(first+ahead) / max(working, minWorking))
}
