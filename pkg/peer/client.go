package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout = time.Second
	// Back-off after failed dials. The upper limit bounds how long a restarted peer is not noticed.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// link is the calling end towards one peer. At most one connection and one dial exist at a time.
type link struct {
	service *Service
	address string

	mu       sync.Mutex
	rpc      *jsonrpc2.Conn
	codec    *codec
	dialing  chan struct{}
	failures int
	retryAt  time.Duration
	lastUse  time.Duration
	lastErr  error
}

// Call sends a request to the node at address and stores its response in result, which may be nil.
func (s *Service) Call(ctx context.Context, address, method string, params, result any) error {
	err := s.call(ctx, address, method, params, result)
	if err == nil {
		return nil
	}
	s.counters.method(method).failures.Add(1)
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

func (s *Service) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	text, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("encode parameters: %w", err)
	}
	l, err := s.link(address)
	if err != nil {
		return err
	}
	rpc, c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	counters := s.counters.method(method)
	counters.callsOut.add(len(text))
	before := c.received.Load()
	var raw json.RawMessage
	err = rpc.Call(ctx, method, json.RawMessage(text), &raw)
	if errors.Is(err, context.DeadlineExceeded) {
		s.counters.timeouts.Add(1)
		// A connection on which nothing at all arrived during the call may be black-holed; the next call dials anew.
		if c.received.Load() == before {
			l.drop(rpc)
		}
		return err
	}
	if err != nil {
		return translate(err)
	}
	counters.resultsIn.add(len(raw))
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	return nil
}

func translate(err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{Code: remote.Code, Message: remote.Message}
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return fmt.Errorf("%w: connection closed", ErrUnreachable)
	}
	return err
}

func (s *Service) link(address string) (*link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, ErrStopped
	}
	l, ok := s.links[address]
	if !ok {
		l = &link{service: s, address: address}
		s.links[address] = l
	}
	return l, nil
}

// connect returns the open connection or waits for a new one. While the peer is backed off it fails at once.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, *codec, error) {
	for {
		l.mu.Lock()
		now := l.service.options.Clock.Now()
		l.lastUse = now
		if l.rpc != nil {
			rpc, c := l.rpc, l.codec
			l.mu.Unlock()
			return rpc, c, nil
		}
		if l.dialing == nil && now < l.retryAt {
			err := l.lastErr
			l.mu.Unlock()
			return nil, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial()
		}
		done := l.dialing
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

func (l *link) dial() {
	rpc, c, err := l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		close(l.dialing)
		l.dialing = nil
	}()
	if err != nil {
		l.service.counters.dialsFailed.Add(1)
		l.failures++
		l.retryAt = l.service.options.Clock.Now() + backoff(l.failures)
		l.lastErr = err
		return
	}
	l.failures = 0
	l.rpc, l.codec = rpc, c
	go l.watch(rpc)
}

// open dials the peer and announces the own address as the first message.
func (l *link) open() (*jsonrpc2.Conn, *codec, error) {
	s := l.service
	s.counters.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(s.ctx, "tcp", l.address)
	if err != nil {
		return nil, nil, err
	}
	timed := &timedConn{Conn: connection, write: s.options.CallTimeout}
	c := s.newCodec(timed)
	rpc := s.newConn(timed, c, rejectCalls{})
	if err := rpc.Notify(s.ctx, methodHello, hello{Address: s.Address()}); err != nil {
		_ = rpc.Close()
		return nil, nil, err
	}
	return rpc, c, nil
}

// watch forgets a connection once it is closed.
func (l *link) watch(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	l.drop(rpc)
}

// drop closes a connection and forgets it if it is still the current one.
func (l *link) drop(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	if l.rpc == rpc {
		l.rpc = nil
		l.codec = nil
	}
	l.mu.Unlock()
	_ = rpc.Close()
}

func (l *link) close() {
	l.mu.Lock()
	rpc := l.rpc
	l.mu.Unlock()
	if rpc != nil {
		l.drop(rpc)
	}
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc != nil
}

// idle reports whether the link has not been used since the given time and is not dialing.
func (l *link) idle(since time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialing == nil && l.lastUse < since
}

// closeIdle closes and forgets the links that were not used for the idle timeout.
func (s *Service) closeIdle(now time.Duration) {
	since := now - s.options.IdleTimeout
	s.mu.Lock()
	var idle []*link
	for address, l := range s.links {
		if l.idle(since) {
			idle = append(idle, l)
			delete(s.links, address)
		}
	}
	s.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}

// backoff doubles with each failure. Half of it is random, so that the peers of a restarted node do not dial together.
func backoff(failures int) time.Duration {
	wait := backoffMax
	if shift := failures - 1; shift < 16 {
		wait = min(backoffMin<<shift, backoffMax)
	}
	return wait/2 + rand.N(wait/2)
}

// rejectCalls ignores calls that arrive on the calling end.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
