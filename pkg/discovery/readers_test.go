package discovery

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/clock"
)

// fakeReaders is what a node knows of the other readers.
type fakeReaders struct {
	settled        bool
	rank, zoneRank int
	contact        time.Duration
}

func (f fakeReaders) Settled() bool                  { return f.settled }
func (f fakeReaders) Rank() int                      { return f.rank }
func (f fakeReaders) ZoneRank() int                  { return f.zoneRank }
func (f fakeReaders) StoreContactAge() time.Duration { return f.contact }

// Guards against calls to the store that grow with the zones and nodes, and against a fleet in which nobody reads because
// the regular readers are gone.
func TestFewNodesReadAndOthersTakeOver(t *testing.T) {
	const inContact, lost = 100 * time.Millisecond, 10 * time.Second
	for _, c := range []struct {
		name    string
		readers fakeReaders
		reads   bool
	}{
		{"first node of the first zone", fakeReaders{settled: true}, true},
		{"first node of the second zone", fakeReaders{settled: true, zoneRank: 1}, true},
		{"first node of the fourth zone", fakeReaders{settled: true, zoneRank: 3, contact: inContact}, false},
		{"second node of the first zone", fakeReaders{settled: true, rank: 1, contact: inContact}, false},
		{"first node of the fourth zone, no reader left", fakeReaders{settled: true, zoneRank: 3, contact: lost}, true},
		{"second node, no reader left", fakeReaders{settled: true, rank: 1, contact: lost}, true},
		{"second node, its turn has not come", fakeReaders{settled: true, rank: 1, contact: takeoverAfter + takeoverStagger/2}, false},
		{"node that has just started", fakeReaders{contact: lost}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Service{options: Options{Readers: c.readers, Clock: clock.NewMonotonic()}}
			gomega.NewWithT(t).Expect(s.shouldRead()).To(gomega.Equal(c.reads))
		})
	}
}

// echo is a fleet that repeats the contact of one node, as it was told of it by that node's latest report.
type echo struct {
	fakeReaders
	now    *time.Duration
	told   time.Duration
	toldAt time.Duration
}

func (e *echo) StoreContactAge() time.Duration { return e.told + *e.now - e.toldAt }

func (e *echo) report(age time.Duration) { e.told, e.toldAt = age, *e.now }

type steppedClock struct{ now *time.Duration }

func (c steppedClock) Now() time.Duration { return *c.now }

// Guards against changes that are learned seconds late while the store turns the regular readers away: the node that has
// taken over paused after each watch, as long as the others repeated its own contact.
func TestTakeoverReadsOnWithoutPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	const step, reportEvery, end = 20 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second
	now := time.Minute
	// Nobody has been in contact for long when the simulation begins.
	others := &echo{fakeReaders: fakeReaders{settled: true, rank: 1}, now: &now, told: time.Hour, toldAt: now}
	s := &Service{options: Options{Readers: others, Clock: steppedClock{&now}}}
	var watchEnds, unread, longest time.Duration
	var endWatch func()
	for begin := now; now < begin+end; now += step {
		if endWatch != nil && now >= watchEnds {
			endWatch()
			endWatch = nil
			s.contact.answered(now)
		}
		if endWatch == nil && s.shouldRead() {
			endWatch, watchEnds = s.contact.watch(stepEndpoint, now), now+watchWait
		}
		if unread += step; endWatch != nil {
			unread = 0
		}
		longest = max(longest, unread)
		if now%reportEvery == 0 {
			if age := s.contact.age(now); age >= 0 {
				others.report(age)
			}
		}
	}
	g.Expect(longest).To(gomega.BeNumerically("<=", 2*step))
}

// Guards against a node that counts as in contact with the store although it does not ask it any more: for that time nobody
// takes over.
func TestContactAgesWithoutAWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	var c contact
	end := c.watch(stepEndpoint, now)
	c.answered(now)
	now += watchWait
	g.Expect(c.age(now)).To(gomega.BeZero())
	end()
	g.Expect(c.age(now)).To(gomega.Equal(watchWait))
	c.watch(stepEndpoint, now)
	now += watchWait + 2*watchSlack
	g.Expect(c.age(now)).To(gomega.BeNumerically(">", watchWait), "the watch should have ended")
}
