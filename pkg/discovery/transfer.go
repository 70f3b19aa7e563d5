package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	// keptVersions is the number of versions that a node keeps to send only the differences to the current one. More than one
	// is kept because configurations may be published in quick succession. A peer with an older version gets the whole
	// configuration.
	keptVersions = 4
	// compressMinBytes is the size from which a reply is compressed. Smaller ones are not worth the memory that
	// compression takes.
	compressMinBytes = 16 << 10
)

// configurationRequest requests the configuration in force. Have is the version that the caller has, or 0.
type configurationRequest struct {
	Have uint64 `json:"have"`
}

// packed carries a value as JSON, compressed if it is large.
type packed struct {
	Body       json.RawMessage `json:"body,omitempty"`
	Compressed []byte          `json:"compressed,omitempty"`
}

func pack(value any) (*packed, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	if len(text) < compressMinBytes {
		return &packed{Body: text}, nil
	}
	compressed, err := config.Compress(text)
	if err != nil {
		return nil, err
	}
	return &packed{Compressed: compressed}, nil
}

func (p *packed) unpack(into any) error {
	text := []byte(p.Body)
	if p.Compressed != nil {
		var err error
		if text, err = config.Decompress(p.Compressed); err != nil {
			return err
		}
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}

// endpointsRequest requests the changes of the endpoints after the revision Have, up to which the caller knows them, or all
// endpoints if Have is 0.
type endpointsRequest struct {
	Have uint64 `json:"have"`
}

// endpointsReply is the content of the packed reply to an endpointsRequest. Digest is a hash of the state of all endpoints
// that the sender knows.
type endpointsReply struct {
	Snapshot registry.Snapshot `json:"snapshot"`
	Digest   uint64            `json:"digest"`
}

func (s *Service) serveEndpoints(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var request endpointsRequest
	if err := json.Unmarshal(raw, &request); err != nil {
		return nil, fmt.Errorf("decode parameters: %w", err)
	}
	return pack(s.endpointsAfter(request.Have))
}

func (s *Service) endpointsAfter(revision uint64) endpointsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	reply := endpointsReply{Snapshot: s.registry.Snapshot(now), Digest: s.registry.Digest()}
	if revision > 0 {
		reply.Snapshot = s.registry.ChangesSince(now, revision)
	}
	return reply
}

// pullEndpoints fetches the changes from a peer. If the endpoints then still differ from those of the peer, it fetches all.
func (s *Service) pullEndpoints(ctx context.Context, address string) error {
	digest, err := s.fetchEndpoints(ctx, address, s.revision.Load())
	if err != nil || digest == s.digest.Load() {
		return err
	}
	_, err = s.fetchEndpoints(ctx, address, 0)
	return err
}

func (s *Service) fetchEndpoints(ctx context.Context, address string, have uint64) (digest uint64, err error) {
	var reply packed
	if err := s.options.Network.Call(ctx, address, methodEndpoints, endpointsRequest{Have: have}, &reply); err != nil {
		return 0, err
	}
	var endpoints endpointsReply
	if err := reply.unpack(&endpoints); err != nil {
		return 0, fmt.Errorf("endpoints of peer %s: %w", address, err)
	}
	for n := range endpoints.Snapshot.Entries {
		e := &endpoints.Snapshot.Entries[n]
		if e.Removed {
			continue
		}
		// The peer may be of an earlier release, which accepts more.
		if err := e.Check(); err != nil {
			s.logOnce("unusable entry of a peer", fmt.Errorf("endpoint %.64q: %w", e.ID, err))
			e.Removed = true
		}
	}
	s.update(address, func(g *registry.Registry, now time.Duration) []registry.Change {
		if endpoints.Snapshot.From > 0 {
			return g.MergeChanges(now, endpoints.Snapshot)
		}
		return g.Merge(now, endpoints.Snapshot)
	})
	return endpoints.Digest, nil
}

// configurationBody is the content of the packed reply to a configurationRequest. Exactly one field is set: the differences
// from the caller's version, or the whole configuration.
type configurationBody struct {
	Delta *routing.Delta  `json:"delta,omitempty"`
	Whole *routing.Config `json:"whole,omitempty"`
}

// keepVersion stores a version, so that the differences from it can be sent later. The caller holds the lock.
func (s *Service) keepVersion(c *routing.Config) {
	s.versions = append(s.versions, c)
	clear(s.replies)
	if len(s.versions) > keptVersions {
		s.versions = append([]*routing.Config(nil), s.versions[1:]...)
	}
}

func (s *Service) serveConfiguration(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var request configurationRequest
	if err := json.Unmarshal(raw, &request); err != nil {
		return nil, fmt.Errorf("decode parameters: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return nil, ErrNoConfiguration
	}
	current := s.versions[len(s.versions)-1]
	body := configurationBody{Whole: current}
	from := uint64(0)
	for _, kept := range s.versions {
		if kept.Version == request.Have {
			from = kept.Version
			body = configurationBody{Delta: routing.Diff(kept, current)}
		}
	}
	return s.reply(from, body)
}

// reply encodes a body. Encoded replies are cached until the next version, because many nodes send the same request at about
// the same time. The caller holds the lock.
func (s *Service) reply(from uint64, body configurationBody) (*packed, error) {
	if kept := s.replies[from]; kept != nil {
		return kept, nil
	}
	reply, err := pack(body)
	if err != nil {
		return nil, err
	}
	s.replies[from] = reply
	return reply, nil
}

// pullConfiguration fetches the configuration from a peer and puts it in force if it is newer.
func (s *Service) pullConfiguration(ctx context.Context, address string) error {
	var reply packed
	current := s.table.Load()
	request := configurationRequest{Have: versionOf(current)}
	if err := s.options.Network.Call(ctx, address, methodConfiguration, request, &reply); err != nil {
		return err
	}
	c, err := unpackConfiguration(&reply, current)
	if err != nil {
		return fmt.Errorf("configuration of peer %s: %w", address, err)
	}
	s.Offer(c, address)
	return nil
}

// unpackConfiguration returns the validated configuration of a reply. current is the table in force at the time of the
// request, from which differences are applied.
func unpackConfiguration(reply *packed, current *routing.Table) (*routing.Config, error) {
	var body configurationBody
	if err := reply.unpack(&body); err != nil {
		return nil, err
	}
	c := body.Whole
	if body.Delta != nil && current != nil {
		var err error
		if c, err = body.Delta.Apply(current.Config()); err != nil {
			return nil, err
		}
	}
	if c == nil {
		return nil, ErrNoConfiguration
	}
	return c, c.Validate()
}
