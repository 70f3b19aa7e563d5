// Package telemetry sets up the structured log and the metrics of a process. Metrics are recorded through
// OpenTelemetry and exported in the Prometheus format from a registry of their own rather than the global one.
package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// logBufferBytes is the number of bytes of log lines that are collected before they are written.
const logBufferBytes = 64 << 10

// Log is the structured log of a process. Handler buffers lines; it is meant for the many lines that record decisions
// on requests. Lines of Logger are written immediately, after all lines that are still in the buffer, unless there are too many with
// the same message. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	handler slog.Handler
	logger  *slog.Logger
}

// NewLog returns a log that writes to w in the given format ("json" or "text"). Lines below the given level ("debug",
// "info", "warn" or "error") are dropped.
func NewLog(w io.Writer, format, level string) (*Log, error) {
	l := &Log{buffer: bufio.NewWriterSize(w, logBufferBytes)}
	var err error
	if l.handler, err = newHandler(bufferedWriter{l}, format, level); err != nil {
		return nil, err
	}
	direct, err := newHandler(directWriter{l}, format, level)
	if err != nil {
		return nil, err
	}
	l.logger = slog.New(limitedHandler{direct, &limiter{now: time.Now, counts: make(map[string]*lineCount)}})
	return l, nil
}

// Logger returns the logger whose lines are written immediately.
func (l *Log) Logger() *slog.Logger { return l.logger }

// Handler returns the handler whose lines are buffered until the next Flush, the next line of Logger, or a full buffer.
func (l *Log) Handler() slog.Handler { return l.handler }

// Flush writes the buffered lines.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Flush()
}

// bufferedWriter writes to the buffer of a log.
type bufferedWriter struct{ log *Log }

func (w bufferedWriter) Write(line []byte) (int, error) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	return w.log.buffer.Write(line)
}

// directWriter writes to the buffer of a log and flushes it.
type directWriter struct{ log *Log }

func (w directWriter) Write(line []byte) (int, error) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	n, err := w.log.buffer.Write(line)
	if err != nil {
		return n, err
	}
	return n, w.log.buffer.Flush()
}

func newHandler(w io.Writer, format, level string) (slog.Handler, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: threshold}
	switch strings.ToLower(format) {
	case FormatJSON:
		return slog.NewJSONHandler(w, options), nil
	case FormatText:
		return slog.NewTextHandler(w, options), nil
	default:
		return nil, fmt.Errorf("log format %q: want %s or %s", format, FormatJSON, FormatText)
	}
}
