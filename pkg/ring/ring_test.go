package ring_test

import (
	"cmp"
	"context"
	"flag"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/ring"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a ring that grows past its capacity, reorders items, or loses items without counting them.
func TestRingMatchesBoundedQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		overflow := rapid.SampledFrom([]ring.Overflow{ring.Refuse, ring.DropOldest}).Draw(t, "overflow")
		r := ring.New[int](capacity, overflow)
		var model []int
		var lost uint64
		for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				r.Push(i)
				model = append(model, i)
				if len(model) <= capacity {
					continue
				}
				lost++
				if overflow == ring.Refuse {
					model = model[:capacity]
				} else {
					model = model[1:]
				}
				continue
			}
			got, ok := r.TryPop()
			g.Expect(ok).To(gomega.Equal(len(model) > 0))
			if ok {
				g.Expect(got).To(gomega.Equal(model[0]))
				model = model[1:]
			}
		}
		g.Expect(r.Len()).To(gomega.Equal(len(model)))
		g.Expect(r.Dropped()).To(gomega.Equal(lost))
	})
}

// Guards against a receiver that misses the wake-up of an item pushed before it waits.
func TestPopReturnsQueuedItemsAndEndsWithContext(t *testing.T) {
	g := gomega.NewWithT(t)
	r := ring.New[int](2, ring.Refuse)
	r.Push(1)
	r.Push(2)
	ctx, cancel := context.WithCancel(context.Background())
	for want := 1; want <= 2; want++ {
		got, err := r.Pop(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want))
	}
	cancel()
	_, err := r.Pop(ctx)
	g.Expect(err).To(gomega.MatchError(context.Canceled))
}
