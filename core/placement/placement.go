// Package placement chooses the endpoint that a request is sent to.
//
// It answers two loads. Under gray failures each wrong choice of an endpoint loses a request that may run only once, so
// the probability that an endpoint or the path to it fails weighs most. At the crest of a rush slots are scarce, so
// endpoints with free slots and short service times are preferred, and nodes that decide at the same moment on the same
// reports spread their choices at random.
//
// Requests that may be repeated double as probes: they go to endpoints about which nothing was heard for a while, so
// that requests that may run only once find fresh evidence.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an endpoint as the choosing node knows it.
type Candidate struct {
	// FailProbability is the probability that the endpoint fails a request.
	FailProbability float64
	// PathFailProbability is the probability that the path to the endpoint's host is broken.
	PathFailProbability float64
	Slots               int
	// Busy and Queued are what the endpoint's owner reported, SentSinceReport is what this node sent since then.
	Busy, Queued, SentSinceReport int
	// ServiceTime is the mean time that the endpoint needs for a request, or 0 if it is not known.
	ServiceTime time.Duration
	// SinceOutcome is the time since the latest known outcome of a request at the endpoint.
	SinceOutcome time.Duration
	// RoundTrip is the round-trip time to the endpoint's host.
	RoundTrip time.Duration
	OtherZone bool
	// Tried endpoints have had the request before.
	Tried bool
}

// Request is what the choice needs to know about a request.
type Request struct {
	Repeatable bool
	// Large requests move many bytes, so that they stay in their zone while it has room.
	Large bool
	// MayExplore allows an endpoint that is not the best one, because there is time to make good a failure.
	MayExplore bool
	// RetryBudgetLow is set while little is left of the retry budget, so that a failure will hardly be made good.
	RetryBudgetLow bool
	// RepeatablePerSecond is the number of repeatable requests of the service per second, over all nodes.
	RepeatablePerSecond float64
	// TargetLatency is the time within which the response is worth most.
	TargetLatency time.Duration
	// MedianServiceTime is the usual service time of the candidates.
	MedianServiceTime time.Duration
}

// Reason says why an endpoint was chosen.
type Reason string

// Reasons for a choice.
const (
	ReasonBest    Reason = "lowest-cost"
	ReasonExplore Reason = "explore"
	ReasonNone    Reason = "no-candidate"
)

const (
	// A failed request costs a multiple of its target latency: much where it cannot be repeated, little where it can.
	lostCost   = 4.0
	repeatCost = 0.6
	// Bytes between zones are charged for. The penalties are in units of the target latency.
	otherZoneCost      = 0.1
	largeOtherZoneCost = 0.5
	// spread is the cost difference, in units of the target latency, that makes a choice e times less likely.
	spread = 0.05
	// minFree is the number of free slots that a full endpoint counts with.
	minFree = 0.2
	// doubtful is the probability of failing from which an endpoint's free slots do not count.
	doubtful = 0.3
	// Whatever is left of the retry budget, an endpoint without outcomes is probed at probeRate per second by all nodes
	// together, so that one that has recovered sees requests again within about two seconds. Probes begin after quietAfter,
	// or after failingAfter, the least time in which it may have recovered, if the endpoint fails with a probability above
	// exploreMaxFail.
	quietAfter     = 700 * time.Millisecond
	failingAfter   = 1200 * time.Millisecond
	exploreMaxFail = 0.6
	probeRate      = 3.0
	// scarceShare is the part of the probes of failing endpoints that remains while repeats are scarce.
	scarceShare = 0.5
	// exploreMaxPath is the path probability above which a probe would say nothing about the endpoint.
	exploreMaxPath = 0.3
	// defaultServiceTime is used while no service time is known.
	defaultServiceTime = 150 * time.Millisecond
	// defaultTargetLatency is used for routes without one.
	defaultTargetLatency = time.Second
)

// Choose returns the index of the chosen candidate and the reason, or -1 if there is none that was not tried.
func Choose(rng *rand.Rand, r Request, candidates []Candidate) (int, Reason) {
	if r.TargetLatency <= 0 {
		r.TargetLatency = defaultTargetLatency
	}
	if r.Repeatable && r.MayExplore {
		if n := explore(rng, r, candidates); n >= 0 {
			return n, ReasonExplore
		}
	}
	return best(rng, r, candidates)
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

// best draws a candidate with a likelihood that falls exponentially with its cost.
func best(rng *rand.Rand, r Request, candidates []Candidate) (int, Reason) {
	lowest := math.Inf(1)
	costs := make([]float64, len(candidates))
	for n := range candidates {
		costs[n] = Cost(r, &candidates[n])
		if !candidates[n].Tried {
			lowest = min(lowest, costs[n])
		}
	}
	scale := spread * r.TargetLatency.Seconds()
	total, chosen := 0.0, -1
	for n := range candidates {
		if candidates[n].Tried {
			continue
		}
		weight := max(candidates[n].free(), minFree) * math.Exp(-(costs[n]-lowest)/scale)
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

// explore picks at random one of the endpoints about which nothing was heard lately. Probes cost repeats, so that only as
// many requests are used as are needed to hear of each endpoint now and then.
func explore(rng *rand.Rand, r Request, candidates []Candidate) int {
	due, rate := -1, 0.0
	for n := range candidates {
		c := &candidates[n]
		if c.Tried || c.SentSinceReport > 0 || c.free() < 1 || c.PathFailProbability > exploreMaxPath || (r.Large && c.OtherZone) {
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

// probeRate is the number of probes per second that the candidate should get from all nodes together.
func (c *Candidate) probeRate(r Request) float64 {
	switch {
	case c.FailProbability <= exploreMaxFail && c.SinceOutcome >= quietAfter:
		return probeRate
	case c.FailProbability > exploreMaxFail && c.SinceOutcome >= failingAfter && r.RetryBudgetLow:
		return probeRate * scarceShare
	case c.FailProbability > exploreMaxFail && c.SinceOutcome >= failingAfter:
		return probeRate
	default:
		return 0
	}
}

// Saturated reports whether no endpoint that probably works is known to have a free slot. Requests then wait where they
// are, because going from one full queue to the next gains nothing.
func Saturated(candidates []Candidate) bool {
	for n := range candidates {
		c := &candidates[n]
		if !c.Tried && c.fails() < doubtful && c.free() >= 1 {
			return false
		}
	}
	return true
}

// Cost is the expected time lost by sending the request to the candidate, in seconds.
func Cost(r Request, c *Candidate) float64 {
	target := r.TargetLatency.Seconds()
	failure, zone := lostCost, otherZoneCost
	if r.Repeatable {
		failure = repeatCost
	}
	if r.Large {
		zone = largeOtherZoneCost
	}
	fails := c.fails()
	service := c.ServiceTime.Seconds()
	if service == 0 {
		service = r.MedianServiceTime.Seconds()
	}
	// A request that fails needs the usual time of another endpoint, so that failing fast is no advantage.
	cost := fails*failure*target + service + fails*max(r.MedianServiceTime.Seconds()-service, 0) + c.RoundTrip.Seconds()
	if free := c.free(); free < 1 {
		cost += (1 - free) / float64(max(c.Slots, 1)) * service
	}
	if c.OtherZone {
		cost += zone * target
	}
	return cost
}

// fails is the probability that a request to the candidate is not answered.
func (c *Candidate) fails() float64 {
	return 1 - (1-c.FailProbability)*(1-c.PathFailProbability)
}

func (c *Candidate) free() float64 {
	return float64(c.Slots - c.Busy - c.Queued - c.SentSinceReport)
}
