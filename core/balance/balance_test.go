package balance

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against choosing an excluded candidate, choosing none although one is usable, and choosing a last-resort one
// while others have free slots.
func TestChoiceIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "candidates")
		list := make([]Candidate, n)
		usable, free := 0, 0
		for i := range list {
			list[i] = Candidate{
				ID: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: 4,
				Busy:       rapid.IntRange(0, 4).Draw(t, "busy"),
				Weight:     rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "weight"),
				LastResort: rapid.Bool().Draw(t, "last resort"),
			}
			if list[i].Weight > 0 {
				usable++
			}
			if list[i].Weight == 1 && !list[i].LastResort {
				free++
			}
			if !list[i].LastResort {
				list[i].Busy = 0
			}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		i, reason := Choose(rng, Settings{}, list, Request{Zone: "a"})
		if (i >= 0) != (usable > 0) {
			t.Fatalf("chose %d (%s) of %d usable", i, reason, usable)
		}
		if i >= 0 && list[i].Weight == 0 {
			t.Fatalf("chose excluded %d", i)
		}
		if i >= 0 && list[i].LastResort && free == n && n > 0 {
			t.Fatalf("chose last resort %d", i)
		}
	})
}

// Guards against an endpoint of weight 0.1, such as a ramping one, that receives its full share of requests or none.
func TestWeightBoundsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	list := make([]Candidate, 10)
	for i := range list {
		list[i] = Candidate{Zone: "a", Slots: 4, Weight: 1}
	}
	list[0].Weight = 0.1
	hits := 0
	for range 10_000 {
		if i, _ := Choose(rng, Settings{}, list, Request{Zone: "a"}); i == 0 {
			hits++
		}
	}
	g.Expect(hits).To(gomega.And(gomega.BeNumerically(">", 50), gomega.BeNumerically("<", 300)))
}

// Guards against requests to other zones while endpoints in the ingress's zone have free slots, and against none when
// they are overloaded.
func TestZonePreference(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	list := []Candidate{{Zone: "a", Slots: 4, Weight: 1}, {Zone: "b", Slots: 4, Weight: 1}}
	i, _ := Choose(rng, Settings{}, list, Request{Zone: "a"})
	g.Expect(i).To(gomega.Equal(0))
	list[0].Busy = 1
	i, _ = Choose(rng, Settings{}, list, Request{Zone: "a"})
	g.Expect(i).To(gomega.Equal(0))
	list[0].Busy = 4
	i, reason := Choose(rng, Settings{}, list, Request{Zone: "a"})
	g.Expect(i).To(gomega.Equal(1))
	g.Expect(reason).To(gomega.Equal(ReasonRemote))
}

// Guards against preferring an endpoint whose slots are in use by long requests to one that is busy with short ones.
func TestLongRequestsCountAsMissingSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	withLong := Load(Candidate{Slots: 3, Busy: 2, LongBusy: 2})
	withShort := Load(Candidate{Slots: 3, Busy: 1})
	g.Expect(withLong).To(gomega.BeNumerically(">", withShort))
	full := Load(Candidate{Slots: 3, Busy: 3, LongBusy: 3})
	g.Expect(full).To(gomega.BeNumerically(">", withLong))
}

// BenchmarkChooseFrom measures one routing decision by the number of endpoints of the service.
func BenchmarkChooseFrom(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		list := make([]Candidate, n)
		for i := range list {
			list[i] = Candidate{Slots: 4, Busy: i % 5, Weight: 1}
		}
		source := Source{Local: n / 3, Total: n, At: func(i int) Candidate { return list[i] }}
		rng := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprint("sampled/", n), func(b *testing.B) {
			for b.Loop() {
				ChooseFrom(rng, Settings{}, source, Request{})
			}
		})
		b.Run(fmt.Sprint("list/", n), func(b *testing.B) {
			for b.Loop() {
				Choose(rng, Settings{}, list, Request{})
			}
		})
	}
}
