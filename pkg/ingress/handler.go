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

	// bodyPrefixBytes is the part of a request body kept in memory. A body that fits may be sent more than once.
	bodyPrefixBytes   = 64 << 10
	bodyReadTimeout   = 10 * time.Second
	retryAfterSeconds = "1"
	// addedUnknown tells the metrics that the part of the duration spent outside the backend server is not known.
	addedUnknown = -1
	// maxKeyLength bounds idempotency keys.
	maxKeyLength = 256
)

// Serve handles a caller's request.
func (i *Ingress) Serve(ctx context.Context, c *app.RequestContext) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	arrived := time.Now()
	id := i.requestID(c)
	r, leave, failure := i.accept(c, id, arrived)
	if failure != nil {
		i.refuse(c, id, nil, failure)
		return
	}
	defer leave()
	i.serveAccepted(ctx, c, r)
}

func (i *Ingress) serveAccepted(parent context.Context, c *app.RequestContext, r *request) {
	ctx, cancel := relay.WithTimeout(parent, time.Until(r.deadline))
	defer cancel()
	defer relay.WatchDisconnect(c, r.body)()
	a, failure := i.run(ctx, r)
	if failure != nil {
		i.refuse(c, r.id, r, failure)
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

// accept checks a request and reads the beginning of its body. The returned function must be called at the end.
func (i *Ingress) accept(c *app.RequestContext, id string, arrived time.Time) (*request, func(), *outcome.Error) {
	snapshot := i.options.Config()
	if snapshot == nil {
		return nil, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady, stepAccept, "", nil)
	}
	if err := relay.CheckFraming(&c.Request.Header); err != nil {
		c.SetConnectionClose()
		return nil, nil, badRequest(outcome.ReasonBadRequest, err)
	}
	route, failure := findRoute(snapshot, c)
	if failure != nil {
		return nil, nil, failure
	}
	leave, failure := i.enterWorkspace(snapshot, route, c)
	if failure != nil {
		return nil, nil, failure
	}
	r, failure := i.read(c, id, snapshot.Service(route.Service), route, arrived)
	if failure != nil {
		leave()
		return nil, nil, failure
	}
	return r, leave, nil
}

func findRoute(snapshot *config.Snapshot, c *app.RequestContext) (*config.Route, *outcome.Error) {
	route, pathKnown := snapshot.Route(string(c.Method()), string(c.Path()))
	switch {
	case route != nil:
		return route, nil
	case pathKnown:
		return nil, outcome.Refuse(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, stepRoute, "", nil)
	default:
		return nil, outcome.Refuse(http.StatusNotFound, outcome.ReasonNoRoute, stepRoute, "", nil)
	}
}

func (i *Ingress) enterWorkspace(s *config.Snapshot, route *config.Route, c *app.RequestContext) (func(), *outcome.Error) {
	id := c.Request.Header.Get(outcome.HeaderWorkspace)
	workspace := s.Workspace(id)
	switch {
	case workspace == nil && (route.WorkspaceRequired || id != ""):
		return nil, outcome.Refuse(http.StatusForbidden, outcome.ReasonWorkspaceUnknown, stepAccept, "", nil)
	case workspace == nil:
		return func() {}, nil
	case !i.workspaces.enter(workspace):
		return nil, outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonWorkspaceLimit, stepAccept, "", nil)
	default:
		return func() { i.workspaces.leave(id) }, nil
	}
}

func (i *Ingress) read(c *app.RequestContext, id string, service *config.Service, route *config.Route, arrived time.Time) (*request, *outcome.Error) {
	key := c.Request.Header.Get(outcome.HeaderKey)
	if !route.Repeatable && route.KeyRequired && key == "" {
		return nil, badRequest(outcome.ReasonKeyRequired, nil)
	}
	if len(key) > maxKeyLength {
		return nil, badRequest(outcome.ReasonBadRequest, errors.New("idempotency key is too long"))
	}
	body, err := relay.ReadBody(c, relay.BodyLimits{PrefixBytes: bodyPrefixBytes, MaxBytes: route.MaxBodyBytes, ReadTimeout: bodyReadTimeout})
	if err != nil {
		c.SetConnectionClose()
		return nil, relay.BodyFailure(stepBody, err)
	}
	head := relay.RequestHead(&c.Request)
	return &request{
		id:          id,
		key:         key,
		fingerprint: fingerprint(head, body.Prefix),
		route:       route,
		service:     service,
		head:        head,
		body:        body,
		arrived:     arrived,
		deadline:    deadline(c, route, arrived),
		long:        i.classes.long(route, config.Millis(service.Admission.LongAfterMS)),
	}, nil
}

// deadline is the earlier of the route's deadline and the one that the caller asks for.
func deadline(c *app.RequestContext, route *config.Route, arrived time.Time) time.Time {
	limit := config.Millis(route.DeadlineMS)
	asked, err := strconv.ParseInt(c.Request.Header.Get(outcome.HeaderDeadline), 10, 64)
	if err == nil && asked >= 0 && asked < limit.Milliseconds() {
		limit = time.Duration(asked) * time.Millisecond
	}
	return arrived.Add(limit)
}

func badRequest(reason outcome.Reason, err error) *outcome.Error {
	return outcome.Refuse(http.StatusBadRequest, reason, stepAccept, "", err)
}

// respond passes the answer on.
func (i *Ingress) respond(c *app.RequestContext, r *request, a *answer) {
	defer a.close()
	relay.CopyResponseHead(&c.Response, a.response.Head)
	i.identify(c, r.id)
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	err := relay.WriteResponse(c, a.response)
	took := time.Since(r.arrived)
	i.classes.observe(r.route, took)
	if err != nil {
		i.recordCut(r, a, err)
		return
	}
	i.options.Metrics.Request(r.service.Name, outcome.Answered, took, addedUnknown)
}

// recordCut records an answer that did not reach the caller in full.
func (i *Ingress) recordCut(r *request, a *answer, err error) {
	reason := outcome.ReasonCancelled
	var exchange *transport.Error
	if errors.As(err, &exchange) {
		reason = outcome.ReasonBodyCut
		a.cut = true
	}
	i.options.Metrics.Request(r.service.Name, outcome.Unknown, time.Since(r.arrived), addedUnknown)
	i.options.Decisions.Record(decision.Decision{
		RequestID: r.id, Step: stepRespond, Service: r.service.Name, Route: r.route.ID,
		Subject: a.endpoint, Outcome: string(outcome.Unknown), Reason: string(reason), Peer: err.Error(),
	})
}

// identify sets the fields that every response to a caller carries.
func (i *Ingress) identify(c *app.RequestContext, id string) {
	c.Response.Header.Set(outcome.HeaderRequestID, id)
	if i.closing.Load() {
		c.Response.SetConnectionClose()
	}
}

// refusal is the body of a response that did not come from a backend server.
type refusal struct {
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	Recorded  string          `json:"recorded,omitempty"`
	RequestID string          `json:"request_id"`
}

// refuse tells the caller that its request was not answered, and why.
func (i *Ingress) refuse(c *app.RequestContext, id string, r *request, failure *outcome.Error) {
	i.identify(c, id)
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
	text, _ := json.Marshal(refusal{Outcome: failure.Outcome, Reason: failure.Reason, Recorded: failure.Recorded, RequestID: id})
	c.Response.SetBody(append(text, '\n'))
	if r != nil && !r.body.Buffered() {
		c.SetConnectionClose()
	}
	i.recordRefusal(id, r, failure)
}

func (i *Ingress) recordRefusal(id string, r *request, failure *outcome.Error) {
	d := decision.Decision{
		RequestID: id, Step: failure.Step, Outcome: string(failure.Outcome), Reason: string(failure.Reason), Peer: failure.Peer,
	}
	if r != nil {
		d.Service, d.Route = r.service.Name, r.route.ID
		i.options.Metrics.Request(d.Service, failure.Outcome, time.Since(r.arrived), addedUnknown)
	}
	i.options.Metrics.Refused(d.Service, failure.Reason)
	i.options.Decisions.Record(d)
}
