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

// answer is a response whose body has not been passed on.
type answer struct {
	response *transport.Response
	endpoint string
	cut      bool
	view     *view
	pick     *pick
	cancel   context.CancelFunc
}

func (a *answer) close() {
	a.response.Close()
	a.cancel()
	if a.cut {
		a.view.cut(a.pick)
	}
	a.view.finished(a.pick)
}

// attempt is one try to have the request answered.
type attempt struct {
	pick   *pick
	ctx    context.Context
	cancel context.CancelFunc
}

// result is the end of one attempt.
type result struct {
	attempt *attempt
	answer  *answer
	failure *outcome.Error
}

// serving is the progress of one request.
type serving struct {
	ingress  *Ingress
	view     *view
	request  *request
	tried    map[string]bool
	attempts int
	bounced  bool
	open     []*attempt
	results  chan result
}

// maxOpen is the number of attempts that may be open at the same time: the first and one hedge.
const maxOpen = 2

// run makes attempts until one is answered or no further one is allowed.
func (i *Ingress) run(ctx context.Context, r *request) (*answer, *outcome.Error) {
	v := i.view(r.service.Name)
	if v == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
	s := &serving{ingress: i, view: v, request: r, tried: make(map[string]bool), results: make(chan result, maxOpen)}
	return s.run(ctx)
}

func (s *serving) run(ctx context.Context) (*answer, *outcome.Error) {
	if s.suspicion().Action == quarantine.Refuse {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, stepChoose, "", nil)
	}
	if !s.start(ctx) {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoEndpoint, stepChoose, "", nil)
	}
	var last *outcome.Error
	for {
		got := s.wait(ctx)
		if got.answer != nil {
			s.abandonOthers()
			return got.answer, nil
		}
		last = worse(last, got.failure)
		if len(s.open) > 0 {
			continue
		}
		if !s.retry(ctx, got.failure) {
			return nil, last
		}
	}
}

// worse keeps the failure that says less: once an attempt may have run, the request may have run.
func worse(a, b *outcome.Error) *outcome.Error {
	if a != nil && a.Outcome != outcome.NotRun && b.Outcome == outcome.NotRun {
		return a
	}
	return b
}

// start begins an attempt at an endpoint that was not tried yet.
func (s *serving) start(ctx context.Context) bool {
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
		go func() { s.results <- s.ingress.try(a, s.view, s.request) }()
	} else {
		s.results <- s.ingress.try(a, s.view, s.request)
	}
	return true
}

// choose takes an endpoint that was not tried yet. If only one that refused as busy is left, the request waits there.
func (s *serving) choose() *pick {
	only := s.suspicion().Endpoint
	mayBounce := !s.bounced && s.request.body.Buffered()
	p := s.view.choose(s.request, s.tried, only, mayBounce)
	if p == nil && s.bounced {
		clear(s.tried)
		p = s.view.choose(s.request, s.tried, only, false)
	}
	return p
}

// suspicion tells whether the request is suspected of crashing backend servers, and where it may run.
func (s *serving) suspicion() quarantine.Decision {
	if s.ingress.options.Suspects == nil {
		return quarantine.Decision{}
	}
	return s.ingress.options.Suspects.Decide(s.request.service.Name, s.request.fingerprint, s.view.serving)
}

func (s *serving) hedgeable() bool {
	return !s.request.service.Retry.DisableHedge && s.request.route.Repeatable && s.request.body.Buffered()
}

// wait returns the next result. While the only open attempt is slow, it may start a second one.
func (s *serving) wait(ctx context.Context) result {
	if s.hedgeable() && len(s.open) < maxOpen {
		timer := time.NewTimer(s.view.slowAfter(s.request, s.open[0].pick))
		defer timer.Stop()
		select {
		case got := <-s.results:
			return s.closed(got)
		case <-timer.C:
			s.hedge(ctx)
		}
	}
	return s.closed(<-s.results)
}

func (s *serving) closed(got result) result {
	s.open = slices.DeleteFunc(s.open, func(a *attempt) bool { return a == got.attempt })
	return got
}

func (s *serving) hedge(ctx context.Context) {
	if s.suspicion().Action != quarantine.RunNormally || !s.view.mayHedge() {
		return
	}
	if s.start(ctx) {
		s.ingress.options.Metrics.Hedged(s.request.service.Name)
		s.recordRetry("hedge", "")
	}
}

// retry starts another attempt if that is safe and within the budget.
func (s *serving) retry(ctx context.Context, failure *outcome.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if failure.Reason == outcome.ReasonBusy && !s.bounced {
		s.bounced = true
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

// resendable reports whether the body can be sent again. A body that is not in memory can be sent only once, and nothing
// of it was sent if the owner was not reached.
func (s *serving) resendable(failure *outcome.Error) bool {
	return s.request.body.Buffered() || failure.Reason == outcome.ReasonConnect
}

// unreached reports whether the attempt cost the service nothing.
func unreached(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonConnect, outcome.ReasonLeaving, outcome.ReasonDown, outcome.ReasonNotReady:
		return failure.Outcome == outcome.NotRun
	default:
		return false
	}
}

func (s *serving) recordRetry(reason, cause string) {
	s.ingress.options.Decisions.Record(decision.Decision{
		RequestID: s.request.id, Step: stepRetry, Service: s.request.service.Name, Route: s.request.route.ID,
		Outcome: cause, Reason: reason,
	})
}

var errHedged = errors.New("another attempt was answered first")

// abandonOthers cancels the attempts that lost against the answered one and discards what they still return.
func (s *serving) abandonOthers() {
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
				got.answer.response.Abort(errHedged)
				got.answer.close()
			}
		}
	}()
}

// try makes an attempt and waits for the head of the response.
func (i *Ingress) try(a *attempt, v *view, r *request) result {
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

// failureKind translates a failed attempt into evidence about the endpoint. Refusals by an owner that works as it
// should say nothing against its endpoint.
func failureKind(failure *outcome.Error) health.Kind {
	switch failure.Reason {
	case outcome.ReasonConnect, outcome.ReasonConnectionLost, outcome.ReasonBackendCrash, outcome.ReasonBodyCut, outcome.ReasonAnswerMismatch:
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
