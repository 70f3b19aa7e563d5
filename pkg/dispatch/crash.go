package dispatch

import (
	"context"
	"errors"
	"time"

	"agatepulley.example/agatepulley/core/quarantine"
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
	crash, inFlight := e.recordCrash()
	e.dispatcher.options.Suspects.Crashed(crash, inFlight)
	return e.countsAsCrashed(run)
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

// recordCrash marks the requests that the endpoint was running when it crashed and returns them, each fingerprint once.
func (e *endpoint) recordCrash() (quarantine.CrashID, []suspects.InFlight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.dispatcher.now(); e.latestCrash == 0 || now-e.crashedAt > crashSpan {
		e.latestCrash, e.crashedAt = uint64(time.Now().UnixNano()), now
	}
	var inFlight []suspects.InFlight
	seen := make(map[string]bool)
	suspected := make(map[string]bool)
	for _, run := range e.running {
		if !run.sent || run.crashed {
			continue
		}
		run.crashed = true
		if e.dispatcher.isSuspect(run.request) {
			suspected[run.request.Fingerprint] = true
		}
		if !seen[run.request.Fingerprint] {
			seen[run.request.Fingerprint] = true
			inFlight = append(inFlight, suspects.InFlight{
				Fingerprint: run.request.Fingerprint, Service: run.request.Service, RequestID: run.request.RequestID,
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
