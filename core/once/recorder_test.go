package once_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/once"
)

// releasedKeysAreFree returns the property that a key is free once all its attempts are released, in whatever order and
// however often their messages arrive.
func releasedKeysAreFree(weak weakness) func(*rapid.T) {
	kinds := []string{"start", "ask", "ask", "vote", "deliver", "repeat", "repeat", "release", "complete"}
	return func(t *rapid.T) {
		s := newSim(3, weak, true)
		for _, step := range actions(kinds).Draw(t, "actions") {
			s.apply(step)
		}
		for _, a := range s.attempts {
			s.release(a)
		}
		for len(s.messages) > 0 {
			s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(t, "next"), false)
		}
		last := s.begin("h0")
		s.run(last, "h0", "h1", "h2")
		if len(last.dispatched) == 0 {
			t.Fatalf("the key stays claimed:\n%s", strings.Join(s.log, "\n"))
		}
	}
}

// Guards against keys that stay claimed by attempts that will never run, because a late or repeated copy of a claim
// arrives after its release.
func TestReleasedKeysAreFree(t *testing.T) {
	rapid.Check(t, releasedKeysAreFree(none))
	failure := &recorderOfFailure{TB: t}
	rapid.Check(failure, releasedKeysAreFree(noReleasedMemory))
	if !failure.failed {
		t.Error("no violation found without " + noReleasedMemory)
	}
}

func newRecorder(member string, capacity int) (*once.Recorder, time.Duration) {
	now := once.Retention(window)
	r := once.NewRecorder(member, 1, 0, capacity)
	r.Configure(once.Group{Generation: 1, Members: []string{"h0", "h1", "h2"}, Window: window}, now)
	return r, now
}

func claim(key, attempt string) once.Claim {
	return once.Claim{Key: once.HashID(key), Attempt: once.HashID(attempt), Generation: 1}
}

// Guards against a table that grows past its capacity, or that forgets a claim to make room for another.
func TestFullTableDeniesAndForgetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 6
		r, now := newRecorder("h0", capacity)
		type grant struct {
			attempt string
			until   time.Duration
		}
		granted := map[string]grant{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(t, "key"))
			held, ok := granted[key]
			ok = ok && now < held.until
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if ok {
					r.Release(once.HashID(key), once.HashID(held.attempt), now)
					delete(granted, key)
				}
			case 1:
				if ok {
					r.Complete(once.HashID(key), once.HashID(held.attempt), 200, now)
				}
			default:
				attempt := fmt.Sprintf("a%d", i)
				if r.Claim(claim(key, attempt), now).Answer != once.Granted {
					continue
				}
				if ok {
					t.Fatalf("%s granted to %s and %s", key, held.attempt, attempt)
				}
				granted[key] = grant{attempt, now + window + once.DispatchLimit}
			}
			if r.Len() > capacity {
				t.Fatalf("%d entries", r.Len())
			}
		}
		// Once all has expired, the whole capacity is available again.
		now += 2 * once.Retention(window)
		for i := range capacity {
			if answer := r.Claim(claim(fmt.Sprintf("n%d", i), "a"), now).Answer; answer != once.Granted {
				t.Fatalf("claim %d after expiry: %v", i, answer)
			}
		}
		if answer := r.Claim(claim("n", "a"), now).Answer; answer != once.Full {
			t.Fatalf("claim above the capacity: %v", answer)
		}
	})
}

// Guards against claims that are lost when a table is transferred in several pages while it changes.
func TestRecoveryReadsAllPagesOfAChangingTable(t *testing.T) {
	g := gomega.NewWithT(t)
	const count = 2*once.PageRecords + 100
	sources := map[string]*once.Recorder{}
	var now time.Duration
	for _, member := range []string{"h1", "h2"} {
		sources[member], now = newRecorder(member, 0)
		for i := range count {
			sources[member].Claim(claim(fmt.Sprintf("k%d", i), fmt.Sprintf("a%d", i)), now)
		}
	}
	reader := once.NewRecorder("h0", 2, now, 0)
	reader.Configure(once.Group{Generation: 1, Members: []string{"h0", "h1", "h2"}, Window: window}, now)
	pages := 0
	for member, request := range reader.BeginRecovery(now) {
		for next := &request; next != nil; pages++ {
			next = reader.Recovered(sources[member].ReadTable(*next, now), now)
			now += 10 * time.Millisecond
			sources[member].Claim(claim(fmt.Sprintf("%s-%d", member, pages), "a"), now)
			sources[member].Release(once.HashID("k0"), once.HashID("a0"), now)
		}
	}
	g.Expect(pages).To(gomega.Equal(6))
	g.Expect(reader.Recovering(now)).To(gomega.BeFalse())
	for i := 1; i < count; i++ {
		g.Expect(reader.Claim(claim(fmt.Sprintf("k%d", i), "b"), now).Answer).To(gomega.Equal(once.Claimed))
	}
}

// Guards against a restarted member whose votes are void because its wall clock was set back.
func TestMemberRaisesItsIncarnationAboveTheKnownOne(t *testing.T) {
	g := gomega.NewWithT(t)
	h1, now := newRecorder("h1", 0)
	h2, _ := newRecorder("h2", 0)
	h1.ReadTable(once.RecoverRequest{Member: "h0", Incarnation: 50}, now)
	h0 := once.NewRecorder("h0", 40, now, 0)
	h0.Configure(h1.Group(), now)
	for range 2 {
		requests := h0.BeginRecovery(now)
		h0.Recovered(h1.ReadTable(requests["h1"], now), now)
		h0.Recovered(h2.ReadTable(requests["h2"], now), now)
	}
	g.Expect(h0.Recovering(now)).To(gomega.BeFalse())
	g.Expect(h0.Incarnation()).To(gomega.BeNumerically(">", 50))
	tally := once.NewTally(h0.Group(), now)
	tally.Add(h1.Claim(claim("k", "a"), now), now)
	g.Expect(tally.Add(h0.Claim(claim("k", "a"), now), now)).To(gomega.Equal(once.Won))
}

// Guards against a duplicate that is told nothing about an attempt whose status is recorded.
func TestDuplicateLearnsTheRecordedStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	h0, now := newRecorder("h0", 0)
	h1, _ := newRecorder("h1", 0)
	h0.Complete(once.HashID("k"), once.HashID("a"), 201, now)
	h1.Claim(claim("k", "a"), now)
	tally := once.NewTally(h0.Group(), now)
	tally.Add(h1.Claim(claim("k", "b"), now), now)
	g.Expect(tally.Add(h0.Claim(claim("k", "b"), now), now)).To(gomega.Equal(once.Lost))
	holder, ok := tally.Holder()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(holder.Completed).To(gomega.BeTrue())
	g.Expect(holder.Status).To(gomega.Equal(201))
}
