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
	// Incarnation is that of the process to which the attempt was sent. Another process cannot know the attempt.
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
		return "", fmt.Errorf("call %s on host %s: %w", method, target.IP, err)
	}
	return result.State, nil
}

// handleInquiries registers the methods with which other nodes query and withdraw attempts.
func (m *Member) handleInquiries() {
	m.peers.Handle(methodInquire, m.attemptHandler(m.dispatcher.Inquire))
	m.peers.Handle(methodWithdraw, m.attemptHandler(m.dispatcher.Withdraw))
}

// attemptHandler returns the handler of a method that returns the state of an attempt.
func (m *Member) attemptHandler(query func(attempt string) attempts.State) func(context.Context, string, json.RawMessage) (any, error) {
	return func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var params attemptParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters: %w", err)
		}
		if params.Incarnation != m.incarnation {
			return attemptResult{State: attempts.Unknown}, nil
		}
		return attemptResult{State: query(params.Attempt)}, nil
	}
}

// fillReport sets the fields of a report that describe the state of this node.
func (m *Member) fillReport(r *reports.Report) {
	summary := m.discovery.Summary()
	r.Leaving = m.dispatcher.Leaving()
	r.ConfigVersion = summary.ConfigVersion
	r.Revision, r.Digest = summary.Revision, summary.Digest
	r.StoreMS = -1
	if age := m.storeContactAge(summary); age < maxStoreContactAge {
		r.StoreMS = int(age.Milliseconds())
	}
	r.Endpoints = m.dispatcher.Reports()
	for service, usage := range m.forwarder.Usage() {
		r.Repeats = append(r.Repeats, reports.Repeats{
			Service: service, Requests: int(usage.Requests), Repeats: int(math.Ceil(usage.Retries)),
		})
	}
}

// maxStoreContactAge is the age from which a contact with the store is no longer reported.
const maxStoreContactAge = time.Minute

// storeContactAge returns the time since the store last answered this node or another one, as far as known.
func (m *Member) storeContactAge(summary discovery.Summary) time.Duration {
	age := m.reports.StoreContactAge()
	if summary.StoreContactAge >= 0 {
		age = min(age, summary.StoreContactAge)
	}
	return age
}

// observeReport passes the sender's versions of the configuration and the endpoints to the discovery service, which fetches
// what is newer.
func (m *Member) observeReport(peerAddress string, r *reports.Report) {
	m.discovery.ObservePeer(peerAddress, r.Zone == m.settings.Load().Zone, discovery.Summary{
		ConfigVersion: r.ConfigVersion, Revision: r.Revision, Digest: r.Digest,
		StoreContactAge: time.Duration(r.StoreMS) * time.Millisecond,
	})
}

// medianCondition returns the median failure probability and processing time of the endpoints of a service, except the one
// with the ID except. It returns false if no condition is known.
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
