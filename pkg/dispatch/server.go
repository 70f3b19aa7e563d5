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
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	stepHop = "hop"
	// hopBodyPrefixBytes is read before a request is queued; the rest of a larger body waits in the connection. Bodies up
	// to hopWholeBytes are read whole as long as hopMemoryBytes suffice for all of them, so that a slow sender does not hold
	// a slot.
	hopBodyPrefixBytes = 64 << 10
	hopWholeBytes      = 512 << 10
	hopMemoryBytes     = 16 << 20
	hopBodyLimitBytes  = 1 << 40
	hopBodyTimeout     = 10 * time.Second
)

// ServeHop handles an attempt of another node.
func (d *Dispatcher) ServeHop(parent context.Context, c *app.RequestContext) {
	meta, err := hop.Read(&c.Request.Header)
	if err != nil {
		hop.WriteFailure(c, outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, stepHop, "", err))
		return
	}
	ctx, cancel := relay.WithTimeout(parent, meta.Remaining)
	defer cancel()
	hop.EchoAttempt(c, meta)
	body, err := relay.ReadBody(c, relay.BodyLimits{
		PrefixBytes: hopBodyPrefixBytes, BufferBytes: hopWholeBytes, Memory: d.bodies, MaxBytes: hopBodyLimitBytes,
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
		d.report(c, meta.Endpoint)
		if !body.Buffered() {
			c.SetConnectionClose()
		}
		hop.WriteFailure(c, failure)
		return
	}
	defer response.Close()
	relay.CopyResponseHead(&c.Response, response.Head)
	hop.EchoAttempt(c, meta)
	d.report(c, meta.Endpoint)
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	if err := relay.WriteResponse(c, response); err != nil {
		d.recordCut(request, err)
	}
}

// BackendRequest builds the request for the backend server.
func BackendRequest(head *protocol.Request, body *relay.Body) *transport.Request {
	request := &transport.Request{Head: head}
	request.Head.Header.Del(outcome.HeaderRequestID)
	request.Head.Header.Del(outcome.HeaderDeadline)
	body.Attach(request)
	return request
}

// report adds the endpoint's condition to a response.
func (d *Dispatcher) report(c *app.RequestContext, endpoint string) {
	report, ok := d.Report(endpoint)
	if !ok {
		return
	}
	if text, err := json.Marshal(report); err == nil {
		c.Response.Header.Set(outcome.HeaderHopLoad, string(text))
	}
}

func (d *Dispatcher) recordCut(r *Request, err error) {
	var exchange *transport.Error
	reason := outcome.ReasonCancelled
	if errors.As(err, &exchange) {
		reason = outcome.ReasonBodyCut
	}
	d.record(r, nil, outcome.MayHaveRun(0, reason, string(transport.StepBody), r.Endpoint, err))
}
