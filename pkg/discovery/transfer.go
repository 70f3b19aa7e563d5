package discovery

import (
	"context"
	"encoding/json"
	"fmt"

	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	// keptVersions is the number of versions for which a node can send the changes alone. Configurations come in quick
	// succession at times, and a node that missed more than these fetches the whole.
	keptVersions = 4
	// compressFrom is the size from which a reply is compressed. Smaller ones are not worth the memory that
	// compression keeps.
	compressFrom = 16 << 10
)

// configurationRequest asks for the configuration in force. Have is the version that the caller has, or 0.
type configurationRequest struct {
	Have uint64 `json:"have"`
}

// configurationReply carries a configurationBody, compressed if it is large.
type configurationReply struct {
	Body       json.RawMessage `json:"body,omitempty"`
	Compressed []byte          `json:"compressed,omitempty"`
}

// configurationBody holds one of its fields.
type configurationBody struct {
	Delta *routing.Delta  `json:"delta,omitempty"`
	Whole *routing.Config `json:"whole,omitempty"`
}

// remember keeps a version, so that changes to it can be sent. The caller holds the lock.
func (s *Service) remember(c *routing.Config) {
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

// reply encodes a body. Replies are kept until the next version, because all nodes ask for the same at the same time. The
// caller holds the lock.
func (s *Service) reply(from uint64, body configurationBody) (*configurationReply, error) {
	if kept := s.replies[from]; kept != nil {
		return kept, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	reply := &configurationReply{Body: text}
	if len(text) >= compressFrom {
		compressed, err := config.Compress(text)
		if err != nil {
			return nil, err
		}
		reply = &configurationReply{Compressed: compressed}
	}
	s.replies[from] = reply
	return reply, nil
}

func (s *Service) pullConfiguration(ctx context.Context, address string) error {
	var reply configurationReply
	current := s.table.Load()
	request := configurationRequest{Have: versionOf(current)}
	if err := s.options.Network.Call(ctx, address, methodConfiguration, request, &reply); err != nil {
		return err
	}
	c, err := reply.configuration(current)
	if err != nil {
		return fmt.Errorf("configuration of peer %s: %w", address, err)
	}
	s.Offer(c, address)
	return nil
}

// configuration returns the checked configuration of a reply, given the table in force at the time of the request.
func (r *configurationReply) configuration(current *routing.Table) (*routing.Config, error) {
	text := []byte(r.Body)
	if r.Compressed != nil {
		var err error
		if text, err = config.Decompress(r.Compressed); err != nil {
			return nil, err
		}
	}
	var body configurationBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
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
