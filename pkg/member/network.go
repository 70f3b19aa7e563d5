package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/discovery"
	"agatepulley.example/agatepulley/pkg/forward"
	"agatepulley.example/agatepulley/pkg/reports"
)

// Methods of the peer protocol.
const (
	methodInquire  = "dispatch.inquire"
	methodWithdraw = "dispatch.withdraw"
)

type attemptParams struct {
	Attempt string `json:"attempt"`
	// Incarnation is that of the process to which the attempt was sent. Another one knows nothing of it.
	Incarnation uint64 `json:"incarnation"`
}

type attemptResult struct {
	State attempts.State `json:"state"`
}

// inquirer asks the dispatchers of other hosts about attempts.
type inquirer struct {
	member *Member
}

// Inquire implements forward.Inquirer.
func (q *inquirer) Inquire(ctx context.Context, target forward.Target, attempt string) (attempts.State, error) {
	return q.call(ctx, target, methodInquire, attempt)
}

// Withdraw implements forward.Inquirer.
func (q *inquirer) Withdraw(ctx context.Context, target forward.Target, attempt string) (attempts.State, error) {
	return q.call(ctx, target, methodWithdraw, attempt)
}

func (q *inquirer) call(ctx context.Context, target forward.Target, method, attempt string) (attempts.State, error) {
	var result attemptResult
	params := attemptParams{Attempt: attempt, Incarnation: target.Incarnation}
	err := q.member.peers.Call(ctx, q.member.peerAddress(target.IP), method, params, &result)
	if err != nil {
		return "", fmt.Errorf("%s at %s: %w", method, target.IP, err)
	}
	return result.State, nil
}

// answerInquiries lets other nodes ask about attempts.
func (m *Member) answerInquiries() {
	m.peers.Handle(methodInquire, m.attemptHandler(m.dispatcher.Inquire))
	m.peers.Handle(methodWithdraw, m.attemptHandler(m.dispatcher.Withdraw))
}

func (m *Member) attemptHandler(look func(attempt string) attempts.State) func(context.Context, string, json.RawMessage) (any, error) {
	return func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var params attemptParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters: %w", err)
		}
		if params.Incarnation != m.incarnation {
			return attemptResult{State: attempts.Unknown}, nil
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
	if contact := m.storeContact(summary); contact < maxStoreContact {
		r.StoreMS = int(contact.Milliseconds())
	}
	r.Endpoints = m.dispatcher.Reports()
	for service, usage := range m.forwarder.Usage() {
		r.Repeats = append(r.Repeats, reports.Repeats{
			Service: service, Requests: int(usage.Requests), Repeats: int(math.Ceil(usage.Retries)),
		})
	}
}

// maxStoreContact is the age from which a contact with the store is not worth telling.
const maxStoreContact = time.Minute

// storeContact is the time since this node or another one was last answered by the store.
func (m *Member) storeContact(summary discovery.Summary) time.Duration {
	contact := m.reports.StoreContactAge()
	if summary.StoreContactAge >= 0 {
		contact = min(contact, summary.StoreContactAge)
	}
	return contact
}

// observeReport compares the sender's picture of the fleet with this node's.
func (m *Member) observeReport(peerAddress string, r *reports.Report) {
	m.discovery.ObservePeer(peerAddress, r.Zone == m.settings.Load().Zone, discovery.Summary{
		ConfigVersion: r.ConfigVersion, Revision: r.Revision, Digest: r.Digest,
		StoreContactAge: time.Duration(r.StoreMS) * time.Millisecond,
	})
}

// medianCondition returns the median condition of the endpoints of a service other than one.
func (m *Member) medianCondition(service, except string) (reports.Endpoint, bool) {
	var fails, times []int
	for _, e := range m.discovery.View().ByService[service] {
		if known, ok := m.reports.Endpoint(e.ID); ok && e.ID != except {
			fails = append(fails, known.FailPerMille)
			if known.ServiceTimeMS > 0 {
				times = append(times, known.ServiceTimeMS)
			}
		}
	}
	if len(fails) == 0 {
		return reports.Endpoint{}, false
	}
	slices.Sort(fails)
	slices.Sort(times)
	median := reports.Endpoint{FailPerMille: fails[len(fails)/2]}
	if len(times) > 0 {
		median.ServiceTimeMS = times[len(times)/2]
	}
	return median, true
}
