// Package decision records the decisions of a node on requests, with their reasons. Each decision is written as a log line
// and kept in a bounded in-memory store that `agatectl explain` reads.
package decision

import (
	"cmp"
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/memory"
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
	queue *ring.Ring[line]
	// lines is the memory for the queue, and kept that for the kept decisions.
	lines, kept *memory.Budget
	// skipped counts the lines that were dropped for lack of memory.
	skipped atomic.Uint64

	mu   sync.Mutex
	byID map[string]*request
	// order is a ring of the ids of the kept requests, of which the oldest one is at first.
	order        []string
	first, count int

	cancel context.CancelFunc
	done   chan struct{}
}

// line is a decision that the log has not written yet, with the memory that it takes.
type line struct {
	Decision
	size int64
}

// request holds the decisions on a request, with the memory that they take.
type request struct {
	decisions []Decision
	size      int64
}

const (
	// defaultMemory is the memory for the kept decisions, and for the lines that are not written yet, where the options name none.
	defaultMemory = 16 << 20
	// baseSize is the memory of a decision without its texts, and elementSize that of a candidate or an input.
	baseSize    = 256
	elementSize = 64
	// maxTextBytes is the length to which texts are cut, and maxRequestIDBytes the length of the longest id of a request.
	maxTextBytes      = 256
	maxRequestIDBytes = 64
)

// Options bound what a Recorder keeps. Zero values mean the defaults.
type Options struct {
	// Capacity is the number of requests whose decisions are kept.
	Capacity int
	// Kept is the memory for the kept decisions, and Lines that for the lines that the log has not written yet.
	Kept, Lines *memory.Budget
}

// NewRecorder returns a recorder that writes to log.
func NewRecorder(log Log, options Options) *Recorder {
	if options.Kept == nil {
		options.Kept = memory.NewBudget(defaultMemory)
	}
	if options.Lines == nil {
		options.Lines = memory.NewBudget(defaultMemory)
	}
	return &Recorder{
		log:   log,
		queue: ring.New[line](logRingCapacity, ring.Refuse),
		lines: options.Lines,
		kept:  options.Kept,
		byID:  make(map[string]*request),
		order: make([]string, cmp.Or(options.Capacity, DefaultCapacity)),
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
	d.clip()
	if d.RequestID != "" {
		r.store(d)
	}
	r.enqueue(d)
}

// clip cuts long texts. An id that no request can have is removed.
func (d *Decision) clip() {
	if len(d.RequestID) > maxRequestIDBytes {
		d.RequestID = ""
	}
	for _, text := range []*string{&d.Step, &d.Service, &d.Route, &d.Subject, &d.Peer, &d.Outcome, &d.Reason} {
		*text = clip(*text)
	}
	for name, value := range d.Inputs {
		if text, ok := value.(string); ok && len(text) > maxTextBytes {
			d.Inputs[name] = clip(text)
		}
	}
}

func clip(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.Clone(text[:maxTextBytes])
}

// size returns the memory that a decision takes.
func (d *Decision) size() int64 {
	size := baseSize + elementSize*(len(d.Candidates)+len(d.Inputs))
	size += len(d.RequestID) + len(d.Service) + len(d.Route) + len(d.Subject) + len(d.Peer) + len(d.Reason)
	for _, candidate := range d.Candidates {
		size += len(candidate.Endpoint)
	}
	for _, value := range d.Inputs {
		if text, ok := value.(string); ok {
			size += len(text)
		}
	}
	return int64(size)
}

// enqueue queues the line of a decision. If there is no room for it, the oldest lines are dropped.
func (r *Recorder) enqueue(d Decision) {
	added := line{Decision: d, size: d.size()}
	for !r.lines.Reserve(added.size) {
		if !r.dropLine() {
			r.skipped.Add(1)
			return
		}
	}
	for !r.queue.Push(added) {
		r.dropLine()
	}
}

// dropLine drops the oldest line and reports whether there was one.
func (r *Recorder) dropLine() bool {
	oldest, ok := r.queue.TryPop()
	if ok {
		r.lines.Release(oldest.size)
		r.skipped.Add(1)
	}
	return ok
}

// Explain returns the decisions that are kept for a request.
func (r *Recorder) Explain(requestID string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[requestID]; known != nil {
		return append([]Decision(nil), known.decisions...)
	}
	return nil
}

// Dropped returns the number of log lines dropped because the log could not keep up.
func (r *Recorder) Dropped() uint64 {
	return r.skipped.Load()
}

// store keeps a decision on a request. If there is no room for it, the oldest requests are removed.
func (r *Recorder) store(d Decision) {
	size := d.size()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[d.RequestID]; known != nil && len(known.decisions) >= maxPerRequest {
		return
	}
	for !r.kept.Reserve(size) {
		if r.count == 0 {
			return
		}
		r.removeOldest()
	}
	known := r.byID[d.RequestID]
	if known == nil {
		if r.count == len(r.order) {
			r.removeOldest()
		}
		known = &request{}
		r.byID[d.RequestID] = known
		r.order[(r.first+r.count)%len(r.order)] = d.RequestID
		r.count++
	}
	known.decisions = append(known.decisions, d)
	known.size += size
}

// removeOldest removes the request that has been kept for the longest time. The caller holds the lock.
func (r *Recorder) removeOldest() {
	id := r.order[r.first]
	r.kept.Release(r.byID[id].size)
	delete(r.byID, id)
	r.order[r.first] = ""
	r.first = (r.first + 1) % len(r.order)
	r.count--
}

// run writes the queued lines in batches until the context ends.
func (r *Recorder) run(ctx context.Context) {
	defer close(r.done)
	for {
		l, err := r.queue.Pop(ctx)
		if err != nil {
			r.drain()
			return
		}
		r.writeLine(l)
		clock.Sleep(ctx, batchPeriod)
		r.drain()
	}
}

// drain writes all queued lines.
func (r *Recorder) drain() {
	for {
		l, ok := r.queue.TryPop()
		if !ok {
			break
		}
		r.writeLine(l)
	}
	// The error is ignored because there is no other log to report it to.
	_ = r.log.Flush()
}

// writeLine writes a queued line and returns its memory.
func (r *Recorder) writeLine(l line) {
	r.write(l.Decision)
	r.lines.Release(l.size)
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
	record := slog.NewRecord(d.Time, slog.LevelInfo, "decision", 0)
	record.AddAttrs(attrs...)
	// The error is ignored because there is no other log to report it to.
	_ = handler.Handle(ctx, record)
}

// maxAttrs is the number of fields of a decision line.
const maxAttrs = 10
