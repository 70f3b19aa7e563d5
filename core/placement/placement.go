// Package placement chooses the endpoint that a request is sent to.
//
// It is designed for two situations. Under gray failures, each wrong choice of an endpoint loses a request that may run
// only once, so the probability that the endpoint or the path to it fails has the largest weight. At peak load free slots
// are scarce, so endpoints with free slots and short service times are preferred, and the choice is randomized, so that
// nodes that decide at the same moment on the same reports do not all choose the same endpoint.
//
// Requests that may run more than once also serve as probes: some of them are sent to endpoints at which none has begun recently,
// so that recent outcomes are available when an endpoint is chosen for a request that may run only once. In a service without
// such requests, a few others are sent to each new endpoint until one has ended there.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/pacing"
)

// Candidate is an endpoint that can be chosen, with what the choosing node knows about it.
type Candidate struct {
	// FailProbability is the probability that the endpoint fails a request.
	FailProbability float64
	// PathFailProbability is the probability that the network path to the endpoint's host fails a request.
	PathFailProbability float64
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Busy and Queued are the numbers of running and of waiting requests in the latest report of the endpoint's host.
	// SentSinceReport is the number of requests that this node has sent to the endpoint since then.
	Busy, Queued, SentSinceReport int
	// Limited is set if the endpoint limits the rate of its requests. Limit is that rate in requests per second, and Credit the
	// number of further requests that it allows now, without those sent since the report.
	Limited bool
	Limit   float64
	Credit  float64
	// ServiceTime is the mean time that the endpoint needs for a request, or 0 if it is not known.
	ServiceTime time.Duration
	// New is set if the endpoint's host reports that no request has ended there yet.
	New bool
	// SinceStart is the time since the latest known start of a request at the endpoint. A request that ends or stalls says little
	// about the condition of the endpoint since it began.
	SinceStart time.Duration
	// RoundTrip is the round-trip time to the endpoint's host.
	RoundTrip time.Duration
	// OtherZone is set if the endpoint is in another availability zone than this node, and OtherRegion if it is in another region.
	OtherZone, OtherRegion bool
	// Tried is set if an earlier attempt of the request was sent to the endpoint. It is not chosen again.
	Tried bool
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Large is set if the request or its response has a large body. Such requests stay in their zone while it has free
	// slots.
	Large bool
	// Bytes is the expected size of the request and its response, and Traffic what it costs to move them. If Traffic is zero,
	// another zone costs a fixed share of the target latency.
	Bytes   float64
	Traffic Traffic
	// MayExplore allows a probe of an endpoint that is not the best one, because there is time for another attempt if the
	// probe fails.
	MayExplore bool
	// RetryBudgetLow is set while little remains of the retry budget, so that the retry of a failed probe may be refused.
	RetryBudgetLow bool
	// RepeatablePerSecond is the rate of repeatable requests of the service over all nodes, in requests per second.
	RepeatablePerSecond float64
	// SingleRunPerSecond is the rate of all requests of the service over all nodes, in requests per second, if none of them may
	// be repeated; otherwise it is 0.
	SingleRunPerSecond float64
	// TargetLatency is the time within which the caller should receive the response.
	TargetLatency time.Duration
	// MedianServiceTime is the median of the known service times of the candidates.
	MedianServiceTime time.Duration
}

// Reason says why an endpoint was chosen.
type Reason string

// Reasons for a choice. ReasonBest is a random choice that favours low costs and free slots, so the chosen endpoint is not
// always the one with the lowest cost. ReasonExplore is a probe. ReasonNone means that all candidates have been tried.
const (
	ReasonBest    Reason = "lowest-cost"
	ReasonExplore Reason = "explore"
	// ReasonFirst is the choice of a new endpoint for a request that may run only once.
	ReasonFirst Reason = "first-request"
	ReasonNone  Reason = "no-candidate"
)

const (
	// The cost of a failed request, in the unit of Request.costUnit: high if the request may run only once, because it is then
	// lost, and low if it can be repeated.
	singleRunFailCost  = 4.0
	repeatableFailCost = 0.6
	// The cost of an endpoint in another zone, in the same unit. Traffic between zones is charged by the byte.
	otherZoneCost      = 0.1
	largeOtherZoneCost = 0.5
	// costSpread is the cost difference, in the same unit, that makes a choice less likely by the factor e.
	costSpread = 0.05
	// minUnitServiceTimes is the smallest unit of costs, in median service times.
	minUnitServiceTimes = 4
	// minFreeSlots is the number of free slots that an endpoint without free slots is weighted with.
	minFreeSlots = 0.2
	// unreliableFrom is the probability of failing from which the free slots of an endpoint are not counted.
	unreliableFrom = 0.3
	// An endpoint at which no request has begun recently is probed probesPerSecond times per second by all nodes together, so that an
	// endpoint that has recovered receives requests again within about two seconds. While the retry budget is low, the rate is
	// lower for endpoints whose probability of failing is above failingAbove, see lowBudgetProbeShare. Probes begin when the
	// latest start is older than probeIdleAfter. An endpoint above failingAbove is probed only after probeFailingAfter, the
	// shortest time within which it may have recovered.
	probeIdleAfter    = 700 * time.Millisecond
	probeFailingAfter = 1200 * time.Millisecond
	failingAbove      = 0.6
	probesPerSecond   = 3.0
	// firstPerSecond is the number of requests per second that all nodes together send to a new endpoint of a service whose
	// requests may all run only once, until the first of them has ended. Without them it would stay unknown: the chance that a
	// new endpoint fails is higher than that of one which works.
	firstPerSecond = 3.0
	// lowBudgetProbeShare is the share of the probes of failing endpoints that is sent while the retry budget is low.
	lowBudgetProbeShare = 0.5
	// An endpoint at which nothing has begun for overdueAfter is probed overduePerSecond times per second, whatever is left of
	// the budget, so that hardly any remains without a request for two seconds.
	overdueAfter     = 1700 * time.Millisecond
	overduePerSecond = 6.0
	// probeMaxPathFail is the highest probability of a failing path at which an endpoint is probed. Above it, a failure
	// would not show whether the endpoint or the path failed.
	probeMaxPathFail = 0.3
	// defaultServiceTime is assumed while no candidate has a known service time.
	defaultServiceTime = 150 * time.Millisecond
	// defaultTargetLatency is used for routes without a target latency.
	defaultTargetLatency = time.Second
)

// Choose returns the index of the chosen candidate and the reason for the choice, or -1 and ReasonNone if all candidates
// have been tried.
func Choose(rng *rand.Rand, r Request, candidates []Candidate) (int, Reason) {
	if r.TargetLatency <= 0 {
		r.TargetLatency = defaultTargetLatency
	}
	if r.Repeatable && r.MayExplore {
		if n := explore(rng, r, candidates); n >= 0 {
			return n, ReasonExplore
		}
	}
	if n := first(rng, r, candidates); n >= 0 {
		return n, ReasonFirst
	}
	return best(rng, r, candidates)
}

// first returns the index of a new candidate to which a request that may run only once is sent so that its condition becomes
// known, or -1.
func first(rng *rand.Rand, r Request, candidates []Candidate) int {
	if r.SingleRunPerSecond <= 0 {
		return -1
	}
	chosen, count := -1, 0
	for n := range candidates {
		c := &candidates[n]
		if !c.New || c.Tried || c.SentSinceReport > 0 || c.freeSlots() < 1 || c.failProbability() >= unreliableFrom {
			continue
		}
		if count++; rng.IntN(count) == 0 {
			chosen = n
		}
	}
	if rng.Float64()*r.SingleRunPerSecond >= firstPerSecond*float64(count) {
		return -1
	}
	return chosen
}

// MedianServiceTime returns the median of the service times that are known, or the default if none is.
func MedianServiceTime(candidates []Candidate) time.Duration {
	times := make([]time.Duration, 0, len(candidates))
	for n := range candidates {
		if candidates[n].ServiceTime > 0 {
			times = append(times, candidates[n].ServiceTime)
		}
	}
	if len(times) == 0 {
		return defaultServiceTime
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// best chooses a random untried candidate. The probability of a choice is proportional to the free slots of the candidate
// and falls exponentially with its cost.
func best(rng *rand.Rand, r Request, candidates []Candidate) (int, Reason) {
	lowest := math.Inf(1)
	costs := make([]float64, len(candidates))
	// Endpoints whose limit is about 0 are left to probes as long as there are others, and requests that can probe.
	reserved := r.SingleRunPerSecond <= 0 && slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Tried && !c.onlyProbes() })
	excluded := func(c *Candidate) bool { return c.Tried || reserved && c.onlyProbes() }
	for n := range candidates {
		costs[n] = Cost(r, &candidates[n])
	}
	excluded = r.keepToSide(rng, candidates, excluded)
	for n := range candidates {
		if !excluded(&candidates[n]) {
			lowest = min(lowest, costs[n])
		}
	}
	scale := costSpread * r.costUnit()
	total, chosen := 0.0, -1
	for n := range candidates {
		if excluded(&candidates[n]) {
			continue
		}
		weight := max(candidates[n].freeSlots(), minFreeSlots) * math.Exp(-(costs[n]-lowest)/scale)
		total += weight
		if rng.Float64()*total < weight {
			chosen = n
		}
	}
	if chosen < 0 {
		return -1, ReasonNone
	}
	return chosen, ReasonBest
}

// explore returns the index of a candidate to probe with the request, or -1. Candidates at which no request has begun recently
// are chosen in proportion to their probe rates. A failed probe uses up retry budget, so only the share of the repeatable
// requests that yields these probe rates is used for probes.
func explore(rng *rand.Rand, r Request, candidates []Candidate) int {
	due, rate := -1, 0.0
	for n := range candidates {
		c := &candidates[n]
		if c.Tried || c.SentSinceReport > 0 || c.freeSlots() < 1 || c.PathFailProbability > probeMaxPathFail || (r.Large && c.OtherZone) {
			continue
		}
		if probes := c.probeRate(r); probes > 0 {
			if rate += probes; rng.Float64()*rate < probes {
				due = n
			}
		}
	}
	if rng.Float64()*r.RepeatablePerSecond >= rate {
		return -1
	}
	return due
}

// probeRate returns the number of probes per second that all nodes together should send to the candidate.
func (c *Candidate) probeRate(r Request) float64 {
	switch {
	case c.SinceStart >= overdueAfter:
		return overduePerSecond
	case c.FailProbability <= failingAbove && c.SinceStart >= probeIdleAfter:
		return probesPerSecond
	case c.FailProbability > failingAbove && c.SinceStart >= probeFailingAfter && r.RetryBudgetLow:
		return probesPerSecond * lowBudgetProbeShare
	case c.FailProbability > failingAbove && c.SinceStart >= probeFailingAfter:
		return probesPerSecond
	default:
		return 0
	}
}

// Saturated reports whether no untried candidate that is likely to work has a free slot. Requests then wait in the queue
// of the chosen endpoint for as long as their deadline permits, because they would have to wait at another endpoint, too.
func Saturated(candidates []Candidate) bool {
	return FreeSlots(candidates) == 0
}

// FreeSlots returns the number of free slots of the untried candidates that are likely to work.
func FreeSlots(candidates []Candidate) int {
	free := 0
	for n := range candidates {
		if c := &candidates[n]; !c.Tried && c.failProbability() < unreliableFrom {
			free += max(int(c.freeSlots()), 0)
		}
	}
	return free
}

// costUnit returns the unit of the costs that are not times, in seconds: the target latency, but at least
// minUnitServiceTimes service times. With a shorter unit, as for calls whose target latency is close to their service time, a
// failure would cost less than the usual differences between service times.
func (r Request) costUnit() float64 {
	return max(r.TargetLatency, minUnitServiceTimes*r.MedianServiceTime).Seconds()
}

// Cost returns the expected cost of sending the request to the candidate, as a time in seconds.
func Cost(r Request, c *Candidate) float64 {
	unit := r.costUnit()
	failure := singleRunFailCost
	if r.Repeatable {
		failure = repeatableFailCost
	}
	fails := c.failProbability()
	service := c.ServiceTime.Seconds()
	if service == 0 {
		service = r.MedianServiceTime.Seconds()
	}
	// A failed request is charged at least the median service time, which its next attempt needs, so that an endpoint gains
	// no advantage by failing fast.
	cost := fails*failure*unit + service + fails*max(r.MedianServiceTime.Seconds()-service, 0) + c.RoundTrip.Seconds()
	if free := c.idleSlots(); free < 1 {
		cost += (1 - free) / float64(max(c.Slots, 1)) * service
	}
	return cost + c.Wait().Seconds() + r.trafficCost(c)
}

// failProbability returns the probability that the path to the candidate or the candidate itself fails a request.
func (c *Candidate) failProbability() float64 {
	return 1 - (1-c.FailProbability)*(1-c.PathFailProbability)
}

// idleSlots returns the number of idle slots. It is negative if more requests run, wait or were sent since the report than
// there are slots.
func (c *Candidate) idleSlots() float64 {
	return float64(c.Slots - c.Busy - c.Queued - c.SentSinceReport)
}

// freeSlots returns the number of requests that the endpoint can start now: the number of idle slots, or less if it limits the
// rate of its requests.
func (c *Candidate) freeSlots() float64 {
	if c.Limited {
		return min(c.idleSlots(), c.Credit-float64(c.SentSinceReport))
	}
	return c.idleSlots()
}

// Wait returns the time until the endpoint's limit on the rate allows another request.
func (c *Candidate) Wait() time.Duration {
	if !c.Limited {
		return 0
	}
	return pacing.Wait(c.Limit, c.Credit-float64(c.SentSinceReport), 0)
}

// Room returns the least time until the limit of an untried candidate allows another request, and 0 if one has none or if all
// have been tried.
func Room(candidates []Candidate) time.Duration {
	room := time.Duration(-1)
	for n := range candidates {
		if c := &candidates[n]; !c.Tried && (room < 0 || c.Wait() < room) {
			room = c.Wait()
		}
	}
	return max(room, 0)
}

// onlyProbes reports whether the endpoint gets requests only so that the end of its limit is noticed.
func (c *Candidate) onlyProbes() bool {
	return c.Limited && pacing.BelowMinimum(c.Limit)
}
