package forward

import (
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/reports"
)

const (
	// Round-trip times to other hosts. Those between zones are a few milliseconds one way.
	zoneRoundTrip  = 500 * time.Microsecond
	otherRoundTrip = 8 * time.Millisecond
	// warmUpFactor is how much slower an endpoint is assumed to be right after its start.
	warmUpFactor = 2
	// loadLifetime is how long a reported load is used. Afterwards only what this node sent counts.
	loadLifetime = 1500 * time.Millisecond
	// never is the age of an outcome at an endpoint that has not reported any.
	never = time.Minute
	// patience is the share of the target latency for which a request may wait at an endpoint although others are left.
	// Waiting that long costs less than another hop to an endpoint about which less is known.
	patience = 0.1
	// defaultTarget is the target latency of routes that have none.
	defaultTarget = time.Second
	// exploreReserve is the share of the fleet's budget that must be left for a request to probe an endpoint, or for a
	// second attempt beside a slow one. The rest is kept for requests whose endpoint fails unexpectedly.
	exploreReserve = 0.4
	// exploreTime is the time that must be left, in units of the usual service time: for the probe and another attempt.
	exploreTime = 2
)

// pick is a chosen endpoint.
type pick struct {
	endpoint *registry.Endpoint
	host     string
	// incarnation is that of the process on the host, as known before the attempt is sent.
	incarnation uint64
	number      int
	reason      placement.Reason
	// service is the time that the endpoint is expected to need.
	service time.Duration
	// maxWait, if not zero, lets the dispatcher refuse the request as busy rather than let it wait longer.
	maxWait time.Duration
}

// choose takes an endpoint that was not tried yet, or returns nil.
func (f *Forwarder) choose(fl *flight) *pick {
	view := f.options.View()
	candidates, usable := f.candidates(fl, view.ByService[fl.request.service])
	r := placement.Request{
		Repeatable:        fl.request.repeatable(),
		Large:             fl.request.route.Kind.Large(),
		TargetLatency:     fl.request.route.TargetLatency,
		MedianServiceTime: placement.MedianServiceTime(candidates),
	}
	if r.MayExplore = fl.mayExplore(r.MedianServiceTime); r.MayExplore {
		r.RetryBudgetLow = !f.repeatsToSpare(fl.request.service)
		r.RepeatablePerSecond = f.repeatablePerSecond(fl.request.service)
	}
	f.mu.Lock()
	n, reason := placement.Choose(f.rng, r, candidates)
	f.mu.Unlock()
	if n < 0 {
		return nil
	}
	p := &pick{
		endpoint: usable[n], host: registry.HostIP(usable[n].Address), reason: reason,
		service: orDefault(candidates[n].ServiceTime, r.MedianServiceTime),
	}
	if fl.bounces < maxBounces && !fl.busy[p.endpoint.ID] && !placement.Saturated(candidates) {
		p.maxWait = time.Duration(patience * float64(orDefault(fl.request.route.TargetLatency, defaultTarget)))
	}
	p.incarnation = f.options.Conditions.Incarnation(p.host)
	f.recordChoice(fl, p, r, &candidates[n], len(candidates), view.Revision)
	return p
}

// candidates describes the endpoints that take work and whose condition is told to this node, or all that take work if no
// untried one is among those.
func (f *Forwarder) candidates(fl *flight, endpoints []*registry.Endpoint) ([]placement.Candidate, []*registry.Endpoint) {
	linked := slices.DeleteFunc(slices.Clone(endpoints), func(e *registry.Endpoint) bool {
		return !f.options.Conditions.Linked(registry.HostIP(e.Address))
	})
	candidates, usable := f.describe(fl, linked)
	if len(linked) < len(endpoints) && !slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return !c.Tried }) {
		return f.describe(fl, endpoints)
	}
	return candidates, usable
}

// describe returns the candidates among the endpoints, and the endpoint of each.
func (f *Forwarder) describe(fl *flight, endpoints []*registry.Endpoint) ([]placement.Candidate, []*registry.Endpoint) {
	now := f.options.Clock.Now()
	candidates := make([]placement.Candidate, 0, len(endpoints))
	usable := make([]*registry.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if c, ok := f.candidate(now, e); ok {
			c.Tried = fl.tried[e.ID]
			candidates = append(candidates, c)
			usable = append(usable, e)
		}
	}
	return candidates, usable
}

// candidate describes an endpoint for the choice. It returns false if the endpoint takes no work.
func (f *Forwarder) candidate(now time.Duration, e *registry.Endpoint) (placement.Candidate, bool) {
	host := registry.HostIP(e.Address)
	c := placement.Candidate{
		Slots: e.Slots, SinceOutcome: never, RoundTrip: zoneRoundTrip,
		OtherZone: e.Zone != f.options.Zone, FailProbability: faultfilter.Initial,
	}
	if c.OtherZone {
		c.RoundTrip = otherRoundTrip
	}
	known, ok := f.options.Conditions.Endpoint(e.ID)
	if host == f.options.IP {
		if f.options.Dispatcher.Leaving() {
			return c, false
		}
		c.RoundTrip = 0
		var own reports.Endpoint
		own, ok = f.options.Dispatcher.Report(e.ID)
		known = reports.ReceivedEndpoint{Endpoint: own, ReceivedAt: now}
	} else {
		var leaving bool
		if c.PathFailProbability, leaving = f.options.Conditions.Path(host); leaving {
			return c, false
		}
	}
	if ok {
		f.apply(now, &c, known)
	}
	if now < e.WarmUntil {
		c.ServiceTime *= warmUpFactor
	}
	return c, true
}

// apply adds a report to a candidate.
func (f *Forwarder) apply(now time.Duration, c *placement.Candidate, known reports.ReceivedEndpoint) {
	age := now - known.ReceivedAt
	c.FailProbability = faultfilter.Project(float64(known.FailPerMille)/1000, age)
	c.SentSinceReport = known.SentSince
	if age < loadLifetime {
		c.Busy, c.Queued = known.Busy, known.Queued
	}
	if known.ServiceTimeMS > 0 {
		c.ServiceTime = time.Duration(known.ServiceTimeMS) * time.Millisecond
	}
	if known.OutcomeAgeMS >= 0 {
		c.SinceOutcome = time.Duration(known.OutcomeAgeMS)*time.Millisecond + age
	}
}

// mayExplore reports whether there is time to make good a failure of the next attempt.
func (fl *flight) mayExplore(usual time.Duration) bool {
	if !fl.repeatable() || fl.arrived > 0 || len(fl.open) > 0 || fl.request.route.Attempts < 2 {
		return false
	}
	return time.Until(fl.request.deadline) >= exploreTime*usual
}

// repeatsToSpare reports whether the fleet has repeats left beside those that failures will need.
func (f *Forwarder) repeatsToSpare(service string) bool {
	left, limit := f.repeats(service)
	return left >= exploreReserve*limit
}

func (f *Forwarder) recordChoice(fl *flight, p *pick, r placement.Request, c *placement.Candidate, candidates int, revision uint64) {
	f.options.Decisions.Record(decision.Decision{
		RequestID: fl.request.id, Step: stepChoose, Service: fl.request.service, Route: fl.request.route.Name,
		Subject: p.endpoint.ID, Peer: p.host, Reason: string(p.reason),
		Inputs: map[string]any{
			"candidates": candidates, "endpoints_revision": revision, "config_version": fl.request.version,
			"fail": round(c.FailProbability), "path": round(c.PathFailProbability), "busy": c.Busy, "queued": c.Queued,
			"sent": c.SentSinceReport, "service_ms": c.ServiceTime.Milliseconds(), "outcome_age_ms": c.SinceOutcome.Milliseconds(),
			"cost_ms": int(placement.Cost(r, c) * 1000),
		},
	})
}

// round keeps three digits, which is what the reports carry.
func round(p float64) float64 {
	return float64(int(p*1000+0.5)) / 1000
}
