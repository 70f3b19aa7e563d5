// Package node assembles a node from its services and runs its life cycle: joining, serving, draining, stopped.
//
// Each service is registered with the kernel under a dotted name and finds the others by name. node.go registers them,
// drain.go stops a node without cutting requests, status.go reports its state, defaults.go holds the configuration of a
// node that runs alone.
package node
