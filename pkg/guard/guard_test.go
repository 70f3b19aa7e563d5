package guard_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/guard"
)

// Guards against a duty that is gone for good after one unexpected value.
func TestDutyRunsAgainAfterAPanic(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	runs, before := 0, guard.Panics()
	guard.Supervise(context.Background(), slog.New(slog.NewTextHandler(&log, nil)), "reader", func() {
		if runs++; runs < 3 {
			panic("unexpected value")
		}
	})
	g.Expect(runs).To(gomega.Equal(3))
	g.Expect(guard.Panics() - before).To(gomega.BeEquivalentTo(2))
	g.Expect(log.String()).To(gomega.And(gomega.ContainSubstring("duty=reader"), gomega.ContainSubstring("unexpected value"), gomega.ContainSubstring("guard_test.go")))
}

// Guards against a duty that goes on after its node has stopped.
func TestDutyEndsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	runs := 0
	guard.Supervise(ctx, slog.New(slog.DiscardHandler), "reader", func() {
		runs++
		cancel()
		panic("unexpected value")
	})
	g.Expect(runs).To(gomega.Equal(1))
}
