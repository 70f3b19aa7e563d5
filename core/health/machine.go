package health

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// State is the state of an endpoint in one view.
type State uint8

// States of an endpoint.
const (
	Healthy State = iota
	// Suspect endpoints are a last resort and receive probes.
	Suspect
	// Ejected endpoints receive nothing until their hold-off time has passed.
	Ejected
	// Probation endpoints receive only repeatable requests, one at a time.
	Probation
	// Ramping endpoints receive an increasing share of their normal traffic.
	Ramping
)

var stateNames = [...]string{"healthy", "suspect", "ejected", "probation", "ramping"}

// String implements fmt.Stringer.
func (s State) String() string {
	return stateNames[s]
}

type trigger string

const (
	triggerDoubt   trigger = "doubt"
	triggerClear   trigger = "clear"
	triggerEject   trigger = "eject"
	triggerRelease trigger = "release"
	triggerProtect trigger = "protect"
	triggerPass    trigger = "pass"
	triggerRamped  trigger = "ramped"
)

type endpointKey struct{}

// machine is the definition of the states, shared by all endpoints: the state itself is stored in the endpoint that
// the context carries. A machine for each endpoint would take several kilobytes.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	get := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(endpointKey{}).(*endpoint).state, nil
	}
	set := func(ctx context.Context, s stateless.State) error {
		ctx.Value(endpointKey{}).(*endpoint).state = s.(State)
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)
	m.Configure(Healthy).Permit(triggerDoubt, Suspect)
	m.Configure(Suspect).Permit(triggerClear, Healthy).Permit(triggerEject, Ejected, mayEject)
	m.Configure(Ejected).Permit(triggerRelease, Probation).Permit(triggerProtect, Suspect)
	m.Configure(Probation).
		Permit(triggerPass, Ramping).
		Permit(triggerEject, Ejected, mayEject).
		Permit(triggerProtect, Suspect)
	m.Configure(Ramping).Permit(triggerRamped, Healthy).Permit(triggerDoubt, Suspect)
	return m
}

// mayEject is the guard that keeps the floor: a protected endpoint is not ejected.
func mayEject(ctx context.Context, _ ...any) bool {
	return !ctx.Value(endpointKey{}).(*endpoint).protected
}

// fire moves the endpoint to another state. A trigger that the machine does not permit is a fault in this package.
func (e *endpoint) fire(t trigger) {
	ctx := context.WithValue(context.Background(), endpointKey{}, e)
	if err := machine.FireCtx(ctx, t); err != nil {
		panic(fmt.Sprintf("health: %s of endpoint %s: %v", t, e.ID, err))
	}
}
