package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
)

// crashingBackend is a backend server that stops for good when it runs a request whose path contains "poison".
type crashingBackend struct {
	server  *httptest.Server
	crashed atomic.Bool
}

func newCrashingBackend() *crashingBackend {
	b := &crashingBackend{}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "poison") {
			b.crashed.Store(true)
			_ = b.server.Listener.Close()
			b.server.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		// Innocent requests last long enough to be in flight when the backend server crashes.
		time.Sleep(time.Millisecond)
		_, _ = fmt.Fprint(w, "ok")
	}))
	DeferCleanup(b.server.CloseClientConnections)
	return b
}

// Guards against a request that takes down one backend server after the other while its caller sends it again, and
// against innocent requests that are refused because they shared a backend server with it.
var _ = Describe("a request that crashes backend servers", func() {
	DescribeTable("costs at most two of them, and others are served", func(othersBetween int) {
		var backends []*crashingBackend
		urls := startService(1, 0, func() string {
			backend := newCrashingBackend()
			backends = append(backends, backend)
			return backend.server.Listener.Addr().String()
		}).urls
		crashed := func() int {
			count := 0
			for _, b := range backends {
				if b.crashed.Load() {
					count++
				}
			}
			return count
		}
		get := func(path string) (int, string) {
			response, err := client().Get(urls[0] + path)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode, response.Header.Get(outcome.HeaderReason)
		}
		var reason string
		for range 10 {
			_, reason = get("/poison")
			for n := range othersBetween {
				status, _ := get(fmt.Sprintf("/innocent/%d", n))
				Expect(status).To(Equal(http.StatusOK))
			}
		}
		Expect(crashed()).To(Equal(2))
		Expect(reason).To(Equal(string(outcome.ReasonQuarantined)))
	},
		Entry("when other requests are sent in between", 10),
		Entry("when its caller sends it again at once", 0),
	)
})
