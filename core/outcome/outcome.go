// Package outcome defines what a caller is told about its request: the outcome, the reason, and the headers that
// carry them. A refusal (NotRun) is a promise that the backend server did not see the request.
package outcome

import (
	"errors"
	"fmt"
)

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Answered means that the backend server's answer is passed on.
	Answered Outcome = "answered"
	// NotRun means that the request was certainly not handed to a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Duplicate means that another attempt with the same idempotency key was recorded.
	Duplicate Outcome = "duplicate"
)

// Reason names the rule that decided an outcome.
type Reason string

// Reasons for a refusal, an unknown outcome or a duplicate.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonNoRoute          Reason = "no-route"
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	ReasonHeaderTooLarge   Reason = "header-too-large"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonBodyTimeout      Reason = "body-timeout"
	ReasonKeyRequired      Reason = "key-required"
	ReasonWorkspaceUnknown Reason = "workspace-unknown"
	ReasonWorkspaceLimit   Reason = "workspace-limit"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonNotReady         Reason = "not-ready"
	ReasonLeaving          Reason = "leaving"
	ReasonCold             Reason = "cold"
	ReasonDown             Reason = "down"
	ReasonQueueFull        Reason = "queue-full"
	ReasonBusy             Reason = "busy"
	ReasonDeadline         Reason = "deadline"
	ReasonClaimNoQuorum    Reason = "claim-no-quorum"
	ReasonClaimStale       Reason = "claim-stale-configuration"
	ReasonClaimed          Reason = "claimed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonVoided           Reason = "voided"
	ReasonConnect          Reason = "connect-failed"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonConnectionSilent Reason = "connection-silent"
	ReasonCancelled        Reason = "caller-cancelled"
	ReasonBackendCrash     Reason = "backend-crashed"
	ReasonBodyCut          Reason = "body-cut"
	ReasonStaleAfterPause  Reason = "stale-after-pause"
	ReasonAnswerMismatch   Reason = "answer-mismatch"
	ReasonUnknownEndpoint  Reason = "unknown-endpoint"
	ReasonEndpointSuspect  Reason = "endpoint-suspect"
	ReasonInternalError    Reason = "internal-error"
	ReasonEndpointRejected Reason = "endpoint-rejected"
	ReasonEndpointReplaced Reason = "endpoint-replaced"
	ReasonEndpointError    Reason = "endpoint-error"
	ReasonAnswerUnsigned   Reason = "answer-unsigned"
)

// Headers between callers, nodes and backend servers. The proxy removes Outcome, Reason and the Hop headers from
// requests of callers and from answers of backend servers.
const (
	HeaderRequestID = "Agatepulley-Request-Id"
	HeaderOutcome   = "Agatepulley-Outcome"
	HeaderReason    = "Agatepulley-Reason"
	HeaderDeadline  = "Agatepulley-Deadline-Ms"
	HeaderWorkspace = "Agatepulley-Workspace"
	HeaderKey       = "Idempotency-Key"
	// HeaderRecorded tells the sender of a duplicate what is recorded of the attempt that holds the key.
	HeaderRecorded = "Agatepulley-Recorded"

	HopPrefix            = "Agatepulley-Hop-"
	HeaderHopService     = HopPrefix + "Service"
	HeaderHopEndpoint    = HopPrefix + "Endpoint"
	HeaderHopRoute       = HopPrefix + "Route"
	HeaderHopAttempt     = HopPrefix + "Attempt"
	HeaderHopClass       = HopPrefix + "Class"
	HeaderHopFingerprint = HopPrefix + "Fingerprint"
	HeaderHopLoad        = HopPrefix + "Load"
	HeaderHopPriority    = HopPrefix + "Priority"
	HeaderHopCaller      = HopPrefix + "Caller"
)

// Error is a request that ended without a backend server's answer. It carries the step and the peer at which that
// happened.
type Error struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Step    string
	Peer    string
	// Recorded describes the attempt that holds the key of a duplicate: "pending", or "completed" with the status.
	Recorded string
	Err      error
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Step, e.Reason, e.Outcome)
	if e.Peer != "" {
		text = fmt.Sprintf("%s at %s", text, e.Peer)
	}
	if e.Err != nil {
		text = fmt.Sprintf("%s: %v", text, e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Refuse returns an error that says the request was not run.
func Refuse(status int, reason Reason, step, peer string, cause error) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Status: status, Step: step, Peer: peer, Err: cause}
}

// MayHaveRun returns an error that says the request may have run.
func MayHaveRun(status int, reason Reason, step, peer string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: reason, Status: status, Step: step, Peer: peer, Err: cause}
}

// As returns the outcome error within err, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
