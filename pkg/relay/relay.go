// Package relay passes requests and responses between a server connection and a client connection: it copies heads without their
// connection-level fields, reads bodies with limits, and streams a response so that a body which was cut short is never presented as
// complete.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/framing"
	"agatepulley.example/agatepulley/pkg/transport"
)

var (
	// ErrBodyTooLarge is returned for a request body that exceeds its limit.
	ErrBodyTooLarge = errors.New("request body exceeds the limit")
	// ErrAborted is returned to hertz's server so that it closes the connection of an incomplete response.
	ErrAborted = errors.New("response was aborted before its body was complete")
)

// connectionFields are the header fields that concern one connection only and are not passed on.
var connectionFields = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
}

// ownFields are removed from passed-on messages, since only nodes may set them: a backend server must not be able to report
// that a request was not run.
var ownFields = map[string]bool{
	strings.ToLower(outcome.HeaderOutcome):  true,
	strings.ToLower(outcome.HeaderReason):   true,
	strings.ToLower(outcome.HeaderRecorded): true,
}

// keepField reports whether a header field is passed on to the next server or the caller.
func keepField(name string) bool {
	lower := strings.ToLower(name)
	if connectionFields[lower] {
		return false
	}
	if strings.HasPrefix(lower, strings.ToLower(outcome.HopPrefix)) {
		return false
	}
	return !ownFields[lower]
}

// listedField reports whether the lower-case value of the Connection field lists a field, which then concerns only that
// connection.
func listedField(connection, name string) bool {
	if connection == "" {
		return false
	}
	for _, token := range strings.Split(connection, ",") {
		if strings.TrimSpace(token) == strings.ToLower(name) {
			return true
		}
	}
	return false
}

// Target is the target of a request as the sender wrote it. Routes are matched on the bytes that are passed on: a decoded or
// normalized path may lie below the prefix of another route.
type Target struct {
	// Host is the authority of an absolute-form target, or else the value of the Host field.
	Host string
	// URI is the path with the query, in origin form.
	URI string
}

// TargetOf returns the target of a request.
func TargetOf(h *protocol.RequestHeader) Target {
	t := Target{Host: string(h.Host()), URI: string(h.RequestURI())}
	if strings.HasPrefix(t.URI, "/") {
		return t
	}
	scheme, rest, absolute := strings.Cut(t.URI, "://")
	if !absolute || (!strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https")) {
		return t
	}
	end := strings.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	t.Host, t.URI = rest[:end], rest[end:]
	if !strings.HasPrefix(t.URI, "/") {
		t.URI = "/" + t.URI
	}
	return t
}

// Path returns the path of the target, undecoded.
func (t Target) Path() string {
	if end := strings.IndexAny(t.URI, "?#"); end >= 0 {
		return t.URI[:end]
	}
	return t.URI
}

// SetOnly sets a header field of which the sender must not decide the value, and removes all fields of that name that it
// has sent.
func SetOnly(h *protocol.RequestHeader, name, value string) {
	h.Del(name)
	h.Set(name, value)
}

// RequestHead returns a new head with the method, the target and the passed-on header fields of src.
func RequestHead(src *protocol.Request) *protocol.Request {
	dst := &protocol.Request{}
	target := TargetOf(&src.Header)
	dst.Header.SetNoDefaultContentType(true)
	dst.Header.SetMethodBytes(src.Header.Method())
	dst.Header.SetRequestURI(target.URI)
	dst.Header.SetHost(target.Host)
	listed := strings.ToLower(src.Header.Get("Connection"))
	src.Header.VisitAll(func(key, value []byte) {
		if keepField(string(key)) && !listedField(listed, string(key)) {
			dst.Header.Add(string(key), string(value))
		}
	})
	return dst
}

// CopyRequestHead returns an independent copy of a request head, so that each attempt can set its own fields.
func CopyRequestHead(head *protocol.Request) *protocol.Request {
	dst := &protocol.Request{}
	head.Header.CopyTo(&dst.Header)
	return dst
}

// CopyResponseHead copies the status and the passed-on fields of a response.
func CopyResponseHead(dst *protocol.Response, src *protocol.Response) {
	dst.SetStatusCode(src.StatusCode())
	dst.Header.SetNoDefaultContentType(true)
	src.Header.VisitAll(func(key, value []byte) {
		if keepField(string(key)) {
			dst.Header.Add(string(key), string(value))
		}
	})
}

// disconnectWatcher is implemented by those connections of hertz that can detect a disconnect.
type disconnectWatcher interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// WatchDisconnect lets hertz cancel the handler's context when the sender disconnects. By itself hertz does so only for
// requests without a body stream. The detection starts once the body was read to its end, since both read from the
// connection. The returned function ends it.
func WatchDisconnect(c *app.RequestContext, body *Body) (stop func()) {
	watcher, ok := c.GetConn().(disconnectWatcher)
	if !ok || !c.Request.IsBodyStream() {
		return func() {}
	}
	started := false
	start := func() {
		started = true
		watcher.DetectConnectionClose()
	}
	if rest, streamed := body.Rest.(*limitedReader); streamed {
		rest.onEnd = start
	} else {
		start()
	}
	return func() {
		if started {
			watcher.AbortBlockingRead()
		}
	}
}

// WriteResponse streams a response to the caller. The response head must already be copied to c.Response. It returns an
// error if the body could not be passed on completely; it then closes the connection, so that the caller can tell that the
// body is incomplete.
func WriteResponse(c *app.RequestContext, r *transport.Response) error {
	if c.Request.Header.IsHead() || r.Bodyless() {
		if r.Length >= 0 {
			c.Response.Header.SetContentLength(int(r.Length))
		}
		return nil
	}
	if c.Request.Header.ConnectionClose() {
		c.SetConnectionClose()
	}
	w := newResponseWriter(c, r.Length)
	c.Response.HijackWriter(w)
	err := stream(w, r.Body)
	if err == nil {
		return nil
	}
	w.aborted = true
	c.Response.SetConnectionClose()
	_ = c.GetConn().Close()
	return err
}

// LostReason returns the reason of an exchange that ended without a response for the request, although it may have run.
func LostReason(err error) outcome.Reason {
	if errors.Is(err, framing.ErrMalformed) {
		return outcome.ReasonAnswerMalformed
	}
	return outcome.ReasonConnectionLost
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// stream copies a body and flushes after each read, so that the caller receives bytes as they arrive.
func stream(w *responseWriter, body io.Reader) error {
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if err := w.send(buffer[:n]); err != nil {
				return fmt.Errorf("write response body: %w", err)
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// responseWriter writes a response body as it is if its length is announced, and with the chunked transfer encoding
// otherwise. An aborted response is not finalized, so that the caller cannot take it for complete.
type responseWriter struct {
	network.ExtWriter
	aborted bool
}

func newResponseWriter(c *app.RequestContext, length int64) *responseWriter {
	if length < 0 {
		return &responseWriter{ExtWriter: resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())}
	}
	c.Response.Header.SetContentLength(int(length))
	return &responseWriter{ExtWriter: &fixedWriter{response: &c.Response, writer: c.GetWriter()}}
}

func (w *responseWriter) send(p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return w.Flush()
}

// Finalize ends the response, or returns ErrAborted.
func (w *responseWriter) Finalize() error {
	if w.aborted {
		return ErrAborted
	}
	return w.ExtWriter.Finalize()
}

// fixedWriter writes a body whose length is announced in the head. The head is written before the first part of the body.
type fixedWriter struct {
	response *protocol.Response
	writer   network.Writer
	started  bool
}

func (w *fixedWriter) Write(p []byte) (int, error) {
	if err := w.start(); err != nil {
		return 0, err
	}
	return w.writer.WriteBinary(p)
}

func (w *fixedWriter) Flush() error {
	return w.writer.Flush()
}

func (w *fixedWriter) Finalize() error {
	return w.start()
}

func (w *fixedWriter) start() error {
	if w.started {
		return nil
	}
	w.started = true
	return resp.WriteHeader(&w.response.Header, w.writer)
}

// WithTimeout returns a context that ends after the remaining time or when parent does. In the first case its cause is
// context.DeadlineExceeded.
func WithTimeout(parent context.Context, remaining time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(parent, remaining, context.DeadlineExceeded)
}
