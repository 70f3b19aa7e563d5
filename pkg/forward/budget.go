package forward

import (
	"time"

	"agatepulley.example/agatepulley/core/retrybudget"
)

// callsPerRetry is the number of calls to other services that a retry is assumed to cause. These calls count as retries of
// the other services. The number is assumed because endpoints do not report which calls belong to which request.
const callsPerRetry = 1.5

// countRequest counts a caller's request in the budget of its service.
func (f *Forwarder) countRequest(service string, repeatable bool) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).AddRequest(now, repeatable)
}

// retryGrant is the decision on a retry, with the values that it was based on.
type retryGrant struct {
	granted bool
	// remaining is the number of retries that the fleet may still make in the current window, limit the number in all.
	remaining, limit float64
	// nodes is the number of live nodes that share the remaining retries.
	nodes int
}

// takeRetry counts a retry if the fleet's budget allows one. A retry of a repeatable request may execute it a second
// time, so the calls to other services that it may cause are counted too. Other requests are sent again only if they were
// not executed before, so their calls are not additional.
func (f *Forwarder) takeRetry(service string, repeatable bool) retryGrant {
	var g retryGrant
	g.remaining, g.limit = f.retryBudget(service)
	g.nodes = f.options.Conditions.Nodes()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budget(service)
	if !b.AllowsRetry(now, g.remaining, g.nodes) {
		return g
	}
	g.granted = true
	b.AddRetries(now, 1)
	if repeatable {
		f.countCalls(now, service)
	}
	return g
}

// countCalls counts callsPerRetry retries for the other services, divided in proportion to their requests. The caller
// holds the lock.
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
			b.AddRetries(now, callsPerRetry*b.Usage(now).Requests/total)
		}
	}
}

// repeatablePerSecond estimates the number of repeatable requests of a service per second, over this node and the nodes
// that currently report. It assumes that the repeatable share of the requests is the same on all nodes.
func (f *Forwarder) repeatablePerSecond(service string) float64 {
	reporting, _ := f.options.Conditions.Repeats(service, f.options.Budget.Window)
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.budget(service).Usage(now)
	share := own.RepeatableRequests / max(own.Requests, 1)
	return share * own.Add(reporting.Usage).Requests / f.options.Budget.Window.Seconds()
}

// retryBudget returns how many retries of a service the fleet may still make in the current window, and how many it may
// make in all.
func (f *Forwarder) retryBudget(service string) (remaining, limit float64) {
	reporting, overdue := f.options.Conditions.Repeats(service, f.options.Budget.Window)
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	reporting.Add(f.budget(service).Usage(now), 0)
	return f.options.Budget.Remaining(reporting, overdue), f.options.Budget.Limit(reporting)
}

// Usage returns the requests and retries that this node counted for each service in the latest window.
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

// budget returns the retry budget of a service, which it creates on first use. The caller holds the lock.
func (f *Forwarder) budget(service string) *retrybudget.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retrybudget.New(f.options.Budget, f.rng)
		f.budgets[service] = b
	}
	return b
}
