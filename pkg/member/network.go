package member

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/discovery"
	"agatepulley.example/agatepulley/pkg/reports"
)

// Methods of the peer protocol.
const (
	methodInquire  = "dispatch.inquire"
	methodWithdraw = "dispatch.withdraw"
)

type attemptParams struct {
	Attempt string `json:"attempt"`
}

type attemptResult struct {
	State attempts.State `json:"state"`
}

// inquirer asks the dispatchers of other hosts about attempts.
type inquirer struct {
	member *Member
}

// Inquire implements forward.Inquirer.
func (q *inquirer) Inquire(ctx context.Context, ip, attempt string) (attempts.State, error) {
	return q.call(ctx, ip, methodInquire, attempt)
}

// Withdraw implements forward.Inquirer.
func (q *inquirer) Withdraw(ctx context.Context, ip, attempt string) (attempts.State, error) {
	return q.call(ctx, ip, methodWithdraw, attempt)
}

func (q *inquirer) call(ctx context.Context, ip, method, attempt string) (attempts.State, error) {
	var result attemptResult
	err := q.member.peers.Call(ctx, q.member.peerAddress(ip), method, attemptParams{Attempt: attempt}, &result)
	if err != nil {
		return "", fmt.Errorf("%s at %s: %w", method, ip, err)
	}
	return result.State, nil
}

// answerInquiries lets other nodes ask about attempts.
func (m *Member) answerInquiries() {
	m.peers.Handle(methodInquire, attemptHandler(m.dispatcher.Inquire))
	m.peers.Handle(methodWithdraw, attemptHandler(m.dispatcher.Withdraw))
}

func attemptHandler(look func(attempt string) attempts.State) func(context.Context, string, json.RawMessage) (any, error) {
	return func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var params attemptParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters: %w", err)
		}
		return attemptResult{State: look(params.Attempt)}, nil
	}
}

// fillReport adds what this node knows to a report.
func (m *Member) fillReport(r *reports.Report) {
	summary := m.discovery.Summary()
	r.Leaving = m.dispatcher.Leaving()
	r.ConfigVersion = summary.ConfigVersion
	r.Revision, r.Digest = summary.Revision, summary.Digest
	r.StoreMS = -1
	if summary.StoreContact >= 0 {
		r.StoreMS = int(summary.StoreContact.Milliseconds())
	}
	r.Endpoints = m.dispatcher.Reports()
}

// observeReport compares the sender's picture of the fleet with this node's.
func (m *Member) observeReport(peerAddress string, r *reports.Report) {
	m.discovery.ObservePeer(peerAddress, discovery.Summary{
		ConfigVersion: r.ConfigVersion, Revision: r.Revision, Digest: r.Digest,
		StoreContact: time.Duration(r.StoreMS) * time.Millisecond,
	})
}
