package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"agatepulley.example/agatepulley/pkg/config"
)

// baseScale is the document around the kind of entry that is varied.
var baseScale = scale{hosts: 100, services: 100, endpoints: 1000, routes: 1000, workspaces: 1000}

// measureConfiguration measures the memory of the configuration in force and the time to adopt a version.
func measureConfiguration(_ context.Context, o *options) error {
	if err := measureEntries(); err != nil {
		return err
	}
	if err := measureWhole(); err != nil {
		return err
	}
	if err := measureAdoption(o); err != nil {
		return err
	}
	return measureReading(o)
}

// measureEntries varies one kind of entry at a time.
func measureEntries() error {
	kinds := []struct {
		name string
		set  func(*scale, int)
		full int
	}{
		{"route", func(s *scale, n int) { s.routes = n }, fullScale.routes},
		{"endpoint", func(s *scale, n int) { s.endpoints = n }, fullScale.endpoints},
		{"workspace", func(s *scale, n int) { s.workspaces = n }, fullScale.workspaces},
		{"host", func(s *scale, n int) { s.hosts = n }, fullScale.hosts},
	}
	for _, kind := range kinds {
		var points []point
		for _, divisor := range divisors {
			s := baseScale
			kind.set(&s, kind.full/divisor)
			heap, err := heapOf(s)
			if err != nil {
				return err
			}
			points = append(points, point{float64(kind.full / divisor), heap})
		}
		if err := fitted("heap of configuration by "+kind.name, points, float64(kind.full), unitBytes, targetMemory); err != nil {
			return err
		}
	}
	return nil
}

// measureWhole varies all kinds of entries together.
func measureWhole() error {
	var heaps, texts []point
	for _, divisor := range divisors {
		s := fullScale.part(divisor)
		heap, err := heapOf(s)
		if err != nil {
			return err
		}
		text, err := config.Canonical(newDocument(s))
		if err != nil {
			return err
		}
		heaps = append(heaps, point{float64(s.endpoints), heap})
		texts = append(texts, point{float64(s.endpoints), float64(len(text))})
	}
	full := float64(fullScale.endpoints)
	if err := fitted("heap of whole configuration by endpoints", heaps, full, unitBytes, targetMemory); err != nil {
		return err
	}
	return fitted("text of whole configuration by endpoints", texts, full, unitBytes, noTarget)
}

// heapOf returns the heap bytes of a configuration that was parsed from text, as on a node.
func heapOf(s scale) (float64, error) {
	text, err := config.Canonical(newDocument(s))
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	before := liveHeap()
	snapshot, err := config.Parse(text)
	if err != nil {
		return 0, fmt.Errorf("parse document: %w", err)
	}
	after := liveHeap()
	runtime.KeepAlive(text)
	runtime.KeepAlive(snapshot)
	return after - before, nil
}

// measureAdoption measures the processor time to adopt a version: from text, and from the delta of one drained
// endpoint. Both include validation, digest and index. A node also makes the delta, for its peers.
func measureAdoption(o *options) error {
	var parses, applies, compares, peaks []point
	for _, divisor := range divisors {
		s := fullScale.part(divisor)
		size := float64(s.endpoints)
		base, err := config.FromDocument(newDocument(s))
		if err != nil {
			return err
		}
		text, err := config.Canonical(base.Document())
		if err != nil {
			return err
		}
		next, err := config.FromDocument(drained(newDocument(s), []int{0}, 2))
		if err != nil {
			return err
		}
		delta := config.NewDelta(base, next)
		parse, least, most, err := o.median(func() error { _, err := config.Parse(text); return err })
		if err != nil {
			return err
		}
		reportSpread(fmt.Sprintf("processor time to parse at %.0f", size), least, most)
		apply, least, most, err := o.median(func() error { _, err := config.Apply(base, delta); return err })
		if err != nil {
			return err
		}
		reportSpread(fmt.Sprintf("processor time to apply a delta at %.0f", size), least, most)
		compare, _, _, err := o.median(func() error { _, err := json.Marshal(config.NewDelta(base, next)); return err })
		if err != nil {
			return err
		}
		compares = append(compares, point{size, compare / 1e6})
		parses = append(parses, point{size, parse / 1e6})
		applies = append(applies, point{size, apply / 1e6})
		peaks = append(peaks, point{size, allocatedBy(func() { _, _ = config.Apply(base, delta) })})
		runtime.KeepAlive(next)
	}
	full := float64(fullScale.endpoints)
	if err := fitted("processor time to parse a whole configuration", parses, full, unitMillis, noTarget); err != nil {
		return err
	}
	if err := fitted("processor time to apply a delta", applies, full, unitMillis, noTarget); err != nil {
		return err
	}
	if err := fitted("processor time to make a delta", compares, full, unitMillis, noTarget); err != nil {
		return err
	}
	if err := fitted("bytes allocated to apply a delta", peaks, full, unitBytes, noTarget); err != nil {
		return err
	}
	perSecond := fullChanges / daySeconds
	last := applies[len(applies)-1].value
	figure("computed: processor share of applying 5,500 deltas a day", last*perSecond/10, unitCore, targetCore)
	return nil
}

// measureReading measures what a reader of the configuration service does for a change of one endpoint in a document in
// pieces: it cuts the document in force, reads the pieces that it lacks and parses the whole.
func measureReading(o *options) error {
	var times, allocated []point
	for _, divisor := range divisors {
		s := fullScale.part(divisor)
		base, err := config.FromDocument(newDocument(s))
		if err != nil {
			return err
		}
		_, packed, _, err := compressPieces(base)
		if err != nil {
			return err
		}
		text, err := config.Canonical(drained(newDocument(s), []int{0}, 2))
		if err != nil {
			return err
		}
		manifest, read := config.Split(config.Version{Epoch: 1, Sequence: 2}, text)
		step := func() error { return readPieces(base, packed, manifest, read) }
		median, least, most, err := o.median(step)
		if err != nil {
			return err
		}
		reportSpread(fmt.Sprintf("processor time of a reader per change at %d", s.endpoints), least, most)
		times = append(times, point{float64(s.endpoints), median / 1e6})
		allocated = append(allocated, point{float64(s.endpoints), allocatedBy(func() { _ = step() })})
	}
	full := float64(fullScale.endpoints)
	if err := fitted("processor time of a reader per change", times, full, unitMillis, noTarget); err != nil {
		return err
	}
	if err := fitted("bytes allocated by a reader per change", allocated, full, unitBytes, noTarget); err != nil {
		return err
	}
	last := times[len(times)-1].value
	figure("computed: processor share of a reader at 5,500 changes a day", last*fullChanges/daySeconds/10, unitCore, targetCore)
	return nil
}

// readPieces follows pkg/configstore: the pieces of the document in force are kept compressed, those that changed are
// compressed anew, and the held ones are decompressed to assemble the new document.
func readPieces(base *config.Snapshot, packed map[string][]byte, manifest *config.Manifest, read []config.Piece) error {
	text, err := config.Canonical(base.Document())
	if err != nil {
		return err
	}
	config.Split(base.Version(), text)
	_, err = config.Assemble(base, manifest, func(ref config.PieceRef) ([]byte, error) {
		if data, ok := packed[ref.Digest]; ok {
			return config.Decompress(data)
		}
		for _, piece := range read {
			if piece.Digest == ref.Digest {
				_, err := config.Compress(piece.Data)
				return piece.Data, err
			}
		}
		return nil, fmt.Errorf("no piece %.12s", ref.Digest)
	})
	return err
}

func reportSpread(name string, least, most float64) {
	figure(name+" least", least/1e6, unitMillis, noTarget)
	figure(name+" most", most/1e6, unitMillis, noTarget)
}

func allocatedBy(step func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	step()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// drained sets the draining mark of the first endpoint of the given services and the sequence of the version.
func drained(document *config.Document, services []int, sequence uint64) *config.Document {
	document.Version.Sequence = sequence
	for _, i := range services {
		document.Services[i].Endpoints[0].Draining = true
	}
	return document
}
