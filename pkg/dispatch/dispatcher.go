package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/dialect"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/suspects"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Steps in decision lines.
const (
	stepAdmit    = "admit"
	stepDispatch = "dispatch"
	stepHealth   = "health"
)

// Options are the settings and dependencies of a dispatcher.
type Options struct {
	// Backend is the address of the endpoint on this host.
	Backend   string
	Headers   dialect.Headers
	Clock     clock.Clock
	Decisions *decision.Recorder
	Logger    *slog.Logger
	// View returns the registered endpoints.
	View func() *registry.View
	// PeerMedian returns the median condition of the other endpoints of a service, or false if there are none.
	PeerMedian func(service, except string) (reports.Endpoint, bool)
	// HealthPath returns the path of the health check of a service's endpoints, or "" if it is not known.
	HealthPath func(service string) string
	// ConditionChanged is called when an endpoint's condition should be reported to the other nodes at once.
	ConditionChanged func()
	Suspects         Suspects
	Announcements    Announcements
	// Bodies is the memory for the bodies of requests from other nodes, and Tables that for what is remembered of attempts.
	Bodies, Tables *memory.Budget
}

// Announcements holds what endpoints have announced in their responses. *announcements.Service implements it.
type Announcements interface {
	// Observe records a response of an endpoint on this host to a request that was sent at sentAt. It reports whether the other
	// nodes should be told of a change.
	Observe(id string, response announce.Response, sentAt time.Duration) bool
	// State returns what an endpoint has announced.
	State(id string) announce.State
	// Learn records what another node knows of an endpoint.
	Learn(id string, told announce.State)
}

// Suspects knows the requests that may crash endpoints. *suspects.Service implements it.
type Suspects interface {
	// Decide returns how a request may run.
	Decide(fingerprint string) quarantine.Action
	// Crashed records the requests that were in flight when an endpoint crashed.
	Crashed(crash quarantine.CrashID, inFlight []suspects.InFlight)
	// Succeeded records that a request has succeeded.
	Succeeded(fingerprint string)
	// Record returns what is known of a fingerprint.
	Record(fingerprint string) quarantine.Record
}

// Request is one attempt to run a request.
type Request struct {
	hop.Meta
	Transport *transport.Request
}

// Dispatcher runs requests on the endpoint on its own host. It is safe for concurrent use.
type Dispatcher struct {
	options  Options
	attempts *attempts.Registry
	pool     *transport.Pool
	stats    transport.Stats
	leaving  atomic.Bool

	mu        sync.Mutex
	endpoints map[string]*endpoint

	cancel context.CancelFunc
	done   chan struct{}
}

const (
	// rememberedAttempts is the number of attempts whose state is kept. It covers 30 s at 250 requests/s, which is longer
	// than an inquiry can take.
	rememberedAttempts = 8192
	// backendConnectTimeout is ample, since the endpoint is on the same host.
	backendConnectTimeout = time.Second
	// backendIdleTimeout is shorter than the time after which endpoints close idle connections.
	backendIdleTimeout = 7 * time.Second
	// backendMaxIdle is the largest number of idle connections that are kept to the endpoint.
	backendMaxIdle = 64
)

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	d := &Dispatcher{
		options:   options,
		attempts:  attempts.NewRegistry(options.Tables.Table(rememberedAttempts, attempts.EntryBytes), options.Clock.Now),
		endpoints: make(map[string]*endpoint),
		done:      make(chan struct{}),
	}
	d.pool = transport.NewPool(options.Backend, transport.Options{
		ConnectTimeout: backendConnectTimeout, IdleTimeout: backendIdleTimeout, MaxIdle: backendMaxIdle,
	}, &d.stats)
	return d
}

// Start starts the periodic check for stalled requests.
func (d *Dispatcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		guard.Supervise(ctx, d.options.Logger, "endpoint watch", func() { d.watch(ctx) })
	}()
	return nil
}

// Stop ends the periodic check and closes idle connections.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.cancel()
	d.pool.Close()
	return kernel.AwaitClosed(ctx, d.done, "endpoint watch")
}

// Leave makes the dispatcher refuse all new requests from now on. Requests that it has accepted are finished.
func (d *Dispatcher) Leave() {
	d.leaving.Store(true)
}

// Leaving reports whether Leave has been called.
func (d *Dispatcher) Leaving() bool {
	return d.leaving.Load()
}

// Inquire returns the state of an attempt. An attempt that is not known is reported as not run, and is refused if it
// arrives later.
func (d *Dispatcher) Inquire(attempt string) attempts.State {
	return d.attempts.Inquire(attempt)
}

// Withdraw returns the same as Inquire, after removing the attempt from the queue if it still waits for a slot.
func (d *Dispatcher) Withdraw(attempt string) attempts.State {
	if state := d.attempts.Inquire(attempt); state != attempts.Queued {
		return state
	}
	for _, e := range d.list() {
		if e.withdraw(attempt) {
			return attempts.NotRun
		}
	}
	return d.attempts.Inquire(attempt)
}

// announcementEndTime is how long reports say that an endpoint no longer limits its requests. Nodes that have not received any of
// them learn it from a response.
const announcementEndTime = 10 * time.Second

// Reports returns the condition of each registered endpoint on this host.
func (d *Dispatcher) Reports() []reports.Endpoint {
	view, now := d.options.View(), time.Now()
	var list []reports.Endpoint
	for _, e := range d.list() {
		if view.ByID[e.id] == nil {
			continue
		}
		report := e.report()
		if a := report.Announced; !a.Restricts() && now.Sub(a.ChangedAt()) > announcementEndTime {
			report.Announced = announce.State{}
		}
		list = append(list, report)
	}
	return list
}

// Report returns the condition of one endpoint.
func (d *Dispatcher) Report(id string) (reports.Endpoint, bool) {
	d.mu.Lock()
	e := d.endpoints[id]
	d.mu.Unlock()
	if e == nil {
		return reports.Endpoint{}, false
	}
	return e.report(), true
}

// Update applies a new view of the registered endpoints: it adds those on this host and removes those that are no longer
// registered and have no requests.
func (d *Dispatcher) Update(view *registry.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// started is the latest start of another incarnation or endpoint at the address.
	var started time.Time
	before := slices.Collect(maps.Values(d.endpoints))
	for id, e := range d.endpoints {
		switch listed := view.ByID[id]; {
		case listed != nil:
			if e.configure(listed) {
				started = latest(started, listed)
			}
		case e.idle():
			delete(d.endpoints, id)
		}
	}
	for _, listed := range view.ByID {
		if listed.Address == d.options.Backend && d.endpoints[listed.ID] == nil {
			e := newEndpoint(d, listed.ID)
			e.configure(listed)
			d.endpoints[listed.ID] = e
			started = latest(started, listed)
		}
	}
	if started.IsZero() {
		return
	}
	for _, e := range before {
		e.endedBefore(started)
	}
}

// latest returns the later one of a time and the start of an endpoint.
func latest(t time.Time, listed *registry.Endpoint) time.Time {
	if started := time.UnixMilli(listed.StartedAtMS); started.After(t) {
		return started
	}
	return t
}

// Do runs a request. The context must carry the request's deadline. The returned response must be closed; closing it
// releases the slot.
func (d *Dispatcher) Do(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if state, isNew := d.attempts.Begin(r.Attempt); !isNew {
		return nil, refuseCopy(r, state)
	}
	response, failure := d.run(ctx, r)
	state := attempts.Answered
	switch {
	case failure == nil:
	case failure.Outcome == outcome.Unknown:
		state = attempts.Unknown
	default:
		state = attempts.NotRun
	}
	d.attempts.End(r.Attempt, state)
	d.record(r, response, failure)
	return response, failure
}

// run admits a request and sends it. A panic is returned as a failure after which the request may have run.
func (d *Dispatcher) run(ctx context.Context, r *Request) (response *transport.Response, failure *outcome.Error) {
	defer func() {
		if value := recover(); value != nil {
			failure = outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonInternalError, stepDispatch, r.Endpoint, guard.Recovered(value))
			response = nil
		}
	}()
	if d.Leaving() {
		return nil, refuse(r, stepAdmit, outcome.ReasonLeaving, nil)
	}
	if d.endpointLeaves(r.Endpoint) {
		return nil, refuse(r, stepAdmit, outcome.ReasonLeaving, nil)
	}
	switch d.options.Suspects.Decide(r.Fingerprint) {
	case quarantine.Refuse:
		return nil, refuse(r, stepAdmit, outcome.ReasonQuarantined, nil)
	case quarantine.RunAlone:
		r.Suspect = true
	}
	e := d.endpoint(r.Endpoint)
	if e == nil {
		return nil, refuse(r, stepAdmit, outcome.ReasonUnknownEndpoint, nil)
	}
	return e.run(ctx, r)
}

// endpointLeaves reports whether an endpoint takes no new requests: its entry says that it is draining or was removed, or it has
// announced in a response that it is leaving.
func (d *Dispatcher) endpointLeaves(id string) bool {
	return d.options.View().Leaving(id) || d.options.Announcements.State(id).Leaving
}

// endpoint returns the state of an endpoint, which it creates if necessary: the ingress may know an endpoint that is not
// registered in the view of this node yet. If another endpoint runs here instead, it rejects the request, because the
// request names its target instance. It returns nil if too many endpoints that are not registered have requests.
func (d *Dispatcher) endpoint(id string) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[id]
	if e != nil {
		return e
	}
	listed := d.options.View().ByID[id]
	if listed == nil && !d.hasRoom() {
		return nil
	}
	e = newEndpoint(d, id)
	if listed != nil {
		e.configure(listed)
	}
	d.endpoints[id] = e
	return e
}

// maxUnlisted is the number of endpoints that are kept although they are not registered in the view of this node.
const maxUnlisted = 16

// hasRoom reports whether another endpoint that is not registered may be added. It removes those without requests if there are too
// many. The caller holds the lock.
func (d *Dispatcher) hasRoom() bool {
	view, unlisted := d.options.View(), 0
	for id := range d.endpoints {
		if view.ByID[id] == nil {
			unlisted++
		}
	}
	if unlisted < maxUnlisted {
		return true
	}
	for id, e := range d.endpoints {
		if view.ByID[id] == nil && e.idle() {
			delete(d.endpoints, id)
			unlisted--
		}
	}
	return unlisted < maxUnlisted
}

func (d *Dispatcher) list() []*endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		list = append(list, e)
	}
	return list
}

func (d *Dispatcher) now() time.Duration {
	return d.options.Clock.Now()
}

func refuse(r *Request, step string, reason outcome.Reason, cause error) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, reason, step, r.Endpoint, cause)
}

// refuseCopy returns the failure for a second copy of an attempt. The copy is reported as not run only if the attempt
// certainly was not run.
func refuseCopy(r *Request, state attempts.State) *outcome.Error {
	if state == attempts.NotRun {
		return refuse(r, stepAdmit, outcome.ReasonVoided, nil)
	}
	return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonVoided, stepAdmit, r.Endpoint, nil)
}

// record writes the decision on an attempt: its response or its failure.
func (d *Dispatcher) record(r *Request, response *transport.Response, failure *outcome.Error) {
	entry := decision.Decision{
		RequestID: r.RequestID, Step: stepDispatch, Service: r.Service, Route: r.Route, Subject: r.Endpoint,
		Outcome: string(outcome.Answered), Reason: "admitted",
	}
	if response != nil {
		entry.Inputs = map[string]any{"status": response.Head.StatusCode(), "attempt": r.Attempt}
	}
	if failure != nil {
		entry.Step, entry.Outcome, entry.Reason = failure.Step, string(failure.Outcome), string(failure.Reason)
		if failure.Err != nil {
			entry.Inputs = map[string]any{"error": failure.Err.Error(), "attempt": r.Attempt}
		}
	}
	d.options.Decisions.Record(entry)
}

// watchPeriod is the interval of the check for stalled requests, and the longest time by which it detects one late.
const watchPeriod = 50 * time.Millisecond

// watch checks the endpoints and maintains the connection pool periodically until the context ends.
func (d *Dispatcher) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed := false
		for _, e := range d.list() {
			changed = e.check() || changed
		}
		d.pool.CloseExpired(time.Now())
		if changed {
			d.options.ConditionChanged()
		}
	}
}
