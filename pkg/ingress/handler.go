package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepAccept  = "accept"
	stepRoute   = "route"
	stepBody    = "body"
	stepRespond = "respond"

	// bodyPrefixBytes is the largest part of a request body that is kept in memory. Only a body that fits can be sent
	// more than once.
	bodyPrefixBytes   = 64 << 10
	bodyReadTimeout   = 10 * time.Second
	retryAfterSeconds = "1"
	// addedTimeUnknown is passed to Metrics.Request when the time spent outside the backend server is not known.
	addedTimeUnknown = -1
	// maxKeyLength is the largest accepted length of an idempotency key, in bytes.
	maxKeyLength = 256
)

// Serve handles a request of a caller and writes the response.
func (i *Ingress) Serve(ctx context.Context, c *app.RequestContext) {
	arrived := time.Now()
	id := i.requestID(c)
	r, release, failure := i.accept(c, id, arrived)
	if failure != nil {
		i.respondError(c, id, nil, failure)
		return
	}
	defer release()
	i.serveAccepted(ctx, c, r)
}

func (i *Ingress) serveAccepted(parent context.Context, c *app.RequestContext, r *request) {
	ctx, cancel := relay.WithTimeout(parent, time.Until(r.deadline))
	defer cancel()
	defer relay.WatchDisconnect(c, r.body)()
	a, failure := i.execute(ctx, r)
	if failure != nil {
		i.respondError(c, r.id, r, failure)
		return
	}
	i.respond(c, r, a)
}

func (i *Ingress) requestID(c *app.RequestContext) string {
	id := c.Request.Header.Get(outcome.HeaderRequestID)
	if attempts.ValidID(id) {
		return id
	}
	return i.attempts.Next()
}

// accept checks a request and reads the beginning of its body. The returned function releases the request's place in its
// workspace and must be called once the request is finished.
func (i *Ingress) accept(c *app.RequestContext, id string, arrived time.Time) (*request, func(), *outcome.Error) {
	snapshot := i.options.Config()
	if snapshot == nil {
		return nil, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady, stepAccept, "", nil)
	}
	route, failure := findRoute(snapshot, c)
	if failure != nil {
		return nil, nil, failure
	}
	release, failure := i.acquireWorkspace(snapshot, route, c)
	if failure != nil {
		return nil, nil, failure
	}
	leave := release
	r, failure := i.readRequest(c, id, snapshot.Service(route.Service), route, arrived)
	if failure == nil {
		release = func() {
			r.body.Release()
			leave()
		}
	}
	if failure == nil && i.drain.Load().Refuses(arrived, r.deadline) {
		failure = outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonLeaving, stepAccept, "", nil)
	}
	if failure != nil {
		release()
		return nil, nil, failure
	}
	return r, release, nil
}

func findRoute(snapshot *config.Snapshot, c *app.RequestContext) (*config.Route, *outcome.Error) {
	route, pathMatched := snapshot.Route(string(c.Method()), relay.TargetOf(&c.Request.Header).Path())
	switch {
	case route != nil:
		return route, nil
	case pathMatched:
		return nil, outcome.Refuse(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, stepRoute, "", nil)
	default:
		return nil, outcome.Refuse(http.StatusNotFound, outcome.ReasonNoRoute, stepRoute, "", nil)
	}
}

// acquireWorkspace counts the request against the limit of its workspace, if it names one. The returned function releases
// it.
func (i *Ingress) acquireWorkspace(s *config.Snapshot, route *config.Route, c *app.RequestContext) (func(), *outcome.Error) {
	id := c.Request.Header.Get(outcome.HeaderWorkspace)
	workspace := s.Workspace(id)
	switch {
	case workspace == nil && (route.WorkspaceRequired || id != ""):
		return nil, outcome.Refuse(http.StatusForbidden, outcome.ReasonWorkspaceUnknown, stepAccept, "", nil)
	case workspace == nil:
		return func() {}, nil
	case !i.workspaces.acquire(workspace):
		return nil, outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonWorkspaceLimit, stepAccept, "", nil)
	default:
		return func() { i.workspaces.release(id) }, nil
	}
}

// readRequest checks the idempotency key, reads the beginning of the body and returns the request.
func (i *Ingress) readRequest(c *app.RequestContext, id string, service *config.Service, route *config.Route, arrived time.Time) (*request, *outcome.Error) {
	key := c.Request.Header.Get(outcome.HeaderKey)
	if !route.Repeatable && route.KeyRequired && key == "" {
		return nil, badRequest(outcome.ReasonKeyRequired, nil)
	}
	if len(key) > maxKeyLength {
		return nil, badRequest(outcome.ReasonBadRequest, errors.New("idempotency key is too long"))
	}
	body, err := relay.ReadBody(c, relay.BodyLimits{
		PrefixBytes: bodyPrefixBytes, Memory: i.options.Bodies, MaxBytes: route.MaxBodyBytes, ReadTimeout: bodyReadTimeout,
		Deadline: deadline(c, route, arrived),
	})
	if err != nil {
		c.SetConnectionClose()
		return nil, relay.BodyFailure(stepBody, err)
	}
	head := relay.RequestHead(&c.Request)
	identity := quarantine.Identity{
		Service: service.Name, Method: string(head.Header.Method()), URI: string(head.Header.RequestURI()), Body: body.Prefix,
	}
	return &request{
		id:          id,
		key:         key,
		fingerprint: identity.Fingerprint(),
		route:       route,
		service:     service,
		head:        head,
		body:        body,
		arrived:     arrived,
		deadline:    deadline(c, route, arrived),
		long:        i.classes.isLong(route, config.Millis(service.Admission.LongAfterMS)),
	}, nil
}

// deadline returns the earlier of the route's deadline and the one that the caller requests in the header, in
// milliseconds after arrival.
func deadline(c *app.RequestContext, route *config.Route, arrived time.Time) time.Time {
	limit := config.Millis(route.DeadlineMS)
	requestedMS, err := strconv.ParseInt(c.Request.Header.Get(outcome.HeaderDeadline), 10, 64)
	if err == nil && requestedMS >= 0 && requestedMS < limit.Milliseconds() {
		limit = time.Duration(requestedMS) * time.Millisecond
	}
	return arrived.Add(limit)
}

func badRequest(reason outcome.Reason, err error) *outcome.Error {
	return outcome.Refuse(http.StatusBadRequest, reason, stepAccept, "", err)
}

// respond passes the backend server's response on to the caller.
func (i *Ingress) respond(c *app.RequestContext, r *request, a *answer) {
	defer a.close()
	relay.CopyResponseHead(&c.Response, a.response.Head)
	i.setCommonHeaders(c, r.id)
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	err := relay.WriteResponse(c, a.response)
	duration := time.Since(r.arrived)
	i.classes.observe(r.route, duration)
	if err != nil {
		i.recordTruncated(r, a, err)
		return
	}
	i.options.Metrics.Request(r.service.Name, outcome.Answered, duration, addedTimeUnknown)
}

// recordTruncated records a response that did not reach the caller in full, because either the backend server's response
// or the caller's connection ended early.
func (i *Ingress) recordTruncated(r *request, a *answer, err error) {
	reason := outcome.ReasonCancelled
	var exchange *transport.Error
	if errors.As(err, &exchange) {
		reason = outcome.ReasonBodyCut
		a.truncated = true
	}
	i.options.Metrics.Request(r.service.Name, outcome.Unknown, time.Since(r.arrived), addedTimeUnknown)
	i.options.Decisions.Record(decision.Decision{
		RequestID: r.id, Step: stepRespond, Service: r.service.Name, Route: r.route.ID,
		Subject: a.endpoint, Outcome: string(outcome.Unknown), Reason: string(reason), Peer: err.Error(),
	})
}

// setCommonHeaders sets the headers that every response to a caller carries.
func (i *Ingress) setCommonHeaders(c *app.RequestContext, id string) {
	c.Response.Header.Set(outcome.HeaderRequestID, id)
	if i.drain.Load() != nil {
		c.Response.SetConnectionClose()
	}
}

// errorBody is the body of a response that was generated by the ingress instead of a backend server.
type errorBody struct {
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	Recorded  string          `json:"recorded,omitempty"`
	RequestID string          `json:"request_id"`
}

// respondError writes the response for a request that no backend server answered.
func (i *Ingress) respondError(c *app.RequestContext, id string, r *request, failure *outcome.Error) {
	i.setCommonHeaders(c, id)
	c.Response.SetStatusCode(failure.Status)
	c.Response.Header.Set(outcome.HeaderOutcome, string(failure.Outcome))
	c.Response.Header.Set(outcome.HeaderReason, string(failure.Reason))
	if failure.Recorded != "" {
		c.Response.Header.Set(outcome.HeaderRecorded, failure.Recorded)
	}
	c.Response.Header.SetContentType("application/json")
	if failure.Status == http.StatusServiceUnavailable {
		c.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	body, _ := json.Marshal(errorBody{Outcome: failure.Outcome, Reason: failure.Reason, Recorded: failure.Recorded, RequestID: id})
	c.Response.SetBody(append(body, '\n'))
	if r != nil && !r.body.Buffered() {
		c.SetConnectionClose()
	}
	i.recordError(id, r, failure)
}

// recordError counts and records a request that no backend server answered.
func (i *Ingress) recordError(id string, r *request, failure *outcome.Error) {
	d := decision.Decision{
		RequestID: id, Step: failure.Step, Outcome: string(failure.Outcome), Reason: string(failure.Reason), Peer: failure.Peer,
	}
	if r != nil {
		d.Service, d.Route = r.service.Name, r.route.ID
		i.options.Metrics.Request(d.Service, failure.Outcome, time.Since(r.arrived), addedTimeUnknown)
	}
	i.options.Metrics.Refused(d.Service, failure.Reason)
	i.options.Decisions.Record(d)
}
