package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

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
	// inquireTimeout bounds a query for an attempt's state, and so how long a lost connection delays the response that
	// reports an unknown outcome.
	inquireTimeout = 500 * time.Millisecond
)

var (
	errEndpointSuspect = errors.New("the endpoint became suspect")
	errProbe           = errors.New("the probe was not answered in time")
)

// send sends an attempt to the endpoint's owner: by a call if this node is the owner, over a connection otherwise.
func (i *Ingress) send(ctx context.Context, v *view, r *request, p *pick) (*transport.Response, *outcome.Error) {
	meta := hop.Meta{
		RequestID:   r.id,
		Attempt:     i.attempts.Next(),
		Service:     r.service.Name,
		Endpoint:    p.entry.id,
		Route:       r.route.ID,
		Key:         r.key,
		Fingerprint: r.fingerprint,
		Suspect:     p.reason == reasonSuspect,
		Repeatable:  r.route.Repeatable,
		Long:        r.long,
		MaxWait:     p.maxWait,
		Remaining:   time.Until(r.deadline),
		Announced:   v.announced(p.entry.id),
	}
	request := &transport.Request{Head: relay.CopyRequestHead(r.head)}
	r.body.Attach(request)
	if p.entry.host.ID == i.options.Host {
		return i.sendOwn(ctx, v, r, p, &meta, request)
	}
	meta.Write(&request.Head.Header)
	return i.sendHop(ctx, v, r, p, &meta, request)
}

// sendOwn passes the request to the owner in this process.
func (i *Ingress) sendOwn(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	// decided is set by whichever comes first: the end of Do or the abort of the attempt.
	var decided atomic.Bool
	i.allowEarlyAbort(ctx, v, r, p, meta, func(cause error) {
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
	p.queueTime = own.Waited
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

// sendHop sends the request to an owner on another host.
func (i *Ingress) sendHop(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, request *transport.Request) (*transport.Response, *outcome.Error) {
	pool := i.pools.get(p.entry.host.HopAddress())
	pending, err := pool.Send(ctx, request)
	if err != nil {
		return nil, i.exchangeFailed(ctx, p, meta, err)
	}
	i.allowEarlyAbort(ctx, v, r, p, meta, pending.Abort)
	pendingInquiry := inquiry.Start(ctx, v.slowAfter(r, p), pending, i.inquireFunc(p, meta))
	response, err := pending.Await()
	pendingInquiry.Stop()
	if err != nil {
		return nil, i.exchangeFailed(ctx, p, meta, err)
	}
	return i.interpret(v, p, meta, response)
}

// allowEarlyAbort arranges that the attempt is aborted if its endpoint becomes suspect, or if it is a probe that is not
// answered in time, so that the request can be sent to another endpoint. A request that may not be repeated is aborted on
// suspicion only if the owner confirms that it was not run and has removed it from its queue.
func (i *Ingress) allowEarlyAbort(ctx context.Context, v *view, r *request, p *pick, meta *hop.Meta, abort func(error)) {
	if !r.body.Buffered() {
		return
	}
	v.registerWaiting(p, func() {
		if r.route.Repeatable {
			abort(errEndpointSuspect)
			return
		}
		i.withdraw(ctx, p, meta, abort)
	})
	if p.reason == reasonProbe {
		timer := time.AfterFunc(v.probeTimeout(r, p), func() {
			if v.isWaiting(p) {
				abort(errProbe)
			}
		})
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
}

// withdraw aborts the attempt if its owner confirms that it will not run it.
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

// interpret returns the backend server's response, or the failure that the owner reported instead of one.
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
		p.queueTime = load.QueueTime
		v.observeLoad(p.entry.id, load)
	}
	if announced, err := hop.ReadAnnounced(header); err != nil {
		i.options.Logger.Warn("unreadable announcements of an endpoint", "peer", peer, "error", err)
	} else {
		v.learnAnnounced(p.entry.id, announced)
	}
	reported := outcome.Outcome(header.Get(outcome.HeaderOutcome))
	if reported == outcome.Answered {
		return response, nil
	}
	i.learnSuspect(p, meta, header)
	failure := &outcome.Error{
		Outcome:  reported,
		Reason:   outcome.Reason(header.Get(outcome.HeaderReason)),
		Status:   response.Head.StatusCode(),
		Step:     stepSend,
		Peer:     peer,
		Recorded: header.Get(outcome.HeaderRecorded),
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Close()
	if reported != outcome.NotRun && reported != outcome.Duplicate {
		failure.Outcome = outcome.Unknown
	}
	return nil, failure
}

// learnSuspect takes what the owner knows of the crashes of the request.
func (i *Ingress) learnSuspect(p *pick, meta *hop.Meta, header *protocol.ResponseHeader) {
	if i.options.Suspects == nil {
		return
	}
	record, err := hop.ReadSuspect(header, meta)
	if err != nil {
		i.options.Logger.Warn("unreadable record of a suspect", "peer", p.entry.host.ID, "error", err)
	}
	if record != nil {
		i.options.Suspects.Learn(*record)
	}
}

// exchangeFailed returns the failure for an attempt that ended without a response from the owner, and counts it.
func (i *Ingress) exchangeFailed(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
	failure := i.classifyFailure(ctx, p, meta, err)
	i.options.Metrics.ConnectionClosed(string(failure.Reason))
	return failure
}

// classifyFailure determines whether the request may have run. If it may have reached the owner and no other cause is
// known, it queries the owner over the peer connection.
func (i *Ingress) classifyFailure(ctx context.Context, p *pick, meta *hop.Meta, err error) *outcome.Error {
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
	case errors.Is(err, errEndpointSuspect):
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
	return outcome.MayHaveRun(http.StatusBadGateway, relay.LostReason(err), stepSend, peer, err)
}

// inquire queries the owner for the state of an attempt. It returns false if the owner did not answer in time.
func (i *Ingress) inquire(ctx context.Context, p *pick, meta *hop.Meta) (attempts.State, bool) {
	if i.options.Inquirer == nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	state, err := i.options.Inquirer.Inquire(ctx, p.entry.host, meta.Attempt)
	return state, err == nil
}

// inquireFunc returns a function that queries the owner for the state of an attempt, or nil if there is no Inquirer.
func (i *Ingress) inquireFunc(p *pick, meta *hop.Meta) inquiry.Ask {
	if i.options.Inquirer == nil {
		return nil
	}
	return func(ctx context.Context) (attempts.State, bool) { return i.inquire(ctx, p, meta) }
}
