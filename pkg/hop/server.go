package hop

import (
	"github.com/cloudwego/hertz/pkg/app"

	"agatepulley.example/agatepulley/core/outcome"
)

// EchoAttempt sets the ids of the request and the attempt in the response, so that the ingress can detect a response that
// belongs to another attempt.
func EchoAttempt(c *app.RequestContext, m *Meta) {
	c.Response.Header.Set(outcome.HeaderRequestID, m.RequestID)
	c.Response.Header.Set(outcome.HeaderHopAttempt, m.Attempt)
}

// WriteFailure writes the response to an attempt for which the owner has no response of a backend server.
func WriteFailure(c *app.RequestContext, failure *outcome.Error) {
	c.Response.SetStatusCode(failure.Status)
	c.Response.Header.Set(outcome.HeaderOutcome, string(failure.Outcome))
	c.Response.Header.Set(outcome.HeaderReason, string(failure.Reason))
	if failure.Recorded != "" {
		c.Response.Header.Set(outcome.HeaderRecorded, failure.Recorded)
	}
}
