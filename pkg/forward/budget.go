package forward

import (
	"agatepulley.example/agatepulley/core/retrybudget"
)

// countRequest counts a caller's request in the budget of its service.
func (f *Forwarder) countRequest(service string, repeatable bool) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.AddRequest(now, service, repeatable)
}

// countRun counts an attempt of a repeatable request that ran for so long that the endpoint may have made calls.
func (f *Forwarder) countRun(service string) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.AddRun(now, service)
}

// takeRetry counts a retry if the fleet's budget allows one.
func (f *Forwarder) takeRetry(service string, kind retrybudget.Kind) retrybudget.Grant {
	fleet := f.fleet()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.Take(now, service, kind, fleet)
}

// returnRetry gives back a retry that no endpoint received.
func (f *Forwarder) returnRetry(g retrybudget.Grant) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.Return(now, g)
}

// returnCalls gives back the calls of a retry that ended before the endpoint may have made calls.
func (f *Forwarder) returnCalls(g retrybudget.Grant) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.ReturnCalls(now, g)
}

// repeatablePerSecond estimates the rate of repeatable requests of a service in the fleet.
func (f *Forwarder) repeatablePerSecond(service string) float64 {
	fleet := f.fleet()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.RepeatablePerSecond(now, service, fleet)
}

// singleRunPerSecond estimates the rate of requests of a service in the fleet if none of them may be repeated, and returns 0
// otherwise.
func (f *Forwarder) singleRunPerSecond(service string) float64 {
	fleet := f.fleet()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.SingleRunPerSecond(now, service, fleet)
}

// hasSpareRetries reports whether more of the fleet's retry budgets remains than is reserved for failures.
func (f *Forwarder) hasSpareRetries(service string) bool {
	fleet := f.fleet()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.HasSpare(now, service, optionalReserve, fleet)
}

// Usage returns the requests and retries that this node counted for each service in the latest window.
func (f *Forwarder) Usage() map[string]retrybudget.Usage {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.Usage(now)
}

// fleet returns what the other nodes have reported on their requests and retries. Its function Origins is called with the lock
// held.
func (f *Forwarder) fleet() retrybudget.Fleet {
	view := f.options.View()
	serviceOf := func(ip string) string {
		for _, e := range view.ByHost[ip] {
			return e.Service
		}
		return ""
	}
	return retrybudget.Fleet{
		Nodes:    f.options.Conditions.Nodes(),
		Services: f.options.Conditions.CountedServices(),
		Counts: func(service string) (reachable, unreachable retrybudget.GroupUsage) {
			return f.options.Conditions.Repeats(service, f.options.Budget.Window)
		},
		Origins: func(service string) map[string]retrybudget.Origin {
			origins := f.options.Conditions.Origins(service, serviceOf)
			own := origins[f.options.CallerService()]
			own.Hosts++
			own.Requests += f.retries.UsageOf(f.options.Clock.Now(), service).Requests
			origins[f.options.CallerService()] = own
			return origins
		},
	}
}
