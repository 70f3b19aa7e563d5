package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepHop = "hop"
	// hopBodyPrefixBytes is the part of a request body that is read before the request is queued; the rest is read when the
	// request is sent. Bodies up to hopBufferBytes are read completely before, so that a slow sender does not occupy a slot,
	// as long as there is memory for them.
	hopBodyPrefixBytes = 64 << 10
	hopBufferBytes     = 512 << 10
	// hopBodyLimitBytes is practically no limit: the ingress has enforced the configured one.
	hopBodyLimitBytes = 1 << 40
	// hopBodyTimeout limits the wait for each part of a body.
	hopBodyTimeout = 10 * time.Second
)

// ServeHop handles an attempt that another node sends.
func (d *Dispatcher) ServeHop(parent context.Context, c *app.RequestContext) {
	meta, err := hop.Read(&c.Request.Header)
	if err != nil {
		hop.WriteFailure(c, outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, stepHop, "", err))
		return
	}
	d.options.Announcements.Learn(meta.Endpoint, meta.Announced)
	ctx, cancel := relay.WithTimeout(parent, meta.Remaining)
	defer cancel()
	hop.EchoAttempt(c, meta)
	body, err := relay.ReadBody(c, relay.BodyLimits{
		PrefixBytes: hopBodyPrefixBytes, BufferBytes: hopBufferBytes, Memory: d.options.Bodies, MaxBytes: hopBodyLimitBytes,
		ReadTimeout: hopBodyTimeout, Deadline: time.Now().Add(meta.Remaining),
	})
	if err != nil {
		c.SetConnectionClose()
		hop.WriteFailure(c, outcome.Refuse(http.StatusServiceUnavailable, relay.BodyFailure(stepHop, err).Reason, stepHop, "", err))
		return
	}
	defer body.Release()
	defer relay.WatchDisconnect(c, body)()
	request := &Request{Meta: *meta, Transport: BackendRequest(relay.RequestHead(&c.Request), body)}
	response, failure := d.Do(ctx, request)
	if failure != nil {
		d.setLoadHeader(c, meta.Endpoint)
		if !body.Buffered() {
			c.SetConnectionClose()
		}
		hop.WriteFailure(c, failure)
		hop.WriteSuspect(c, failure, func() quarantine.Record { return d.options.Suspects.Record(request.Fingerprint) })
		return
	}
	defer response.Close()
	relay.CopyResponseHead(&c.Response, response.Head)
	hop.EchoAttempt(c, meta)
	d.setLoadHeader(c, meta.Endpoint)
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	if err := relay.WriteResponse(c, response); err != nil {
		d.recordCut(request, err)
	}
}

// BackendRequest builds the request for the backend server: the given head, from which it deletes the request id and
// deadline headers of the hop, and the body.
func BackendRequest(head *protocol.Request, body *relay.Body) *transport.Request {
	request := &transport.Request{Head: head}
	request.Head.Header.Del(outcome.HeaderRequestID)
	request.Head.Header.Del(outcome.HeaderDeadline)
	body.Attach(request)
	return request
}

// setLoadHeader adds the endpoint's condition to a response.
func (d *Dispatcher) setLoadHeader(c *app.RequestContext, endpoint string) {
	report, ok := d.Report(endpoint)
	if !ok {
		return
	}
	if text, err := json.Marshal(report); err == nil {
		c.Response.Header.Set(outcome.HeaderHopLoad, string(text))
	}
}

// recordCut records that a response could not be passed on completely.
func (d *Dispatcher) recordCut(r *Request, err error) {
	var exchange *transport.Error
	reason := outcome.ReasonCancelled
	if errors.As(err, &exchange) {
		reason = outcome.ReasonBodyCut
	}
	d.record(r, nil, outcome.MayHaveRun(0, reason, string(transport.StepBody), r.Endpoint, err))
}
