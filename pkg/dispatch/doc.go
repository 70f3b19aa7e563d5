// Package dispatch runs requests on the endpoint on the node's own host: it admits them to the endpoint's slots, sends
// them, and estimates from the outcomes whether the endpoint is failing. The ingress of a request is the node that accepted
// it from the caller.
//
// All requests to an endpoint pass through its dispatcher. The dispatcher therefore knows the exact number of busy slots,
// sees every outcome, and can report reliably whether a request was run: a request counts as sent once its first byte
// has been written to the endpoint. Before that the dispatcher may refuse it. Afterwards a request is reported as not run
// only if the endpoint itself rejects it.
//
// dispatcher.go accepts attempts and refuses them when the host leaves, endpoint.go holds the slots, the queue and the
// failure estimate of one endpoint, exchange.go sends requests to it and classifies the responses, server.go accepts
// attempts from other nodes.
package dispatch
