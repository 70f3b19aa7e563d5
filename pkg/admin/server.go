package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"agatepulley.example/agatepulley/pkg/httpserver"
)

// stopTimeout is how long a stop waits for requests in progress.
const stopTimeout = 100 * time.Millisecond

// Sources are the parts of a node that the admin server uses. Metrics and Quarantine may be nil.
type Sources struct {
	Status     StatusSource
	Readiness  ReadinessSource
	Explainer  Explainer
	Metrics    http.Handler
	Quarantine Quarantine
}

// Server is the admin HTTP server of a node.
type Server struct {
	sources Sources
	logger  *slog.Logger
	server  *httpserver.Server
}

// NewServer returns a server that will listen on address and serves within limits.
func NewServer(address string, sources Sources, logger *slog.Logger, limits httpserver.Limits) *Server {
	s := &Server{sources: sources, logger: logger}
	s.server = httpserver.New(address, s.serve, logger, limits)
	return s
}

// Start listens and serves in the background. The server accepts requests once Start has returned.
func (s *Server) Start(ctx context.Context) error {
	if err := s.server.Start(ctx); err != nil {
		return fmt.Errorf("admin server: %w", err)
	}
	return nil
}

// Stop closes the listener and waits up to stopTimeout for requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.server.Stop(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down admin server on %s: %w", s.Address(), err)
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.server.Address() }

// Paths of the server. Those that end with a slash are followed by an id.
const (
	pathStatus  = "/status"
	pathExplain = "/explain/"
	pathReady   = "/ready"
	pathLive    = "/live"
	pathMetrics = "/metrics"
)

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	path, method := string(c.Path()), string(c.Method())
	id, explains := strings.CutPrefix(path, pathExplain)
	fingerprint, lifts := strings.CutPrefix(path, LiftPath)
	switch {
	case method == http.MethodGet && path == pathStatus:
		s.respond(c, http.StatusOK, s.sources.Status.Status())
	case method == http.MethodGet && path == pathReady:
		s.ready(c)
	case method == http.MethodGet && path == pathLive:
		c.String(http.StatusOK, "live\n")
	case method == http.MethodGet && path == pathMetrics && s.sources.Metrics != nil:
		adaptor.HertzHandler(s.sources.Metrics)(ctx, c)
	case method == http.MethodGet && explains && id != "":
		s.explain(c, id)
	case method == http.MethodPost && lifts && fingerprint != "" && s.sources.Quarantine != nil:
		s.lift(c, fingerprint)
	default:
		c.String(http.StatusNotFound, "404 page not found")
	}
}

func (s *Server) explain(c *app.RequestContext, id string) {
	decisions := s.sources.Explainer.Explain(id)
	status := http.StatusOK
	if len(decisions) == 0 {
		status = http.StatusNotFound
	}
	s.respond(c, status, Explanation{RequestID: id, Decisions: decisions})
}

// LiftPath is the path, up to a fingerprint, to which a POST ends the quarantine of requests.
const LiftPath = "/quarantine/lift/"

// Lifted is the response to a POST to LiftPath.
type Lifted struct {
	Fingerprint string `json:"fingerprint"`
}

func (s *Server) lift(c *app.RequestContext, fingerprint string) {
	if !s.sources.Quarantine.Lift(fingerprint) {
		s.respond(c, http.StatusNotFound, Lifted{})
		return
	}
	s.logger.Info("quarantine lifted", "fingerprint", fingerprint)
	s.respond(c, http.StatusOK, Lifted{Fingerprint: fingerprint})
}

func (s *Server) ready(c *app.RequestContext) {
	readiness := s.sources.Readiness.Readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	s.respond(c, status, readiness)
}

func (s *Server) respond(c *app.RequestContext, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		s.logger.Error("encode admin response", "path", string(c.Path()), "error", err)
		c.String(http.StatusInternalServerError, "encode response: %v\n", err)
		return
	}
	c.Data(status, "application/json", append(body, '\n'))
}
