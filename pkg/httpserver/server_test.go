package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/httpserver"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// hangTimeout makes a test fail instead of waiting forever. Its length does not affect the result of a test.
const hangTimeout = 20 * time.Second

// start runs a server with the given handler.
func start(t *testing.T, handler app.HandlerFunc) *httpserver.Server {
	t.Helper()
	telemetry.RedirectHertzLog(slog.New(slog.DiscardHandler))
	s := httpserver.New("127.0.0.1:0", handler, slog.New(slog.DiscardHandler), httpserver.Limits{})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

func dial(t *testing.T, s *httpserver.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// get sends a GET request and returns the status of the response.
func get(conn net.Conn, path string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0, err
	}
	return status(conn)
}

// status reads a response and returns its status.
func status(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against a panic of a handler that ends the process, and with it all other requests.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, func(_ context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/panics" {
			panic("unexpected header")
		}
		c.SetStatusCode(http.StatusNoContent)
	})
	other := dial(t, s)
	g.Expect(get(other, "/works")).To(gomega.Equal(http.StatusNoContent))
	g.Expect(get(dial(t, s), "/panics")).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(get(other, "/works")).To(gomega.Equal(http.StatusNoContent))
	g.Expect(s.Stop(context.Background())).To(gomega.Succeed())
}

// Guards against a planned stop that closes a keep-alive connection on which a request is arriving.
func TestStopWaitsForARequestThatHasBegunToArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusNoContent) })
	conn := dial(t, s)
	g.Expect(get(conn, "/")).To(gomega.Equal(http.StatusNoContent))
	// The connection is idle for longer than a stop requires before it closes a connection.
	time.Sleep(700 * time.Millisecond)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, "st: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(conn)).To(gomega.Equal(http.StatusNoContent))
	g.Eventually(stopped, hangTimeout).Should(gomega.Receive(gomega.Succeed()))
}

// Guards against a stop that resets connections which clients opened, and on which they sent a request, before the
// stop.
func TestStopAnswersWhatWasSentBeforeIt(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, func(_ context.Context, c *app.RequestContext) {
		time.Sleep(50 * time.Millisecond)
		c.SetStatusCode(http.StatusNoContent)
	})
	const callers = 50
	results := make(chan error, callers)
	sent := make(chan struct{}, callers)
	for range callers {
		go func() {
			conn, err := net.Dial("tcp", s.Address())
			if err == nil {
				defer conn.Close()
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			}
			sent <- struct{}{}
			if err == nil {
				_, err = status(conn)
			}
			results <- err
		}()
	}
	for range callers {
		<-sent
	}
	g.Expect(s.Stop(context.Background())).To(gomega.Succeed())
	for range callers {
		g.Expect(<-results).To(gomega.Succeed())
	}
}

// Guards against a stop that cuts off responses which slow clients are still reading: they were written after the request had
// counted as ended.
func TestStopWaitsForResponsesThatAreBeingRead(t *testing.T) {
	// The body exceeds what the buffers of a loopback connection hold.
	const bodyBytes = 64 << 20
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("streamed=%v", streamed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			handled := make(chan struct{})
			s := start(t, func(_ context.Context, c *app.RequestContext) {
				defer close(handled)
				if streamed {
					c.Response.SetBodyStream(bytes.NewReader(make([]byte, bodyBytes)), bodyBytes)
				} else {
					c.Response.SetBody(make([]byte, bodyBytes))
				}
			})
			conn := dial(t, s)
			_, err := io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			<-handled
			g.Consistently(s.InFlight, "100ms").Should(gomega.Equal(1))
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			g.Consistently(stopped, "700ms").ShouldNot(gomega.Receive())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(io.Copy(io.Discard, response.Body)).To(gomega.BeEquivalentTo(bodyBytes))
			g.Eventually(stopped, hangTimeout).Should(gomega.Receive(gomega.Succeed()))
			g.Expect(s.InFlight()).To(gomega.BeZero())
		})
	}
}

// Guards against a request that is run although its connection was closed to keep the limit, so that its response is lost.
func TestRequestsOnConnectionsClosedForTheLimitAreNotRun(t *testing.T) {
	const clients, requests = 32, 200
	g := gomega.NewWithT(t)
	var ran sync.Map
	telemetry.RedirectHertzLog(slog.New(slog.DiscardHandler))
	s := httpserver.New("127.0.0.1:0", func(_ context.Context, c *app.RequestContext) {
		ran.Store(string(c.Path()), true)
		c.SetStatusCode(http.StatusNoContent)
	}, slog.New(slog.DiscardHandler), httpserver.Limits{MaxConnections: 4})
	g.Expect(s.Start(context.Background())).To(gomega.Succeed())
	var answered atomic.Int64
	var crowd sync.WaitGroup
	for client := range clients {
		crowd.Go(func() {
			for number := range requests {
				conn, err := net.Dial("tcp", s.Address())
				if err != nil {
					continue
				}
				path := fmt.Sprintf("/%d/%d", client, number)
				if _, err := get(conn, path); err == nil {
					answered.Add(1)
					ran.Delete(path)
				}
				_ = conn.Close()
			}
		})
	}
	crowd.Wait()
	g.Expect(s.Stop(context.Background())).To(gomega.Succeed())
	lost := 0
	ran.Range(func(_, _ any) bool { lost++; return true })
	t.Logf("%d of %d requests were answered, %d connections closed", answered.Load(), clients*requests, s.Closed())
	g.Expect(s.Closed()).To(gomega.BeNumerically(">", 0))
	g.Expect(answered.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(lost).To(gomega.BeZero(), "requests ran and were not answered")
}
