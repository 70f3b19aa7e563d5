package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"agatepulley.example/agatepulley/pkg/guard"
)

// Methods that this package handles itself.
const (
	methodHello    = "peer.hello"
	methodExchange = "peer.exchange"
)

// codeHandler is the JSON-RPC error code of an error that a handler returned.
const codeHandler = 1

const (
	// acceptLimit bounds the connections from peers; the design scale has 4,200 nodes.
	acceptLimit = 8192
	// acceptPause is the wait after a failed accept, for instance when the process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
	// serverIdleFactor keeps the receiving end open longer than the calling end, so that the caller closes first and
	// does not send into a connection that is being closed.
	serverIdleFactor = 2
)

// hello is the first message on a connection. It names the caller, whose source port says nothing.
type hello struct {
	Address string `json:"address"`
}

// inbound is the receiving end of one connection.
type inbound struct {
	service *Service
	from    atomic.Pointer[string]
	slots   chan struct{}
}

func (s *Service) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Logger.Warn("accept peer connection failed", slog.Any("error", err))
			s.sleep(acceptPause)
			continue
		}
		s.serve(connection)
	}
}

// errInternal is what a peer is told of a panic, whose stack stays in the log.
var errInternal = errors.New("internal error")

func (s *Service) serve(connection net.Conn) {
	s.mu.Lock()
	if s.stopped || len(s.accepted) >= acceptLimit {
		s.mu.Unlock()
		_ = connection.Close()
		return
	}
	s.accepted[connection] = struct{}{}
	s.mu.Unlock()

	in := &inbound{service: s, slots: make(chan struct{}, s.options.HandlerLimit)}
	remote := connection.RemoteAddr().String()
	in.from.Store(&remote)
	timed := &timedConn{Conn: connection, write: s.options.CallTimeout, read: serverIdleFactor * s.options.IdleTimeout}
	rpc := s.newConn(timed, &codec{limit: s.options.MessageLimit, traffic: &s.counters.traffic}, in)
	s.tasks.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.accepted, connection)
		s.mu.Unlock()
	})
}

// newConn returns a JSON-RPC connection that ends with the service.
func (s *Service) newConn(connection net.Conn, c *codec, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(connection, c)
	return jsonrpc2.NewConn(s.ctx, stream, handler, jsonrpc2.SetLogger(logAdapter{s.options.Logger}))
}

// Handle implements jsonrpc2.Handler. It is called in the read loop of the connection: while all slots are taken, no
// further message is read.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method == methodHello {
		in.greet(request)
		return
	}
	if request.Notif {
		return
	}
	select {
	case in.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-in.slots }()
		if err := guard.Call(func() { in.respond(ctx, conn, request) }); err != nil {
			in.service.options.Logger.Error("peer call failed with a panic", "method", request.Method, "error", err)
			in.service.replyError(ctx, conn, request.ID, errInternal)
		}
	}()
}

func (in *inbound) greet(request *jsonrpc2.Request) {
	var message hello
	if request.Params == nil || json.Unmarshal(*request.Params, &message) != nil || message.Address == "" {
		return
	}
	in.from.Store(&message.Address)
}

func (in *inbound) respond(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, in.service.options.CallTimeout)
	defer cancel()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	counters, result, err := in.service.dispatch(ctx, request.Method, *in.from.Load(), params)
	if err != nil {
		in.service.replyError(ctx, conn, request.ID, err)
		return
	}
	text, err := json.Marshal(result)
	if err != nil {
		in.service.replyError(ctx, conn, request.ID, fmt.Errorf("encode result of %s: %w", request.Method, err))
		return
	}
	counters.resultsOut.add(len(text))
	err = conn.Reply(ctx, request.ID, json.RawMessage(text))
	if errors.Is(err, ErrTooLarge) {
		in.service.replyError(ctx, conn, request.ID, err)
	}
}

// dispatch runs the handler of a method.
func (s *Service) dispatch(ctx context.Context, method, from string, params json.RawMessage) (*methodCounters, any, error) {
	s.mu.Lock()
	handler, ok := s.handlers[method]
	s.mu.Unlock()
	if !ok {
		return nil, nil, fmt.Errorf("%s: %w", method, ErrNoMethod)
	}
	counters := s.counters.method(method)
	counters.callsIn.add(len(params))
	result, err := handler(ctx, from, params)
	return counters, result, err
}

func (s *Service) replyError(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, err error) {
	response := &jsonrpc2.Error{Code: codeHandler, Message: err.Error()}
	if errors.Is(err, ErrNoMethod) {
		response.Code = jsonrpc2.CodeMethodNotFound
	}
	if sendErr := conn.ReplyWithError(ctx, id, response); sendErr != nil {
		s.options.Logger.Debug("send error to peer failed", slog.Any("error", sendErr))
	}
}

func (s *Service) sleep(wait time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(wait):
	}
}

// timedConn sets deadlines on a connection: jsonrpc2 ignores contexts while it writes, so without them a peer that
// stops reading would block all callers.
type timedConn struct {
	net.Conn
	read  time.Duration
	write time.Duration
}

// Read implements net.Conn.
func (c *timedConn) Read(buffer []byte) (int, error) {
	if c.read > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.read)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c *timedConn) Write(buffer []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// logAdapter passes the messages of jsonrpc2, which report closed and broken connections, to the debug log.
type logAdapter struct {
	logger *slog.Logger
}

// Printf implements jsonrpc2.Logger.
func (l logAdapter) Printf(format string, arguments ...any) {
	l.logger.Debug("peer connection", slog.String("detail", fmt.Sprintf(format, arguments...)))
}
