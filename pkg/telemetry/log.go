// Package telemetry sets up the structured log and the metrics of a process. Metrics are recorded through
// OpenTelemetry and exported in the Prometheus format from a registry that belongs to the process alone.
package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

const logBufferBytes = 64 << 10

// Log is the structured log of a process. Its handler buffers lines, for the many that tell of decisions on requests;
// the lines of its logger are written out at once, with those that were buffered before. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	handler slog.Handler
	logger  *slog.Logger
}

// NewLog returns a log that writes to w in the given format ("json" or "text") from the given level on ("debug",
// "info", "warn" or "error").
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
	l.logger = slog.New(direct)
	return l, nil
}

// Logger returns the logger whose lines are written out at once.
func (l *Log) Logger() *slog.Logger { return l.logger }

// Handler returns the handler whose lines are buffered until Flush.
func (l *Log) Handler() slog.Handler { return l.handler }

// Flush writes out the buffered lines.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Flush()
}

type bufferedWriter struct{ log *Log }

func (w bufferedWriter) Write(line []byte) (int, error) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	return w.log.buffer.Write(line)
}

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
