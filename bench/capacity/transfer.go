package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"agatepulley.example/agatepulley/pkg/config"
)

// missed are the numbers of changes that a node has missed.
var missed = []int{1, 4, 16, 64, 256, 1024}

func newRandom(o *options, stream int) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, uint64(stream)))
}

// measureTransfer compares, at several document sizes, the whole document, the pieces that changed and the missed
// changes as one delta: bytes on the way and processor time of the receiver.
func measureTransfer(_ context.Context, o *options) error {
	// The two small sizes have 52 endpoints, as today's users, and 1,040.
	for _, divisor := range append([]int{1000, 50}, divisors...) {
		if err := measureTransferAt(o, divisor); err != nil {
			return err
		}
	}
	return nil
}

// pieceSizes are the compressed sizes of the pieces of a document by digest.
type pieceSizes map[string]int

func compressPieces(snapshot *config.Snapshot) (pieceSizes, map[string][]byte, *config.Manifest, error) {
	text, err := config.Canonical(snapshot.Document())
	if err != nil {
		return nil, nil, nil, err
	}
	manifest, pieces := config.Split(snapshot.Version(), text)
	sizes, data := pieceSizes{}, map[string][]byte{}
	for _, piece := range pieces {
		compressed, err := config.Compress(piece.Data)
		if err != nil {
			return nil, nil, nil, err
		}
		sizes[piece.Digest] = len(compressed)
		data[piece.Digest] = compressed
	}
	return sizes, data, manifest, nil
}

func (s pieceSizes) total() float64 {
	total := 0
	for _, size := range s {
		total += size
	}
	return float64(total)
}

// missing returns the bytes of the pieces that another document lacks.
func (s pieceSizes) missing(held pieceSizes) float64 {
	total := 0
	for digest, size := range s {
		if _, ok := held[digest]; !ok {
			total += size
		}
	}
	return float64(total)
}

func measureTransferAt(o *options, divisor int) error {
	s := fullScale.part(divisor)
	base, err := config.FromDocument(newDocument(s))
	if err != nil {
		return err
	}
	held, data, manifest, err := compressPieces(base)
	if err != nil {
		return err
	}
	label := fmt.Sprintf("at 1/%d", divisor)
	figure("whole document compressed "+label, held.total(), unitBytes, noTarget)
	figure("pieces of the whole document "+label, float64(len(held)), unitCount, noTarget)
	whole, least, most, err := o.median(func() error {
		_, err := config.Assemble(nil, manifest, func(ref config.PieceRef) ([]byte, error) {
			return config.Decompress(data[ref.Digest])
		})
		return err
	})
	if err != nil {
		return err
	}
	figure("processor time to receive the whole document "+label, whole/1e6, unitMillis, noTarget)
	reportSpread("processor time to receive the whole document "+label, least, most)
	return measureDeltas(o, s, base, held, whole)
}

// measureDeltas varies the number of missed changes.
func measureDeltas(o *options, s scale, base *config.Snapshot, held pieceSizes, whole float64) error {
	var bytes, times []point
	label := fmt.Sprintf("at %d endpoints", s.endpoints)
	for _, n := range missed {
		next, err := config.FromDocument(changed(newDocument(s), newRandom(o, n), n))
		if err != nil {
			return err
		}
		delta := config.NewDelta(base, next)
		text, err := json.Marshal(delta)
		if err != nil {
			return fmt.Errorf("encode delta: %w", err)
		}
		compressed, err := config.Compress(text)
		if err != nil {
			return err
		}
		sizes, _, _, err := compressPieces(next)
		if err != nil {
			return err
		}
		figure(fmt.Sprintf("delta of %d changes as text %s", n, label), float64(len(text)), unitBytes, noTarget)
		figure(fmt.Sprintf("delta of %d changes compressed %s", n, label), float64(len(compressed)), unitBytes, noTarget)
		figure(fmt.Sprintf("pieces changed by %d changes %s", n, label), sizes.missing(held), unitBytes, noTarget)
		apply, _, _, err := o.median(func() error { return receiveDelta(base, compressed) })
		if err != nil {
			return err
		}
		figure(fmt.Sprintf("processor time to receive a delta of %d %s", n, label), apply/1e6, unitMillis, noTarget)
		if n == 1 {
			figure("computed: single deltas in the size of the whole document "+label, held.total()/float64(len(compressed)), unitCount, noTarget)
		}
		bytes = append(bytes, point{float64(n), float64(len(compressed))})
		times = append(times, point{float64(n), apply})
	}
	reportCrossover("bytes: deltas against the whole document "+label, bytes, held.total())
	reportCrossover("time: deltas against the whole document "+label, times, whole)
	return nil
}

// reportCrossover prints the number of missed changes at which deltas cost as much as the whole.
func reportCrossover(name string, deltas []point, whole float64) {
	l, err := fitLine(deltas)
	if err != nil {
		return
	}
	figure(name+", per change", l.slope, noTarget, noTarget)
	figure(name+", largest deviation", 100*l.deviation, unitShare, noTarget)
	if n, ok := crossover(l, line{base: whole}); ok {
		figure(name+", crossover of the lines", n, unitCount, noTarget)
	}
}

func receiveDelta(base *config.Snapshot, compressed []byte) error {
	text, err := config.Decompress(compressed)
	if err != nil {
		return err
	}
	var delta config.Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	_, err = config.Apply(base, &delta)
	return err
}

// changed applies n random changes: half of them drain or undrain an endpoint, a quarter change a route and a quarter a
// workspace.
func changed(document *config.Document, random *rand.Rand, n int) *config.Document {
	document.Version.Sequence += uint64(n)
	for i := range n {
		switch {
		case i%2 == 0:
			service := &document.Services[random.IntN(len(document.Services))]
			e := &service.Endpoints[random.IntN(len(service.Endpoints))]
			e.Draining = !e.Draining
		case i%4 == 1:
			document.Routes[random.IntN(len(document.Routes))].DeadlineMS = 1000 + random.IntN(9000)
		default:
			document.Workspaces[random.IntN(len(document.Workspaces))].MaxInFlight = 100 + random.IntN(900)
		}
	}
	return document
}
