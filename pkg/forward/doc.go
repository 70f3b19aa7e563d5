// Package forward serves callers: it finds the route of a request, chooses an endpoint among the registered ones, sends
// the request to the dispatcher on the endpoint's host, and passes the answer on or tries again.
//
// A request is sent again only if the latest attempt was certainly not run, or if its route allows repetition. Repeats
// that reach an endpoint are paid from a budget that the nodes share without a common counter. When a connection to
// another node breaks or stays silent, the dispatcher there is asked over the peer protocol what became of the attempt.
//
// The path of a request through the files: handler.go (checks, route, answer), flight.go (attempts), choose.go
// (endpoint), send.go (one attempt).
package forward
