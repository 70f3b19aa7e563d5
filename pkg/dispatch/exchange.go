package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/transport"
)

var errLateResponse = errors.New("the deadline passed while the process did not run")

// dispatch sends a request that holds a slot to the endpoint and waits for the head of the response.
func (e *endpoint) dispatch(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if failure := e.recheck(ctx, r); failure != nil {
		return nil, failure
	}
	e.address(ctx, r)
	e.dispatcher.attempts.Set(r.Attempt, attempts.Running)
	e.begin(r)
	begin := e.dispatcher.now()
	response, err := e.exchange(ctx, r)
	took := e.dispatcher.now() - begin
	if err != nil {
		return nil, e.lost(ctx, r, err, took)
	}
	return e.judge(r, response, begin, took)
}

// recheck refuses a request for which something has changed while it waited. The process may have been paused, in which
// case timers have not fired yet.
func (e *endpoint) recheck(ctx context.Context, r *Request) *outcome.Error {
	deadline, ok := ctx.Deadline()
	if ctx.Err() != nil || (ok && !time.Now().Before(deadline)) {
		return refuse(r, stepDispatch, outcome.ReasonDeadline, errLateResponse)
	}
	if e.dispatcher.options.View().Leaving(e.id) {
		return refuse(r, stepDispatch, outcome.ReasonLeaving, nil)
	}
	return nil
}

// address sets the headers that the backend server expects.
func (e *endpoint) address(ctx context.Context, r *Request) {
	names := e.dispatcher.options.Headers
	h := &r.Transport.Head.Header
	deadline, _ := ctx.Deadline()
	h.Set(names.RequestID, r.RequestID)
	h.Set(names.DeadlineMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	h.Set(names.TargetInstance, e.id)
	h.Set(names.CallerService, r.CallerService)
	id := r.RequestID
	r.Transport.Accept = func(head *protocol.Response) bool {
		echoed := head.Header.Get(names.RequestID)
		return echoed == "" || echoed == id
	}
}

func (e *endpoint) exchange(ctx context.Context, r *Request) (*transport.Response, error) {
	pending, err := e.dispatcher.pool.Send(ctx, r.Transport)
	if err != nil {
		return nil, err
	}
	return pending.Await()
}

// judge tells an answer of the endpoint from a rejection and from bytes that are no answer.
func (e *endpoint) judge(r *Request, response *transport.Response, begin, took time.Duration) (*transport.Response, *outcome.Error) {
	names := e.dispatcher.options.Headers
	status := response.Head.StatusCode()
	signed := response.Head.Header.Get(names.Signature) != ""
	anonymous := response.Head.Header.Get(names.RequestID) == ""
	rejection := response.Head.Header.Get(names.NotRun) != "" || status == http.StatusMisdirectedRequest
	switch {
	case rejection && anonymous && response.Reused():
		// It may be a late copy of the rejection of an earlier request.
		response.Abort(errors.New("the rejection names no request"))
		response.Close()
		e.learn(r, faultfilter.Failure, took)
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerMismatch, stepDispatch, e.id, nil)
	case rejection:
		return nil, e.rejected(r, response, status, took)
	case !signed || anonymous:
		response.Abort(errors.New("the answer is not signed"))
		response.Close()
		e.learn(r, faultfilter.Failure, 0)
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerUnsigned, stepDispatch, e.id, nil)
	}
	e.dispatcher.attempts.Set(r.Attempt, attempts.Answered)
	if status >= http.StatusInternalServerError {
		e.learn(r, faultfilter.Failure, took)
	}
	response.OnClose(func() { e.answered(r, response, status, begin) })
	return response, nil
}

// answered records the end of an answer.
func (e *endpoint) answered(r *Request, response *transport.Response, status int, begin time.Duration) {
	served := e.dispatcher.now() - begin
	switch {
	case status >= http.StatusInternalServerError:
		served = notLearned
	case response.Complete():
		e.learn(r, faultfilter.Success, served)
	case response.Broken():
		e.learn(r, faultfilter.Failure, 0)
		served = notLearned
	default:
		served = notLearned
	}
	e.done(r.Attempt, served)
}

// rejected records that the endpoint did not run the request.
func (e *endpoint) rejected(r *Request, response *transport.Response, status int, took time.Duration) *outcome.Error {
	response.Discard()
	reason := outcome.ReasonEndpointRejected
	if status == http.StatusMisdirectedRequest {
		reason = outcome.ReasonEndpointReplaced
	}
	e.learn(r, faultfilter.Failure, took)
	return refuse(r, stepDispatch, reason, nil)
}

// lost classifies an exchange that ended without a response.
func (e *endpoint) lost(ctx context.Context, r *Request, err error, took time.Duration) *outcome.Error {
	var exchange *transport.Error
	sent := !errors.As(err, &exchange) || exchange.MaybeSent
	switch {
	case !sent && ctx.Err() == nil:
		e.learn(r, faultfilter.Failure, 0)
		return refuse(r, stepDispatch, outcome.ReasonDown, err)
	case !sent:
		return refuse(r, stepDispatch, outcome.ReasonDeadline, err)
	case errors.Is(err, transport.ErrRequestBody) && transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonBodyTimeout, stepDispatch, e.id, err)
	case errors.Is(err, transport.ErrRequestBody):
		return outcome.MayHaveRun(http.StatusBadRequest, outcome.ReasonBodyCut, stepDispatch, e.id, err)
	case transport.IsTimeout(err):
		e.learn(r, faultfilter.Failure, took)
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepDispatch, e.id, err)
	case ctx.Err() != nil:
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonCancelled, stepDispatch, e.id, err)
	default:
		e.learn(r, faultfilter.Failure, 0)
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonConnectionLost, stepDispatch, e.id, err)
	}
}
