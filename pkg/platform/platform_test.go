package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/platform"
)

// serve returns a client of a test server with the given handler.
func serve(t *testing.T, handler http.HandlerFunc) *platform.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL, time.Minute)
	t.Cleanup(client.Close)
	return client
}

// Guards against a call that continues after its context was cancelled and so blocks its task while the service does
// not respond.
func TestCancellationEndsACallAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	client := serve(t, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, "key", 0, time.Minute)
		done <- err
	}()
	<-arrived
	cancel()
	// The handler is still blocked, so that only the cancellation can have ended the call.
	g.Expect(<-done).To(gomega.MatchError(context.Canceled))
}

// Guards against a call that never ends because its context has no deadline.
func TestCallsHaveATimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"), 10*time.Millisecond)
	_, err := client.Hosts(context.Background())
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
}

// Guards against error responses, redirects, and too long or malformed responses being accepted as values.
func TestMalformedResponsesAreErrors(t *testing.T) {
	cases := []struct {
		name, revision, body string
		status               int
	}{
		{name: "down", status: 503, revision: "1"},
		{name: "redirect", status: 302, revision: "1"},
		{name: "no revision", status: 200, body: "x"},
		{name: "bad revision", status: 200, revision: "x"},
		{name: "too long", status: 200, revision: "1", body: strings.Repeat("x", 1<<20+1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.revision != "" {
					w.Header().Set("X-Revision", c.revision)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			_, err := client.Value(context.Background(), "key")
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
	g := gomega.NewWithT(t)
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":1,"hosts":[{"id":"h1","state":"gone"}]}`))
	})
	_, err := client.Hosts(context.Background())
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("hosts[0]")))
}

// Guards against a value that is taken from a response whose head is malformed, or from a head without end.
func TestMalformedHeadsAreErrors(t *testing.T) {
	const fields = "X-Revision: 1\r\nContent-Length: 1\r\n"
	for name, head := range map[string]string{
		"blank in a name":          "HTTP/1.1 200 OK\r\n" + fields + "X Field: a\r\n",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length : 1\r\n",
		"control byte in a name":   "HTTP/1.1 200 OK\r\n" + fields + "X-\x01Field: a\r\n",
		"line that is no field":    "HTTP/1.1 200 OK\r\n" + fields + "no field\r\n",
		"length with letters":      "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length: 1o\r\n",
		"status 000":               "HTTP/1.1 000 OK\r\n" + fields,
		"head of over 64 KiB":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: "+strings.Repeat("a", 1000)+"\r\n", 100) + fields,
		"interim heads over 1 MiB": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("a", 1000)+"\r\n\r\n", 1024) + "HTTP/1.1 200 OK\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = conn.Write([]byte(head + "\r\nx"))
			})
			_, err := client.Value(t.Context(), "key")
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		})
	}
}
