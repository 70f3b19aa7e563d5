package faultfilter_test

import (
	"cmp"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/faultfilter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var outcomes = []faultfilter.Outcome{
	faultfilter.Success, faultfilter.LateFailure, faultfilter.Stalled, faultfilter.Failure,
}

// Guards against an estimate so close to 0 or 1 that contrary outcomes no longer change it.
func TestProbabilityStaysOpenToEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var f faultfilter.Filter
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "outcomes") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			f.Observe(now, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
		}
		before := f.Probability(now)
		g.Expect(before).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 1)))
		good, bad := f, f
		good.Observe(now, faultfilter.Success)
		bad.Observe(now, faultfilter.Failure)
		g.Expect(good.Probability(now)).To(gomega.BeNumerically("<=", before))
		g.Expect(bad.Probability(now)).To(gomega.BeNumerically(">=", before))
	})
}

// Guards against an endpoint that is never used again: after failures no requests are sent to it, so no outcome shows that
// it has recovered.
func TestProbabilityFallsWithoutOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	var f faultfilter.Filter
	for n := range 10 {
		f.Observe(time.Duration(n)*100*time.Millisecond, faultfilter.Failure)
	}
	g.Expect(f.Probability(time.Second)).To(gomega.BeNumerically(">", 0.95))
	g.Expect(f.Probability(time.Minute)).To(gomega.BeNumerically("<", 0.4))
}

// Guards against slow detection and against false alarms. An endpoint receives 6 requests per second and fails 1.2% of them
// while it is healthy. It may be suspect for at most 5% of that time. After it begins to fail 85% of its requests, fewer
// than 2 on average may fail before it is suspect.
func TestDetectsWithinTwoFailuresAndSparesSoundEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		suspectAbove = 0.15
		gap          = time.Second / 6
	)
	rng := rand.New(rand.NewPCG(1, 2))
	suspectSteps, healthySteps, lost, onsets := 0, 0, 0, 0
	for range 400 {
		var f faultfilter.Filter
		now := time.Duration(0)
		for range 60 {
			now += gap
			outcome := faultfilter.Success
			if rng.Float64() < 0.012 {
				outcome = faultfilter.Failure
			}
			f.Observe(now, outcome)
			healthySteps++
			if f.Probability(now) > suspectAbove {
				suspectSteps++
			}
		}
		onsets++
		for f.Probability(now) <= suspectAbove {
			now += gap
			outcome := faultfilter.Success
			if rng.Float64() < 0.85 {
				outcome = faultfilter.Failure
				lost++
			}
			f.Observe(now, outcome)
		}
	}
	g.Expect(float64(lost) / float64(onsets)).To(gomega.BeNumerically("<", 2))
	g.Expect(float64(suspectSteps) / float64(healthySteps)).To(gomega.BeNumerically("<", 0.05))
}
