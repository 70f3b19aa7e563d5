// Package hop defines the headers that nodes exchange on the hop between the ingress, the node that accepted a request,
// and the owner, the node on the host of the chosen endpoint. Headers with the prefix outcome.HopPrefix are passed
// on neither to callers nor to backend servers.
package hop

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
)

// Meta describes one attempt to run a request.
type Meta struct {
	RequestID string
	// Attempt is the id of the attempt, which is unique in the fleet. The owner echoes it, and it identifies the attempt in
	// inquiries and claims.
	Attempt  string
	Service  string
	Endpoint string
	Route    string
	// Key is the idempotency key, or empty if there is none. Package forward does not set it.
	Key string
	// Fingerprint identifies requests that have the same effect, see quarantine.Identity.
	Fingerprint string
	// Suspect requests may have crashed an endpoint in an earlier attempt.
	Suspect bool
	// Repeatable requests may be run more than once.
	Repeatable bool
	// Long requests are expected to occupy a slot for long; the owner leaves slots free for others.
	Long bool
	// MaxWait, if not zero, is the longest wait for a slot. The owner refuses the request as busy if it expects a longer
	// one, so that the ingress can try another endpoint.
	MaxWait time.Duration
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Priority ranks the request among those of its service; lower values run first.
	Priority int
	// CallerService is the service on whose host the request originated. It is empty if backend servers are not told.
	CallerService string
	// Announced is what the ingress knows of the announcements of the endpoint. The node beside the endpoint may have been
	// restarted since.
	Announced announce.State
}

// Values of the class header, separated by commas.
const (
	flagRepeatable = "repeatable"
	flagSuspect    = "suspect"
	flagMaxWait    = "max-wait-ms="
	classLong      = "long"
	classShort     = "short"
)

// Write sets the hop headers of a request.
func (m *Meta) Write(h *protocol.RequestHeader) {
	class := classShort
	if m.Long {
		class = classLong
	}
	if m.Repeatable {
		class += "," + flagRepeatable
	}
	if m.Suspect {
		class += "," + flagSuspect
	}
	if m.MaxWait > 0 {
		class += "," + flagMaxWait + strconv.FormatInt(max(m.MaxWait.Milliseconds(), 1), 10)
	}
	h.Set(outcome.HeaderRequestID, m.RequestID)
	h.Set(outcome.HeaderHopAttempt, m.Attempt)
	h.Set(outcome.HeaderHopService, m.Service)
	h.Set(outcome.HeaderHopEndpoint, m.Endpoint)
	h.Set(outcome.HeaderHopRoute, m.Route)
	h.Set(outcome.HeaderHopClass, class)
	h.Set(outcome.HeaderHopFingerprint, m.Fingerprint)
	h.Set(outcome.HeaderDeadline, strconv.FormatInt(m.Remaining.Milliseconds(), 10))
	if m.Key != "" {
		h.Set(outcome.HeaderKey, m.Key)
	}
	if m.Priority != 0 {
		h.Set(outcome.HeaderHopPriority, strconv.Itoa(m.Priority))
	}
	if m.CallerService != "" {
		h.Set(outcome.HeaderHopCaller, m.CallerService)
	}
	if m.Announced.Version > 0 {
		h.Set(outcome.HeaderHopAnnounced, encodeAnnounced(m.Announced))
	}
}

// Read parses the hop headers of a request.
func Read(h *protocol.RequestHeader) (*Meta, error) {
	remaining, err := strconv.ParseInt(h.Get(outcome.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("parse header %s: %w", outcome.HeaderDeadline, err)
	}
	priority := 0
	if text := h.Get(outcome.HeaderHopPriority); text != "" {
		if priority, err = strconv.Atoi(text); err != nil {
			return nil, fmt.Errorf("parse header %s: %w", outcome.HeaderHopPriority, err)
		}
	}
	announced, err := decodeAnnounced(h.Get(outcome.HeaderHopAnnounced))
	if err != nil {
		return nil, err
	}
	class := strings.Split(h.Get(outcome.HeaderHopClass), ",")
	maxWait, err := readMaxWait(class)
	if err != nil {
		return nil, err
	}
	m := &Meta{
		RequestID:   h.Get(outcome.HeaderRequestID),
		Attempt:     h.Get(outcome.HeaderHopAttempt),
		Service:     h.Get(outcome.HeaderHopService),
		Endpoint:    h.Get(outcome.HeaderHopEndpoint),
		Route:       h.Get(outcome.HeaderHopRoute),
		Key:         h.Get(outcome.HeaderKey),
		Fingerprint: h.Get(outcome.HeaderHopFingerprint),
		Suspect:     slices.Contains(class, flagSuspect),
		Repeatable:  slices.Contains(class, flagRepeatable),
		MaxWait:     maxWait,
		Long:        slices.Contains(class, classLong),
		Remaining:   time.Duration(remaining) * time.Millisecond,

		Priority:      priority,
		CallerService: h.Get(outcome.HeaderHopCaller),
		Announced:     announced,
	}
	if m.Attempt == "" || m.Endpoint == "" {
		return nil, fmt.Errorf("headers %s and %s are required, got %.64q and %.64q", outcome.HeaderHopAttempt, outcome.HeaderHopEndpoint, m.Attempt, m.Endpoint)
	}
	return m, m.checkLengths()
}

// Longest values of headers in bytes. Request ids and keys of callers are accepted up to these lengths only.
const (
	maxIDBytes       = 64
	maxKeyBytes      = 256
	maxEndpointBytes = 256
	maxNameBytes     = 1 << 10
)

// checkLengths returns an error if a text that is remembered after the request is longer than nodes send it.
func (m *Meta) checkLengths() error {
	for _, text := range []struct {
		header, value string
		limit         int
	}{
		{outcome.HeaderRequestID, m.RequestID, maxIDBytes},
		{outcome.HeaderHopAttempt, m.Attempt, maxIDBytes},
		{outcome.HeaderHopFingerprint, m.Fingerprint, maxIDBytes},
		{outcome.HeaderKey, m.Key, maxKeyBytes},
		{outcome.HeaderHopEndpoint, m.Endpoint, maxEndpointBytes},
		{outcome.HeaderHopService, m.Service, maxNameBytes},
		{outcome.HeaderHopRoute, m.Route, maxNameBytes},
		{outcome.HeaderHopCaller, m.CallerService, maxNameBytes},
	} {
		if len(text.value) > text.limit {
			return fmt.Errorf("header %s has %d bytes, at most %d are allowed", text.header, len(text.value), text.limit)
		}
	}
	return nil
}

// readMaxWait returns the MaxWait among the values of the class header, or 0 if there is none.
func readMaxWait(class []string) (time.Duration, error) {
	for _, flag := range class {
		if text, ok := strings.CutPrefix(flag, flagMaxWait); ok {
			ms, err := strconv.ParseUint(text, 10, 31)
			if err != nil {
				return 0, fmt.Errorf("parse header %s: %w", outcome.HeaderHopClass, err)
			}
			return time.Duration(ms) * time.Millisecond, nil
		}
	}
	return 0, nil
}

// State is the state of an endpoint as its owner reports it.
type State string

// States of an endpoint.
const (
	StateServing State = "serving"
	StateCold    State = "cold"
	StateDown    State = "down"
	StateLeaving State = "leaving"
)

// Load is the owner's report on an endpoint, as package owner adds it to its responses. Package dispatch sends a
// reports.Endpoint in JSON in the same header instead.
type Load struct {
	State State
	Busy  int
	// LongBusy is the number of slots busy with long requests, part of Busy.
	LongBusy    int
	Queued      int
	Slots       int
	Incarnation uint64
	// StallScore rates the owner's evidence that the backend server has stopped responding; 0 means none.
	StallScore float64
	// QueueTime is the time for which this response's request waited for a slot.
	QueueTime time.Duration
}

// String encodes the report as a header value of loadFields fields, with the queue time in microseconds.
func (l Load) String() string {
	return fmt.Sprintf("%s %d %d %d %d %d %.1f %d", l.State, l.Busy, l.LongBusy, l.Queued, l.Slots, l.Incarnation, l.StallScore, l.QueueTime.Microseconds())
}

// ParseLoad decodes a header value. It returns false if the value is malformed.
func ParseLoad(value string) (Load, bool) {
	fields := strings.Fields(value)
	if len(fields) != loadFields {
		return Load{}, false
	}
	p := fieldParser{}
	l := Load{
		State:       State(fields[0]),
		Busy:        int(p.integer(fields[1])),
		LongBusy:    int(p.integer(fields[2])),
		Queued:      int(p.integer(fields[3])),
		Slots:       int(p.integer(fields[4])),
		Incarnation: p.integer(fields[5]),
		StallScore:  p.float(fields[6]),
		QueueTime:   time.Duration(p.integer(fields[7])) * time.Microsecond,
	}
	return l, !p.failed
}

// loadFields is the number of fields of an encoded Load.
const loadFields = 8

// fieldParser parses numbers and sets failed if one of them is malformed.
type fieldParser struct {
	failed bool
}

func (p *fieldParser) integer(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	p.failed = p.failed || err != nil
	return n
}

func (p *fieldParser) float(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	p.failed = p.failed || err != nil
	return f
}
