package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/config"
)

// runFetches fetches newer versions from the peers that announced them.
func (s *Syncer) runFetches(ctx context.Context) {
	for {
		next, err := s.wanted.Pop(ctx)
		if err != nil {
			return
		}
		if !next.always && configstate.Judge(s.store.mark(), next.mark) != configstate.Adopt {
			continue
		}
		if err := s.fetchFrom(ctx, next.address); err != nil && ctx.Err() == nil {
			// The next exchange with any peer that has the version tries again.
			s.log.Warn("configuration fetch failed", "peer", next.address, "error", err)
		}
	}
}

// fetchFrom asks a peer for its configuration and adopts it if it is newer.
func (s *Syncer) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := s.options.Clock.Now()
	held := s.store.Current()
	result, err := s.callFetch(ctx, address, markOf(held))
	if err != nil {
		return err
	}
	if result.Delta != nil && held != nil {
		if err := s.takeDelta(address, held, result); err != nil {
			s.log.Warn("configuration delta rejected", "peer", address, "error", err)
			// The document held or the delta is not what the peer believes. The whole document settles it.
			if result, err = s.callFetch(ctx, address, configstate.Mark{}); err != nil {
				return err
			}
		}
	}
	if len(result.Pieces) > 0 {
		if err := s.takePieces(ctx, address, result); err != nil {
			return err
		}
	}
	if configstate.Judge(s.store.mark(), result.InForce) == configstate.Conflict {
		s.store.reject(PeerSource(address), result.InForce)
	}
	s.confirm(result.InForce, asked)
	return nil
}

func (s *Syncer) callFetch(ctx context.Context, address string, held configstate.Mark) (*FetchResult, error) {
	result := new(FetchResult)
	if err := s.call(ctx, address, MethodFetch, &FetchParams{Held: held}, result); err != nil {
		return nil, err
	}
	return result, nil
}

func (s *Syncer) takeDelta(address string, held *config.Snapshot, result *FetchResult) error {
	text, err := config.Decompress(result.Delta)
	if err != nil {
		return err
	}
	delta := new(config.Delta)
	if err := json.Unmarshal(text, delta); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	snapshot, err := config.Apply(held, delta)
	if err != nil {
		return err
	}
	s.store.OfferSnapshot(PeerSource(address), snapshot)
	return nil
}

func (s *Syncer) takePieces(ctx context.Context, address string, result *FetchResult) error {
	manifest := &config.Manifest{
		Format:  config.ManifestFormat,
		Version: result.InForce.Version,
		Digest:  result.InForce.Digest,
		Pieces:  result.Pieces,
	}
	if err := manifest.Check(); err != nil {
		return fmt.Errorf("%s from %s: %w", MethodFetch, address, err)
	}
	snapshot, err := config.Assemble(s.store.Current(), manifest, func(ref config.PieceRef) ([]byte, error) {
		if data, ok := s.store.heldPiece(ref); ok {
			return data, nil
		}
		piece := new(PieceResult)
		if err := s.call(ctx, address, MethodPiece, &PieceParams{Digest: ref.Digest}, piece); err != nil {
			return nil, err
		}
		return config.Decompress(piece.Data)
	})
	if err != nil {
		return fmt.Errorf("configuration from peer %s: %w", address, err)
	}
	s.store.OfferSnapshot(PeerSource(address), snapshot)
	return nil
}

func (s *Syncer) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.options.Network.Call(ctx, address, method, params, result); err != nil {
		return fmt.Errorf("%s to peer %s: %w", method, address, err)
	}
	return nil
}
