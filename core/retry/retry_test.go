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

// Guards against more retries than the initial ones and the percentage of successes allow.
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

// Guards against sending a request again that may have run and must not run twice, and against retries of requests that
// may have crashed a backend server.
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

// Guards against denied retries because earlier retries after attempts at unavailable owners used up the budget.
func TestUnreachedOwnersAreNotChargedToTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	exhausted := New(Settings{})
	for exhausted.TryRetry() {
	}
	_, reason := Decide(Attempt{Outcome: outcome.NotRun, Attempts: 1}, exhausted)
	g.Expect(reason).To(gomega.Equal(DeniedBudget))
	_, reason = Decide(Attempt{Outcome: outcome.NotRun, OwnerUnavailable: true, Attempts: 1}, exhausted)
	g.Expect(reason).To(gomega.Equal(Allowed))
}
