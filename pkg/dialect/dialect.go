// Package dialect defines the set of headers whose names differ between the platforms that a fleet runs on. The
// platform's adapter supplies the names; the code that forwards requests depends only on the meaning of each header.
package dialect

// Headers are header names in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller. Backend servers copy it into their responses.
	RequestID string
	// DeadlineMS is the remaining time, in milliseconds, for which the sender of a request waits for the response.
	DeadlineMS string
	// Signature is set by backend servers in the responses to requests that they ran.
	Signature string
	// TargetInstance is the ID of the endpoint that may run the request. Any other endpoint rejects it.
	TargetInstance string
	// Instance is the ID of the endpoint in its response to a health check.
	Instance string
	// NotRun is set by a backend server in the response to a request that it has not run and will not run.
	NotRun string
	// CallerService is the service whose endpoint shares the host of the node that received the request from its
	// caller.
	CallerService string
	// Workspace is the name of the workspace whose key a request carries, which the endpoint does not see. The key follows
	// KeyScheme in the field Authorization.
	Workspace string
	KeyScheme string
	// Limit is set by an endpoint in its responses to the number of requests per second that it takes from all nodes together.
	Limit string
	// Leaving is set by an endpoint in its responses once it is leaving.
	Leaving string
}
