package pacing_test

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/pacing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// The users' rule: in any window of 4 s an endpoint gets at most one and a half times what its limit allows, and 5 requests more.
const window = 4 * time.Second

func allowed(limit float64) int {
	return int(1.5*limit*window.Seconds()) + 5
}

// Guards, for any arrivals and for nodes that are restarted without credit, against more requests than a limit allows, and
// against requests that wait although the limit has room for them.
func TestLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 20).Draw(t, "limit")
		var p pacing.Pacer
		p.SetLimit(0, limit)
		var starts []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			gap := time.Duration(rapid.IntRange(0, 200).Draw(t, "gap in ms")) * time.Millisecond
			now += gap
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				p = pacing.Pacer{}
				p.SetLimit(now, limit)
			}
			if p.Wait(now, 0) > 0 {
				continue
			}
			p.Start(now)
			starts = append(starts, now)
		}
		for first, last := 0, 0; last < len(starts); last++ {
			for starts[last]-starts[first] > window {
				first++
			}
			if got := last - first + 1; got > allowed(limit) {
				t.Fatalf("%d requests in 4 s at a limit of %v a second, allowed %d", got, limit, allowed(limit))
			}
		}
		if wait := p.Wait(now, 0); wait > 2*time.Second {
			t.Fatalf("the next request waits %v at a limit of %v a second", wait, limit)
		}
	})
}

// Guards against a limit of which a part stays unused although requests wait for it, and against bursts.
func TestLimitIsUsedEvenly(t *testing.T) {
	for _, limit := range []float64{0.6, 1, 2.4, 10, 50} {
		g := gomega.NewWithT(t)
		var p pacing.Pacer
		p.SetLimit(0, limit)
		started := 0
		const seconds = 20
		for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
			if p.Wait(now, 0) == 0 {
				p.Start(now)
				started++
				g.Expect(p.Wait(now, 0)).To(gomega.BeNumerically(">", 0), "a burst at %v a second", limit)
			}
		}
		g.Expect(float64(started)).To(gomega.BeNumerically("~", seconds*limit, 0.1*seconds*limit+1), "%v a second", limit)
	}
}

// Guards against a wait that is shorter or longer than the time after which the request can start.
func TestWaitIsTheTimeUntilTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	var p pacing.Pacer
	g.Expect(p.Wait(0, 100)).To(gomega.BeZero())
	p.SetLimit(0, 2)
	g.Expect(p.Wait(0, 0)).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(p.Wait(0, 3)).To(gomega.Equal(2 * time.Second))
	p.SetLimit(time.Second, 1)
	p.Start(time.Second)
	g.Expect(p.Wait(time.Second, 0)).To(gomega.Equal(time.Second))
	p.Unlimit()
	g.Expect(p.Limited()).To(gomega.BeFalse())
	g.Expect(p.Wait(time.Second, 9)).To(gomega.BeZero())
}
