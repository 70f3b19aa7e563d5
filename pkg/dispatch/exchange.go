package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

var errDeadlinePassed = errors.New("the deadline passed before the request was sent to the endpoint")

// dispatch sends a request that holds a slot to the endpoint and waits for the head of the response.
func (e *endpoint) dispatch(ctx context.Context, r *Request) (*transport.Response, *outcome.Error) {
	if failure := e.recheck(ctx, r); failure != nil {
		return nil, failure
	}
	e.setHeaders(ctx, r)
	if failure := e.begin(r); failure != nil {
		return nil, failure
	}
	e.dispatcher.attempts.Set(r.Attempt, attempts.Running)
	begin := e.dispatcher.now()
	response, err := e.exchange(ctx, r)
	took := e.dispatcher.now() - begin
	if err != nil {
		return nil, e.classifyError(ctx, r, err, took)
	}
	return e.classifyResponse(r, response, begin, took)
}

// recheck refuses a request whose deadline has passed, whose endpoint began to leave or which was quarantined while it was
// queued. It compares the deadline with the time because after a pause of the process the context's timer may not have fired
// yet.
func (e *endpoint) recheck(ctx context.Context, r *Request) *outcome.Error {
	deadline, ok := ctx.Deadline()
	if ctx.Err() != nil || (ok && !time.Now().Before(deadline)) {
		return refuse(r, stepDispatch, outcome.ReasonDeadline, errDeadlinePassed)
	}
	if e.dispatcher.endpointLeaves(e.id) {
		return refuse(r, stepDispatch, outcome.ReasonLeaving, nil)
	}
	if e.dispatcher.options.Suspects.Decide(r.Fingerprint) == quarantine.Refuse {
		return refuse(r, stepDispatch, outcome.ReasonQuarantined, nil)
	}
	return nil
}

// setHeaders sets the headers that the backend server expects, and the check that a response belongs to the request.
func (e *endpoint) setHeaders(ctx context.Context, r *Request) {
	names := e.dispatcher.options.Headers
	h := &r.Transport.Head.Header
	deadline, _ := ctx.Deadline()
	relay.SetOnly(h, names.RequestID, r.RequestID)
	relay.SetOnly(h, names.DeadlineMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	relay.SetOnly(h, names.TargetInstance, e.id)
	relay.SetOnly(h, names.CallerService, r.CallerService)
	id := r.RequestID
	r.Transport.Accept = func(head *protocol.Response) bool {
		echoed := head.Header.Get(names.RequestID)
		return echoed == "" || echoed == id
	}
}

// exchange sends a request to the endpoint and waits for the head of the response.
func (e *endpoint) exchange(ctx context.Context, r *Request) (*transport.Response, error) {
	r.Transport.OnWrite = func() { e.markSent(r) }
	pending, err := e.dispatcher.pool.Send(ctx, r.Transport)
	if err != nil {
		return nil, err
	}
	return pending.Await()
}

// classifyResponse returns a signed answer of the endpoint, and a failure for a rejection or for a response that cannot be
// attributed to the request.
func (e *endpoint) classifyResponse(r *Request, response *transport.Response, begin, took time.Duration) (*transport.Response, *outcome.Error) {
	e.heard(1)
	names := e.dispatcher.options.Headers
	status := response.Head.StatusCode()
	signed := response.Head.Header.Get(names.Signature) != ""
	anonymous := response.Head.Header.Get(names.RequestID) == ""
	rejection := response.Head.Header.Get(names.NotRun) != "" || status == http.StatusMisdirectedRequest
	if status != http.StatusMisdirectedRequest && !(anonymous && response.Reused()) {
		e.observeAnnouncements(response, signed || rejection, begin)
	}
	switch {
	case rejection && anonymous && response.Reused():
		// It may be the late rejection of an earlier request on the same connection.
		response.Abort(errors.New("the rejection has no request id and came on a reused connection"))
		response.Close()
		e.observe(r, faultfilter.Failure, took)
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerMismatch, stepDispatch, e.id, nil)
	case rejection:
		return nil, e.rejected(r, response, status, took)
	case !signed || anonymous:
		response.Abort(errors.New("the answer has no signature or no request id"))
		response.Close()
		e.observe(r, faultfilter.Failure, 0)
		return nil, outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonAnswerUnsigned, stepDispatch, e.id, nil)
	}
	e.dispatcher.attempts.Set(r.Attempt, attempts.Answered)
	if status >= http.StatusInternalServerError {
		e.observe(r, faultfilter.Failure, took)
	}
	response.OnClose(func() { e.finish(r, response, status, begin) })
	return response, nil
}

// observeAnnouncements records what the endpoint announces in a response to a request that was sent at begin. A response that
// is not trusted can announce something, but its silence does not end a limit.
func (e *endpoint) observeAnnouncements(response *transport.Response, trusted bool, begin time.Duration) {
	names, header := e.dispatcher.options.Headers, &response.Head.Header
	announced := announce.ReadResponse(header.GetAll(names.Limit), header.GetAll(names.Leaving))
	if !trusted {
		announced.Distrust()
	}
	if e.dispatcher.options.Announcements.Observe(e.id, announced, begin) {
		e.dispatcher.options.ConditionChanged()
	}
}

// finish records the outcome of an answer whose body has ended or was aborted, and releases the slot.
func (e *endpoint) finish(r *Request, response *transport.Response, status int, begin time.Duration) {
	e.heard(1)
	served := e.dispatcher.now() - begin
	switch {
	case status >= http.StatusInternalServerError:
		served = noServiceTime
	case response.Complete():
		e.observe(r, faultfilter.Success, served)
		e.dispatcher.options.Suspects.Succeeded(r.Fingerprint)
	case response.Broken():
		e.crashed(r)
		e.observe(r, faultfilter.Failure, 0)
		served = noServiceTime
	default:
		served = noServiceTime
	}
	e.release(r.Attempt, served)
}

// rejected records that the endpoint rejected the request, and returns the failure: the request was not run.
func (e *endpoint) rejected(r *Request, response *transport.Response, status int, took time.Duration) *outcome.Error {
	response.Discard()
	reason := outcome.ReasonEndpointRejected
	if status == http.StatusMisdirectedRequest {
		reason = outcome.ReasonEndpointReplaced
	}
	e.observe(r, faultfilter.Failure, took)
	return refuse(r, stepDispatch, reason, nil)
}

// classifyError returns the failure of an exchange that ended without a response, and records it as evidence unless the
// cause lies with the caller.
func (e *endpoint) classifyError(ctx context.Context, r *Request, err error, took time.Duration) *outcome.Error {
	var exchange *transport.Error
	sent := !errors.As(err, &exchange) || exchange.MaybeSent
	switch {
	case !sent && ctx.Err() == nil:
		e.observe(r, faultfilter.Failure, 0)
		return refuse(r, stepDispatch, outcome.ReasonDown, err)
	case !sent:
		return refuse(r, stepDispatch, outcome.ReasonDeadline, err)
	case errors.Is(err, transport.ErrRequestBody) && transport.IsTimeout(err):
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonBodyTimeout, stepDispatch, e.id, err)
	case errors.Is(err, transport.ErrRequestBody):
		return outcome.MayHaveRun(http.StatusBadRequest, outcome.ReasonBodyCut, stepDispatch, e.id, err)
	case transport.IsTimeout(err):
		e.keepUnanswered(r)
		e.observe(r, faultfilter.Failure, took)
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, stepDispatch, e.id, err)
	case ctx.Err() != nil:
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonCancelled, stepDispatch, e.id, err)
	case e.crashed(r):
		e.observe(r, faultfilter.Failure, 0)
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonBackendCrash, stepDispatch, e.id, err)
	default:
		e.observe(r, faultfilter.Failure, 0)
		return outcome.MayHaveRun(http.StatusBadGateway, relay.LostReason(err), stepDispatch, e.id, err)
	}
}
