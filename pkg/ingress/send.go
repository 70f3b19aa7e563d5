package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/inquiry"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepSend    = "send"
	stepInquire = "inquire"
	// inquireTimeout bounds how long a lost connection delays the report of an unknown outcome.
	inquireTimeout = 500 * time.Millisecond
)

var (
	errRescue = errors.New("the endpoint became suspect")
	errProbe  = errors.New("the probe was not answered in time")
)

// send makes one attempt: directly if this node owns the endpoint, over the inner hop otherwise.
func (i *Ingress) send(ctx context.Context, v *view, r *request, p *pick) (*transport.Response, *outcome.Error) {
	meta := hop.Meta{
		RequestID:   r.id,
		Attempt:     i.attempts.Next(),
		Service:     r.service.Name,
		Endpoint:    p.entry.id,
		Route:       r.route.ID,
		Key:         r.key,
		Fingerprint: r.fingerprint,
		Repeatable:  r.route.Repeatable,
		Long:        r.long,
		MaxWait:     p.maxWait,
		Remaining:   time.Until(r.deadline),
	}
	request := &transport.Request{Head: relay.CopyRequestHead(r.head)}
	r.body.Attach(request)
	if p.entry.host.ID == i.options.Host {
		return i.sendOwn(ctx, v, r, p, &meta, request)
	}
	meta.Write(&request.Head.Header)
	return i.sendHop(ctx, v, r, p, &meta, request)
}

// sendOwn hands the request to the owner in this process.
func (i *Ingress) sendOwn(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var decided atomic.Bool
	i.prepareRescue(ctx, v, r, p, meta, func(cause error) {
		if decided.CompareAndSwap(false, true) {
			cancel(cause)
		}
	})
	request.Head.Header.Set(outcome.HeaderRequestID, r.id)
	own := &owner.Request{Meta: *meta, Transport: request}
	response, failure := i.options.Owner.Do(ctx, own)
	answered := decided.CompareAndSwap(false, true)
	if load, ok := i.options.Owner.Load(meta.Endpoint); ok {
		v.observeLoad(meta.Endpoint, load)
	}
	p.wait = own.Waited
	switch {
	case failure != nil:
		cancel(nil)
		return nil, failure
	case !answered:
		response.Close()
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonEndpointSuspect, stepSend, i.options.Host, context.Cause(ctx))
	}
	response.OnClose(func() { cancel(nil) })
	return response, nil
}

func (i *Ingress) sendHop(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	pool := i.pools.get(p.entry.host.HopAddress())
	pending, err := pool.Send(ctx, request)
	if err != nil {
		return nil, i.lost(ctx, p, meta, err)
	}
	i.prepareRescue(ctx, v, r, p, meta, pending.Abort)
	asking := inquiry.Start(ctx, v.slowAfter(r, p), pending, i.ask(p, meta))
	response, err := pending.Await()
	asking.Stop()
	if err != nil {
		return nil, i.lost(ctx, p, meta, err)
	}
	return i.interpret(v, p, meta, response)
}

// prepareRescue lets the attempt be ended early if its endpoint becomes suspect, or if it is a probe that stays without
// an answer. A request that may not be repeated is ended only if its owner takes it out of its queue.
func (i *Ingress) prepareRescue(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, abort func(error)) {
	if !r.body.Buffered() {
		return
	}
	v.onSuspicion(p, func() {
		if r.route.Repeatable {
			abort(errRescue)
			return
		}
		i.withdraw(ctx, p, meta, abort)
	})
	if p.reason == reasonProbe {
		timer := time.AfterFunc(v.probeLimit(r, p), func() {
			if v.stillWaiting(p) {
				abort(errProbe)
			}
		})
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
}

func (i *Ingress) withdraw(ctx context.Context, p *pick, meta *hop.Meta, abort func(error)) {
	if i.options.Inquirer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	state, err := i.options.Inquirer.Withdraw(ctx, p.entry.host, meta.Attempt)
	if err == nil && state == attempts.NotRun {
		abort(inquiry.ErrNotRun)
	}
}

// interpret tells an answer of the backend server from a refusal of the owner.
func (i *Ingress) interpret(v *view, p *pick, meta *hop.Meta, response *transport.Response) (*transport.Response, *outcome.Error) {
	header := &response.Head.Header
	peer := p.entry.host.ID
	if header.Get(outcome.HeaderHopAttempt) != meta.Attempt {
		i.options.Metrics.MismatchedResponse()
		response.Abort(errors.New("the answer belongs to another request"))
		response.Close()
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerMismatch, stepSend, peer, nil)
	}
	if load, ok := hop.ParseLoad(header.Get(outcome.HeaderHopLoad)); ok {
		p.wait = load.QueueTime
		v.observeLoad(p.entry.id, load)
	}
	told := outcome.Outcome(header.Get(outcome.HeaderOutcome))
	if told == outcome.Answered {
		return response, nil
	}
	failure := &outcome.Error{
		Outcome:  told,
		Reason:   outcome.Reason(header.Get(outcome.HeaderReason)),
		Status:   response.Head.StatusCode(),
		Step:     stepSend,
		Peer:     peer,
		Recorded: header.Get(outcome.HeaderRecorded),
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Close()
	if told != outcome.NotRun && told != outcome.Duplicate {
		failure.Outcome = outcome.Unknown
	}
	return nil, failure
}

// lost classifies an attempt that ended without an answer of the owner. If the request may have reached the owner,
// the owner is asked once more over the peer connection.
func (i *Ingress) lost(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
	failure := i.classify(ctx, p, meta, err)
	i.options.Metrics.ConnectionClosed(string(failure.Reason))
	return failure
}

func (i *Ingress) classify(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
	peer := p.entry.host.ID
	var exchange *transport.Error
	sent := errors.As(err, &exchange) && exchange.MaybeSent
	switch {
	case !sent && ctx.Err() != nil:
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonCancelled, stepSend, peer, err)
	case !sent:
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnect, stepSend, peer, err)
	case errors.Is(err, inquiry.ErrNotRun):
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnectionSilent, stepInquire, peer, err)
	case errors.Is(err, inquiry.ErrAnswerLost):
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonConnectionSilent, stepInquire, peer, err)
	case errors.Is(err, errRescue):
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonEndpointSuspect, stepSend, peer, err)
	case errors.Is(err, errProbe):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepSend, peer, err)
	case errors.Is(err, transport.ErrRequestBody):
		return outcome.MayHaveRun(http.StatusBadRequest, outcome.ReasonBodyCut, stepBody, peer, err)
	case transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepSend, peer, err)
	case ctx.Err() != nil:
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonCancelled, stepSend, peer, err)
	}
	if state, known := i.inquire(ctx, p, meta); known && state == attempts.NotRun {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonConnectionLost, stepInquire, peer, err)
	}
	return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonConnectionLost, stepSend, peer, err)
}

func (i *Ingress) inquire(ctx context.Context, p *pick, meta *hop.Meta) (attempts.State, bool) {
	if i.options.Inquirer == nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	state, err := i.options.Inquirer.Inquire(ctx, p.entry.host, meta.Attempt)
	return state, err == nil
}

// ask returns how to ask the owner about an attempt, or nil if nobody can be asked.
func (i *Ingress) ask(p *pick, meta *hop.Meta) inquiry.Ask {
	if i.options.Inquirer == nil {
		return nil
	}
	return func(ctx context.Context) (attempts.State, bool) { return i.inquire(ctx, p, meta) }
}
