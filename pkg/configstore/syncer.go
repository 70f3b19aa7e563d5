package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/platform"
	"agatepulley.example/agatepulley/pkg/ring"
)

// Service reads the configuration service.
type Service interface {
	Value(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error)
}

// Options configure a Syncer.
type Options struct {
	Store   *Store
	Network Network
	// Service is nil if the node has no configuration service.
	Service Service
	Clock   clock.Clock
	Logger  *slog.Logger
	HostID  string
	Zone    string
	// Address returns the peer address of this node, which peers call back.
	Address func() string
	// Seeds are the peer addresses that a joining node asks.
	Seeds []string
	// ZoneHosts returns the ids of the live hosts of the zone, this one included. If it is nil, the hosts of the
	// configuration in force are used.
	ZoneHosts func() []string
}

const (
	// pushFanOut is the number of peers that are told of a newly adopted version.
	pushFanOut = 4
	// confirmPeers is the number of peers that are asked after a pause.
	confirmPeers = 3
	// callTimeout bounds one call to a peer or the service.
	callTimeout = 2 * time.Second
	// fetchTimeout bounds the transfer of a whole document.
	fetchTimeout = 60 * time.Second
	// retryDelay separates attempts after a failure. Up to half of it is added at random.
	retryDelay = time.Second
)

// request asks the fetch task to fetch from a peer.
type request struct {
	address string
	mark    configstate.Mark
	// always is set if the version of the peer is not known.
	always bool
}

// Syncer keeps the configuration of a node in step with the configuration service and with the peers. It runs three
// tasks: reading the service, fetching from peers, and telling peers of adopted versions.
type Syncer struct {
	options Options
	store   *Store
	log     *slog.Logger

	// Only the newest request is kept: an older one asks for a version that is not newer.
	wanted *ring.Ring[request]
	pushes *ring.Ring[configstate.Mark]
	pauses *ring.Ring[time.Duration]

	mu        sync.Mutex
	freshness *configstate.Freshness
	// lastRead is the time of the latest read known in the zone, if readKnown is set.
	lastRead  time.Duration
	readKnown bool

	joined atomic.Bool
	ready  chan struct{}
	// adopted wakes the join when a configuration arrives in another way, such as by an exchange.
	adopted chan struct{}

	// ownRead is one more than the time of the latest read by this host, or zero.
	ownRead atomic.Int64

	// revision is the revision of the value that was last taken from the service. Only one task uses it at a time: the
	// join, then the reader.
	revision uint64
	// failing is set while the last read of the service failed. The task that owns the revision uses it.
	failing bool

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewSyncer returns a syncer and registers the handlers of the configuration methods.
func NewSyncer(options Options) *Syncer {
	s := &Syncer{
		options:   options,
		store:     options.Store,
		log:       options.Logger,
		wanted:    ring.New[request](1, ring.DropOldest),
		pushes:    ring.New[configstate.Mark](1, ring.DropOldest),
		pauses:    ring.New[time.Duration](1, ring.DropOldest),
		freshness: configstate.NewFreshness(0),
		ready:     make(chan struct{}),
		adopted:   make(chan struct{}, 1),
	}
	options.Network.Handle(MethodFetch, s.store.handleFetch)
	options.Network.Handle(MethodPiece, s.store.handlePiece)
	options.Network.Handle(MethodOffer, s.handleOffer)
	s.store.Subscribe(s.noteAdoption)
	return s
}

// Start begins the tasks. It returns at once; the node must not accept work before Ready reports true.
func (s *Syncer) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.tasks.Go(func() { s.runFetches(ctx) })
	s.tasks.Go(func() { s.runPushes(ctx) })
	s.tasks.Go(func() { s.runConfirmations(ctx) })
	s.tasks.Go(func() {
		s.join(ctx)
		s.runReader(ctx)
	})
	return nil
}

// Stop ends the tasks.
func (s *Syncer) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	return kernel.AwaitTasks(ctx, &s.tasks, "configuration tasks")
}

// Ready reports whether the node has asked the service and the seed peers and has a configuration.
func (s *Syncer) Ready() bool {
	return s.joined.Load()
}

// WaitReady waits until Ready reports true.
func (s *Syncer) WaitReady(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a configuration: %w", ctx.Err())
	}
}

// Fresh reports whether the node may act on its configuration as owner or recorder. It is false after a pause of the
// process until a peer or the service has confirmed the version in force.
func (s *Syncer) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Fresh(s.options.Clock.Now())
}

// NotePause records a pause of the process and has the version confirmed.
func (s *Syncer) NotePause(gap time.Duration) {
	s.mu.Lock()
	s.freshness.Pause(s.options.Clock.Now())
	s.mu.Unlock()
	s.log.Warn("configuration unconfirmed after a pause", "gap", gap)
	s.pauses.Push(gap)
}

// Summary returns what an exchange says about the configuration of this node.
func (s *Syncer) Summary() Summary {
	summary := Summary{Mark: s.store.mark(), Zone: s.options.Zone, ReadAgeMS: UnknownAge}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readKnown {
		summary.ReadAgeMS = (s.options.Clock.Now() - s.lastRead).Milliseconds()
	}
	return summary
}

// ObserveSummary takes the summary of the peer at address: a newer version is fetched, a conflicting one raises an
// alarm, and a later read of the service in the same zone is noted.
func (s *Syncer) ObserveSummary(address string, summary Summary) {
	if summary.Zone == s.options.Zone && summary.ReadAgeMS >= 0 {
		s.noteRead(s.options.Clock.Now() - time.Duration(summary.ReadAgeMS)*time.Millisecond)
	}
	switch configstate.Judge(s.store.mark(), summary.Mark) {
	case configstate.Adopt:
		s.wanted.Push(request{address: address, mark: summary.Mark})
	case configstate.Conflict:
		s.store.reject(PeerSource(address), summary.Mark)
	}
}

// ObserveRaw decodes a summary as it arrives in an exchange and observes it.
func (s *Syncer) ObserveRaw(address string, raw json.RawMessage) {
	var summary Summary
	if err := json.Unmarshal(raw, &summary); err != nil {
		s.log.Warn("configuration summary rejected", "peer", address, "error", err)
		return
	}
	s.ObserveSummary(address, summary)
}

// Refresh fetches from the peer at address if it has a newer version. It returns at once.
func (s *Syncer) Refresh(address string) {
	s.wanted.Push(request{address: address, always: true})
}

func (s *Syncer) noteAdoption(_, adopted *config.Snapshot) {
	s.pushes.Push(markOf(adopted))
	select {
	case s.adopted <- struct{}{}:
	default:
	}
}

// noteRead records the time of a read of the service in the zone. Earlier ones are ignored.
func (s *Syncer) noteRead(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readKnown || at > s.lastRead {
		s.readKnown = true
		s.lastRead = at
	}
}

// confirm records that the version in force was compared with an answer to a question asked at the given time.
func (s *Syncer) confirm(answered configstate.Mark, asked time.Duration) {
	inForce := s.store.mark()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Confirm(inForce, answered, asked)
}

func (s *Syncer) handleOffer(_ context.Context, from string, raw json.RawMessage) (any, error) {
	var params OfferParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fmt.Errorf("%s from %s: %w", MethodOffer, from, err)
	}
	s.ObserveSummary(params.Address, params.Summary)
	return struct{}{}, nil
}

// runPushes tells random peers of each adopted version. Versions adopted meanwhile are skipped: only the newest counts.
func (s *Syncer) runPushes(ctx context.Context) {
	for {
		if _, err := s.pushes.Pop(ctx); err != nil {
			return
		}
		var calls sync.WaitGroup
		for _, address := range s.randomPeers(pushFanOut) {
			calls.Go(func() { s.push(ctx, address) })
		}
		calls.Wait()
	}
}

func (s *Syncer) push(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := &OfferParams{Address: s.options.Address(), Summary: s.Summary()}
	var ignored struct{}
	if err := s.options.Network.Call(ctx, address, MethodOffer, params, &ignored); err != nil {
		s.log.Debug("configuration push failed", "peer", address, "error", err)
	}
}

// runConfirmations compares the version with other nodes after each pause.
func (s *Syncer) runConfirmations(ctx context.Context) {
	for {
		if _, err := s.pauses.Pop(ctx); err != nil {
			return
		}
		for ctx.Err() == nil && !s.Fresh() {
			s.askForConfirmation(ctx)
			if !s.Fresh() {
				sleep(ctx, jitter(retryDelay/2))
			}
		}
	}
}

// askForConfirmation asks peers until one confirms the version. The service is asked only if there are no peers, since it
// may be stale, and a node that has neither relies on itself.
func (s *Syncer) askForConfirmation(ctx context.Context) {
	peers := s.randomPeers(confirmPeers)
	for _, address := range peers {
		if err := s.fetchFrom(ctx, address); err != nil {
			s.log.Warn("configuration check failed", "peer", address, "error", err)
		}
		if s.Fresh() {
			return
		}
	}
	if len(peers) > 0 {
		return
	}
	asked := s.options.Clock.Now()
	if s.options.Service != nil {
		if _, err := s.readService(ctx); err != nil {
			s.log.Warn("configuration check failed", "source", "service", "error", err)
			return
		}
	}
	s.confirm(s.store.mark(), asked)
}

func (s *Syncer) randomPeers(count int) []string {
	peers := s.options.Network.Peers()
	picked := make([]string, 0, count)
	for _, i := range rand.Perm(len(peers)) {
		if len(picked) == count {
			break
		}
		picked = append(picked, peers[i])
	}
	return picked
}

// jitter returns d plus up to half of it.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
