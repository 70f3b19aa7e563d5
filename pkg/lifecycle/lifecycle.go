// Package lifecycle provides the state machine of a node: starting, joining, serving, draining, stopped.
package lifecycle

import (
	"log/slog"

	"github.com/qmuntal/stateless"
)

// State is a state in the life cycle of a node.
type State string

// States of the life cycle.
const (
	// Starting is the state until all services of the node have started.
	Starting State = "starting"
	// Joining is the state until the node knows what it needs to serve.
	Joining State = "joining"
	// Serving is the state in which the node reports that it is ready for requests.
	Serving State = "serving"
	// Draining is the state of a planned stop, while requests in flight are finished.
	Draining State = "draining"
	Stopped  State = "stopped"
)

// Trigger moves a node from one state to the next.
type Trigger string

// Triggers of the life cycle: all services have started, the node knows what it needs to serve, it was asked to stop, and its
// planned stop has ended.
const (
	Started Trigger = "started"
	Joined  Trigger = "joined"
	Stop    Trigger = "stop"
	Drained Trigger = "drained"
)

// Machine is the life cycle of one node. It is safe for concurrent use.
type Machine struct {
	machine *stateless.StateMachine
	logger  *slog.Logger
}

// New returns the life cycle of a node, in the state Starting.
func New(logger *slog.Logger) *Machine {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(Started, Joining)
	m.Configure(Joining).
		Permit(Joined, Serving).
		Permit(Stop, Draining)
	m.Configure(Serving).
		Permit(Stop, Draining).
		Ignore(Joined)
	m.Configure(Draining).
		Permit(Drained, Stopped).
		Ignore(Joined).
		Ignore(Stop)
	return &Machine{machine: m, logger: logger}
}

// State returns the current state.
func (m *Machine) State() State {
	return m.machine.MustState().(State)
}

// Fire applies a trigger and logs the change of state. A trigger that is not permitted in the current state is logged as an
// error and changes nothing.
func (m *Machine) Fire(trigger Trigger) {
	before := m.State()
	if err := m.machine.Fire(trigger); err != nil {
		m.logger.Error("life cycle trigger rejected", "trigger", string(trigger), "state", string(before), "error", err)
		return
	}
	if after := m.State(); after != before {
		m.logger.Info("node state", "from", string(before), "to", string(after))
	}
}
