package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"agatepulley.example/agatepulley/pkg/framing"
)

// ErrTruncated is returned by a response body that ended before its announced length or its last chunk.
var ErrTruncated = errors.New("response body is truncated")

// ErrUnmatchedResponses is returned if Request.Accept has rejected all responses that arrived.
var ErrUnmatchedResponses = errors.New("responses belong to other requests")

const (
	// maxUnmatchedResponses is the number of responses to other requests after which a request fails.
	maxUnmatchedResponses = 3
	// maxUnmatchedBodyBytes bounds the body of each of these responses, since a faulty peer may send bytes without end.
	maxUnmatchedBodyBytes = 1 << 20
	// maxInterimResponses is the number of 1xx responses after which a request fails.
	maxInterimResponses = 8
	// maxTrailerBytes bounds the trailer fields of a response.
	maxTrailerBytes = readBufferBytes
	// lengthChunked and lengthUntilClose stand for the length of a chunked body and of a body that ends with the connection.
	lengthChunked    = -1
	lengthUntilClose = -2
)

// Pending is a request that was sent and whose response has not arrived. Await must be called once.
type Pending struct {
	ctx    context.Context
	pool   *Pool
	conn   *conn
	isHead bool // whether the method is HEAD
	accept func(head *protocol.Response) bool
	sent   atomic.Bool // see Error.MaybeSent
	// stop ends the watch of the context. It returns false if the context has ended and the connection is closed.
	stop func() bool

	mu sync.Mutex
	// cause is why this side aborted the exchange, or nil if it did not.
	cause        error
	headReceived bool
}

func newPending(ctx context.Context, pool *Pool, c *conn, request *Request) *Pending {
	p := &Pending{ctx: ctx, pool: pool, conn: c, isHead: request.Head.Header.IsHead(), accept: request.Accept}
	p.stop = context.AfterFunc(ctx, c.close)
	return p
}

// Abort closes the connection and makes Await fail with cause. It has no effect once the head of the response has
// arrived, so that a decision to send the request to another endpoint never aborts a response.
func (p *Pending) Abort(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.headReceived {
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

// markHeadReceived records that the head of the response has arrived. It returns false if the exchange was aborted
// before.
func (p *Pending) markHeadReceived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.headReceived = p.cause == nil
	return p.headReceived
}

// BytesReceived returns the number of bytes that have arrived on the connection since it was opened.
func (p *Pending) BytesReceived() int64 {
	return p.conn.received.Load()
}

// Await reads the head of the response. It skips responses that Request.Accept rejects, such as late responses to
// earlier requests.
func (p *Pending) Await() (*Response, error) {
	for range maxUnmatchedResponses {
		head := &protocol.Response{}
		length, err := p.readHead(head)
		if err != nil {
			p.closeConn()
			return nil, p.fail(StepRead, err)
		}
		if p.accept == nil || p.accept(head) {
			if !p.markHeadReceived() {
				p.closeConn()
				return nil, p.fail(StepRead, nil)
			}
			return p.newResponse(head, length), nil
		}
		if err := p.skipBody(head, length); err != nil {
			p.closeConn()
			return nil, p.fail(StepRead, err)
		}
	}
	p.closeConn()
	return nil, p.fail(StepRead, ErrUnmatchedResponses)
}

// skipBody discards the body of a response to another request.
func (p *Pending) skipBody(head *protocol.Response, length int64) error {
	body := p.newResponse(head, length).Body
	skipped, err := io.CopyN(io.Discard, body, maxUnmatchedBodyBytes)
	switch {
	case skipped == maxUnmatchedBodyBytes:
		return fmt.Errorf("%w; the body of one has %d bytes or more", ErrUnmatchedResponses, maxUnmatchedBodyBytes)
	case err == io.EOF:
		return nil
	}
	return err
}

// readHead reads the head of the next response that is not an interim one. It returns the length of its body, or lengthChunked or
// lengthUntilClose. hertz takes much for a head that is none, and then a wrong length, so that heads are checked before it sees them.
func (p *Pending) readHead(head *protocol.Response) (length int64, err error) {
	for range maxInterimResponses {
		text, err := framing.PeekResponseHead(p.conn.reader)
		if err != nil {
			return 0, err
		}
		parsed, err := framing.ParseResponseHead(text)
		if err != nil {
			return 0, err
		}
		if err := resp.ReadHeader(&head.Header, p.conn); err != nil {
			return 0, err
		}
		if head.StatusCode() >= http.StatusOK {
			return lengthOf(parsed), nil
		}
		head.Header.Reset()
	}
	return 0, fmt.Errorf("%d interim (1xx) responses without a final one", maxInterimResponses)
}

func lengthOf(head framing.ResponseHead) int64 {
	switch head.End {
	case framing.EndOfLength:
		return head.Length
	case framing.EndOfChunks:
		return lengthChunked
	default:
		return lengthUntilClose
	}
}

func (p *Pending) newResponse(head *protocol.Response, length int64) *Response {
	r := &Response{Head: head, Length: length, pending: p}
	status := head.StatusCode()
	noBody := p.isHead || status == consts.StatusNoContent || status == consts.StatusNotModified
	switch {
	case noBody || r.Length == 0:
		r.Body = &body{response: r, reader: bytes.NewReader(nil), remaining: 0}
		r.bodyless, r.complete = true, true
	case r.Length == lengthChunked:
		chunks := framing.NewChunkReader(p.conn.reader, maxTrailerBytes)
		r.Body = &body{response: r, reader: chunks, remaining: lengthChunked}
	case r.Length == lengthUntilClose:
		r.untilClose = true
		r.Body = &body{response: r, reader: p.conn, remaining: lengthUntilClose}
	default:
		r.Body = &body{response: r, reader: p.conn, remaining: r.Length}
	}
	return r
}

// closeConn closes the connection, so that it is not reused.
func (p *Pending) closeConn() {
	p.stop()
	p.conn.close()
}

// fail returns the error of the exchange. If the exchange was aborted or its context has ended, the error contains the
// reason for that instead of err. An ErrRequestBody is kept if only the context has ended.
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
	// Length is the announced length of the body in bytes, or negative if none was announced.
	Length int64
	// Body ends with io.EOF only if it is complete.
	Body io.Reader

	pending *Pending
	// bodyless is set if the response has no body, whatever length its head announces.
	bodyless bool
	complete bool // whether the body was read to its end
	closed   bool
	// untilClose is set if the body ends when the connection is closed.
	untilClose bool
	// broken is set if reading the body failed although this side did not end the exchange.
	broken  bool
	onClose []func()
}

// Reused reports whether the connection had carried earlier requests, to which late responses may arrive.
func (r *Response) Reused() bool {
	return r.pending.conn.reused
}

// Broken reports whether reading the body failed because of the peer or the network, for example because the connection
// was closed before the end of the body. It is false if this side aborted the exchange or its context ended.
func (r *Response) Broken() bool {
	return r.broken
}

// OnClose registers a function that runs when the response is closed.
func (r *Response) OnClose(f func()) {
	r.onClose = append(r.onClose, f)
}

// Bodyless reports whether the response has no body, whatever length its head announces.
func (r *Response) Bodyless() bool {
	return r.bodyless
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

// Discard closes the response without waiting for its body. The connection is reused if the rest of the body has
// already arrived.
func (r *Response) Discard() {
	if r.Length >= 0 && r.Length <= int64(r.pending.conn.Len()) {
		// The bytes are buffered. If reading them fails, the connection is not reused.
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
	keep, limited := keepAlive(r.Head)
	reusable := r.complete && stillOpen && !r.untilClose && !r.Head.ConnectionClose() && (!limited || keep > 0)
	if !reusable {
		r.pending.conn.close()
		return
	}
	r.pending.conn.keepAlive = keep
	r.pending.pool.release(r.pending.conn)
}

// keepAlive returns the time for which the peer keeps an idle connection according to a response, or false if it does not say so.
func keepAlive(head *protocol.Response) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.ToLower(strings.TrimSpace(parameter)), "timeout=")
		if seconds, err := strconv.ParseUint(text, 10, 31); found && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// body reads a response body and checks that it is complete.
type body struct {
	response *Response
	reader   io.Reader
	// remaining is the number of bytes still to be read, or lengthChunked or lengthUntilClose.
	remaining int64
}

func (b *body) Read(p []byte) (int, error) {
	switch b.remaining {
	case 0:
		b.response.complete = true
		return 0, io.EOF
	case lengthChunked, lengthUntilClose:
		return b.finish(b.reader.Read(p))
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.response.complete = true
		return n, io.EOF
	}
	if err == io.EOF {
		err = ErrTruncated
	}
	return n, b.wrap(err)
}

// finish returns the result of a read from a body without an announced length, in which io.EOF is the end of the body.
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

// wrap turns an error of a read into an Error and records whether the peer caused it.
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
