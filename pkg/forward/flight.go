package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	// maxBounces is how often a request may be refused by dispatchers before it has to wait in a queue, and maxRefusals
	// how often in all.
	maxBounces  = 3
	maxRefusals = 6
	// maxRejections is how often endpoints may reject a request.
	maxRejections = 2
	// A second attempt starts when the first has lasted hedgeFactor times the expected time, at the latest after
	// hedgeShare of the target latency and at the earliest after minHedge.
	hedgeFactor = 3
	hedgeShare  = 0.5
	minHedge    = 50 * time.Millisecond
	// minRetryTime is the least time that must be left for another attempt, beside half of the expected service time.
	minRetryTime = 20 * time.Millisecond
)

// answer is a response of an endpoint.
type answer struct {
	response *transport.Response
	pick     *pick
	cancel   context.CancelFunc
	// prefix is the part of the body that was read before the answer was passed on; whole is set if that is all.
	prefix []byte
	whole  bool
}

func (a *answer) close() {
	a.response.Close()
	a.cancel()
}

// failed reports whether the endpoint answered that it failed.
func (a *answer) failed() bool {
	return a.response.Head.StatusCode() >= http.StatusInternalServerError
}

// result is how one attempt ended: with an answer or with a failure.
type result struct {
	pick    *pick
	answer  *answer
	failure *outcome.Error
}

// reason says why the attempt did not serve the request.
func (r *result) reason() outcome.Reason {
	if r.failure != nil {
		return r.failure.Reason
	}
	return outcome.ReasonEndpointError
}

// flight is a request on its way, over all its attempts. It belongs to one goroutine.
type flight struct {
	forwarder *Forwarder
	request   *request
	tried     map[string]bool
	busy      map[string]bool
	results   chan result
	open      map[*pick]context.CancelFunc
	newest    *pick
	attempts  int
	// arrived counts the attempts that an endpoint has seen, or may have.
	arrived    int
	bounces    int
	refusals   int
	rejections int
	// answer is the latest answer that says the endpoint failed, and failure the one that says most about the request.
	answer  *answer
	failure *outcome.Error
}

// fly makes attempts until one is answered well or no further one is allowed.
func (f *Forwarder) fly(ctx context.Context, r *request) (*answer, *outcome.Error) {
	fl := &flight{
		forwarder: f, request: r, tried: make(map[string]bool), busy: make(map[string]bool), open: make(map[*pick]context.CancelFunc),
		results: make(chan result, maxRefusals+maxRejections+r.route.Attempts+1),
	}
	defer fl.abandon()
	if !fl.launch(ctx) {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
	for len(fl.open) > 0 {
		got := fl.wait(ctx)
		delete(fl.open, got.pick)
		if got.answer != nil && !got.answer.failed() {
			return got.answer, nil
		}
		fl.note(got)
		if fl.mayContinue(ctx, got) {
			fl.launch(ctx)
		}
	}
	return fl.finish()
}

// finish returns the result of a request that no attempt served.
func (fl *flight) finish() (*answer, *outcome.Error) {
	if fl.answer != nil {
		a := fl.answer
		fl.answer = nil
		return a, nil
	}
	return nil, fl.failure
}

// repeatable reports whether the request may run more than once and can be sent again.
func (fl *flight) repeatable() bool {
	return fl.request.repeatable() && fl.request.body.Buffered()
}

// launch starts an attempt and reports whether there was an endpoint for it.
func (fl *flight) launch(ctx context.Context) bool {
	f := fl.forwarder
	p := f.choose(fl)
	if p == nil {
		return false
	}
	fl.attempts++
	p.number = fl.attempts
	fl.tried[p.endpoint.ID] = true
	ctx, cancel := context.WithCancel(ctx)
	fl.open[p], fl.newest = cancel, p
	f.options.Conditions.CountSent(p.endpoint.ID)
	if fl.repeatable() {
		go func() { fl.results <- f.try(ctx, cancel, fl.request, p) }()
	} else {
		fl.results <- f.try(ctx, cancel, fl.request, p)
	}
	return true
}

// wait returns the next result. While a repeatable request has one slow attempt open, it may start another.
func (fl *flight) wait(ctx context.Context) result {
	if !fl.repeatable() || len(fl.open) > 1 {
		return <-fl.results
	}
	timer := time.NewTimer(fl.hedgeDelay())
	defer timer.Stop()
	select {
	case got := <-fl.results:
		return got
	case <-timer.C:
	}
	fl.hedge(ctx)
	return <-fl.results
}

func (fl *flight) hedgeDelay() time.Duration {
	latest := time.Duration(hedgeShare * float64(orDefault(fl.request.route.TargetLatency, defaultTarget)))
	return max(min(hedgeFactor*fl.newest.service, latest), minHedge)
}

// hedge starts a second attempt beside a slow one.
func (fl *flight) hedge(ctx context.Context) {
	if ctx.Err() != nil || fl.ran()+len(fl.open) >= fl.request.route.Attempts {
		return
	}
	if !fl.forwarder.repeatsToSpare(fl.request.service) || !fl.pay() {
		return
	}
	if fl.launch(ctx) {
		fl.forwarder.options.Metrics.Hedged(fl.request.service)
		fl.record("hedge", "slow")
	}
}

// note takes in how an attempt ended.
func (fl *flight) note(got result) {
	if got.answer != nil {
		fl.arrived++
		if fl.answer != nil {
			fl.answer.close()
		}
		fl.answer = got.answer
		return
	}
	switch failure := got.failure; {
	case failure.Outcome != outcome.NotRun:
		fl.arrived++
	case failure.Reason == outcome.ReasonEndpointRejected, failure.Reason == outcome.ReasonEndpointReplaced:
		fl.arrived++
		fl.rejections++
	default:
		fl.refusals++
		if failure.Reason == outcome.ReasonBusy {
			// The endpoint may be chosen again, to wait there.
			fl.bounces++
			fl.busy[got.pick.endpoint.ID] = true
			delete(fl.tried, got.pick.endpoint.ID)
		}
	}
	// A request that may have run must not be reported as not run, whatever a later attempt says.
	if fl.failure == nil || fl.failure.Outcome == outcome.NotRun {
		fl.failure = got.failure
	}
}

// mayContinue decides whether another attempt follows.
func (fl *flight) mayContinue(ctx context.Context, got result) bool {
	if ctx.Err() != nil || time.Until(fl.request.deadline) < max(minRetryTime, fl.newest.service/2) {
		return false
	}
	if got.failure != nil && got.failure.Outcome == outcome.NotRun {
		return fl.mayResend(got.failure)
	}
	if len(fl.open) > 0 || !fl.repeatable() || fl.ran() >= fl.request.route.Attempts || !fl.pay() {
		return false
	}
	cause := got.reason()
	fl.forwarder.options.Metrics.Retried(fl.request.service, cause)
	fl.record("retry", string(cause))
	return true
}

// mayResend decides on a request that was certainly not run by its latest attempt.
func (fl *flight) mayResend(failure *outcome.Error) bool {
	unsent := failure.Reason == outcome.ReasonConnect
	if failure.Reason == outcome.ReasonCancelled || (!unsent && !fl.request.body.Buffered()) {
		return false
	}
	if fl.rejections > maxRejections || fl.refusals >= maxRefusals {
		return false
	}
	// Only attempts that reach an endpoint again are charged.
	if fl.arrived+len(fl.open) > 0 && !fl.pay() {
		return false
	}
	fl.record("resend", string(failure.Reason))
	return true
}

// ran is the number of attempts that endpoints may have begun to work on.
func (fl *flight) ran() int {
	return fl.arrived - fl.rejections
}

// pay takes a repeat from the budget.
func (fl *flight) pay() bool {
	g := fl.forwarder.takeRepeat(fl.request.service, fl.repeatable())
	if !g.granted {
		inputs := fl.inputs()
		inputs["budget_left"], inputs["budget"], inputs["nodes"] = int(g.left), int(g.limit), g.nodes
		fl.recordInputs("no-retry", "budget", inputs)
	}
	return g.granted
}

var errOvertaken = errors.New("another attempt was answered first")

// abandon ends the attempts that are still open and discards what they return.
func (fl *flight) abandon() {
	if fl.answer != nil {
		fl.answer.close()
	}
	if len(fl.open) == 0 {
		return
	}
	for _, cancel := range fl.open {
		cancel()
	}
	open, results := len(fl.open), fl.results
	go func() {
		for range open {
			if got := <-results; got.answer != nil {
				got.answer.response.Abort(errOvertaken)
				got.answer.close()
			}
		}
	}()
}

func (fl *flight) record(result, reason string) {
	fl.recordInputs(result, reason, fl.inputs())
}

// inputs are those of decisions on further attempts.
func (fl *flight) inputs() map[string]any {
	return map[string]any{"attempts": fl.attempts, "arrived": fl.arrived, "refusals": fl.refusals}
}

func (fl *flight) recordInputs(result, reason string, inputs map[string]any) {
	fl.forwarder.options.Decisions.Record(decision.Decision{
		RequestID: fl.request.id, Step: stepRetry, Service: fl.request.service, Route: fl.request.route.Name,
		Outcome: result, Reason: reason, Inputs: inputs,
	})
}
