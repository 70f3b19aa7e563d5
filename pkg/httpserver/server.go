// Package httpserver runs hertz servers that stop without aborting requests: a server tracks which connections carry a
// request and closes only the others. A panic of the handler fails the request but not the process.
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
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/socket"
)

const (
	idleTimeout    = 60 * time.Second
	readTimeout    = 15 * time.Second
	maxHeaderBytes = 64 << 10
	// exitWait is hertz's own limit on a shutdown. It exceeds any download, since the context of Stop is to limit the
	// stop.
	exitWait = 24 * time.Hour
	// pollPeriod is the interval at which a stop looks for connections to close.
	pollPeriod = 20 * time.Millisecond
	// idlePeriod is how long a connection must have carried no request before a stop closes it.
	idlePeriod = 500 * time.Millisecond
	// Closing the listener resets connections that were not accepted yet. A stop first checks every backlogPoll whether
	// there are any, and closes the listener once there are none or backlogWait has passed.
	backlogPoll = time.Millisecond
	backlogWait = 300 * time.Millisecond
	// acceptPause is the wait before the next attempt after accept has failed, for example for lack of file
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// Server serves all methods and paths with one handler.
type Server struct {
	address string
	handler app.HandlerFunc
	logger  *slog.Logger
	engine  *server.Hertz
	// inFlight counts the requests that are being handled or answered.
	inFlight atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[string]*trackedConn // by remote address
	served   chan struct{}           // closed when the hertz engine has ended
}

// trackedConn is an accepted connection with the state that a stop needs.
type trackedConn struct {
	net.Conn
	server    *Server
	requests  int // that are being handled or answered
	idleSince time.Time
	// lastReadNS is the time of the latest read that returned bytes, in Unix nanoseconds. It shows that a request may
	// be arriving whose handler has not started yet.
	lastReadNS atomic.Int64
}

// Read reads from the connection and records the time.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.lastReadNS.Store(time.Now().UnixNano())
	}
	return n, err
}

// idle reports whether the connection has carried no request for idlePeriod and has nothing to read. The caller holds
// the server's lock.
func (t *trackedConn) idle(now time.Time) bool {
	return t.requests == 0 && now.Sub(t.idleSince) >= idlePeriod &&
		now.Sub(time.Unix(0, t.lastReadNS.Load())) >= idlePeriod && socket.StateOf(t.Conn) != socket.Readable
}

// New returns a server that will listen on address.
func New(address string, handler app.HandlerFunc, logger *slog.Logger) *Server {
	return &Server{
		address: address, handler: handler, logger: logger, conns: make(map[string]*trackedConn), served: make(chan struct{}),
	}
}

// Start listens and serves in the background. The server accepts requests once Start has returned.
func (s *Server) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.listener = listener
	s.engine = server.New(
		server.WithListener(&trackingListener{Listener: listener, server: s}),
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

// waitRunning waits until the engine accepts connections, since hertz cannot shut it down before.
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

// Stop closes the listener, closes each connection once it carries no request, and returns when all are closed. If the
// context ends first, it closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	s.awaitEmptyBacklog(ctx)
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

// awaitEmptyBacklog waits until all connections that clients have opened are accepted, for at most backlogWait.
func (s *Server) awaitEmptyBacklog(ctx context.Context) {
	for deadline := time.Now().Add(backlogWait); socket.Pending(s.listener) && time.Now().Before(deadline); {
		clock.Sleep(ctx, backlogPoll)
	}
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	conn := s.requestStarted(c.GetConn().RemoteAddr().String())
	defer s.requestEnded(conn)
	defer func() { c.Response.HijackWriter(written{s.writeResponse(c)}) }()
	if err := guard.Call(func() { s.handler(ctx, c) }); err != nil {
		s.logger.Error("request failed with a panic", "server", s.address, "error", err)
		// The request may have run, so the response must not say that it has not. Part of a response may have been sent
		// already, so the connection cannot be used again.
		c.Response.Reset()
		c.SetStatusCode(http.StatusBadGateway)
		c.SetConnectionClose()
	}
}

// writeResponse writes the response, or the end of one whose body the handler has written. hertz would do so after the
// handler has returned, when a stop no longer waits for the request.
func (s *Server) writeResponse(c *app.RequestContext) error {
	if !s.engine.IsRunning() || c.Request.Header.ConnectionClose() || !c.Request.Header.IsHTTP11() {
		c.SetConnectionClose()
	}
	if hijacked := c.Response.GetHijackWriter(); hijacked != nil {
		if err := hijacked.Finalize(); err != nil {
			return err
		}
		return hijacked.Flush()
	}
	c.Response.SkipBody = c.Request.Header.IsHead()
	if err := resp.Write(&c.Response, c.GetWriter()); err != nil {
		return err
	}
	return c.GetWriter().Flush()
}

// written takes the place of the writer of a response that has been written, with the result.
type written struct {
	err error
}

func (w written) Write([]byte) (int, error) { return 0, w.err }
func (w written) Flush() error              { return w.err }
func (w written) Finalize() error           { return w.err }

// InFlight returns the number of requests that are being handled or whose responses are being written.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// requestStarted counts a request on the connection of a remote address. It returns nil if the connection is already
// closed.
func (s *Server) requestStarted(remote string) *trackedConn {
	s.inFlight.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.conns[remote]
	if conn != nil {
		conn.requests++
	}
	return conn
}

func (s *Server) requestEnded(conn *trackedConn) {
	s.inFlight.Add(-1)
	if conn == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.requests--
	conn.idleSince = time.Now()
}

func (s *Server) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		if conn.idle(now) {
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

func (s *Server) add(conn net.Conn) *trackedConn {
	t := &trackedConn{Conn: conn, server: s, idleSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn.RemoteAddr().String()] = t
	return t
}

// Close closes the connection and removes it from the server's list.
func (t *trackedConn) Close() error {
	t.server.mu.Lock()
	if t.server.conns[t.RemoteAddr().String()] == t {
		delete(t.server.conns, t.RemoteAddr().String())
	}
	t.server.mu.Unlock()
	return t.Conn.Close()
}

// trackingListener adds each accepted connection to the server's list.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.server.add(conn), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		// If Accept returned the error, hertz would never accept a connection again.
		l.server.logger.Error("accept failed", "server", l.server.address, "error", err)
		time.Sleep(acceptPause)
	}
}
