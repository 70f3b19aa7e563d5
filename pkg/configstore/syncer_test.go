package configstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/platform"
)

// bound is the time within which a version is in force everywhere (P7).
const bound = 17 * time.Second

const fleetSize = 18

func startAll(f *fleet) {
	f.service.publish(values(fleetDocument(1, fleetSize, 0))...)
	for i := range fleetSize {
		f.start(nodeID(i), nodeZone(i))
	}
	time.Sleep(bound)
}

// Guards against a version that does not reach every node within the bound: by pushes, by exchanges when all pushes are
// lost, and past two nodes that hang.
func TestAVersionReachesEveryNode(t *testing.T) {
	cases := map[string]func(*fleet){
		"healthy":         func(*fleet) {},
		"pushes are lost": func(f *fleet) { f.net.lose(configstore.MethodOffer) },
		"two nodes hang":  func(f *fleet) { f.net.cut(nodeID(0), true); f.net.cut(nodeID(1), true) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, f *fleet) {
				g := gomega.NewWithT(t)
				startAll(f)
				g.Expect(f.lagging(1)).To(gomega.BeEmpty())
				fault(f)
				f.service.publish(values(fleetDocument(2, fleetSize, 1))...)
				time.Sleep(bound)
				g.Expect(f.lagging(2)).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against pushes that do not spread a version on their own: without exchanges and with one reader, most nodes
// must have it after the few round trips that the pushes take.
func TestPushesSpreadAVersion(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.quiet = true
		startAll(f)
		f.service.set(func(s *service) { s.down = true })
		time.Sleep(bound)
		_, err := f.nodes[nodeID(0)].store.Offer(configstore.SourceService, values(fleetDocument(2, fleetSize, 1))[0].Data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
		g.Expect(len(f.lagging(2))).To(gomega.BeNumerically("<=", fleetSize/4))
	})
}

// Guards against a zone without readers after its watchers are gone, and against more reads than the service allows
// while it is healthy or down.
func TestReadersAreReplacedAndReadsAreBounded(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		startAll(f)
		const minute = time.Minute
		f.service.resetReads()
		time.Sleep(minute)
		healthy := f.service.resetReads()
		// Three zones with two watches a second, and few take-over reads: an age travels by exchanges, which are random.
		// Without the ages there are 480.
		g.Expect(healthy).To(gomega.BeNumerically("<=", 3*2*60+80))
		f.service.set(func(s *service) { s.down = true })
		time.Sleep(minute)
		f.service.resetReads()
		time.Sleep(minute)
		// Each host attempts at most one read per take-over age of at least 2 s.
		g.Expect(f.service.resetReads()).To(gomega.BeNumerically("<=", fleetSize*30))
		f.service.set(func(s *service) { s.down = false })
		time.Sleep(bound)
		for i := range 12 {
			f.kill(nodeID(i))
		}
		f.net.lose("exchange")
		f.net.lose(configstore.MethodOffer)
		f.service.publish(values(fleetDocument(2, fleetSize, 1))...)
		time.Sleep(bound)
		g.Expect(f.lagging(2)).To(gomega.BeEmpty(), "hosts that are not watchers never read")
	})
}

// Guards against a restarted node that accepts work on the old version of a stale service although a peer has a newer
// one.
func TestJoiningNodeUsesTheHighestAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		startAll(f)
		old, err := f.service.Value(t.Context(), config.DocumentKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f.service.publish(values(fleetDocument(2, fleetSize, 1))...)
		time.Sleep(bound)
		f.service.set(func(s *service) { s.stale = &old })
		f.kill(nodeID(3))
		f.quiet = true
		restarted := f.start(nodeID(3), nodeZone(3), nodeID(4))
		g.Expect(restarted.syncer.WaitReady(t.Context())).To(gomega.Succeed())
		g.Expect(restarted.store.Current().Version().Sequence).To(gomega.Equal(uint64(2)))
		f.kill(nodeID(5))
		withoutSeeds := f.start(nodeID(5), nodeZone(5))
		g.Expect(withoutSeeds.syncer.WaitReady(t.Context())).To(gomega.Succeed())
		g.Expect(withoutSeeds.store.Current().Version().Sequence).To(gomega.Equal(uint64(2)))
		time.Sleep(time.Hour)
		g.Expect(f.lagging(2)).To(gomega.BeEmpty(), "reverted to the stale version")
	})
}

// Guards against a node that is ready without a configuration, and against one that never becomes ready after the
// service has recovered.
func TestNodeIsNotReadyWithoutAnAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.service.set(func(s *service) { s.down = true })
		n := f.start(nodeID(0), nodeZone(0), "absent")
		time.Sleep(time.Hour)
		g.Expect(n.syncer.Ready()).To(gomega.BeFalse())
		f.service.set(func(s *service) { s.down = false })
		f.service.publish(values(fleetDocument(1, 1, 0))...)
		g.Expect(n.syncer.WaitReady(t.Context())).To(gomega.Succeed())
		g.Expect(f.lagging(1)).To(gomega.BeEmpty())
	})
}

// Guards against a node that missed versions and fetches the whole document although deltas suffice, that cannot fetch
// it when they do not, or whose transfer fails for a document larger than one piece.
func TestMissedVersionsAreFetched(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.service.publish(values(fleetDocument(1, 2, 40_000))...)
		ahead, behind := f.start(nodeID(0), nodeZone(0)), f.start(nodeID(1), nodeZone(1))
		time.Sleep(bound)
		g.Expect(f.lagging(1)).To(gomega.BeEmpty(), "the manifest of the service is not followed")
		f.service.set(func(s *service) { s.down = true })
		f.net.cut(nodeID(1), true)
		for sequence := uint64(2); sequence <= 4; sequence++ {
			document := fleetDocument(sequence, 2, 40_000)
			document.Workspaces[sequence].MaxInFlight = int(sequence)
			snapshot, err := config.FromDocument(document)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			ahead.store.OfferSnapshot(configstore.SourceService, snapshot)
		}
		before := f.net.count(configstore.MethodPiece)
		f.net.cut(nodeID(1), false)
		time.Sleep(bound)
		g.Expect(f.lagging(4)).To(gomega.BeEmpty())
		g.Expect(behind.store.Current().Digest()).To(gomega.Equal(ahead.store.Current().Digest()))
		g.Expect(f.net.count(configstore.MethodPiece)).To(gomega.Equal(before), "the whole document was transferred")
		f.start("n02", "z2", nodeID(0))
		time.Sleep(bound)
		g.Expect(f.lagging(4)).To(gomega.BeEmpty())
		g.Expect(f.net.count(configstore.MethodPiece)).To(gomega.BeNumerically(">", before+2))
	})
}

// Guards against a document that is lost because its manifest was seen while a piece was missing.
func TestAMissingPieceIsReadAgain(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.service.publish(values(fleetDocument(1, 1, 0))...)
		f.start(nodeID(0), nodeZone(0))
		time.Sleep(bound)
		all := values(fleetDocument(2, 1, 40_000))
		f.service.publish(all[1:]...)
		time.Sleep(bound)
		g.Expect(f.lagging(1)).To(gomega.BeEmpty())
		f.service.publish(all[0])
		time.Sleep(bound)
		g.Expect(f.lagging(2)).To(gomega.BeEmpty())
	})
}

// Guards against two operators' documents of one version of which neither side learns.
func TestConflictsBetweenPeersRaiseAlarms(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.service.publish(config.Value{Key: config.DocumentKey, Data: document(6, 50)})
		a, b := f.start(nodeID(0), nodeZone(0)), f.start(nodeID(1), nodeZone(1))
		time.Sleep(bound)
		f.service.set(func(s *service) { s.down = true })
		_, err := a.store.Offer(configstore.SourceService, document(7, 50))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = b.store.Offer(configstore.SourceService, document(7, 60))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(bound)
		g.Expect(a.store.Alarms()).To(gomega.HaveLen(1))
		g.Expect(b.store.Alarms()).To(gomega.HaveLen(1))
		g.Expect(a.store.Alarms()[0].Rejected).To(gomega.Equal(b.store.Current().Digest()))
		_, err = a.store.Offer(configstore.SourceService, document(8, 50))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(bound)
		g.Expect(f.lagging(8)).To(gomega.BeEmpty())
		g.Expect(b.store.Alarms()).To(gomega.BeEmpty())
	})
}

// Guards against a node that acts on its configuration after a pause before a peer has confirmed it, that takes a stale
// service for a confirmation, or that never acts again without contact.
func TestPauseRequiresConfirmation(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		g := gomega.NewWithT(t)
		f.quiet = true
		f.service.publish(values(fleetDocument(1, 2, 0))...)
		n := f.start(nodeID(0), nodeZone(0))
		peer := f.start(nodeID(1), nodeZone(1))
		time.Sleep(bound)
		old := platform.Value{Data: values(fleetDocument(1, 2, 0))[0].Data, Revision: 1}
		f.service.set(func(s *service) { s.stale = &old })
		f.net.cut(nodeID(1), true)
		_, err := peer.store.Offer(configstore.SourceService, values(fleetDocument(2, 2, 1))[0].Data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(bound)
		g.Expect(n.syncer.Fresh()).To(gomega.BeTrue())
		n.syncer.NotePause(2 * time.Second)
		time.Sleep(4 * time.Second)
		g.Expect(n.syncer.Fresh()).To(gomega.BeFalse(), "confirmed by the stale service")
		f.net.cut(nodeID(1), false)
		n.syncer.NotePause(2 * time.Second)
		g.Expect(n.syncer.Fresh()).To(gomega.BeFalse())
		time.Sleep(4 * time.Second)
		g.Expect(n.syncer.Fresh()).To(gomega.BeTrue())
		g.Expect(n.store.Current().Version().Sequence).To(gomega.Equal(uint64(2)))
		f.net.cut(nodeID(1), true)
		n.syncer.NotePause(2 * time.Second)
		synctest.Wait()
		g.Expect(n.syncer.Fresh()).To(gomega.BeFalse())
		time.Sleep(6 * time.Second)
		g.Expect(n.syncer.Fresh()).To(gomega.BeTrue(), "a node without contact never acts again")
	})
}
