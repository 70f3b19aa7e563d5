package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepInquire = "inquire"
	// inquireTimeout limits an inquiry, and with it the time by which a lost connection delays the response to the caller.
	inquireTimeout = 400 * time.Millisecond
	// The dispatcher is asked for the state of an attempt that is unanswered after inquireFactor times the expected service
	// time, but not before minInquireDelay.
	inquireFactor   = 3
	minInquireDelay = 300 * time.Millisecond
	// returnTime is the time that is reserved for a response to arrive from another zone.
	returnTime = 15 * time.Millisecond
	// responseBufferBytes is the part of a response body that is read before the caller gets the first byte. A response
	// that is cut short within it can still be replaced by that of another attempt.
	responseBufferBytes = 1 << 20
	// If there is no memory for that, smallResponseBytes are read ahead, and freeResponseBytes without any. The rest waits at
	// the endpoint until the caller reads it.
	smallResponseBytes = 64 << 10
	freeResponseBytes  = 4 << 10
)

// try makes an attempt and reads the beginning of the answer. A panic is returned as a failure after which the request may
// have run.
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
	if failure := a.readPrefix(f.options.Responses); failure != nil {
		a.close()
		return result{pick: p, failure: failure}
	}
	return result{pick: p, answer: a}
}

// readPrefix reads up to responseBufferBytes of the body, as far as there is memory for it.
func (a *answer) readPrefix(available *memory.Budget) *outcome.Error {
	limit := int64(responseBufferBytes)
	if length := a.response.Length; length >= 0 && length < limit {
		limit = length
	}
	for _, size := range []int64{limit, min(limit, smallResponseBytes)} {
		if a.reserved == 0 && size > freeResponseBytes && available.Reserve(size) {
			a.memory, a.reserved, limit = available, size, size
		}
	}
	if a.reserved == 0 {
		limit = min(limit, freeResponseBytes)
	}
	var buffer bytes.Buffer
	if a.response.Length >= 0 {
		buffer.Grow(int(limit) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(a.response.Body, limit)); err != nil {
		status := http.StatusBadGateway
		if transport.IsTimeout(err) {
			status = http.StatusGatewayTimeout
		}
		return outcome.MayHaveRun(status, outcome.ReasonBodyCut, stepSend, a.pick.host, err)
	}
	a.prefix, a.complete = buffer.Bytes(), a.response.Complete()
	a.returnUnused()
	return nil
}

// returnUnused gives back the memory that a response shorter than expected does not need.
func (a *answer) returnUnused() {
	if unused := a.reserved - int64(len(a.prefix)); a.complete && unused > 0 {
		a.memory.Release(unused)
		a.reserved -= unused
	}
}

// hopRemaining returns the part of the remaining time that an attempt may use. The rest is reserved for the response: a
// dispatcher's report that the request was not run must arrive before the deadline.
func hopRemaining(remaining time.Duration) time.Duration {
	return remaining - min(returnTime, remaining/10)
}

// send makes one attempt: through this node's dispatcher if the endpoint is on this host, otherwise through the dispatcher
// of the node on the endpoint's host.
func (f *Forwarder) send(ctx context.Context, r *request, p *pick) (*transport.Response, *outcome.Error) {
	meta := hop.Meta{
		RequestID:     r.id,
		Attempt:       f.ids.Next(),
		Service:       r.service,
		Endpoint:      p.endpoint.ID,
		Route:         r.route.Name,
		Fingerprint:   r.fingerprint,
		Suspect:       p.suspect,
		Repeatable:    r.repeatable(),
		Long:          r.route.Kind == routing.Download,
		MaxWait:       p.maxWait,
		Remaining:     hopRemaining(time.Until(r.deadline)),
		Priority:      r.priority(),
		CallerService: f.options.CallerService(),
		Announced:     f.options.Announcements.State(p.endpoint.ID),
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

// sendHop sends an attempt to the dispatcher on another host. If the response does not arrive within a multiple of the
// expected service time, it asks the dispatcher over the peer connection for the attempt's state.
func (f *Forwarder) sendHop(ctx context.Context, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	pending, err := f.pool(p.host).Send(ctx, request)
	if err != nil {
		return nil, f.classifyError(ctx, p, meta, err)
	}
	delay := max(inquireFactor*p.serviceTime, minInquireDelay)
	inquiries := inquiry.Start(ctx, delay, pending, func(ctx context.Context) (attempts.State, bool) {
		return f.inquire(ctx, p, meta, f.options.Inquirer.Inquire)
	})
	response, err := pending.Await()
	inquiries.Stop()
	if err != nil {
		return nil, f.classifyError(ctx, p, meta, err)
	}
	f.options.Conditions.ObservePath(p.host, faultfilter.Success)
	return f.interpret(p, meta, response)
}

// interpret returns a response of the endpoint as it is, and turns a refusal by its dispatcher into a failure.
func (f *Forwarder) interpret(p *pick, meta *hop.Meta, response *transport.Response) (*transport.Response, *outcome.Error) {
	header := &response.Head.Header
	if header.Get(outcome.HeaderHopAttempt) != meta.Attempt {
		f.options.Metrics.MismatchedResponse()
		response.Abort(fmt.Errorf("response of %s belongs to attempt %q instead of %q", p.host, header.Get(outcome.HeaderHopAttempt), meta.Attempt))
		response.Close()
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerMismatch, stepSend, p.host, nil)
	}
	var report reports.Endpoint
	if text := header.Get(outcome.HeaderHopLoad); text != "" && json.Unmarshal([]byte(text), &report) == nil {
		f.options.Conditions.ObserveEndpoint(report)
	}
	reported := outcome.Outcome(header.Get(outcome.HeaderOutcome))
	if reported == outcome.Answered {
		return response, nil
	}
	record, err := hop.ReadSuspect(header, meta)
	if err != nil {
		f.options.Logger.Warn("unreadable record of a suspect", "peer", p.host, "error", err)
	}
	if record != nil {
		f.options.Suspects.Learn(*record)
	}
	failure := &outcome.Error{
		Outcome: reported, Reason: outcome.Reason(header.Get(outcome.HeaderReason)), Status: response.Head.StatusCode(),
		Step: stepSend, Peer: p.host,
	}
	// The body of a refusal is empty. Discard closes the connection if this one is not.
	response.Discard()
	if reported != outcome.NotRun {
		failure.Outcome = outcome.Unknown
		failure.Status = max(failure.Status, http.StatusBadGateway)
	}
	return nil, failure
}

// classifyError returns the failure of an attempt that ended without a response of the dispatcher. If the connection was
// lost after the request may have reached the dispatcher, the dispatcher is asked over the peer connection.
func (f *Forwarder) classifyError(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
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
	return outcome.MayHaveRun(http.StatusBadGateway, relay.LostReason(err), stepSend, p.host, err)
}

// inquireFunc is Inquirer.Inquire or Inquirer.Withdraw.
type inquireFunc = func(ctx context.Context, target Target, attempt string) (attempts.State, error)

// inquire asks the dispatcher for the state of an attempt. It returns false if the dispatcher cannot be asked.
func (f *Forwarder) inquire(ctx context.Context, p *pick, meta *hop.Meta, ask inquireFunc) (attempts.State, bool) {
	if p.incarnation == 0 {
		return attempts.Unknown, false
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	state, err := ask(ctx, Target{IP: p.host, Incarnation: p.incarnation}, meta.Attempt)
	return state, err == nil
}
