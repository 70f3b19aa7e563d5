package ingress

import (
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/retry"
	"agatepulley.example/agatepulley/pkg/config"
)

// Guards against settings of a service in use that a new configuration changes without effect.
func TestViewTakesOverNewSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	i := New(Options{})
	third := retry.Attempt{Outcome: outcome.NotRun, Attempts: 3}
	for _, attempts := range []int{3, 5} {
		document := &config.Document{Services: []config.Service{{Name: "s", Retry: config.RetrySettings{MaxAttempts: attempts}}}}
		i.Update(config.NewSnapshot(document, ""))
		allowed, _ := i.view("s").mayRetry(third)
		g.Expect(allowed).To(gomega.Equal(attempts > 3))
	}
}
