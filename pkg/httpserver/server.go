// Package httpserver runs hertz servers that stop without aborting requests: a server tracks which connections carry a
// request and closes only the others. A panic of the handler fails the request but not the process. What clients send is read
// strictly and within limits (package framing).
package httpserver

import (
	"cmp"
	"context"
	"encoding/json"
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

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/framing"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/memory"
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
	// defaultHeads is the memory in bytes for all heads that are arriving and are not small, where the limits name none.
	defaultHeads = 8 << 20
	// defaultHeadTimeout and defaultMaxConnections apply where the limits name none.
	defaultHeadTimeout    = readTimeout
	defaultMaxConnections = 1024
	// headTimeoutFactor is how many times its timeout a head may take, since the sender's clock starts later and packets may be
	// lost.
	headTimeoutFactor = 2
	// sweepPeriod is the interval of the search for heads that take too long.
	sweepPeriod = time.Second
	// A client must read each writePart bytes of a response within writeTimeout, many times the longest deadline.
	writePart    = 64 << 10
	writeTimeout = 30 * time.Second
	// acceptPause is the wait before the next attempt after accept has failed, for example for lack of file
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// Limits bound what clients may make a server hold. The zero value means the defaults.
type Limits struct {
	// HeadBytes returns the size of the largest head of a request, with its request line.
	HeadBytes func() int
	// HeadTimeout returns the time within which the head of a request must arrive.
	HeadTimeout func() time.Duration
	// Heads is the memory for all heads that are arriving and are not small. Servers may share it.
	Heads *memory.Budget
	// MaxConnections is the number of open connections. Beyond it, one without a request is closed for each that is accepted.
	MaxConnections int
}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes == nil {
		l.HeadBytes = func() int { return maxHeaderBytes }
	}
	if l.HeadTimeout == nil {
		l.HeadTimeout = func() time.Duration { return defaultHeadTimeout }
	}
	if l.Heads == nil {
		l.Heads = memory.NewBudget(defaultHeads)
	}
	l.MaxConnections = cmp.Or(l.MaxConnections, defaultMaxConnections)
	return l
}

// Server serves all methods and paths with one handler.
type Server struct {
	address string
	handler app.HandlerFunc
	logger  *slog.Logger
	limits  Limits
	engine  *server.Hertz
	// refused counts the heads that were refused, and closed the connections that were closed to keep the limits.
	refused, closed atomic.Uint64
	stopSweep       context.CancelFunc
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
	server   *Server
	reader   *framing.Reader
	requests int // that are being handled or answered
	// slowSweeps counts the sweeps that have seen the head which began to arrive at slowSince unfinished. A pause of the process
	// counts as one sweep at most.
	slowSince  time.Time
	slowSweeps int
	idleSince  time.Time
	// lastReadNS is the time of the latest read that returned bytes, in Unix nanoseconds. It shows that a request may
	// be arriving whose handler has not started yet.
	lastReadNS atomic.Int64
}

// Read hands over the next part of a request.
func (t *trackedConn) Read(p []byte) (int, error) {
	return t.reader.Read(p)
}

// Write writes in parts, so that a client which reads slowly is told from one that does not read.
func (t *trackedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if err := t.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := t.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// timedSource reads from a connection and records the time.
type timedSource struct {
	conn *trackedConn
}

func (s timedSource) Read(p []byte) (int, error) {
	n, err := s.conn.Conn.Read(p)
	if n > 0 {
		s.conn.lastReadNS.Store(time.Now().UnixNano())
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
func New(address string, handler app.HandlerFunc, logger *slog.Logger, limits Limits) *Server {
	return &Server{
		address: address, handler: handler, logger: logger, limits: limits.withDefaults(),
		conns: make(map[string]*trackedConn), served: make(chan struct{}),
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
	sweeping, stop := context.WithCancel(context.Background())
	s.stopSweep = stop
	go guard.Supervise(sweeping, s.logger, "connection sweep", func() { s.sweep(sweeping) })
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
	defer s.stopSweep()
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
	if conn == nil {
		// The response could not be delivered, so the request must not run.
		_ = c.GetConn().Close()
		return
	}
	defer func() { c.Response.HijackWriter(written{s.writeResponse(c)}) }()
	if conn.reader.Refusal() != nil {
		s.refuse(c, conn.reader.Refusal())
		return
	}
	if err := guard.Call(func() { s.handler(ctx, c) }); err != nil {
		s.logger.Error("request failed with a panic", "server", s.address, "error", err)
		// The request may have run, so the response must not say that it has not. Part of a response may have been sent
		// already, so the connection cannot be used again.
		c.Response.Reset()
		c.SetStatusCode(http.StatusBadGateway)
		c.SetConnectionClose()
	}
}

// refusal is the body of the response to a head that was refused.
type refusal struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
}

// refuse answers a request whose head was refused. Its connection is closed.
func (s *Server) refuse(c *app.RequestContext, err error) {
	s.refused.Add(1)
	status, reason := http.StatusBadRequest, outcome.ReasonBadRequest
	switch {
	case errors.Is(err, framing.ErrHeadTooLarge):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonHeaderTooLarge
	case errors.Is(err, framing.ErrNoMemory):
		status, reason = http.StatusServiceUnavailable, outcome.ReasonBusy
		c.Response.Header.Set("Retry-After", "1")
	}
	s.logger.Debug("request refused", "server", s.address, "peer", c.RemoteAddr().String(), "reason", reason, "error", err)
	c.SetStatusCode(status)
	c.SetConnectionClose()
	c.Response.Header.Set(outcome.HeaderOutcome, string(outcome.NotRun))
	c.Response.Header.Set(outcome.HeaderReason, string(reason))
	c.Response.Header.SetContentType("application/json")
	// Encoding cannot fail: all fields are strings.
	text, _ := json.Marshal(refusal{Outcome: outcome.NotRun, Reason: reason})
	c.Response.SetBody(append(text, '\n'))
}

// Refused returns the number of heads that were refused because they were malformed or too large.
func (s *Server) Refused() uint64 {
	return s.refused.Load()
}

// Closed returns the number of connections that were closed to keep the limits.
func (s *Server) Closed() uint64 {
	return s.closed.Load()
}

// sweep closes the connections whose heads take too long, until the context ends.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.closeSlow()
		}
	}
}

func (s *Server) closeSlow() {
	limit := int(headTimeoutFactor * s.limits.HeadTimeout() / sweepPeriod)
	s.mu.Lock()
	var slow []*trackedConn
	for _, conn := range s.conns {
		if conn.headIsSlow(limit) {
			slow = append(slow, conn)
		}
	}
	s.remove(slow...)
	s.mu.Unlock()
	s.closeExcess(slow...)
}

// headIsSlow reports whether the head of the next request has been seen unfinished more than limit times. The caller holds the
// server's lock.
func (t *trackedConn) headIsSlow(limit int) bool {
	since, arriving := t.reader.HeadSince()
	if !arriving || t.requests > 0 || !since.Equal(t.slowSince) {
		t.slowSince, t.slowSweeps = since, 0
		return false
	}
	t.slowSweeps++
	return t.slowSweeps > limit
}

// remove takes connections out of the server's list, so that no request on them is begun. The caller holds the lock.
func (s *Server) remove(conns ...*trackedConn) {
	for _, conn := range conns {
		if address := conn.RemoteAddr().String(); s.conns[address] == conn {
			delete(s.conns, address)
		}
	}
}

// closeExcess closes connections, which were removed, to keep the limits.
func (s *Server) closeExcess(conns ...*trackedConn) {
	for _, conn := range conns {
		s.closed.Add(1)
		_ = conn.Close()
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

// requestStarted counts a request on the connection of a remote address, which then is not closed to keep the limits. It returns
// nil if the connection is already closed or about to be.
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
	t.reader = framing.NewReader(timedSource{t}, framing.Limits{HeadBytes: s.limits.HeadBytes, Memory: s.limits.Heads})
	s.mu.Lock()
	s.conns[conn.RemoteAddr().String()] = t
	var excess *trackedConn
	if len(s.conns) > s.limits.MaxConnections {
		excess = s.leastUseful(t)
		s.remove(excess)
	}
	s.mu.Unlock()
	if excess != nil {
		s.closeExcess(excess)
	}
	return t
}

// leastUseful returns the connection that has carried no request for the longest time, or added if all others carry one. The
// caller holds the lock.
func (s *Server) leastUseful(added *trackedConn) *trackedConn {
	least := added
	for _, conn := range s.conns {
		if conn.requests == 0 && conn.idleSince.Before(least.idleSince) {
			least = conn
		}
	}
	return least
}

// Close closes the connection and removes it from the server's list.
func (t *trackedConn) Close() error {
	t.server.mu.Lock()
	t.server.remove(t)
	t.server.mu.Unlock()
	t.reader.Close()
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
