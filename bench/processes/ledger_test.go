package processes_test

import (
	"testing"

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
		verdict := ledger.Verdict(runs)
		if test.violation == "" {
			g.Expect(verdict.Violations()).To(gomega.BeEmpty(), name)
		} else {
			g.Expect(verdict.Violations()).To(gomega.ContainSubstring(test.violation), name)
		}
	}
}
