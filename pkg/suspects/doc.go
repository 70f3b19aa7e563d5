// Package suspects holds what a node knows of requests that crash endpoints, and exchanges it with the other nodes.
//
// The dispatcher on an endpoint's host reports which requests were in flight when the endpoint crashed, and which have
// succeeded; core/quarantine decides from that which requests may run, alone or not, or are refused. Crashes are told to all
// linked nodes at once. What has crashed two endpoints or more is told again and again, to one node after the other, so that
// nodes which start, or which were cut off, learn of it too. Nothing is stored: after the loss of all nodes it is unknown.
package suspects
