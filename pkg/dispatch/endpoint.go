package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/transport"
)

var (
	errExpired   = errors.New("its deadline could no longer be met")
	errWithdrawn = errors.New("withdrawn by its ingress")
	errSuspect   = errors.New("the endpoint became suspect")
)

const (
	// unknownSlots is used until the endpoint's entry is known.
	unknownSlots = 1
	// queuePerSlot bounds the queue. At the crest of a rush a request that would wait longer than two others is better
	// refused or placed elsewhere.
	queuePerSlot = 3
	// longReserve is the number of slots that downloads leave free.
	longReserve = 1
	// defaultService is the least time that is assumed for requests of a route before any was seen.
	defaultService = 150 * time.Millisecond
	// serviceWeight is the weight of the latest request in the mean of its route. In the mean over all routes a request
	// weighs less in proportion if it is shorter, so that many short ones do not hide how long the others take.
	serviceWeight = 0.15
	// A request counts as stalled once it is stallFactor times as old as the mean of its route, at least minStall.
	stallFactor = 2.3
	minStall    = 150 * time.Millisecond
	// An error answer within promptShare of the mean time did no real work.
	promptShare = 0.35
	// doubt is the probability of failing from which a change is told to the other nodes at once.
	doubt = 0.15
	// suspectFrom is the probability of failing from which waiting requests are sent back, so that they can be placed
	// elsewhere. They are not if the service fails as a whole, that is, if half of the other endpoints are beyond
	// soundUpTo.
	suspectFrom = 0.6
	soundUpTo   = 0.3
	// maxRoutes bounds the routes whose service times are kept apart.
	maxRoutes = 256
)

type running struct {
	begin   time.Duration
	limit   time.Duration
	stalled bool
}

// endpoint is the state of one endpoint beside the node.
type endpoint struct {
	dispatcher *Dispatcher
	id         string

	mu       sync.Mutex
	born     int64
	service  string
	slots    int
	queue    *admission.Queue
	waiting  map[string]chan error
	running  map[string]*running
	filter   faultfilter.Filter
	mean     time.Duration
	routes   map[string]time.Duration
	outcome  time.Duration
	observed bool
	told     float64
}

func newEndpoint(d *Dispatcher, id string) *endpoint {
	e := &endpoint{
		dispatcher: d,
		id:         id,
		waiting:    make(map[string]chan error),
		running:    make(map[string]*running),
		routes:     make(map[string]time.Duration),
	}
	e.resize(unknownSlots)
	return e
}

// configure takes over the endpoint's entry. A restarted endpoint starts without evidence.
func (e *endpoint) configure(listed *registry.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = listed.Service
	if listed.StartedAtMS != e.born {
		e.born = listed.StartedAtMS
		e.filter.Reset()
	}
	if listed.Slots != e.slots {
		e.resize(listed.Slots)
	}
}

func (e *endpoint) resize(slots int) {
	e.slots = slots
	settings := admission.Settings{
		Slots: slots, QueueLimit: slots * queuePerSlot, LongReserve: longReserve, AssumedServiceTime: defaultService,
	}
	if e.queue == nil {
		e.queue = admission.New(settings)
		return
	}
	e.queue.Configure(settings)
}

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
		ServiceTimeMS: int(e.expectedService(now).Milliseconds()),
		OutcomeAgeMS:  -1,
	}
	if e.observed {
		r.OutcomeAgeMS = int((now - e.outcome).Milliseconds())
	}
	return r
}

// expectedService is the mean time for a request, or 0 if none was answered yet. While more than one open request is
// older, it is the age of the second oldest: one long request is ordinary, two are a sign of a slow endpoint.
func (e *endpoint) expectedService(now time.Duration) time.Duration {
	if len(e.running) < 2 {
		return e.mean
	}
	ages := make([]time.Duration, 0, len(e.running))
	for _, r := range e.running {
		ages = append(ages, now-r.begin)
	}
	slices.Sort(ages)
	second := ages[len(ages)-2]
	if e.mean == 0 && second < max(e.peersMean(), defaultService) {
		return 0
	}
	return max(e.mean, second)
}

// run admits a request and sends it.
func (e *endpoint) run(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if failure := e.admit(ctx, r); failure != nil {
		return nil, failure
	}
	answered := false
	defer func() {
		// Also after a panic, the slot must not stay occupied.
		if !answered {
			e.done(r.Attempt, notLearned)
		}
	}()
	response, failure := e.dispatch(ctx, r)
	answered = failure == nil
	return response, failure
}

// notLearned is the service time of a request that ended without an answer. It says nothing about those to come.
const notLearned = -1

// admit waits for a slot. It returns when the request may be sent or is refused.
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
		case err != nil:
			return refuse(r, stepAdmit, outcome.ReasonDeadline, err)
		}
		return nil
	case <-ctx.Done():
		return e.abandon(ctx, r, granted)
	}
}

func (e *endpoint) offer(ctx context.Context, r *Request) (chan error, *outcome.Error) {
	now := e.dispatcher.now()
	deadline, _ := ctx.Deadline()
	item := admission.Item{ID: r.Attempt, Long: r.Long, Priority: r.Priority, Deadline: now + time.Until(deadline), MaxWait: r.MaxWait}
	e.mu.Lock()
	defer e.mu.Unlock()
	decided := e.queue.Offer(now, item)
	switch decided.Verdict {
	case admission.Run:
		return nil, nil
	case admission.Queued:
		granted := make(chan error, 1)
		e.waiting[r.Attempt] = granted
		return granted, nil
	default:
		return nil, refuse(r, stepAdmit, refusalReason(decided.Reason), nil)
	}
}

func refusalReason(reason admission.Reason) outcome.Reason {
	switch reason {
	case admission.ReasonDeadline:
		return outcome.ReasonDeadline
	case admission.ReasonBusy:
		return outcome.ReasonBusy
	default:
		return outcome.ReasonQueueFull
	}
}

// abandon takes a request whose context ended out of the queue. If it was granted a slot meanwhile, the slot is freed.
func (e *endpoint) abandon(ctx context.Context, r *Request, granted chan error) *outcome.Error {
	e.mu.Lock()
	cancelled := e.queue.Cancel(r.Attempt)
	delete(e.waiting, r.Attempt)
	e.mu.Unlock()
	if !cancelled && <-granted == nil {
		e.done(r.Attempt, notLearned)
	}
	reason := outcome.ReasonCancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = outcome.ReasonDeadline
	}
	return refuse(r, stepAdmit, reason, context.Cause(ctx))
}

// withdraw drops a queued request and reports whether it was queued.
func (e *endpoint) withdraw(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.queue.Cancel(attempt) {
		return false
	}
	e.tell(attempt, errWithdrawn)
	return true
}

// done frees the slot of a request and lets the next ones run.
func (e *endpoint) done(attempt string, served time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	delete(e.running, attempt)
	e.queue.Done(now, attempt, served)
	e.advance(now)
}

// advance tells the waiting requests what the queue decided. The caller holds the lock.
func (e *endpoint) advance(now time.Duration) {
	for _, item := range e.queue.Next(now) {
		e.tell(item.ID, nil)
	}
	for _, item := range e.queue.Expire(now) {
		e.tell(item.ID, errExpired)
	}
}

func (e *endpoint) tell(attempt string, err error) {
	if granted := e.waiting[attempt]; granted != nil {
		delete(e.waiting, attempt)
		granted <- err
	}
}

// begin records that a request was sent.
func (e *endpoint) begin(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	usual := e.usual(r.Route)
	e.running[r.Attempt] = &running{
		begin: e.dispatcher.now(), limit: max(time.Duration(stallFactor*float64(usual)), minStall),
	}
}

// usual returns the mean time for a request of a route. The caller holds the lock.
func (e *endpoint) usual(route string) time.Duration {
	if known, ok := e.routes[route]; ok {
		return known
	}
	return max(e.mean, defaultService, e.peersMean())
}

// learn takes the outcome of a request as evidence. The time is that from the first byte sent to the end of the
// response.
func (e *endpoint) learn(r *Request, o faultfilter.Outcome, took time.Duration) {
	e.mu.Lock()
	now := e.dispatcher.now()
	if o == faultfilter.Failure && took > time.Duration(promptShare*float64(e.usual(r.Route))) {
		o = faultfilter.LateFailure
	}
	e.filter.Observe(now, o)
	e.outcome, e.observed = now, true
	if o == faultfilter.Success {
		e.learnTime(r.Route, took)
	}
	shifted := e.shifted(now)
	e.mu.Unlock()
	if shifted || o != faultfilter.Success {
		e.dispatcher.options.ConditionChanged()
	}
}

func (e *endpoint) learnTime(route string, took time.Duration) {
	if e.mean == 0 {
		e.mean = took
	} else {
		weight := serviceWeight * min(1, took.Seconds()/e.mean.Seconds())
		e.mean += time.Duration(weight * float64(took-e.mean))
	}
	known, ok := e.routes[route]
	switch {
	case ok:
		e.routes[route] = known + time.Duration(serviceWeight*float64(took-known))
	case len(e.routes) < maxRoutes:
		e.routes[route] = max(took, defaultService)
	}
}

// shifted reports whether the other nodes should learn of the endpoint's condition at once: it has crossed the line
// between good and doubtful. The caller holds the lock.
func (e *endpoint) shifted(now time.Duration) bool {
	p := e.filter.Probability(now)
	if (p >= doubt) == (e.told >= doubt) {
		return false
	}
	result := "trusted"
	if p >= doubt {
		result = "doubted"
	}
	e.dispatcher.options.Decisions.Record(decision.Decision{
		Step: stepHealth, Service: e.service, Subject: e.id, Outcome: result, Reason: "outcomes",
		Inputs: map[string]any{
			"fail": p, "before": e.told, "outcome_age_ms": (now - e.outcome).Milliseconds(), "open": len(e.running),
			"service_ms": e.mean.Milliseconds(),
		},
	})
	e.told = p
	return true
}

// peersMean is the usual service time of the other endpoints. The caller holds the lock.
func (e *endpoint) peersMean() time.Duration {
	peers, ok := e.dispatcher.options.PeerMedian(e.service, e.id)
	if !ok {
		return 0
	}
	return time.Duration(peers.ServiceTimeMS) * time.Millisecond
}

// peersSound reports whether most of the other endpoints work. The caller holds the lock.
func (e *endpoint) peersSound() bool {
	peers, ok := e.dispatcher.options.PeerMedian(e.service, e.id)
	return ok && peers.FailPerMille < soundUpTo*1000
}

// sendBack refuses the requests that wait. The caller holds the lock.
func (e *endpoint) sendBack() {
	for attempt := range e.waiting {
		if e.queue.Cancel(attempt) {
			e.tell(attempt, errSuspect)
		}
	}
}

// turn looks for stalled requests and lets waiting ones run. It reports whether the other nodes should be told.
func (e *endpoint) turn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	stalled := false
	for _, r := range e.running {
		if !r.stalled && now-r.begin > r.limit {
			r.stalled, stalled = true, true
			e.filter.Observe(now, faultfilter.Stalled)
			e.outcome, e.observed = now, true
		}
	}
	if len(e.waiting) > 0 && e.filter.Probability(now) >= suspectFrom && e.peersSound() {
		e.sendBack()
	}
	e.advance(now)
	return e.shifted(now) || stalled
}
