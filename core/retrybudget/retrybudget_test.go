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

// fleet is a number of nodes that report their counts to each other. After a partition, only nodes of the same group still
// receive each other's reports.
type fleet struct {
	budgets []*retrybudget.Budget
	// reported holds the latest counts that each node reported.
	reported []retrybudget.Usage
	groups   []int
	// splitAt is the time of the partition, and beforeSplit holds the counts that were reported until then.
	splitAt     time.Duration
	beforeSplit []retrybudget.Usage
}

func newFleet(n int, rng *rand.Rand) *fleet {
	f := &fleet{reported: make([]retrybudget.Usage, n), groups: make([]int, n)}
	for range n {
		f.budgets = append(f.budgets, retrybudget.New(settings, rng))
	}
	return f
}

// report makes all nodes report their counts.
func (f *fleet) report(now time.Duration) {
	for n, b := range f.budgets {
		f.reported[n] = b.Usage(now)
	}
}

// allows reports whether a node may make a retry, given the reports that it has received.
func (f *fleet) allows(now time.Duration, node int) bool {
	nodes, share := 1, 1/float64(len(f.budgets))
	reachable, unreachable := retrybudget.GroupUsage{Usage: f.budgets[node].Usage(now), Share: share}, retrybudget.GroupUsage{}
	for n, u := range f.reported {
		switch {
		case n == node:
		case f.groups[n] == f.groups[node]:
			reachable.Add(u, share)
			nodes++
		default:
			unreachable.AddUnreachable(f.beforeSplit[n], share, now-f.splitAt, settings.Window)
		}
	}
	return f.budgets[node].AllowsRetries(now, 1, settings.Remaining(reachable, unreachable), nodes)
}

// Guards against more retries in the whole fleet than the limit allows in any window, at any load, although nodes receive
// each other's counts half a second late, or not at all after a partition.
func TestFleetStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := newFleet(rapid.IntRange(2, 30).Draw(t, "nodes"), rng)
		rate := rapid.Float64Range(0.02, 0.3).Draw(t, "requests per step and node")
		wanted := rapid.Float64Range(0.05, 1).Draw(t, "retries wanted per request")
		split := rapid.IntRange(0, 400).Draw(t, "partition at")
		var requests, retries []float64
		credit, want := 0.0, 0.0
		for tick := range 600 {
			now := time.Duration(tick) * step
			if tick%10 == 0 {
				f.report(now)
			}
			if tick == split {
				f.splitAt, f.beforeSplit = now, slices.Clone(f.reported)
				for n := range f.groups {
					f.groups[n] = n % 2
				}
			}
			requests, retries = append(requests, 0), append(retries, 0)
			for n, b := range f.budgets {
				credit += rate
				for ; credit >= 1; credit-- {
					b.AddRequest(now, true)
					requests[tick]++
					want += wanted
				}
				if want >= 1 && f.allows(now, n) {
					b.AddRetries(now, 1)
					retries[tick]++
					want--
				}
			}
		}
		window := int(settings.Window / step)
		for end := window; end <= len(retries); end++ {
			// Retries are decided by the requests that were counted before, so the limit of a window may follow from the requests
			// of a window that ended up to one window length earlier.
			made, asked := sum(retries[end-window:end]), sum(requests[end-window:end])
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

// Guards against a node that is limited to an equal share of the budget, which would be two retries, although the other
// nodes make none.
func TestOneNodeMaySpendWhatOthersLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(20, rand.New(rand.NewPCG(1, 1)))
	now := time.Second
	for range 10 {
		f.budgets[0].AddRequest(now, true)
	}
	f.report(now)
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

// Guards against exceeding the limit during a partition: one side must not make again the retries that the other side made
// just before.
func TestPartitionKeepsRetriesCounted(t *testing.T) {
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
			f.report(now)
		}
		if now == split {
			f.splitAt, f.beforeSplit = now, slices.Clone(f.reported)
			for n := range f.groups {
				f.groups[n] = n % 2
			}
		}
		for n, b := range f.budgets {
			// One side requests retries before the partition, the other one after it.
			if (n%2 == 0) == (now >= split) && f.allows(now, n) {
				b.AddRetries(now, 1)
				spent++
			}
		}
	}
	g.Expect(float64(spent)).To(gomega.BeNumerically("<=", settings.Ratio*10*nodes+settings.Constant))
}
