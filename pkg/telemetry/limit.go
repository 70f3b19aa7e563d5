package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxLines is the number of lines with the same message that are written in a linePeriod. Clients can cause some of them.
	maxLines   = 20
	linePeriod = time.Second
	// maxMessages is the number of messages that are counted separately. Further ones are counted together.
	maxMessages = 256
)

// limiter counts the lines of each message. It is safe for concurrent use.
type limiter struct {
	now func() time.Time

	mu     sync.Mutex
	counts map[string]*lineCount
}

type lineCount struct {
	since               time.Time
	written, suppressed int
}

// take reports whether a line may be written, and how many with its message were suppressed since the latest one.
func (l *limiter) take(message string) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.counts[message]
	if count == nil {
		if len(l.counts) >= maxMessages {
			message = ""
		}
		if count = l.counts[message]; count == nil {
			count = &lineCount{}
			l.counts[message] = count
		}
	}
	if now := l.now(); now.Sub(count.since) >= linePeriod {
		count.since, count.written = now, 0
	}
	if count.written >= maxLines {
		count.suppressed++
		return false, 0
	}
	count.written++
	suppressed, count.suppressed = count.suppressed, 0
	return true, suppressed
}

// limitedHandler suppresses lines beyond maxLines with the same message in a linePeriod. The next line tells their number.
type limitedHandler struct {
	slog.Handler
	limiter *limiter
}

// Handle implements slog.Handler.
func (h limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	ok, suppressed := h.limiter.take(record.Message)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitedHandler{h.Handler.WithAttrs(attrs), h.limiter}
}

// WithGroup implements slog.Handler.
func (h limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{h.Handler.WithGroup(name), h.limiter}
}
