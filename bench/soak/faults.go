package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/platform/platformtest"
	"agatepulley.example/agatepulley/standin/link"
)

const (
	// meanGap is the mean time between the starts of two faults. Faults last longer than that, so they overlap.
	meanGap  = 400 * time.Millisecond
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
	// series is how often the same fault strikes in a row at the most.
	series = 3
	// drainTime is how long an endpoint serves after its entry says that it drains, and reuseAfter how long its address
	// stays unused.
	drainTime  = 2 * time.Second
	reuseAfter = 2 * time.Second
	// stopLimit is the time that a node has for a planned stop, with some for a busy machine.
	stopLimit = 6500 * time.Millisecond
	slowStore = 300 * time.Millisecond
	delayMS   = 40
	// restartPeriod is the time between two kills of nodes beside endpoints that announce something.
	restartPeriod = 1200 * time.Millisecond
)

// everyone stands for all hosts in a disturbance.
const everyone = 0

// disturbance is a time in which a fault was in force on a host, or on all.
type disturbance struct {
	host     int
	planned  bool
	what     string
	from, to time.Time
}

// departure is an endpoint that said that it leaves.
type departure struct {
	endpoint string
	host     int
	at       time.Time
}

// badStop is a planned stop that failed.
type badStop struct {
	host int
	at   time.Time
	// late is set if the process still ran at the end of its time.
	late bool
	err  error
}

// faults injects faults and keeps when they were in force.
type faults struct {
	fleet *fleet
	rng   *rand.Rand
	say   func(format string, args ...any)

	mu           sync.Mutex
	disturbances []*disturbance
	departures   []departure
	limits       []announcedLimit
	published    map[int]time.Time
	version      int
	// busy holds the hosts whose process or endpoint a fault is working on.
	busy map[string]bool
	// badStops are planned stops that did not end in order.
	badStops []badStop
	errs     []error
	tasks    sync.WaitGroup
	// restarting counts the endpoints that a request has crashed and that are not back.
	restarting int
}

func newFaults(f *fleet, seed uint64, say func(string, ...any)) *faults {
	return &faults{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), say: say, busy: make(map[string]bool), published: make(map[int]time.Time),
	}
}

// publish puts the next version in the store. Each version has a route of its own.
func (x *faults) publish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.version++
	routes := append(stableRoutes(), platformtest.Route{Prefix: markerPrefix(x.version), Kind: "safe", Service: serviceDesk})
	if x.fleet.workspaces {
		x.fleet.store.PublishTenants(x.version, tenants(), routes...)
	} else {
		x.fleet.store.Publish(x.version, routes...)
	}
	x.published[x.version] = time.Now()
}

func (x *faults) latest() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.version
}

// begin records that a fault starts. The returned function records its end.
func (x *faults) begin(host int, planned bool, what string) func() {
	d := &disturbance{host: host, planned: planned, what: what, from: time.Now()}
	x.mu.Lock()
	x.disturbances = append(x.disturbances, d)
	x.mu.Unlock()
	x.say("%s, host %d", what, host)
	return func() {
		x.mu.Lock()
		d.to = time.Now()
		x.mu.Unlock()
		x.say("end of %s, host %d", what, host)
	}
}

// claim reserves a part of a host for one fault at a time.
func (x *faults) claim(part string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[part] {
		return false
	}
	x.busy[part] = true
	return true
}

func (x *faults) release(part string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy[part] = false
}

func (x *faults) fail(err error) {
	if err == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.errs = append(x.errs, err)
}

// action is one kind of fault: what it works on and how it strikes for a time.
type action struct {
	name   string
	part   string
	strike func(x *faults, h *host, hold time.Duration, variant int)
}

var actions = []action{
	{"kill", "process", (*faults).kill},
	{"planned stop", "process", (*faults).stopPlanned},
	{"freeze", "process", (*faults).freeze},
	{"hangup", "process", (*faults).hangup},
	{"link between nodes", "hop", func(x *faults, h *host, hold time.Duration, v int) { x.disturbLink(h, h.hop, "hop", hold, v) }},
	{"link to the endpoint", "app", func(x *faults, h *host, hold time.Duration, v int) { x.disturbLink(h, h.app, "app", hold, v) }},
	{"link to the store", "store", func(x *faults, h *host, hold time.Duration, v int) { x.disturbLink(h, h.store, "store", hold, v) }},
	{"store", "platform", (*faults).disturbStore},
	{"endpoint misbehaves", "endpoint", (*faults).misbehave},
	{"endpoint leaves", "endpoint", (*faults).replace},
	{"endpoint crashes", "endpoint", (*faults).crash},
	{"configuration", "configuration", func(x *faults, _ *host, _ time.Duration, _ int) { x.publish() }},
}

// announcing are the actions of plans with announcements.
var announcing = []action{
	{"endpoint announces a limit", "endpoint", func(x *faults, h *host, hold time.Duration, v int) {
		x.limit(h, float64(v%limitKinds)/2, hold+inTouch)
	}},
	{"endpoint announces that it leaves", "endpoint", (*faults).leaveByResponses},
}

// play starts faults at random until the context ends, and waits until all have ended.
func (x *faults) play(ctx context.Context, plan Plan) {
	actions := actions
	if plan.Announcements {
		actions = slices.Concat(actions, announcing)
	}
	if plan.Workspaces {
		actions = slices.Concat(actions, workspaceActions)
	}
	for ctx.Err() == nil {
		gap := time.Duration(x.rng.ExpFloat64() * float64(meanGap))
		a := actions[x.rng.IntN(len(actions))]
		h := x.fleet.hosts[x.rng.IntN(len(x.fleet.hosts))]
		hold := minFault + time.Duration(x.rng.Float64()*float64(maxFault-minFault))
		variant, strikes := x.rng.IntN(1<<16), 1+x.rng.IntN(series)
		select {
		case <-ctx.Done():
		case <-time.After(gap):
			x.tasks.Go(func() { x.strike(ctx, a, h, hold, variant, strikes) })
		}
	}
	x.tasks.Wait()
}

func (x *faults) strike(ctx context.Context, a action, h *host, hold time.Duration, variant, strikes int) {
	part := a.part
	if part != "platform" && part != "configuration" {
		part = fmt.Sprintf("%s-%d", a.part, h.number)
	}
	if !x.claim(part) {
		return
	}
	defer x.release(part)
	for range strikes {
		if ctx.Err() != nil {
			return
		}
		a.strike(x, h, hold/time.Duration(strikes), variant)
	}
}

func (x *faults) kill(h *host, hold time.Duration, _ int) {
	defer x.begin(h.number, false, "kill")()
	x.fail(h.process.Kill())
	time.Sleep(hold)
	x.fail(x.fleet.startNode(h))
}

func (x *faults) stopPlanned(h *host, hold time.Duration, _ int) {
	if !x.fleet.ready(h) {
		return // A process that has just been started ends at once.
	}
	defer x.begin(h.number, true, "planned stop")()
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := h.process.Stop(ctx); err != nil {
		x.mu.Lock()
		x.badStops = append(x.badStops, badStop{host: h.number, at: time.Now(), late: errors.Is(err, processes.ErrRunning), err: err})
		x.mu.Unlock()
		x.fail(h.process.Kill())
	}
	time.Sleep(hold / series)
	x.fail(x.fleet.startNode(h))
}

func (x *faults) freeze(h *host, hold time.Duration, _ int) {
	defer x.begin(h.number, false, "freeze")()
	x.fail(h.process.Freeze())
	time.Sleep(hold)
	x.fail(h.process.Thaw())
}

func (x *faults) hangup(h *host, _ time.Duration, _ int) {
	if !x.fleet.ready(h) {
		return // A process that has just been started has no handler yet and ends.
	}
	defer x.begin(h.number, true, "hangup")()
	x.fail(x.fleet.writeSettings(h))
	if err := syscall.Kill(h.process.PID(), syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		x.fail(fmt.Errorf("hangup of node %d: %w", h.number, err))
	}
}

func (x *faults) disturbLink(h *host, l *link.Link, name string, hold time.Duration, variant int) {
	conditions := []link.Conditions{
		{DelayMS: delayMS, JitterMS: delayMS}, {Lose: link.DirectionToServer}, {Lose: link.DirectionToClient},
		{Lose: link.DirectionBoth}, {Refuse: true},
	}
	switch n := variant % (len(conditions) + 2); n {
	case len(conditions):
		defer x.begin(h.number, false, name+" reset")()
		l.Reset()
	case len(conditions) + 1:
		defer x.begin(h.number, false, name+" silence")()
		l.Silence()
	default:
		defer x.begin(h.number, false, fmt.Sprintf("%s %+v", name, conditions[n]))()
		x.fail(l.SetConditions(conditions[n]))
		time.Sleep(hold)
		x.fail(l.SetConditions(link.Conditions{}))
	}
}

func (x *faults) disturbStore(_ *host, hold time.Duration, variant int) {
	modes := []platformtest.Fault{platformtest.Unavailable, platformtest.TooManyRequests, platformtest.NoResponse, platformtest.ConnectionReset}
	store := x.fleet.store
	switch n := variant % (len(modes) + 2); n {
	case len(modes):
		defer x.begin(everyone, false, "store forgets")()
		store.DropHistory()
	case len(modes) + 1:
		defer x.begin(everyone, false, "store is slow")()
		store.SetDelay(slowStore)
		time.Sleep(hold)
		store.SetDelay(0)
	default:
		defer x.begin(everyone, false, fmt.Sprintf("store fault %d", modes[n]))()
		store.SetFault(func(platformtest.Caller) platformtest.Fault { return modes[n] })
		time.Sleep(hold)
		store.SetFault(nil)
	}
}

// misbehave lets an endpoint treat a part of its requests badly.
func (x *faults) misbehave(h *host, hold time.Duration, variant int) {
	modes := []platformtest.Behaviour{
		platformtest.Fails, platformtest.Hangs, platformtest.ResetsConnection, platformtest.RespondsTwice, platformtest.OmitsSignature,
		platformtest.TruncatesBody, platformtest.Rejects,
	}
	mode := modes[variant%len(modes)]
	share := uint64(1 + variant%4) // of four
	rng := rand.New(rand.NewPCG(uint64(variant), 3))
	defer x.begin(h.number, false, fmt.Sprintf("endpoint behaviour %d", mode))()
	h.endpoint.SetBehaviour(func(*http.Request) platformtest.Behaviour {
		if rng.Uint64N(4) < share {
			return mode
		}
		return platformtest.Succeeds
	})
	time.Sleep(hold)
	h.endpoint.SetBehaviour(nil)
}

// replace drains an endpoint and starts another one, at times of the other service, on its address.
func (x *faults) replace(h *host, _ time.Duration, variant int) {
	defer x.begin(h.number, false, "endpoint leaves")()
	leaving := h.endpoint
	at := time.Now()
	if variant%2 == 0 {
		leaving.Drain()
	} else {
		leaving.Deregister()
	}
	x.mu.Lock()
	x.departures = append(x.departures, departure{endpoint: leaving.ID, host: h.number, at: at})
	x.mu.Unlock()
	time.Sleep(drainTime + drainTime/2)
	leaving.Deregister()
	leaving.Close()
	time.Sleep(reuseAfter)
	if variant%3 == 0 {
		// Only towards the smaller service, so that it keeps its endpoints.
		x.fail(x.fleet.setService(h, serviceScan))
	}
	x.fail(x.fleet.startEndpoint(h))
}

// limitKinds is the number of limits that are drawn, from 0 in steps of half a request per second.
const limitKinds = 12

// limit lets an endpoint announce a limit in its responses for a time.
func (x *faults) limit(h *host, perSecond float64, hold time.Duration) {
	e := h.endpoint
	defer x.begin(h.number, false, fmt.Sprintf("endpoint announces a limit of %v", perSecond))()
	x.mu.Lock()
	x.limits = append(x.limits, announcedLimit{endpoint: e.ID, perSecond: perSecond, from: time.Now()})
	at := len(x.limits) - 1
	x.mu.Unlock()
	e.Announce(strconv.FormatFloat(perSecond, 'f', -1, 64), false)
	time.Sleep(hold)
	e.Announce("", false)
	x.mu.Lock()
	x.limits[at].to = time.Now()
	x.mu.Unlock()
}

// leaveByResponses lets an endpoint say only in its responses that it leaves, and starts another one later.
func (x *faults) leaveByResponses(h *host, hold time.Duration, _ int) {
	defer x.begin(h.number, false, "endpoint announces that it leaves")()
	leaving := h.endpoint
	leaving.Announce("", true)
	time.Sleep(hold + 2*drainTime)
	leaving.Deregister()
	leaving.Close()
	time.Sleep(reuseAfter)
	x.fail(x.fleet.startEndpoint(h))
}

// announce plays the announcements of a plan until the context ends.
func (x *faults) announce(ctx context.Context, plan Plan) {
	hosts := x.fleet.hostsOf(serviceDesk)
	for n, perSecond := range plan.Limits {
		x.tasks.Go(func() { x.limit(hosts[n], perSecond, plan.Duration) })
	}
	if plan.Leaving {
		hosts[len(plan.Limits)].endpoint.Announce("", true)
	}
	for n := 0; plan.RestartBeside && ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-time.After(restartPeriod):
			x.kill(hosts[n%(len(plan.Limits)+1)], minFault, 0)
		}
	}
	x.tasks.Wait()
}

// crashedByRequest describes the disturbance of an endpoint, not of its host, by a crashing request.
const crashedByRequest = "request crashes endpoint"

const (
	// A crashed endpoint's entry lapses after entryLapse, and the endpoint is back after crashedFor.
	entryLapse = time.Second
	crashedFor = 2 * time.Second
	claimPoll  = 20 * time.Millisecond
)

// restartCrashed starts the endpoint of a host again after a request has crashed it.
func (x *faults) restartCrashed(h *host, crashed *platformtest.Endpoint) {
	x.mu.Lock()
	x.restarting++
	x.mu.Unlock()
	end := x.begin(h.number, false, crashedByRequest)
	defer func() {
		end()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.restarting--
	}()
	time.Sleep(entryLapse)
	crashed.Deregister()
	time.Sleep(crashedFor - entryLapse)
	part := fmt.Sprintf("endpoint-%d", h.number)
	for !x.claim(part) {
		time.Sleep(claimPoll)
	}
	defer x.release(part)
	// Another fault may have replaced the endpoint meanwhile.
	if h.endpoint == crashed {
		x.fail(x.fleet.startEndpoint(h))
	}
}

// awaitRestarts waits until all crashed endpoints are back.
func (x *faults) awaitRestarts() {
	for {
		x.mu.Lock()
		restarting := x.restarting
		x.mu.Unlock()
		if restarting == 0 {
			return
		}
		time.Sleep(claimPoll)
	}
}

// crash ends an endpoint without a word. Its entry lapses later.
func (x *faults) crash(h *host, hold time.Duration, _ int) {
	defer x.begin(h.number, false, "endpoint crashes")()
	gone := h.endpoint
	gone.Close()
	time.Sleep(hold)
	gone.Deregister()
	x.fail(x.fleet.startEndpoint(h))
}
