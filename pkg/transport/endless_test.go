package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/transport"
)

// flood answers each connection's first request with a beginning and then repeats a piece until the client closes. The
// channel is closed when it does.
func flood(t *testing.T, beginning, piece string, pause time.Duration) (address string, closed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed = make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		defer close(closed)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, beginning)
		for err == nil {
			_, err = io.WriteString(conn, piece)
			time.Sleep(pause)
		}
	}()
	return listener.Addr().String(), closed
}

// Guards against a server in trouble that sends bytes without end: they may cost neither more time than the request has,
// nor memory.
func TestEndlessBytesAreBounded(t *testing.T) {
	const (
		wait        = 300 * time.Millisecond
		memoryBound = 8 << 20
		foreignHead = "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
		ownHead     = "HTTP/1.1 200 OK\r\nX-Id: own\r\n"
	)
	kilobyte := strings.Repeat("x", 1024)
	for _, c := range []struct {
		name, beginning, piece string
		pause                  time.Duration
	}{
		{"no head", "", kilobyte, 0},
		{"line breaks", "", strings.Repeat("\r\n", 512), 0},
		{"one header", "HTTP/1.1 200 OK\r\nX-Id: ", kilobyte, 0},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Some: " + kilobyte + "\r\n", 0},
		{"headers, trickling", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 5 * time.Millisecond},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"body of another response", foreignHead, "400\r\n" + kilobyte + "\r\n", 0},
		{"body of another response, trickling", foreignHead, "1\r\nx\r\n", 5 * time.Millisecond},
		{"body in chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0},
		{"body until close", ownHead + "\r\n", kilobyte, 0},
		{"chunk size", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		{"trailer", ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Some: " + kilobyte + "\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, closed := flood(t, c.beginning, c.piece, c.pause)
			pool := transport.NewPool(address, transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}, &transport.Stats{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			begin := time.Now()
			err := readWhole(ctx, pool)
			runtime.GC()
			runtime.ReadMemStats(&after)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", wait+500*time.Millisecond))
			g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", memoryBound))
			g.Eventually(closed, hangGuard).Should(gomega.BeClosed())
		})
	}
}

// hangGuard ends a test that would otherwise wait for ever. No verdict depends on its length.
const hangGuard = 20 * time.Second

// readWhole sends a request and reads its response to the end.
func readWhole(ctx context.Context, pool *transport.Pool) error {
	head := &protocol.Request{}
	head.Header.SetMethod("GET")
	head.Header.SetRequestURI("/")
	head.Header.SetHost("test")
	accept := func(head *protocol.Response) bool { return head.Header.Get("X-Id") == "own" }
	pending, err := pool.Send(ctx, &transport.Request{Head: head, Accept: accept})
	if err != nil {
		return err
	}
	response, err := pending.Await()
	if err != nil {
		return err
	}
	defer response.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a rejection that holds its request up because its body does not end.
func TestDiscardDoesNotWaitForABody(t *testing.T) {
	g := gomega.NewWithT(t)
	address, closed := flood(t, "HTTP/1.1 503 Full\r\nX-Id: own\r\nContent-Length: 100\r\n\r\n", "x", 50*time.Millisecond)
	pool := transport.NewPool(address, transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}, &transport.Stats{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	head := &protocol.Request{}
	head.Header.SetRequestURI("/")
	head.Header.SetHost("test")
	pending, err := pool.Send(ctx, &transport.Request{Head: head})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := pending.Await()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	begin := time.Now()
	response.Discard()
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", time.Second))
	g.Eventually(closed, hangGuard).Should(gomega.BeClosed())
}
