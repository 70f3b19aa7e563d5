// Package dialect holds the names of the headers that callers and backend servers of a site use. The adapter of the
// platform supplies them; the data path knows only what each header means.
package dialect

// Headers are header names in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller. Backend servers repeat it in their responses.
	RequestID string
	// DeadlineMS is the time in milliseconds that the sender of a request still waits for its response.
	DeadlineMS string
	// Signature marks a response that a backend server produced.
	Signature string
	// TargetInstance names the endpoint that may run the request. Any other endpoint rejects it.
	TargetInstance string
	// NotRun marks a response of a backend server that did not run the request and will not.
	NotRun string
	// CallerService is the service on whose host the request originated.
	CallerService string
}
