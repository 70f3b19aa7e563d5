package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Steps in decision lines.
const (
	stepAccept  = "accept"
	stepRoute   = "route"
	stepQuota   = "quota"
	stepBody    = "body"
	stepChoose  = "choose"
	stepSend    = "send"
	stepRetry   = "retry"
	stepRespond = "respond"
)

const (
	// bodyPrefixBytes is the part of each request body that is kept in memory. A body that fits can be sent more than once.
	bodyPrefixBytes = 64 << 10
	// bodyBufferBytes is the size up to which a larger body is kept in memory too, so that it can be sent to another
	// endpoint after a refusal. When there is no memory for it, it is streamed.
	bodyBufferBytes = 512 << 10
	// defaultBodyBytes and defaultReadTimeout are used where the configuration sets no limits.
	defaultBodyBytes   = 64 << 20
	defaultReadTimeout = 10 * time.Second
	// retryAfterShare is the largest share of the time to its deadline that a caller is asked to wait.
	retryAfterShare = 0.3
	// Refused callers are asked to wait retryAfterMin plus a random part of retryAfterSpread, so that they do not return at
	// the same time. A full queue drains within a few service times.
	retryAfterMin    = 150 * time.Millisecond
	retryAfterSpread = 350 * time.Millisecond
	// notReadyRetryAfter is the wait for callers of a node that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// addedUnknown is passed to the metrics as added time: the part of the duration spent outside the backend server is
	// not known.
	addedUnknown = -1
)

// request is a caller's request that has a route.
type request struct {
	id      string
	route   *routing.Route
	service string
	// version is the version of the configuration that the route comes from.
	version uint64
	// workspace is the customer whose key, with the digest key, the request carries, or nil if there is none.
	workspace *routing.Workspace
	key       routing.KeyDigest
	// fingerprint identifies the request among those that crash endpoints.
	fingerprint string
	head        *protocol.Request
	body        *relay.Body
	arrivedAt   time.Time
	deadline    time.Time
}

// repeatable reports whether the route allows the request to run more than once.
func (r *request) repeatable() bool {
	return r.route.Kind.Repeatable()
}

// priority returns the rank of the request among those of its service; 0 is the highest.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.Priority != nil {
		return *r.workspace.Priority
	}
	return r.route.Priority
}

// nameWorkspace adds the workspace of the request, if it has one, to a decision.
func (r *request) nameWorkspace(d *decision.Decision) {
	if r.workspace != nil {
		d.Inputs["workspace"] = r.workspace.Name
	}
}

// Serve handles a caller's request.
func (f *Forwarder) Serve(parent context.Context, c *app.RequestContext) {
	arrived := time.Now()
	id := c.Request.Header.Get(f.options.Headers.RequestID)
	r, failure := f.accept(c, id, arrived)
	if r != nil && r.body != nil {
		defer r.body.Release()
	}
	if failure != nil {
		f.refuse(c, id, r, failure)
		return
	}
	ctx, cancel := relay.WithTimeout(parent, time.Until(r.deadline))
	defer cancel()
	defer relay.WatchDisconnect(c, r.body)()
	token, failure := f.takeToken(ctx, r)
	if failure != nil {
		f.refuse(c, id, r, failure)
		return
	}
	a, failure := f.deliver(ctx, r)
	if failure != nil {
		f.returnToken(r, token, failure)
		f.refuse(c, id, r, failure)
		return
	}
	f.respond(c, r, a)
}

// accept checks a request, finds its route and reads the beginning of its body. The returned request is nil if it
// was refused before its route was found.
func (f *Forwarder) accept(c *app.RequestContext, id string, arrived time.Time) (*request, *outcome.Error) {
	table := f.options.Table()
	if table == nil {
		c.SetConnectionClose()
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady, stepAccept, "", nil)
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && len(c.Request.Header.RawHeaders()) > limit {
		c.SetConnectionClose()
		return nil, outcome.Refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonHeaderTooLarge, stepAccept, "", nil)
	}
	if !attempts.ValidID(id) {
		c.SetConnectionClose()
		return nil, outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, stepAccept, "", fmt.Errorf("request id in header %s is missing or invalid (%d bytes)", f.options.Headers.RequestID, len(id)))
	}
	target := relay.TargetOf(&c.Request.Header)
	route := table.Match(target.Host, target.Path())
	if route == nil {
		return nil, outcome.Refuse(http.StatusNotFound, outcome.ReasonNoRoute, stepRoute, "", nil)
	}
	r := &request{
		id: id, route: route, version: table.Version(), service: route.Pick(f.random()),
		arrivedAt: arrived, deadline: arrived.Add(f.timeLimit(c, route)),
	}
	if failure := f.identify(&c.Request.Header, table, r); failure != nil {
		return r, failure
	}
	limits := table.Limits()
	// The header timeout of the configuration also limits the wait for each part of the body.
	body, err := relay.ReadBody(c, relay.BodyLimits{
		PrefixBytes: bodyPrefixBytes, BufferBytes: bodyBufferBytes, Memory: f.options.Bodies,
		MaxBytes:    orDefault(limits.BodyBytes, defaultBodyBytes),
		ReadTimeout: orDefault(limits.HeaderTimeout, defaultReadTimeout), Deadline: r.deadline,
	})
	if err != nil {
		c.SetConnectionClose()
		return r, relay.BodyFailure(stepBody, err)
	}
	r.body = body
	if f.drain.Load().Refuses(r.arrivedAt, r.deadline) {
		return r, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonLeaving, stepAccept, "", nil)
	}
	r.head = relay.RequestHead(&c.Request)
	f.replaceKey(table, r)
	r.fingerprint = f.fingerprint(r)
	f.countRequest(r.service, r.repeatable())
	return r, nil
}

// timeLimit returns the time that a request may take: the route's timeout or the caller's own limit, whichever is shorter.
func (f *Forwarder) timeLimit(c *app.RequestContext, route *routing.Route) time.Duration {
	limit := route.Timeout
	asked, err := strconv.ParseInt(c.Request.Header.Get(f.options.Headers.DeadlineMS), 10, 64)
	if err == nil && asked >= 0 && time.Duration(asked)*time.Millisecond < limit {
		limit = time.Duration(asked) * time.Millisecond
	}
	return limit
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// respond passes an answer on to the caller.
func (f *Forwarder) respond(c *app.RequestContext, r *request, a *answer) {
	defer a.close()
	relay.CopyResponseHead(&c.Response, a.response.Head)
	c.Response.Header.Del(outcome.HeaderRequestID)
	f.closeIfDraining(c)
	if !r.body.Buffered() {
		// The endpoint may have answered before it read the rest of the body, which must not be parsed as the next request.
		c.SetConnectionClose()
	}
	f.observeSize(r, max(a.response.Length, int64(len(a.prefix))))
	var err error
	if a.complete && a.reserved == 0 && !a.response.Bodyless() {
		c.Response.SetBody(a.prefix)
	} else {
		// The memory for the prefix is given back once the caller has all of it.
		if a.complete && !a.response.Bodyless() {
			a.response.Length = int64(len(a.prefix))
		}
		a.response.Body = io.MultiReader(bytes.NewReader(a.prefix), a.response.Body)
		err = relay.WriteResponse(c, a.response)
	}
	result, reason := outcome.Answered, "passed-on"
	if err != nil {
		result, reason = outcome.Unknown, string(cutReason(err))
	}
	f.options.Metrics.Request(r.service, result, time.Since(r.arrivedAt), addedUnknown)
	d := decision.Decision{
		RequestID: r.id, Step: stepRespond, Service: r.service, Route: r.route.Name, Subject: a.pick.endpoint.ID,
		Peer: a.pick.host, Outcome: string(result), Reason: reason,
		Inputs: map[string]any{
			"status": a.response.Head.StatusCode(), "attempt": a.pick.number, "ms": time.Since(r.arrivedAt).Milliseconds(),
			"config_version": r.version, "target_ms": r.route.TargetLatency.Milliseconds(),
		},
	}
	r.nameWorkspace(&d)
	f.options.Decisions.Record(d)
}

// cutReason returns the reason why a response body was cut short: the endpoint's side of the transfer failed, or the caller
// disconnected.
func cutReason(err error) outcome.Reason {
	var exchange *transport.Error
	if errors.As(err, &exchange) {
		return outcome.ReasonBodyCut
	}
	return outcome.ReasonCancelled
}

// closeIfDraining asks the caller to close its connection while this node is being stopped.
func (f *Forwarder) closeIfDraining(c *app.RequestContext) {
	if f.drain.Load() != nil {
		c.Response.SetConnectionClose()
	}
}

// refusal is the body of a response that did not come from a backend server.
type refusal struct {
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	RequestID string          `json:"request_id"`
}

// refuse responds to a request that no endpoint answered, with the outcome and the reason. The request is nil if it was
// refused before its route was found.
func (f *Forwarder) refuse(c *app.RequestContext, id string, r *request, failure *outcome.Error) {
	f.closeIfDraining(c)
	c.Response.SetStatusCode(failure.Status)
	c.Response.Header.Set(f.options.Headers.RequestID, id)
	c.Response.Header.Set(outcome.HeaderOutcome, string(failure.Outcome))
	c.Response.Header.Set(outcome.HeaderReason, string(failure.Reason))
	c.Response.Header.SetContentType("application/json")
	// A quarantine outlasts the deadline of any caller, so that a return would be in vain.
	mayReturn := failure.Reason != outcome.ReasonQuarantined
	returns := failure.Status == http.StatusServiceUnavailable || failure.Status == http.StatusTooManyRequests
	if failure.Outcome == outcome.NotRun && returns && mayReturn {
		c.Response.Header.Set("Retry-After", strconv.FormatFloat(f.retryAfter(r, failure).Seconds(), 'f', 3, 64))
	}
	if failure.Status == http.StatusUnauthorized {
		c.Response.Header.Set("WWW-Authenticate", f.options.Headers.KeyScheme)
	}
	// Encoding cannot fail: all fields are strings.
	text, _ := json.Marshal(refusal{Outcome: failure.Outcome, Reason: failure.Reason, RequestID: id})
	c.Response.SetBody(append(text, '\n'))
	if r != nil && r.body != nil && !r.body.Buffered() {
		c.SetConnectionClose()
	}
	f.recordRefusal(id, r, failure)
}

// retryAfter returns how long a refused caller is asked to wait. The waits are spread at random over the time in which a
// full queue drains. If the endpoints limit the rate of their requests, they begin when there is room, which may be after the
// caller's deadline.
func (f *Forwarder) retryAfter(r *request, failure *outcome.Error) time.Duration {
	if r == nil {
		return notReadyRetryAfter
	}
	spread := time.Duration(f.random() * float64(retryAfterSpread))
	switch failure.Reason {
	case outcome.ReasonLimited:
		return max(f.untilRoom(r), retryAfterMin) + spread
	case outcome.ReasonWorkspaceRate:
		return max(failure.RetryAfter, retryAfterMin)
	}
	wait := retryAfterMin + spread
	return max(min(wait, time.Duration(retryAfterShare*float64(time.Until(r.deadline)))), 0)
}

func (f *Forwarder) recordRefusal(id string, r *request, failure *outcome.Error) {
	if !attempts.ValidID(id) {
		id = ""
	}
	d := decision.Decision{
		RequestID: id, Step: failure.Step, Outcome: string(failure.Outcome), Reason: string(failure.Reason),
		Peer: failure.Peer, Inputs: map[string]any{"status": failure.Status},
	}
	if failure.Err != nil {
		d.Inputs["error"] = failure.Err.Error()
	}
	if r != nil {
		d.Service, d.Route = r.service, r.route.Name
		r.nameWorkspace(&d)
		d.Inputs["config_version"], d.Inputs["ms"] = r.version, time.Since(r.arrivedAt).Milliseconds()
		f.options.Metrics.Request(d.Service, failure.Outcome, time.Since(r.arrivedAt), addedUnknown)
	}
	f.options.Metrics.Refused(d.Service, failure.Reason)
	f.options.Decisions.Record(d)
}
