package retry

import (
	"cmp"
	"flag"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against retries beyond the initial allowance and the percentage of successes.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Settings{})
		successes, retries := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "events") {
			if success {
				b.RecordSuccess()
				successes++
			} else if b.TryRetry() {
				retries++
			}
			if float64(retries) > DefaultInitialRetries+DefaultPercent*float64(successes)/100+1e-9 {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}

// Guards against resending a request that may have run and must not run twice, and against retries of requests that
// are suspected of crashing backend servers.
func TestEligible(t *testing.T) {
	cases := []struct {
		attempt Attempt
		want    Reason
	}{
		{Attempt{Outcome: outcome.Answered, Repeatable: true, Attempts: 1}, DeniedAnswered},
		{Attempt{Outcome: outcome.Duplicate, Keyed: true, Attempts: 1}, DeniedAnswered},
		{Attempt{Outcome: outcome.Unknown, Attempts: 1}, DeniedMayHaveRun},
		{Attempt{Outcome: outcome.Unknown, Keyed: true, Attempts: 1}, Allowed},
		{Attempt{Outcome: outcome.Unknown, Repeatable: true, Attempts: 1}, Allowed},
		{Attempt{Outcome: outcome.Unknown, Repeatable: true, CrashSuspect: true, Attempts: 1}, DeniedCrashSuspect},
		{Attempt{Outcome: outcome.NotRun, Attempts: 1}, Allowed},
		{Attempt{Outcome: outcome.NotRun, Attempts: DefaultMaxAttempts}, DeniedMaxAttempts},
	}
	for _, c := range cases {
		ok, reason := Decide(c.attempt, New(Settings{}))
		g := gomega.NewWithT(t)
		g.Expect(reason).To(gomega.Equal(c.want), "%+v", c.attempt)
		g.Expect(ok).To(gomega.Equal(c.want == Allowed))
	}
}

// Guards against requests that stay refused because owners that could not be reached used up the budget.
func TestUnreachedOwnersAreNotChargedToTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	spent := New(Settings{})
	for spent.TryRetry() {
	}
	_, reason := Decide(Attempt{Outcome: outcome.NotRun, Attempts: 1}, spent)
	g.Expect(reason).To(gomega.Equal(DeniedBudget))
	_, reason = Decide(Attempt{Outcome: outcome.NotRun, OwnerUnavailable: true, Attempts: 1}, spent)
	g.Expect(reason).To(gomega.Equal(Allowed))
}
