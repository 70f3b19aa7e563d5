package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/placement"
)

func healthy() placement.Candidate {
	return placement.Candidate{
		FailProbability: 0.01, Slots: 3, ServiceTime: 190 * time.Millisecond, SinceStart: 100 * time.Millisecond,
	}
}

// draw chooses an endpoint rounds times and returns how often each candidate was chosen, and last how often none was.
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

// Guards against lost requests under gray failures: a request that may run only once must not be sent to an endpoint that
// is likely to fail while there are others, even if these are busy.
func TestRequestsThatRunOnceAvoidDoubtfulEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	unreliable, busy := healthy(), healthy()
	unreliable.FailProbability = 0.5
	busy.Busy = 3
	counts := draw(unsafe, []placement.Candidate{unreliable, busy}, 1000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 5))
}

// Guards against nodes that send their requests to the same endpoint at peak load, because they choose by the same reports:
// the choices must be spread over the free slots.
func TestEqualEndpointsShareTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := make([]placement.Candidate, 10)
	for n := range candidates {
		candidates[n] = healthy()
	}
	candidates[0].Busy = 3
	counts := draw(unsafe, candidates, 9000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 400))
	for _, count := range counts[1:10] {
		g.Expect(count).To(gomega.BeNumerically("~", 1000, 250))
	}
}

// Guards against an endpoint that attracts requests because it fails them at once: it then has free slots and a short
// service time, but repeatable requests must go to the slower endpoints that work.
func TestFailingFastAttractsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	fast, slow := healthy(), healthy()
	fast.FailProbability, fast.ServiceTime = 0.98, 5*time.Millisecond
	slow.ServiceTime, slow.OtherZone, slow.Busy = 500*time.Millisecond, true, 2
	lookup := placement.Request{Repeatable: true, TargetLatency: 800 * time.Millisecond}
	counts := draw(lookup, []placement.Candidate{fast, slow, slow, slow}, 1000)
	g.Expect(counts[0]).To(gomega.BeNumerically("<", 10))
}

// Guards against an endpoint that is preferred because its service time is not known yet, as after a restart of its node.
func TestUnknownServiceTimeIsNoAdvantage(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := make([]placement.Candidate, 10)
	for n := range candidates {
		candidates[n] = healthy()
		candidates[n].ServiceTime = 800 * time.Millisecond
	}
	candidates[0].ServiceTime = 0
	g.Expect(draw(unsafe, candidates, 10000)[0]).To(gomega.BeNumerically("~", 1000, 250))
}

// Guards against requests that are sent from one full queue to the next when a service has no free slot. Free slots of
// endpoints that are likely to fail, or to which the request was sent before, are not counted.
func TestServiceWithoutFreeSlotsIsSaturated(t *testing.T) {
	g := gomega.NewWithT(t)
	full, failing, tried := healthy(), healthy(), healthy()
	full.Busy = full.Slots
	failing.FailProbability = 0.9
	tried.Tried = true
	g.Expect(placement.Saturated([]placement.Candidate{full, failing, tried})).To(gomega.BeTrue())
	g.Expect(placement.Saturated([]placement.Candidate{full, healthy()})).To(gomega.BeFalse())
}

// probeGaps simulates a minute in which the retry budget is low. Four of eight endpoints have the given probability of
// failing and receive nothing but probes. It returns the share of the time at which one of the four had received no probe
// for two seconds, and the probes per second that each of them received.
func probeGaps(fail float64) (idle, probes float64) {
	rng := rand.New(rand.NewPCG(5, 6))
	const perSecond, seconds, window = 40, 60, 2 * time.Second
	last := make([]time.Duration, 4)
	for n := range perSecond * seconds {
		now := time.Duration(n) * time.Second / perSecond
		candidates := []placement.Candidate{healthy(), healthy(), healthy(), healthy(), healthy(), healthy(), healthy(), healthy()}
		for e := range last {
			candidates[e].FailProbability, candidates[e].SinceStart = fail, now-last[e]
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

// Guards against working endpoints that receive no requests while a third of the endpoints fail and the retry budget is
// used up. At least 70% of the working endpoints must receive requests within each two seconds, which holds if an idle
// endpoint hardly ever lacks a probe for that long, also one that has recovered and still counts as failing. Failing endpoints
// must receive only a few probes.
func TestQuietAndFailingEndpointsAreProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, _ := probeGaps(0.2)
	g.Expect(idle).To(gomega.BeNumerically("<", 0.1))
	idle, probes := probeGaps(0.9)
	g.Expect(idle).To(gomega.BeNumerically("<", 0.02))
	g.Expect(probes).To(gomega.BeNumerically("~", 0.5, 0.12))
}

// Guards against probes by requests that may run only once, and against probes of a failing endpoint before it can have
// recovered. Repeatable requests probe an endpoint at which no request has begun recently.
func TestRepeatableRequestsProbe(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, failing := healthy(), healthy()
	idle.SinceStart, idle.FailProbability = time.Second, 0.1
	failing.SinceStart, failing.FailProbability = time.Second, 0.95
	candidates := []placement.Candidate{healthy(), idle, failing, healthy()}
	probe := placement.Request{Repeatable: true, MayExplore: true, TargetLatency: 800 * time.Millisecond}
	counts := draw(probe, candidates, 1000)
	g.Expect(counts[1]).To(gomega.Equal(1000))
	g.Expect(draw(unsafe, candidates, 1000)[1]).To(gomega.BeNumerically("<", 100))
	candidates[1].SentSinceReport = 1
	counts = draw(probe, candidates, 1000)
	g.Expect(counts[2]).To(gomega.BeNumerically("<", 20))
}

// Guards against new endpoints that get no requests in a service whose requests may all run only once, and against more such
// requests than are needed to learn of their condition.
func TestNewEndpointsGetFirstRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	fresh := placement.Candidate{FailProbability: 0.1, Slots: 3, New: true, SinceStart: time.Minute}
	candidates := []placement.Candidate{healthy(), fresh, healthy(), fresh}
	single := placement.Request{SingleRunPerSecond: 60, TargetLatency: time.Second, MedianServiceTime: placement.MedianServiceTime(candidates)}
	counts := draw(single, candidates, 10000)
	g.Expect(counts[1]).To(gomega.BeNumerically("~", 500, 100))
	g.Expect(counts[3]).To(gomega.BeNumerically("~", 500, 100))
	single.SingleRunPerSecond = 0
	g.Expect(draw(single, candidates, 10000)[1]).To(gomega.BeNumerically("<", 20))
	single.SingleRunPerSecond = 60
	candidates[1].SentSinceReport, candidates[3].FailProbability = 1, 0.9
	counts = draw(single, candidates, 10000)
	g.Expect(counts[1] + counts[3]).To(gomega.BeNumerically("<", 20))
}

// Guards against large downloads between zones, which are charged by the byte, while the own zone has free slots, and
// against downloads that stay in a zone whose endpoints fail.
func TestLargeRequestsStayInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := healthy(), healthy()
	far.OtherZone, far.RoundTrip = true, 8*time.Millisecond
	download := placement.Request{Repeatable: true, Large: true, TargetLatency: 600 * time.Millisecond}
	g.Expect(draw(download, []placement.Candidate{near, far}, 1000)[1]).To(gomega.BeNumerically("<", 5))
	near.FailProbability = 0.98
	g.Expect(draw(download, []placement.Candidate{near, far}, 1000)[1]).To(gomega.BeNumerically(">", 500))
}

// Guards against sending a request to the same endpoint twice.
func TestTriedEndpointsAreNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	tried := healthy()
	tried.Tried = true
	g.Expect(draw(unsafe, []placement.Candidate{tried}, 10)[1]).To(gomega.Equal(10))
}

// limited returns a healthy candidate that limits the rate of its requests.
func limited(limit, credit float64) placement.Candidate {
	c := healthy()
	c.Limited, c.Limit, c.Credit = true, limit, credit
	return c
}

// Guards against requests that are sent to an endpoint whose limit leaves no room while others have some, against a limited
// endpoint that gets nothing although it has room, and against endpoints that keep getting requests at a limit of 0.
func TestLimitedEndpointsGetWhatTheyTake(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := draw(unsafe, []placement.Candidate{limited(1, 0), healthy()}, 1000)
	g.Expect(counts[0]).To(gomega.BeZero())
	counts = draw(unsafe, []placement.Candidate{limited(1, 1), healthy()}, 1000)
	g.Expect(counts[0]).To(gomega.BeNumerically("~", 250, 60))
	sent := limited(1, 1)
	sent.SentSinceReport = 1
	g.Expect(draw(unsafe, []placement.Candidate{sent, healthy()}, 1000)[0]).To(gomega.BeZero())
	g.Expect(draw(unsafe, []placement.Candidate{limited(0, 1), healthy()}, 1000)[0]).To(gomega.BeZero())
	g.Expect(draw(unsafe, []placement.Candidate{limited(0, 1), limited(0, 1)}, 1000)[2]).To(gomega.BeZero())
	probe := placement.Request{Repeatable: true, MayExplore: true, RepeatablePerSecond: 10, TargetLatency: time.Second}
	idle := limited(0, 1)
	idle.SinceStart = 2 * time.Second
	g.Expect(draw(probe, []placement.Candidate{idle, healthy()}, 1000)[0]).To(gomega.BeNumerically(">", 400))
	idle.Credit = 0.5
	g.Expect(draw(probe, []placement.Candidate{idle, healthy()}, 1000)[0]).To(gomega.BeZero())
}

// Guards against a wait that is longer or shorter than that of the endpoint with the least.
func TestRoomIsTheLeastWait(t *testing.T) {
	g := gomega.NewWithT(t)
	tried := limited(10, 0)
	tried.Tried = true
	g.Expect(placement.Room(nil)).To(gomega.BeZero())
	g.Expect(placement.Room([]placement.Candidate{tried})).To(gomega.BeZero())
	g.Expect(placement.Room([]placement.Candidate{limited(1, 0), limited(2, -1), tried})).To(gomega.Equal(time.Second))
	g.Expect(placement.Room([]placement.Candidate{limited(1, 0), healthy()})).To(gomega.BeZero())
}
