package health

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// State is the state of an endpoint as judged by one detector.
type State uint8

// States of an endpoint.
const (
	Healthy State = iota
	// Suspect endpoints are used only as a last resort and receive probes.
	Suspect
	// Ejected endpoints receive no requests until their hold-off time has passed.
	Ejected
	// Probation endpoints receive only probes: repeatable requests, one at a time.
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
	triggerSuspect      trigger = "doubt"
	triggerClear        trigger = "clear"
	triggerEject        trigger = "eject"
	triggerHoldOffEnd   trigger = "release"
	triggerProtect      trigger = "protect"
	triggerProbesPassed trigger = "pass"
	triggerRamped       trigger = "ramped"
)

type endpointKey struct{}

// machine defines the permitted transitions for all endpoints. The current state is stored in the endpoint, which is
// passed in the context; a machine for each endpoint would take several kilobytes.
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
	m.Configure(Healthy).Permit(triggerSuspect, Suspect)
	m.Configure(Suspect).Permit(triggerClear, Healthy).Permit(triggerEject, Ejected, mayEject)
	m.Configure(Ejected).Permit(triggerHoldOffEnd, Probation).Permit(triggerProtect, Suspect)
	m.Configure(Probation).
		Permit(triggerProbesPassed, Ramping).
		Permit(triggerEject, Ejected, mayEject).
		Permit(triggerProtect, Suspect)
	m.Configure(Ramping).Permit(triggerRamped, Healthy).Permit(triggerSuspect, Suspect)
	return m
}

// mayEject is the guard that maintains the capacity floor: a protected endpoint is not ejected.
func mayEject(ctx context.Context, _ ...any) bool {
	return !ctx.Value(endpointKey{}).(*endpoint).protected
}

// fire applies a trigger to the endpoint's state. It panics if the current state does not permit the trigger, which
// is a bug in this package.
func (e *endpoint) fire(t trigger) {
	ctx := context.WithValue(context.Background(), endpointKey{}, e)
	if err := machine.FireCtx(ctx, t); err != nil {
		panic(fmt.Sprintf("health: trigger %q for endpoint %s in state %s: %v", t, e.ID, e.state, err))
	}
}
