package configstore_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/platform"
)

// event is one step of a fault sequence.
type event struct {
	kind     string
	node     int
	sequence uint64
	variant  int
	pause    time.Duration
}

func drawEvents(t *rapid.T) []event {
	// Publications and partitions are drawn more often, because it takes several to make the nodes differ.
	kinds := []string{"publish", "publish", "publish", "cut", "cut", "cut", "heal node", "stale", "down", "heal service",
		"restart", "pause"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, faultyFleet-1).Draw(t, "node"),
			sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			variant:  rapid.IntRange(0, 1).Draw(t, "variant"),
			pause:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 20).Draw(t, "events")
}

const faultyFleet = 6

// observer notes reversions within the life of a process.
type observer struct {
	mu      sync.Mutex
	reverts []string
}

func (o *observer) watch(id string, store *configstore.Store) {
	store.Subscribe(func(old, new *config.Snapshot) {
		if old == nil || old.Version().Compare(new.Version()) < 0 {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.reverts = append(o.reverts, fmt.Sprintf("%s from %v to %v", id, old.Version(), new.Version()))
	})
}

// apply performs one step. Publishing stands for either of two operators, who do not know of each other's versions.
func (f *fleet) apply(o *observer, e event) {
	id := nodeID(e.node)
	switch e.kind {
	case "publish":
		f.service.publish(values(fleetDocument(e.sequence, faultyFleet, e.variant))...)
	case "stale":
		old := platform.Value{Data: values(fleetDocument(1, faultyFleet, 0))[0].Data, Revision: 1}
		f.service.set(func(s *service) { s.stale = &old })
	case "down":
		f.service.set(func(s *service) { s.down = true })
	case "heal service":
		f.service.set(func(s *service) { s.down, s.stale = false, nil })
	case "cut":
		f.net.isolate(id, true)
	case "heal node":
		f.net.isolate(id, false)
	case "restart":
		f.kill(id)
		o.watch(id, f.start(id, nodeZone(e.node), nodeID((e.node+1)%faultyFleet)).store)
	case "pause":
		f.nodes[id].syncer.NotePause(2 * time.Second)
	}
}

// highest returns the highest version in force at any node or held by the service.
func (f *fleet) highest() config.Version {
	snapshot, err := config.Parse(f.service.values[config.DocumentKey].Data)
	if err != nil {
		panic(err)
	}
	highest := snapshot.Version()
	for _, n := range f.nodes {
		if current := n.store.Current(); current != nil && current.Version().Compare(highest) > 0 {
			highest = current.Version()
		}
	}
	return highest
}

// disagreement returns what is wrong once all faults have ended and the bound has passed.
func (f *fleet) disagreement(want config.Version) string {
	for id, n := range f.nodes {
		current := n.store.Current()
		if current == nil || current.Version() != want {
			return fmt.Sprintf("node %s does not have %v in force", id, want)
		}
		if !n.syncer.Ready() || !n.syncer.Fresh() {
			return fmt.Sprintf("node %s is not ready or not fresh", id)
		}
	}
	return ""
}

// Guards against a version that reverts within the life of a process, and against nodes that do not reach the highest
// version within the bound after the faults have ended, for any sequence of outages and stale answers of the service,
// partitions, restarts, pauses and publications by two operators.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var failure string
		// The verdict leaves the bubble as a value, because rapid stops a check by a panic in its own goroutine.
		synctest.Test(t, func(*testing.T) {
			f := newFleet()
			defer f.stopAll()
			o := new(observer)
			f.service.publish(values(fleetDocument(1, faultyFleet, 0))...)
			for i := range faultyFleet {
				o.watch(nodeID(i), f.start(nodeID(i), nodeZone(i), nodeID((i+1)%faultyFleet)).store)
			}
			time.Sleep(5 * time.Second)
			for _, e := range events {
				f.apply(o, e)
				time.Sleep(e.pause)
			}
			f.service.set(func(s *service) { s.down, s.stale = false, nil })
			for i := range faultyFleet {
				f.net.isolate(nodeID(i), false)
			}
			want := f.highest()
			time.Sleep(bound)
			failure = f.disagreement(want)
			if len(o.reverts) > 0 {
				failure = fmt.Sprint("reverted: ", o.reverts)
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}
