// Package ingress serves callers: it finds the route of a request, chooses an endpoint, sends the request to the
// endpoint's owner, and passes the answer on or tries again.
//
// A request is sent again only if that is safe: its last attempt was certainly not run, or it may be repeated, or it
// carries an idempotency key that the owners claim before they run it. When an owner does not answer in time, the
// ingress inquires over the peer connection what became of the attempt, since the connection may have gone silent.
//
// The path of a request through the files: handler.go (checks, route), serve.go (attempts), send.go (one attempt),
// view.go (state of a service's endpoints as seen from here).
package ingress
