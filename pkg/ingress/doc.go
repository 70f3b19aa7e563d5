// Package ingress serves requests of callers: it finds the route of a request, chooses an endpoint, sends the request to
// the owner of the endpoint (the node on the endpoint's host), and passes the response on or tries another endpoint.
//
// A request is sent again only if that is safe: its latest attempt was certainly not run, or its route is configured as
// repeatable, or it carries an idempotency key that the owners claim before they run the request. When an owner does not
// answer in time, the ingress queries it over the peer connection for the state of the attempt, because the connection
// that carries the attempt may be broken without having been closed.
//
// A request passes through handler.go (checks and route), serve.go (attempts and retries) and send.go (a single
// attempt). view.go holds the state of a service's endpoints as observed by this ingress.
package ingress
