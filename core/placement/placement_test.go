package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/placement"
)

func sound() placement.Candidate {
	return placement.Candidate{
		FailProbability: 0.01, Slots: 3, ServiceTime: 190 * time.Millisecond, SinceOutcome: 100 * time.Millisecond,
	}
}

func draw(r placement.Request, candidates []placement.Candidate, rounds int) []int {
	rng := rand.New(rand.NewPCG(3, 4))
	counts := make([]int, len(candidates)+1)
	r.MedianServiceTime = placement.MedianServiceTime(candidates)
	for range rounds {
		n, _ := placement.Choose(rng, r, candidates)
		if n < 0 {
			n = len(candidates)
		}
		counts[n]++
	}
	return counts
}

var unsafe = placement.Request{TargetLatency: 800 * time.Millisecond}

// Plays gray failures: requests that may run only once must not go to endpoints that probably fail while there are
// others, however busy those are.
func TestRequestsThatRunOnceAvoidDoubtfulEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	doubtful, busy := sound(), sound()
	doubtful.FailProbability = 0.5
	busy.Busy = 3
	counts := draw(unsafe, []placement.Candidate{doubtful, busy}, 1000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 5))
}

// Plays the crest of a rush: nodes that decide on the same reports must spread over the free slots.
func TestEqualEndpointsShareTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := make([]placement.Candidate, 10)
	for n := range candidates {
		candidates[n] = sound()
	}
	candidates[0].Busy = 3
	counts := draw(unsafe, candidates, 9000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 400))
	for _, count := range counts[1:10] {
		g.Expect(count).To(gomega.BeNumerically("~", 1000, 250))
	}
}

// Plays an endpoint that fails at once, which makes it look free and fast: short requests that may be repeated must not
// pile up there.
func TestFailingFastAttractsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	fast, slow := sound(), sound()
	fast.FailProbability, fast.ServiceTime = 0.98, 5*time.Millisecond
	slow.ServiceTime, slow.OtherZone, slow.Busy = 500*time.Millisecond, true, 2
	lookup := placement.Request{Repeatable: true, TargetLatency: 800 * time.Millisecond}
	counts := draw(lookup, []placement.Candidate{fast, slow, slow, slow}, 1000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 10))
}

// Plays a node that has just restarted: its endpoint, whose service time is not known, must not look faster than the rest.
func TestUnknownServiceTimeIsNoAdvantage(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := make([]placement.Candidate, 10)
	for n := range candidates {
		candidates[n] = sound()
		candidates[n].ServiceTime = 800 * time.Millisecond
	}
	candidates[0].ServiceTime = 0
	g.Expect(draw(unsafe, candidates, 10000)[0]).To(gomega.BeNumerically("~", 1000, 250))
}

// Plays a service without a free slot: its requests must wait for their turn rather than go from one full queue to the
// next. Free slots of endpoints that probably fail, or that had the request before, are no way out.
func TestServiceWithoutFreeSlotsIsSaturated(t *testing.T) {
	g := gomega.NewWithT(t)
	full, failing, tried := sound(), sound(), sound()
	full.Busy = full.Slots
	failing.FailProbability = 0.9
	tried.Tried = true
	g.Expect(placement.Saturated([]placement.Candidate{full, failing, tried})).To(gomega.BeTrue())
	g.Expect(placement.Saturated([]placement.Candidate{full, sound()})).To(gomega.BeFalse())
}

// probeGaps plays a minute on which repeats are scarce, with four endpoints at a probability of failing beside sound ones.
// It returns the share of two-second windows in which one of the four got nothing, and the probes per second of each.
func probeGaps(fail float64) (idle, probes float64) {
	rng := rand.New(rand.NewPCG(5, 6))
	const perSecond, seconds, window = 40, 60, 2 * time.Second
	last := make([]time.Duration, 4)
	for n := range perSecond * seconds {
		now := time.Duration(n) * time.Second / perSecond
		candidates := []placement.Candidate{sound(), sound(), sound(), sound(), sound(), sound(), sound(), sound()}
		for e := range last {
			candidates[e].FailProbability, candidates[e].SinceOutcome = fail, now-last[e]
			if now-last[e] > window {
				idle++
			}
		}
		r := placement.Request{
			Repeatable: true, MayExplore: true, RetryBudgetLow: true, RepeatablePerSecond: perSecond, TargetLatency: time.Second,
			MedianServiceTime: placement.MedianServiceTime(candidates),
		}
		if chosen, reason := placement.Choose(rng, r, candidates); reason == placement.ReasonExplore {
			last[chosen] = now
			probes++
		}
	}
	samples := float64(perSecond * seconds * len(last))
	return idle / samples, probes / seconds / float64(len(last))
}

// Plays a day on which a third of the endpoints fail and the retry budget is used up. At least 70% of the endpoints that
// work must see requests in each window of two seconds, which holds if hardly any window of a quiet one is empty. Those
// that fail must not take more than a few requests.
func TestQuietAndFailingEndpointsAreProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, _ := probeGaps(0.2)
	g.Expect(idle).To(gomega.BeNumerically("<", 0.1))
	_, probes := probeGaps(0.9)
	g.Expect(probes).To(gomega.BeNumerically("~", 0.5, 0.12))
}

// Plays an endpoint about which nothing was heard: requests that may be repeated probe it, others do not, and a failing
// one is left alone until it may have recovered.
func TestRepeatableRequestsProbe(t *testing.T) {
	g := gomega.NewWithT(t)
	quiet, failing := sound(), sound()
	quiet.SinceOutcome, quiet.FailProbability = time.Second, 0.1
	failing.SinceOutcome, failing.FailProbability = time.Second, 0.95
	candidates := []placement.Candidate{sound(), quiet, failing, sound()}
	probe := placement.Request{Repeatable: true, MayExplore: true, TargetLatency: 800 * time.Millisecond}
	counts := draw(probe, candidates, 1000)
	g.Expect(counts[1]).To(gomega.Equal(1000))
	g.Expect(draw(unsafe, candidates, 1000)[1]).To(gomega.BeNumerically("<", 100))
	candidates[1].SentSinceReport = 1
	counts = draw(probe, candidates, 1000)
	g.Expect(counts[2]).To(gomega.BeNumerically("<", 20))
}

// Plays large downloads, whose bytes between zones are charged for: they stay in their zone while it has room, and leave
// it when its endpoints fail.
func TestLargeRequestsStayInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := sound(), sound()
	far.OtherZone, far.RoundTrip = true, 8*time.Millisecond
	download := placement.Request{Repeatable: true, Large: true, TargetLatency: 600 * time.Millisecond}
	g.Expect(draw(download, []placement.Candidate{near, far}, 1000)[1]).To(gomega.BeNumerically("<", 5))
	near.FailProbability = 0.98
	g.Expect(draw(download, []placement.Candidate{near, far}, 1000)[1]).To(gomega.BeNumerically(">", 500))
}

// Guards against an endpoint that gets the same request twice.
func TestTriedEndpointsAreNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	tried := sound()
	tried.Tried = true
	g.Expect(draw(unsafe, []placement.Candidate{tried}, 10)[1]).To(gomega.Equal(10))
}
