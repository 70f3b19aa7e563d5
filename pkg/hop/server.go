package hop

import (
	"encoding/json"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quarantine"
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

// WriteSuspect adds what is known of the crashes of a request to the response if the failure is due to them. The ingress then
// knows it before the caller can send the request again.
func WriteSuspect(c *app.RequestContext, failure *outcome.Error, record func() quarantine.Record) {
	if failure.Reason != outcome.ReasonBackendCrash && failure.Reason != outcome.ReasonQuarantined {
		return
	}
	// Encoding cannot fail: a record holds texts, numbers and flags.
	text, _ := json.Marshal(record())
	c.Response.Header.Set(outcome.HeaderHopSuspect, string(text))
}

// ReadSuspect returns the record that WriteSuspect has added to the response to an attempt, or nil if there is none.
func ReadSuspect(h *protocol.ResponseHeader, m *Meta) (*quarantine.Record, error) {
	text := h.Get(outcome.HeaderHopSuspect)
	if text == "" {
		return nil, nil
	}
	var record quarantine.Record
	if err := json.Unmarshal([]byte(text), &record); err != nil {
		return nil, fmt.Errorf("parse header %s: %w", outcome.HeaderHopSuspect, err)
	}
	if record.Fingerprint != m.Fingerprint {
		return nil, fmt.Errorf("header %s is about fingerprint %q instead of %q", outcome.HeaderHopSuspect, record.Fingerprint, m.Fingerprint)
	}
	return &record, nil
}

// WriteAnnounced adds what the endpoint of an attempt has announced to the response, so that the ingress can tell it to the owner
// after a restart.
func WriteAnnounced(c *app.RequestContext, announced announce.State) {
	if announced.Version > 0 {
		c.Response.Header.Set(outcome.HeaderHopAnnounced, encodeAnnounced(announced))
	}
}

// ReadAnnounced returns what WriteAnnounced has added to a response, or a state without announcements.
func ReadAnnounced(h *protocol.ResponseHeader) (announce.State, error) {
	return decodeAnnounced(h.Get(outcome.HeaderHopAnnounced))
}

func encodeAnnounced(announced announce.State) string {
	// Encoding cannot fail: a state holds finite numbers and flags.
	text, _ := json.Marshal(announced)
	return string(text)
}

func decodeAnnounced(text string) (announced announce.State, err error) {
	if text == "" {
		return announced, nil
	}
	if err := json.Unmarshal([]byte(text), &announced); err != nil {
		return announced, fmt.Errorf("parse header %s: %w", outcome.HeaderHopAnnounced, err)
	}
	return announced, nil
}
