package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/platform/platformtest"
	"agatepulley.example/agatepulley/standin/link"
)

// Ports of a host, as offsets from the fleet's first port.
const (
	portCallers = iota
	portHop
	portAdmin
	portPeer
	portApp
	portStore
	portsPerFleet
)

const (
	firstPort = 12000
	lastPort  = 19000
	// The real listeners behind links have the address of their host with this added to its number.
	behindLink = 100
	zones      = 3
	readyPoll  = 50 * time.Millisecond
	// startTimeout ends runs that hang.
	startTimeout = 30 * time.Second
	workTime     = 15 * time.Millisecond
)

// Services of the fleet. Most endpoints belong to the first.
const (
	serviceDesk = "desk"
	serviceScan = "scan"
)

var lastFleet atomic.Int32

// host is a node process with its endpoint and the links before them.
type host struct {
	number   int
	settings string
	process  *processes.Process
	endpoint *platformtest.Endpoint
	// hop leads to the node's listener for other nodes, app to its endpoint and store from it to the store.
	hop, app, store *link.Link
	// restarts counts the incarnations of the node.
	restarts atomic.Int32
	// services are those that the settings have named, guarded by the fleet's lock.
	services []serviceSince
}

// serviceSince is a service of a host's endpoint from a time on.
type serviceSince struct {
	name string
	at   time.Time
}

// fleet is all hosts and the store.
type fleet struct {
	group    *processes.Group
	binaries *processes.Binaries
	store    *platformtest.Store
	basePort int
	network  int
	hosts    []*host
	// workspaces is set if requests carry keys.
	workspaces bool
	// endpointCrashed is called when a request has crashed an endpoint.
	endpointCrashed func(h *host, crashed *platformtest.Endpoint)

	mu        sync.Mutex
	retired   []*platformtest.Endpoint
	endpoints int
	stopBeats context.CancelFunc
}

func newFleet(binaries *processes.Binaries, dir string, size int) (*fleet, error) {
	number := int(lastFleet.Add(1))
	f := &fleet{
		group: processes.NewGroup(dir), binaries: binaries, store: platformtest.NewStore(),
		basePort: firstPort + portsPerFleet*number%(lastPort-firstPort), network: os.Getpid(),
	}
	for n := range size {
		h := &host{number: n + 1, settings: filepath.Join(dir, fmt.Sprintf("settings-%d.json", n+1))}
		service := serviceDesk
		if n%zones == zones-1 {
			service = serviceScan
		}
		h.services = []serviceSince{{name: service}}
		f.hosts = append(f.hosts, h)
		if err := f.prepare(h); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopBeats = cancel
	go f.beat(ctx)
	return f, nil
}

// ip belongs to this process alone, so that fleets do not meet.
func (f *fleet) ip(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+f.network>>8&0x7f, f.network&0xff, number)
}

func (f *fleet) address(number, port int) string {
	return net.JoinHostPort(f.ip(number), strconv.Itoa(f.basePort+port))
}

func zone(number int) string {
	return fmt.Sprintf("zone-%d", number%zones)
}

// prepare starts the links and the endpoint of a host and writes the node's settings.
func (f *fleet) prepare(h *host) error {
	links := []struct {
		link **link.Link
		port int
		to   string
	}{
		{&h.hop, portHop, f.address(h.number+behindLink, portHop)},
		{&h.app, portApp, f.address(h.number+behindLink, portApp)},
		{&h.store, portStore, f.store.Address()},
	}
	for _, l := range links {
		made, err := link.New(link.Settings{Listen: f.address(h.number, l.port), To: l.to})
		if err != nil {
			return err
		}
		if err := made.Start(); err != nil {
			return err
		}
		*l.link = made
	}
	if err := f.startEndpoint(h); err != nil {
		return err
	}
	return f.writeSettings(h)
}

func (f *fleet) writeSettings(h *host) error {
	f.mu.Lock()
	service := h.service()
	f.mu.Unlock()
	return platformtest.WriteSettings(h.settings, platformtest.NodeSettings{
		Name: fmt.Sprintf("node-%d", h.number), IP: f.ip(h.number), Zone: zone(h.number), Service: service,
		Callers: f.address(h.number, portCallers), Hop: f.address(h.number+behindLink, portHop),
		Admin: f.address(h.number, portAdmin), App: f.address(h.number, portApp),
		Store: f.address(h.number, portStore), PeerPort: f.basePort + portPeer,
	})
}

// service returns the service of the host's endpoint. The caller holds the fleet's lock.
func (h *host) service() string {
	return h.services[len(h.services)-1].name
}

// setService lets the next endpoint of a host belong to another service.
func (f *fleet) setService(h *host, name string) error {
	f.mu.Lock()
	h.services = append(h.services, serviceSince{name: name, at: time.Now()})
	f.mu.Unlock()
	return f.writeSettings(h)
}

// hostsOf returns the hosts whose endpoints belong to a service.
func (f *fleet) hostsOf(service string) []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []*host
	for _, h := range f.hosts {
		if h.service() == service {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// settingsLag is how long a node may use the settings of before.
const settingsLag = 2 * time.Second

// servicesAt returns the services that requests from a host may name at a time.
func (f *fleet) servicesAt(number int, at time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.hosts[number-1].services
	var names []string
	for n, entry := range list {
		ended := n+1 < len(list) && list[n+1].at.Add(settingsLag).Before(at)
		if !ended && entry.at.Before(at.Add(settingsLag)) {
			names = append(names, entry.name)
		}
	}
	return names
}

// startEndpoint starts a new incarnation of a host's endpoint and registers it.
func (f *fleet) startEndpoint(h *host) error {
	f.mu.Lock()
	f.endpoints++
	id, service := fmt.Sprintf("e%d-%d", h.number, f.endpoints), h.service()
	f.mu.Unlock()
	e, err := platformtest.NewEndpoint(f.store, id, service, zone(h.number), f.address(h.number+behindLink, portApp))
	if err != nil {
		return err
	}
	e.Address, e.ProcessingTime = f.address(h.number, portApp), workTime
	e.CrashOn(func(r *http.Request) bool { return strings.Contains(r.URL.Path, crashingMark) }, func() { f.endpointCrashed(h, e) })
	e.Register()
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.endpoint != nil {
		f.retired = append(f.retired, h.endpoint)
	}
	h.endpoint = e
	return nil
}

// heartbeat is how often endpoints renew their entries.
const heartbeat = time.Second

func (f *fleet) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for _, h := range f.hosts {
			h.endpoint.Renew()
		}
		f.mu.Unlock()
	}
}

// allEndpoints returns all incarnations that ever ran.
func (f *fleet) allEndpoints() []*platformtest.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append([]*platformtest.Endpoint(nil), f.retired...)
	for _, h := range f.hosts {
		all = append(all, h.endpoint)
	}
	return all
}

func (f *fleet) startNode(h *host) error {
	h.restarts.Add(1)
	process, err := f.group.Start(fmt.Sprintf("node-%d", h.number), f.binaries.Path(processes.Node), "--site-settings", h.settings)
	if err != nil {
		return err
	}
	h.process = process
	return nil
}

func (f *fleet) start(ctx context.Context) error {
	for _, h := range f.hosts {
		if err := f.startNode(h); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range f.hosts {
		for !f.ready(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node %d is not ready: %w", h.number, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) ready(h *host) bool {
	response, err := readyClient.Get("http://" + f.address(h.number, portAdmin) + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) close() error {
	if f.stopBeats != nil {
		f.stopBeats()
	}
	err := f.group.Close()
	for _, h := range f.hosts {
		for _, l := range []*link.Link{h.hop, h.app, h.store} {
			if l != nil {
				err = errors.Join(err, l.Stop())
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.endpoint != nil {
			h.endpoint.Close()
		}
	}
	f.store.Close()
	return err
}
