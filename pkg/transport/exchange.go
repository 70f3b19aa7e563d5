package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// ErrTruncated is returned by a body that ended before its announced end.
var ErrTruncated = errors.New("response body is truncated")

// ErrUnmatchedResponses is returned when only responses to other requests arrived.
var ErrUnmatchedResponses = errors.New("the responses belong to other requests")

const (
	// maxStrayResponses bounds the responses to other requests that are skipped on one connection.
	maxStrayResponses = 3
	// maxStrayBytes bounds the body of each. Bytes may come without end.
	maxStrayBytes = 1 << 20
	// maxInterimResponses bounds the 1xx responses accepted before the final one.
	maxInterimResponses = 8
	// maxChunkRead stays below the read buffer, since the chunk decoder peeks what it reads.
	maxChunkRead = readBufferBytes / 2
	// lengthChunked and lengthUntilClose are hertz's codes in place of a content length.
	lengthChunked    = -1
	lengthUntilClose = -2
)

// Pending is a request that was sent and whose response has not arrived. Await must be called once.
type Pending struct {
	ctx    context.Context
	pool   *Pool
	conn   *conn
	isHead bool
	accept func(head *protocol.Response) bool
	sent   atomic.Bool
	stop   func() bool

	mu       sync.Mutex
	cause    error
	answered bool
}

func newPending(ctx context.Context, pool *Pool, c *conn, request *Request) *Pending {
	p := &Pending{ctx: ctx, pool: pool, conn: c, isHead: request.Head.Header.IsHead(), accept: request.Accept}
	p.stop = context.AfterFunc(ctx, c.close)
	return p
}

// Abort closes the connection and makes Await fail with cause. It has no effect once the head of the response has
// arrived, so that a decision to try elsewhere never cuts an answer off.
func (p *Pending) Abort(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.answered {
		p.abort(cause)
	}
}

// abort closes the connection. The caller holds the lock.
func (p *Pending) abort(cause error) {
	if p.cause == nil {
		p.cause = cause
	}
	p.conn.close()
}

func (p *Pending) aborted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cause != nil
}

// markAnswered records that the head has arrived. It returns false if the exchange was aborted before.
func (p *Pending) markAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = p.cause == nil
	return p.answered
}

// BytesReceived returns the number of bytes that have arrived on the connection since it was opened.
func (p *Pending) BytesReceived() int64 {
	return p.conn.received.Load()
}

// Await reads the head of the response. Responses to earlier requests, which Request.Accept tells apart, are skipped.
func (p *Pending) Await() (*Response, error) {
	for range maxStrayResponses {
		head := &protocol.Response{}
		if err := p.readHead(head); err != nil {
			p.abandon()
			return nil, p.fail(StepRead, err)
		}
		if p.accept == nil || p.accept(head) {
			if !p.markAnswered() {
				p.abandon()
				return nil, p.fail(StepRead, nil)
			}
			return p.newResponse(head), nil
		}
		if err := p.skipStray(head); err != nil {
			p.abandon()
			return nil, p.fail(StepRead, err)
		}
	}
	p.abandon()
	return nil, p.fail(StepRead, ErrUnmatchedResponses)
}

// skipStray reads over the body of a response to another request.
func (p *Pending) skipStray(head *protocol.Response) error {
	body := p.newResponse(head).Body
	skipped, err := io.CopyN(io.Discard, body, maxStrayBytes)
	switch {
	case skipped == maxStrayBytes:
		return fmt.Errorf("%w, one has more than %d bytes", ErrUnmatchedResponses, maxStrayBytes)
	case err == io.EOF:
		return nil
	}
	return err
}

func (p *Pending) readHead(head *protocol.Response) error {
	for range maxInterimResponses {
		if err := resp.ReadHeader(&head.Header, p.conn); err != nil {
			return err
		}
		status := head.StatusCode()
		if status >= 200 || status == consts.StatusSwitchingProtocols {
			return nil
		}
		head.Header.Reset()
	}
	return fmt.Errorf("more than %d interim responses", maxInterimResponses)
}

func (p *Pending) newResponse(head *protocol.Response) *Response {
	r := &Response{Head: head, Length: int64(head.Header.ContentLength()), pending: p}
	status := head.StatusCode()
	noBody := p.isHead || status == consts.StatusNoContent || status == consts.StatusNotModified
	switch {
	case noBody || r.Length == 0:
		r.Body = &body{response: r, reader: bytes.NewReader(nil), left: 0}
		r.complete = true
	case r.Length == lengthChunked:
		empty := &bytebufferpool.ByteBuffer{}
		chunks := ext.AcquireBodyStream(empty, p.conn, head.Header.Trailer(), lengthChunked)
		r.Body = &body{response: r, reader: chunks, left: lengthChunked}
	case r.Length == lengthUntilClose:
		r.untilClose = true
		r.Body = &body{response: r, reader: p.conn, left: lengthUntilClose}
	default:
		r.Body = &body{response: r, reader: p.conn, left: r.Length}
	}
	return r
}

// abandon closes the connection; it is never reused.
func (p *Pending) abandon() {
	p.stop()
	p.conn.close()
}

// fail returns the error of the exchange, preferring the reason for which this side closed the connection.
func (p *Pending) fail(step Step, err error) error {
	p.mu.Lock()
	cause := p.cause
	p.mu.Unlock()
	switch {
	case cause != nil:
		err = cause
	case errors.Is(err, ErrRequestBody):
	case p.ctx.Err() != nil:
		err = context.Cause(p.ctx)
	}
	return &Error{Step: step, Address: p.pool.address, MaybeSent: p.sent.Load(), Reused: p.conn.reused, Err: err}
}

// Response is a response whose head has arrived.
type Response struct {
	Head *protocol.Response
	// Length is the announced length of the body, or negative if none was announced.
	Length int64
	// Body ends with io.EOF only if it is complete.
	Body io.Reader

	pending  *Pending
	complete bool
	closed   bool
	// untilClose is set if the end of the connection is the end of the body.
	untilClose bool
	// broken is set if the sender ended the body early.
	broken  bool
	onClose []func()
}

// Reused reports whether the connection had carried earlier requests, of which late responses may arrive.
func (r *Response) Reused() bool {
	return r.pending.conn.reused
}

// Broken reports whether the sender ended the body early. It is false if the exchange was aborted from this side.
func (r *Response) Broken() bool {
	return r.broken
}

// OnClose registers a function that runs when the response is closed.
func (r *Response) OnClose(f func()) {
	r.onClose = append(r.onClose, f)
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// Abort closes the connection and makes the body fail with cause.
func (r *Response) Abort(cause error) {
	r.pending.mu.Lock()
	defer r.pending.mu.Unlock()
	r.pending.abort(cause)
}

// Discard closes the response without waiting for its body. The connection can be used again if the rest of the body has
// arrived already.
func (r *Response) Discard() {
	if r.Length >= 0 && r.Length <= int64(r.pending.conn.Len()) {
		// The bytes are in memory. What cannot be read costs only the connection.
		_, _ = io.CopyN(io.Discard, r.Body, r.Length)
	}
	r.Close()
}

// Close returns the connection to its pool if the body was read to its end and closes it otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.releaseConn()
	for _, f := range r.onClose {
		f()
	}
}

func (r *Response) releaseConn() {
	stillOpen := r.pending.stop()
	reusable := r.complete && stillOpen && !r.untilClose && !r.Head.ConnectionClose()
	if !reusable {
		r.pending.conn.close()
		return
	}
	r.pending.pool.release(r.pending.conn)
}

// body reads a response body and checks that it is complete.
type body struct {
	response *Response
	reader   io.Reader
	left     int64
}

func (b *body) Read(p []byte) (int, error) {
	switch b.left {
	case 0:
		b.response.complete = true
		return 0, io.EOF
	case lengthChunked:
		return b.readChunk(p)
	case lengthUntilClose:
		return b.finish(b.reader.Read(p))
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left == 0 {
		b.response.complete = true
		return n, io.EOF
	}
	if err == io.EOF {
		err = ErrTruncated
	}
	return n, b.wrap(err)
}

func (b *body) readChunk(p []byte) (int, error) {
	if len(p) > maxChunkRead {
		p = p[:maxChunkRead]
	}
	return b.finish(b.reader.Read(p))
}

func (b *body) finish(n int, err error) (int, error) {
	if err == io.EOF {
		b.response.complete = true
		return n, io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrTruncated
	}
	return n, b.wrap(err)
}

func (b *body) wrap(err error) error {
	if err == nil {
		return nil
	}
	b.response.broken = b.response.pending.ctx.Err() == nil && !b.response.pending.aborted()
	return b.response.pending.fail(StepBody, err)
}

// IsTimeout reports whether an exchange failed because its deadline passed.
func IsTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
