package transport_test

import (
	"bufio"
	"context"
	"fmt"
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

// flood starts a server that responds to the first request of one connection with beginning and then repeats piece
// until the client closes the connection. The channel closed is closed when the client has done so.
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

// Guards against a faulty server that sends bytes without end: reading them must neither exceed the request's deadline
// nor use unbounded memory.
func TestEndlessBytesAreBounded(t *testing.T) {
	const (
		deadline      = 300 * time.Millisecond
		maxHeapGrowth = 8 << 20
		foreignHead   = "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
		ownHead       = "HTTP/1.1 200 OK\r\nX-Id: own\r\n"
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
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			begin := time.Now()
			err := readWhole(ctx, pool)
			runtime.GC()
			runtime.ReadMemStats(&after)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", deadline+500*time.Millisecond))
			g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", maxHeapGrowth))
			g.Eventually(closed, hangTimeout).Should(gomega.BeClosed())
		})
	}
}

// hangTimeout makes a test fail instead of waiting forever. Its length does not affect the result of a test.
const hangTimeout = 20 * time.Second

// readWhole sends a request and reads its response to the end.
func readWhole(ctx context.Context, pool *transport.Pool) error {
	response, err := send(ctx, pool)
	if err != nil {
		return err
	}
	defer response.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// send sends a request and returns the response whose header X-Id is "own".
func send(ctx context.Context, pool *transport.Pool) (*transport.Response, error) {
	head := &protocol.Request{}
	head.Header.SetMethod("GET")
	head.Header.SetRequestURI("/")
	head.Header.SetHost("test")
	accept := func(head *protocol.Response) bool { return head.Header.Get("X-Id") == "own" }
	pending, err := pool.Send(ctx, &transport.Request{Head: head, Accept: accept})
	if err != nil {
		return nil, err
	}
	return pending.Await()
}

// Guards against a rejected request being delayed because the body of the rejection arrives slowly or never ends.
func TestDiscardDoesNotWaitForABody(t *testing.T) {
	g := gomega.NewWithT(t)
	address, closed := flood(t, "HTTP/1.1 503 Full\r\nX-Id: own\r\nContent-Length: 100\r\n\r\n", "x", 50*time.Millisecond)
	pool := transport.NewPool(address, transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}, &transport.Stats{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	response, err := send(ctx, pool)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	begin := time.Now()
	response.Discard()
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", time.Second))
	g.Eventually(closed, hangTimeout).Should(gomega.BeClosed())
}

// Guards against a body without an announced length being accepted as complete although the connection was reset, or
// being rejected although the connection was closed regularly.
func TestAResetIsNotTheEndOfABody(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			received := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nhalf")
				<-received
				if reset {
					// With a linger time of 0, closing the connection sends a reset.
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
			pool := transport.NewPool(listener.Addr().String(), transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}, &transport.Stats{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
			defer cancel()
			response, err := send(ctx, pool)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Close()
			prefix := make([]byte, 4)
			_, err = io.ReadFull(response.Body, prefix)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			close(received)
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err != nil).To(gomega.Equal(reset))
			g.Expect(response.Complete()).To(gomega.Equal(!reset))
		})
	}
}
