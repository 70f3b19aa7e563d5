package ingress

import (
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/retry"
	"agatepulley.example/agatepulley/pkg/config"
)

// Guards against a new configuration whose settings do not take effect for a service that is already in use. Only the
// second configuration allows a fourth attempt.
func TestViewTakesOverNewSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	i := New(Options{})
	thirdAttempt := retry.Attempt{Outcome: outcome.NotRun, Attempts: 3}
	for _, attempts := range []int{3, 5} {
		document := &config.Document{Services: []config.Service{{Name: "s", Retry: config.RetrySettings{MaxAttempts: attempts}}}}
		i.Update(config.NewSnapshot(document, ""))
		allowed, _ := i.view("s").mayRetry(thirdAttempt)
		g.Expect(allowed).To(gomega.Equal(attempts > 3))
	}
}
