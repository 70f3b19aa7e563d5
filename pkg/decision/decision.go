// Package decision records why a node treated a request as it did. Each decision is a log line and an entry in a
// bounded in-memory record that `agatectl explain` reads.
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
	Subject    string      `json:"taken,omitempty"`
	Peer       string      `json:"peer,omitempty"`
	Outcome    string      `json:"outcome,omitempty"`
	Reason     string      `json:"reason"`
	// Inputs are what the decision was based on, with their age or version.
	Inputs map[string]any `json:"inputs,omitempty"`
}

const (
	// logRingCapacity holds the lines of one batch period at 80,000 decisions a second.
	logRingCapacity = 4096
	// DefaultCapacity is the number of requests whose decisions are kept.
	DefaultCapacity = 8192
	maxPerRequest   = 16
	// batchPeriod is how long lines are collected before they are written together. Writing each line by itself woke a
	// thread for every decision.
	batchPeriod = 50 * time.Millisecond
)

// Log takes decision lines. Flush writes out what is buffered.
type Log interface {
	Handler() slog.Handler
	Flush() error
}

// Recorder keeps the decisions of the latest requests and writes them to the log in a duty of its own, so that a slow
// log does not delay requests. It is safe for concurrent use.
type Recorder struct {
	log    Log
	logger *slog.Logger
	queue  *ring.Ring[Decision]

	mu    sync.Mutex
	byID  map[string][]Decision
	order []string
	next  int

	cancel context.CancelFunc
	done   chan struct{}
}

// NewRecorder returns a recorder that writes to log and keeps the decisions of a number of requests.
func NewRecorder(log Log, capacity int) *Recorder {
	return &Recorder{
		log:    log,
		logger: slog.New(log.Handler()),
		queue:  ring.New[Decision](logRingCapacity, ring.DropOldest),
		byID:   make(map[string][]Decision),
		order:  make([]string, capacity),
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
	return kernel.AwaitClosed(ctx, r.done, "decision log")
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

// Dropped returns the number of log lines dropped because the log could not keep up.
func (r *Recorder) Dropped() uint64 {
	return r.queue.Dropped()
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
	// A log that cannot be written has no other place to say so.
	_ = r.log.Flush()
}

// write logs a decision. Fields that do not apply are left out, so that lines stay short.
func (r *Recorder) write(d Decision) {
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
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "decision", attrs...)
}

// maxAttrs is the number of fields of a decision line.
const maxAttrs = 10
