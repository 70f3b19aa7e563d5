package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/placement"
)

// simulatedEndpoint is an endpoint with a queue in virtual time. While it fails, it resets most requests at once.
type simulatedEndpoint struct {
	service time.Duration
	failing bool
	zone    string
	// ends holds the times at which its running and queued requests end.
	ends      []time.Duration
	filter    faultfilter.Filter
	lastStart time.Duration
	// reported is what nodes know of it.
	reported placement.Candidate
}

const (
	simulatedSlots = 3
	// simulatedReset is the share of its requests that a failing endpoint resets.
	simulatedReset = 0.85
	reportPeriod   = 300 * time.Millisecond
)

// load returns the numbers of running and of queued requests.
func (e *simulatedEndpoint) load(now time.Duration) (busy, queued int) {
	e.ends = slices.DeleteFunc(e.ends, func(end time.Duration) bool { return end <= now })
	busy = min(len(e.ends), simulatedSlots)
	return busy, len(e.ends) - busy
}

// report updates what nodes know.
func (e *simulatedEndpoint) report(now time.Duration) {
	busy, queued := e.load(now)
	e.reported = placement.Candidate{
		FailProbability: e.filter.Probability(now), Slots: simulatedSlots, Busy: busy, Queued: queued, ServiceTime: e.service,
		SinceStart: now - e.lastStart,
	}
}

// run takes a request and returns when it ends and whether it succeeds.
func (e *simulatedEndpoint) run(now time.Duration, rng *rand.Rand) (end time.Duration, ok bool) {
	e.reported.SentSinceReport++
	if e.failing && rng.Float64() < simulatedReset {
		e.filter.Observe(now, faultfilter.Failure)
		e.lastStart = now
		e.report(now)
		return now, false
	}
	start := now
	if busy, queued := e.load(now); busy == simulatedSlots {
		ends := slices.Sorted(slices.Values(e.ends))
		start = ends[queued]
	}
	end = start + time.Duration(float64(e.service)*(0.6+0.8*rng.Float64()))
	e.ends = append(e.ends, end)
	e.filter.Observe(now, faultfilter.Success)
	e.lastStart = now
	return end, true
}

// playCalls plays a minute of calls with a target latency close to their service time, which run on endpoints of three zones.
// One of four endpoints fails. A tenth of the calls may be repeated. It returns the shares of the calls that failed and that
// took longer than the calling request can wait.
func playCalls(perSecond int, target, limit time.Duration) (failed, late float64) {
	rng := rand.New(rand.NewPCG(7, 8))
	endpoints := []*simulatedEndpoint{
		{service: 60 * time.Millisecond, zone: "a", failing: true}, {service: 90 * time.Millisecond, zone: "a"},
		{service: 110 * time.Millisecond, zone: "b"}, {service: 110 * time.Millisecond, zone: "c"},
	}
	calls, retries := 60*perSecond, 0.0
	nextReport := time.Duration(0)
	for n := range calls {
		now := time.Duration(n) * time.Second / time.Duration(perSecond)
		for ; nextReport <= now; nextReport += reportPeriod {
			for _, e := range endpoints {
				e.report(nextReport)
			}
		}
		retries += 0.1
		from, tried, done := []string{"a", "b", "c"}[n%3], -1, false
		for attempt := 0; attempt < 2 && !done; attempt++ {
			candidates := make([]placement.Candidate, len(endpoints))
			for i, e := range endpoints {
				candidates[i] = e.reported
				candidates[i].Tried, candidates[i].OtherZone = i == tried, e.zone != from
				if candidates[i].OtherZone {
					candidates[i].RoundTrip = 8 * time.Millisecond
				}
			}
			r := placement.Request{
				Repeatable: true, MayExplore: attempt == 0, RepeatablePerSecond: float64(perSecond), TargetLatency: target,
				MedianServiceTime: placement.MedianServiceTime(candidates),
			}
			tried, _ = placement.Choose(rng, r, candidates)
			end, ok := endpoints[tried].run(now, rng)
			switch {
			case ok:
				done = true
				if end-now > limit {
					late++
				}
			case attempt == 1 || retries < 1:
				done = true
				failed++
			default:
				retries--
			}
		}
	}
	return failed / float64(calls), late / float64(calls)
}

// Guards against calls that fail because they are sent to an endpoint that is known to fail: their target latency is close to
// their service time, so that a failure seemed to cost less than a few milliseconds of waiting. The load is that of calls
// which endpoints make for their callers, at two thirds of what the working endpoints can serve, with few retries left.
func TestCallsAvoidFailingEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	failed, late := playCalls(60, 150*time.Millisecond, 500*time.Millisecond)
	g.Expect(failed).To(gomega.BeNumerically("<", 0.03))
	g.Expect(late).To(gomega.BeNumerically("<", 0.02))
}
