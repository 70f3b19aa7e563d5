package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/transport"
)

// server runs the n-th script on the n-th connection and sends on accepted for each connection.
type server struct {
	listener net.Listener
	accepted chan struct{}
}

// serve starts a server with the given scripts.
func serve(t *testing.T, scripts ...func(net.Conn, *bufio.Reader)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, accepted: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// answer is a script that writes the same raw response to each request.
func answer(response string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}
}

// answerOnce is a script that writes a raw response to the first request and closes the connection.
func answerOnce(response string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, response)
	}
}

// neverAnswer is a script that reads requests and never responds.
func neverAnswer(_ net.Conn, r *bufio.Reader) {
	_, _ = io.Copy(io.Discard, r)
}

func newPool(s *server) (*transport.Pool, *transport.Stats) {
	stats := &transport.Stats{}
	options := transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}
	return transport.NewPool(s.listener.Addr().String(), options, stats), stats
}

// get returns a GET request without a body.
func get() *transport.Request {
	head := &protocol.Request{}
	head.Header.SetMethod("GET")
	head.Header.SetRequestURI("/")
	head.Header.SetHost("test")
	return &transport.Request{Head: head}
}

// exchange sends a GET request and returns the body of the response.
func exchange(ctx context.Context, pool *transport.Pool) (string, error) {
	pending, err := pool.Send(ctx, get())
	if err != nil {
		return "", err
	}
	response, err := pending.Await()
	if err != nil {
		return "", err
	}
	defer response.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"

// Guards against opening a connection for each request, which takes about 1 ms.
func TestConnectionIsReusedAfterWholeAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	pool, stats := newPool(serve(t, answer(completeResponse)))
	for range 3 {
		text, err := exchange(context.Background(), pool)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text).To(gomega.Equal("abc"))
	}
	g.Expect(stats.Dialed.Load()).To(gomega.Equal(uint64(1)))
}

// Guards against opening a connection after each response that has no body and announces no length.
func TestConnectionIsReusedAfterAnswerWithoutBody(t *testing.T) {
	g := gomega.NewWithT(t)
	pool, stats := newPool(serve(t, answer("HTTP/1.1 204 No Content\r\n\r\n"), answer(completeResponse)))
	for range 3 {
		text, err := exchange(context.Background(), pool)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text).To(gomega.BeEmpty())
	}
	g.Expect(stats.Dialed.Load()).To(gomega.Equal(uint64(1)))
}

// Guards against a late response to a timed-out request being returned for the next request.
func TestConnectionIsNotReusedAfterTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	pool, stats := newPool(serve(t, neverAnswer, answer(completeResponse)))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := exchange(ctx, pool)
	g.Expect(transport.IsTimeout(err)).To(gomega.BeTrue())
	var exchangeErr *transport.Error
	g.Expect(errors.As(err, &exchangeErr)).To(gomega.BeTrue())
	g.Expect(exchangeErr.MaybeSent).To(gomega.BeTrue())
	text, err := exchange(context.Background(), pool)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal("abc"))
	g.Expect(stats.Dialed.Load()).To(gomega.Equal(uint64(2)))
}

// Guards against unexpected bytes after a response being read as the response to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	extra := completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	pool, stats := newPool(serve(t, answer(extra), answer(completeResponse)))
	for range 2 {
		text, err := exchange(context.Background(), pool)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text).To(gomega.Equal("abc"))
	}
	g.Expect(stats.Dialed.Load()).To(gomega.Equal(uint64(2)))
}

// Guards against a truncated body being accepted as complete, with a content length and with chunks.
func TestCutOffBodyIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"within a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			pool, _ := newPool(serve(t, answerOnce(response)))
			_, err := exchange(context.Background(), pool)
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}

// Guards against reporting the outcome "not run" for a request of which bytes were sent, and "unknown" for one of which
// none were.
func TestErrorTellsWhetherTheRequestWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, answerOnce(""))
	pool, _ := newPool(s)
	_, err := exchange(context.Background(), pool)
	var lost *transport.Error
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue())
	g.Expect(lost.MaybeSent).To(gomega.BeTrue())
	_ = s.listener.Close()
	_, err = exchange(context.Background(), pool)
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue())
	g.Expect(lost.MaybeSent).To(gomega.BeFalse())
}

// Guards against a request that is lost because its connection has been idle for as long as the peer keeps it, which it had said.
func TestConnectionIsNotReusedAtTheEndOfItsKeepAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	response := answer("HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 2\r\n\r\nok")
	pool, stats := newPool(serve(t, response, response))
	for _, idle := range []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond} {
		time.Sleep(idle)
		_, err := exchange(t.Context(), pool)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(stats.Reused.Load()).To(gomega.Equal(uint64(1)))
	g.Expect(stats.Dialed.Load()).To(gomega.Equal(uint64(2)))
}
