package membership_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/membership"
)

// Guards against an old incarnation that overrides the state of a newer one.
func TestNewestIncarnationCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	d := membership.NewDirectory("h1")
	d.SetHosts([]membership.Member{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}})
	g.Expect(d.ObserveIncarnation("h2", 5)).To(gomega.BeTrue())
	d.SetLeaving("h2", true)
	g.Expect(d.ObserveIncarnation("h2", 4)).To(gomega.BeFalse())
	g.Expect(d.Live()).To(gomega.Equal([]membership.Member{{ID: "h3"}}))
	g.Expect(d.ObserveIncarnation("h2", 6)).To(gomega.BeTrue())
	g.Expect(d.Live()).To(gomega.HaveLen(2))
	g.Expect(d.NextIncarnation("h2", 3)).To(gomega.BeEquivalentTo(7))
	g.Expect(d.NextIncarnation("h2", 9)).To(gomega.BeEquivalentTo(9))
}

// Guards against exchanges that never leave a zone, or that cause more traffic between zones than intended.
func TestPeersInOtherZonesArePickedOneTimeInFour(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	peers := []membership.Member{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}, {ID: "c", Zone: "z2"}}
	const rounds = 4000
	other := 0
	for range rounds {
		peer, ok := membership.PickPeer(random, "z1", peers)
		g.Expect(ok).To(gomega.BeTrue())
		if peer.Zone != "z1" {
			other++
		}
	}
	g.Expect(other).To(gomega.BeNumerically("~", rounds/4, rounds/20))
	_, ok := membership.PickPeer(random, "z1", nil)
	g.Expect(ok).To(gomega.BeFalse())
	alone, _ := membership.PickPeer(random, "z3", peers[:1])
	g.Expect(alone.ID).To(gomega.Equal("a"))
	g.Expect(membership.PickPeers(random, 4, peers)).To(gomega.ConsistOf(peers))
}
