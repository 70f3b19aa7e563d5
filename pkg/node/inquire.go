package node

import (
	"context"
	"encoding/json"
	"fmt"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/peer"
)

const methodInquire = "owner.inquire"

type inquireParams struct {
	Attempt string `json:"attempt"`
}

type inquireResult struct {
	State owner.AttemptState `json:"state"`
}

// inquirer asks the owners on other hosts what became of an attempt.
type inquirer struct {
	network peer.Network
}

// Inquire implements ingress.Inquirer.
func (q *inquirer) Inquire(ctx context.Context, host *config.Host, attempt string) (owner.AttemptState, error) {
	var result inquireResult
	err := q.network.Call(ctx, host.PeerAddress(), methodInquire, inquireParams{Attempt: attempt}, &result)
	if err != nil {
		return "", fmt.Errorf("inquire at %s: %w", host.ID, err)
	}
	return result.State, nil
}

// answerInquiries lets other nodes inquire at this owner.
func answerInquiries(network peer.Network, o *owner.Owner) {
	network.Handle(methodInquire, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var params inquireParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters: %w", err)
		}
		return inquireResult{State: o.Inquire(params.Attempt)}, nil
	})
}
