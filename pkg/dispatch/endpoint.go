package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/transport"
)

var (
	errExpired   = errors.New("removed from the queue: the deadline can no longer be met")
	errWithdrawn = errors.New("removed from the queue: withdrawn by the ingress")
	errSuspect   = errors.New("removed from the queue: the endpoint probably fails")
	errLeaving   = errors.New("removed from the queue: the endpoint leaves")
)

const (
	// unknownSlots is the number of slots of an endpoint that is not in the view of this node yet.
	unknownSlots = 1
	// queuePerSlot limits the length of the queue per slot. At peak load a request that would be queued behind more than two
	// others per slot is better refused or sent to another endpoint.
	queuePerSlot = 3
	// longReserve is the number of slots that downloads must leave free for other requests.
	longReserve = 1
	// defaultServiceTime is the least service time that is assumed for a route before any of its requests succeeded.
	defaultServiceTime = 150 * time.Millisecond
	// serviceWeight is the weight of the latest request in the mean service time of its route. In the mean over all routes
	// the weight of a request that is shorter than the mean is reduced in proportion, so that many short requests do not
	// hide the duration of the others.
	serviceWeight = 0.15
	// A request counts as stalled once its age exceeds stallFactor times the mean service time of its route, and minStall.
	stallFactor = 2.3
	minStall    = 150 * time.Millisecond
	// An error response within promptShare of the route's mean service time is evidence that the endpoint itself fails: it
	// came too early for the request to have been processed. A later one counts as faultfilter.LateFailure.
	promptShare = 0.35
	// degradedFrom is the failure probability from which an endpoint counts as degraded. When the probability crosses this
	// value, in either direction, the other nodes are notified at once.
	degradedFrom = 0.15
	// suspectFrom is the failure probability from which queued requests are refused, so that their ingress can send them to
	// another endpoint. They are kept if the whole service fails, that is, if the median failure probability of the other
	// endpoints is not below healthyBelow.
	suspectFrom  = 0.6
	healthyBelow = 0.3
	// maxRoutes limits the number of routes whose service times are kept separately.
	maxRoutes = 256
)

// running is a request that was sent to the endpoint and has not ended.
type running struct {
	// begin is the time at which sending began.
	begin time.Duration
	// sentAt is the same time of day, for the comparison with the start times of endpoints.
	sentAt time.Time
	// endedAt is when the request ended, if it ended without an answer.
	endedAt time.Duration
	// limit is the age from which the request counts as stalled; stalled is set once that was observed.
	limit   time.Duration
	stalled bool
	// request has no Transport: its body must not be kept after the request has ended.
	request *Request
	// sent is set once the first byte may have been written to the endpoint, lost once its connection has ended without a
	// response, and crashed once it counts as in flight at a crash of the endpoint.
	sent, lost, crashed bool
}

// endpoint is the state of one endpoint on this host.
type endpoint struct {
	dispatcher *Dispatcher
	id         string

	mu sync.Mutex
	// startedAtMS is the start time in the endpoint's registry entry, by which a restart is detected.
	startedAtMS int64
	service     string
	slots       int
	queue       *admission.Queue
	// waiting holds, by attempt, the channels on which queued requests receive nil when they are granted a slot, or the
	// error with which they are refused.
	waiting map[string]chan error
	running map[string]*running
	// paced advances the queue when the limit on the rate lets the next request start.
	paced  clock.Alarm
	filter faultfilter.Filter
	// meanTime is the mean service time over all routes, or 0 if no request has succeeded yet; routeTimes holds the mean
	// of each route.
	meanTime   time.Duration
	routeTimes map[string]time.Duration
	// lastOutcome is the time of the latest outcome or stall, and lastStart that of the latest start of a request. They are valid
	// if hasOutcome is set.
	lastOutcome, lastStart time.Duration
	hasOutcome             bool
	// determining is held while the cause of a lost connection is determined.
	determining sync.Mutex
	// latestCrash identifies the latest crash, which was determined at crashedAt.
	latestCrash uint64
	crashedAt   time.Duration
	// unanswered holds the requests that have ended without an answer and for whose end no cause is known yet.
	unanswered []*running
	// silentFrom is the time since which a request has waited while the endpoint sent nothing, or 0 if none waits.
	silentFrom time.Duration
	// silentCrash is set from a crash that silence has shown until the endpoint sends something again.
	silentCrash bool
	// checking is set while a health check is under way, the latest of which began at checkedAt.
	checking  bool
	checkedAt time.Duration
	// atCrossing is the failure probability when it last crossed degradedFrom, or 0 if it has not.
	atCrossing float64
}

func newEndpoint(d *Dispatcher, id string) *endpoint {
	e := &endpoint{
		dispatcher: d,
		id:         id,
		waiting:    make(map[string]chan error),
		running:    make(map[string]*running),
		routeTimes: make(map[string]time.Duration),
	}
	e.resize(unknownSlots)
	return e
}

// configure applies the endpoint's registry entry. If the endpoint was restarted, its failure probability is reset. It returns
// true if it was restarted after it had been known.
func (e *endpoint) configure(listed *registry.Endpoint) (restarted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = listed.Service
	if listed.StartedAtMS != e.startedAtMS {
		restarted = e.startedAtMS != 0
		e.silentCrash = false
		e.startedAtMS = listed.StartedAtMS
		e.filter.Reset()
	}
	if listed.Slots != e.slots {
		e.resize(listed.Slots)
	}
	return restarted
}

// resize sets the number of slots and the limits that follow from it. The caller holds the lock.
func (e *endpoint) resize(slots int) {
	e.slots = slots
	settings := admission.Settings{
		Slots: slots, QueueLimit: slots * queuePerSlot, LongReserve: longReserve, AssumedServiceTime: defaultServiceTime,
	}
	if e.queue == nil {
		e.queue = admission.New(settings)
		return
	}
	e.queue.Configure(settings)
}

// idle reports whether no request is running or queued.
func (e *endpoint) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.queue.Load()
	return load.Busy+load.Queued == 0
}

func (e *endpoint) report() reports.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	load := e.queue.Load()
	r := reports.Endpoint{
		ID:            e.id,
		FailPerMille:  int(1000 * e.filter.Probability(now)),
		Busy:          load.Busy,
		Queued:        load.Queued,
		Slots:         load.Slots,
		ServiceTimeMS: int(e.expectedTime(now).Milliseconds()),
		StartAgeMS:    -1,
	}
	if r.Announced = e.applyLimit(now); r.Announced.Limited {
		r.Credit = e.queue.Credit(now)
	}
	if e.hasOutcome {
		r.StartAgeMS = int((now - e.lastStart).Milliseconds())
	}
	return r
}

// expectedTime returns the mean service time, or 0 if no request has succeeded yet. While at least two running requests are
// older than that, it returns the age of the second oldest: one long request is normal, two indicate a slow endpoint. The
// caller holds the lock.
func (e *endpoint) expectedTime(now time.Duration) time.Duration {
	if len(e.running) < 2 {
		return e.meanTime
	}
	ages := make([]time.Duration, 0, len(e.running))
	for _, r := range e.running {
		ages = append(ages, now-r.begin)
	}
	slices.Sort(ages)
	second := ages[len(ages)-2]
	if e.meanTime == 0 && second < max(e.peersTime(), defaultServiceTime) {
		return 0
	}
	return max(e.meanTime, second)
}

// run admits a request and sends it.
func (e *endpoint) run(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if failure := e.admit(ctx, r); failure != nil {
		return nil, failure
	}
	answered := false
	defer func() {
		// The slot must be released after a panic, too.
		if !answered {
			e.release(r.Attempt, noServiceTime)
		}
	}()
	response, failure := e.dispatch(ctx, r)
	answered = failure == nil
	return response, failure
}

// noServiceTime is passed for a request whose duration says nothing about the service time of others, because it did not
// succeed.
const noServiceTime = -1

// admit waits for a slot. It returns nil if the request may be sent, or the failure with which it is refused.
func (e *endpoint) admit(ctx context.Context, r *Request) *outcome.Error {
	granted, failure := e.offer(ctx, r)
	if granted == nil || failure != nil {
		return failure
	}
	select {
	case err := <-granted:
		switch {
		case errors.Is(err, errWithdrawn):
			return refuse(r, stepAdmit, outcome.ReasonVoided, err)
		case errors.Is(err, errSuspect):
			return refuse(r, stepAdmit, outcome.ReasonEndpointSuspect, err)
		case errors.Is(err, errLeaving):
			return refuse(r, stepAdmit, outcome.ReasonLeaving, err)
		case err != nil:
			return refuse(r, stepAdmit, outcome.ReasonDeadline, err)
		}
		return nil
	case <-ctx.Done():
		return e.cancelWait(ctx, r, granted)
	}
}

// offer offers a request to the queue. It returns a failure if the queue refuses it, nil and nil if it may run at once, and
// otherwise the channel on which the decision follows.
func (e *endpoint) offer(ctx context.Context, r *Request) (chan error, *outcome.Error) {
	now := e.dispatcher.now()
	deadline, _ := ctx.Deadline()
	item := admission.Item{ID: r.Attempt, Long: r.Long, Priority: r.Priority, Deadline: now + time.Until(deadline), MaxWait: r.MaxWait}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mustRunElsewhere(r) {
		return nil, refuse(r, stepAdmit, outcome.ReasonBusy, errOtherSuspect)
	}
	e.applyLimit(now)
	decided := e.queue.Offer(now, item)
	switch decided.Verdict {
	case admission.Run:
		return nil, nil
	case admission.Queued:
		granted := make(chan error, 1)
		e.waiting[r.Attempt] = granted
		e.scheduleStart(now)
		return granted, nil
	default:
		err := fmt.Errorf("the request would wait %v", decided.Wait)
		return nil, refuse(r, stepAdmit, refusalReason(decided.Reason), err)
	}
}

// applyLimit applies the limit on the rate of requests that the endpoint has announced, or its end, to the queue. The caller
// holds the lock.
func (e *endpoint) applyLimit(now time.Duration) announce.State {
	announced := e.dispatcher.options.Announcements.State(e.id)
	if announced.Limited {
		e.queue.SetLimit(now, announced.Limit)
	} else {
		e.queue.Unlimit()
	}
	return announced
}

func refusalReason(reason admission.Reason) outcome.Reason {
	switch reason {
	case admission.ReasonDeadline:
		return outcome.ReasonDeadline
	case admission.ReasonBusy:
		return outcome.ReasonBusy
	case admission.ReasonLimited:
		return outcome.ReasonLimited
	default:
		return outcome.ReasonQueueFull
	}
}

// cancelWait removes a request whose context ended from the queue. If it was granted a slot meanwhile, the slot is
// released.
func (e *endpoint) cancelWait(ctx context.Context, r *Request, granted chan error) *outcome.Error {
	e.mu.Lock()
	cancelled := e.queue.Cancel(r.Attempt)
	delete(e.waiting, r.Attempt)
	e.mu.Unlock()
	if !cancelled && <-granted == nil {
		e.release(r.Attempt, noServiceTime)
	}
	reason := outcome.ReasonCancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = outcome.ReasonDeadline
	}
	return refuse(r, stepAdmit, reason, context.Cause(ctx))
}

// withdraw removes a request from the queue and reports whether it was queued.
func (e *endpoint) withdraw(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.queue.Cancel(attempt) {
		return false
	}
	e.decide(attempt, errWithdrawn)
	return true
}

// release releases the slot of a request and grants slots to the next ones.
func (e *endpoint) release(attempt string, served time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	delete(e.running, attempt)
	e.queue.Done(now, attempt, served)
	e.advance(now)
}

// advance grants free slots to queued requests and refuses those whose deadline can no longer be met. The caller holds the
// lock.
func (e *endpoint) advance(now time.Duration) {
	e.applyLimit(now)
	for _, item := range e.queue.Next(now) {
		e.decide(item.ID, nil)
	}
	for _, item := range e.queue.Expire(now) {
		e.decide(item.ID, errExpired)
	}
	e.scheduleStart(now)
}

// scheduleStart advances the queue when the limit on the rate lets the next request start, if it holds that up. The caller holds
// the lock.
func (e *endpoint) scheduleStart(now time.Duration) {
	if wait, held := e.queue.UntilStart(now); held {
		e.paced.Set(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.advance(e.dispatcher.now())
		})
	}
}

// decide hands a queued request its decision: nil grants a slot, an error refuses the request. The caller holds the lock.
func (e *endpoint) decide(attempt string, err error) {
	if granted := e.waiting[attempt]; granted != nil {
		delete(e.waiting, attempt)
		granted <- err
	}
}

// begin records that a request is about to be sent. It refuses a suspect if another one has begun while this one was queued.
func (e *endpoint) begin(r *Request) *outcome.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mustRunElsewhere(r) {
		return refuse(r, stepDispatch, outcome.ReasonBusy, errOtherSuspect)
	}
	usual := e.usualTime(r.Route)
	e.lastStart = e.dispatcher.now()
	if e.silentFrom == 0 {
		e.silentFrom = e.lastStart
	}
	e.running[r.Attempt] = &running{
		begin: e.lastStart, sentAt: time.Now(), limit: max(time.Duration(stallFactor*float64(usual)), minStall),
		request: &Request{Meta: r.Meta},
	}
	return nil
}

// usualTime returns the mean service time of a route, or an estimate if none of its requests has succeeded yet. The caller
// holds the lock.
func (e *endpoint) usualTime(route string) time.Duration {
	if known, ok := e.routeTimes[route]; ok {
		return known
	}
	return max(e.meanTime, defaultServiceTime, e.peersTime())
}

// observe updates the failure probability and the service times with the outcome of a request. The time took runs from the
// start of sending to the end of the response; for a failure it runs to the response head, or is 0 if the failure counts
// as prompt in any case.
func (e *endpoint) observe(r *Request, o faultfilter.Outcome, took time.Duration) {
	e.mu.Lock()
	now := e.dispatcher.now()
	if o == faultfilter.Failure && took > time.Duration(promptShare*float64(e.usualTime(r.Route))) {
		o = faultfilter.LateFailure
	}
	e.filter.Observe(now, o)
	e.lastOutcome, e.hasOutcome = now, true
	if o == faultfilter.Success {
		e.observeTime(r.Route, took)
	}
	crossed := e.crossedDegraded(now)
	e.refuseIfSuspect(now)
	e.mu.Unlock()
	if crossed || o != faultfilter.Success {
		e.dispatcher.options.ConditionChanged()
	}
}

// observeTime adds the duration of a successful request to the mean service times. The caller holds the lock.
func (e *endpoint) observeTime(route string, took time.Duration) {
	if e.meanTime == 0 {
		e.meanTime = took
	} else {
		weight := serviceWeight * min(1, took.Seconds()/e.meanTime.Seconds())
		e.meanTime += time.Duration(weight * float64(took-e.meanTime))
	}
	known, ok := e.routeTimes[route]
	switch {
	case ok:
		e.routeTimes[route] = known + time.Duration(serviceWeight*float64(took-known))
	case len(e.routeTimes) < maxRoutes:
		e.routeTimes[route] = max(took, defaultServiceTime)
	}
}

// crossedDegraded reports whether the failure probability has crossed degradedFrom since the last call that returned true,
// so that the other nodes should be notified at once. It records the crossing. The caller holds the lock.
func (e *endpoint) crossedDegraded(now time.Duration) bool {
	p := e.filter.Probability(now)
	if (p >= degradedFrom) == (e.atCrossing >= degradedFrom) {
		return false
	}
	result := "trusted"
	if p >= degradedFrom {
		result = "doubted"
	}
	e.dispatcher.options.Decisions.Record(decision.Decision{
		Step: stepHealth, Service: e.service, Subject: e.id, Outcome: result, Reason: "outcomes",
		Inputs: map[string]any{
			"fail": p, "before": e.atCrossing, "outcome_age_ms": (now - e.lastOutcome).Milliseconds(), "open": len(e.running),
			"service_ms": e.meanTime.Milliseconds(),
		},
	})
	e.atCrossing = p
	return true
}

// peersTime returns the median service time of the other endpoints of the service, or 0 if it is not known. The caller
// holds the lock.
func (e *endpoint) peersTime() time.Duration {
	peers, ok := e.dispatcher.options.PeerMedian(e.service, e.id)
	if !ok {
		return 0
	}
	return time.Duration(peers.ServiceTimeMS) * time.Millisecond
}

// peersHealthy reports whether the median failure probability of the other endpoints is below healthyBelow. The caller
// holds the lock.
func (e *endpoint) peersHealthy() bool {
	peers, ok := e.dispatcher.options.PeerMedian(e.service, e.id)
	return ok && peers.FailPerMille < healthyBelow*1000
}

// refuseIfSuspect refuses the queued requests if the endpoint probably fails and the others of its service do not. It must be
// called before a slot is granted again, because an endpoint that fails fast would otherwise fail the whole queue within
// milliseconds. The caller holds the lock.
func (e *endpoint) refuseIfSuspect(now time.Duration) {
	if len(e.waiting) == 0 || e.filter.Probability(now) < suspectFrom || !e.peersHealthy() {
		return
	}
	e.refuseWaiting(errSuspect)
}

// refuseWaiting refuses all queued requests. The caller holds the lock.
func (e *endpoint) refuseWaiting(err error) {
	for attempt := range e.waiting {
		if e.queue.Cancel(attempt) {
			e.decide(attempt, err)
		}
	}
}

// check observes newly stalled requests, refuses the queued ones if the endpoint is suspect or leaves, and advances the queue. It
// reports whether the other nodes should be notified of the endpoint's condition.
func (e *endpoint) check() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	stalled := false
	for _, r := range e.running {
		if !r.stalled && now-r.begin > r.limit {
			r.stalled, stalled = true, true
			e.filter.Observe(now, faultfilter.Stalled)
			e.lastOutcome, e.hasOutcome = now, true
		}
	}
	e.checkSilence(now)
	e.refuseIfSuspect(now)
	if len(e.waiting) > 0 && e.dispatcher.endpointLeaves(e.id) {
		e.refuseWaiting(errLeaving)
	}
	e.advance(now)
	return e.crossedDegraded(now) || stalled
}
