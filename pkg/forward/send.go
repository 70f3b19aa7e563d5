package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/dispatch"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/inquiry"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepInquire = "inquire"
	// inquireTimeout bounds how long a lost connection delays the report of an unknown outcome.
	inquireTimeout = 400 * time.Millisecond
	// inquireFactor is the age, in units of the expected service time, from which an attempt is inquired about, and
	// minInquire the least age.
	inquireFactor = 3
	minInquire    = 300 * time.Millisecond
	// returnTime is the time for a response to come back between zones.
	returnTime = 15 * time.Millisecond
	// bufferLimit is the part of a response body that is read before the caller gets the first byte. A response that
	// breaks off within it can still be replaced by that of another attempt.
	bufferLimit = 1 << 20
)

// try makes an attempt and reads the beginning of the answer. A panic ends the attempt, which may have run.
func (f *Forwarder) try(ctx context.Context, cancel context.CancelFunc, r *request, p *pick) (got result) {
	defer func() {
		if value := recover(); value != nil {
			cancel()
			failure := outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonInternalError, stepSend, p.host, guard.Recovered(value))
			got = result{pick: p, failure: failure}
		}
	}()
	response, failure := f.send(ctx, r, p)
	if failure != nil {
		cancel()
		return result{pick: p, failure: failure}
	}
	a := &answer{response: response, pick: p, cancel: cancel}
	if failure := a.read(); failure != nil {
		a.close()
		return result{pick: p, failure: failure}
	}
	return result{pick: p, answer: a}
}

// read reads the beginning of the body.
func (a *answer) read() *outcome.Error {
	prefix, err := io.ReadAll(io.LimitReader(a.response.Body, bufferLimit))
	if err != nil {
		status := http.StatusBadGateway
		if transport.IsTimeout(err) {
			status = http.StatusGatewayTimeout
		}
		return outcome.MayHaveRun(status, outcome.ReasonBodyCut, stepSend, a.pick.host, err)
	}
	a.prefix, a.whole = prefix, len(prefix) < bufferLimit
	return nil
}

// hopRemaining is the part of the time left that an attempt may use. The rest is for the way back: a dispatcher's word that
// a request was not run must arrive before the deadline.
func hopRemaining(left time.Duration) time.Duration {
	return left - min(returnTime, left/10)
}

// send makes one attempt: directly if the endpoint is beside this node, over the inner hop otherwise.
func (f *Forwarder) send(ctx context.Context, r *request, p *pick) (*transport.Response, *outcome.Error) {
	meta := hop.Meta{
		RequestID:     r.id,
		Attempt:       f.ids.Next(),
		Service:       r.service,
		Endpoint:      p.endpoint.ID,
		Route:         r.route.Name,
		Repeatable:    r.repeatable(),
		Long:          r.route.Kind == routing.Download,
		MaxWait:       p.maxWait,
		Remaining:     hopRemaining(time.Until(r.deadline)),
		Priority:      r.route.Priority,
		CallerService: f.options.CallerService(),
	}
	if p.host == f.options.IP {
		request := &dispatch.Request{Meta: meta, Transport: dispatch.BackendRequest(relay.CopyRequestHead(r.head), r.body)}
		return f.options.Dispatcher.Do(ctx, request)
	}
	request := &transport.Request{Head: relay.CopyRequestHead(r.head)}
	r.body.Attach(request)
	meta.Write(&request.Head.Header)
	return f.sendHop(ctx, p, &meta, request)
}

func (f *Forwarder) sendHop(ctx context.Context, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	pending, err := f.pool(p.host).Send(ctx, request)
	if err != nil {
		return nil, f.lost(ctx, p, meta, err)
	}
	delay := max(inquireFactor*p.service, minInquire)
	asking := inquiry.Start(ctx, delay, pending, func(ctx context.Context) (attempts.State, bool) {
		return f.inquire(ctx, p, meta, f.options.Inquirer.Inquire)
	})
	response, err := pending.Await()
	asking.Stop()
	if err != nil {
		return nil, f.lost(ctx, p, meta, err)
	}
	f.options.Conditions.ObservePath(p.host, faultfilter.Success)
	return f.interpret(p, meta, response)
}

// interpret tells an answer of the endpoint from a refusal of its dispatcher.
func (f *Forwarder) interpret(p *pick, meta *hop.Meta, response *transport.Response) (*transport.Response, *outcome.Error) {
	header := &response.Head.Header
	if header.Get(outcome.HeaderHopAttempt) != meta.Attempt {
		f.options.Metrics.MismatchedResponse()
		response.Abort(errors.New("the answer belongs to another request"))
		response.Close()
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerMismatch, stepSend, p.host, nil)
	}
	var report reports.Endpoint
	if text := header.Get(outcome.HeaderHopLoad); text != "" && json.Unmarshal([]byte(text), &report) == nil {
		f.options.Conditions.ObserveEndpoint(report)
	}
	told := outcome.Outcome(header.Get(outcome.HeaderOutcome))
	if told == outcome.Answered {
		return response, nil
	}
	failure := &outcome.Error{
		Outcome: told, Reason: outcome.Reason(header.Get(outcome.HeaderReason)), Status: response.Head.StatusCode(),
		Step: stepSend, Peer: p.host,
	}
	// The body of a refusal is empty. With one that is not, the connection is closed.
	response.Discard()
	if told != outcome.NotRun {
		failure.Outcome = outcome.Unknown
		failure.Status = max(failure.Status, http.StatusBadGateway)
	}
	return nil, failure
}

// lost classifies an attempt that ended without an answer of the dispatcher. If the request may have reached it, it is
// asked over the peer connection.
func (f *Forwarder) lost(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
	var exchange *transport.Error
	sent := !errors.As(err, &exchange) || exchange.MaybeSent
	switch {
	case !sent && ctx.Err() != nil:
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonCancelled, stepSend, p.host, err)
	case !sent:
		f.options.Conditions.ObservePath(p.host, faultfilter.Failure)
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnect, stepSend, p.host, err)
	case errors.Is(err, inquiry.ErrNotRun):
		f.options.Conditions.ObservePath(p.host, faultfilter.Stalled)
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnectionSilent, stepInquire, p.host, err)
	case errors.Is(err, inquiry.ErrAnswerLost):
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonConnectionSilent, stepInquire, p.host, err)
	case errors.Is(err, transport.ErrRequestBody) && transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonBodyTimeout, stepBody, p.host, err)
	case errors.Is(err, transport.ErrRequestBody):
		return outcome.MayHaveRun(http.StatusBadRequest, outcome.ReasonBodyCut, stepBody, p.host, err)
	case transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepSend, p.host, err)
	case ctx.Err() != nil:
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonCancelled, stepSend, p.host, err)
	}
	f.options.Conditions.ObservePath(p.host, faultfilter.Stalled)
	if state, known := f.inquire(ctx, p, meta, f.options.Inquirer.Withdraw); known && state == attempts.NotRun {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnectionLost, stepInquire, p.host, err)
	}
	return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonConnectionLost, stepSend, p.host, err)
}

type question = func(ctx context.Context, target Target, attempt string) (attempts.State, error)

func (f *Forwarder) inquire(ctx context.Context, p *pick, meta *hop.Meta, ask question) (attempts.State, bool) {
	if p.incarnation == 0 {
		return attempts.Unknown, false
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	state, err := ask(ctx, Target{IP: p.host, Incarnation: p.incarnation}, meta.Attempt)
	return state, err == nil
}
