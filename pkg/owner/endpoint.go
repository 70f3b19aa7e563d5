package owner

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/news"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Errors that tell a waiting request why it will not run.
var (
	errRefusedInQueue = errors.New("dropped from the queue")
	errWithdrawn      = errors.New("withdrawn by its ingress")
)

// endpoint is one backend server with its slots and its queue.
type endpoint struct {
	owner   *Owner
	id      string
	address string
	pool    *transport.Pool
	life    *lifecycle
	probing atomic.Bool
	// draining is set while the configuration takes the endpoint out of use.
	draining atomic.Bool

	mu        sync.Mutex
	slots     int
	queue     *admission.Queue
	waiting   map[string]chan error
	detector  *health.Detector
	nextToken uint64
	stalled   bool

	announcements *announcements
	// paced advances the queue when an announced limit lets the next request start.
	paced clock.Alarm
}

func newEndpoint(o *Owner, ref config.EndpointRef, address string) *endpoint {
	e := &endpoint{
		owner:   o,
		id:      ref.ID,
		address: address,
		pool:    transport.NewPool(address, backendPoolOptions(), &o.stats),
		waiting: make(map[string]chan error),

		announcements: newAnnouncements(ref.ID),
	}
	e.life = newLifecycle(o.options.Incarnation, e.stateChanged)
	return e
}

const (
	backendConnectTimeout = 500 * time.Millisecond
	backendIdleTimeout    = 30 * time.Second
	backendMaxIdle        = 64
)

func backendPoolOptions() transport.Options {
	return transport.Options{
		ConnectTimeout: backendConnectTimeout,
		IdleTimeout:    backendIdleTimeout,
		MaxIdle:        backendMaxIdle,
	}
}

func (e *endpoint) configure(ref config.EndpointRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots = ref.Slots
	e.draining.Store(ref.Draining)
	e.life.setRamp(config.Millis(ref.Service.Health.RampMS))
	settings := admission.Settings{
		Slots:       ref.Slots,
		QueueLimit:  ref.Slots * ref.Service.Admission.QueuePerSlot,
		LongReserve: ref.Service.Admission.LongReserve,
	}
	if e.queue != nil {
		e.queue.Configure(settings)
		e.queue.Resize(e.effectiveSlots())
		return
	}
	e.detector = health.NewDetector(ref.Service.Name, health.Settings{})
	e.detector.SetEndpoints(e.owner.now(), []health.Endpoint{{ID: e.id, Slots: ref.Slots}}, fullFloor)
	e.queue = admission.New(settings)
}

// retire closes idle connections of an endpoint that the configuration no longer lists. Admitted work goes on.
func (e *endpoint) retire() {
	e.pool.Close()
}

// fullFloor keeps the owner's detector from ejecting its only endpoint; the owner only publishes the score.
const fullFloor = 100

func (e *endpoint) load() hop.Load {
	e.mu.Lock()
	now := e.owner.now()
	load := e.queue.Load()
	score := e.detector.StallScore(now, e.id)
	announced := e.announced(now)
	if announced.Limited && e.queue.Credit(now) < 1 {
		// Ingresses compare loads, and must not take the idle slots for free ones.
		load.Busy, load.Queued = load.Slots, load.Queued+load.Slots
	}
	e.mu.Unlock()
	state := e.life.state()
	if e.owner.Leaving() || e.draining.Load() || announced.Leaving {
		state = hop.StateLeaving
	}
	return hop.Load{
		State:       state,
		Busy:        load.Busy,
		LongBusy:    load.LongBusy,
		Queued:      load.Queued,
		Slots:       load.Slots,
		Incarnation: e.owner.options.Incarnation,
		StallScore:  score,
	}
}

// inFlight returns the number of requests that are queued or running.
func (e *endpoint) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.queue.Load()
	return load.Busy + load.Queued
}

// run admits a request, claims its key if needed, and dispatches it.
func (e *endpoint) run(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	var failure *outcome.Error
	if r.alone, failure = e.place(r); failure != nil {
		return nil, failure
	}
	offered := e.owner.now()
	if failure := e.admit(ctx, r); failure != nil {
		return nil, failure
	}
	admitted := e.owner.now()
	r.Waited = admitted - offered
	response, failure := e.claimAndDispatch(ctx, r)
	if failure != nil {
		e.done(r.Attempt, notLearned)
		return nil, failure
	}
	response.OnClose(func() { e.done(r.Attempt, e.owner.now()-admitted) })
	return response, nil
}

func (e *endpoint) claimAndDispatch(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	claim, failure := e.claim(ctx, r)
	if failure != nil {
		return nil, failure
	}
	response, failure := e.dispatch(ctx, r, claim)
	settle(claim, response, failure)
	return response, failure
}

// notLearned is the service time of a request that ended without an answer. It says nothing about those to come.
const notLearned = -1

// place decides whether a request suspected of crashing backend servers may run here.
func (e *endpoint) place(r *Request) (alone bool, failure *outcome.Error) {
	if e.life.state() == hop.StateDown {
		return false, e.owner.refuse(r, stepAdmit, outcome.ReasonDown, nil)
	}
	if e.owner.options.Quarantine == nil {
		return false, nil
	}
	switch e.owner.options.Quarantine.Place(r.Service, r.Fingerprint) {
	case PlaceNowhere:
		return false, e.owner.refuse(r, stepAdmit, outcome.ReasonQuarantined, nil)
	case PlaceAlone:
		return true, nil
	default:
		// The ingress may know of a crash before this node does.
		return r.Suspect, nil
	}
}

// admit waits for a slot. It returns when the request may be dispatched or is refused.
func (e *endpoint) admit(ctx context.Context, r *Request) *outcome.Error {
	granted, failure := e.offer(ctx, r)
	if granted == nil || failure != nil {
		return failure
	}
	select {
	case err := <-granted:
		if errors.Is(err, errWithdrawn) {
			return e.owner.refuse(r, stepAdmit, outcome.ReasonVoided, err)
		}
		if err != nil {
			return e.owner.refuse(r, stepAdmit, outcome.ReasonDeadline, err)
		}
		return nil
	case <-ctx.Done():
		return e.withdraw(ctx, r, granted)
	}
}

// offer puts the request before the queue. It returns a channel if the request has to wait.
func (e *endpoint) offer(ctx context.Context, r *Request) (chan error, *outcome.Error) {
	now := e.owner.now()
	deadline, _ := ctx.Deadline()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.Resize(e.effectiveSlots())
	e.announced(now)
	decided := e.queue.Offer(now, admission.Item{
		ID:        r.Attempt,
		Long:      r.Long,
		Deadline:  now + time.Until(deadline),
		Exclusive: r.alone,
		MaxWait:   r.MaxWait,
	})
	switch decided.Verdict {
	case admission.Run:
		return nil, nil
	case admission.Queued:
		granted := make(chan error, 1)
		e.waiting[r.Attempt] = granted
		e.scheduleStart(now)
		return granted, nil
	default:
		return nil, e.owner.refuse(r, stepAdmit, admissionReason(decided.Reason), nil)
	}
}

// withdraw takes a request whose context ended out of the queue. If it was granted a slot meanwhile, the slot is freed.
func (e *endpoint) withdraw(ctx context.Context, r *Request, granted chan error) *outcome.Error {
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
	return e.owner.refuse(r, stepAdmit, reason, context.Cause(ctx))
}

// cancel drops a queued request and reports whether it was queued.
func (e *endpoint) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.queue.Cancel(attempt) {
		return false
	}
	e.tell(attempt, errWithdrawn)
	return true
}

// done frees the slot of a request and lets the next ones run.
func (e *endpoint) done(attempt string, serviceTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.owner.now()
	e.queue.Done(now, attempt, serviceTime)
	e.advance(now)
}

// advance tells the waiting requests what the queue decided. The caller holds the lock.
func (e *endpoint) advance(now time.Duration) {
	e.queue.Resize(e.effectiveSlots())
	e.announced(now)
	for _, item := range e.queue.Next(now) {
		e.tell(item.ID, nil)
	}
	// Next leaves the items that it found too late to Expire.
	for _, item := range e.queue.Expire(now) {
		e.tell(item.ID, errRefusedInQueue)
	}
	e.scheduleStart(now)
}

func (e *endpoint) tell(attempt string, err error) {
	if granted := e.waiting[attempt]; granted != nil {
		delete(e.waiting, attempt)
		granted <- err
	}
}

// claim obtains the right to run a request that may not be repeated and carries a key.
func (e *endpoint) claim(ctx context.Context, r *Request) (Claim, *outcome.Error) {
	if r.Repeatable {
		return nil, nil
	}
	if !e.owner.mayRunOnce() {
		return nil, e.owner.refuse(r, stepClaim, outcome.ReasonStaleAfterPause, nil)
	}
	if r.Key == "" || e.owner.options.Claims == nil {
		return nil, nil
	}
	return e.owner.options.Claims.Claim(ctx, r.Service, r.Key, r.Attempt)
}

// settle tells the recorders what became of a claimed request.
func settle(claim Claim, response *transport.Response, failure *outcome.Error) {
	switch {
	case claim == nil:
	case failure == nil:
		claim.Complete(response.Head.StatusCode())
	case failure.Outcome == outcome.NotRun:
		claim.Release()
	default:
		claim.Complete(0)
	}
}

// dispatch hands the request to the backend server.
func (e *endpoint) dispatch(ctx context.Context, r *Request, claim Claim) (*transport.Response, *outcome.Error) {
	if expired(ctx) {
		return nil, e.owner.refuse(r, stepDispatch, outcome.ReasonDeadline, context.Cause(ctx))
	}
	if e.leaves() {
		return nil, e.owner.refuse(r, stepDispatch, outcome.ReasonLeaving, nil)
	}
	if !r.Repeatable && !e.owner.mayRunOnce() {
		return nil, e.owner.refuse(r, stepDispatch, outcome.ReasonStaleAfterPause, nil)
	}
	if claim != nil && !claim.Valid() {
		return nil, e.owner.refuse(r, stepDispatch, outcome.ReasonStaleAfterPause, nil)
	}
	e.owner.registry.Set(r.Attempt, attempts.Running)
	r.run = e.life.run()
	token := e.beginWork(r)
	response, failure := e.exchange(ctx, r)
	e.endWork(token, failure)
	if failure == nil {
		e.owner.registry.Set(r.Attempt, attempts.Answered)
		e.observe(r, &response.Head.Header, token.begin)
		e.succeeded(r)
	}
	return response, failure
}

func (e *endpoint) exchange(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	pending, err := e.pool.Send(ctx, r.Transport)
	if err != nil {
		return nil, e.lost(ctx, r, err)
	}
	response, err := pending.Await()
	if err != nil {
		return nil, e.lost(ctx, r, err)
	}
	return response, nil
}

// work is a request that the detector watches.
type work struct {
	token uint64
	begin time.Duration
}

func (e *endpoint) beginWork(r *Request) work {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextToken++
	w := work{token: e.nextToken, begin: e.owner.now()}
	e.detector.Begin(w.begin, e.id, w.token, r.Long)
	return w
}

// endWork records how a request ended. One that was cancelled after a while counts as unanswered, since callers cancel
// what stalls.
func (e *endpoint) endWork(w work, failure *outcome.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.owner.now()
	kind := health.Success
	switch {
	case failure == nil:
	case failure.Outcome == outcome.NotRun:
		kind = health.Neutral
	case failure.Reason == outcome.ReasonDeadline, failure.Reason == outcome.ReasonCancelled:
		kind = health.Timeout
	default:
		kind = health.Failure
	}
	e.detector.End(now, e.id, w.token, kind, now-w.begin)
}

// expired reports whether the request's time is over. After a pause of the process the context's timer may not have
// fired yet, so the deadline is compared with the clock.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

func (e *endpoint) succeeded(r *Request) {
	e.life.answered()
	if e.owner.options.Quarantine != nil {
		e.owner.options.Quarantine.Succeeded(r.Service, r.Fingerprint)
	}
}

// lost classifies an exchange with the backend server that ended without a response.
func (e *endpoint) lost(ctx context.Context, r *Request, err error) *outcome.Error {
	var exchange *transport.Error
	sent := errors.As(err, &exchange) && exchange.MaybeSent
	switch {
	case !sent && ctx.Err() == nil:
		e.life.refused()
		return e.owner.refuse(r, stepDispatch, outcome.ReasonDown, err)
	case !sent:
		return e.owner.refuse(r, stepDispatch, outcome.ReasonDeadline, err)
	case errors.Is(err, transport.ErrRequestBody):
		return outcome.MayHaveRun(http.StatusBadRequest, outcome.ReasonBodyCut, stepDispatch, e.id, err)
	case transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepDispatch, e.id, err)
	case ctx.Err() != nil:
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonCancelled, stepDispatch, e.id, err)
	case e.crashed():
		e.suspect(ctx, r)
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonBackendCrash, stepDispatch, e.id, err)
	default:
		return outcome.MayHaveRun(http.StatusBadGateway, relay.LostReason(err), stepDispatch, e.id, err)
	}
}

// suspect reports a request that was in flight at a crash, and returns when the news have spread: callers that get the failure
// may send the request again at once, through any node.
func (e *endpoint) suspect(ctx context.Context, r *Request) {
	if e.owner.options.Quarantine == nil {
		return
	}
	e.owner.options.Quarantine.Crashed(r.Service, r.Fingerprint, Crash{Endpoint: e.id, Incarnation: r.run, Alone: r.alone})
	select {
	case <-time.After(news.SpreadTime):
	case <-ctx.Done():
	}
}

func admissionReason(reason admission.Reason) outcome.Reason {
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
