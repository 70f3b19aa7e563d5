package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/peer"
)

// Methods of the peer protocol.
const (
	methodConfiguration = "discovery.configuration"
	methodEndpoints     = "discovery.endpoints"
)

// SourceStore names the store as the source of a change.
const SourceStore = "store"

// Steps of decisions in the log.
const (
	stepConfiguration = "configuration"
	stepEndpoint      = "endpoint"
	stepStore         = "store"
)

// Summary identifies the configuration and the endpoints that a node knows, for comparison with other nodes.
type Summary struct {
	ConfigVersion uint64
	// Revision is the revision of the store up to which the endpoints are known, and Digest a hash of their state.
	Revision uint64
	Digest   uint64
	// StoreContactAge is the time since the node's last contact with the store, or negative if there was none. A pending
	// watch counts as contact.
	StoreContactAge time.Duration
}

// Readers provides what a node needs to decide whether it should read the store.
type Readers interface {
	// Settled reports whether the node has had time to receive reports from the other nodes.
	Settled() bool
	// Rank is the position of this node among the nodes of its zone, and ZoneRank that of its zone among the zones. The
	// first nodes of the first zones read.
	Rank() int
	ZoneRank() int
	// StoreContactAge is the time since the store last answered any other node, as far as known.
	StoreContactAge() time.Duration
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Store     Store
	Network   peer.Network
	Readers   Readers
	Clock     clock.Clock
	Decisions *decision.Recorder
	Logger    *slog.Logger
	// Heartbeat is the interval at which endpoints write their entries to the store.
	Heartbeat time.Duration
	// FirstStart is set if the whole fleet starts for the first time, so that there are no callers yet.
	FirstStart bool
	// ConfigChanged and EndpointsChanged are called after a change has taken effect.
	// The source is SourceStore or the address of a peer.
	ConfigChanged    func(t *routing.Table, source string)
	EndpointsChanged func(view *registry.View, source string)
}

// Service holds the configuration in force and the registered endpoints. It is safe for concurrent use.
type Service struct {
	options Options
	table   atomic.Pointer[routing.Table]
	view    atomic.Pointer[registry.View]
	contact contact
	// unknownValues counts the values of the configuration in force that this release does not know.
	unknownValues atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	// digest and revision are those of the registry. They are read without the lock.
	digest   atomic.Uint64
	revision atomic.Uint64
	// pulling holds the pending fetches from peers by kind.
	pulling map[string]pulls
	// loggedErrors holds the texts of errors that have been logged.
	loggedErrors map[string]bool
	// versions are the latest configurations, with the one in force last. replies caches the encoded replies for it, by the
	// version that the peer has; 0 holds the reply with the whole configuration.
	versions []*routing.Config
	replies  map[uint64]*packed

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service without configuration and endpoints.
func New(options Options) *Service {
	s := &Service{
		options:      options,
		registry:     registry.New(options.Heartbeat),
		pulling:      make(map[string]pulls),
		loggedErrors: make(map[string]bool),
		replies:      make(map[uint64]*packed),
	}
	s.view.Store(s.registry.View())
	options.Network.Handle(methodConfiguration, s.serveConfiguration)
	options.Network.Handle(methodEndpoints, s.serveEndpoints)
	return s
}

// Start starts the tasks that read the store.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.start(ctx, "configuration reader", s.readConfiguration)
	s.start(ctx, "endpoint reader", s.readEndpoints)
	s.start(ctx, "endpoint expiry", s.expire)
	return nil
}

func (s *Service) start(ctx context.Context, name string, task func(ctx context.Context)) {
	s.tasks.Go(func() { guard.Supervise(ctx, s.options.Logger, name, func() { task(ctx) }) })
}

// Stop ends the tasks and waits for them and for pending fetches from peers.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	return kernel.AwaitTasks(ctx, &s.tasks, "discovery tasks")
}

// Table returns the configuration in force, or nil if none is known.
func (s *Service) Table() *routing.Table {
	return s.table.Load()
}

// Complete reports whether the node knows a configuration and the endpoints, from the store or from peers.
func (s *Service) Complete() bool {
	return s.table.Load() != nil && s.revision.Load() > 0
}

// UnknownValues returns the number of values in the configuration in force that this release does not know.
func (s *Service) UnknownValues() int {
	return int(s.unknownValues.Load())
}

// View returns the registered endpoints.
func (s *Service) View() *registry.View {
	return s.view.Load()
}

// Summary returns the summary that is sent to other nodes.
func (s *Service) Summary() Summary {
	summary := Summary{
		Revision:        s.revision.Load(),
		Digest:          s.digest.Load(),
		StoreContactAge: s.contact.age(s.options.Clock.Now()),
	}
	if t := s.table.Load(); t != nil {
		summary.ConfigVersion = t.Version()
	}
	return summary
}

// adopt puts a configuration in force if it is newer than the current one. It returns the tables before and after, where
// after is nil if nothing has changed.
func (s *Service) adopt(c *routing.Config) (before, after *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.table.Load()
	if before != nil && c.Version <= before.Version() {
		return before, nil
	}
	after = routing.NewTable(c)
	s.table.Store(after)
	s.keepVersion(c)
	return before, after
}

// Offer puts a configuration in force if it is newer than the current one.
func (s *Service) Offer(c *routing.Config, source string) {
	current, table := s.adopt(c)
	if table == nil {
		return
	}
	unknownValues := c.UnknownValues()
	s.unknownValues.Store(int64(len(unknownValues)))
	for _, unknownValue := range unknownValues {
		s.logOnce("unknown value in the configuration", errors.New(unknownValue))
	}
	s.options.Decisions.Record(decision.Decision{
		Step: stepConfiguration, Subject: fmt.Sprint(c.Version), Peer: source, Outcome: "adopted", Reason: "newer-version",
		Inputs: map[string]any{"routes": len(c.Routes), "before": versionOf(current)},
	})
	s.options.ConfigChanged(table, source)
}

func versionOf(t *routing.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version()
}

// ObservePeer compares the summary of another node with this node's state and fetches what is newer from that node. A fetch
// from another zone starts after a delay, and only if no node of the same zone has provided the change by then. So a change
// crosses between zones only a few times, and no single node has to send it to all others.
func (s *Service) ObservePeer(address string, sameZone bool, summary Summary) {
	if s.behindConfiguration(summary) {
		s.pull(methodConfiguration, address, sameZone, s.pullConfiguration, func() bool { return s.behindConfiguration(summary) })
	}
	if s.behindEndpoints(summary) {
		s.pull(methodEndpoints, address, sameZone, s.pullEndpoints, func() bool { return s.behindEndpoints(summary) })
	}
}

func (s *Service) behindConfiguration(summary Summary) bool {
	return summary.ConfigVersion > versionOf(s.table.Load())
}

func (s *Service) behindEndpoints(summary Summary) bool {
	return summary.Digest != s.digest.Load() && summary.Revision > s.revision.Load()
}

const (
	// pullTimeout is the time limit of a fetch from a peer, pullHedgeDelay the time after which another peer is asked as
	// well, and maxPulls the number of peers that are asked at the same time.
	pullTimeout    = time.Second
	pullHedgeDelay = 150 * time.Millisecond
	maxPulls       = 3
	// otherZoneDelay is how long a node waits for a change from its own zone before it fetches it from another one.
	otherZoneDelay = 250 * time.Millisecond
)

// pull starts a fetch from a peer, unless enough are pending. Fetches from the same zone and from other zones are limited
// separately. Further peers are asked while earlier fetches are pending, since a peer whose reports arrive may still not be
// reachable.
func (s *Service) pull(method, address string, sameZone bool, fetch func(ctx context.Context, address string) error, stillBehind func() bool) {
	kind := method
	if !sameZone {
		kind += ".far"
	}
	if !s.beginPull(kind, address, sameZone) {
		return
	}
	s.tasks.Go(func() {
		defer s.endPull(kind, address)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout+otherZoneDelay)
		defer cancel()
		if !sameZone {
			clock.Sleep(ctx, otherZoneDelay)
		}
		if stillBehind() {
			var err error
			if panicked := guard.Call(func() { err = fetch(ctx, address) }); panicked != nil {
				err = panicked
			}
			if err != nil {
				s.options.Logger.Warn("fetch from peer failed", "method", method, "peer", address, "error", err)
			}
		}
	})
}

// pulls are the pending fetches of one kind, with their start time by the address of the peer.
type pulls map[string]time.Duration

// mayBegin reports whether another fetch may start: the first one, or one from another peer once all pending ones have
// taken hedgeDelay.
func (p pulls) mayBegin(now time.Duration, address string, hedgeDelay time.Duration) bool {
	if _, open := p[address]; open || len(p) >= maxPulls {
		return false
	}
	for _, startedAt := range p {
		if now-startedAt < hedgeDelay {
			return false
		}
	}
	return true
}

func (s *Service) beginPull(kind, address string, sameZone bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hedgeDelay := pullHedgeDelay
	if !sameZone {
		hedgeDelay += otherZoneDelay
	}
	now := s.options.Clock.Now()
	if !s.pulling[kind].mayBegin(now, address, hedgeDelay) {
		return false
	}
	if s.pulling[kind] == nil {
		s.pulling[kind] = make(pulls)
	}
	s.pulling[kind][address] = now
	return true
}

func (s *Service) endPull(kind, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling[kind], address)
}

// apply applies a change to the registry. It returns what has changed and the new view, or nil if nothing has changed.
func (s *Service) apply(change func(g *registry.Registry, now time.Duration) []registry.Change) ([]registry.Change, *registry.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := change(s.registry, s.options.Clock.Now())
	s.revision.Store(s.registry.Revision())
	if len(changes) == 0 {
		return nil, nil
	}
	view := s.registry.View()
	s.view.Store(view)
	s.digest.Store(s.registry.Digest())
	return changes, view
}

// update applies a change to the registry, logs what has changed and calls Options.EndpointsChanged.
func (s *Service) update(source string, change func(g *registry.Registry, now time.Duration) []registry.Change) {
	changes, view := s.apply(change)
	if view == nil {
		return
	}
	for _, c := range changes {
		s.record(source, c)
	}
	s.options.EndpointsChanged(view, source)
}

// record logs a change of an endpoint.
func (s *Service) record(source string, c registry.Change) {
	result := "listed"
	switch {
	case c.After.Removed:
		result = "gone"
	case c.After.Draining:
		result = "draining"
	}
	s.options.Decisions.Record(decision.Decision{
		Step: stepEndpoint, Service: c.After.Service, Subject: c.After.ID, Peer: source, Outcome: result, Reason: "registry",
		Inputs: map[string]any{"address": c.After.Address, "revision": c.After.Revision, "born": c.After.StartedAtMS},
	})
}
