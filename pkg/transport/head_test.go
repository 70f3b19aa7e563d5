package transport_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/transport"
)

// serveRaw answers each request on a connection with the next of the given texts and closes the connection after the last.
func serveRaw(t *testing.T, texts ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, text := range texts {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := conn.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a response whose head ends early, at any byte, and that is taken for a complete one with an empty or short body.
// On a kept connection, the head must not be completed by what came before either.
func TestHeadsThatEndEarlyAreErrors(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nTest-Request-Id: r1\r\nTest-Signature: s1\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTest-Request-Id: r1\r\nTransfer-Encoding: chunked\r\nTest-Signature: s1\r\n\r\n",
		"HTTP/1.1 200 OK\nTest-Request-Id: r1\nContent-Length: 0\n\n",
	}
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	options := transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}
	for _, head := range heads {
		for end := range len(head) - 1 {
			t.Run(fmt.Sprintf("%q", head[:end]), func(t *testing.T) {
				g := gomega.NewWithT(t)
				pool := transport.NewPool(serveRaw(t, whole, head[:end]), options, &transport.Stats{})
				defer pool.Close()
				got, err := fetchWithin(pool, "/first", hangTimeout)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.Equal("ok"))
				got, err = fetchWithin(pool, "/second", hangTimeout)
				g.Expect(err).To(gomega.HaveOccurred(), "response %q", got)
			})
		}
	}
}
