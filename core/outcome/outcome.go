// Package outcome defines how a node reports the result of a request to the caller: the outcome, the reason, and the headers
// that carry them. The outcome NotRun guarantees that no backend server has run the request.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Answered means that the response of the backend server is passed on.
	Answered Outcome = "answered"
	// NotRun means that the request was not run and will not be run by a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Duplicate means that another attempt with the same idempotency key has been recorded.
	Duplicate Outcome = "duplicate"
)

// Reason is the cause of an outcome other than Answered.
type Reason string

// Reasons for a refusal, an unknown outcome or a duplicate.
const (
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonMethodNotAllowed means that a route matches the path, but not with this method.
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	// ReasonHeaderTooLarge means that the header of the request exceeds its limit.
	ReasonHeaderTooLarge Reason = "header-too-large"
	// ReasonBodyTooLarge means that the body of the request exceeds its limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonBodyTimeout means that the request body did not arrive in time.
	ReasonBodyTimeout Reason = "body-timeout"
	// ReasonKeyRequired means that the route requires an idempotency key.
	ReasonKeyRequired Reason = "key-required"
	// ReasonWorkspaceUnknown means that the workspace is not configured, or a required one is missing.
	ReasonWorkspaceUnknown Reason = "workspace-unknown"
	// ReasonWorkspaceLimit means that the workspace has reached its limit of requests in flight.
	ReasonWorkspaceLimit Reason = "workspace-limit"
	// ReasonKeyUnknown means that the request carries no key of a workspace although its route requires one.
	ReasonKeyUnknown Reason = "key-unknown"
	// ReasonWorkspaceRate means that the workspace has sent more requests than its limit allows. ReasonWorkspaceUncounted means
	// that the nodes which count the requests of the workspace cannot be reached.
	ReasonWorkspaceRate      Reason = "workspace-rate"
	ReasonWorkspaceUncounted Reason = "workspace-uncounted"
	// ReasonNoEndpoint means that the service has no endpoint to which the request can be sent.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNotReady means that the node has no configuration yet or does not accept requests yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonLeaving means that the node or the endpoint is draining.
	ReasonLeaving Reason = "leaving"
	// ReasonCold means that the endpoint is warming up after its start.
	ReasonCold Reason = "cold"
	// ReasonDown means that the backend server is down or refuses connections.
	ReasonDown Reason = "down"
	// ReasonQueueFull means that the queue of the endpoint is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonBusy means that the request would wait at the endpoint for longer than the sending node allows.
	ReasonBusy Reason = "busy"
	// ReasonLimited means that the endpoints have announced limits on the rate of their requests that leave no room for the
	// request.
	ReasonLimited Reason = "limited"
	// ReasonDeadline means that the deadline of the request has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonClaimNoQuorum means that no majority of the recorders, the nodes that hold the claims of the service, granted the
	// claim on the idempotency key.
	ReasonClaimNoQuorum Reason = "claim-no-quorum"
	// ReasonClaimStale means that the claim on the idempotency key was based on an outdated configuration.
	ReasonClaimStale Reason = "claim-stale-configuration"
	// ReasonClaimed means that another attempt has claimed the idempotency key.
	ReasonClaimed Reason = "claimed"
	// ReasonQuarantined means that requests like this one have crashed backend servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonVoided means that the attempt was withdrawn, or it is a second copy of an attempt.
	ReasonVoided Reason = "voided"
	// ReasonConnect means that the request could not be sent, because no connection to the peer was established.
	ReasonConnect Reason = "connect-failed"
	// ReasonConnectionLost means that the connection was closed before the response.
	ReasonConnectionLost Reason = "connection-lost"
	// ReasonConnectionSilent means that no response arrived, and the peer reported over another connection that it has
	// sent the response or will not run the attempt.
	ReasonConnectionSilent Reason = "connection-silent"
	// ReasonCancelled means that the caller closed its connection or the attempt was cancelled.
	ReasonCancelled Reason = "caller-cancelled"
	// ReasonBackendCrash means that the backend server crashed while it ran the request.
	ReasonBackendCrash Reason = "backend-crashed"
	// ReasonBodyCut means that the body of the request or of the response ended before it was complete.
	ReasonBodyCut Reason = "body-cut"
	// ReasonStaleAfterPause means that the process was paused or its state is outdated, so it must not dispatch a
	// request that may run only once.
	ReasonStaleAfterPause Reason = "stale-after-pause"
	// ReasonAnswerMismatch means that the response may belong to another request on the same connection.
	ReasonAnswerMismatch Reason = "answer-mismatch"
	// ReasonAnswerMalformed means that the response breaks the syntax of HTTP/1.1, so that its body cannot be told.
	ReasonAnswerMalformed Reason = "answer-malformed"
	// ReasonUnknownEndpoint means that the node does not serve the endpoint.
	ReasonUnknownEndpoint Reason = "unknown-endpoint"
	// ReasonEndpointSuspect means that the endpoint became likely to fail while the request waited in its queue or for its
	// response.
	ReasonEndpointSuspect Reason = "endpoint-suspect"
	// ReasonInternalError means that the node failed with a panic.
	ReasonInternalError Reason = "internal-error"
	// ReasonEndpointRejected means that the endpoint responded that it did not run the request.
	ReasonEndpointRejected Reason = "endpoint-rejected"
	// ReasonEndpointReplaced means that the endpoint at the address responded that the request was meant for another one
	// (status 421).
	ReasonEndpointReplaced Reason = "endpoint-replaced"
	// ReasonEndpointError means that the endpoint responded with a server error.
	ReasonEndpointError Reason = "endpoint-error"
	// ReasonAnswerUnsigned means that the response lacks the signature or the request id of the endpoint.
	ReasonAnswerUnsigned Reason = "answer-unsigned"
)

// Headers between callers, nodes and backend servers. Nodes remove HeaderOutcome, HeaderReason, HeaderRecorded and the headers
// with HopPrefix from requests of callers and from responses of backend servers, because only nodes may set them.
const (
	HeaderRequestID = "Agatepulley-Request-Id"
	HeaderOutcome   = "Agatepulley-Outcome"
	HeaderReason    = "Agatepulley-Reason"
	// HeaderDeadline holds the time left until the caller's deadline, in milliseconds.
	HeaderDeadline = "Agatepulley-Deadline-Ms"
	// HeaderWorkspace holds the id of the caller's workspace.
	HeaderWorkspace = "Agatepulley-Workspace"
	// HeaderKey holds the idempotency key of the request.
	HeaderKey = "Idempotency-Key"
	// HeaderLimit and HeaderLeaving are set by backend servers of a published configuration: the number of requests per second
	// that they take from all nodes together, and "1" once they are leaving.
	HeaderLimit   = "Agatepulley-Limit"
	HeaderLeaving = "Agatepulley-Leaving"
	// HeaderRecorded holds, in the response to a duplicate, the recorded state of the attempt that holds the key.
	HeaderRecorded = "Agatepulley-Recorded"

	// HopPrefix is the prefix of the headers of requests and responses between nodes.
	HopPrefix         = "Agatepulley-Hop-"
	HeaderHopService  = HopPrefix + "Service"
	HeaderHopEndpoint = HopPrefix + "Endpoint"
	HeaderHopRoute    = HopPrefix + "Route"
	// HeaderHopAttempt holds the id of the attempt. The receiving node returns it in the response.
	HeaderHopAttempt = HopPrefix + "Attempt"
	// HeaderHopClass holds the class of the request, "short" or "long", and after commas further properties, such as the
	// longest wait with which the receiving node may queue it. Package hop writes and parses it.
	HeaderHopClass = HopPrefix + "Class"
	// HeaderHopFingerprint holds a hash by which requests that crash backend servers are recognized.
	HeaderHopFingerprint = HopPrefix + "Fingerprint"
	// HeaderHopSuspect holds, in the response to a request that crashed an endpoint or is refused as one that does, the
	// crashes known of its fingerprint.
	HeaderHopSuspect = HopPrefix + "Suspect"
	// HeaderHopAnnounced holds what the sending node knows of the announcements of the endpoint, in requests and, from owners of a
	// published configuration, in responses.
	HeaderHopAnnounced = HopPrefix + "Announced"
	// HeaderHopLoad holds, in a response, the load of the endpoint.
	HeaderHopLoad = HopPrefix + "Load"
	// HeaderHopPriority holds the priority of the request among those of its service; lower values run first.
	HeaderHopPriority = HopPrefix + "Priority"
	// HeaderHopCaller holds the service on whose host the request originated.
	HeaderHopCaller = HopPrefix + "Caller"
)

// Error describes a request that ended without a response of a backend server.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status code of the response to the caller.
	Status int
	// Step names the processing step that failed.
	Step string
	// Peer is the host or endpoint with which the step was tried, if any.
	Peer string
	// Recorded is the recorded state of the attempt that holds the key of a duplicate: "pending", or "completed" with the
	// status code.
	Recorded string
	// RetryAfter is the time after which there will be room for the request, or 0 if it is not known.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
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

// Refuse returns an error with the outcome NotRun.
func Refuse(status int, reason Reason, step, peer string, cause error) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Status: status, Step: step, Peer: peer, Err: cause}
}

// MayHaveRun returns an error with the outcome Unknown.
func MayHaveRun(status int, reason Reason, step, peer string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: reason, Status: status, Step: step, Peer: peer, Err: cause}
}

// Arrived reports whether an endpoint received the request, or may have: after a refusal by a node, it did not.
func (e *Error) Arrived() bool {
	return e.Outcome != NotRun || e.Reason == ReasonEndpointRejected || e.Reason == ReasonEndpointReplaced
}

// As returns the Error in the chain of err, or nil if there is none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
