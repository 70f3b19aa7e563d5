package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/config"
)

// Network reaches the other nodes.
type Network interface {
	// Call sends a request to the node at address and stores its response in result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Handle registers the handler of a method.
	Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error))
	// Peers returns the peer addresses of the other live hosts.
	Peers() []string
}

// Methods of the peer protocol.
const (
	// MethodFetch asks for the change from the version held, or for the pieces of the whole document.
	MethodFetch = "config.fetch"
	// MethodPiece asks for a piece.
	MethodPiece = "config.piece"
	// MethodOffer announces a newly adopted version. The receiver fetches it if it is newer than its own.
	MethodOffer = "config.offer"
)

// UnknownAge is the age of the latest read while none is known.
const UnknownAge = -1

// Summary is what an exchange says about the configuration of a node.
type Summary struct {
	configstate.Mark
	Zone string `json:"zone"`
	// ReadAgeMS is the age of the latest read of the configuration service known in the zone, or UnknownAge.
	ReadAgeMS int64 `json:"read_age_ms"`
}

// FetchParams are the parameters of config.fetch.
type FetchParams struct {
	Held configstate.Mark `json:"held"`
}

// FetchResult is the response to config.fetch. Delta and Pieces are empty if the node has no newer version; otherwise
// one of them is set.
type FetchResult struct {
	InForce configstate.Mark `json:"in_force"`
	// Delta is a compressed config.Delta.
	Delta  []byte            `json:"delta,omitempty"`
	Pieces []config.PieceRef `json:"pieces,omitempty"`
}

// PieceParams are the parameters of config.piece.
type PieceParams struct {
	Digest string `json:"digest"`
}

// PieceResult is the response to config.piece.
type PieceResult struct {
	// Data is the compressed piece.
	Data []byte `json:"data"`
}

// OfferParams are the parameters of config.offer.
type OfferParams struct {
	// Address is the peer address of the sender, from which the version can be fetched.
	Address string  `json:"address"`
	Summary Summary `json:"summary"`
}

// ErrNoPiece is returned for a piece of a document that is no longer kept.
var ErrNoPiece = errors.New("piece is not held")

func (s *Store) handleFetch(_ context.Context, from string, raw json.RawMessage) (any, error) {
	var params FetchParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fmt.Errorf("%s from %s: %w", MethodFetch, from, err)
	}
	return s.answerFetch(params.Held)
}

func (s *Store) answerFetch(held configstate.Mark) (*FetchResult, error) {
	current := s.Current()
	result := &FetchResult{InForce: markOf(current)}
	if configstate.Judge(held, result.InForce) != configstate.Adopt {
		return result, nil
	}
	delta, err := s.archive.delta(held, current)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", MethodFetch, err)
	}
	if delta != nil {
		result.Delta = delta
		return result, nil
	}
	manifest, err := s.archive.manifest(current)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", MethodFetch, err)
	}
	result.Pieces = manifest.Pieces
	return result, nil
}

func (s *Store) handlePiece(_ context.Context, from string, raw json.RawMessage) (any, error) {
	var params PieceParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fmt.Errorf("%s from %s: %w", MethodPiece, from, err)
	}
	data, ok := s.archive.piece(params.Digest)
	if !ok {
		return nil, fmt.Errorf("%s %.12s: %w", MethodPiece, params.Digest, ErrNoPiece)
	}
	return &PieceResult{Data: data}, nil
}
