package configstore

import (
	"encoding/json"
	"fmt"
	"sync"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	// logBytes bounds the deltas that are kept.
	logBytes = 8 << 20
	// maxLoggedChanges is the number of changed entries above which a delta is not kept. It is larger than the document
	// in most cases, and the log would drop it anyway.
	maxLoggedChanges = 50_000
	// maxDelta bounds the compressed delta in one message.
	maxDelta = 512 << 10
)

// archive holds what peers fetch: the latest deltas and the compressed pieces of the documents in force and before.
// It is safe for concurrent use.
type archive struct {
	mu  sync.Mutex
	log *configstate.Log[*config.Delta]
	// pieces belong to the last document that was asked for. The set before is kept, so that a transfer that is under way
	// while a new version is adopted completes.
	pieces   *pieceSet
	previous *pieceSet
}

// pieceSet holds the pieces of one document, compressed.
type pieceSet struct {
	digest   string
	manifest *config.Manifest
	packed   map[string][]byte
}

func newArchive() *archive {
	return &archive{log: configstate.NewLog[*config.Delta](configstate.DefaultLogSteps, logBytes)}
}

// record logs the change from one configuration to the next.
func (a *archive) record(old, new *config.Snapshot) {
	if old == nil {
		return
	}
	delta := config.NewDelta(old, new)
	size := logBytes + 1
	if delta.Len() <= maxLoggedChanges {
		if text, err := json.Marshal(delta); err == nil {
			size = len(text)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Append(configstate.Step[*config.Delta]{From: markOf(old), To: markOf(new), Size: size, Delta: delta})
}

// delta returns the compressed change from the held document to the given one. It returns nil if the log does not reach
// back to the held document, or if the change is larger than the document.
func (a *archive) delta(held configstate.Mark, current *config.Snapshot) ([]byte, error) {
	a.mu.Lock()
	steps, ok := a.log.Since(held, current.Size())
	deltas := make([]*config.Delta, 0, len(steps))
	for _, step := range steps {
		deltas = append(deltas, step.Delta)
	}
	a.mu.Unlock()
	if !ok || steps[len(steps)-1].To != markOf(current) {
		return nil, nil
	}
	composed, err := config.Compose(deltas)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(composed)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	packed, err := config.Compress(text)
	if err != nil || len(packed) > maxDelta {
		return nil, err
	}
	return packed, nil
}

// manifest returns the list of pieces of a configuration, and prepares the pieces.
func (a *archive) manifest(current *config.Snapshot) (*config.Manifest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pieces != nil && a.pieces.digest == current.Digest() {
		return a.pieces.manifest, nil
	}
	set, err := a.cut(current)
	if err != nil {
		return nil, err
	}
	a.previous = a.pieces
	a.pieces = set
	return set.manifest, nil
}

// cut splits a document and compresses the pieces that are not known yet.
func (a *archive) cut(current *config.Snapshot) (*pieceSet, error) {
	canonical, err := config.Canonical(current.Document())
	if err != nil {
		return nil, err
	}
	manifest, pieces := config.Split(current.Version(), canonical)
	set := &pieceSet{digest: current.Digest(), manifest: manifest, packed: make(map[string][]byte, len(pieces))}
	for _, piece := range pieces {
		packed, known := a.find(piece.Digest)
		if !known {
			if packed, err = config.Compress(piece.Data); err != nil {
				return nil, err
			}
		}
		set.packed[piece.Digest] = packed
	}
	return set, nil
}

// piece returns a compressed piece.
func (a *archive) piece(digest string) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.find(digest)
}

func (a *archive) find(digest string) ([]byte, bool) {
	for _, set := range []*pieceSet{a.pieces, a.previous} {
		if set == nil {
			continue
		}
		if packed, ok := set.packed[digest]; ok {
			return packed, true
		}
	}
	return nil, false
}

// heldPiece returns the plain data of a piece of the configuration in force.
func (s *Store) heldPiece(ref config.PieceRef) ([]byte, bool) {
	current := s.Current()
	if current == nil {
		return nil, false
	}
	if _, err := s.archive.manifest(current); err != nil {
		return nil, false
	}
	packed, ok := s.archive.piece(ref.Digest)
	if !ok {
		return nil, false
	}
	data, err := config.Decompress(packed)
	return data, err == nil
}
