package node

import (
	"context"
	"encoding/json"
	"fmt"

	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/peer"
)

const (
	methodInquire  = "owner.inquire"
	methodWithdraw = "owner.withdraw"
)

type attemptParams struct {
	Attempt string `json:"attempt"`
}

type attemptResult struct {
	State attempts.State `json:"state"`
}

// inquirer asks the owners of all hosts about attempts.
type inquirer struct {
	host    string
	own     *owner.Owner
	network peer.Network
}

// Inquire implements ingress.Inquirer.
func (q *inquirer) Inquire(ctx context.Context, host *config.Host, attempt string) (attempts.State, error) {
	if host.ID == q.host {
		return q.own.Inquire(attempt), nil
	}
	return q.call(ctx, host, methodInquire, attempt)
}

// Withdraw implements ingress.Inquirer.
func (q *inquirer) Withdraw(ctx context.Context, host *config.Host, attempt string) (attempts.State, error) {
	if host.ID == q.host {
		return q.own.Withdraw(attempt), nil
	}
	return q.call(ctx, host, methodWithdraw, attempt)
}

func (q *inquirer) call(ctx context.Context, host *config.Host, method, attempt string) (attempts.State, error) {
	var result attemptResult
	if err := q.network.Call(ctx, host.PeerAddress(), method, attemptParams{Attempt: attempt}, &result); err != nil {
		return "", fmt.Errorf("%s at %s: %w", method, host.ID, err)
	}
	return result.State, nil
}

// answerInquiries lets other nodes ask this owner about attempts.
func answerInquiries(network peer.Network, o *owner.Owner) {
	network.Handle(methodInquire, attemptHandler(o.Inquire))
	network.Handle(methodWithdraw, attemptHandler(o.Withdraw))
}

func attemptHandler(look func(attempt string) attempts.State) peer.Handler {
	return func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var params attemptParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters: %w", err)
		}
		return attemptResult{State: look(params.Attempt)}, nil
	}
}
