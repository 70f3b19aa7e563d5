package configstore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/platform"
)

// linkDelay is the one-way latency of the fake network.
const linkDelay = 5 * time.Millisecond

var errDown = errors.New("down")

type handler = func(ctx context.Context, from string, params json.RawMessage) (any, error)

// network connects the nodes of a test. Calls to a node that is cut off hang until their context ends.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]handler
	cutOff   map[string]bool
	// noService lists the nodes that do not reach the configuration service.
	noService map[string]bool
	// lost lists the methods of which all calls are lost.
	lost  map[string]bool
	calls map[string]int
}

func newNetwork() *network {
	return &network{
		handlers:  make(map[string]map[string]handler),
		cutOff:    make(map[string]bool),
		noService: make(map[string]bool),
		lost:      make(map[string]bool),
		calls:     make(map[string]int),
	}
}

func (n *network) cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[address] = cut
}

// isolate cuts a node off from its peers and from the service.
func (n *network) isolate(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[address] = cut
	n.noService[address] = cut
}

func (n *network) lose(method string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[method] = true
}

func (n *network) count(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// port is the network as one node sees it.
type port struct {
	net     *network
	address string
}

func (p *port) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(linkDelay)
	p.net.mu.Lock()
	p.net.calls[method]++
	h := p.net.handlers[address][method]
	cut := h == nil || p.net.cutOff[address] || p.net.cutOff[p.address] || p.net.lost[method]
	p.net.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, p.address, raw)
	if err != nil {
		return err
	}
	time.Sleep(linkDelay)
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

func (p *port) Handle(method string, h func(context.Context, string, json.RawMessage) (any, error)) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.handlers[p.address] == nil {
		p.net.handlers[p.address] = make(map[string]handler)
	}
	p.net.handlers[p.address][method] = h
}

func (p *port) Peers() []string {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var others []string
	for address := range p.net.handlers {
		if address != p.address {
			others = append(others, address)
		}
	}
	return others
}

// service is a fake configuration service.
type service struct {
	mu       sync.Mutex
	values   map[string]platform.Value
	stale    *platform.Value
	down     bool
	reads    int
	revision uint64
	changed  chan struct{}
}

func newService() *service {
	return &service{values: make(map[string]platform.Value), changed: make(chan struct{})}
}

func (s *service) publish(values ...config.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range values {
		s.revision++
		s.values[value.Key] = platform.Value{Data: value.Data, Revision: s.revision}
	}
	s.wake()
}

func (s *service) set(change func(*service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.wake()
}

func (s *service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) resetReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := s.reads
	s.reads = 0
	return reads
}

func (s *service) Value(_ context.Context, key string) (platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.get(key)
}

func (s *service) get(key string) (platform.Value, error) {
	if s.down {
		return platform.Value{}, errDown
	}
	value, ok := s.values[key]
	if s.stale != nil && key == config.DocumentKey {
		return *s.stale, nil
	}
	if !ok {
		return platform.Value{}, platform.ErrNotFound
	}
	return value, nil
}

func (s *service) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		value, err := s.get(key)
		changed := s.changed
		s.mu.Unlock()
		if errors.Is(err, errDown) || err == nil && value.Revision != after {
			return value, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Value{}, ctx.Err()
		case <-timer.C:
			return platform.Value{}, platform.ErrUnchanged
		}
	}
}

// view is the service as one node sees it. Calls of a node that is cut off from it hang until their context ends.
type view struct {
	*service
	net     *network
	address string
}

func (v *view) isCut() bool {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	return v.net.noService[v.address]
}

func (v *view) Value(ctx context.Context, key string) (platform.Value, error) {
	if v.isCut() {
		<-ctx.Done()
		return platform.Value{}, ctx.Err()
	}
	return v.service.Value(ctx, key)
}

func (v *view) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error) {
	value, err := v.service.Watch(ctx, key, after, wait)
	if v.isCut() {
		<-ctx.Done()
		return platform.Value{}, ctx.Err()
	}
	return value, err
}

// node is one node of a test with the exchange that the peer task performs.
type node struct {
	store  *configstore.Store
	syncer *configstore.Syncer
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

type fleet struct {
	net     *network
	service *service
	nodes   map[string]*node
	// quiet turns off the exchanges of nodes that are started later.
	quiet bool
}

func newFleet() *fleet {
	return &fleet{net: newNetwork(), service: newService(), nodes: make(map[string]*node)}
}

// start starts a node. Its id is also its address.
func (f *fleet) start(id, zone string, seeds ...string) *node {
	n := &node{store: configstore.New(quiet())}
	p := &port{net: f.net, address: id}
	n.syncer = configstore.NewSyncer(configstore.Options{
		Store: n.store, Network: p, Service: &view{f.service, f.net, id}, Clock: clock.NewMonotonic(), Logger: quiet(),
		HostID: id, Zone: zone, Address: func() string { return id }, Seeds: seeds,
	})
	p.Handle("exchange", func(_ context.Context, from string, raw json.RawMessage) (any, error) {
		n.syncer.ObserveRaw(from, raw)
		return n.syncer.Summary(), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.syncer.Start(ctx); err != nil {
		panic(err)
	}
	if !f.quiet {
		n.tasks.Go(func() { exchange(ctx, p, n.syncer) })
	}
	f.nodes[id] = n
	return n
}

// exchange exchanges summaries with one random peer a second.
func exchange(ctx context.Context, p *port, syncer *configstore.Syncer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second + rand.N(100*time.Millisecond)):
		}
		peers := p.Peers()
		if len(peers) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		address := peers[rand.IntN(len(peers))]
		var summary json.RawMessage
		if err := p.Call(callCtx, address, "exchange", syncer.Summary(), &summary); err == nil {
			syncer.ObserveRaw(address, summary)
		}
		cancel()
	}
}

// kill removes a node from the network.
func (f *fleet) kill(id string) {
	n := f.nodes[id]
	delete(f.nodes, id)
	f.net.mu.Lock()
	delete(f.net.handlers, id)
	f.net.mu.Unlock()
	n.cancel()
	_ = n.syncer.Stop(context.Background())
	n.tasks.Wait()
}

func (f *fleet) stopAll() {
	for id := range f.nodes {
		f.kill(id)
	}
}

// lagging returns the nodes that do not have the given version in force.
func (f *fleet) lagging(sequence uint64) []string {
	var ids []string
	for id, n := range f.nodes {
		if current := n.store.Current(); current == nil || current.Version().Sequence != sequence {
			ids = append(ids, id)
		}
	}
	return ids
}

// simulate runs a test with fake time.
func simulate(t *testing.T, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		run(t, f)
	})
}

// fleetDocument returns a document with the given hosts in three zones and some workspaces.
func fleetDocument(sequence uint64, hosts, workspaces int) *config.Document {
	document := &config.Document{Format: config.Format, Version: config.Version{Epoch: 1, Sequence: sequence}}
	for i := range hosts {
		document.Hosts = append(document.Hosts, config.Host{
			ID: nodeID(i), Address: fmt.Sprintf("10.0.0.%d", i+1), Zone: nodeZone(i),
			IngressPort: 7000, HopPort: 7001, PeerPort: 7002,
		})
	}
	for i := range workspaces {
		document.Workspaces = append(document.Workspaces, config.Workspace{ID: fmt.Sprintf("workspace-%06d", i)})
	}
	return document
}

func nodeID(i int) string   { return fmt.Sprintf("n%02d", i) }
func nodeZone(i int) string { return fmt.Sprintf("z%d", i%3) }

func values(document *config.Document) []config.Value {
	all, err := config.Values(document)
	if err != nil {
		panic(err)
	}
	return all
}
