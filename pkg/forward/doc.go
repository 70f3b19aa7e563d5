// Package forward serves callers: it finds the route of a request, chooses an endpoint among the registered ones, sends
// the request to the dispatcher on the endpoint's host, and passes the response on or makes another attempt.
//
// A request is sent again only if the latest attempt was certainly not run, or if its route allows repetition. Retries,
// that is, further attempts that may reach an endpoint, are charged to a retry budget that the nodes share without a
// common counter. When a connection to another node breaks or delivers no response, the dispatcher there is asked over
// the peer protocol for the state of the attempt.
//
// A request passes through the files in this order: handler.go (checks, route, response), flight.go (the sequence of
// attempts), choose.go (choice of an endpoint), send.go (one attempt). budget.go counts requests and retries.
package forward
