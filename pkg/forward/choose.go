package forward

import (
	"math"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/pacing"
	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/retrybudget"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/reports"
)

const (
	// Assumed round-trip times to hosts of the same zone and of other zones. Between zones, one way takes a few
	// milliseconds.
	zoneRoundTrip  = 500 * time.Microsecond
	otherRoundTrip = 8 * time.Millisecond
	// regionRoundTrip is the same for hosts of other regions.
	regionRoundTrip = 20 * time.Millisecond
	// warmUpFactor is the factor by which an endpoint is assumed to be slower during its warm-up after a start.
	warmUpFactor = 2
	// loadLifetime is the age up to which a reported load is used. An older report is ignored, and only the requests that
	// this node has sent since then count as load.
	loadLifetime = 1500 * time.Millisecond
	// noStartAge is the assumed age of the latest start of a request at an endpoint that has not reported any.
	noStartAge = time.Minute
	// maxWaitShare is the share of the target latency for which a request may wait in an endpoint's queue although other
	// endpoints remain. Waiting that long costs less than an attempt at another endpoint about which less is known.
	maxWaitShare = 0.1
	// defaultTargetLatency is the target latency of routes that have none.
	defaultTargetLatency = time.Second
	// optionalReserve is the share of the fleet's retry budget that must remain for a request to probe an endpoint or to
	// start a second attempt in parallel to a slow one. Both may use only what exceeds this share, which is kept for
	// requests whose endpoint fails unexpectedly.
	optionalReserve = 0.4
	// highestPriority is the priority of routes whose requests run before all others.
	highestPriority = 0
	// exploreTime is the time to the deadline that a probe requires, in units of the usual service time: one for the probe
	// and one for another attempt if it fails.
	exploreTime = 2
)

// pick is a chosen endpoint.
type pick struct {
	endpoint *registry.Endpoint
	// host is the IP address of the endpoint's host.
	host string
	// incarnation identifies the node process on the host, as known before the attempt is sent; 0 if it is not known.
	incarnation uint64
	// number is the position of the attempt among those of the request, from 1, and begin the time at which it began.
	number int
	begin  time.Time
	// retry is the charge to the retry budget for the attempt, or nil if it needs none, because no earlier attempt has reached
	// an endpoint or still may.
	retry  *retrybudget.Grant
	reason placement.Reason
	// suspect is set if the request may have crashed an endpoint before.
	suspect bool
	// serviceTime is the time that the endpoint is expected to need for the request.
	serviceTime time.Duration
	// maxWait, if not zero, lets the dispatcher refuse the request as busy rather than let it wait longer.
	maxWait time.Duration
}

// choose returns an endpoint that the request has not tried yet, or nil if there is none or if the limits of all endpoints leave
// no room for the request before its deadline.
func (f *Forwarder) choose(fl *flight) *pick {
	view := f.options.View()
	candidates, usable := f.candidates(fl, view.ByService[fl.request.service])
	r := placement.Request{
		Repeatable:        fl.request.repeatable(),
		Large:             fl.request.route.Kind.Large(),
		TargetLatency:     fl.request.route.TargetLatency,
		MedianServiceTime: placement.MedianServiceTime(candidates),
		Traffic:           f.options.Traffic,
	}
	if r.Traffic != (placement.Traffic{}) {
		r.Bytes = f.sizeOf(fl.request)
	}
	if fl.noRoom(candidates, r.MedianServiceTime) {
		return nil
	}
	if r.MayExplore = fl.mayExplore(r.MedianServiceTime); r.MayExplore {
		r.RetryBudgetLow = !f.hasSpareRetries(fl.request.service)
		r.RepeatablePerSecond = f.repeatablePerSecond(fl.request.service)
	}
	if !r.Repeatable && fl.attempts == 0 {
		r.SingleRunPerSecond = f.singleRunPerSecond(fl.request.service)
	}
	f.mu.Lock()
	n, reason := placement.Choose(f.rng, r, candidates)
	f.mu.Unlock()
	if n < 0 {
		return nil
	}
	p := &pick{
		endpoint: usable[n], host: registry.HostIP(usable[n].Address), reason: reason, suspect: fl.quarantine() != quarantine.RunNormally,
		serviceTime: orDefault(candidates[n].ServiceTime, r.MedianServiceTime),
	}
	switch {
	case fl.busyRefusals < maxBusyRefusals && !fl.busy[p.endpoint.ID] && !placement.Saturated(candidates):
		p.maxWait = time.Duration(maxWaitShare * float64(fl.request.targetLatency()))
	case candidates[n].Limited:
		p.maxWait = fl.request.maxLimitedWait(r.MedianServiceTime)
	}
	p.incarnation = f.options.Conditions.Incarnation(p.host)
	f.recordChoice(fl, p, r, &candidates[n], candidates, view.Revision)
	return p
}

// noRoom reports whether the request would have to wait too long for all endpoints because of the limits that they have announced.
func (fl *flight) noRoom(candidates []placement.Candidate, usual time.Duration) bool {
	wait := placement.Room(candidates)
	return wait > 0 && (wait > fl.request.maxLimitedWait(usual) || time.Until(fl.request.deadline) < wait+usual)
}

// maxLimitedWait returns the longest time for which a request waits for an endpoint that limits the rate of its requests: as long
// as the response can be in time. The endpoint serves as many requests with a longer queue, but all of them late.
func (r *request) maxLimitedWait(usual time.Duration) time.Duration {
	target := r.targetLatency()
	return max(target-usual, time.Duration(maxWaitShare*float64(target)))
}

// targetLatency returns the target latency of the request's route, or the default.
func (r *request) targetLatency() time.Duration {
	return orDefault(r.route.TargetLatency, defaultTargetLatency)
}

// untilRoom returns the time until the limits that the endpoints of the service have announced allow another request.
func (f *Forwarder) untilRoom(r *request) time.Duration {
	candidates, _ := f.candidates(&flight{forwarder: f, request: r}, f.options.View().ByService[r.service])
	return placement.Room(candidates)
}

// hasFreeSlot reports whether an endpoint that is likely to work and that the request has not tried has a free slot.
func (f *Forwarder) hasFreeSlot(fl *flight) bool {
	candidates, _ := f.candidates(fl, f.options.View().ByService[fl.request.service])
	return placement.FreeSlots(candidates) > 0
}

// candidates returns the endpoints that accept requests and whose condition is reported to this node. If the request has
// tried all of these, or their limits leave no room now, it returns all endpoints that accept requests.
func (f *Forwarder) candidates(fl *flight, endpoints []*registry.Endpoint) ([]placement.Candidate, []*registry.Endpoint) {
	linked := slices.DeleteFunc(slices.Clone(endpoints), func(e *registry.Endpoint) bool {
		return !f.options.Conditions.Linked(registry.HostIP(e.Address))
	})
	candidates, usable := f.describe(fl, linked)
	hasRoom := func(c placement.Candidate) bool { return !c.Tried && c.Wait() == 0 }
	if len(linked) < len(endpoints) && !slices.ContainsFunc(candidates, hasRoom) {
		return f.describe(fl, endpoints)
	}
	return candidates, usable
}

// describe returns a candidate for each endpoint that accepts requests, and the endpoints in the same order.
func (f *Forwarder) describe(fl *flight, endpoints []*registry.Endpoint) ([]placement.Candidate, []*registry.Endpoint) {
	now := f.options.Clock.Now()
	candidates := make([]placement.Candidate, 0, len(endpoints))
	usable := make([]*registry.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if c, ok := f.candidate(now, e, fl.request.priority()); ok {
			c.Tried = fl.tried[e.ID]
			candidates = append(candidates, c)
			usable = append(usable, e)
		}
	}
	return candidates, usable
}

// candidate returns what is known of an endpoint, for placement.Choose, for a request of a priority. It returns false if the
// endpoint accepts no requests because it or its host is leaving.
func (f *Forwarder) candidate(now time.Duration, e *registry.Endpoint, priority int) (placement.Candidate, bool) {
	host := registry.HostIP(e.Address)
	c := placement.Candidate{
		Slots: e.Slots, SinceStart: noStartAge, RoundTrip: zoneRoundTrip,
		OtherZone: e.Zone != f.options.Zone, FailProbability: faultfilter.Initial,
	}
	c.OtherRegion = f.options.Regions.Of(e.Zone) != f.options.Regions.Of(f.options.Zone)
	switch {
	case c.OtherRegion:
		c.RoundTrip = regionRoundTrip
	case c.OtherZone:
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
		known = reports.ReceivedEndpoint{Endpoint: own, ReceivedAt: now, CreditAt: now}
	} else {
		var leaving bool
		if c.PathFailProbability, leaving = f.options.Conditions.Path(host); leaving {
			return c, false
		}
	}
	announced := f.options.Announcements.State(e.ID)
	if announced.Leaving {
		return c, false
	}
	// Without a report there may be room; the dispatcher knows.
	c.Limited, c.Limit, c.Credit = announced.Limited, announced.Limit, 1
	if ok {
		f.applyReport(now, &c, known)
	}
	if priority == highestPriority {
		// The request overtakes those that wait.
		c.Credit += float64(c.Queued)
	}
	if now < e.WarmUntil {
		c.ServiceTime *= warmUpFactor
	}
	return c, true
}

// applyReport sets the fields of a candidate that follow from a report on its endpoint.
func (f *Forwarder) applyReport(now time.Duration, c *placement.Candidate, known reports.ReceivedEndpoint) {
	age := now - known.ReceivedAt
	c.FailProbability = faultfilter.Project(float64(known.FailPerMille)/1000, age)
	c.SentSinceReport = known.SentSince
	if age < loadLifetime {
		c.Busy, c.Queued = known.Busy, known.Queued
	}
	if c.Limited {
		c.Credit = pacing.Project(c.Limit, known.Credit, now-known.CreditAt)
	}
	if known.ServiceTimeMS > 0 {
		c.ServiceTime = time.Duration(known.ServiceTimeMS) * time.Millisecond
	}
	c.New = known.StartAgeMS < 0
	if !c.New {
		c.SinceStart = time.Duration(known.StartAgeMS)*time.Millisecond + age
	}
}

// mayExplore reports whether the next attempt may probe an endpoint: no earlier attempt has reached an endpoint or is open,
// the request may be sent again, and there is time for another attempt if the probe fails.
func (fl *flight) mayExplore(usual time.Duration) bool {
	if !fl.repeatable() || fl.reached > 0 || len(fl.open) > 0 || fl.request.route.Attempts < 2 {
		return false
	}
	return time.Until(fl.request.deadline) >= exploreTime*usual
}

func (f *Forwarder) recordChoice(fl *flight, p *pick, r placement.Request, c *placement.Candidate, candidates []placement.Candidate, revision uint64) {
	inputs := map[string]any{
		"candidates": len(candidates), "free": placement.FreeSlots(candidates), "endpoints_revision": revision, "config_version": fl.request.version,
		"fail": round(c.FailProbability), "path": round(c.PathFailProbability), "busy": c.Busy, "queued": c.Queued,
		"sent": c.SentSinceReport, "service_ms": c.ServiceTime.Milliseconds(), "start_age_ms": c.SinceStart.Milliseconds(),
		"cost_ms": int(placement.Cost(r, c) * 1000),
	}
	if c.Limited {
		inputs["limit"], inputs["credit"] = c.Limit, round(c.Credit)
	}
	if r.Traffic != (placement.Traffic{}) {
		inputs["bytes"], inputs["distance"] = int(r.Bytes), distanceTo(c)
		f.options.Metrics.Placed(fl.request.service, distanceTo(c), r.Bytes)
	}
	f.options.Decisions.Record(decision.Decision{
		RequestID: fl.request.id, Step: stepChoose, Service: fl.request.service, Route: fl.request.route.Name,
		Subject: p.endpoint.ID, Peer: p.host, Reason: string(p.reason), Inputs: inputs,
	})
}

// distanceTo names how far a candidate is from the caller.
func distanceTo(c *placement.Candidate) string {
	switch {
	case c.OtherRegion:
		return "other-region"
	case c.OtherZone:
		return "other-zone"
	}
	return "own-zone"
}

// round rounds to three decimals, the precision of the reported probabilities, so that log lines stay short.
func round(value float64) float64 {
	return math.Round(value*1000) / 1000
}
