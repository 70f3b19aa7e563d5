package registry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/registry"
)

// copiedStore is a store that comes back from older copies.
type copiedStore struct {
	era, revision uint64
	items, copied map[string]registry.Entry
	copiedAt      uint64
}

func (s *copiedStore) write(e registry.Entry) registry.Entry {
	s.revision++
	e.Revision = registry.Position(s.era, s.revision)
	if e.Removed {
		delete(s.items, e.ID)
	} else {
		s.items[e.ID] = e
	}
	return e
}

func (s *copiedStore) copy() {
	s.copied, s.copiedAt = make(map[string]registry.Entry), s.revision
	for id, e := range s.items {
		s.copied[id] = e
	}
}

func (s *copiedStore) restore() {
	s.era, s.revision, s.items = s.era+1, s.copiedAt, make(map[string]registry.Entry)
	for id, e := range s.copied {
		s.items[id] = e
	}
}

func (s *copiedStore) read() registry.Snapshot {
	snapshot := registry.Snapshot{Revision: registry.Position(s.era, s.revision)}
	for _, e := range s.items {
		e.Revision = registry.Position(s.era, registry.RevisionOf(e.Revision))
		snapshot.Entries = append(snapshot.Entries, e)
	}
	return snapshot
}

// Guards against requests to endpoints that left before the store came back from an older copy, against endpoints that are dropped
// because the copy lacks them, and against nodes that differ for good after it, whichever of them read the store and which heard
// from others.
func TestStoreThatComesBackOlderChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		store := &copiedStore{items: make(map[string]registry.Entry)}
		// truth is what the endpoints say of themselves.
		truth := make(map[string]registry.Entry)
		reader, listener := registry.New(heartbeat), registry.New(heartbeat)
		now := time.Minute
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		share := func() {
			if rapid.Bool().Draw(t, "changes only") && listener.Revision() > 0 {
				listener.MergeChanges(now, reader.ChangesSince(now, listener.Revision()))
				if listener.Digest() == reader.Digest() {
					return
				}
			}
			listener.Merge(now, reader.Snapshot(now))
		}
		write := func(e registry.Entry) {
			truth[e.ID] = e
			reader.Apply(now, read(registry.Position(store.era, store.revision+1), store.write(e)))
		}
		for round := range rapid.IntRange(1, 3).Draw(t, "drills") {
			reader.Replace(now, store.read())
			for range rapid.IntRange(0, 12).Draw(t, "writes") {
				if rapid.Bool().Draw(t, "copy") || store.copied == nil {
					store.copy()
				}
				e := entry(ids.Draw(t, "id"), 0)
				e.StartedAtMS = int64(1 + round)
				if before, known := truth[e.ID]; known && (before.Removed || before.Draining) && before.StartedAtMS == e.StartedAtMS {
					// An endpoint that has begun to leave does not come back as the same process.
					e.Draining, e.Removed = true, before.Removed || rapid.Bool().Draw(t, "gone")
				} else {
					e.Draining = rapid.Bool().Draw(t, "draining")
				}
				write(e)
				share()
			}
			if store.copied == nil {
				continue
			}
			store.restore()
			now += 100 * time.Millisecond
			reader.Replace(now, store.read())
			share()
			for _, r := range []*registry.Registry{reader, listener} {
				view := r.View()
				for id, e := range truth {
					switch known := view.ByID[id]; {
					case e.Removed || e.Draining:
						g.Expect(known == nil || known.Draining).To(gomega.BeTrue(), "%s is used although it has left", id)
					default:
						g.Expect(known).NotTo(gomega.BeNil(), "%s is gone although it lives", id)
					}
				}
			}
			// The endpoints write their entries again, within a heartbeat.
			now += time.Second
			for _, e := range truth {
				write(e)
			}
			share()
			now += 5 * time.Second
			for _, r := range []*registry.Registry{reader, listener} {
				r.Expire(now)
				view := r.View()
				for id, e := range truth {
					known := view.ByID[id]
					g.Expect(known != nil).To(gomega.Equal(!e.Removed), id)
					if known != nil {
						g.Expect(known.Draining).To(gomega.Equal(e.Draining), id)
					}
				}
			}
		}
	})
}
