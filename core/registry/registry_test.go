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

const heartbeat = 1500 * time.Millisecond

func entry(id string, revision uint64) registry.Entry {
	return registry.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 3, StartedAtMS: 1, Revision: revision}
}

func read(revision uint64, entries ...registry.Entry) registry.Snapshot {
	return registry.Snapshot{Revision: revision, Entries: entries}
}

// Guards against late updates that add a removed endpoint again or undo its draining.
func TestLateUpdatesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var history []registry.Entry
		for revision := uint64(1); revision <= 8; revision++ {
			e := entry("e", revision)
			e.Removed = rapid.Bool().Draw(t, "removed")
			e.Draining = rapid.Bool().Draw(t, "draining")
			history = append(history, e)
		}
		order := rapid.Permutation(history).Draw(t, "order")
		r := registry.New(heartbeat)
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

// Guards against a node that fetches only the changes from a peer and then has other endpoints than the peer, because it
// missed an added or a removed one.
func TestChangesLeadToTheEndpointsOfThePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		source, copied := registry.New(heartbeat), registry.New(heartbeat)
		now, revision := time.Duration(0), uint64(1)
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			revision++
			switch rapid.SampledFrom([]string{"write", "write", "remove", "read", "unreachable", "reachable", "sync"}).Draw(t, "step") {
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
			case "unreachable":
				source.StoreUnreachable(now)
			case "reachable":
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

// Guards against the removal of endpoints whose entries expired while the store was unreachable, and against endpoints
// that are kept although their entries are not written again.
func TestLapsedEntriesMayReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registry.New(heartbeat)
	r.Replace(0, read(10, entry("returns", 5), entry("dead", 6)))
	r.StoreUnreachable(0)
	reachableAt := 20 * time.Second
	r.StoreReachable(reachableAt)
	r.Replace(reachableAt+100*time.Millisecond, read(20))
	g.Expect(r.View().ByID).To(gomega.HaveLen(2))
	r.Apply(reachableAt+time.Second, read(21, entry("returns", 21)))
	r.Expire(reachableAt + 2*time.Second)
	g.Expect(r.View().ByID).To(gomega.HaveLen(2))
	r.Expire(reachableAt + 2500*time.Millisecond)
	g.Expect(r.View().ByID).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("returns")))
}

// Guards against requests to endpoints that have left, for seconds after a connection to the store broke, and for ever if the
// store cuts each waiting call: a time without the store in which no entry can lapse defers no removal.
func TestBrokenConnectionsDeferNoRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		r := registry.New(heartbeat)
		r.Replace(0, read(10, entry("e", 5)))
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "breaks") {
			r.StoreUnreachable(now)
			now += time.Duration(rapid.IntRange(0, 2999).Draw(t, "away ms")) * time.Millisecond
			r.StoreReachable(now)
		}
		if rapid.Bool().Draw(t, "by a read") {
			r.Replace(now, read(11))
		} else {
			r.Apply(now, read(11, registry.Entry{ID: "e", Revision: 11, Removed: true}))
		}
		g.Expect(r.View().Leaving("e")).To(gomega.BeTrue())
	})
}

// Guards against endpoints that are dropped because a call failed again during the time in which lapsed entries may return.
func TestBrokenConnectionKeepsDeferral(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registry.New(heartbeat)
	r.Replace(0, read(10, entry("e", 5)))
	r.StoreUnreachable(0)
	r.StoreReachable(10 * time.Second)
	r.StoreUnreachable(10 * time.Second)
	r.StoreReachable(11 * time.Second)
	r.Replace(11*time.Second, read(20))
	g.Expect(r.View().ByID).To(gomega.HaveKey("e"))
	r.Expire(12500 * time.Millisecond)
	g.Expect(r.View().Leaving("e")).To(gomega.BeTrue())
}

// Guards against deferred removals while the store is reachable.
func TestRemovedEntriesAreGoneAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registry.New(heartbeat)
	r.Replace(0, read(10, entry("e", 5)))
	changes := r.Apply(time.Second, read(11, registry.Entry{ID: "e", Revision: 11, Removed: true}))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(r.View().Leaving("e")).To(gomega.BeTrue())
}

// Guards against nodes that have different endpoints but equal digests, and against exchanges of entries for differences
// that other nodes need not know.
func TestDigestTellsDifferencesThatMatter(t *testing.T) {
	g := gomega.NewWithT(t)
	digest := func(e registry.Entry) uint64 {
		r := registry.New(heartbeat)
		r.Replace(0, read(e.Revision, e))
		return r.Digest()
	}
	base := entry("e", 5)
	later, draining, restarted := base, base, base
	later.Revision, later.WarmUp = 9, time.Second
	draining.Draining = true
	restarted.StartedAtMS = 2
	g.Expect(digest(later)).To(gomega.Equal(digest(base)))
	g.Expect(digest(draining)).NotTo(gomega.Equal(digest(base)))
	g.Expect(digest(restarted)).NotTo(gomega.Equal(digest(base)))
}

// Guards against an endpoint that is kept after its removal, because the peer that sends the newer snapshot never had an
// entry of it and so sends no removal.
func TestMergeTakesOverRemovalsThatTheOtherNeverSaw(t *testing.T) {
	g := gomega.NewWithT(t)
	newcomer := registry.New(heartbeat)
	newcomer.Replace(0, read(100, entry("stays", 7)))
	r := registry.New(heartbeat)
	r.Replace(0, read(96, entry("stays", 7), entry("removed in 98", 5)))
	r.Merge(0, newcomer.Snapshot(0))
	g.Expect(r.View().ByID).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("stays")))
	g.Expect(r.Digest()).To(gomega.Equal(newcomer.Digest()))
}
