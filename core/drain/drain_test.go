package drain_test

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/drain"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const host = "h1"

// Guards against a host that keeps receiving work because two of the three sources still report it as live, and against
// a report that names a later source than the first.
func TestEarliestSourceWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := drain.NewTracker()
		first := drain.SourceNone
		var since time.Duration
		sequence := uint64(1)
		tracker.ObserveHost(host, 1, sequence, false, 0)
		for i := range rapid.IntRange(1, 20).Draw(t, "reports") {
			now := time.Duration(i) * time.Second
			source := rapid.SampledFrom([]drain.Source{drain.SourceConfig, drain.SourceHostList, drain.SourceHost}).
				Draw(t, "source")
			// Live reports of the other sources, including older ones of the host, never return the host.
			leaving := rapid.Bool().Draw(t, "leaving")
			switch source {
			case drain.SourceConfig:
				leaving = true
				tracker.ObserveConfig(host, true, now)
			case drain.SourceHostList:
				tracker.ObserveList(host, leaving, now)
			case drain.SourceHost:
				if leaving {
					sequence++
				}
				tracker.ObserveHost(host, 1, sequence, leaving, now)
			}
			if leaving && first == drain.SourceNone {
				first, since = source, now
			}
			got := tracker.State(host)
			if got.Leaving != (first != drain.SourceNone) || got.Source != first || got.Since != since {
				t.Fatalf("%+v, but %v reported it at %v", got, first, since)
			}
		}
	})
}

// report is a report of a host about itself.
type report struct {
	incarnation, sequence uint64
	leaving               bool
}

// Guards against states that depend on the order in which the reports of a host arrive: an old "leaving" must not hold
// down a new incarnation, and an old "live" must not raise a leaving one.
func TestLatestReportOfTheHostCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []report
		last := report{}
		for incarnation := uint64(1); incarnation <= uint64(rapid.IntRange(1, 4).Draw(t, "incarnations")); incarnation++ {
			last = report{incarnation, 1, false}
			history = append(history, last)
			if rapid.Bool().Draw(t, "leaves") {
				last = report{incarnation, 2, true}
				history = append(history, last)
			}
		}
		repeated := append(history, rapid.SliceOfN(rapid.SampledFrom(history), 0, 5).Draw(t, "repeated")...)
		tracker := drain.NewTracker()
		for _, r := range rapid.Permutation(repeated).Draw(t, "order") {
			tracker.ObserveHost(host, r.incarnation, r.sequence, r.leaving, 0)
		}
		if got := tracker.State(host); got.Leaving != last.leaving || got.Incarnation != last.incarnation {
			t.Fatalf("%+v after %+v", got, last)
		}
	})
}

// Guards against a host list whose lagging entry takes down a replaced host for good, or whose "live" returns a host
// that has not reported itself.
func TestHostListLags(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := drain.NewTracker()
	tracker.ObserveHost(host, 1, 1, false, 0)
	tracker.ObserveList(host, true, time.Second)
	tracker.ObserveList(host, false, 2*time.Second)
	g.Expect(tracker.Leaving(host)).To(gomega.BeTrue(), "the list alone does not return a host")
	g.Expect(tracker.ObserveHost(host, 2, 1, false, 3*time.Second)).To(gomega.BeTrue())
	g.Expect(tracker.Leaving(host)).To(gomega.BeFalse())
	tracker.ObserveList(host, true, 4*time.Second)
	tracker.ObserveHost(host, 3, 1, false, 5*time.Second)
	tracker.ObserveList(host, true, 6*time.Second)
	g.Expect(tracker.Leaving(host)).To(gomega.BeFalse(), "an entry that did not change is not a report")
}

// Guards against a node that joins while the list lags behind the restart of a host, and holds that host down for good.
func TestHostThatWasUnknownReturnsOnceTheListAgrees(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := drain.NewTracker()
	tracker.ObserveList(host, true, time.Second)
	tracker.ObserveHost(host, 2, 1, false, 2*time.Second)
	g.Expect(tracker.Leaving(host)).To(gomega.BeTrue(), "the first report may be older than the list")
	tracker.ObserveList(host, false, 3*time.Second)
	g.Expect(tracker.Leaving(host)).To(gomega.BeFalse())
}

// Guards against a host that the configuration drains and that a new incarnation returns to rotation.
func TestConfigurationDrainsAcrossIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := drain.NewTracker()
	tracker.ObserveConfig(host, true, time.Second)
	tracker.ObserveHost(host, 2, 1, false, 2*time.Second)
	g.Expect(tracker.State(host)).To(gomega.Equal(drain.State{
		Leaving: true, Source: drain.SourceConfig, Since: time.Second, Incarnation: 2,
	}))
	g.Expect(tracker.ObserveConfig(host, false, 3*time.Second)).To(gomega.BeTrue())
	g.Expect(tracker.Leaving(host)).To(gomega.BeFalse())
	tracker.Retain(func(string) bool { return false })
	g.Expect(tracker.State(host)).To(gomega.Equal(drain.State{}))
}
