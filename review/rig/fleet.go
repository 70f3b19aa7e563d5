//go:build review

package main

import (
	"bufio"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of a small deployment, as in the example of DEPLOY.md.
const (
	heartbeat    = 1500 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
	stableWindow = 3000 * time.Millisecond
	routeHost    = "ficu95.example"
)

// Ports of a host, as offsets from the base port of the fleet.
const (
	portOutbound = iota
	portInbound
	portReady
	portPeer
	portApp
	portStore
	portLink
	portCount
)

// fleet is a set of node processes, endpoints and a store on loopback addresses.
type fleet struct {
	program string
	folder  string
	record  *os.File
	start   time.Time
	base    int
	ids     atomic.Int64

	store     *store
	nodes     []*node
	endpoints []*endpoint

	noteMu sync.Mutex
}

type node struct {
	ip, zone, service string
	// store is the link of the node to the store.
	store   *link
	command *exec.Cmd
	done    chan error
}

func newFleet(program, recordPath string) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "agatepulley-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, record: record, start: time.Now()}
	for f.base = 21000 + os.Getpid()%400*20; ; f.base += portCount {
		if f.base > 60000 {
			return nil, fmt.Errorf("no free ports")
		}
		if f.store, err = newStore(net.JoinHostPort(f.ip(0), strconv.Itoa(f.base+portStore))); err == nil {
			return f, nil
		}
	}
}

// ip returns the loopback address of a host.
func (f *fleet) ip(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&0x3f, pid&0xff, 10+host)
}

func (f *fleet) address(host, port int) string {
	return net.JoinHostPort(f.ip(host), strconv.Itoa(f.base+port))
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.noteMu.Lock()
	defer f.noteMu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// addHost starts an endpoint on a new host and writes the settings of its node, which startNodes starts.
func (f *fleet) addHost(service, zone string) (*endpoint, error) {
	host := len(f.nodes) + 1
	e, err := f.newEndpoint(fmt.Sprintf("i-%s-%d", service, host), service, zone, f.address(host, portApp))
	if err != nil {
		return nil, err
	}
	f.endpoints = append(f.endpoints, e)
	store, err := newLink(f.address(host, portLink), f.store.address)
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, &node{ip: f.ip(host), zone: zone, service: service, store: store})
	return e, nil
}

// startNode starts the process of a host with the command of the deploy file.
func (f *fleet) startNode(host int) error {
	n := f.nodes[host-1]
	settings := filepath.Join(f.folder, fmt.Sprintf("settings-%d.json", host))
	text, err := json.Marshal(map[string]any{
		"node-name": fmt.Sprintf("sidecar-%s-%d", n.zone, host), "role": "node", "machine-class": "sidecar", "serves": []string{"sidecar"},
		"ip": n.ip, "zone": n.zone, "region": "r", "listen": map[string]string{
			"inbound": f.address(host, portInbound), "outbound": f.address(host, portOutbound), "ready-address": f.address(host, portReady),
		},
		"port-range": []int{f.base + portPeer, f.base + portPeer}, "seeds": []string{}, "bootstrap": true, "heartbeat": "1500ms",
		"limits": map[string]any{"cpu-share": 0.32, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"bounds": map[string]any{
			"reuse-after": "2s", "stable-window": "3000ms", "drain": "2000ms", "grace": "6s", "loss-slack": "200ms", "config-apply": "2000ms",
			"retry-budget-ratio": 0.2, "budget-window": "10s", "budget-slack": 56,
		},
		"app-address": f.address(host, portApp), "service": n.service,
		"platform": map[string]any{"address": n.store.address, "form": "read", "reads-per-s": 2000, "history": "20s", "value-bytes": 1 << 20},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("node-%d.log", host)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command(f.program)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "AGATEPULLEY_SETTINGS=" + settings}
	n.command.Stdout, n.command.Stderr = log, log
	// Nodes end with this process, whatever ends it. main holds its thread, which must not end before.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait() }(n.command, n.done)
	return nil
}

// startNodes starts all nodes and waits until they are ready.
func (f *fleet) startNodes() error {
	for host := range f.nodes {
		if err := f.startNode(host + 1); err != nil {
			return err
		}
	}
	for host := range f.nodes {
		if err := f.awaitReady(host+1, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitReady(host int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.address(host, portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %d is not ready after %v", host, limit)
}

// close ends all processes and closes the record.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
			<-n.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
	_ = f.record.Close()
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	// timeout is 1500ms if it is empty.
	timeout string
}

// publish writes a configuration to the store.
func (f *fleet) publish(version int, routes ...route) time.Time {
	var resources []map[string]any
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"entry-type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	services := map[string]bool{}
	for n, r := range routes {
		services[r.service] = true
		add("routes", fmt.Sprintf("r-%d", n), map[string]any{
			"host": routeHost, "prefix": r.prefix, "kind": r.kind, "timeout": cmp.Or(r.timeout, "1500ms"), "target-latency": "800ms", "priority": 1,
			"service": r.service, "attempts": 2,
		})
	}
	for name := range services {
		add("services", name, map[string]any{"health-check-path": "/healthz", "max-connections": 330, "protocol": "h1", "tls": false})
	}
	add("limits", "", map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"})
	return f.store.put("op/config", map[string]any{"version": version, "base-version": 1, "resources": resources})
}

// nextID returns a new request id.
func (f *fleet) nextID() string {
	return fmt.Sprintf("%08x%08x", os.Getpid(), f.ids.Add(1))
}

// answer is what a client received.
type answer struct {
	ID, Signature string
	Status        int
	Body          []byte
	// Err is set if the answer did not arrive completely.
	Err error
	// close is set if the node closes the connection after the answer.
	close bool
}

// send sends a request over a new connection from the client on a host, and reads the answer. Lines are further header lines.
func (f *fleet) send(host int, method, path, lines string, body []byte) answer {
	a := answer{ID: f.nextID()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n%s", method, path, routeHost, a.ID, lines)
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	f.note("sent     %s from host %d: %s %s", a.ID, host, method, path)
	conn, err := net.DialTimeout("tcp", f.address(host, portOutbound), time.Second)
	if err != nil {
		a.Err = err
		f.note("answered %s: %v", a.ID, err)
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		a.Err = err
		f.note("answered %s: %v", a.ID, err)
		return a
	}
	a.read(bufio.NewReader(conn), method)
	f.note("answered %s: status %d, %d bytes, signature %q, error %v", a.ID, a.Status, len(a.Body), a.Signature, a.Err)
	return a
}

// read reads a response.
func (a *answer) read(reader *bufio.Reader, method string) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	defer response.Body.Close()
	a.Status, a.Signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	a.close = response.Close
	a.Body, a.Err = io.ReadAll(response.Body)
}

// signature is that of a response body.
func signature(body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%d.%s", len(body), hex.EncodeToString(sum[:8]))
}

// whole reports whether the body is the one that was signed.
func (a *answer) whole() bool {
	return a.Err == nil && a.Signature == signature(a.Body)
}
