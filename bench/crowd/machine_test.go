package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/platform"
	"agatepulley.example/agatepulley/platform/platformtest"
)

const (
	// memoryMB and descriptors are the limits of the machine, and so of the process.
	memoryMB    = 96
	descriptors = 512
	// openDescriptors is the number of descriptors out of descriptors that the process may use: some must remain for its own calls.
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

// kind is a kind of node.
type kind string

const (
	// registered nodes serve endpoints that register themselves with a platform, published nodes those of a published configuration.
	registered kind = "registered"
	published  kind = "published"
)

// machine is a host with a node process and an endpoint.
type machine struct {
	kind        kind
	ip          string
	descriptors int
	// raw, if not nil, returns what the endpoint writes to the connection instead of a response, or nil.
	raw  func(r *http.Request) func(w io.Writer)
	node *processes.Process
	// incarnation is that of the process.
	incarnation uint64
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(port))
}

// endpoint returns the id of the endpoint of the machine, and its service.
func (m *machine) endpoint() (id, service string) {
	if m.kind == published {
		return "endpoint-1", "default"
	}
	return "e1", "desk"
}

// largeBytes is the size of a large response.
const largeBytes = 4 << 20

// start starts a registered node with the default limits.
func start(t *testing.T) *machine {
	return startKind(t, registered, descriptors)
}

func startKind(t *testing.T, k kind, descriptors int) *machine {
	m := &machine{kind: k, descriptors: descriptors}
	m.start(t)
	return m
}

// start starts the processes of a machine.
func (m *machine) start(t *testing.T) {
	m.ip = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	large := strings.Repeat("film", largeBytes/len("film"))
	dir := t.TempDir()
	var arguments []string
	if m.kind == published {
		m.startBackend(t, large)
		arguments = []string{
			"--listen", m.address(portCallers), "--hop-listen", m.address(portHop), "--admin-listen", m.address(portAdmin),
			"--peer-listen", m.address(portPeer), "--backend", m.address(portApp),
		}
	} else {
		arguments = []string{"--site-settings", m.startPlatform(t, dir, large)}
	}
	g := gomega.NewWithT(t)
	group := processes.NewGroup(dir)
	t.Cleanup(func() { _ = group.Close() })
	script := fmt.Sprintf(`ulimit -n %d; AGATEPULLEY_MEMORY_MB=%d exec "$0" "$@" --log-level warn`, m.descriptors, memoryMB)
	var err error
	m.node, err = group.Start("node", "/bin/sh", append([]string{"-c", script, binaries.Path(processes.Node)}, arguments...)...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m.expectServes(t)
	m.readIncarnation(t)
}

// readIncarnation asks the process for its incarnation.
func (m *machine) readIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	conn, err := m.dialPeer()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	result, err := conn.call("peer.exchange", exchange)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var exchanged struct{ Incarnation uint64 }
	g.Expect(json.Unmarshal(result, &exchanged)).To(gomega.Succeed())
	m.incarnation = exchanged.Incarnation
}

// startPlatform starts the store and a registered endpoint, and returns the settings file of a node.
func (m *machine) startPlatform(t *testing.T, dir, large string) (settings string) {
	g := gomega.NewWithT(t)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Publish(3, platformtest.Route{Prefix: "/read/", Kind: "safe", Service: "desk"}, platformtest.Route{Prefix: "/book/", Kind: "unsafe", Service: "desk"})
	id, service := m.endpoint()
	endpoint, err := platformtest.NewEndpoint(store, id, service, "zone-1", m.address(portApp))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(endpoint.Close)
	if m.raw != nil {
		endpoint.Raw, endpoint.Capacity = m.raw, clients
	}
	endpoint.ResponseText = func(r *http.Request) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "/large") {
			return large, false
		}
		return "ok", false
	}
	endpoint.Register()
	settings = filepath.Join(dir, "settings.json")
	g.Expect(platformtest.WriteSettings(settings, platformtest.NodeSettings{
		Name: "n1", IP: m.ip, Zone: "zone-1", Service: service, Callers: m.address(portCallers), Hop: m.address(portHop),
		Admin: m.address(portAdmin), App: m.address(portApp), Store: store.Address(), PeerPort: portPeer,
		MemoryMB: memoryMB, Descriptors: m.descriptors,
	})).To(gomega.Succeed())
	return settings
}

// startBackend starts the backend server of a published node.
func (m *machine) startBackend(t *testing.T, large string) {
	listener, err := net.Listen("tcp", m.address(portApp))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = io.WriteString(w, large)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if m.raw != nil && platformtest.WriteRaw(w, m.raw(r)) {
			return
		}
		_, _ = io.WriteString(w, "ok")
	})}}
	server.Start()
	t.Cleanup(server.Close)
}

// expectServes sends ordinary requests until one is answered.
func (m *machine) expectServes(t *testing.T) {
	t.Helper()
	number := 0
	gomega.NewWithT(t).Eventually(func() (int, error) {
		number++
		header := http.Header{names.RequestID: {fmt.Sprintf("ordinary-%d", number)}, names.DeadlineMS: {"1500"}}
		response, err := m.send(portCallers, header)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, nil
	}, hangTimeout, "100ms").Should(gomega.Equal(http.StatusOK))
}

// send sends a request of an ordinary client to a port and reads the response.
func (m *machine) send(port int, header http.Header) (*http.Response, error) {
	return m.get(port, "/read/x", header)
}

func (m *machine) get(port int, path string, header http.Header) (*http.Response, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+m.address(port)+path, nil)
	if err != nil {
		return nil, err
	}
	request.Host, request.Header = platformtest.RouteHost, header
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// hopHeader returns the header of an attempt of another node.
func (m *machine) hopHeader(attempt string) http.Header {
	endpoint, service := m.endpoint()
	header := make(http.Header)
	for name, value := range map[string]string{
		outcome.HeaderRequestID: "hop-" + attempt, outcome.HeaderDeadline: "1500", outcome.HeaderHopAttempt: attempt,
		outcome.HeaderHopEndpoint: endpoint, outcome.HeaderHopService: service, outcome.HeaderHopRoute: "read",
		outcome.HeaderHopClass: "short,repeatable",
	} {
		header.Set(name, value)
	}
	return header
}

// hop sends an attempt of another node and returns the outcome.
func (m *machine) hop(attempt string) (outcome.Outcome, error) {
	response, err := m.send(portHop, m.hopHeader(attempt))
	if err != nil {
		return "", err
	}
	return outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)), nil
}

// expectUnharmed checks that the process has stayed within its limits and still serves callers and nodes.
func (m *machine) expectUnharmed(t *testing.T, mostOpen int) {
	t.Helper()
	m.check(t, mostOpen)
	m.expectServes(t)
	m.expectServesNodes(t)
}

// expectServesNodes sends an attempt and a call of another node until they are answered.
func (m *machine) expectServesNodes(t *testing.T) {
	t.Helper()
	g, number := gomega.NewWithT(t), 0
	g.Eventually(func() (outcome.Outcome, error) {
		number++
		return m.hop(fmt.Sprintf("ordinary-%d", number))
	}, hangTimeout, "100ms").Should(gomega.Equal(outcome.Answered))
	g.Eventually(func() error {
		conn, err := m.dialPeer()
		if err != nil {
			return err
		}
		defer conn.Close()
		_, err = conn.call("peer.exchange", exchange)
		return err
	}, hangTimeout, "100ms").Should(gomega.Succeed())
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
	g.Expect(mostOpen).To(gomega.BeNumerically("<=", m.descriptors*openDescriptors/descriptors), "peak of open descriptors")
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
