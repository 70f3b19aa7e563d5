package telemetry

import (
	"log/slog"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// hertzWriter passes lines of hertz's own log on to a structured logger.
type hertzWriter struct {
	logger *slog.Logger
}

func (w hertzWriter) Write(line []byte) (int, error) {
	w.logger.Debug("http library", slog.String("text", strings.TrimSpace(string(line))))
	return len(line), nil
}

// RedirectHertzLog sends the log of the HTTP library to logger instead of standard error. The library logs each
// malformed request, which is normal traffic here, so its lines have debug level.
func RedirectHertzLog(logger *slog.Logger) {
	hlog.SetOutput(hertzWriter{logger: logger})
	hlog.SetLevel(hlog.LevelWarn)
}
