// Package httpserver runs hertz servers whose planned stop cuts no request: it knows which connections carry one and
// closes only the others.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
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
)

// Server serves all methods and paths with one handler.
type Server struct {
	address string
	handler app.HandlerFunc
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
}

// New returns a server that will listen on address.
func New(address string, handler app.HandlerFunc) *Server {
	return &Server{address: address, handler: handler, conns: make(map[string]*tracked), served: make(chan struct{})}
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

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	conn := s.enter(c.GetConn().RemoteAddr().String())
	defer s.leave(conn)
	s.handler(ctx, c)
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
		if conn.busy == 0 && now.Sub(conn.idleSince) >= quietPeriod {
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
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(conn), nil
}
