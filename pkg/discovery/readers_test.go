package discovery

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fakeReaders is what a node knows of the other readers.
type fakeReaders struct {
	settled        bool
	rank, zoneRank int
	contact        time.Duration
}

func (f fakeReaders) Settled() bool               { return f.settled }
func (f fakeReaders) Rank() int                   { return f.rank }
func (f fakeReaders) ZoneRank() int               { return f.zoneRank }
func (f fakeReaders) StoreContact() time.Duration { return f.contact }

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
			s := &Service{options: Options{Readers: c.readers}}
			gomega.NewWithT(t).Expect(s.shouldRead()).To(gomega.Equal(c.reads))
		})
	}
}
