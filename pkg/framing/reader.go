package framing

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/pkg/memory"
)

// ErrHeadTooLarge is returned for a head that exceeds its limit, and ErrNoMemory for one that the heads of other connections
// leave no memory for.
var (
	ErrHeadTooLarge = errors.New("request head exceeds the limit")
	ErrNoMemory     = errors.New("no memory is left for the request head")
)

const (
	// smallHead is the size in bytes up to which a head takes nothing from the shared memory.
	smallHead = 4 << 10
	// maxEmptyLines is the number of empty lines that are ignored before a request (RFC 9112, section 2.2).
	maxEmptyLines = 8
)

var smallBuffers = sync.Pool{New: func() any { return new([smallHead]byte) }}

// Limits bound what a Reader holds.
type Limits struct {
	// HeadBytes returns the size of the largest head, with its request line. It also bounds the trailers of a request.
	HeadBytes func() int
	// Memory bounds all heads of more than smallHead bytes together.
	Memory *memory.Budget
}

// phase is the part of a request that a Reader reads next.
type phase int

const (
	readHead phase = iota
	readLength
	readChunks
	refused
)

// Reader hands over the requests that it reads from a source. After a head that it refuses it hands over refusedHead instead, and
// then the end of the stream. It is used by one goroutine at a time, except for HeadSince, Refusal and Close.
type Reader struct {
	source io.Reader
	limits Limits

	phase phase
	// buffer holds the bytes that were read and not handed over. The first pass of them are handed over as they are, and the
	// first scanned ones are known not to hold the end of the head.
	buffer  []byte
	small   *[smallHead]byte
	pass    int
	scanned int
	empty   int
	// left is what is left of a body with a length.
	left   int64
	chunks chunks
	// headSince is when the first byte of an unfinished head arrived, in Unix nanoseconds, or 0.
	headSince atomic.Int64
	refusal   atomic.Pointer[error]
	// held is what the buffer takes from the shared memory.
	held   atomic.Int64
	closed atomic.Bool
}

// refusedHead stands for a request that was refused, so that the server answers it.
const refusedHead = "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"

// NewReader returns a reader.
func NewReader(source io.Reader, limits Limits) *Reader {
	return &Reader{source: source, limits: limits}
}

// Refusal returns why a head was refused, or nil. Once it is not nil, the request that was handed over last is no request.
func (r *Reader) Refusal() error {
	if err := r.refusal.Load(); err != nil {
		return *err
	}
	return nil
}

// HeadSince returns when the head that has not ended began to arrive, or false if there is none.
func (r *Reader) HeadSince() (time.Time, bool) {
	ns := r.headSince.Load()
	return time.Unix(0, ns), ns != 0
}

// Close gives the shared memory back. A call of Read may still be waiting for the source.
func (r *Reader) Close() {
	r.closed.Store(true)
	r.headSince.Store(0)
	r.returnHeld()
}

func (r *Reader) returnHeld() {
	if held := r.held.Swap(0); held > 0 {
		r.limits.Memory.Release(held)
	}
}

// Read hands over the next part of a request. It returns a part of a head only after the whole head has arrived.
func (r *Reader) Read(p []byte) (int, error) {
	for len(p) > 0 {
		switch {
		case r.pass > 0:
			n := copy(p, r.buffer[:r.pass])
			r.pass -= n
			r.discard(n)
			return n, nil
		case r.phase == refused:
			return 0, io.EOF
		case r.phase == readLength && r.left == 0:
			r.phase = readHead
		case r.phase == readLength:
			return r.readBody(p)
		case r.phase == readChunks:
			if n, err := r.readChunks(p); n > 0 || err != nil {
				return n, err
			}
		case !r.takeHead():
			if err := r.fill(); err != nil {
				return 0, err
			}
		}
	}
	return 0, nil
}

func (r *Reader) readBody(p []byte) (int, error) {
	p = p[:min(int64(len(p)), r.left)]
	var n int
	var err error
	if len(r.buffer) > 0 {
		n = copy(p, r.buffer)
		r.discard(n)
	} else {
		n, err = r.source.Read(p)
	}
	r.left -= int64(n)
	return n, err
}

func (r *Reader) readChunks(p []byte) (int, error) {
	if len(r.buffer) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	read, written, ended, err := r.chunks.next(p, r.buffer, r.limits.HeadBytes())
	r.discard(read)
	if ended {
		r.phase = readHead
	}
	if err != nil {
		r.phase = refused
	}
	return written, err
}

// takeHead looks for a complete head in the buffer. If there is one, or one that is refused, it prepares to hand it over and returns
// true.
func (r *Reader) takeHead() bool {
	for bytes.HasPrefix(r.buffer, []byte("\r\n")) {
		r.discard(2)
		if r.empty++; r.empty > maxEmptyLines {
			return r.refuse(malformed("empty lines before a request"))
		}
	}
	if len(r.buffer) == 0 || (len(r.buffer) == 1 && r.buffer[0] == '\r') {
		return false
	}
	if r.headSince.Load() == 0 {
		r.headSince.Store(time.Now().UnixNano())
	}
	end, scanned, err := findHeadEnd(r.buffer, r.scanned)
	r.scanned = scanned
	switch {
	case err != nil:
		return r.refuse(err)
	case end > r.limits.HeadBytes() || (end == 0 && len(r.buffer) > r.limits.HeadBytes()):
		return r.refuse(fmt.Errorf("%w of %d bytes", ErrHeadTooLarge, r.limits.HeadBytes()))
	case end == 0:
		return false
	}
	h, err := parseHead(r.buffer[:end])
	if err != nil {
		return r.refuse(err)
	}
	r.headSince.Store(0)
	r.pass, r.scanned, r.empty = end, 0, 0
	r.phase, r.left, r.chunks = readLength, h.length, chunks{}
	if h.chunked {
		r.phase = readChunks
	}
	return true
}

// refuse replaces everything that follows with refusedHead. It returns true.
func (r *Reader) refuse(err error) bool {
	r.refusal.Store(&err)
	r.headSince.Store(0)
	r.release()
	r.buffer, r.pass, r.phase = []byte(refusedHead), len(refusedHead), refused
	return true
}

// fill reads more bytes into the buffer, for which it makes room.
func (r *Reader) fill() error {
	if len(r.buffer) == cap(r.buffer) && !r.grow() {
		r.refuse(ErrNoMemory)
		return nil
	}
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}

// grow makes room in the buffer and reports whether there was memory for it.
func (r *Reader) grow() bool {
	if cap(r.buffer) == 0 {
		r.small = smallBuffers.Get().(*[smallHead]byte)
		r.buffer = r.small[:0]
		return true
	}
	size := int64(2 * cap(r.buffer))
	if !r.limits.Memory.Reserve(size) {
		return false
	}
	larger := append(make([]byte, 0, size), r.buffer...)
	r.release()
	r.buffer = larger
	r.held.Store(size)
	if r.closed.Load() {
		r.returnHeld()
		return false
	}
	return true
}

// discard drops bytes that were handed over, and the buffer once it is empty.
func (r *Reader) discard(n int) {
	rest := copy(r.buffer, r.buffer[n:])
	r.buffer = r.buffer[:rest]
	r.scanned = max(r.scanned-n, 0)
	if rest == 0 && r.held.Load() > 0 {
		r.release()
	}
}

// release gives the buffer back.
func (r *Reader) release() {
	r.returnHeld()
	if r.small != nil {
		smallBuffers.Put(r.small)
		r.small = nil
	}
	r.buffer = nil
}
