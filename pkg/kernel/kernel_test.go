package kernel_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/kernel"
)

// waiter is a service whose Stop takes the given time, or until the context ends.
type waiter time.Duration

func (w waiter) Stop(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(w)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w waiter) Start(context.Context) error { return nil }

// Guards against services that fail to stop only because the services stopped before them used up the time limit.
func TestEachServiceGetsTimeToStop(t *testing.T) {
	g := gomega.NewWithT(t)
	k := kernel.New()
	g.Expect(k.Register("quick", waiter(time.Millisecond))).To(gomega.Succeed())
	g.Expect(k.Register("stuck", waiter(time.Hour))).To(gomega.Succeed())
	g.Expect(k.Start(context.Background())).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	g.Expect(k.Stop(ctx)).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("stuck"), gomega.Not(gomega.ContainSubstring("quick")))))
}
