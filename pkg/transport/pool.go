package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

// Step names the step of an exchange, that is of a request and its response, in which an error occurred.
type Step string

// Steps of an exchange.
const (
	// StepConnect opens a connection.
	StepConnect Step = "connect"
	// StepWrite sends the request.
	StepWrite Step = "write"
	// StepRead reads the head of the response, which is its status line and header.
	StepRead Step = "read"
	// StepBody reads the body of the response.
	StepBody Step = "body"
)

// ErrRequestBody is wrapped by errors of reading Request.Body, to distinguish them from errors of the connection.
var ErrRequestBody = errors.New("request body could not be read")

// Error is a failed exchange.
type Error struct {
	Step    Step
	Address string
	// MaybeSent says that bytes of the request may have been sent to the peer. If it is false, none were.
	MaybeSent bool
	// Reused says that the connection had carried earlier requests.
	Reused bool
	Err    error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Options are the options of a pool.
type Options struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time for which a connection may be unused before it is closed. It is shorter if the peer says in a
	// Keep-Alive field that it closes connections earlier.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
}

// Request is a request to send.
type Request struct {
	// Head holds the request line and the header.
	Head *protocol.Request
	// Body is nil if the request has no body.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 to send it in chunks.
	Length int64
	// Accept reports whether a response belongs to the request. If it is nil, the first response is accepted.
	Accept func(head *protocol.Response) bool
	// OnWrite, if not nil, is called when a connection is open and before the first byte is written to it.
	OnWrite func()
}

// Stats counts how a pool obtained connections: by dialing or by reusing an idle one. Discarded counts the idle
// connections that could not be reused.
type Stats struct {
	Dialed, Reused, Discarded atomic.Uint64
}

// Pool opens connections to one address and keeps the idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	address string
	options Options
	stats   *Stats

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. Stats may be shared between pools.
func NewPool(address string, options Options, stats *Stats) *Pool {
	return &Pool{address: address, options: options, stats: stats}
}

// Address returns the address of the peer.
func (p *Pool) Address() string {
	return p.address
}

// Send writes a request and returns without waiting for the response. The context bounds the whole exchange up to the
// last byte of the response body: when it ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, request *Request) (*Pending, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &Error{Step: StepConnect, Address: p.address, Err: err}
	}
	pending := newPending(ctx, p, c, request)
	if request.OnWrite != nil {
		request.OnWrite()
	}
	if err := pending.write(request); err != nil {
		pending.closeConn()
		return nil, pending.fail(StepWrite, err)
	}
	return pending, nil
}

// Close closes the idle connections. Connections in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// CloseExpired closes connections that have been idle for longer than the idle timeout. It must be called periodically.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := c.expired(now, p.options.IdleTimeout)
		if expired {
			c.close()
		}
		return expired
	})
}

func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.usable() && !c.expired(time.Now(), p.options.IdleTimeout) {
			p.stats.Reused.Add(1)
			c.reused = true
			return c, nil
		}
		p.stats.Discarded.Add(1)
		c.close()
	}
	p.stats.Dialed.Add(1)
	return dial(ctx, p.address, p.options.ConnectTimeout)
}

// Reachability is what a probe of the peer has shown.
type Reachability int

// Results of a probe.
const (
	// Reachable means that a connection to the peer is open.
	Reachable Reachability = iota
	// Refused means that the peer refuses connections.
	Refused
	// Dropped means that the peer closed a new connection at once. It may be overloaded, or have crashed behind a proxy.
	Dropped
	// NoAnswer means that the peer did not answer in time.
	NoAnswer
)

// Probe checks whether the peer accepts connections, without sending anything: an idle connection that is still open shows it,
// otherwise a new one must stay open for the time settle. It is kept for the next request.
func (p *Pool) Probe(ctx context.Context, settle time.Duration) Reachability {
	c, err := p.acquire(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return NoAnswer
	}
	if c.reused {
		p.keep(c)
		return Reachable
	}
	time.Sleep(settle)
	if !c.usable() {
		c.close()
		return Dropped
	}
	p.release(c)
	return Reachable
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.keep(c)
}

// keep adds an idle connection.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.options.MaxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// write sends the head and the body of a request. Its error wraps ErrRequestBody if reading the body has failed.
func (p *Pending) write(request *Request) error {
	if request.Body == nil {
		if err := req.Write(request.Head, p.conn); err != nil {
			return err
		}
		return p.flush()
	}
	request.Head.Header.SetContentLength(int(request.Length))
	if err := req.WriteHeader(&request.Head.Header, p.conn); err != nil {
		return err
	}
	source := &sourceReader{reader: request.Body}
	err := p.writeBody(request, source)
	if source.err != nil {
		return fmt.Errorf("%w: %w", ErrRequestBody, source.err)
	}
	if err != nil {
		return err
	}
	return p.flush()
}

func (p *Pending) writeBody(request *Request, source io.Reader) error {
	p.sent.Store(true)
	if request.Length >= 0 {
		return ext.WriteBodyFixedSize(p.conn, source, request.Length)
	}
	return p.writeChunks(request.Head.Header.Trailer(), source)
}

// maxChunkBytes is the largest size of a chunk of a body that is sent without a length.
const maxChunkBytes = 16 << 10

// writeChunks writes a body in chunks. The terminating chunk is written only if the source has reached its end, since
// it tells the receiver that the body is complete.
func (p *Pending) writeChunks(trailer *protocol.Trailer, source io.Reader) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, readErr := source.Read(buffer)
		if n > 0 {
			if err := p.writeChunk(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return readErr
		}
	}
	if _, err := p.conn.WriteBinary([]byte("0\r\n")); err != nil {
		return err
	}
	return ext.WriteTrailer(trailer, p.conn)
}

func (p *Pending) writeChunk(data []byte) error {
	if _, err := fmt.Fprintf(p.conn.writer, "%x\r\n", len(data)); err != nil {
		return err
	}
	if _, err := p.conn.WriteBinary(data); err != nil {
		return err
	}
	_, err := p.conn.WriteBinary([]byte("\r\n"))
	return err
}

func (p *Pending) flush() error {
	p.sent.Store(true)
	return p.conn.Flush()
}

// sourceReader records an error of reading the request body, to distinguish it from an error of writing it.
type sourceReader struct {
	reader io.Reader
	err    error
}

func (s *sourceReader) Read(b []byte) (int, error) {
	n, err := s.reader.Read(b)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}
