// Package admission decides which requests to an endpoint run, wait in a queue or are refused. It runs on the node that
// forwards the requests to the endpoint.
package admission

import (
	"cmp"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/pacing"
)

// Settings define the limits of an endpoint and its queue.
type Settings struct {
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// QueueLimit is the largest number of queued requests.
	QueueLimit int
	// LongReserve is the number of slots that long requests may not use. They may always use at least one slot.
	LongReserve int
	// AssumedServiceTime is the expected service time of requests of a class, short or long, until one of that class has been
	// measured.
	AssumedServiceTime time.Duration
}

// Item is a request to the endpoint. Times are measured by the same clock as the now arguments of Queue's methods.
type Item struct {
	// ID identifies the request among those that run or are queued.
	ID string
	// Long is set for requests of the long class, which run after short ones.
	Long bool
	// Deadline is the time by which the request must be finished.
	Deadline time.Duration
	// Priority orders the queued items of a class; lower values run first.
	Priority int
	// Exclusive is set for a request that must not run at the same time as any other on the endpoint.
	Exclusive bool
	// MaxWait, if not zero, is the longest expected wait with which the request is queued. If it is exceeded, the request is
	// refused with ReasonBusy, so that the node that sent it can try another endpoint and has an up-to-date load report.
	MaxWait time.Duration
}

// Verdict is the result of an offer.
type Verdict int

// Verdicts of Offer.
const (
	// Run means that the request has been started.
	Run Verdict = iota
	// Queued means that the request waits until Next or Expire returns it or Cancel removes it.
	Queued
	// Refused means that the request will not run on this offer.
	Refused
)

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNone is the reason of a request that is not refused.
	ReasonNone Reason = ""
	// ReasonFull means that the queue has no place for the request.
	ReasonFull Reason = "queue-full"
	// ReasonDeadline means that the request could not be finished by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonBusy means that the request would wait longer than its MaxWait.
	ReasonBusy Reason = "busy"
	// ReasonLimited means that the request would wait too long because of the endpoint's limit on the rate of requests.
	ReasonLimited Reason = "limited"
	// ReasonLeaving means that the queue is draining.
	ReasonLeaving Reason = "leaving"
	// ReasonRepeated means that a request with the same ID runs or is queued.
	ReasonRepeated Reason = "repeated-id"
)

// Decision is the result of an offer with the reason for a refusal.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Wait is the expected wait of a queued item, or of a refused one if it was estimated.
	Wait time.Duration
}

// Load is the load of an endpoint.
type Load struct {
	Busy     int // slots that run a request
	LongBusy int // slots that run a long request
	Queued   int // waiting requests
	Slots    int // all slots
}

const (
	// exclusiveHold is the longest time for which no other requests are started so that the endpoint becomes idle for an
	// exclusive one. If it does not become idle, others are started for exclusiveGap before the next hold.
	exclusiveHold = 500 * time.Millisecond
	exclusiveGap  = 500 * time.Millisecond
	// maxOverrun bounds the running time from which the remaining time of an overdue request is estimated, in units of the
	// mean service time of its class.
	maxOverrun = 4
	// minWorkingSlots keeps estimates finite while overdue requests occupy all slots.
	minWorkingSlots = 0.05
	// meanWeight is the weight of the latest service time in the moving average of its class.
	meanWeight = 0.1
)

// running is a request that has been started at the time start.
type running struct {
	item  Item
	start time.Duration
}

// Queue holds the running and the queued requests of one endpoint. Short requests run before long ones. Within a class,
// requests with the lowest priority value run first, and among these the one with the earliest deadline. A Queue is not safe
// for concurrent use.
type Queue struct {
	settings Settings
	running  map[string]running
	// short, long and exclusive hold the queued requests, each in the order in which they run.
	short     []Item
	long      []Item
	exclusive []Item
	// expired holds the requests that Expire returns next.
	expired []Item
	// meanShort and meanLong are the moving averages of the service times, or zero if none was measured.
	meanShort time.Duration
	meanLong  time.Duration
	// longBusy is the number of running long requests.
	longBusy int
	// pacer limits the rate at which requests are started.
	pacer            pacing.Pacer
	exclusiveRunning bool
	draining         bool
	// While holding is set, until holdUntil, only exclusive requests are started. No hold begins before gapUntil.
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

// Configure replaces the settings. Running and queued requests are not affected.
func (q *Queue) Configure(s Settings) {
	s.Slots = max(s.Slots, 1)
	s.LongReserve = max(s.LongReserve, 0)
	q.settings = s
}

// Resize changes the number of slots.
func (q *Queue) Resize(slots int) {
	q.settings.Slots = max(slots, 1)
}

// SetLimit limits the rate at which requests are started, in requests per second.
func (q *Queue) SetLimit(now time.Duration, limit float64) {
	q.pacer.SetLimit(now, limit)
}

// Unlimit ends the limit on the rate.
func (q *Queue) Unlimit() {
	q.pacer.Unlimit()
}

// Credit returns the number of further requests that the limit on the rate lets start now. It is negative if more requests
// wait than may start, and valid only if there is a limit.
func (q *Queue) Credit(now time.Duration) float64 {
	return q.pacer.Credit(now) - float64(q.queued())
}

// Drain makes the queue refuse new requests. Queued ones still run.
func (q *Queue) Drain() {
	q.draining = true
}

// Load returns the number of busy slots, queued requests and slots.
func (q *Queue) Load() Load {
	return Load{Busy: len(q.running), LongBusy: q.longBusy, Queued: q.queued(), Slots: q.settings.Slots}
}

// Offer starts, queues or refuses a request. A request that cannot start now and is not expected to be finished by its
// deadline is refused.
func (q *Queue) Offer(now time.Duration, item Item) Decision {
	switch {
	case q.draining:
		return Decision{Verdict: Refused, Reason: ReasonLeaving}
	case q.contains(item.ID):
		return Decision{Verdict: Refused, Reason: ReasonRepeated}
	case item.Deadline <= now:
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if q.mayStart(now, item) && q.isNext(item) {
		q.start(now, item)
		return Decision{Verdict: Run}
	}
	wait, paced := q.expectedWait(now, item)
	reason := ReasonNone
	switch {
	case item.MaxWait > 0 && wait > item.MaxWait:
		reason = ReasonBusy
	case q.full(item):
		reason = ReasonFull
	case now+wait+q.mean(item.Long) > item.Deadline:
		reason = ReasonDeadline
	}
	if reason != ReasonNone {
		if paced {
			reason = ReasonLimited
		}
		return Decision{Verdict: Refused, Reason: reason, Wait: wait}
	}
	q.insert(item)
	return Decision{Verdict: Queued, Wait: wait}
}

// Done records that a running request has ended. A negative service time is not used for the estimates.
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
		q.exclusiveRunning = false
	}
	if serviceTime >= 0 {
		q.addServiceTime(r.item.Long, serviceTime)
	}
}

// Next starts and returns the queued requests that may run now. A request whose deadline can no longer be met is not
// started; Expire returns it.
func (q *Queue) Next(now time.Duration) []Item {
	q.dropLate(now)
	var started []Item
	for {
		item, ok := q.nextStartable(now)
		if !ok {
			return started
		}
		q.remove(item.ID)
		q.start(now, item)
		started = append(started, item)
	}
}

// UntilStart returns the time until the limit on the rate lets the next queued request start. It returns false if none is queued
// or the limit does not hold it up.
func (q *Queue) UntilStart(now time.Duration) (time.Duration, bool) {
	wait := q.pacer.Wait(now, 0)
	return wait, wait > 0 && q.queued() > 0
}

// Expire removes and returns the queued requests whose deadline can no longer be met. It must be called after Next, which
// starts requests in free slots.
func (q *Queue) Expire(now time.Duration) []Item {
	q.dropLate(now)
	if len(q.running) >= q.settings.Slots || q.pacer.Wait(now, 0) > 0 {
		q.dropOvertaken(now)
	}
	expired := q.expired
	q.expired = nil
	return expired
}

// Cancel removes a queued request and reports whether it was queued. A running request is not affected.
func (q *Queue) Cancel(id string) bool {
	return q.remove(id)
}

// queued returns the number of queued requests.
func (q *Queue) queued() int {
	return len(q.short) + len(q.long) + len(q.exclusive)
}

// contains reports whether a request with the id runs or is queued.
func (q *Queue) contains(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	same := func(i Item) bool { return i.ID == id }
	return slices.ContainsFunc(q.short, same) || slices.ContainsFunc(q.long, same) || slices.ContainsFunc(q.exclusive, same)
}

// full reports whether the queue has no place for the item. Long requests occupy at most half of the places, so that
// queued long requests do not cause the refusal of short ones.
func (q *Queue) full(item Item) bool {
	if q.queued() >= q.settings.QueueLimit {
		return true
	}
	return item.Long && len(q.long) >= max(1, q.settings.QueueLimit/2)
}

// longSlots returns the number of slots that long requests may use.
func (q *Queue) longSlots() int {
	return max(1, q.settings.Slots-q.settings.LongReserve)
}

// mayStart reports whether the item may run at the same time as the running requests.
func (q *Queue) mayStart(now time.Duration, item Item) bool {
	if q.exclusiveRunning || len(q.running) >= q.settings.Slots || q.pacer.Wait(now, 0) > 0 {
		return false
	}
	if item.Exclusive {
		return len(q.running) == 0
	}
	if item.Long && q.longBusy >= q.longSlots() {
		return false
	}
	return !q.holdsForExclusive(now)
}

// isNext reports whether no request is queued that may have to run before the item: one of the same list, or for a long item
// a short one.
func (q *Queue) isNext(item Item) bool {
	if item.Exclusive {
		return len(q.exclusive) == 0
	}
	list := q.listOf(item)
	return len(*list) == 0 && (!item.Long || len(q.short) == 0)
}

// holdsForExclusive reports whether other requests are not started, so that the endpoint becomes idle for an exclusive one.
// Holds alternate with gaps in which other requests are started, so that neither kind starves.
func (q *Queue) holdsForExclusive(now time.Duration) bool {
	if len(q.exclusive) == 0 {
		q.holding = false
		return false
	}
	if q.holding && now >= q.holdUntil {
		q.holding = false
		q.gapUntil = now + exclusiveGap
	}
	if !q.holding && now >= q.gapUntil {
		q.holding = true
		q.holdUntil = now + exclusiveHold
	}
	return q.holding
}

func (q *Queue) start(now time.Duration, item Item) {
	q.running[item.ID] = running{item: item, start: now}
	q.pacer.Start(now)
	if item.Long {
		q.longBusy++
	}
	if item.Exclusive {
		q.exclusiveRunning = true
		q.holding = false
		// Other requests are started before the next exclusive one.
		q.gapUntil = now + exclusiveGap
	}
}

// nextStartable returns the queued request that may be started next, if there is one.
func (q *Queue) nextStartable(now time.Duration) (Item, bool) {
	if len(q.exclusive) > 0 && q.mayStart(now, q.exclusive[0]) && (now >= q.gapUntil || len(q.short)+len(q.long) == 0) {
		return q.exclusive[0], true
	}
	if len(q.short) > 0 && q.mayStart(now, q.short[0]) {
		return q.short[0], true
	}
	if len(q.long) > 0 && q.mayStart(now, q.long[0]) {
		return q.long[0], true
	}
	return Item{}, false
}

// listOf returns the list in which the item is queued.
func (q *Queue) listOf(item Item) *[]Item {
	switch {
	case item.Exclusive:
		return &q.exclusive
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
	list := q.listOf(item)
	at, _ := slices.BinarySearchFunc(*list, item, func(i, new Item) int {
		if i.before(new) {
			return -1
		}
		return 1
	})
	*list = slices.Insert(*list, at, item)
}

func (q *Queue) remove(id string) bool {
	for _, list := range []*[]Item{&q.short, &q.long, &q.exclusive} {
		at := slices.IndexFunc(*list, func(i Item) bool { return i.ID == id })
		if at >= 0 {
			*list = slices.Delete(*list, at, at+1)
			return true
		}
	}
	return false
}

// dropLate moves the requests to expired that would not be finished by their deadlines if they were started now.
func (q *Queue) dropLate(now time.Duration) {
	q.drop(func(i Item) bool { return i.Deadline <= now+q.mean(i.Long) })
}

// dropOvertaken moves the requests to expired that will not be finished by their deadlines because others run before them.
// Otherwise, a request that more urgent ones keep overtaking would wait until it is too late to try another endpoint. No
// request may be startable when dropOvertaken is called.
func (q *Queue) dropOvertaken(now time.Duration) {
	if q.queued() == 0 {
		return
	}
	first, working := q.capacity(now)
	var ahead time.Duration
	before := 0
	q.drop(func(i Item) bool {
		mean := q.mean(i.Long)
		late := i.Deadline <= now+max(q.waitFor(i, first, ahead, working), q.pacer.Wait(now, before))+mean
		if !late {
			ahead += mean
			before++
		}
		return late
	})
}

// drop moves the queued requests to expired for which late returns true. It calls late in the order in which they would run.
func (q *Queue) drop(late func(i Item) bool) {
	for _, list := range []*[]Item{&q.short, &q.long, &q.exclusive} {
		*list = slices.DeleteFunc(*list, func(i Item) bool {
			if !late(i) {
				return false
			}
			q.expired = append(q.expired, i)
			return true
		})
	}
}

// mean returns the mean service time of a class, or the assumed one if none was measured.
func (q *Queue) mean(long bool) time.Duration {
	if long {
		return cmp.Or(q.meanLong, q.settings.AssumedServiceTime)
	}
	return cmp.Or(q.meanShort, q.settings.AssumedServiceTime)
}

// addServiceTime updates the mean service time of a class.
func (q *Queue) addServiceTime(long bool, serviceTime time.Duration) {
	mean := &q.meanShort
	if long {
		mean = &q.meanLong
	}
	if *mean == 0 {
		*mean = serviceTime
		return
	}
	*mean += time.Duration(meanWeight * float64(serviceTime-*mean))
}

// expectedWait estimates the time until the item would start: the time until the first running request ends, and the time
// for the queued requests that run before the item, divided among the working slots, or the time until the limit on the rate
// lets it start if that is longer; paced is set then. Queued exclusive requests are not counted. For a long or exclusive item
// all queued short and long ones are counted, whatever their priorities are.
func (q *Queue) expectedWait(now time.Duration, item Item) (wait time.Duration, paced bool) {
	first, working := q.capacity(now)
	var ahead time.Duration
	before := 0
	for _, other := range q.short {
		if item.Long || item.Exclusive || other.before(item) {
			ahead += q.mean(false)
			before++
		}
	}
	if item.Long || item.Exclusive {
		ahead += time.Duration(len(q.long)) * q.mean(true)
		before += len(q.long)
	}
	forSlot, forRate := q.waitFor(item, first, ahead, working), q.pacer.Wait(now, before)
	return max(forSlot, forRate), forRate > forSlot
}

// capacity returns the number of working slots, and the expected time until the first running request ends, multiplied by that
// number. A request that has run for more than half the mean service time of its class is expected to need twice its running
// time so far, at most 2*maxOverrun mean service times, so its slot counts only in part. The added 1 ns avoids a division by
// zero.
func (q *Queue) capacity(now time.Duration) (first time.Duration, working float64) {
	slots := float64(q.settings.Slots)
	working = slots - float64(len(q.running))
	for _, r := range q.running {
		usual := q.mean(r.item.Long)
		first += usual
		working += float64(usual+1) / float64(max(usual, 2*min(now-r.start, maxOverrun*usual))+1)
	}
	return time.Duration(float64(first) / (slots + 1)), working
}

// waitFor returns the expected time until an item starts. The results of capacity are first and working, and ahead is the
// total service time of the queued requests that run before the item.
func (q *Queue) waitFor(item Item, first, ahead time.Duration, working float64) time.Duration {
	if item.Long {
		working *= float64(q.longSlots()) / float64(q.settings.Slots)
	}
	return time.Duration(float64(first+ahead) / max(working, minWorkingSlots))
}
