package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/standin/backend"
	"agatepulley.example/agatepulley/standin/hostlist"
)

const (
	documentKey = "agatepulley/config"
	pollPeriod  = 20 * time.Millisecond
	callTimeout = 5 * time.Second
)

// Fleet is a set of nodes with their backend servers, the configuration service and the host list.
type Fleet struct {
	group    *Group
	binaries *Binaries
	dir      string
	document *config.Document
	client   *http.Client

	ConfigService *PlatformProcess
	HostList      *PlatformProcess
	Nodes         map[string]*NodeProcess
	Backends      map[string]*BackendProcess
	Links         map[string]*LinkProcess
}

// PlatformProcess is the configuration service or the host list.
type PlatformProcess struct {
	*Process
	Address string
}

// NodeProcess is the node of a host.
type NodeProcess struct {
	*Process
	Host    string
	Callers string
	Hops    string
	Peers   string
	Admin   string
}

// LinkProcess is a faulty link before the inner-hop listener of a node.
type LinkProcess struct {
	*Process
	Admin string
}

// BackendProcess is the backend server of an endpoint.
type BackendProcess struct {
	*Process
	Endpoint string
	Address  string
	Admin    string
	RunLog   string
}

// NewFleet prepares a fleet for a document. The hosts get loopback addresses; the document is changed accordingly.
// Nothing is started yet.
func NewFleet(binaries *Binaries, dir string, document *config.Document) (*Fleet, error) {
	f := &Fleet{
		group:    NewGroup(dir),
		binaries: binaries,
		dir:      dir,
		document: document,
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
		Nodes:    make(map[string]*NodeProcess),
		Backends: make(map[string]*BackendProcess),
		Links:    make(map[string]*LinkProcess),
	}
	for i := range document.Hosts {
		if err := f.place(&document.Hosts[i]); err != nil {
			return nil, err
		}
	}
	for i := range document.Services {
		for _, endpoint := range document.Services[i].Endpoints {
			if err := f.placeBackend(endpoint.ID); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) place(host *config.Host) error {
	ports, err := FreePorts(4)
	if err != nil {
		return err
	}
	host.Address = Loopback
	host.IngressPort, host.HopPort, host.PeerPort = ports[0], ports[1], ports[2]
	f.Nodes[host.ID] = &NodeProcess{
		Host: host.ID, Callers: Address(ports[0]), Hops: Address(ports[1]), Peers: Address(ports[2]), Admin: Address(ports[3]),
	}
	return nil
}

// StartLink puts a faulty link before the inner-hop listener of a host. It must be called before the document is
// published, because the document then names the link's port.
func (f *Fleet) StartLink(host string) error {
	ports, err := FreePorts(2)
	if err != nil {
		return err
	}
	args := []string{"--listen", Address(ports[0]), "--to", f.Nodes[host].Hops, "--admin", Address(ports[1])}
	process, err := f.group.Start("link-"+host, f.binaries.Path(Link), args...)
	if err != nil {
		return err
	}
	f.host(host).HopPort = ports[0]
	f.Links[host] = &LinkProcess{Process: process, Admin: Address(ports[1])}
	return nil
}

// SetConditions changes conditions of the link before a host. Those that the JSON object does not name keep their
// values.
func (f *Fleet) SetConditions(ctx context.Context, host, conditions string) error {
	return f.call(ctx, http.MethodPost, f.Links[host].Admin, "/conditions", []byte(conditions), nil)
}

// Silence makes the connections through the link before a host silent for good.
func (f *Fleet) Silence(ctx context.Context, host string) error {
	return f.call(ctx, http.MethodPost, f.Links[host].Admin, "/silence", nil, nil)
}

func (f *Fleet) placeBackend(endpoint string) error {
	ports, err := FreePorts(2)
	if err != nil {
		return err
	}
	f.Backends[endpoint] = &BackendProcess{
		Endpoint: endpoint, Address: Address(ports[0]), Admin: Address(ports[1]),
		RunLog: filepath.Join(f.dir, endpoint+".runs"),
	}
	return nil
}

// Close ends all processes.
func (f *Fleet) Close() error {
	f.client.CloseIdleConnections()
	return f.group.Close()
}

// Document returns the document of the fleet.
func (f *Fleet) Document() *config.Document { return f.document }

// Start starts the platform, publishes the document, and starts all backend servers and the nodes of the given hosts,
// or of all hosts if none is given.
func (f *Fleet) Start(ctx context.Context, hosts ...string) error {
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	if err := f.Publish(ctx); err != nil {
		return err
	}
	for _, endpoint := range f.Endpoints() {
		if err := f.StartBackend(endpoint); err != nil {
			return err
		}
	}
	if len(hosts) == 0 {
		hosts = f.Hosts()
	}
	for _, host := range hosts {
		if err := f.StartNode(host); err != nil {
			return err
		}
	}
	return f.AwaitReady(ctx, hosts...)
}

// StartPlatform starts the configuration service and the host list and enters the hosts.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	ports, err := FreePorts(2)
	if err != nil {
		return err
	}
	if f.ConfigService, err = f.startPlatform(ConfigService, ports[0]); err != nil {
		return err
	}
	if f.HostList, err = f.startPlatform(HostList, ports[1]); err != nil {
		return err
	}
	for _, host := range f.document.Hosts {
		entry := hostlist.Host{ID: host.ID, Address: host.Address, Zone: host.Zone, State: hostlist.Live}
		if err := f.putUntilAccepted(ctx, f.HostList.Address, "/admin/hosts/"+host.ID, entry); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(program string, port int) (*PlatformProcess, error) {
	process, err := f.group.Start(program, f.binaries.Path(program), "--listen", Address(port))
	if err != nil {
		return nil, err
	}
	return &PlatformProcess{Process: process, Address: Address(port)}, nil
}

// Publish gives the document to the configuration service.
func (f *Fleet) Publish(ctx context.Context) error {
	return f.putUntilAccepted(ctx, f.ConfigService.Address, "/admin/values/"+documentKey, f.document)
}

// StartBackend starts the backend server of an endpoint.
func (f *Fleet) StartBackend(endpoint string, args ...string) error {
	b := f.Backends[endpoint]
	all := append([]string{
		"--listen", b.Address, "--admin", b.Admin, "--id", endpoint, "--run-log", b.RunLog,
		"--slots", strconv.Itoa(f.slots(endpoint)),
	}, args...)
	process, err := f.group.Start("backend-"+endpoint, f.binaries.Path(Backend), all...)
	if err != nil {
		return err
	}
	b.Process = process
	return nil
}

// StartNode starts the node of a host with the platform and all other hosts as seed peers. Further arguments override
// these settings.
func (f *Fleet) StartNode(host string, args ...string) error {
	n := f.Nodes[host]
	h := f.host(host)
	all := []string{
		"--host-id", host, "--zone", h.Zone,
		"--listen", n.Callers, "--hop-listen", n.Hops, "--peer-listen", n.Peers, "--admin-listen", n.Admin,
		"--config-service", f.ConfigService.Address, "--host-list", f.HostList.Address,
	}
	for _, other := range f.Hosts() {
		if other != host {
			all = append(all, "--seed-peer", f.Nodes[other].Peers)
		}
	}
	for _, endpoint := range f.endpointsOn(host) {
		all = append(all, "--backend", endpoint+"="+f.Backends[endpoint].Address)
	}
	process, err := f.group.Start("node-"+host, f.binaries.Path(Node), append(all, args...)...)
	if err != nil {
		return err
	}
	n.Process = process
	return nil
}

// AwaitReady waits until the nodes of the given hosts are ready.
func (f *Fleet) AwaitReady(ctx context.Context, hosts ...string) error {
	for _, host := range hosts {
		if err := f.awaitNode(ctx, f.Nodes[host]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitNode(ctx context.Context, n *NodeProcess) error {
	for {
		err := f.get(ctx, n.Admin, "/ready", nil)
		if err == nil {
			return nil
		}
		select {
		case <-n.Ended():
			return fmt.Errorf("node %s ended:\n%s", n.Host, n.Log())
		case <-ctx.Done():
			return fmt.Errorf("node %s is not ready: %w:\n%s", n.Host, err, n.Log())
		case <-time.After(pollPeriod):
		}
	}
}

// Status returns the status of a node.
func (f *Fleet) Status(ctx context.Context, host string) (*admin.Status, error) {
	var status admin.Status
	return &status, f.get(ctx, f.Nodes[host].Admin, "/status", &status)
}

// SetFaults changes faults of a backend server. The faults that the JSON object does not name keep their values.
func (f *Fleet) SetFaults(ctx context.Context, endpoint, faults string) error {
	return f.call(ctx, http.MethodPost, f.Backends[endpoint].Admin, "/faults", []byte(faults), nil)
}

// BackendStats returns the counts of a backend server.
func (f *Fleet) BackendStats(ctx context.Context, endpoint string) (backend.Stats, error) {
	var stats backend.Stats
	return stats, f.get(ctx, f.Backends[endpoint].Admin, "/stats", &stats)
}

// Runs returns the counts of runs over all backend servers, including those of killed ones.
func (f *Fleet) Runs() (backend.Runs, error) {
	all := backend.NewRuns()
	for _, endpoint := range f.Endpoints() {
		runs, err := backend.ReadRunLog(f.Backends[endpoint].RunLog)
		if err != nil {
			return all, err
		}
		all.Add(runs)
	}
	return all, nil
}

// Hosts returns the ids of all hosts of the document.
func (f *Fleet) Hosts() []string {
	var ids []string
	for i := range f.document.Hosts {
		ids = append(ids, f.document.Hosts[i].ID)
	}
	return ids
}

// Endpoints returns the ids of all endpoints of the document.
func (f *Fleet) Endpoints() []string {
	var ids []string
	for i := range f.document.Services {
		for _, endpoint := range f.document.Services[i].Endpoints {
			ids = append(ids, endpoint.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Targets returns the addresses for callers of the given hosts.
func (f *Fleet) Targets(hosts ...string) []string {
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, f.Nodes[host].Callers)
	}
	return addresses
}

func (f *Fleet) host(id string) *config.Host {
	for i := range f.document.Hosts {
		if f.document.Hosts[i].ID == id {
			return &f.document.Hosts[i]
		}
	}
	return &config.Host{}
}

func (f *Fleet) endpointsOn(host string) []string {
	var ids []string
	for i := range f.document.Services {
		for _, endpoint := range f.document.Services[i].Endpoints {
			if endpoint.Host == host {
				ids = append(ids, endpoint.ID)
			}
		}
	}
	return ids
}

func (f *Fleet) slots(endpoint string) int {
	for i := range f.document.Services {
		for _, e := range f.document.Services[i].Endpoints {
			if e.ID == endpoint {
				return e.Slots
			}
		}
	}
	return 0
}

// putUntilAccepted repeats a call until the process, which may have just been started, accepts it.
func (f *Fleet) putUntilAccepted(ctx context.Context, address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode value for %s: %w", path, err)
	}
	for {
		err := f.call(ctx, http.MethodPut, address, path, body, nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPeriod):
		}
	}
}

func (f *Fleet) get(ctx context.Context, address, path string, value any) error {
	return f.call(ctx, http.MethodGet, address, path, nil, value)
}

func (f *Fleet) call(ctx context.Context, method, address, path string, body []byte, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s at %s: status %d: %s", method, path, address, response.StatusCode, text)
	}
	if value == nil {
		return nil
	}
	return errors.Join(json.Unmarshal(text, value))
}
