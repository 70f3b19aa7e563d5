package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepHop = "hop"
	// hopBodyPrefixBytes is read before a request is queued; the rest of a larger body waits in the connection.
	hopBodyPrefixBytes = 64 << 10
	hopBodyLimitBytes  = 1 << 40
	hopBodyTimeout     = 10 * time.Second
)

// ServeHop handles a request of the inner hop.
func (o *Owner) ServeHop(ctx context.Context, c *app.RequestContext) {
	meta, err := hop.Read(&c.Request.Header)
	if err != nil {
		hop.WriteFailure(c, outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, stepHop, "", err))
		return
	}
	o.serve(ctx, c, meta)
}

func (o *Owner) serve(parent context.Context, c *app.RequestContext, meta *hop.Meta) {
	o.Learn(meta.Endpoint, meta.Announced)
	ctx, cancel := relay.WithTimeout(parent, meta.Remaining)
	defer cancel()
	hop.EchoAttempt(c, meta)
	body, err := relay.ReadBody(c, relay.BodyLimits{
		PrefixBytes: hopBodyPrefixBytes, Memory: o.options.Bodies, MaxBytes: hopBodyLimitBytes, ReadTimeout: hopBodyTimeout,
		Deadline: time.Now().Add(meta.Remaining),
	})
	if err != nil {
		c.SetConnectionClose()
		failure := outcome.Refuse(http.StatusBadRequest, outcome.ReasonBodyCut, stepHop, "", err)
		if errors.Is(err, relay.ErrNoMemory) {
			failure = relay.BodyFailure(stepHop, err)
		}
		hop.WriteFailure(c, failure)
		return
	}
	defer body.Release()
	defer relay.WatchDisconnect(c, body)()
	request := &Request{Meta: *meta, Transport: BackendRequest(c, body, meta)}
	response, failure := o.Do(ctx, request)
	o.report(c, request)
	if failure != nil {
		if !body.Buffered() {
			c.SetConnectionClose()
		}
		hop.WriteFailure(c, failure)
		if known := o.options.Quarantine; known != nil {
			hop.WriteSuspect(c, failure, func() quarantine.Record { return known.Record(request.Service, request.Fingerprint) })
		}
		return
	}
	defer response.Close()
	relay.CopyResponseHead(&c.Response, response.Head)
	hop.EchoAttempt(c, meta)
	o.report(c, request)
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	if err := relay.WriteResponse(c, response); err != nil {
		o.recordCut(request, err)
	}
}

// BackendRequest builds the request for the backend server from one that arrived on the inner hop.
func BackendRequest(c *app.RequestContext, body *relay.Body, meta *hop.Meta) *transport.Request {
	request := &transport.Request{Head: relay.RequestHead(&c.Request)}
	request.Head.Header.Set(outcome.HeaderRequestID, meta.RequestID)
	body.Attach(request)
	return request
}

func (o *Owner) report(c *app.RequestContext, r *Request) {
	if load, ok := o.Load(r.Endpoint); ok {
		load.QueueTime = r.Waited
		c.Response.Header.Set(outcome.HeaderHopLoad, load.String())
		hop.WriteAnnounced(c, o.Announced(r.Endpoint))
	}
}

func (o *Owner) recordCut(r *Request, err error) {
	var exchange *transport.Error
	reason := outcome.ReasonCancelled
	if errors.As(err, &exchange) {
		reason = outcome.ReasonBodyCut
	}
	o.record(r, outcome.MayHaveRun(0, reason, string(transport.StepBody), r.Endpoint, err))
}
