package retrybudget

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The estimate of the calls in a run begins with an assumption: assumedCalls in each of assumedRuns runs.
const (
	assumedCalls = 1.5
	assumedRuns  = 10
)

// fewCalls is the number of calls in a run up to which an estimate is taken for chance.
const fewCalls = 0.1

// Fleet is what a node knows of the other nodes at one moment.
type Fleet struct {
	// Nodes is the number of reachable nodes, this one included.
	Nodes int
	// Services are the services for which other nodes reported requests.
	Services []string
	// Counts returns the counts that other nodes reported for a service: of those that can be reached, and of those that
	// cannot. The share of the reachable group includes this node.
	Counts func(service string) (reachable, unreachable GroupUsage)
	// Origins returns the requests for a service by the service of the hosts on which they originated, over the reachable
	// nodes, this one included. Callers and endpoints send their requests through the node on their own host.
	Origins func(service string) map[string]Origin
}

// Origin holds the requests that originated on a group of hosts.
type Origin struct {
	Hosts    int
	Requests float64
}

// perHost returns the requests of an average host.
func (o Origin) perHost() float64 {
	return o.Requests / float64(max(o.Hosts, 1))
}

// Kind is the kind of a retry. It determines the calls to other services that the retry may repeat.
type Kind int

const (
	// Resend sends a request again that has not run. It repeats no calls.
	Resend Kind = iota
	// Repeat sends a request again that may have run, and probably has not.
	Repeat
	// RepeatRun sends a request again whose run failed. If its service calls others, a call has probably failed, and so it will
	// call again.
	RepeatRun
)

// Grant is the decision on a retry, with the values that it was based on.
type Grant struct {
	Granted bool
	// Remaining is the number of retries that the fleet may still make in the current window, Limit the number in all.
	Remaining, Limit float64
	// service is the one that the retry is charged to, and calls holds what is charged to others for calls of the run.
	service string
	calls   []calls
}

// calls is a number of calls to a service, a fraction for an expected number.
type calls struct {
	service string
	number  float64
}

// Ledger counts the requests and retries of one node for all services and decides on its retries. A request that runs a
// second time also repeats the calls that its endpoint makes to other services, so these are counted there as retries. It is
// not safe for concurrent use.
type Ledger struct {
	settings Settings
	rng      *rand.Rand
	budgets  map[string]*Budget
}

// NewLedger returns a ledger without counts.
func NewLedger(s Settings, rng *rand.Rand) *Ledger {
	return &Ledger{settings: s, rng: rng, budgets: make(map[string]*Budget)}
}

// AddRequest counts a request of a caller.
func (l *Ledger) AddRequest(now time.Duration, service string, repeatable bool) {
	l.budget(service).AddRequest(now, repeatable)
}

// AddRun counts an attempt of a repeatable request that ran for so long that the endpoint may have made calls.
func (l *Ledger) AddRun(now time.Duration, service string) {
	l.budget(service).AddRun(now)
}

// Take counts a retry if the budget allows it. The calls that its run may make are counted too and need room in the budgets of
// the services that it may call.
func (l *Ledger) Take(now time.Duration, service string, kind Kind, f Fleet) Grant {
	g := l.Remaining(now, service, f)
	if kind != Resend {
		g.calls = l.callsPerRun(now, service, kind, f)
	}
	if !l.budget(service).AllowsRetries(now, 1, g.Remaining, f.Nodes) || !l.callsAllowed(now, g.calls, f) {
		return g
	}
	g.Granted = true
	l.budget(service).AddRetries(now, 1)
	l.addCalls(now, g, 1)
	return g
}

// Return gives back a retry that no endpoint received.
func (l *Ledger) Return(now time.Duration, g Grant) {
	l.budget(g.service).AddRetries(now, -1)
	l.ReturnCalls(now, g)
}

// ReturnCalls gives back the calls of a retry that did not run for long enough to make calls.
func (l *Ledger) ReturnCalls(now time.Duration, g Grant) {
	l.addCalls(now, g, -1)
}

func (l *Ledger) addCalls(now time.Duration, g Grant, sign float64) {
	for _, c := range g.calls {
		l.budget(c.service).AddRetries(now, sign*c.number)
	}
}

// HasSpare reports whether the given share of the limit would remain after a retry, for the service and for those that a
// repeated run may call.
func (l *Ledger) HasSpare(now time.Duration, service string, share float64, f Fleet) bool {
	needed := append(l.callsPerRun(now, service, Repeat, f), calls{service, 1})
	for _, c := range needed {
		if g := l.Remaining(now, c.service, f); g.Remaining-c.number < share*g.Limit {
			return false
		}
	}
	return true
}

// callsAllowed reports whether the budgets of the called services have room for the calls of a run.
func (l *Ledger) callsAllowed(now time.Duration, needed []calls, f Fleet) bool {
	for _, c := range needed {
		if !l.budget(c.service).AllowsRetries(now, c.number, l.Remaining(now, c.service, f).Remaining, f.Nodes) {
			return false
		}
	}
	return true
}

// callsPerRun returns the calls to other services that a run of a repeatable request of the service may make: the mean over all
// runs, rounded up for a request that has called before.
func (l *Ledger) callsPerRun(now time.Duration, service string, kind Kind, f Fleet) []calls {
	for _, name := range f.Services {
		l.budget(name)
	}
	runs := l.fleetUsage(now, service, f).Runs
	var needed []calls
	for _, name := range slices.Sorted(maps.Keys(l.budgets)) {
		number := 0.0
		if name != service {
			number = estimateCalls(service, runs, f.Origins(name))
		}
		if number < fewCalls {
			continue
		}
		if kind == RepeatRun {
			number = math.Ceil(number - fewCalls)
		}
		needed = append(needed, calls{name, number})
	}
	return needed
}

// Remaining returns how many retries of a service the fleet may still make, without granting one.
func (l *Ledger) Remaining(now time.Duration, service string, f Fleet) Grant {
	reachable, unreachable := f.Counts(service)
	reachable.Add(l.budget(service).Usage(now), 0)
	return Grant{service: service, Remaining: l.settings.Remaining(reachable, unreachable), Limit: l.settings.Limit(reachable)}
}

// RepeatablePerSecond estimates the rate of repeatable requests of a service over this node and those that can be reached.
func (l *Ledger) RepeatablePerSecond(now time.Duration, service string, f Fleet) float64 {
	return l.fleetUsage(now, service, f).RepeatableRequests / l.settings.Window.Seconds()
}

// SingleRunPerSecond estimates the rate of requests of a service over this node and those that can be reached, if none that this
// node has counted may be repeated. Otherwise it returns 0.
func (l *Ledger) SingleRunPerSecond(now time.Duration, service string, f Fleet) float64 {
	fleet := l.fleetUsage(now, service, f)
	if fleet.RepeatableRequests > 0 {
		return 0
	}
	return fleet.Requests / l.settings.Window.Seconds()
}

// UsageOf returns the counts of this node for a service.
func (l *Ledger) UsageOf(now time.Duration, service string) Usage {
	return l.budget(service).Usage(now)
}

// Usage returns the counts of this node by service, for its reports to the others.
func (l *Ledger) Usage(now time.Duration) map[string]Usage {
	usage := make(map[string]Usage, len(l.budgets))
	for name, b := range l.budgets {
		if u := b.Usage(now); u != (Usage{}) {
			usage[name] = u
		}
	}
	return usage
}

// fleetUsage returns the counts of this node and of those that can be reached. Reports do not hold the repeatable requests and
// their runs: their share is taken to be the same on all nodes.
func (l *Ledger) fleetUsage(now time.Duration, service string, f Fleet) Usage {
	own := l.budget(service).Usage(now)
	reachable, _ := f.Counts(service)
	fleet := own.Add(reachable.Usage)
	fleet.RepeatableRequests = fleet.Requests * own.RepeatableRequests / max(own.Requests, 1)
	// One more request that runs is assumed, so that a node with few requests does not conclude that none runs.
	fleet.Runs = fleet.Requests * (own.Runs + 1) / (own.Requests + 1)
	return fleet
}

// budget returns the budget of a service, which it creates on first use.
func (l *Ledger) budget(service string) *Budget {
	b := l.budgets[service]
	if b == nil {
		b = New(l.settings, l.rng)
		l.budgets[service] = b
	}
	return b
}

// estimateCalls estimates how many calls to another service one run of a repeatable request makes. Endpoints do not tell on
// behalf of which request they call, so requests to the other service count as calls as far as more of them originate on the
// hosts of the calling service than on other hosts, which only have callers. The numbers are those of a window: runs of
// repeatable requests of the calling service, and requests to the other service by the service of their hosts.
func estimateCalls(caller string, runs float64, origins map[string]Origin) float64 {
	var others Origin
	for service, o := range origins {
		if service != caller {
			others.Hosts += o.Hosts
			others.Requests += o.Requests
		}
	}
	hosts := origins[caller]
	excess := max(0, hosts.perHost()-others.perHost()) * float64(hosts.Hosts)
	return (excess + assumedCalls*assumedRuns) / (runs + assumedRuns)
}
