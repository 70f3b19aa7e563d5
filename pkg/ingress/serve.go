package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/core/retry"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/transport"
)

const stepRetry = "retry"

// answer is a backend server's response whose body has not been passed on yet, with the attempt that it belongs to.
type answer struct {
	response *transport.Response
	endpoint string
	// truncated is set if the body of the response ended early.
	truncated bool
	view      *view
	pick      *pick
	cancel    context.CancelFunc
}

func (a *answer) close() {
	a.response.Close()
	a.cancel()
	if a.truncated {
		a.view.recordTruncated(a.pick)
	}
	a.view.finished(a.pick)
}

// attempt is an attempt to have an endpoint run the request.
type attempt struct {
	pick   *pick
	ctx    context.Context
	cancel context.CancelFunc
}

// result is how an attempt ended: either answer or failure is set.
type result struct {
	attempt *attempt
	answer  *answer
	failure *outcome.Error
}

// execution is the state of a request over all its attempts.
type execution struct {
	ingress *Ingress
	view    *view
	request *request
	// tried holds the IDs of the endpoints that were chosen for an attempt.
	tried    map[string]bool
	attempts int
	// refusedBusy is set once an owner has refused the request as busy.
	refusedBusy bool
	open        []*attempt
	results     chan result
}

// maxOpen is the number of attempts that may be open at the same time: the first and one hedge.
const maxOpen = 2

// execute makes attempts until one is answered or no further one is allowed.
func (i *Ingress) execute(ctx context.Context, r *request) (*answer, *outcome.Error) {
	v := i.view(r.service.Name)
	if v == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
	s := &execution{ingress: i, view: v, request: r, tried: make(map[string]bool), results: make(chan result, maxOpen)}
	return s.run(ctx)
}

func (s *execution) run(ctx context.Context) (*answer, *outcome.Error) {
	if s.quarantineDecision().Action == quarantine.Refuse {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, stepChoose, "", nil)
	}
	if !s.start(ctx) {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
	var last *outcome.Error
	for {
		got := s.wait(ctx)
		if got.answer != nil {
			s.cancelOthers()
			return got.answer, nil
		}
		last = lessCertain(last, got.failure)
		if len(s.open) > 0 {
			continue
		}
		if !s.retry(ctx, got.failure) {
			return nil, last
		}
	}
}

// lessCertain returns the failure to report for two attempts. Once an attempt may have run, the request may have run, so
// a later attempt that was certainly not run does not replace that failure.
func lessCertain(a, b *outcome.Error) *outcome.Error {
	if a != nil && a.Outcome != outcome.NotRun && b.Outcome == outcome.NotRun {
		return a
	}
	return b
}

// start starts an attempt at an endpoint chosen by choose. It returns false if there is no endpoint to choose.
func (s *execution) start(ctx context.Context) bool {
	p := s.choose()
	if p == nil {
		return false
	}
	s.tried[p.entry.id] = true
	s.attempts++
	a := &attempt{pick: p}
	a.ctx, a.cancel = context.WithCancel(ctx)
	s.open = append(s.open, a)
	if s.hedgeable() {
		go func() { s.results <- s.ingress.runAttempt(a, s.view, s.request) }()
	} else {
		s.results <- s.ingress.runAttempt(a, s.view, s.request)
	}
	return true
}

// choose returns an endpoint that was not tried yet. If none remains after a refusal as busy, it allows the tried ones
// again, and the request then waits in the owner's queue.
func (s *execution) choose() *pick {
	onlyEndpoint := s.quarantineDecision().Endpoint
	mayRefuseBusy := !s.refusedBusy && s.request.body.Buffered()
	p := s.view.choose(s.request, s.tried, onlyEndpoint, mayRefuseBusy)
	if p == nil && s.refusedBusy {
		clear(s.tried)
		p = s.view.choose(s.request, s.tried, onlyEndpoint, false)
	}
	return p
}

// quarantineDecision returns whether and where the request may run. Requests that are suspected of crashing backend
// servers are restricted.
func (s *execution) quarantineDecision() quarantine.Decision {
	if s.ingress.options.Suspects == nil {
		return quarantine.Decision{}
	}
	return s.ingress.options.Suspects.Decide(s.request.service.Name, s.request.fingerprint, s.view.availableIDs)
}

// hedgeable reports whether a second attempt may be started while the first is open.
func (s *execution) hedgeable() bool {
	return !s.request.service.Retry.DisableHedge && s.request.route.Repeatable && s.request.body.Buffered()
}

// wait returns the next result. It starts a hedge if the only open attempt becomes slow.
func (s *execution) wait(ctx context.Context) result {
	if s.hedgeable() && len(s.open) < maxOpen {
		timer := time.NewTimer(s.view.slowAfter(s.request, s.open[0].pick))
		defer timer.Stop()
		select {
		case got := <-s.results:
			return s.ended(got)
		case <-timer.C:
			s.hedge(ctx)
		}
	}
	return s.ended(<-s.results)
}

// ended removes the attempt of a result from the open ones.
func (s *execution) ended(got result) result {
	s.open = slices.DeleteFunc(s.open, func(a *attempt) bool { return a == got.attempt })
	return got
}

// hedge starts a second attempt if the quarantine and the retry budget allow it.
func (s *execution) hedge(ctx context.Context) {
	if s.quarantineDecision().Action != quarantine.RunNormally || !s.view.takeHedge() {
		return
	}
	if s.start(ctx) {
		s.ingress.options.Metrics.Hedged(s.request.service.Name)
		s.recordRetry("hedge", "")
	}
}

// retry starts another attempt if that is safe and within the retry budget. The first refusal as busy does not count as
// an attempt and is not charged to the budget.
func (s *execution) retry(ctx context.Context, failure *outcome.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if failure.Reason == outcome.ReasonBusy && !s.refusedBusy {
		s.refusedBusy = true
		s.attempts--
		return s.start(ctx)
	}
	if !s.resendable(failure) {
		return false
	}
	allowed, reason := s.view.mayRetry(retry.Attempt{
		Outcome:          failure.Outcome,
		Repeatable:       s.request.route.Repeatable,
		Keyed:            s.request.key != "",
		OwnerUnavailable: unreached(failure),
		CrashSuspect:     failure.Reason == outcome.ReasonBackendCrash,
		Attempts:         s.attempts,
	})
	if !allowed {
		s.recordRetry(string(reason), string(failure.Reason))
		return false
	}
	if !s.start(ctx) {
		return false
	}
	s.ingress.options.Metrics.Retried(s.request.service.Name, failure.Reason)
	s.recordRetry(string(reason), string(failure.Reason))
	return true
}

// resendable reports whether the body can be sent again. A body that is not wholly in memory can be sent only once; it is
// still unsent if no connection to the owner was established.
func (s *execution) resendable(failure *outcome.Error) bool {
	return s.request.body.Buffered() || failure.Reason == outcome.ReasonConnect
}

// unreached reports whether the owner was not reached or takes no work, so that the attempt cost the service nothing.
func unreached(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonConnect, outcome.ReasonLeaving, outcome.ReasonDown, outcome.ReasonNotReady, outcome.ReasonLimited:
		return failure.Outcome == outcome.NotRun
	default:
		return false
	}
}

func (s *execution) recordRetry(reason, cause string) {
	s.ingress.options.Decisions.Record(decision.Decision{
		RequestID: s.request.id, Step: stepRetry, Service: s.request.service.Name, Route: s.request.route.ID,
		Outcome: cause, Reason: reason,
	})
}

var errSuperseded = errors.New("another attempt was answered first")

// cancelOthers cancels the attempts that are still open once another one was answered, and discards their responses.
func (s *execution) cancelOthers() {
	if len(s.open) == 0 {
		return
	}
	for _, a := range s.open {
		a.cancel()
	}
	results, open, metrics := s.results, len(s.open), s.ingress.options.Metrics
	go func() {
		for range open {
			got := <-results
			if got.answer != nil {
				metrics.LateResponse()
				got.answer.response.Abort(errSuperseded)
				got.answer.close()
			}
		}
	}()
}

// runAttempt sends an attempt and waits for the head of the response.
func (i *Ingress) runAttempt(a *attempt, v *view, r *request) result {
	response, failure := i.send(a.ctx, v, r, a.pick)
	if failure != nil {
		a.cancel()
		v.failed(r, a.pick, failure)
		v.finished(a.pick)
		return result{attempt: a, failure: failure}
	}
	v.answered(a.pick)
	return result{
		attempt: a,
		answer:  &answer{response: response, endpoint: a.pick.entry.id, view: v, pick: a.pick, cancel: a.cancel},
	}
}

// failureKind returns how the failure detector counts a failed attempt. A refusal by an owner that works correctly is
// neutral: it is no evidence of a failing endpoint.
func failureKind(failure *outcome.Error) health.Kind {
	switch failure.Reason {
	case outcome.ReasonConnect, outcome.ReasonConnectionLost, outcome.ReasonBackendCrash, outcome.ReasonBodyCut, outcome.ReasonAnswerMismatch,
		outcome.ReasonAnswerMalformed:
		return health.Failure
	case outcome.ReasonDeadline:
		if failure.Outcome == outcome.Unknown {
			return health.Timeout
		}
		return health.Neutral
	default:
		return health.Neutral
	}
}
