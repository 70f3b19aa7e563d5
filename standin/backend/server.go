// Package backend is a fake backend server with faults that are switched at run time. It serves HTTP with net/http,
// which cancels a request's context when its connection closes and lets a handler cut a response off.
package backend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// exitCrash is the exit code after a crash token.
const exitCrash = 70

// Settings of a backend server.
type Settings struct {
	// Listen and Admin are addresses; a port of 0 chooses a free one.
	Listen string
	Admin  string
	ID     string
	// Slots is the number of requests served at the same time; more are answered with 503.
	Slots int
	// ServiceTime is the time of a request that does not name one.
	ServiceTime time.Duration
	// HealthTime is the time that the health endpoint takes.
	HealthTime time.Duration
	// ColdFor is the time after the start in which requests take ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// RunLog is a file to which runs are appended; empty means none.
	RunLog string
	Faults Faults
	Logger *slog.Logger
	// Exit ends the process; nil means os.Exit.
	Exit func(code int)
}

// Stats are counts since the start.
type Stats struct {
	ID        string `json:"id"`
	Requests  uint64 `json:"requests"`
	Answered  uint64 `json:"answered"`
	Shed      uint64 `json:"shed"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	Busy      int64  `json:"busy"`
	MaxBusy   int64  `json:"max_busy"`
	Cold      bool   `json:"cold"`
}

// Server is a backend server.
type Server struct {
	settings Settings
	logger   *slog.Logger
	runs     *runLog
	started  time.Time
	address  string

	mu       sync.Mutex
	faults   Faults
	unstall  chan struct{}
	listener net.Listener

	http  *http.Server
	admin *http.Server
	// adminAddress is set once the admin listener is open.
	adminAddress string

	requests, answered, shed, failed, cancelled, expired atomic.Uint64
	busy, maxBusy                                        atomic.Int64
	failCount, cutCount                                  atomic.Uint64
}

// New returns a server that is not yet started.
func New(settings Settings) (*Server, error) {
	if err := settings.Faults.Check(); err != nil {
		return nil, err
	}
	if settings.Slots < 1 {
		return nil, fmt.Errorf("slots %d: want 1 or more", settings.Slots)
	}
	if settings.Exit == nil {
		settings.Exit = os.Exit
	}
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	runs, err := openRunLog(settings.RunLog)
	if err != nil {
		return nil, err
	}
	s := &Server{settings: settings, logger: settings.Logger, runs: runs, unstall: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveWork)}
	s.admin = &http.Server{Handler: s.adminHandler()}
	return s, nil
}

// Start opens the listeners and serves.
func (s *Server) Start() error {
	s.started = time.Now()
	admin, err := net.Listen("tcp", s.settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for admin requests: %w", err)
	}
	s.adminAddress = admin.Addr().String()
	go s.run(s.admin, admin)
	s.address = s.settings.Listen
	if err := s.listen(); err != nil {
		return err
	}
	return s.SetFaults(s.settings.Faults)
}

// Stop ends the server. It waits for requests in progress until the context is done and then closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	return errors.Join(err, s.admin.Close(), s.runs.close())
}

// Address returns the address for requests.
func (s *Server) Address() string { return s.address }

// AdminAddress returns the address for switching faults.
func (s *Server) AdminAddress() string { return s.adminAddress }

// Runs returns the counts of runs by this process.
func (s *Server) Runs() Runs { return s.runs.snapshot() }

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	before := s.faults
	s.faults = f
	if before.Stall && !f.Stall {
		close(s.unstall)
		s.unstall = make(chan struct{})
	}
	s.mu.Unlock()
	switch {
	case f.Refuse && !before.Refuse:
		return s.refuse()
	case !f.Refuse && before.Refuse:
		return s.listen()
	}
	return nil
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{
		ID:        s.settings.ID,
		Requests:  s.requests.Load(),
		Answered:  s.answered.Load(),
		Shed:      s.shed.Load(),
		Failed:    s.failed.Load(),
		Cancelled: s.cancelled.Load(),
		Expired:   s.expired.Load(),
		Busy:      s.busy.Load(),
		MaxBusy:   s.maxBusy.Load(),
		Cold:      s.cold(),
	}
}

func (s *Server) cold() bool {
	return time.Since(s.started) < s.settings.ColdFor
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for requests: %w", err)
	}
	s.mu.Lock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.mu.Unlock()
	s.http.SetKeepAlivesEnabled(true)
	go s.run(s.http, listener)
	return nil
}

// refuse closes the listener, which makes the kernel refuse connections, and the idle connections.
func (s *Server) refuse() error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	s.http.SetKeepAlivesEnabled(false)
	if err := listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

func (s *Server) run(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.Error("server ended", "address", listener.Addr().String(), "error", err)
	}
}
