// Package decision records why a node treated a request as it did. Each decision is a log line and an entry in a
// bounded in-memory record that `agatectl explain` reads.
package decision

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/ring"
)

// Candidate is one endpoint that was considered.
type Candidate struct {
	Endpoint string  `json:"endpoint"`
	State    string  `json:"state"`
	Load     float64 `json:"load"`
}

// Decision is one routing, placement, admission or retry decision.
type Decision struct {
	Time       time.Time   `json:"time"`
	RequestID  string      `json:"request_id,omitempty"`
	Step       string      `json:"step"`
	Service    string      `json:"service,omitempty"`
	Route      string      `json:"route,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Taken      string      `json:"taken,omitempty"`
	Peer       string      `json:"peer,omitempty"`
	Outcome    string      `json:"outcome,omitempty"`
	Reason     string      `json:"reason"`
}

const (
	logRingCapacity = 4096
	recordedIDs     = 8192
	maxPerRequest   = 16
)

// Recorder keeps the decisions of the latest requests and writes them to the log in a duty of its own, so that a slow
// log does not delay requests. It is safe for concurrent use.
type Recorder struct {
	logger *slog.Logger
	queue  *ring.Ring[Decision]

	mu    sync.Mutex
	byID  map[string][]Decision
	order []string
	next  int

	cancel context.CancelFunc
	done   chan struct{}
}

// NewRecorder returns a recorder that logs to logger.
func NewRecorder(logger *slog.Logger) *Recorder {
	return &Recorder{
		logger: logger,
		queue:  ring.New[Decision](logRingCapacity, ring.DropOldest),
		byID:   make(map[string][]Decision, recordedIDs),
		order:  make([]string, recordedIDs),
		done:   make(chan struct{}),
	}
}

// Start begins the log duty.
func (r *Recorder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop writes what is queued and ends the log duty.
func (r *Recorder) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record stores a decision and queues its log line.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	if d.RequestID != "" {
		r.store(d)
	}
	r.queue.Push(d)
}

// Explain returns the decisions recorded for a request.
func (r *Recorder) Explain(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Decision(nil), r.byID[requestID]...)
}

// Lost returns the number of log lines dropped because the log could not keep up.
func (r *Recorder) Lost() uint64 {
	return r.queue.Lost()
}

func (r *Recorder) store(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, known := r.byID[d.RequestID]
	if len(list) >= maxPerRequest {
		return
	}
	if !known {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = d.RequestID
		r.next = (r.next + 1) % len(r.order)
	}
	r.byID[d.RequestID] = append(list, d)
}

func (r *Recorder) run(ctx context.Context) {
	defer close(r.done)
	for {
		d, err := r.queue.Pop(ctx)
		if err != nil {
			r.flush()
			return
		}
		r.write(d)
	}
}

func (r *Recorder) flush() {
	for {
		d, ok := r.queue.TryPop()
		if !ok {
			return
		}
		r.write(d)
	}
}

func (r *Recorder) write(d Decision) {
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "decision",
		slog.String("request_id", d.RequestID),
		slog.String("step", d.Step),
		slog.String("service", d.Service),
		slog.String("route", d.Route),
		slog.Any("candidates", d.Candidates),
		slog.String("taken", d.Taken),
		slog.String("peer", d.Peer),
		slog.String("outcome", d.Outcome),
		slog.String("reason", d.Reason),
	)
}
