// Package reports lets the nodes tell each other, in datagrams, what they need for choosing an endpoint: how likely each
// endpoint is failing, how loaded it is, and which configuration and which endpoints the sender knows.
//
// A report is state, not an event: a lost datagram is made good by the next one. Reports go out periodically and at once
// when an endpoint's condition changes. What arrives, and what fails to arrive, also tells whether the path between two
// hosts works in each direction.
package reports
