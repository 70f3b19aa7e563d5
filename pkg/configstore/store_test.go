package configstore_test

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
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
	// The shared compressor keeps channels, which must not be created inside a synctest bubble.
	packed, err := config.Compress([]byte("x"))
	if err != nil {
		panic(err)
	}
	if _, err := config.Decompress(packed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func quiet() *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// document returns a document of two hosts, whose content differs by variant.
func document(sequence uint64, variant int) []byte {
	const text = `{"format":"agatepulley/1","version":{"epoch":1,"sequence":%d},"hosts":[` +
		`{"id":"h1","address":"10.0.0.1","zone":"z1","ingress_port":7000,"hop_port":7001,"peer_port":7002},` +
		`{"id":"h2","address":"10.0.0.2","zone":"z1","ingress_port":7000,"hop_port":7001,"peer_port":7002}],` +
		`"services":[{"name":"desk","floor_percent":%d,"endpoints":[{"id":"d1","host":"h1","slots":3}]}],"routes":[]}`
	return fmt.Appendf(nil, text, sequence, variant)
}

// Guards against a store that puts an older or a conflicting document in force, and against subscribers that miss a
// version or see versions out of order.
func TestStoreKeepsTheHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		store := configstore.New(quiet())
		var seen []*config.Snapshot
		store.Subscribe(func(old, new *config.Snapshot) {
			if len(seen) > 0 {
				g.Expect(old).To(gomega.BeIdenticalTo(seen[len(seen)-1]))
			}
			seen = append(seen, new)
		})
		var highest uint64
		conflicts := 0
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			before := store.Current()
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			variant := rapid.IntRange(0, 2).Draw(t, "variant")
			decision, err := store.Offer(configstore.SourceService, document(sequence, variant))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if sequence > highest {
				highest = sequence
				conflicts = 0
				g.Expect(decision.Verdict).To(gomega.Equal(configstate.Adopt))
			} else {
				g.Expect(store.Current()).To(gomega.BeIdenticalTo(before))
			}
			if decision.Verdict == configstate.Conflict {
				conflicts++
			}
			g.Expect(store.Current().Version().Sequence).To(gomega.Equal(highest))
			g.Expect(len(store.Alarms()) > 0).To(gomega.Equal(conflicts > 0))
		}
		g.Expect(seen[len(seen)-1]).To(gomega.BeIdenticalTo(store.Current()))
	})
}

// Guards against an invalid document that replaces the one in force.
func TestStoreRejectsInvalidDocuments(t *testing.T) {
	g := gomega.NewWithT(t)
	store := configstore.New(quiet())
	_, err := store.Offer(configstore.SourceService, document(1, 70))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = store.Offer(configstore.SourceService, document(2, 170))
	g.Expect(err).To(gomega.MatchError(configstore.ErrInvalid))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("services[0].floor_percent: 170")))
	g.Expect(store.Current().Version().Sequence).To(gomega.Equal(uint64(1)))
}
