package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

// Step names the part of an exchange in which an error arose.
type Step string

// Steps of an exchange.
const (
	StepConnect Step = "connect"
	StepWrite   Step = "write"
	StepRead    Step = "read"
	StepBody    Step = "body"
)

// ErrRequestBody marks an error of the sender's own body, as opposed to one of the connection.
var ErrRequestBody = errors.New("request body could not be read")

// Error is a failed exchange.
type Error struct {
	Step    Step
	Address string
	// MaybeSent is false only if no byte of the request left this process.
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

// Options tune a pool.
type Options struct {
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that were not used for this long.
	IdleTimeout time.Duration
	MaxIdle     int
}

// Request is a request to send. The body is nil if there is none; a length of -1 means chunked encoding.
type Request struct {
	Head   *protocol.Request
	Body   io.Reader
	Length int64
	// Accept reports whether a response belongs to the request. Nil accepts any.
	Accept func(head *protocol.Response) bool
}

// Stats counts events of a pool.
type Stats struct {
	Dialed, Reused, Discarded atomic.Uint64
}

// Pool keeps connections to one address. It is safe for concurrent use.
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
	if err := pending.write(request); err != nil {
		pending.abandon()
		return nil, pending.fail(StepWrite, err)
	}
	return pending, nil
}

// Close closes the idle connections and lets connections in use be closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// CloseExpired closes connections that were not used for the idle timeout. It is called periodically.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := now.Sub(c.idleSince) > p.options.IdleTimeout
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
		if c.usable() {
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.options.MaxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// write sends the request head and body. It returns the number of body bytes through the caller's reader only.
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

// chunkBytes is the largest chunk of a body that is sent without a length.
const chunkBytes = 16 << 10

// writeChunks writes a body in chunks. The last chunk follows only if the source has reached its end, since it tells the
// receiver that the body is complete.
func (p *Pending) writeChunks(trailer *protocol.Trailer, source io.Reader) error {
	buffer := make([]byte, chunkBytes)
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

// sourceReader remembers an error of the body that is being sent.
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
