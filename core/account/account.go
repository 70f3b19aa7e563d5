// Package account assigns every request that was not answered within its target latency to one cause, from the decisions
// that the nodes logged. It answers the operator's question where service is lost on a heavy day: at endpoints whose failure
// nobody could have foreseen, at endpoints that were known to fail, in queues, or because the retry budget was used up.
package account

import (
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
)

// Cause says why a request was not answered in time.
type Cause string

// Causes, in the order in which they are listed.
const (
	// InTime is the cause of requests that were answered within their target latency.
	InTime Cause = "in-time"
	// Late requests were answered after their target latency.
	Late Cause = "late"
	// Onset means that an endpoint that counted as working failed the request.
	Onset Cause = "failed-unforeseen"
	// Doubtful means that the request was sent to an endpoint that was known to be likely to fail.
	Doubtful Cause = "failed-foreseen"
	// Path means that the connection between two nodes failed.
	Path Cause = "path"
	// EndpointError means that a working endpoint took its usual time and answered with a server error.
	EndpointError Cause = "endpoint-error"
	// Rejected means that the endpoint rejected the request and that it was not sent again.
	Rejected Cause = "rejected"
	// Unplaced means that no queue accepted the request although the node knew of a free slot at a working endpoint.
	Unplaced Cause = "slots-elsewhere"
	// Overload means that no queue accepted the request and that no free slot was known.
	Overload Cause = "no-slot"
	// Limited means that the endpoints had announced limits on the rate of their requests that left no room.
	Limited Cause = "limited"
	// Quarantined requests are refused because they have crashed endpoints.
	Quarantined Cause = "quarantined"
	// Deadline means that the request ran at an endpoint until its deadline.
	Deadline Cause = "deadline"
	// Unavailable means that the node was starting or stopping, or knew of no endpoint.
	Unavailable Cause = "unavailable"
	// CallerLeft means that the caller closed its connection before the end.
	CallerLeft Cause = "caller-left"
	// Invalid means that the request was malformed or had no route.
	Invalid Cause = "invalid"
	// Unfinished means that the log holds no end of the request: the node ended before, or lines are missing.
	Unfinished Cause = "unfinished"
)

// Causes lists all causes in the order of tables.
var Causes = []Cause{
	InTime, Late, Onset, Doubtful, Path, EndpointError, Rejected, Unplaced, Overload, Limited, Quarantined, Deadline, Unavailable, CallerLeft, Invalid,
	Unfinished,
}

// Steps and outcomes of the logged decisions that an account uses.
const (
	stepChoose  = "choose"
	stepRetry   = "retry"
	stepRespond = "respond"
	// retryDenied is the outcome of a retry that the retry budget did not allow.
	retryDenied = "no-retry"
)

// serverErrorFrom is the lowest HTTP status code of a server error.
const serverErrorFrom = 500

// doubtfulFrom is the probability of failing from which a choice counts as one of an endpoint that is known to fail. Cause
// Path has the same bound for the path.
const doubtfulFrom = 0.3

// Event is a decision of the node that accepted the request from its caller.
type Event struct {
	Time      time.Time
	RequestID string
	Step      string
	Service   string
	Route     string
	// Subject is the chosen endpoint and Peer its host.
	Subject string
	Peer    string
	Outcome string
	Reason  string
	Inputs  Inputs
}

// Inputs are the logged values behind a decision that an account uses.
type Inputs struct {
	// Fail and Path are the probabilities that the chosen endpoint and the path to it fail.
	Fail float64 `json:"fail"`
	Path float64 `json:"path"`
	// Free is the number of free slots that the node knew of at endpoints that are likely to work.
	Free int `json:"free"`
	// Status, Milliseconds and Target describe a response to the caller: its status code, the time since the arrival, and
	// the target latency of the route.
	Status       int `json:"status"`
	Milliseconds int `json:"ms"`
	Target       int `json:"target_ms"`
	// Attempt is the number of the attempt that was answered, from 1.
	Attempt int `json:"attempt"`
}

// choice is an endpoint that a request was sent to.
type choice struct {
	subject, peer string
	inputs        Inputs
}

// request collects the decisions on a request until its end.
type request struct {
	begin   time.Time
	service string
	route   string
	choices []choice
	// denied is set if the retry budget did not allow another attempt.
	denied bool
}

// Loss is a request with its cause.
type Loss struct {
	RequestID string
	Service   string
	Route     string
	// At is the time of the first decision on the request, and Took the time from its arrival to its end.
	At    time.Time
	Took  time.Duration
	Cause Cause
	// RetryDenied is set if the retry budget did not allow another attempt.
	RetryDenied bool
}

// Account assigns requests to causes. The events of a request must be added in the order of their times. The zero value is
// not usable; New returns an empty account.
type Account struct {
	open map[string]*request
	done []Loss
}

// New returns an empty account.
func New() *Account {
	return &Account{open: make(map[string]*request)}
}

// Add adds a decision of the node that accepted the request.
func (a *Account) Add(e Event) {
	r := a.open[e.RequestID]
	if r == nil {
		r = &request{begin: e.Time, service: e.Service, route: e.Route}
		a.open[e.RequestID] = r
	}
	switch {
	case e.Step == stepChoose && e.Subject != "":
		r.choices = append(r.choices, choice{subject: e.Subject, peer: e.Peer, inputs: e.Inputs})
	case e.Step == stepRetry:
		r.denied = r.denied || e.Outcome == retryDenied
	case e.Inputs.Status != 0:
		delete(a.open, e.RequestID)
		a.done = append(a.done, Loss{
			RequestID: e.RequestID, Service: e.Service, Route: e.Route, At: r.begin,
			Took: time.Duration(e.Inputs.Milliseconds) * time.Millisecond, Cause: r.cause(e), RetryDenied: r.denied,
		})
	}
}

// Losses returns all requests with their causes, those without an end as Unfinished.
func (a *Account) Losses() []Loss {
	losses := slices.Clone(a.done)
	for id, r := range a.open {
		losses = append(losses, Loss{RequestID: id, Service: r.service, Route: r.route, At: r.begin, Cause: Unfinished, RetryDenied: r.denied})
	}
	slices.SortFunc(losses, func(x, y Loss) int { return x.At.Compare(y.At) })
	return losses
}

// cause returns the cause of a request that ended with the given decision.
func (r *request) cause(end Event) Cause {
	if end.Step == stepRespond && end.Inputs.Status < serverErrorFrom {
		if end.Inputs.Target > 0 && end.Inputs.Milliseconds > end.Inputs.Target {
			return Late
		}
		return InTime
	}
	last := r.answeredBy(end)
	if end.Step == stepRespond {
		return last.failure(EndpointError)
	}
	switch outcome.Reason(end.Reason) {
	case outcome.ReasonCancelled:
		return CallerLeft
	case outcome.ReasonNoRoute, outcome.ReasonBadRequest, outcome.ReasonHeaderTooLarge, outcome.ReasonBodyTooLarge,
		outcome.ReasonBodyTimeout, outcome.ReasonBodyCut:
		return Invalid
	case outcome.ReasonNotReady, outcome.ReasonLeaving, outcome.ReasonNoEndpoint:
		return Unavailable
	case outcome.ReasonEndpointRejected, outcome.ReasonEndpointReplaced:
		return Rejected
	case outcome.ReasonConnect, outcome.ReasonConnectionSilent:
		return Path
	case outcome.ReasonBusy, outcome.ReasonQueueFull, outcome.ReasonEndpointSuspect, outcome.ReasonVoided:
		return r.refusal()
	case outcome.ReasonLimited:
		return Limited
	case outcome.ReasonQuarantined:
		return Quarantined
	case outcome.ReasonDeadline:
		if outcome.Outcome(end.Outcome) == outcome.NotRun {
			return r.refusal()
		}
		return last.failure(Deadline)
	default:
		return last.failure(Onset)
	}
}

// answeredBy returns the attempt that the end of a request reports.
func (r *request) answeredBy(end Event) choice {
	if n := end.Inputs.Attempt; n >= 1 && n <= len(r.choices) {
		return r.choices[n-1]
	}
	for _, c := range slices.Backward(r.choices) {
		if end.Peer == c.peer || end.Peer == c.subject {
			return c
		}
	}
	if len(r.choices) == 0 {
		return choice{}
	}
	return r.choices[len(r.choices)-1]
}

// failure returns the cause of a failed attempt. It is the given one if the endpoint and the path were likely to work.
func (c choice) failure(unforeseen Cause) Cause {
	switch {
	case c.inputs.Fail >= doubtfulFrom:
		return Doubtful
	case c.inputs.Path >= doubtfulFrom:
		return Path
	default:
		return unforeseen
	}
}

// refusal returns the cause of a request that no queue accepted.
func (r *request) refusal() Cause {
	if n := len(r.choices); n > 0 && r.choices[n-1].inputs.Free > 0 {
		return Unplaced
	}
	return Overload
}
