package configstate_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/configstate"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	// A replayed failure file would make the verdict depend on earlier runs.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fleet is a model of nodes that learn versions from a service and from each other.
type fleet struct {
	published []configstate.Mark
	// served is the index of the version that the service answers with; it goes back when the service is stale.
	served int
	nodes  []configstate.Mark
}

// publish adds a version by one of two operators, who do not know of each other's last version.
func (f *fleet) publish(t *rapid.T) {
	operator := rapid.IntRange(0, 1).Draw(t, "operator")
	sequence := rapid.Uint64Range(1, uint64(len(f.published))+2).Draw(t, "sequence")
	f.published = append(f.published, configstate.Mark{
		Version: configstate.Version{Epoch: rapid.Uint64Range(1, 2).Draw(t, "epoch"), Sequence: sequence},
		Digest:  fmt.Sprintf("operator-%d-sequence-%d", operator, sequence),
	})
	f.served = len(f.published) - 1
}

func (f *fleet) offer(g *gomega.WithT, node int, offered configstate.Mark) {
	before := f.nodes[node]
	verdict := configstate.Judge(before, offered)
	if verdict == configstate.Adopt {
		f.nodes[node] = offered
	}
	after := f.nodes[node]
	g.Expect(after.Version.Compare(before.Version)).To(gomega.BeNumerically(">=", 0), "reverted to an older version")
	if after.Version == before.Version {
		g.Expect(after.Digest).To(gomega.Equal(before.Digest), "replaced a document by another of the same version")
	}
	g.Expect(after.Version.Compare(offered.Version)).To(gomega.BeNumerically(">=", 0), "ignored a newer version")
	conflict := before.Version == offered.Version && before.Digest != offered.Digest
	g.Expect(verdict == configstate.Conflict).To(gomega.Equal(conflict))
}

// Guards against a node whose configuration goes back to an older version, or is exchanged for a different document of
// the same version, under a stale service, peers, restarts that relearn from peers, and two operators.
func TestVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		f := &fleet{nodes: make([]configstate.Mark, 4)}
		f.publish(t)
		node := rapid.IntRange(0, len(f.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": f.publish,
			"service becomes stale": func(t *rapid.T) {
				f.served = rapid.IntRange(0, len(f.published)-1).Draw(t, "served")
			},
			"read the service": func(t *rapid.T) {
				f.offer(g, node.Draw(t, "reader"), f.published[f.served])
			},
			"learn from a peer": func(t *rapid.T) {
				f.offer(g, node.Draw(t, "learner"), f.nodes[node.Draw(t, "peer")])
			},
			"restart and relearn": func(t *rapid.T) {
				restarted := node.Draw(t, "restarted")
				f.nodes[restarted] = configstate.Mark{}
				f.offer(g, restarted, f.published[f.served])
				for _, peer := range f.nodes {
					f.offer(g, restarted, peer)
				}
				for _, peer := range f.nodes {
					g.Expect(f.nodes[restarted].Version.Compare(peer.Version)).To(gomega.BeNumerically(">=", 0))
				}
			},
		})
	})
}
