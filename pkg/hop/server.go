package hop

import (
	"github.com/cloudwego/hertz/pkg/app"

	"agatepulley.example/agatepulley/core/outcome"
)

// EchoAttempt repeats the identity of the attempt in the response, so that the ingress can tell its own answer from any other.
func EchoAttempt(c *app.RequestContext, m *Meta) {
	c.Response.Header.Set(outcome.HeaderRequestID, m.RequestID)
	c.Response.Header.Set(outcome.HeaderHopAttempt, m.Attempt)
}

// WriteFailure tells the ingress that the owner has no answer of a backend server, and why.
func WriteFailure(c *app.RequestContext, failure *outcome.Error) {
	c.Response.SetStatusCode(failure.Status)
	c.Response.Header.Set(outcome.HeaderOutcome, string(failure.Outcome))
	c.Response.Header.Set(outcome.HeaderReason, string(failure.Reason))
	if failure.Recorded != "" {
		c.Response.Header.Set(outcome.HeaderRecorded, failure.Recorded)
	}
}
