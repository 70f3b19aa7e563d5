package telemetry

import (
	"log/slog"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// hertzWriter writes the lines of hertz's own log to a structured logger.
type hertzWriter struct {
	logger *slog.Logger
}

func (w hertzWriter) Write(line []byte) (int, error) {
	w.logger.Debug("message of the HTTP library", slog.String("text", strings.TrimSpace(string(line))))
	return len(line), nil
}

// RedirectHertzLog sends the log of the HTTP library hertz to logger instead of standard error, at debug level: the
// library logs each malformed request, which callers may send at any time.
func RedirectHertzLog(logger *slog.Logger) {
	hlog.SetOutput(hertzWriter{logger: logger})
	hlog.SetLevel(hlog.LevelWarn)
}
