package processes_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/pkg/load"
	"agatepulley.example/agatepulley/standin/backend"
)

// Guards against a verdict that overlooks a broken guarantee, which would make all process-level tests worthless.
func TestVerdictFindsEachViolation(t *testing.T) {
	keyed := &load.Kind{Keyed: true}
	plain := &load.Kind{}
	repeatable := &load.Kind{Repeatable: true}
	cases := map[string]struct {
		result    load.Result
		runs      int
		violation string
	}{
		"answered":              {load.Result{Kind: plain, Category: load.Answered, Status: 200}, 1, ""},
		"answered without run":  {load.Result{Kind: plain, Category: load.Answered, Status: 200}, 0, "did not run"},
		"backend error":         {load.Result{Kind: plain, Category: load.Answered, Status: 500}, 0, ""},
		"not run":               {load.Result{Kind: plain, Category: load.NotRun}, 0, ""},
		"not run, but ran":      {load.Result{Kind: repeatable, Category: load.NotRun, Connections: 1}, 1, "but ran"},
		"not run at 2nd try":    {load.Result{Kind: repeatable, Category: load.NotRun, Connections: 2}, 1, ""},
		"unknown, ran once":     {load.Result{Kind: plain, Category: load.Unknown}, 1, ""},
		"unknown, ran twice":    {load.Result{Kind: plain, Category: load.Unknown}, 2, "run twice"},
		"key ran twice":         {load.Result{Kind: keyed, Key: "k", Category: load.Unknown}, 2, "run twice"},
		"repeatable, ran twice": {load.Result{Kind: repeatable, Category: load.Unknown}, 2, ""},
		"wrong":                 {load.Result{Kind: plain, Category: load.Wrong}, 1, "wrong response"},
	}
	for name, test := range cases {
		g := gomega.NewWithT(t)
		test.result.Token, test.result.Final = "t", true
		var ledger processes.Ledger
		ledger.Observe(test.result)
		runs := backend.NewRuns()
		runs.Tokens["t"] = backend.Run{Started: test.runs}
		runs.Keys["k"] = backend.Run{Started: test.runs}
		runs.StartsMS["k"] = make([]int64, test.runs)
		verdict := ledger.Verdict(runs, time.Second)
		if test.violation == "" {
			g.Expect(verdict.Violations()).To(gomega.BeEmpty(), name)
		} else {
			g.Expect(verdict.Violations()).To(gomega.ContainSubstring(test.violation), name)
		}
	}
}

// Guards against a verdict that overlooks a key that runs again shortly before its claim window ends.
func TestKeysMayRunAgainAfterTheClaimWindowOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	var ledger processes.Ledger
	ledger.Observe(load.Result{Kind: &load.Kind{Keyed: true}, Key: "k", Category: load.Unknown})
	runs := backend.NewRuns()
	runs.Keys["k"] = backend.Run{Started: 3}
	runs.StartsMS["k"] = []int64{21000, 10000, 16000}
	g.Expect(ledger.Verdict(runs, 5*time.Second).RunTwice).To(gomega.BeEmpty())
	runs.StartsMS["k"] = []int64{20999, 10000, 16000}
	g.Expect(ledger.Verdict(runs, 5*time.Second).RunTwice).To(gomega.HaveLen(1))
}

// Guards against a cut that is blamed on a planned stop although a later fault caused it, and one that is overlooked.
func TestInterruptedCountsOnlyTheStop(t *testing.T) {
	g := gomega.NewWithT(t)
	var ledger processes.Ledger
	begin := time.Now()
	ledger.Observe(load.Result{Kind: &load.Kind{}, Category: load.Cut, Latency: time.Second})
	ledger.Observe(load.Result{Kind: &load.Kind{}, Category: load.Unknown, Reason: "deadline", Latency: time.Second})
	ledger.Observe(load.Result{Kind: &load.Kind{}, Category: load.Answered, Latency: time.Second})
	after := begin.Add(time.Hour)
	g.Expect(ledger.Interrupted(begin.Add(-time.Minute), begin, after)).To(gomega.HaveLen(1))
	g.Expect(ledger.Interrupted(begin.Add(-time.Minute), begin, begin)).To(gomega.BeEmpty())
	g.Expect(ledger.Interrupted(after, after, after)).To(gomega.BeEmpty())
	g.Expect(ledger.Interrupted(begin.Add(-time.Hour), begin.Add(-time.Minute), after)).To(gomega.BeEmpty())
}
