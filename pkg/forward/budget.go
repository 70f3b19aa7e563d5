package forward

import (
	"time"

	"agatepulley.example/agatepulley/core/retrybudget"
)

// callsPerRepeat is the number of calls to other services that a repeated run is assumed to make. They count as repeats
// there, and the endpoints do not say which calls belong to which run.
const callsPerRepeat = 1.5

// countRequest counts a request of a caller.
func (f *Forwarder) countRequest(service string, repeatable bool) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).AddRequest(now, repeatable)
}

// repeatGrant is the answer to a request for a repeat, with what decided it.
type repeatGrant struct {
	granted bool
	// left of limit repeats were left for a number of nodes.
	left, limit float64
	nodes       int
}

// takeRepeat counts a repeat if the fleet's budget allows one. Runs of repeatable requests may call other services; others
// are repeated only if they have not run.
func (f *Forwarder) takeRepeat(service string, repeatable bool) repeatGrant {
	var g repeatGrant
	g.left, g.limit = f.repeats(service)
	g.nodes = f.options.Conditions.Nodes()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budget(service)
	if !b.AllowsRetry(now, g.left, g.nodes) {
		return g
	}
	g.granted = true
	b.AddRetries(now, 1)
	if repeatable {
		f.countCalls(now, service)
	}
	return g
}

// countCalls spreads the calls of a repeated run over the other services like their requests. The caller holds the
// lock.
func (f *Forwarder) countCalls(now time.Duration, service string) {
	total := 0.0
	for name, b := range f.budgets {
		if name != service {
			total += b.Usage(now).Requests
		}
	}
	if total == 0 {
		return
	}
	for name, b := range f.budgets {
		if name != service {
			b.AddRetries(now, callsPerRepeat*b.Usage(now).Requests/total)
		}
	}
}

// repeatablePerSecond returns the number of repeatable requests of a service per second, over the part of the fleet that
// is heard. Their share is taken to be the same everywhere.
func (f *Forwarder) repeatablePerSecond(service string) float64 {
	heard, _ := f.options.Conditions.Repeats(service, f.options.Budget.Window)
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.budget(service).Usage(now)
	share := own.RepeatableRequests / max(own.Requests, 1)
	return share * own.Add(heard.Usage).Requests / f.options.Budget.Window.Seconds()
}

// repeats returns how many repeats of a service the fleet may still make, and how many it may make in all.
func (f *Forwarder) repeats(service string) (left, limit float64) {
	heard, silent := f.options.Conditions.Repeats(service, f.options.Budget.Window)
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	heard.Add(f.budget(service).Usage(now), 0)
	return f.options.Budget.Remaining(heard, silent), f.options.Budget.Limit(heard)
}

// Usage returns what this node counted for each service in the latest window.
func (f *Forwarder) Usage() map[string]retrybudget.Usage {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	usage := make(map[string]retrybudget.Usage, len(f.budgets))
	for name, b := range f.budgets {
		if u := b.Usage(now); u != (retrybudget.Usage{}) {
			usage[name] = u
		}
	}
	return usage
}

// budget returns the counters of a service. The caller holds the lock.
func (f *Forwarder) budget(service string) *retrybudget.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retrybudget.New(f.options.Budget, f.rng)
		f.budgets[service] = b
	}
	return b
}
