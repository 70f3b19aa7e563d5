// Package reports exchanges UDP datagrams between the nodes of a fleet. A report holds what the receiver needs to choose
// an endpoint: the probability that each of the sender's endpoints is failing, their load, and the versions of the
// configuration and of the endpoint list that the sender knows.
//
// A report holds the full state of its sender, so that the next one makes up for a lost datagram. Reports are sent
// periodically, and within milliseconds after an endpoint's condition changes. Received and missing reports also show
// whether the network path between two hosts works, in each direction.
package reports
