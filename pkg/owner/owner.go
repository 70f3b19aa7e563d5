package owner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepAdmit    = "admit"
	stepClaim    = "claim"
	stepDispatch = "dispatch"
)

// Claim is the right to run a request that may not be repeated.
type Claim interface {
	// Valid reports whether the request may still be dispatched under the claim.
	Valid() bool
	// Release gives up a claim whose request was certainly not run.
	Release()
	// Complete records the status of the answer, or zero if the outcome is unknown.
	Complete(status int)
}

// Claimer obtains claims on idempotency keys. The error says why a claim was not granted.
type Claimer interface {
	Claim(ctx context.Context, service, key, attempt string) (Claim, *outcome.Error)
}

// Placement says how a request suspected of crashing backend servers is treated.
type Placement int

// Placements.
const (
	PlaceNormally Placement = iota
	PlaceAlone
	PlaceNowhere
)

// Quarantine tracks requests that are suspected of crashing backend servers.
type Quarantine interface {
	Place(service, fingerprint string) Placement
	Crashed(service, fingerprint string, crash Crash)
	Succeeded(service, fingerprint string)
	// Record returns what is known of a fingerprint.
	Record(service, fingerprint string) quarantine.Record
}

// Crash is a crash of a backend server while a request was in flight there.
type Crash struct {
	Endpoint string
	// Incarnation identifies the run of the backend server that ended.
	Incarnation uint64
	// Alone is true if the request ran alone because it was suspected.
	Alone bool
}

// Options are the parts that an owner works with. Claims and Quarantine may be nil.
type Options struct {
	Host        string
	Incarnation uint64
	// Backends maps endpoint ids to the addresses of their backend servers.
	Backends   map[string]string
	Claims     Claimer
	Quarantine Quarantine
	Decisions  *decision.Recorder
	// Bodies is the memory for the bodies of requests, and Tables that for what is remembered of attempts.
	Bodies, Tables *memory.Budget
	// Clock detects pauses of the process.
	Clock clock.Clock
	// Fresh reports whether the configuration in force may be acted on; it is false for a while after a pause.
	Fresh func() bool
	// Paused is told of each pause of the process before Fresh is asked again.
	Paused func(gap time.Duration)
	// LoadChanged is told of each change of an endpoint's state, and of its load as long as it stalls.
	LoadChanged func(endpoint string, load hop.Load)
}

// Request is one attempt to run a request on an endpoint.
type Request struct {
	hop.Meta
	Transport *transport.Request
	// Waited is set to the time for which the request waited for a slot.
	Waited time.Duration

	// alone is set if the request is suspected of crashing backend servers.
	alone bool
	// run is the incarnation of the backend server that the request was dispatched to.
	run uint64
}

// Owner runs requests on the endpoints of its host. It is safe for concurrent use.
type Owner struct {
	options  Options
	registry *attempts.Registry
	stats    transport.Stats
	open     atomic.Bool
	stopping atomic.Bool
	draining atomic.Bool
	lastTurn atomic.Int64

	mu        sync.RWMutex
	endpoints map[string]*endpoint

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an owner without endpoints; Update adds them.
func New(options Options) *Owner {
	return &Owner{
		options:   options,
		registry:  attempts.NewRegistry(options.Tables.Table(attempts.Capacity, attempts.EntryBytes), options.Clock.Now),
		endpoints: make(map[string]*endpoint),
		done:      make(chan struct{}),
	}
}

// Start begins the watch over the backend servers.
func (o *Owner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	o.lastTurn.Store(int64(o.now()))
	go o.watch(ctx)
	return nil
}

// Stop ends the watch. Requests in flight are not affected.
func (o *Owner) Stop(ctx context.Context) error {
	o.cancel()
	return kernel.AwaitClosed(ctx, o.done, "watch over the backend servers")
}

// Update takes over the endpoints of a new configuration.
func (o *Owner) Update(snapshot *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := make(map[string]*endpoint)
	for _, ref := range snapshot.EndpointsOn(o.options.Host) {
		address, ok := o.options.Backends[ref.ID]
		if !ok {
			continue
		}
		e := o.endpoints[ref.ID]
		if e == nil {
			e = newEndpoint(o, ref, address)
		}
		e.configure(ref)
		kept[ref.ID] = e
	}
	for id, e := range o.endpoints {
		if kept[id] == nil {
			e.retire()
		}
	}
	o.endpoints = kept
}

// Leave makes the owner refuse new work for good. Work that was admitted is finished.
func (o *Owner) Leave() {
	o.stopping.Store(true)
}

// Drain makes the owner refuse new work as long as the configuration or the host list says that its host is leaving.
func (o *Owner) Drain(leaving bool) {
	o.draining.Store(leaving)
}

// Leaving reports whether the owner refuses new work.
func (o *Owner) Leaving() bool {
	return o.stopping.Load() || o.draining.Load()
}

// Open lets the owner take work. It is called once the node knows the configuration in force.
func (o *Owner) Open() {
	o.open.Store(true)
}

// Inquire returns what became of an attempt. An attempt that is not known will never be run.
func (o *Owner) Inquire(id string) attempts.State {
	return o.registry.Inquire(id)
}

// InFlight returns the number of requests that are queued or running.
func (o *Owner) InFlight() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	total := 0
	for _, e := range o.endpoints {
		total += e.inFlight()
	}
	return total
}

// Loads returns the load report of each endpoint.
func (o *Owner) Loads() map[string]hop.Load {
	o.mu.RLock()
	defer o.mu.RUnlock()
	loads := make(map[string]hop.Load, len(o.endpoints))
	for id, e := range o.endpoints {
		loads[id] = e.load()
	}
	return loads
}

// Load returns the load report of one endpoint.
func (o *Owner) Load(id string) (hop.Load, bool) {
	e := o.endpoint(id)
	if e == nil {
		return hop.Load{}, false
	}
	return e.load(), true
}

// Announced returns what the backend server of an endpoint has announced in its responses.
func (o *Owner) Announced(id string) announce.State {
	e := o.endpoint(id)
	if e == nil {
		return announce.State{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announced(o.now())
}

// Learn records what another node remembers of the announcements of an endpoint's backend server.
func (o *Owner) Learn(id string, told announce.State) {
	e := o.endpoint(id)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcements.learn(told, o.now())
}

// Withdraw takes an attempt out of the queue if it was not dispatched yet, and returns what became of it.
func (o *Owner) Withdraw(id string) attempts.State {
	if o.registry.Inquire(id) != attempts.Queued {
		return o.registry.Inquire(id)
	}
	for _, e := range o.list() {
		if e.cancel(id) {
			return attempts.NotRun
		}
	}
	return o.registry.Inquire(id)
}

// Do runs a request. The context must carry the request's deadline. The returned response must be closed; closing it
// frees the slot.
func (o *Owner) Do(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if state, isNew := o.registry.Begin(r.Attempt); !isNew {
		return nil, o.refuseCopy(r, state)
	}
	// A panic leaves it open whether the request was run.
	state := attempts.Unknown
	defer func() { o.registry.End(r.Attempt, state) }()
	response, failure := o.run(ctx, r)
	switch {
	case failure == nil:
		state = attempts.Answered
	case failure.Outcome != outcome.Unknown:
		state = attempts.NotRun
	}
	o.record(r, failure)
	return response, failure
}

func (o *Owner) run(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	e := o.endpoint(r.Endpoint)
	switch {
	case !o.open.Load():
		return nil, o.refuse(r, stepAdmit, outcome.ReasonNotReady, nil)
	case e == nil:
		return nil, o.refuse(r, stepAdmit, outcome.ReasonUnknownEndpoint, nil)
	case o.Leaving() || e.draining.Load() || e.leaves():
		return nil, o.refuse(r, stepAdmit, outcome.ReasonLeaving, nil)
	}
	return e.run(ctx, r)
}

func (o *Owner) endpoint(id string) *endpoint {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.endpoints[id]
}

func (o *Owner) refuse(r *Request, step string, reason outcome.Reason, cause error) *outcome.Error {
	status := http.StatusServiceUnavailable
	if reason == outcome.ReasonClaimed {
		status = http.StatusConflict
	}
	return outcome.Refuse(status, reason, step, r.Endpoint, cause)
}

// refuseCopy answers a second copy of an attempt. Only if the first was certainly not run may the copy say so.
func (o *Owner) refuseCopy(r *Request, state attempts.State) *outcome.Error {
	if state == attempts.NotRun {
		return o.refuse(r, stepAdmit, outcome.ReasonVoided, nil)
	}
	return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonVoided, stepAdmit, r.Endpoint, nil)
}

// pauseThreshold is the gap between two turns of the watch from which the process counts as paused.
const pauseThreshold = time.Second

// paused reports whether the process has just been paused: its watch has not had its turn for too long. A request
// checks this right before it is dispatched, since it may run before the watch notices the pause.
func (o *Owner) paused() bool {
	return o.now()-time.Duration(o.lastTurn.Load()) > pauseThreshold
}

// mayRunOnce reports whether a request that may not be repeated may be dispatched with what this process believes.
func (o *Owner) mayRunOnce() bool {
	return !o.paused() && o.options.Fresh()
}

// now returns the monotonic time.
func (o *Owner) now() time.Duration {
	return o.options.Clock.Now()
}

func (o *Owner) record(r *Request, failure *outcome.Error) {
	d := decision.Decision{
		RequestID: r.RequestID,
		Step:      stepDispatch,
		Service:   r.Service,
		Route:     r.Route,
		Subject:   r.Endpoint,
		Outcome:   string(outcome.Answered),
		Reason:    "admitted",
	}
	if failure != nil {
		d.Step = failure.Step
		d.Outcome = string(failure.Outcome)
		d.Reason = string(failure.Reason)
		d.Peer = failure.Peer
	}
	o.options.Decisions.Record(d)
}
