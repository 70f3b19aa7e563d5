package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/config"
)

func load(g *gomega.WithT, document *config.Document) *config.Snapshot {
	snapshot, err := config.FromDocument(document)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return snapshot
}

// Guards against a delta that omits a change or contains a wrong one, so that a node would have a document that differs
// from the published one.
func TestDeltaLeadsToThePublishedDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		from, to := load(g, drawDocument(t)), load(g, drawDocument(t))
		text, err := json.Marshal(config.NewDelta(from, to))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		packed, err := config.Compress(text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		plain, err := config.Decompress(packed)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		delta := new(config.Delta)
		g.Expect(json.Unmarshal(plain, delta)).To(gomega.Succeed())
		got, err := config.Apply(from, delta)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.Digest()).To(gomega.Equal(to.Digest()))
		g.Expect(got.Document()).To(gomega.Equal(to.Document()))
		changes := config.Diff(from.Document(), to.Document())
		g.Expect(len(changes) == 0).To(gomega.Equal(delta.Len() == 0))
	})
}

// Guards against composed deltas that omit a change, restore a removed entry or skip a version.
func TestComposedDeltasLeadToTheLastDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		first := load(g, drawDocument(t))
		last := first
		var deltas []*config.Delta
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			next := load(g, drawDocument(t))
			deltas = append(deltas, config.NewDelta(last, next))
			last = next
		}
		composed, err := config.Compose(deltas)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := config.Apply(first, composed)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.Digest()).To(gomega.Equal(last.Digest()))
		if len(deltas) > 2 && deltas[0].ToDigest != deltas[2].FromDigest {
			_, err = config.Compose([]*config.Delta{deltas[0], deltas[2]})
			g.Expect(err).To(gomega.MatchError(config.ErrDeltaMismatch))
		}
	})
}

// Guards against applying a delta to another base, a delta altered in transit, or one that results in an invalid
// document.
func TestApplyRejectsWrongDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		from, to := load(g, drawDocument(t)), load(g, drawDocument(t))
		delta := config.NewDelta(from, to)
		other := *from.Document()
		other.Version.Sequence += 1000
		_, err := config.Apply(load(g, &other), delta)
		g.Expect(err).To(gomega.MatchError(config.ErrDeltaMismatch))
		altered := *delta
		added := config.Workspace{ID: "w9", MaxInFlight: 9}
		altered.Workspaces.Set = append(slices.Clone(altered.Workspaces.Set), added)
		_, err = config.Apply(from, &altered)
		g.Expect(err).To(gomega.MatchError(config.ErrDeltaMismatch))
		broken := *delta
		broken.Routes.Set = append(broken.Routes.Set, config.Route{ID: "x", PathPrefix: "x"})
		_, err = config.Apply(from, &broken)
		var invalid *config.InvalidError
		g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue())
	})
}

// Guards against a diff that names the wrong entry. Operators read it before they publish.
func TestDiffNamesTheChangedEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	old, err := config.Decode([]byte(sample))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	new, err := config.Decode([]byte(sample))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(config.Diff(old, new)).To(gomega.BeEmpty())
	new.Services[0].Endpoints[0].Draining = true
	new.Services[0].Endpoints = append(new.Services[0].Endpoints, config.Endpoint{ID: "order-0", Host: "h1", Slots: 1})
	new.Routes = nil
	new.Hosts[0].Draining = true
	new.Services[0].FloorPercent = 60
	var got []string
	for _, change := range config.Diff(old, new) {
		got = append(got, fmt.Sprint(change.Kind, " ", change.Action, " ", change.ID, " ", change.Service))
	}
	g.Expect(got).To(gomega.Equal([]string{
		"host changed h1 ", "service changed order-desk ", "endpoint added order-0 order-desk", "endpoint changed order-1 order-desk",
		"route removed charge ",
	}))
}

func largeDocument(sequence uint64, workspaces int) *config.Document {
	document := &config.Document{Format: config.Format, Version: config.Version{Epoch: 1, Sequence: sequence}}
	for i := range workspaces {
		workspace := config.Workspace{ID: fmt.Sprintf("workspace-%06d", i), MaxInFlight: i % 97}
		document.Workspaces = append(document.Workspaces, workspace)
	}
	return document
}

// Guards against pieces that cannot be assembled, that exceed the value limit of the service, or that all change with
// one entry, so that every reader would fetch the whole document at each version.
func TestPiecesAreStableUnderASmallChange(t *testing.T) {
	g := gomega.NewWithT(t)
	const count = 30_000
	old, err := config.Values(largeDocument(1, count))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for index := 0; index < count; index += count / 10 {
		known := make(map[string][]byte)
		for _, value := range old {
			known[value.Key] = value.Data
		}
		document := largeDocument(2, count)
		document.Workspaces[index].ID += "-renamed"
		new, err := config.Values(document)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		changed := 0
		for _, value := range new[:len(new)-1] {
			g.Expect(len(value.Data)).To(gomega.BeNumerically("<=", config.MaxPieceBytes))
			if known[value.Key] == nil {
				changed++
			}
			known[value.Key] = value.Data
		}
		// The version changes the first piece and the entry one more. A boundary that moves also changes the next piece.
		g.Expect(changed).To(gomega.BeNumerically("<=", 3))
		g.Expect(len(new)).To(gomega.BeNumerically(">", 4))
		manifest := new[len(new)-1]
		g.Expect(manifest.Key).To(gomega.Equal(config.DocumentKey))
		g.Expect(config.IsManifest(manifest.Data)).To(gomega.BeTrue())
		decoded, err := config.DecodeManifest(manifest.Data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		snapshot, err := config.Assemble(nil, decoded, func(ref config.PieceRef) ([]byte, error) {
			return known[config.PieceKeyPrefix+ref.Digest], nil
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(snapshot.Version().Sequence).To(gomega.Equal(uint64(2)))
	}
}

// Guards against a damaged or wrong piece that becomes part of the configuration.
func TestAssembleRejectsDamagedPieces(t *testing.T) {
	g := gomega.NewWithT(t)
	canonical, err := config.Canonical(largeDocument(1, 30_000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	manifest, pieces := config.Split(config.Version{Epoch: 1, Sequence: 1}, canonical)
	data := make(map[string][]byte)
	for _, piece := range pieces {
		data[piece.Digest] = append([]byte(nil), piece.Data...)
	}
	get := func(ref config.PieceRef) ([]byte, error) { return data[ref.Digest], nil }
	_, err = config.Assemble(nil, manifest, get)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	data[pieces[1].Digest][100] ^= 1
	_, err = config.Assemble(nil, manifest, get)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("differs from digest")))
	data[pieces[1].Digest][100] ^= 1
	manifest.Version.Sequence = 2
	_, err = config.Assemble(nil, manifest, get)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("document has version 1.1")))
}

// Guards against a compressed message from a peer that exhausts the memory of the node.
func TestDecompressBoundsTheResult(t *testing.T) {
	g := gomega.NewWithT(t)
	packed, err := config.Compress(make([]byte, 64<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = config.Decompress(packed)
	g.Expect(err).To(gomega.HaveOccurred())
}
