package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	readTimeout     = 5 * time.Second
	idleTimeout     = 30 * time.Second
	exitWaitTimeout = 100 * time.Millisecond
)

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
	address  string
	sources  Sources
	logger   *slog.Logger
	hertz    *server.Hertz
	listener net.Listener
}

// NewServer returns a server that will listen on address.
func NewServer(address string, sources Sources, logger *slog.Logger) *Server {
	return &Server{address: address, sources: sources, logger: logger}
}

// Start listens and serves in the background. The server accepts requests once Start has returned.
func (s *Server) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for admin requests on %s: %w", s.address, err)
	}
	s.listener = listener
	s.hertz = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWaitTimeout),
		server.WithDisablePrintRoute(true),
	)
	s.routes()
	go s.serve()
	return s.waitRunning(ctx)
}

// waitRunning waits until the HTTP server runs, since hertz cannot shut it down before.
func (s *Server) waitRunning(ctx context.Context) error {
	for !s.hertz.IsRunning() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// Stop closes the listener and waits up to exitWaitTimeout for requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.hertz.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down admin server on %s: %w", s.address, err)
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) routes() {
	s.hertz.GET("/status", s.status)
	s.hertz.GET("/explain/:id", s.explain)
	s.hertz.GET("/ready", s.ready)
	s.hertz.GET("/live", s.live)
	if s.sources.Quarantine != nil {
		s.hertz.POST(LiftPath+":fingerprint", s.lift)
	}
	if s.sources.Metrics != nil {
		s.hertz.GET("/metrics", adaptor.HertzHandler(s.sources.Metrics))
	}
}

func (s *Server) serve() {
	if err := s.hertz.Run(); err != nil {
		s.logger.Error("admin server stopped with an error", "error", err)
	}
}

func (s *Server) status(_ context.Context, c *app.RequestContext) {
	s.respond(c, http.StatusOK, s.sources.Status.Status())
}

func (s *Server) explain(_ context.Context, c *app.RequestContext) {
	id := c.Param("id")
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

func (s *Server) lift(_ context.Context, c *app.RequestContext) {
	fingerprint := c.Param("fingerprint")
	if !s.sources.Quarantine.Lift(fingerprint) {
		s.respond(c, http.StatusNotFound, Lifted{})
		return
	}
	s.logger.Info("quarantine lifted", "fingerprint", fingerprint)
	s.respond(c, http.StatusOK, Lifted{Fingerprint: fingerprint})
}

func (s *Server) ready(_ context.Context, c *app.RequestContext) {
	readiness := s.sources.Readiness.Readiness()
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	s.respond(c, status, readiness)
}

func (s *Server) live(_ context.Context, c *app.RequestContext) {
	c.String(http.StatusOK, "live\n")
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
