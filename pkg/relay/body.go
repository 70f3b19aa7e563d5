package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Body is a request body of which a prefix has been read into memory.
type Body struct {
	// Prefix holds the first bytes; it is the whole body if Rest is nil.
	Prefix []byte
	// Rest reads what follows the prefix.
	Rest io.Reader
	// Length is the announced length, or -1 if none was announced.
	Length int64

	memory   *BodyMemory
	reserved int64
}

// BodyLimits bound how a request body is read.
type BodyLimits struct {
	// PrefixBytes are read into memory in any case.
	PrefixBytes int
	// BufferBytes is the size up to which a body is read into memory whole, as long as Memory has room.
	BufferBytes int
	Memory      *BodyMemory
	// MaxBytes is the size of the largest body that is accepted.
	MaxBytes int64
	// ReadTimeout bounds the wait for each part of the body, and Deadline, unless it is zero, that for all of it.
	ReadTimeout time.Duration
	Deadline    time.Time
}

// BodyMemory bounds the memory for whole bodies of all requests of a process together. It is safe for concurrent use.
type BodyMemory struct {
	left atomic.Int64
}

// NewBodyMemory returns a budget of a number of bytes.
func NewBodyMemory(bytes int64) *BodyMemory {
	m := &BodyMemory{}
	m.left.Store(bytes)
	return m
}

// Available returns the number of bytes that are not in use.
func (m *BodyMemory) Available() int64 {
	return m.left.Load()
}

func (m *BodyMemory) reserve(bytes int64) bool {
	if m == nil {
		return false
	}
	if m.left.Add(-bytes) < 0 {
		m.left.Add(bytes)
		return false
	}
	return true
}

// ReadBody reads a request's body: whole if it is small enough, its prefix otherwise. Release must be called once the
// request has ended.
func ReadBody(c *app.RequestContext, limits BodyLimits) (*Body, error) {
	length := int64(c.Request.Header.ContentLength())
	if length > limits.MaxBytes {
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrBodyTooLarge, length, limits.MaxBytes)
	}
	if !c.Request.IsBodyStream() || length == 0 || length < -1 {
		return &Body{Prefix: c.Request.BodyBytes(), Length: int64(len(c.Request.BodyBytes()))}, nil
	}
	reader := &limitedReader{
		conn: c.GetConn(), source: c.Request.BodyStream(), timeout: limits.ReadTimeout, deadline: limits.Deadline, left: limits.MaxBytes,
	}
	if length > 0 {
		reader.exact, reader.left = true, length
	}
	b := &Body{Length: length}
	prefixLimit := b.reserve(limits)
	var err error
	if b.Prefix, err = readPrefix(reader, prefixLimit, length); err != nil {
		b.Release()
		return nil, err
	}
	if len(b.Prefix) < prefixLimit || reader.ended {
		b.Length = int64(len(b.Prefix))
		return b, nil
	}
	b.Rest = reader
	return b, nil
}

// reserve takes memory for the whole body if it may be large, and returns the number of bytes to read into memory.
func (b *Body) reserve(limits BodyLimits) int {
	want := int64(limits.BufferBytes)
	switch {
	case b.Length >= 0 && b.Length <= int64(limits.PrefixBytes), b.Length > want, want <= int64(limits.PrefixBytes):
		return limits.PrefixBytes
	case b.Length >= 0:
		want = b.Length
	}
	if !limits.Memory.reserve(want) {
		return limits.PrefixBytes
	}
	b.memory, b.reserved = limits.Memory, want
	return int(want)
}

// readPrefix reads up to limit bytes. The buffer of a body with an announced length has that size, so that it is not grown.
func readPrefix(reader io.Reader, limit int, length int64) ([]byte, error) {
	if length < 0 || length > int64(limit) {
		return io.ReadAll(io.LimitReader(reader, int64(limit)))
	}
	prefix := make([]byte, length)
	if _, err := io.ReadFull(reader, prefix); err != nil {
		return nil, err
	}
	return prefix, nil
}

// Release gives the memory of the body back. The body must not be sent any more.
func (b *Body) Release() {
	if b.reserved > 0 {
		b.memory.left.Add(b.reserved)
		b.reserved = 0
	}
}

// BodyFailure returns the refusal of a request whose body could not be read.
func BodyFailure(step string, err error) *outcome.Error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, step, "", err)
	case errors.As(err, &netErr) && netErr.Timeout():
		return outcome.Refuse(http.StatusRequestTimeout, outcome.ReasonBodyTimeout, step, "", err)
	default:
		return outcome.Refuse(http.StatusBadRequest, outcome.ReasonBodyCut, step, "", err)
	}
}

// Buffered reports whether the body is in memory, so that it can be sent more than once.
func (b *Body) Buffered() bool {
	return b.Rest == nil
}

// Attach sets the body of a request to send.
func (b *Body) Attach(r *transport.Request) {
	r.Length = b.Length
	switch {
	case b.Rest != nil:
		r.Body = io.MultiReader(bytes.NewReader(b.Prefix), b.Rest)
	case len(b.Prefix) > 0:
		r.Body = bytes.NewReader(b.Prefix)
	}
}

// limitedReader reads a request body with a timeout for each read, and a deadline for all. It never reads past an announced length, since
// hertz's stream would otherwise take bytes of the next request on the connection.
type limitedReader struct {
	conn    network.Conn
	source  io.Reader
	timeout time.Duration
	// deadline bounds all reads together, unless it is zero.
	deadline time.Time
	left     int64
	exact    bool
	ended    bool
	onEnd    func()
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.ended {
		return 0, io.EOF
	}
	if l.left == 0 && l.exact {
		l.end()
		return 0, io.EOF
	}
	if l.exact && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	timeout := l.timeout
	if !l.deadline.IsZero() {
		timeout = min(timeout, time.Until(l.deadline))
	}
	if timeout <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if err := l.conn.SetReadTimeout(timeout); err != nil {
		return 0, err
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF || (l.exact && l.left == 0) {
		l.end()
		return n, io.EOF
	}
	return n, err
}

func (l *limitedReader) end() {
	l.ended = true
	if l.onEnd != nil {
		l.onEnd()
	}
}
