package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/settings"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// hangGuard ends a spec that would otherwise wait for ever. No verdict depends on its length.
const hangGuard = 20 * time.Second

var lastPort atomic.Int32

// freeAddress returns an address that nothing else uses. Its IP number belongs to this test process alone, because a
// port that was free on 127.0.0.1 may be taken by an outgoing connection before the node listens on it.
func freeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, 20000+lastPort.Add(1))
}

func newSettings(host, zone string, arguments ...string) *settings.Settings {
	all := append([]string{
		"--host-id", host, "--zone", zone, "--drain-notice", "0s",
		"--listen", freeAddress(), "--hop-listen", freeAddress(), "--peer-listen", freeAddress(), "--admin-listen", freeAddress(),
	}, arguments...)
	s, err := settings.Parse(all)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func hostOf(s *settings.Settings) config.Host {
	ip, port := settings.SplitAddress(s.Listen)
	_, hopPort := settings.SplitAddress(s.HopListen)
	_, peerPort := settings.SplitAddress(s.PeerListen)
	return config.Host{ID: s.HostID, Address: ip, Zone: s.Zone, IngressPort: port, HopPort: hopPort, PeerPort: peerPort}
}

// testNode is a node that runs in the test process.
type testNode struct {
	*Node
	stopped chan struct{}
	stop    context.CancelFunc
}

// serveConfig starts a configuration service that holds one document.
func serveConfig(document *config.Document) string {
	data, err := config.Canonical(document)
	Expect(err).NotTo(HaveOccurred())
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/watch/") {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Revision", "1")
		_, _ = w.Write(data)
	}))
	DeferCleanup(func() {
		service.CloseClientConnections()
		service.Close()
	})
	return service.Listener.Addr().String()
}

func startNode(s *settings.Settings, document *config.Document) *testNode {
	log, err := telemetry.NewLog(io.Discard, "json", "error")
	Expect(err).NotTo(HaveOccurred())
	s.ConfigService = serveConfig(document)
	n, err := New(s, log)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t := &testNode{Node: n, stopped: make(chan struct{}), stop: cancel}
	go func() {
		defer close(t.stopped)
		if err := n.Run(ctx); err != nil {
			GinkgoWriter.Println("node ended:", err)
		}
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(t.stopped, hangGuard).Should(BeClosed())
	})
	Eventually(n.State, hangGuard).Should(Equal(lifecycle.Serving))
	return t
}

// pair is an ingress node and an owner node in two availability zones, before one backend server.
type pair struct {
	ingress, owner *testNode
	url            string
}

func startPair(handler http.HandlerFunc) *pair {
	backend := httptest.NewServer(handler)
	DeferCleanup(func() {
		backend.CloseClientConnections()
		backend.Close()
	})
	ingressSettings := newSettings("h1", "z1")
	ownerSettings := newSettings("h2", "z2", "--config-service", "127.0.0.1:1", "--backend", "e1="+backend.Listener.Addr().String())
	document := &config.Document{
		Format: config.Format, Version: config.Version{Epoch: 1, Sequence: 1},
		Hosts: []config.Host{hostOf(ingressSettings), hostOf(ownerSettings)},
		Services: []config.Service{{
			Name: "s", FloorPercent: 50,
			Claims:    config.ClaimSettings{WindowMS: 5000, Generation: 1, Recorders: []string{"h2"}},
			Endpoints: []config.Endpoint{{ID: "e1", Host: "h2", Slots: 3}},
		}},
		Routes: []config.Route{
			{ID: "read", PathPrefix: "/read", Service: "s", Repeatable: true, DeadlineMS: 10000},
			{ID: "write", PathPrefix: "/write", Methods: []string{"POST"}, Service: "s", MaxBodyBytes: 300000},
		},
	}
	return &pair{
		owner:   startNode(ownerSettings, document),
		ingress: startNode(ingressSettings, document),
		url:     "http://" + ingressSettings.Listen,
	}
}

func client() *http.Client {
	return &http.Client{Timeout: hangGuard, Transport: &http.Transport{}}
}

var _ = Describe("the path of a request through two nodes", func() {
	It("passes heads and bodies on unchanged in both directions", func() {
		p := startPair(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" "+r.Header.Get("X-Own"))
			w.Header().Set("Agatepulley-Outcome", "not-run")
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write(append([]byte("got "), body...))
		})
		for _, size := range []int{0, 10, 65536, 65537, 250000} {
			body := bytes.Repeat([]byte("x"), size)
			request, _ := http.NewRequest("POST", p.url+"/write/a%2Fb?q=1&q=2", bytes.NewReader(body))
			request.Header.Set("X-Own", "kept")
			response, err := client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusTeapot))
			Expect(response.Header.Get("X-Seen")).To(Equal("POST /write/a%2Fb?q=1&q=2 kept"))
			Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal("answered"))
			Expect(text).To(HaveLen(size + len("got ")))
		}
	})

	// Guards against a cut-off body that reaches the caller as a complete one.
	It("presents a body that was cut off as a broken transfer", func() {
		p := startPair(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "length") {
				w.Header().Set("Content-Length", "100")
			}
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		for _, path := range []string{"/read/length", "/read/chunked"} {
			response, err := client().Get(p.url + path)
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			Expect(err).To(HaveOccurred())
			Expect(string(text)).To(Equal("part"))
		}
	})

	// Guards against hertz's stream reading past a body into the next request on the connection.
	It("answers pipelined requests one by one", func() {
		p := startPair(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s:%d", r.URL.Path, len(body))
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(hangGuard))).To(Succeed())
		post := "POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
		_, err = io.WriteString(conn, post+"GET /read HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		for _, want := range []string{"/write:20000", "/read:0"} {
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(Equal(want))
		}
	})

	// Guards against request smuggling and against bad requests that reach a backend server.
	It("refuses requests that must not reach a backend server", func() {
		var reached atomic.Int32
		p := startPair(func(http.ResponseWriter, *http.Request) { reached.Add(1) })
		for request, status := range map[string]int{
			"GET /none HTTP/1.1\r\nHost: a\r\n\r\n":                                                               404,
			"GET /write HTTP/1.1\r\nHost: a\r\n\r\n":                                                              405,
			"POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 300001\r\n\r\n" + strings.Repeat("x", 300001):     413,
			"POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx":                 400,
			"POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
			"GET /read HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 100000) + "\r\n\r\n":                     431,
			"\x00\x01garbage\r\n\r\n": 400,
		} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetDeadline(time.Now().Add(hangGuard))).To(Succeed())
			_, _ = io.WriteString(conn, request)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred(), request)
			Expect(response.StatusCode).To(Equal(status), request)
			Expect(conn.Close()).To(Succeed())
		}
		Expect(reached.Load()).To(BeZero())
	})

	// Guards against work that goes on for a caller that has gone.
	It("cancels the work behind when the caller disconnects", func() {
		began, ended := make(chan struct{}, 4), make(chan struct{}, 4)
		p := startPair(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			began <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})
		for _, method := range []string{"GET", "POST"} {
			ctx, cancel := context.WithCancel(context.Background())
			path := map[string]string{"GET": "/read", "POST": "/write"}[method]
			request, _ := http.NewRequestWithContext(ctx, method, p.url+path, strings.NewReader("body"))
			go func() { _, _ = client().Do(request) }()
			Eventually(began, hangGuard).Should(Receive())
			cancel()
			Eventually(ended, hangGuard).Should(Receive())
		}
	})

	// Guards against a planned stop that cuts downloads, on the side of the owner and of the ingress.
	It("finishes a download across the planned stop of both nodes", func() {
		release := make(chan struct{})
		p := startPair(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first ")
			w.(http.Flusher).Flush()
			<-release
			_, _ = io.WriteString(w, "last")
		})
		response, err := client().Get(p.url + "/read")
		Expect(err).NotTo(HaveOccurred())
		p.owner.stop()
		p.ingress.stop()
		Eventually(p.owner.State, hangGuard).Should(Equal(lifecycle.Draining))
		Eventually(p.ingress.State, hangGuard).Should(Equal(lifecycle.Draining))
		close(release)
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("first last"))
		Eventually(p.owner.stopped, hangGuard).Should(BeClosed())
		Eventually(p.ingress.stopped, hangGuard).Should(BeClosed())
	})
})
