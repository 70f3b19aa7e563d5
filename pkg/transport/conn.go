package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"agatepulley.example/agatepulley/pkg/socket"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
	// unackedTimeout is the time after which the kernel closes a connection whose sent bytes were not acknowledged.
	unackedTimeout = 3 * time.Second
	// keepAliveMargin is the time before the end of a peer's Keep-Alive from which a connection is not used any more.
	keepAliveMargin = 500 * time.Millisecond
)

// conn is a client connection with the buffered reader and writer that the HTTP codec needs. It carries one request at
// a time.
type conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// keepAlive is how long the peer keeps the connection while it is idle, or 0 if it has not said so.
	keepAlive time.Duration
	reused    bool         // whether it has carried earlier requests
	received  atomic.Int64 // bytes
}

// dial opens a connection. Its errors mean that no byte of a request was sent.
func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{raw: raw}
	c.reader = bufio.NewReaderSize(countingReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(raw, writeBufferBytes)
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT to unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}

// usable reports whether an idle connection is open and has nothing to read. Unexpected bytes would be read as part of
// the next response.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return socket.StateOf(c.raw) == socket.Idle
}

// expired reports whether the connection has been idle for too long to be used again: for the given time, or for so long that
// the peer may be closing it.
func (c *conn) expired(now time.Time, timeout time.Duration) bool {
	if c.keepAlive > 0 {
		timeout = min(timeout, c.keepAlive-min(keepAliveMargin, c.keepAlive/2))
	}
	return now.Sub(c.idleSince) > timeout
}

func (c *conn) close() {
	_ = c.raw.Close()
}

// countingReader counts the bytes received, which show whether data still arrives.
type countingReader struct {
	c *conn
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.c.raw.Read(p)
	r.c.received.Add(int64(n))
	return n, err
}

// The methods below implement hertz's network.Reader and network.Writer.

// Peek returns the next n bytes without consuming them.
func (c *conn) Peek(n int) ([]byte, error) {
	return c.reader.Peek(n)
}

// Skip discards n bytes.
func (c *conn) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Release does nothing: the read buffer is reused.
func (c *conn) Release() error {
	return nil
}

// Len returns the number of buffered bytes.
func (c *conn) Len() int {
	return c.reader.Buffered()
}

// ReadByte consumes one byte.
func (c *conn) ReadByte() (byte, error) {
	return c.reader.ReadByte()
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(c.reader, p)
	return p, err
}

// Read consumes up to len(p) bytes.
func (c *conn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// Malloc is not supported: the request codec writes with WriteBinary.
func (c *conn) Malloc(int) ([]byte, error) {
	return nil, fmt.Errorf("malloc is not supported: %w", io.ErrNoProgress)
}

// WriteBinary buffers b.
func (c *conn) WriteBinary(b []byte) (int, error) {
	return c.writer.Write(b)
}

// Flush sends the buffered bytes.
func (c *conn) Flush() error {
	return c.writer.Flush()
}
