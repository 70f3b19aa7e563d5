package retrybudget_test

import (
	"cmp"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/retrybudget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var settings = retrybudget.Settings{Ratio: 0.2, Constant: 56, Window: 10 * time.Second}

const step = 50 * time.Millisecond

// fleet is a number of nodes that hear each other's counts every hearEvery.
type fleet struct {
	budgets []*retrybudget.Budget
	heard   []retrybudget.Usage
	groups  []int
	// splitAt is when the groups ceased to hear each other, and known what each node had heard of the others by then.
	splitAt time.Duration
	known   []retrybudget.Usage
}

func newFleet(n int, rng *rand.Rand) *fleet {
	f := &fleet{heard: make([]retrybudget.Usage, n), groups: make([]int, n)}
	for range n {
		f.budgets = append(f.budgets, retrybudget.New(settings, rng))
	}
	return f
}

func (f *fleet) hear(now time.Duration) {
	for n, b := range f.budgets {
		f.heard[n] = b.Usage(now)
	}
}

// allows decides on a repeat of a node by what it has heard.
func (f *fleet) allows(now time.Duration, node int) bool {
	nodes, share := 1, 1/float64(len(f.budgets))
	heard, silent := retrybudget.GroupUsage{Usage: f.budgets[node].Usage(now), Share: share}, retrybudget.GroupUsage{}
	for n, u := range f.heard {
		switch {
		case n == node:
		case f.groups[n] == f.groups[node]:
			heard.Add(u, share)
			nodes++
		default:
			silent.AddUnreachable(f.known[n], share, now-f.splitAt, settings.Window)
		}
	}
	return f.budgets[node].AllowsRetry(now, settings.Remaining(heard, silent), nodes)
}

// Guards against more repeats over the whole fleet than the limit allows, in any window, with nodes that hear each
// other's counts half a second late or not at all, whatever the load.
func TestFleetStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := newFleet(rapid.IntRange(2, 30).Draw(t, "nodes"), rng)
		rate := rapid.Float64Range(0.02, 0.3).Draw(t, "requests per step and node")
		wanted := rapid.Float64Range(0.05, 1).Draw(t, "repeats wanted per request")
		split := rapid.IntRange(0, 400).Draw(t, "partition at")
		var requests, repeats []float64
		credit, want := 0.0, 0.0
		for tick := range 600 {
			now := time.Duration(tick) * step
			if tick%10 == 0 {
				f.hear(now)
			}
			if tick == split {
				f.splitAt, f.known = now, slices.Clone(f.heard)
				for n := range f.groups {
					f.groups[n] = n % 2
				}
			}
			requests, repeats = append(requests, 0), append(repeats, 0)
			for n, b := range f.budgets {
				credit += rate
				for ; credit >= 1; credit-- {
					b.AddRequest(now, true)
					requests[tick]++
					want += wanted
				}
				if want >= 1 && f.allows(now, n) {
					b.AddRetries(now, 1)
					repeats[tick]++
					want--
				}
			}
		}
		window := int(settings.Window / step)
		for end := window; end <= len(repeats); end++ {
			made, asked := sum(repeats[end-window:end]), sum(requests[end-window:end])
			for _, back := range []int{window / 2, window} {
				if end-window-back >= 0 {
					asked = max(asked, sum(requests[end-window-back:end-back]))
				}
			}
			g.Expect(made).To(gomega.BeNumerically("<=", settings.Ratio*asked+settings.Constant))
		}
	})
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// Guards against a node that cannot repeat although the others have not used the budget: an equal part would be two.
func TestOneNodeMaySpendWhatOthersLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(20, rand.New(rand.NewPCG(1, 1)))
	now := time.Second
	for range 10 {
		f.budgets[0].AddRequest(now, true)
	}
	f.hear(now)
	spent := 0
	for tick := range 200 {
		now = time.Second + time.Duration(tick)*step
		if f.allows(now, 0) {
			f.budgets[0].AddRetries(now, 1)
			spent++
		}
	}
	g.Expect(spent).To(gomega.BeNumerically(">", 10))
}

// Guards against repeats that one side of a partition makes although the other had used up the budget just before.
func TestPartitionForgetsNoRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	const nodes, split, end = 10, 4 * time.Second, 9 * time.Second
	f := newFleet(nodes, rand.New(rand.NewPCG(1, 1)))
	for _, b := range f.budgets {
		for range 10 {
			b.AddRequest(time.Second, true)
		}
	}
	spent := 0
	for now := time.Second; now < end; now += step {
		if now%(10*step) == 0 {
			f.hear(now)
		}
		if now == split {
			f.splitAt, f.known = now, slices.Clone(f.heard)
			for n := range f.groups {
				f.groups[n] = n % 2
			}
		}
		for n, b := range f.budgets {
			// One side wants repeats before the partition, the other one after it.
			if (n%2 == 0) == (now >= split) && f.allows(now, n) {
				b.AddRetries(now, 1)
				spent++
			}
		}
	}
	g.Expect(float64(spent)).To(gomega.BeNumerically("<=", settings.Ratio*10*nodes+settings.Constant))
}
