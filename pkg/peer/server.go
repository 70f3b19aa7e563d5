package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
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
	// callShare is the share of the memory for messages that calls in progress may take, callBytes each.
	callShare = 0.25
	callBytes = 16 << 10
	// maxTextBytes is the length of the longest address that a peer may announce, and the length to which errors are cut.
	maxTextBytes = 256
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
	service    *Service
	connection net.Conn
	codec      *codec
	from       atomic.Pointer[string]
	slots      chan struct{}
	// calls counts the calls in progress. lastUse is when the latest message arrived, in Unix nanoseconds.
	calls   atomic.Int64
	lastUse atomic.Int64
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
	timed := &timedConn{Conn: connection, write: s.options.CallTimeout, read: serverIdleFactor * s.options.IdleTimeout}
	in := &inbound{service: s, connection: connection, codec: s.newCodec(timed), slots: make(chan struct{}, s.options.HandlerLimit)}
	remote := connection.RemoteAddr().String()
	in.from.Store(&remote)
	in.lastUse.Store(time.Now().UnixNano())
	if !s.admit(in) {
		_ = connection.Close()
		return
	}
	rpc := s.newConn(timed, in.codec, in)
	s.tasks.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.accepted, connection)
		s.mu.Unlock()
	})
}

// admit adds an accepted connection. Beyond the limit it closes the one that has been unused for the longest time in its place, and
// returns false if all others have calls in progress.
func (s *Service) admit(in *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	if len(s.accepted) >= s.options.MaxConnections {
		var unused *inbound
		for _, other := range s.accepted {
			if other.calls.Load() == 0 && (unused == nil || other.lastUse.Load() < unused.lastUse.Load()) {
				unused = other
			}
		}
		if unused == nil {
			return false
		}
		delete(s.accepted, unused.connection)
		_ = unused.connection.Close()
	}
	s.accepted[in.connection] = in
	return true
}

func (s *Service) newCodec(connection *timedConn) *codec {
	return &codec{
		limit: s.options.MessageLimit, traffic: &s.counters.traffic, memory: s.messages, arriving: connection.setDeadline,
	}
}

// newConn returns a JSON-RPC connection that ends with the service.
func (s *Service) newConn(connection net.Conn, c *codec, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(connection, c)
	return jsonrpc2.NewConn(s.ctx, stream, handler, jsonrpc2.SetLogger(logAdapter{s.options.Logger}))
}

// Handle implements jsonrpc2.Handler. It is called in the read loop of the connection: while all slots are taken, no
// further message is read.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	in.lastUse.Store(time.Now().UnixNano())
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
	in.calls.Add(1)
	held, message := in.reserveCall(ctx), in.codec.take()
	releaseMessage := sync.OnceFunc(func() { in.service.messages.Release(message) })
	go func() {
		defer func() {
			in.service.calls.Release(held)
			releaseMessage()
			in.lastUse.Store(time.Now().UnixNano())
			in.calls.Add(-1)
			<-in.slots
		}()
		if held == 0 {
			in.service.replyError(ctx, conn, request.ID, ErrNoMemory)
			return
		}
		if err := guard.Call(func() { in.respond(ctx, conn, request, releaseMessage) }); err != nil {
			in.service.options.Logger.Error("peer call failed with a panic", "method", request.Method, "error", err)
			in.service.replyError(ctx, conn, request.ID, errInternal)
		}
	}()
}

// reserveCall takes the memory of a call. While there is none, no further message is read. It returns 0 if there is none within the
// time for a call.
func (in *inbound) reserveCall(ctx context.Context) int64 {
	deadline := time.Now().Add(in.service.options.CallTimeout)
	for !in.service.calls.Reserve(callBytes) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return 0
		}
		time.Sleep(reservePoll)
	}
	return callBytes
}

func (in *inbound) greet(request *jsonrpc2.Request) {
	var message hello
	if request.Params == nil || json.Unmarshal(*request.Params, &message) != nil || message.Address == "" || len(message.Address) > maxTextBytes {
		return
	}
	in.from.Store(&message.Address)
}

// respond runs the handler of a call and sends its result. It calls handled once the parameters are no longer needed.
func (in *inbound) respond(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, handled func()) {
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
	// A result that waited for the memory of its own call would wait forever.
	handled()
	deadline, _ := ctx.Deadline()
	held, ok := reserve(in.service.messages, int64(len(text)), deadline)
	if !ok {
		in.service.replyError(ctx, conn, request.ID, ErrNoMemory)
		return
	}
	defer in.service.messages.Release(held)
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
	response.Message = response.Message[:min(len(response.Message), maxTextBytes)]
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
	// deadline is the time by which the message that is arriving must have arrived, or zero.
	deadline time.Time
}

// setDeadline sets or, if it is zero, removes the deadline of the message that is arriving. It is called by the reader.
func (c *timedConn) setDeadline(deadline time.Time) error {
	c.deadline = deadline
	return c.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *timedConn) Read(buffer []byte) (int, error) {
	if c.read > 0 && c.deadline.IsZero() {
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
