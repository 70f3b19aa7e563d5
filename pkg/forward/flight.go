package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/core/retrybudget"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	// maxBusyRefusals is the number of refusals as busy after which attempts no longer limit the time in the queue, so that
	// the request waits for a slot. maxRefusals is the number of refusals by dispatchers, of all kinds, after which the
	// request is not sent again.
	maxBusyRefusals = 3
	maxRefusals     = 6
	// A request is sent again after at most maxRejections rejections by endpoints.
	maxRejections = 2
	// A hedge, which is a second attempt in parallel to the first, starts when the first has lasted hedgeFactor times the
	// expected service time, but not later than after hedgeShare of the target latency and not earlier than after
	// minHedgeDelay.
	hedgeFactor   = 3
	hedgeShare    = 0.5
	minHedgeDelay = 50 * time.Millisecond
	// minRetryTime is the least time to the deadline for which another attempt is made. Half of the expected service time
	// must remain too.
	minRetryTime = 20 * time.Millisecond
	// callShare is the share of the usual service time from which on a failed attempt counts as having made its calls to other
	// services. One that fails earlier has hardly begun.
	callShare = 0.35
)

// answer is a response of an endpoint, of which the beginning of the body has been read.
type answer struct {
	response *transport.Response
	pick     *pick
	cancel   context.CancelFunc
	// prefix is the part of the body that was read before the answer is passed on; complete is set if it is the whole body.
	prefix   []byte
	complete bool
	// reserved is what the prefix takes from memory.
	memory   *memory.Budget
	reserved int64
}

func (a *answer) close() {
	a.response.Close()
	a.cancel()
	if a.reserved > 0 {
		a.memory.Release(a.reserved)
		a.reserved = 0
	}
}

// failed reports whether the endpoint answered with a 5xx status.
func (a *answer) failed() bool {
	return a.response.Head.StatusCode() >= http.StatusInternalServerError
}

// result is the end of one attempt: either an answer or a failure.
type result struct {
	pick    *pick
	answer  *answer
	failure *outcome.Error
}

// reason returns why the attempt did not serve the request.
func (r *result) reason() outcome.Reason {
	if r.failure != nil {
		return r.failure.Reason
	}
	return outcome.ReasonEndpointError
}

// flight is a request in flight, with the state of all its attempts. It is used by one goroutine only.
type flight struct {
	forwarder *Forwarder
	request   *request
	// tried holds the ids of the endpoints that are not chosen again.
	tried map[string]bool
	// busy holds the ids of the endpoints that refused the request as busy. If chosen again, they may let it wait.
	busy map[string]bool
	// results receives the result of each attempt. It is buffered because launch makes the attempt of a request that is not
	// repeatable in the goroutine that reads the result afterwards.
	results chan result
	// open holds the attempts that have not ended, with the functions that cancel them.
	open map[*pick]context.CancelFunc
	// latest is the attempt that was started last.
	latest *pick
	// attempts counts all attempts.
	attempts int
	// reached counts the ended attempts that reached an endpoint, or may have.
	reached int
	// refusals counts the attempts that a dispatcher refused or that could not be sent to it, busyRefusals those of them
	// that were refused as busy or limited, and rejections those that an endpoint rejected.
	busyRefusals int
	refusals     int
	rejections   int
	// crashes counts the endpoints that crashed while they ran the request.
	crashes int
	// unused holds the retries that were charged to the retry budget and are not used by an attempt.
	unused []retrybudget.Grant
	// answer is the latest answer with a 5xx status. failure is the first failure after which the request may have run, or
	// else the latest failure.
	answer  *answer
	failure *outcome.Error
}

// deliver makes attempts until one is answered without a 5xx status or no further attempt is allowed.
func (f *Forwarder) deliver(ctx context.Context, r *request) (*answer, *outcome.Error) {
	fl := &flight{
		forwarder: f, request: r, tried: make(map[string]bool), busy: make(map[string]bool), open: make(map[*pick]context.CancelFunc),
		results: make(chan result, maxRefusals+maxRejections+r.route.Attempts+1),
	}
	defer fl.returnUnused()
	defer fl.cancelOpen()
	if fl.quarantine() == quarantine.Refuse {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, stepChoose, "", fl.crashedBefore())
	}
	if !fl.launch(ctx) {
		return nil, fl.failure
	}
	for len(fl.open) > 0 {
		got := fl.wait(ctx)
		delete(fl.open, got.pick)
		fl.settle(got)
		if got.answer != nil && !got.answer.failed() {
			return got.answer, nil
		}
		fl.recordResult(got)
		if fl.mayContinue(ctx, got) {
			fl.launch(ctx)
		}
	}
	return fl.finish()
}

// finish returns the result of a request after an unsuccessful last attempt: an answer with a 5xx status if there is one,
// the failure otherwise.
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

// launch starts an attempt and reports whether there was an endpoint for it. The attempts of a repeatable request run in
// goroutines of their own, so that they may overlap.
func (fl *flight) launch(ctx context.Context) bool {
	f := fl.forwarder
	if !f.keyInForce(fl.request) {
		fl.failWith(refuseKey())
		return false
	}
	p := f.choose(fl)
	if p == nil {
		fl.recordUnplaced()
		return false
	}
	fl.attempts++
	p.number, p.begin = fl.attempts, time.Now()
	if n := len(fl.unused); n > 0 {
		retry := fl.unused[n-1]
		p.retry, fl.unused = &retry, fl.unused[:n-1]
	}
	fl.tried[p.endpoint.ID] = true
	ctx, cancel := context.WithCancel(ctx)
	fl.open[p], fl.latest = cancel, p
	f.options.Conditions.CountSent(p.endpoint.ID)
	if fl.repeatable() {
		go func() { fl.results <- f.try(ctx, cancel, fl.request, p) }()
	} else {
		fl.results <- f.try(ctx, cancel, fl.request, p)
	}
	return true
}

// wait returns the next result. If the only open attempt of a repeatable request is slow, it may start a hedge.
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

// hedgeDelay returns the time after which an attempt counts as slow.
func (fl *flight) hedgeDelay() time.Duration {
	limit := time.Duration(hedgeShare * float64(fl.request.targetLatency()))
	return max(min(hedgeFactor*fl.latest.serviceTime, limit), minHedgeDelay)
}

// hedge starts a second attempt in parallel to a slow one, if the route's number of attempts and the retry budget allow it and
// another endpoint has a free slot: without one, it would delay requests that wait for their first attempt.
func (fl *flight) hedge(ctx context.Context) {
	if ctx.Err() != nil || fl.possibleRuns()+len(fl.open) >= fl.request.route.Attempts {
		return
	}
	if fl.quarantine() != quarantine.RunNormally {
		return
	}
	if !fl.forwarder.hasFreeSlot(fl) || !fl.forwarder.hasSpareRetries(fl.request.service) || !fl.takeRetry("no-hedge", retrybudget.Repeat) {
		return
	}
	if fl.launch(ctx) {
		fl.forwarder.options.Metrics.Hedged(fl.request.service)
		fl.record("hedge", "slow")
	}
}

// recordResult counts an ended attempt and keeps its answer or failure.
func (fl *flight) recordResult(got result) {
	if got.answer != nil {
		fl.reached++
		if fl.answer != nil {
			fl.answer.close()
		}
		fl.answer = got.answer
		return
	}
	switch failure := got.failure; {
	case failure.Outcome != outcome.NotRun:
		fl.reached++
		if failure.Reason == outcome.ReasonBackendCrash {
			fl.crashes++
		}
	case failure.Arrived():
		fl.reached++
		fl.rejections++
	default:
		fl.refusals++
		if failure.Reason == outcome.ReasonBusy || failure.Reason == outcome.ReasonLimited {
			// The endpoint may be chosen again; the request then waits in its queue.
			fl.busyRefusals++
			fl.busy[got.pick.endpoint.ID] = true
			delete(fl.tried, got.pick.endpoint.ID)
		}
	}
	// Once an attempt may have run, later failures that say "not run" must not replace its failure: the caller would be told
	// that the request was not run.
	if fl.failure == nil || fl.failure.Outcome == outcome.NotRun {
		fl.failure = got.failure
	}
}

// failWith keeps the reason why there is no further attempt, unless an earlier one may have run.
func (fl *flight) failWith(failure *outcome.Error) {
	if fl.failure == nil || fl.failure.Outcome == outcome.NotRun {
		fl.failure = failure
	}
}

// recordUnplaced keeps the reason why there was no endpoint for an attempt, unless an earlier one may have run.
func (fl *flight) recordUnplaced() {
	if fl.failure != nil && fl.failure.Outcome != outcome.NotRun {
		return
	}
	if wait := fl.forwarder.untilRoom(fl.request); wait > 0 {
		err := fmt.Errorf("the endpoints take the next request in %v", wait)
		fl.failure = outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonLimited, stepChoose, "", err)
	} else if fl.failure == nil {
		fl.failure = outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
}

// mayContinue reports whether another attempt may follow the one that ended with got.
func (fl *flight) mayContinue(ctx context.Context, got result) bool {
	if ctx.Err() != nil || time.Until(fl.request.deadline) < max(minRetryTime, fl.latest.serviceTime/2) {
		return false
	}
	if fl.quarantine() == quarantine.Refuse {
		fl.record("no-retry", string(outcome.ReasonQuarantined))
		return false
	}
	if got.failure != nil && got.failure.Outcome == outcome.NotRun {
		return fl.mayResend(got.failure)
	}
	if len(fl.open) > 0 || !fl.repeatable() || fl.possibleRuns() >= fl.request.route.Attempts || !fl.takeRetry("no-retry", got.retryKind()) {
		return false
	}
	cause := got.reason()
	fl.forwarder.options.Metrics.Retried(fl.request.service, cause)
	fl.record("retry", string(cause))
	return true
}

// mayResend reports whether another attempt may follow one that certainly did not run the request.
func (fl *flight) mayResend(failure *outcome.Error) bool {
	// A body that is not completely in memory can be sent again only if no byte of the request was sent.
	unsent := failure.Reason == outcome.ReasonConnect
	if failure.Reason == outcome.ReasonCancelled || failure.Reason == outcome.ReasonQuarantined || (!unsent && !fl.request.body.Buffered()) {
		return false
	}
	if fl.rejections > maxRejections || fl.refusals >= maxRefusals {
		return false
	}
	// The budget is charged only if an earlier attempt reached an endpoint or still may.
	if fl.reached+len(fl.open) > 0 && !fl.takeRetry("no-retry", retrybudget.Repeat) {
		return false
	}
	fl.record("resend", string(failure.Reason))
	return true
}

// possibleRuns returns the number of ended attempts that an endpoint may have executed.
func (fl *flight) possibleRuns() int {
	return fl.reached - fl.rejections
}

// takeRetry charges a retry to the retry budget and reports whether the budget allows it. If not, it records that as denied.
// A retry that was charged for an earlier attempt which reached no endpoint is used first.
func (fl *flight) takeRetry(denied string, kind retrybudget.Kind) bool {
	if len(fl.unused) > 0 {
		return true
	}
	if !fl.repeatable() {
		kind = retrybudget.Resend
	}
	g := fl.forwarder.takeRetry(fl.request.service, kind)
	if !g.Granted {
		inputs := fl.inputs()
		inputs["budget_left"], inputs["budget"], inputs["nodes"] = int(g.Remaining), int(g.Limit), fl.forwarder.options.Conditions.Nodes()
		fl.recordInputs(denied, "budget", inputs)
		return false
	}
	fl.unused = append(fl.unused, g)
	return true
}

// settle settles the charge for an ended attempt if it was a retry: nothing is charged if it reached no endpoint, and no calls
// to other services if it ended before the endpoint may have made any.
func (fl *flight) settle(got result) {
	called := got.mayHaveCalled()
	if called && fl.repeatable() {
		fl.forwarder.countRun(fl.request.service)
	}
	switch retry := got.pick.retry; {
	case retry == nil:
	case got.failure != nil && !got.failure.Arrived():
		fl.unused = append(fl.unused, *retry)
	case !called:
		fl.forwarder.returnCalls(*retry)
	}
}

// mayHaveCalled reports whether the endpoint may have made calls to other services: it answered, or the attempt lasted for
// callShare of its usual service time and may have run.
func (r *result) mayHaveCalled() bool {
	if r.answer != nil {
		return true
	}
	return r.failure.Outcome != outcome.NotRun && time.Since(r.pick.begin) >= time.Duration(callShare*float64(r.pick.serviceTime))
}

// retryKind returns the kind of a retry after the attempt failed.
func (r *result) retryKind() retrybudget.Kind {
	if r.mayHaveCalled() {
		return retrybudget.RepeatRun
	}
	return retrybudget.Repeat
}

// returnUnused gives the charges back that no attempt has used.
func (fl *flight) returnUnused() {
	for _, retry := range fl.unused {
		fl.forwarder.returnRetry(retry)
	}
}

var errAnsweredByOther = errors.New("attempt cancelled: another attempt of the request was answered first")

// cancelOpen cancels the attempts that are still open and discards their results.
func (fl *flight) cancelOpen() {
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
				got.answer.response.Abort(errAnsweredByOther)
				got.answer.close()
			}
		}
	}()
}

func (fl *flight) record(result, reason string) {
	fl.recordInputs(result, reason, fl.inputs())
}

// inputs returns the inputs of decisions on further attempts.
func (fl *flight) inputs() map[string]any {
	return map[string]any{"attempts": fl.attempts, "arrived": fl.reached, "refusals": fl.refusals}
}

func (fl *flight) recordInputs(result, reason string, inputs map[string]any) {
	fl.forwarder.options.Decisions.Record(decision.Decision{
		RequestID: fl.request.id, Step: stepRetry, Service: fl.request.service, Route: fl.request.route.Name,
		Outcome: result, Reason: reason, Inputs: inputs,
	})
}
