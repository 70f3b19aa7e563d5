package dispatch

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/suspects"
	"agatepulley.example/agatepulley/pkg/transport"
)

var errOtherSuspect = errors.New("another request that may crash the endpoint is running")

const (
	// probeTimeout limits the check whether the endpoint accepts connections. The endpoint is on the same host.
	probeTimeout = 100 * time.Millisecond
	// probeSettle is how long a new connection must stay open: an endpoint that is crashing may still accept it.
	probeSettle = 5 * time.Millisecond
	// crashSpan is the time within which connections that end belong to the same crash. Endpoints need longer to start again.
	crashSpan = 500 * time.Millisecond
	// An endpoint is checked once it has sent nothing for silentAfter, and for stallFactor mean service times, while a request
	// waits. If it does not answer the check within healthTimeout either, it has crashed. It is checked at most once in
	// checkInterval.
	silentAfter   = time.Second
	healthTimeout = time.Second
	checkInterval = 3 * time.Second
	// Requests that ended without an answer are remembered for unansweredLifetime, within which a crashed endpoint is back, and
	// maxUnanswered of them at most.
	unansweredLifetime = 8 * time.Second
	maxUnanswered      = 16
)

// markSent records that a request is being written to the endpoint, which may begin to run it before it has all of it.
func (e *endpoint) markSent(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.running[r.Attempt]; run != nil {
		run.sent = true
	}
}

// mustRunElsewhere reports whether a request is a suspect and another suspect is running: if the endpoint crashes, it must be
// known which of them was the cause. A request that may not be refused as busy runs all the same. The caller holds the lock.
func (e *endpoint) mustRunElsewhere(r *Request) bool {
	if !r.Suspect || r.MaxWait <= 0 {
		return false
	}
	for _, run := range e.running {
		if run.request.Suspect {
			return true
		}
	}
	return false
}

// crashed determines whether a request lost its connection because the endpoint crashed. If so, it reports all requests that
// were in flight. An endpoint that leaves ends its connections too, and one that resets a connection keeps others.
func (e *endpoint) crashed(r *Request) bool {
	e.mu.Lock()
	run := e.running[r.Attempt]
	if run != nil {
		run.lost = true
	}
	e.mu.Unlock()
	listed := e.dispatcher.options.View().ByID[e.id]
	if run == nil || listed == nil || e.dispatcher.endpointLeaves(e.id) {
		return false
	}
	e.determining.Lock()
	defer e.determining.Unlock()
	if e.countsAsCrashed(run) {
		return true
	}
	// The endpoint may be back already. Its entry will show that.
	e.keepUnanswered(r)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	switch e.dispatcher.pool.Probe(ctx, probeSettle) {
	case transport.Refused:
	case transport.Dropped:
		if e.holdsConnection() {
			return false
		}
	default:
		return false
	}
	e.reportCrash(e.recordCrash(time.Now()))
	return e.countsAsCrashed(run)
}

func (e *endpoint) reportCrash(crash quarantine.CrashID, inFlight []suspects.InFlight) {
	if len(inFlight) > 0 {
		e.dispatcher.options.Suspects.Crashed(crash, inFlight)
	}
}

// heard records that the endpoint has sent something, to the given number of running requests.
func (e *endpoint) heard(requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentFrom, e.silentCrash = 0, false
	if len(e.running) > requests {
		e.silentFrom = e.dispatcher.now()
	}
}

// keepUnanswered remembers a request that ended without an answer, so that it counts as in flight if the endpoint turns out to
// have crashed.
func (e *endpoint) keepUnanswered(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.running[r.Attempt]
	if run == nil || run.crashed {
		return
	}
	run.lost, run.endedAt = true, e.dispatcher.now()
	e.forgetUnanswered(run.endedAt)
	if len(e.unanswered) == maxUnanswered {
		e.unanswered = slices.Delete(e.unanswered, 0, 1)
	}
	e.unanswered = append(e.unanswered, run)
}

// forgetUnanswered drops the requests that ended too long ago. The caller holds the lock.
func (e *endpoint) forgetUnanswered(now time.Duration) {
	e.unanswered = slices.DeleteFunc(e.unanswered, func(run *running) bool { return now-run.endedAt > unansweredLifetime })
}

// checkSilence begins a health check if the endpoint has sent nothing for long although a request waits or has waited. A crash
// of its host's kernel or a partition closes no connection. The caller holds the lock.
func (e *endpoint) checkSilence(now time.Duration) {
	silent := max(silentAfter, time.Duration(stallFactor*float64(e.meanTime)))
	if e.silentFrom == 0 || now-e.silentFrom < silent || e.checking || (e.checkedAt > 0 && now-e.checkedAt < checkInterval) {
		return
	}
	e.forgetUnanswered(now)
	path := e.dispatcher.options.HealthPath(e.service)
	if path == "" || len(e.running)+len(e.unanswered) == 0 || e.dispatcher.endpointLeaves(e.id) || e.dispatcher.options.View().ByID[e.id] == nil {
		return
	}
	e.checking, e.checkedAt = true, now
	go func() {
		err := guard.Call(func() { e.checkHealth(path) })
		if err != nil {
			e.dispatcher.options.Logger.Error("health check failed with a panic", "endpoint", e.id, "error", err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.checking = false
	}()
}

// checkHealth sends a health check to a silent endpoint. If it is not answered, or by another instance, the endpoint has crashed.
func (e *endpoint) checkHealth(path string) {
	sentAt := time.Now()
	answered, gone := e.dispatcher.askHealth(e.id, path)
	if answered {
		e.heard(0)
	}
	if !gone {
		return
	}
	e.mu.Lock()
	// An answer that has arrived meanwhile ended the silence.
	if !answered && (e.silentFrom == 0 || e.silentFrom > e.checkedAt) {
		e.mu.Unlock()
		return
	}
	now := e.dispatcher.now()
	if e.silentCrash {
		// The endpoint has not come back since the last check.
		e.crashedAt = now
	}
	e.silentCrash = !answered
	e.filter.Observe(now, faultfilter.Failure)
	e.lastOutcome, e.hasOutcome = now, true
	e.refuseIfSuspect(now)
	e.mu.Unlock()
	e.reportCrash(e.recordCrash(sentAt))
	e.dispatcher.options.ConditionChanged()
}

// askHealth sends a health check to the address of the endpoint. It reports whether it was answered, and whether the instance is
// gone: nothing answers, or another instance does.
func (d *Dispatcher) askHealth(id, path string) (answered, gone bool) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	request := &transport.Request{Head: &protocol.Request{}}
	request.Head.SetMethod(http.MethodGet)
	request.Head.SetRequestURI(path)
	request.Head.Header.SetHost(d.options.Backend)
	response, err := d.ask(ctx, request)
	if err != nil {
		return false, transport.IsTimeout(err) || errors.Is(err, syscall.ECONNREFUSED)
	}
	defer response.Discard()
	instance := response.Head.Header.Get(d.options.Headers.Instance)
	return true, instance != "" && instance != id
}

func (d *Dispatcher) ask(ctx context.Context, request *transport.Request) (*transport.Response, error) {
	pending, err := d.pool.Send(ctx, request)
	if err != nil {
		return nil, err
	}
	return pending.Await()
}

// endedBefore is called when another incarnation or endpoint has started at the address. Requests that were sent before and got
// no answer were in flight when this one ended, unless it was leaving.
func (e *endpoint) endedBefore(started time.Time) {
	if e.dispatcher.endpointLeaves(e.id) {
		return
	}
	e.mu.Lock()
	e.forgetUnanswered(e.dispatcher.now())
	known := len(e.unanswered) > 0
	e.mu.Unlock()
	if known {
		crash, inFlight := e.recordCrash(started)
		go e.reportCrash(crash, inFlight)
	}
}

// countsAsCrashed reports whether a request was in flight at a crash that has been determined already.
func (e *endpoint) countsAsCrashed(run *running) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return run.crashed
}

// holdsConnection reports whether a running request still has its connection to the endpoint.
func (e *endpoint) holdsConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.running {
		if run.sent && !run.lost {
			return true
		}
	}
	return false
}

// recordCrash marks the requests that were sent to the endpoint before a time, and that it was running when it crashed, and
// returns them, each fingerprint once.
func (e *endpoint) recordCrash(before time.Time) (quarantine.CrashID, []suspects.InFlight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.dispatcher.now()
	if e.latestCrash == 0 || now-e.crashedAt > crashSpan {
		e.latestCrash = uint64(time.Now().UnixNano())
	}
	e.crashedAt = now
	e.forgetUnanswered(now)
	inFlightThen := slices.Collect(maps.Values(e.running))
	for _, run := range e.unanswered {
		if e.running[run.request.Attempt] != run {
			inFlightThen = append(inFlightThen, run)
		}
	}
	e.unanswered = nil
	var inFlight []suspects.InFlight
	seen := make(map[string]bool)
	suspected := make(map[string]bool)
	for _, run := range inFlightThen {
		if !run.sent || run.crashed || !run.sentAt.Before(before) {
			continue
		}
		run.crashed = true
		if e.dispatcher.isSuspect(run.request) {
			suspected[run.request.Fingerprint] = true
		}
		if !seen[run.request.Fingerprint] {
			seen[run.request.Fingerprint] = true
			inFlight = append(inFlight, suspects.InFlight{
				Fingerprint: run.request.Fingerprint, Service: e.service, RequestID: run.request.RequestID,
			})
		}
	}
	for n := range inFlight {
		inFlight[n].Alone = len(suspected) == 1 && suspected[inFlight[n].Fingerprint]
	}
	return quarantine.CrashID{Endpoint: e.id, Incarnation: e.latestCrash}, inFlight
}

// isSuspect reports whether a request has been in flight at an earlier crash.
func (d *Dispatcher) isSuspect(r *Request) bool {
	return r.Suspect || d.options.Suspects.Decide(r.Fingerprint) != quarantine.RunNormally
}
