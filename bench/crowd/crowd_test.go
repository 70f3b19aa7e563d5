package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/platform"
	"agatepulley.example/agatepulley/platform/platformtest"
)

const (
	// memoryMB and descriptors are the limits of the machine, and so of the process.
	memoryMB    = 96
	descriptors = 512
	// openDescriptors is the number of descriptors that the process may use: some must remain for its own calls.
	openDescriptors = 400
	// clients is the size of the crowd, and clientBytes the most that each client sends.
	clients     = 24
	clientBytes = 8 << 20
	// dripBytes is the size of the pieces of a head that arrives slowly. dripTotal bytes arrive so.
	dripBytes = 64
	dripTotal = 256 << 10
	dripPause = 200 * time.Microsecond
	// crowdLimit ends a client that a node neither serves nor closes.
	crowdLimit = 8 * time.Second
	// hangTimeout makes a test fail instead of waiting forever. Its length does not affect the result of a test.
	hangTimeout = 60 * time.Second
)

var binaries *processes.Binaries

func TestMain(m *testing.M) {
	os.Exit(processes.RunWith(func(b *processes.Binaries) { binaries = b }, m.Run))
}

// Ports of the node.
const (
	portCallers = 14000 + iota
	portHop
	portAdmin
	portPeer
	portApp
)

// machine is a host with a node process, an endpoint and the store.
type machine struct {
	ip   string
	node *processes.Process
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(port))
}

func start(t *testing.T) *machine {
	g := gomega.NewWithT(t)
	m := &machine{ip: fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Publish(3, platformtest.Route{Prefix: "/read/", Kind: "safe", Service: "desk"}, platformtest.Route{Prefix: "/book/", Kind: "unsafe", Service: "desk"})
	endpoint, err := platformtest.NewEndpoint(store, "e1", "desk", "zone-1", m.address(portApp))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(endpoint.Close)
	large := strings.Repeat("film", 1<<20)
	endpoint.ResponseText = func(r *http.Request) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "/large") {
			return large, false
		}
		return "ok", false
	}
	endpoint.Register()
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.json")
	g.Expect(platformtest.WriteSettings(settings, platformtest.NodeSettings{
		Name: "n1", IP: m.ip, Zone: "zone-1", Service: "desk", Callers: m.address(portCallers), Hop: m.address(portHop),
		Admin: m.address(portAdmin), App: m.address(portApp), Store: store.Address(), PeerPort: portPeer,
		MemoryMB: memoryMB, Descriptors: descriptors,
	})).To(gomega.Succeed())
	group := processes.NewGroup(dir)
	t.Cleanup(func() { _ = group.Close() })
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" --site-settings "$1" --log-level warn`, descriptors)
	m.node, err = group.Start("node", "/bin/sh", "-c", script, binaries.Path(processes.Node), settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m.expectServes(t)
	return m
}

// expectServes sends ordinary requests until one is answered.
func (m *machine) expectServes(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	number := 0
	gomega.NewWithT(t).Eventually(func() (int, error) {
		number++
		request, err := http.NewRequest(http.MethodGet, "http://"+m.address(portCallers)+"/read/x", nil)
		if err != nil {
			return 0, err
		}
		request.Host = platformtest.RouteHost
		request.Header = http.Header{names.RequestID: {fmt.Sprintf("ordinary-%d", number)}, names.DeadlineMS: {"1500"}}
		response, err := client.Do(request)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}, hangTimeout, "100ms").Should(gomega.Equal(http.StatusOK))
}

// check checks that the process lives and has stayed within its limits.
func (m *machine) check(t *testing.T, mostOpen int) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(m.node.Running()).To(gomega.BeTrue(), "the process has ended")
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.node.PID()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	peakKB := 0
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &peakKB)
	}
	t.Logf("peak of resident memory %d MB, of open descriptors %d", peakKB>>10, mostOpen)
	g.Expect(peakKB).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", memoryMB<<10)), "peak of resident memory in kB")
	g.Expect(mostOpen).To(gomega.BeNumerically("<=", openDescriptors), "peak of open descriptors")
}

// watchDescriptors samples the number of open descriptors until the returned function is called, which returns the largest.
func (m *machine) watchDescriptors() (most func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan int, 1)
	go func() {
		most := 0
		for ctx.Err() == nil {
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.node.PID())); err == nil {
				most = max(most, len(open))
			}
			time.Sleep(5 * time.Millisecond)
		}
		result <- most
	}()
	return func() int {
		cancel()
		return <-result
	}
}

// names are the header names of the platform.
var names = platform.Headers()

var (
	requestLine = "GET /read/x HTTP/1.1\r\n"
	commonHead  = fmt.Sprintf("Host: %s\r\n%s: crowd\r\n%s: 1000\r\n", platformtest.RouteHost, names.RequestID, names.DeadlineMS)
	wholeHead   = requestLine + commonHead + "\r\n"
	bodyHead    = "POST /book/x HTTP/1.1\r\n" + commonHead
)

// endless sends a text and then a piece again and again, up to clientBytes or until the node closes the connection.
func endless(first, piece string) func(conn net.Conn) {
	block := strings.Repeat(piece, max(1, (32<<10)/len(piece)))
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, first)
		for sent := 0; sent < clientBytes; sent += len(block) {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
		linger(conn)
	}
}

// drips sends a text and then a piece again and again in small parts.
func drips(first, piece string) func(conn net.Conn) {
	part := strings.Repeat(piece, max(1, dripBytes/len(piece)))
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, first)
		for sent := 0; sent < dripTotal; sent += len(part) {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			time.Sleep(dripPause)
		}
		linger(conn)
	}
}

// linger keeps the connection open until the node closes it or the crowd's time has passed.
func linger(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

// silent keeps the connection open without reading, until the crowd's time has passed.
func silent(text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		time.Sleep(crowdLimit)
	}
}

// fields returns many short fields.
func fields(count int) string {
	var b strings.Builder
	for n := range count {
		fmt.Fprintf(&b, "A%d: b\r\n", n)
	}
	return b.String()
}

// Guards against clients outside the limits that take all memory or descriptors of a process. Each variant has a process of its
// own.
func TestCrowd(t *testing.T) {
	for _, c := range []struct {
		name  string
		ports []int
		size  int // of the crowd, or 0 for clients
		play  func(conn net.Conn)
	}{
		{"a head over the limit in one write", []int{portCallers, portHop, portAdmin}, 0, endless(requestLine+commonHead+"A: "+strings.Repeat("b", 1<<20)+"\r\n\r\n", "x")},
		{"a head without end", []int{portCallers, portHop, portAdmin}, 0, endless(requestLine+commonHead, "Field: value\r\n")},
		{"a head without end in drips", []int{portCallers, portHop, portAdmin}, 0, drips(requestLine+commonHead, "Field: value\r\n")},
		{"one field without end", []int{portCallers}, 0, endless(requestLine+"Field: ", "v")},
		{"one field without end in drips", []int{portCallers}, 0, drips(requestLine+"Field: ", "v")},
		{"very many short fields", []int{portCallers}, 0, endless(requestLine+commonHead+fields(60000)+"\r\n", wholeHead)},
		{"empty lines without end", []int{portCallers, portHop, portAdmin}, 0, endless("", "\r\n")},
		{"empty lines without end in drips", []int{portCallers}, 0, drips("", "\r\n")},
		{"bare line feeds without end", []int{portCallers}, 0, endless("", "\n")},
		{"empty lines without end between requests", []int{portCallers}, 0, endless(wholeHead, "\r\n")},
		{"bare line feeds without end between requests", []int{portCallers}, 0, drips(wholeHead, "\n")},
		{"a target without end", []int{portCallers}, 0, endless("GET /read/", "x")},
		{"a target without end in drips", []int{portCallers}, 0, drips("GET /read/", "x")},
		{"chunk extensions without end", []int{portCallers, portHop}, 0, endless(bodyHead+"Transfer-Encoding: chunked\r\n\r\n1;", "x")},
		{"chunk extensions without end in drips", []int{portCallers}, 0, drips(bodyHead+"Transfer-Encoding: chunked\r\n\r\n1;", "x")},
		{"chunk size digits without end", []int{portCallers}, 0, endless(bodyHead+"Transfer-Encoding: chunked\r\n\r\n", "0")},
		{"trailers without end", []int{portCallers}, 0, endless(bodyHead+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Field: value\r\n")},
		{"trailers without end in drips", []int{portCallers}, 0, drips(bodyHead+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Field: value\r\n")},
		{"a body that is announced too long", []int{portCallers}, 0, endless(bodyHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40), "x")},
		{"no request", []int{portCallers, portHop, portAdmin}, 0, linger},
		{"answers that are never read", []int{portCallers}, 0, silent(strings.Replace(wholeHead, "/x", "/large", 1))},
		{"pipelined requests without end", []int{portCallers}, 0, endless("", wholeHead)},
		{"more connections than descriptors", []int{portCallers, portHop, portAdmin}, descriptors + 100, linger},
		{"more unfinished heads than descriptors", []int{portCallers}, descriptors + 100, drips(requestLine+commonHead, "Field: value\r\n")},
	} {
		for _, port := range c.ports {
			name := c.name + " at the port for " + map[int]string{portCallers: "callers", portHop: "other nodes", portAdmin: "operators"}[port]
			t.Run(name, func(t *testing.T) {
				m := start(t)
				most := m.watchDescriptors()
				size := c.size
				if size == 0 {
					size = clients
				}
				var crowd sync.WaitGroup
				for range size {
					crowd.Go(func() {
						conn, err := net.DialTimeout("tcp", m.address(port), crowdLimit)
						if err != nil {
							return
						}
						defer conn.Close()
						_ = conn.SetDeadline(time.Now().Add(crowdLimit))
						c.play(conn)
					})
				}
				crowd.Wait()
				open := most()
				m.check(t, open)
				m.expectServes(t)
			})
		}
	}
}
