package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/transport"
)

// ErrNoMemory is returned for a request body for which there is no memory.
var ErrNoMemory = errors.New("no memory for the request body")

// freeBytes is the part of a body that takes nothing from the memory for bodies, since it counts as part of its connection.
const freeBytes = 4 << 10

// Body is a request body of which a prefix has been read into memory.
type Body struct {
	// Prefix holds the first bytes; it is the whole body if Rest is nil.
	Prefix []byte
	// Rest reads the part of the body that follows the prefix.
	Rest io.Reader
	// Length is the length of the body: the announced one, or that of Prefix if Rest is nil. It is -1 if none was announced
	// and Rest is not nil.
	Length int64

	memory   *memory.Budget
	reserved int64
}

// BodyLimits bound how a request body is read.
type BodyLimits struct {
	// PrefixBytes is the length of the prefix that is read into memory in any case.
	PrefixBytes int
	// BufferBytes is the size up to which a body longer than PrefixBytes is read into memory completely, if there is memory
	// for it.
	BufferBytes int
	// Memory is the memory for all bodies. Without it, only the prefix is read.
	Memory *memory.Budget
	// MaxBytes is the size of the largest body that is accepted.
	MaxBytes int64
	// ReadTimeout limits the wait for each part of the body.
	ReadTimeout time.Duration
	// Deadline, if not zero, limits the time for the whole body.
	Deadline time.Time
}

// ReadBody reads a request's body into memory: completely if the limits allow it, only its prefix otherwise. It returns ErrNoMemory
// if there is no memory for the prefix. Release must be called once the request has ended.
func ReadBody(c *app.RequestContext, limits BodyLimits) (*Body, error) {
	length := int64(c.Request.Header.ContentLength())
	if length > limits.MaxBytes {
		return nil, fmt.Errorf("%w: announced %d bytes, limit is %d", ErrBodyTooLarge, length, limits.MaxBytes)
	}
	if !c.Request.IsBodyStream() || length == 0 || length < -1 {
		return &Body{Prefix: c.Request.BodyBytes(), Length: int64(len(c.Request.BodyBytes()))}, nil
	}
	reader := &limitedReader{
		conn: c.GetConn(), source: c.Request.BodyStream(), timeout: limits.ReadTimeout, deadline: limits.Deadline, remaining: limits.MaxBytes,
	}
	if length > 0 {
		reader.exact, reader.remaining = true, length
	}
	b := &Body{Length: length, memory: limits.Memory}
	read := b.readAnnounced
	if length < 0 {
		read = b.readUnannounced
	}
	if err := read(reader, limits); err != nil {
		b.Release()
		return nil, err
	}
	if reader.ended {
		b.Length = int64(len(b.Prefix))
		return b, nil
	}
	b.Rest = reader
	return b, nil
}

// readAnnounced reads the prefix of a body whose length is announced, or the whole body.
func (b *Body) readAnnounced(reader *limitedReader, limits BodyLimits) error {
	size := int(min(b.Length, int64(limits.PrefixBytes)))
	switch {
	case size <= freeBytes:
	case b.Length > int64(limits.PrefixBytes) && b.Length <= int64(limits.BufferBytes) && b.reserve(b.Length):
		size = int(b.Length)
	case !b.reserve(int64(size)) && b.memory != nil:
		return fmt.Errorf("%w of %d bytes", ErrNoMemory, b.Length)
	}
	return b.extend(reader, size)
}

// readUnannounced reads the prefix of a body in chunks, or the whole body. It takes memory as the body arrives.
func (b *Body) readUnannounced(reader *limitedReader, limits BodyLimits) error {
	if err := b.extend(reader, min(freeBytes, limits.PrefixBytes)); err != nil || reader.ended {
		return err
	}
	if !b.reserve(int64(limits.PrefixBytes)) && b.memory != nil {
		return ErrNoMemory
	}
	if err := b.extend(reader, limits.PrefixBytes); err != nil || reader.ended {
		return err
	}
	if limits.BufferBytes <= limits.PrefixBytes || !b.reserve(int64(limits.BufferBytes-limits.PrefixBytes)) {
		return nil
	}
	return b.extend(reader, limits.BufferBytes)
}

// extend reads until the prefix has a size or the body ends.
func (b *Body) extend(reader *limitedReader, size int) error {
	larger := make([]byte, size)
	n := copy(larger, b.Prefix)
	read, err := io.ReadFull(reader, larger[n:])
	b.Prefix = larger[:n+read]
	if !reader.exact && reader.ended && (err == io.EOF || err == io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// reserve takes memory for a part of the body and reports whether there is enough.
func (b *Body) reserve(bytes int64) bool {
	if !b.memory.Reserve(bytes) {
		return false
	}
	b.reserved += bytes
	return true
}

// Release returns the reserved memory. The body must not be sent afterwards.
func (b *Body) Release() {
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.reserved = 0
	}
}

// BodyFailure returns the refusal of a request whose body could not be read.
func BodyFailure(step string, err error) *outcome.Error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrNoMemory):
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonBusy, step, "", err)
	case errors.Is(err, ErrBodyTooLarge):
		return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, step, "", err)
	case errors.As(err, &netErr) && netErr.Timeout():
		return outcome.Refuse(http.StatusRequestTimeout, outcome.ReasonBodyTimeout, step, "", err)
	default:
		return outcome.Refuse(http.StatusBadRequest, outcome.ReasonBodyCut, step, "", err)
	}
}

// Buffered reports whether the whole body is in memory, so that it can be sent more than once.
func (b *Body) Buffered() bool {
	return b.Rest == nil
}

// Attach sets the body and the length of a request to send.
func (b *Body) Attach(r *transport.Request) {
	r.Length = b.Length
	switch {
	case b.Rest != nil:
		r.Body = io.MultiReader(bytes.NewReader(b.Prefix), b.Rest)
	case len(b.Prefix) > 0:
		r.Body = bytes.NewReader(b.Prefix)
	}
}

// limitedReader reads a request body with a timeout for each read and a deadline for all reads. It never reads past an
// announced length, since hertz's stream would then consume bytes of the next request on the connection.
type limitedReader struct {
	conn    network.Conn
	source  io.Reader
	timeout time.Duration
	// deadline, if not zero, limits the time for all reads.
	deadline time.Time
	// remaining is the number of bytes that may still be read; exact is set if the body has exactly that many.
	remaining int64
	exact     bool
	ended     bool
	// onEnd, if not nil, is called once the body was read to its end.
	onEnd func()
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.ended {
		return 0, io.EOF
	}
	if l.remaining == 0 && l.exact {
		l.end()
		return 0, io.EOF
	}
	if l.exact && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
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
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF || (l.exact && l.remaining == 0) {
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
