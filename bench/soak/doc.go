// Package soak plays random faults on a fleet of real node processes on loopback and checks the guarantees from what
// callers and endpoints see.
//
// Each node is a process of its own. Its requests from other nodes, its endpoint and the platform's store are reached
// through links that delay, reset, silence, or lose a direction of connections. Nodes are frozen, killed, stopped and
// reloaded by signals; the store turns away, answers late and forgets its history; endpoints fail, hang, leave and are
// replaced; configurations change. Faults come in series and overlap. A seed fixes the faults and the load, but not how
// the processes are scheduled, so that a seed that failed once may pass.
//
// fleet.go holds the processes, faults.go what happens to them, callers.go the load, checks.go the guarantees.
package soak
