// Package member assembles a node of a fleet whose endpoints register themselves at run time, and runs its life cycle.
//
// Each service is registered with the kernel under a dotted name. The node gets the configuration and the endpoints from a
// read-only store and from the other nodes; it persists nothing. settings.go holds its settings, member.go the assembly,
// stop.go the planned stop, network.go the exchange with other nodes, status.go the status and metrics for operators.
package member
