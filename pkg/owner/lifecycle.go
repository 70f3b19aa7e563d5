package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/qmuntal/stateless"

	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/pkg/hop"
)

// triggers of the life cycle of a backend server.
const (
	triggerRefused = "refused"
	triggerReached = "reached"
	triggerWarm    = "warm"
)

// lifecycle is the state machine of one backend server: down until it accepts connections, cold for the ramp time,
// then serving.
type lifecycle struct {
	mu       sync.Mutex
	machine  *stateless.StateMachine
	ramp     time.Duration
	coldFrom time.Time
	// incarnation identifies the run of the backend server. It rises each time the server was down.
	incarnation uint64
	changed     func(hop.State)
}

func newLifecycle(incarnation uint64, changed func(hop.State)) *lifecycle {
	l := &lifecycle{incarnation: incarnation, changed: changed}
	m := stateless.NewStateMachine(hop.StateServing)
	m.Configure(hop.StateServing).
		Permit(triggerRefused, hop.StateDown).
		Ignore(triggerReached).
		Ignore(triggerWarm)
	m.Configure(hop.StateDown).
		Permit(triggerReached, hop.StateCold).
		Ignore(triggerRefused).
		Ignore(triggerWarm)
	m.Configure(hop.StateCold).
		OnEntry(func(context.Context, ...any) error {
			l.coldFrom = time.Now()
			l.incarnation++
			return nil
		}).
		Permit(triggerRefused, hop.StateDown).
		Permit(triggerWarm, hop.StateServing).
		Ignore(triggerReached)
	l.machine = m
	return l
}

func (l *lifecycle) state() hop.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.MustState().(hop.State)
}

// run returns the incarnation of the backend server.
func (l *lifecycle) run() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

func (l *lifecycle) setRamp(ramp time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ramp = ramp
}

// warmth returns the share of the ramp that has passed: one when serving, zero when down.
func (l *lifecycle) warmth() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.machine.MustState().(hop.State) {
	case hop.StateServing:
		return 1
	case hop.StateCold:
		return min(1, float64(time.Since(l.coldFrom))/float64(max(l.ramp, 1)))
	default:
		return 0
	}
}

// refused records that the backend server did not accept a connection.
func (l *lifecycle) refused() { l.fire(triggerRefused) }

// reached records that the backend server accepted a connection.
func (l *lifecycle) reached() { l.fire(triggerReached) }

// warm ends the ramp.
func (l *lifecycle) warm() { l.fire(triggerWarm) }

// answered records a response.
func (l *lifecycle) answered() { l.fire(triggerReached) }

func (l *lifecycle) fire(trigger string) {
	l.mu.Lock()
	before := l.machine.MustState().(hop.State)
	err := l.machine.Fire(trigger)
	after := l.machine.MustState().(hop.State)
	l.mu.Unlock()
	if err == nil && before != after {
		l.changed(after)
	}
}

const (
	watchPeriod  = 100 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
)

// watch looks after the backend servers of the host: it reconnects to those that are down and ramps the cold ones.
func (o *Owner) watch(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.turn()
		}
	}
}

func (o *Owner) turn() {
	if o.paused() {
		gap := o.now() - time.Duration(o.lastTurn.Load())
		o.excludePause(gap)
		o.options.Paused(gap)
	}
	o.lastTurn.Store(int64(o.now()))
	for _, e := range o.list() {
		e.maintain()
	}
}

// excludePause keeps a pause of the process from counting as time for which backend servers did not answer.
func (o *Owner) excludePause(gap time.Duration) {
	for _, e := range o.list() {
		e.mu.Lock()
		e.detector.RecordPause(o.now(), gap)
		e.mu.Unlock()
	}
}

func (o *Owner) list() []*endpoint {
	o.mu.RLock()
	defer o.mu.RUnlock()
	endpoints := make([]*endpoint, 0, len(o.endpoints))
	for _, e := range o.endpoints {
		endpoints = append(endpoints, e)
	}
	return endpoints
}

func (o *Owner) notify(endpoint string, load hop.Load) {
	if o.options.LoadChanged != nil {
		o.options.LoadChanged(endpoint, load)
	}
}

// maintain brings the slots of an endpoint in line with its state.
func (e *endpoint) maintain() {
	if e.life.state() == hop.StateDown || e.leaves() {
		e.probe()
	}
	if e.life.warmth() >= 1 {
		e.life.warm()
	}
	e.pool.CloseExpired(time.Now())
	if e.judge() {
		e.owner.notify(e.id, e.load())
	}
}

// judge lets the detector judge the open requests, fits the slots to the result, and reports whether the endpoint
// stalls or has just stopped to stall, which the other nodes must learn.
func (e *endpoint) judge() (news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.owner.now()
	e.detector.Tick(now)
	before := e.stalled
	e.stalled = e.detector.StallScore(now, e.id) >= health.DefaultStallScore
	e.advance(now)
	return e.stalled || before
}

// probe tries to connect to a backend server that is down or leaves, apart from the watch, which must not be delayed.
func (e *endpoint) probe() {
	if !e.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.probing.Store(false)
		if e.connects() {
			e.life.reached()
		} else {
			e.life.refused()
		}
	}()
}

// effectiveSlots is the number of slots in use: while the backend server is cold one at first and all at the end of the
// ramp, and one while it has stopped answering. The caller holds the lock.
func (e *endpoint) effectiveSlots() int {
	if e.detector.Stalled(e.owner.now(), e.id) {
		return 1
	}
	return 1 + int(float64(e.slots-1)*e.life.warmth())
}

// crashed reports whether the backend server no longer accepts connections although it had not announced that it is leaving.
func (e *endpoint) crashed() bool {
	leaving := e.leaves()
	if e.connects() {
		return false
	}
	e.life.refused()
	return !leaving
}

func (e *endpoint) connects() bool {
	connection, err := net.DialTimeout("tcp", e.address, probeTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
