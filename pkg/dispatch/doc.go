// Package dispatch runs requests on the endpoint beside the node: it admits them to the endpoint's slots, sends them,
// and judges the endpoint by what comes back.
//
// The dispatcher is the only way to its endpoint. It therefore knows the true number of busy slots, sees every outcome,
// and can say truthfully whether a request was run: a request counts as sent from its first byte to the endpoint on.
// Before that the dispatcher may refuse it; afterwards only the endpoint's own word that it did not run the request
// allows that.
//
// dispatcher.go takes attempts and drops them when the host leaves, endpoint.go holds slots, queue and evidence of one
// endpoint, exchange.go talks to it, server.go takes attempts of other nodes.
package dispatch
