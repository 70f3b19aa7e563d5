// Package telemetry sets up the structured log and the metrics of a process. Metrics are recorded through
// OpenTelemetry and exported in the Prometheus format from a registry that belongs to the process alone.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// NewLogger returns a logger that writes to w in the given format ("json" or "text") from the given level on ("debug",
// "info", "warn" or "error").
func NewLogger(w io.Writer, format, level string) (*slog.Logger, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: threshold}
	switch strings.ToLower(format) {
	case FormatJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case FormatText:
		return slog.New(slog.NewTextHandler(w, options)), nil
	default:
		return nil, fmt.Errorf("log format %q: want %s or %s", format, FormatJSON, FormatText)
	}
}
