package registry_test

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/registry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func entry(id string, revision uint64) registry.Entry {
	return registry.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 3, StartedAtMS: 1, Revision: revision}
}

func read(revision uint64, entries ...registry.Entry) registry.Snapshot {
	return registry.Snapshot{Revision: revision, Entries: entries}
}

// Guards against news that bring an endpoint back that is gone, or undo its draining, because they arrive late.
func TestOldNewsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var history []registry.Entry
		for revision := uint64(1); revision <= 8; revision++ {
			e := entry("e", revision)
			e.Removed = rapid.Bool().Draw(t, "gone")
			e.Draining = rapid.Bool().Draw(t, "draining")
			history = append(history, e)
		}
		order := rapid.Permutation(history).Draw(t, "order")
		r := registry.New()
		for n, e := range order {
			if n%2 == 0 {
				r.Apply(0, read(e.Revision, e))
			} else {
				r.Merge(0, read(e.Revision, e))
			}
		}
		last := history[len(history)-1]
		view := r.View()
		if last.Removed {
			g.Expect(view.ByID).To(gomega.BeEmpty())
			return
		}
		g.Expect(view.ByID["e"].Draining).To(gomega.Equal(last.Draining))
		g.Expect(view.Leaving("e")).To(gomega.Equal(last.Draining))
	})
}

// Guards against a node that fetches only what has changed and ends up with other endpoints than its peer: with one that
// has left, or without one that has come.
func TestChangesLeadToTheEndpointsOfThePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		source, copied := registry.New(), registry.New()
		now, revision := time.Duration(0), uint64(1)
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			revision++
			switch rapid.SampledFrom([]string{"write", "write", "remove", "read", "away", "back", "sync"}).Draw(t, "step") {
			case "write":
				e := entry(ids.Draw(t, "id"), revision)
				e.Draining = rapid.Bool().Draw(t, "draining")
				source.Apply(now, read(revision, e))
			case "remove":
				e := entry(ids.Draw(t, "id"), revision)
				e.Removed = true
				source.Apply(now, read(revision, e))
			case "read":
				source.Replace(now, read(revision, entry(ids.Draw(t, "id"), revision)))
			case "away":
				source.StoreUnreachable()
			case "back":
				source.StoreReachable(now)
			}
			source.Expire(now)
			if have := copied.Revision(); have > 0 {
				copied.MergeChanges(now, source.ChangesSince(now, have))
			} else {
				copied.Merge(now, source.Snapshot(now))
			}
			g.Expect(copied.Digest()).To(gomega.Equal(source.Digest()))
		}
	})
}

// Guards against endpoints that are taken out because their entries lapsed while the store was away, and against
// endpoints that stay although they did not return.
func TestLapsedEntriesMayReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registry.New()
	r.Replace(0, read(10, entry("returns", 5), entry("dead", 6)))
	r.StoreUnreachable()
	back := 20 * time.Second
	r.StoreReachable(back)
	r.Replace(back+100*time.Millisecond, read(20))
	g.Expect(r.View().ByID).To(gomega.HaveLen(2))
	r.Apply(back+time.Second, read(21, entry("returns", 21)))
	r.Expire(back + 2*time.Second)
	g.Expect(r.View().ByID).To(gomega.HaveLen(2))
	r.Expire(back + 2500*time.Millisecond)
	g.Expect(r.View().ByID).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("returns")))
}

// Guards against a delay for endpoints that leave while the store works.
func TestRemovedEntriesAreGoneAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registry.New()
	r.Replace(0, read(10, entry("e", 5)))
	changes := r.Apply(time.Second, read(11, registry.Entry{ID: "e", Revision: 11, Removed: true}))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(r.View().Leaving("e")).To(gomega.BeTrue())
}

// Guards against nodes that hold different endpoints and do not notice.
func TestDigestTellsDifferencesThatMatter(t *testing.T) {
	g := gomega.NewWithT(t)
	digest := func(e registry.Entry) uint64 {
		r := registry.New()
		r.Replace(0, read(e.Revision, e))
		return r.Digest()
	}
	base := entry("e", 5)
	later, draining, reborn := base, base, base
	later.Revision, later.WarmUp = 9, time.Second
	draining.Draining = true
	reborn.StartedAtMS = 2
	g.Expect(digest(later)).To(gomega.Equal(digest(base)))
	g.Expect(digest(draining)).NotTo(gomega.Equal(digest(base)))
	g.Expect(digest(reborn)).NotTo(gomega.Equal(digest(base)))
}

// Guards against an endpoint that stays listed because the node that tells of newer changes never knew it, and so has no
// record of its removal.
func TestMergeTakesOverRemovalsThatTheOtherNeverSaw(t *testing.T) {
	g := gomega.NewWithT(t)
	newcomer := registry.New()
	newcomer.Replace(0, read(100, entry("stays", 7)))
	r := registry.New()
	r.Replace(0, read(96, entry("stays", 7), entry("removed in 98", 5)))
	r.Merge(0, newcomer.Snapshot(0))
	g.Expect(r.View().ByID).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("stays")))
	g.Expect(r.Digest()).To(gomega.Equal(newcomer.Digest()))
}
