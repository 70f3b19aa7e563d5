// Package decision records the decisions of a node on requests, with their reasons. Each decision is written as a log line
// and kept in a bounded in-memory store that `agatectl explain` reads.
package decision

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/ring"
)

// Candidate is one endpoint that was considered in a choice.
type Candidate struct {
	Endpoint string  `json:"endpoint"`
	State    string  `json:"state"`
	Load     float64 `json:"load"`
}

// Decision is one decision: on a request, such as routing, placement, admission or a retry, or on the state of an endpoint
// or of the configuration.
type Decision struct {
	Time time.Time `json:"time"`
	// RequestID is empty for a decision that concerns no single request.
	RequestID  string      `json:"request_id,omitempty"`
	Step       string      `json:"step"`
	Service    string      `json:"service,omitempty"`
	Route      string      `json:"route,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// Subject is the endpoint that was chosen or that the decision concerns, or the version of the configuration.
	Subject string `json:"taken,omitempty"`
	// Peer is the other host or node involved.
	Peer    string `json:"peer,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason"`
	// Inputs are the values that the decision was based on, with their age or version.
	Inputs map[string]any `json:"inputs,omitempty"`
}

const (
	// logRingCapacity is the number of queued log lines: those of one batch period at 80,000 decisions per second.
	logRingCapacity = 4096
	// DefaultCapacity is the number of requests whose decisions are kept.
	DefaultCapacity = 8192
	// maxPerRequest is the number of decisions that are kept for one request, the earliest ones. Later ones are only logged.
	maxPerRequest = 16
	// batchPeriod is the time for which log lines are collected before they are written together. Writing each line
	// separately woke a thread for every decision.
	batchPeriod = 50 * time.Millisecond
)

// Log is the log to which decision lines are written. Flush writes out its buffer.
type Log interface {
	Handler() slog.Handler
	Flush() error
}

// Recorder keeps the decisions on the latest requests and writes all decisions to the log in a separate goroutine, so that a
// slow log does not delay requests. It is safe for concurrent use.
type Recorder struct {
	log   Log
	queue *ring.Ring[Decision]

	mu   sync.Mutex
	byID map[string][]Decision
	// order is a ring of the ids of the kept requests; the one at next is the oldest and is replaced first.
	order []string
	next  int

	cancel context.CancelFunc
	done   chan struct{}
}

// NewRecorder returns a recorder that writes to log and keeps the decisions on as many requests as capacity says.
func NewRecorder(log Log, capacity int) *Recorder {
	return &Recorder{
		log:   log,
		queue: ring.New[Decision](logRingCapacity, ring.DropOldest),
		byID:  make(map[string][]Decision),
		order: make([]string, capacity),
		done:  make(chan struct{}),
	}
}

// Start starts the goroutine that writes the log.
func (r *Recorder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop writes the queued lines and ends the goroutine that writes the log.
func (r *Recorder) Stop(ctx context.Context) error {
	r.cancel()
	return kernel.AwaitClosed(ctx, r.done, "decision log")
}

// Record keeps a decision if it concerns a request, and queues its log line.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	if d.RequestID != "" {
		r.store(d)
	}
	r.queue.Push(d)
}

// Explain returns the decisions that are kept for a request.
func (r *Recorder) Explain(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Decision(nil), r.byID[requestID]...)
}

// Dropped returns the number of log lines dropped because the log could not keep up.
func (r *Recorder) Dropped() uint64 {
	return r.queue.Dropped()
}

// store keeps a decision on a request. If the request is new, the oldest one is removed.
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

// run writes the queued lines in batches until the context ends.
func (r *Recorder) run(ctx context.Context) {
	defer close(r.done)
	for {
		d, err := r.queue.Pop(ctx)
		if err != nil {
			r.drain()
			return
		}
		r.write(d)
		clock.Sleep(ctx, batchPeriod)
		r.drain()
	}
}

// drain writes all queued lines.
func (r *Recorder) drain() {
	for {
		d, ok := r.queue.TryPop()
		if !ok {
			break
		}
		r.write(d)
	}
	// The error is ignored because there is no other log to report it to.
	_ = r.log.Flush()
}

// write logs a decision with its own time. Empty fields are omitted to keep the lines short.
func (r *Recorder) write(d Decision) {
	ctx, handler := context.Background(), r.log.Handler()
	if !handler.Enabled(ctx, slog.LevelInfo) {
		return
	}
	attrs := make([]slog.Attr, 0, maxAttrs)
	text := func(name, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(name, value))
		}
	}
	text("request_id", d.RequestID)
	text("step", d.Step)
	text("service", d.Service)
	text("route", d.Route)
	if len(d.Candidates) > 0 {
		attrs = append(attrs, slog.Any("candidates", d.Candidates))
	}
	text("taken", d.Subject)
	text("peer", d.Peer)
	text("outcome", d.Outcome)
	text("reason", d.Reason)
	if len(d.Inputs) > 0 {
		attrs = append(attrs, slog.Any("inputs", d.Inputs))
	}
	line := slog.NewRecord(d.Time, slog.LevelInfo, "decision", 0)
	line.AddAttrs(attrs...)
	// The error is ignored because there is no other log to report it to.
	_ = handler.Handle(ctx, line)
}

// maxAttrs is the number of fields of a decision line.
const maxAttrs = 10
