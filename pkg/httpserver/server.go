// Package httpserver runs hertz servers whose planned stop cuts no request: it knows which connections carry one and
// closes only the others. A request whose handler panics ends alone.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/socket"
)

const (
	idleTimeout    = 60 * time.Second
	readTimeout    = 15 * time.Second
	maxHeaderBytes = 64 << 10
	// exitWait covers the longest download, since the life cycle of the node bounds the stop.
	exitWait   = 24 * time.Hour
	pollPeriod = 20 * time.Millisecond
	// quietPeriod is how long a connection must be without a request before a stop closes it.
	quietPeriod = 500 * time.Millisecond
	// A stop waits until no connection waits to be accepted, since closing the listener resets those. It looks again after
	// backlogPoll and gives up after backlogWait.
	backlogPoll = time.Millisecond
	backlogWait = 300 * time.Millisecond
	// acceptPause is the wait after a failure to accept, as when there are no descriptors left.
	acceptPause = 20 * time.Millisecond
)

// Server serves all methods and paths with one handler.
type Server struct {
	address string
	handler app.HandlerFunc
	logger  *slog.Logger
	engine  *server.Hertz

	mu       sync.Mutex
	listener net.Listener
	conns    map[string]*tracked
	served   chan struct{}
}

// tracked is an accepted connection.
type tracked struct {
	net.Conn
	owner     *Server
	busy      int
	idleSince time.Time
	// received is when bytes arrived last, in Unix nanoseconds: a request that is still being read is not yet busy.
	received atomic.Int64
}

// Read notes that a request may be arriving.
func (t *tracked) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.received.Store(time.Now().UnixNano())
	}
	return n, err
}

// quiet reports whether no request is under way on the connection. The caller holds the lock of the server.
func (t *tracked) quiet(now time.Time) bool {
	return t.busy == 0 && now.Sub(t.idleSince) >= quietPeriod &&
		now.Sub(time.Unix(0, t.received.Load())) >= quietPeriod && socket.StateOf(t.Conn) != socket.Readable
}

// New returns a server that will listen on address.
func New(address string, handler app.HandlerFunc, logger *slog.Logger) *Server {
	return &Server{
		address: address, handler: handler, logger: logger, conns: make(map[string]*tracked), served: make(chan struct{}),
	}
}

// Start listens and serves. The server can be used once it returns.
func (s *Server) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.listener = listener
	s.engine = server.New(
		server.WithListener(&trackingListener{Listener: listener, owner: s}),
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithRedirectTrailingSlash(false),
	)
	s.engine.Any("/*path", s.serve)
	s.engine.NoRoute(s.serve)
	go func() {
		defer close(s.served)
		_ = s.engine.Run()
	}()
	return s.waitRunning(ctx)
}

// waitRunning waits until the engine accepts connections, since it cannot be shut down before.
func (s *Server) waitRunning(ctx context.Context) error {
	for !s.engine.IsRunning() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener, closes each connection once it carries no request, and waits for all of them. If the
// context ends first, the remaining connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	s.emptyBacklog(ctx)
	closed := make(chan error, 1)
	go func() { closed <- s.engine.Shutdown(ctx) }()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		s.closeIdle(time.Now())
		select {
		case err := <-closed:
			s.closeAll()
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		case <-ticker.C:
		}
	}
}

// emptyBacklog waits until all connections that callers have opened are accepted.
func (s *Server) emptyBacklog(ctx context.Context) {
	for deadline := time.Now().Add(backlogWait); socket.Pending(s.listener) && time.Now().Before(deadline); {
		clock.Sleep(ctx, backlogPoll)
	}
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	conn := s.enter(c.GetConn().RemoteAddr().String())
	defer s.leave(conn)
	if err := guard.Call(func() { s.handler(ctx, c) }); err != nil {
		s.logger.Error("request failed with a panic", "server", s.address, "error", err)
		// The request may have run, so that nothing is promised, and part of a response may have been sent.
		c.Response.Reset()
		c.SetStatusCode(http.StatusBadGateway)
		c.SetConnectionClose()
	}
}

func (s *Server) enter(remote string) *tracked {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.conns[remote]
	if conn != nil {
		conn.busy++
	}
	return conn
}

func (s *Server) leave(conn *tracked) {
	if conn == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.busy--
	conn.idleSince = time.Now()
}

func (s *Server) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		if conn.quiet(now) {
			_ = conn.Conn.Close()
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Conn.Close()
	}
}

func (s *Server) add(conn net.Conn) *tracked {
	t := &tracked{Conn: conn, owner: s, idleSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn.RemoteAddr().String()] = t
	return t
}

// Close closes the connection and forgets it.
func (t *tracked) Close() error {
	t.owner.mu.Lock()
	if t.owner.conns[t.RemoteAddr().String()] == t {
		delete(t.owner.conns, t.RemoteAddr().String())
	}
	t.owner.mu.Unlock()
	return t.Conn.Close()
}

// trackingListener registers each accepted connection.
type trackingListener struct {
	net.Listener
	owner *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.owner.add(conn), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		// hertz would stop accepting for good.
		l.owner.logger.Error("accept failed", "server", l.owner.address, "error", err)
		time.Sleep(acceptPause)
	}
}
