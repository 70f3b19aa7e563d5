// Package member assembles a node of a fleet whose endpoints register themselves at run time, and runs its life cycle.
//
// Each service is registered with the kernel under a dotted name. The node learns configuration and endpoints from a
// store that can only be read and from the other nodes; it keeps nothing when it stops. settings.go holds its settings,
// member.go the assembly, stop.go the planned stop, network.go what the nodes ask each other, status.go what operators
// see.
package member
