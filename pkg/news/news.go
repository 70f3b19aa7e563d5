package news

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/peer"
)

const (
	methodNews = "peer.news"

	// DefaultCapacity is the number of items held, about 300 bytes each.
	DefaultCapacity = 8192
	// DefaultLifetime is the age at which items are dropped; twice the default quarantine period.
	DefaultLifetime = 20 * time.Minute
	// urgentAge is the age up to which an item is pushed. Older ones that reach a node by exchange, for instance after a
	// partition, are left to the exchange.
	urgentAge = 30 * time.Second
	// fanout is the number of peers to which each node pushes an item that was new to it.
	fanout = 4
	// pushBatch is the number of items in a push; coalesceTime is how long items are collected for it.
	pushBatch    = 64
	coalesceTime = 10 * time.Millisecond
	// SpreadTime is the time in which an item reaches a fleet: six rounds of pushes reach fanout^6 = 4,096 nodes.
	SpreadTime = 6 * coalesceTime
	// pendingCapacity bounds the items waiting to be pushed. The exchange carries those that find no room.
	pendingCapacity = 1024
	pushTimeout     = time.Second
	// pushConcurrency bounds the pushes in progress. A peer that does not respond occupies one for pushTimeout.
	pushConcurrency = 32
	expireInterval  = 10 * time.Second
)

// Options configure a Service. Zero values of Capacity and Lifetime mean the defaults.
type Options struct {
	HostID      string
	Incarnation uint64
	Network     peer.Network
	Clock       clock.Clock
	Logger      *slog.Logger
	Capacity    int
	Lifetime    time.Duration
	// Tables is the memory for the items. Without it, only their number is bounded.
	Tables *memory.Budget
}

// Service publishes and receives news. It is safe for concurrent use.
type Service struct {
	options  Options
	counters counters

	mu          sync.Mutex
	store       *store
	incarnation uint64
	sequence    uint64
	subscribers map[Kind][]func(Item)
	// pending are the items to push, by key: of several items with one key only the newest is pushed.
	pending map[key]struct{}
	wake    chan struct{}
	slots   chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

type counters struct {
	published  atomic.Uint64
	received   atomic.Uint64
	fresh      atomic.Uint64
	pushes     atomic.Uint64
	pushFailed atomic.Uint64
	dropped    atomic.Uint64
}

// Stats is a copy of the counters of a Service.
type Stats struct {
	Published uint64 `json:"published"`
	// Received are items from peers; New are those that were not known.
	Received uint64 `json:"received"`
	New      uint64 `json:"new"`
	// Pushes are messages to single peers.
	Pushes       uint64 `json:"pushes"`
	PushesFailed uint64 `json:"pushes_failed"`
	// Dropped are items that were not pushed for lack of room; Evicted are those forgotten for it.
	Dropped uint64 `json:"dropped"`
	Evicted uint64 `json:"evicted"`
	Items   int    `json:"items"`
}

var _ peer.NewsHook = (*Service)(nil)

// New returns a service and registers its method with the network, if there is one.
func New(options Options) *Service {
	options.Capacity = cmp.Or(options.Capacity, DefaultCapacity)
	options.Lifetime = cmp.Or(options.Lifetime, DefaultLifetime)
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options:     options,
		store:       newStore(options.Capacity, options.Lifetime, options.Tables),
		incarnation: options.Incarnation,
		subscribers: make(map[Kind][]func(Item)),
		pending:     make(map[key]struct{}),
		wake:        make(chan struct{}, 1),
		slots:       make(chan struct{}, pushConcurrency),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if options.Network != nil {
		s.SetNetwork(options.Network)
	}
	return s
}

// SetNetwork sets the network before Start and registers the method. It exists because the peer service needs the news
// for its exchange while the news need the network.
func (s *Service) SetNetwork(network peer.Network) {
	s.options.Network = network
	network.Handle(methodNews, s.handle)
}

// SetIncarnation replaces the incarnation under which items are published.
func (s *Service) SetIncarnation(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
}

// Start begins the pushes.
func (s *Service) Start(context.Context) error {
	s.tasks.Go(s.runPush)
	s.tasks.Go(s.runExpire)
	return nil
}

// Stop pushes what is pending and ends the tasks.
func (s *Service) Stop(ctx context.Context) error {
	last := s.push(s.takePending())
	done := make(chan struct{})
	go func() {
		last.Wait()
		s.cancel()
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.cancel()
		return fmt.Errorf("wait for news tasks: %w", ctx.Err())
	}
}

// Subscribe registers a function that is called with each new item of a kind that a peer sent. It is called outside of
// locks, by several goroutines, possibly not in the order of arrival, and must return soon.
func (s *Service) Subscribe(kind Kind, f func(Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[kind] = append(s.subscribers[kind], f)
}

// Publish stores an item of this node and pushes it. Data may be nil.
func (s *Service) Publish(kind Kind, subject, state string, data any) error {
	var raw json.RawMessage
	if data != nil {
		text, err := json.Marshal(data)
		if err != nil {
			return fmt.Errorf("encode news of %s %s: %w", kind, subject, err)
		}
		raw = text
	}
	s.counters.published.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	item := Item{
		Kind:        kind,
		Subject:     subject,
		Origin:      s.options.HostID,
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		State:       state,
		Data:        raw,
	}
	s.store.merge(item, s.options.Clock.Now())
	s.enqueue(item.key())
	return nil
}

// Batch implements peer.NewsHook.
func (s *Service) Batch(limit int) json.RawMessage {
	s.mu.Lock()
	items := s.store.batch(limit, s.options.Clock.Now())
	s.mu.Unlock()
	if len(items) == 0 {
		return nil
	}
	text, err := json.Marshal(items)
	if err != nil {
		s.options.Logger.Error("encode news failed", slog.Any("error", err))
		return nil
	}
	return text
}

// Receive implements peer.NewsHook.
func (s *Service) Receive(from string, raw json.RawMessage) {
	var items []Item
	if err := json.Unmarshal(raw, &items); err != nil {
		s.options.Logger.Warn("decode news failed", slog.String("peer", from), slog.Any("error", err))
		return
	}
	s.receive(items)
}

// Stats returns a copy of the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Published:    s.counters.published.Load(),
		Received:     s.counters.received.Load(),
		New:          s.counters.fresh.Load(),
		Pushes:       s.counters.pushes.Load(),
		PushesFailed: s.counters.pushFailed.Load(),
		Dropped:      s.counters.dropped.Load(),
		Evicted:      s.store.evicted,
		Items:        len(s.store.items),
	}
}

func (s *Service) handle(_ context.Context, from string, params json.RawMessage) (any, error) {
	s.Receive(from, params)
	return nil, nil
}

// receive merges items, queues those that are new for the push and tells the subscribers.
func (s *Service) receive(items []Item) {
	for _, item := range items {
		s.counters.received.Add(1)
		for _, f := range s.merge(item) {
			f(item)
		}
	}
}

// merge returns the subscribers to tell about an item, none if it was not new.
func (s *Service) merge(item Item) []func(Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.store.merge(item, s.options.Clock.Now()) {
		return nil
	}
	s.counters.fresh.Add(1)
	if item.age() < urgentAge {
		s.enqueue(item.key())
	}
	return s.subscribers[item.Kind]
}

func (s *Service) enqueue(k key) {
	if len(s.pending) >= pendingCapacity {
		s.counters.dropped.Add(1)
		return
	}
	s.pending[k] = struct{}{}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takePending returns up to pushBatch of the items to push.
func (s *Service) takePending() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	var items []Item
	for k := range s.pending {
		if len(items) == pushBatch {
			break
		}
		delete(s.pending, k)
		if item, ok := s.store.get(k, now); ok {
			items = append(items, item)
		}
	}
	return items
}

func (s *Service) runPush() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		if !s.sleep(coalesceTime) {
			return
		}
		for items := s.takePending(); len(items) > 0; items = s.takePending() {
			s.push(items)
		}
	}
}

// push sends items to random peers. It returns while the calls are in progress.
func (s *Service) push(items []Item) *sync.WaitGroup {
	var sent sync.WaitGroup
	if len(items) == 0 || s.options.Network == nil {
		return &sent
	}
	for _, address := range choose(s.options.Network.Peers()) {
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return &sent
		}
		sent.Go(func() {
			defer func() { <-s.slots }()
			s.pushTo(address, items)
		})
	}
	return &sent
}

func (s *Service) pushTo(address string, items []Item) {
	ctx, cancel := context.WithTimeout(s.ctx, pushTimeout)
	defer cancel()
	s.counters.pushes.Add(1)
	if err := s.options.Network.Call(ctx, address, methodNews, items, nil); err != nil {
		s.counters.pushFailed.Add(1)
		s.options.Logger.Debug("push news failed", slog.String("peer", address), slog.Any("error", err))
	}
}

// choose returns up to fanout random addresses.
func choose(addresses []string) []string {
	order := rand.Perm(len(addresses))
	chosen := make([]string, 0, fanout)
	for _, index := range order[:min(fanout, len(order))] {
		chosen = append(chosen, addresses[index])
	}
	return chosen
}

func (s *Service) runExpire() {
	for s.sleep(expireInterval) {
		s.mu.Lock()
		s.store.expire(s.options.Clock.Now())
		s.mu.Unlock()
	}
}

// sleep waits and reports whether the service still runs.
func (s *Service) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
