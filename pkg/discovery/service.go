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

// Steps in decision lines.
const (
	stepConfiguration = "configuration"
	stepEndpoint      = "endpoint"
	stepStore         = "store"
)

// Summary is what a node tells others about its picture.
type Summary struct {
	ConfigVersion uint64
	// Revision is the revision of the store up to which the endpoints are known, and Digest their state.
	Revision uint64
	Digest   uint64
	// StoreContactAge is the time for which the store has not answered the node as it should, or negative if it never did.
	StoreContactAge time.Duration
}

// Readers tells a node whether it should read the store.
type Readers interface {
	// Settled reports whether the node has had the time to hear of the others.
	Settled() bool
	// Rank is the position of this node among the nodes of its zone, and ZoneRank that of its zone among the zones. The
	// first nodes of the first zones read.
	Rank() int
	ZoneRank() int
	// StoreContactAge is the time since any other node was last answered by the store, as far as known.
	StoreContactAge() time.Duration
}

// Options are the parts that the service works with.
type Options struct {
	Store     Store
	Network   peer.Network
	Readers   Readers
	Clock     clock.Clock
	Decisions *decision.Recorder
	Logger    *slog.Logger
	// FirstStart is set if the whole fleet starts for the first time, before there are callers.
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
	// cautions counts the values of the configuration in force that this release does not know.
	cautions atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	digest   atomic.Uint64
	revision atomic.Uint64
	pulling  map[string]pulls
	invalid  map[string]bool
	// versions are the latest configurations, the one in force last, and replies what was sent of that one, by the version
	// that it starts from.
	versions []*routing.Config
	replies  map[uint64]*packed

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service that knows nothing yet.
func New(options Options) *Service {
	s := &Service{
		options:  options,
		registry: registry.New(),
		pulling:  make(map[string]pulls),
		invalid:  make(map[string]bool),
		replies:  make(map[uint64]*packed),
	}
	s.view.Store(s.registry.View())
	options.Network.Handle(methodConfiguration, s.serveConfiguration)
	options.Network.Handle(methodEndpoints, s.serveEndpoints)
	return s
}

// Start begins to read the store.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.start(ctx, "configuration reader", s.readConfiguration)
	s.start(ctx, "endpoint reader", s.readEndpoints)
	s.start(ctx, "endpoint expiry", s.expire)
	return nil
}

func (s *Service) start(ctx context.Context, name string, duty func(ctx context.Context)) {
	s.tasks.Go(func() { guard.Supervise(ctx, s.options.Logger, name, func() { duty(ctx) }) })
}

// Stop ends the duties.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	return kernel.AwaitTasks(ctx, &s.tasks, "discovery tasks")
}

// Table returns the configuration in force, or nil if none is known.
func (s *Service) Table() *routing.Table {
	return s.table.Load()
}

// Complete reports whether the node knows a configuration and has read or been told the endpoints.
func (s *Service) Complete() bool {
	return s.table.Load() != nil && s.revision.Load() > 0
}

// UnknownValues returns the number of values in the configuration in force that this release does not know.
func (s *Service) UnknownValues() int {
	return int(s.cautions.Load())
}

// View returns the registered endpoints.
func (s *Service) View() *registry.View {
	return s.view.Load()
}

// Summary returns what other nodes are told.
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

// adopt puts a configuration in force if it is newer than the present one. It returns both tables, the new one being nil
// if it is not.
func (s *Service) adopt(c *routing.Config) (before, after *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.table.Load()
	if before != nil && c.Version <= before.Version() {
		return before, nil
	}
	after = routing.NewTable(c)
	s.table.Store(after)
	s.remember(c)
	return before, after
}

// Offer puts a configuration in force if it is newer than the present one.
func (s *Service) Offer(c *routing.Config, source string) {
	current, table := s.adopt(c)
	if table == nil {
		return
	}
	cautions := c.UnknownValues()
	s.cautions.Store(int64(len(cautions)))
	for _, caution := range cautions {
		s.logOnce("unknown value in the configuration", errors.New(caution))
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

// ObservePeer compares the summary of another node with the own picture and fetches what is newer. Nodes of other zones
// are asked only if none of the own zone has it soon, so that a change travels between zones a few times only and no
// single node has to send it to all others.
func (s *Service) ObservePeer(address string, near bool, summary Summary) {
	if s.behindConfiguration(summary) {
		s.pull(methodConfiguration, address, near, s.pullConfiguration, func() bool { return s.behindConfiguration(summary) })
	}
	if s.behindEndpoints(summary) {
		s.pull(methodEndpoints, address, near, s.pullEndpoints, func() bool { return s.behindEndpoints(summary) })
	}
}

func (s *Service) behindConfiguration(summary Summary) bool {
	return summary.ConfigVersion > versionOf(s.table.Load())
}

func (s *Service) behindEndpoints(summary Summary) bool {
	return summary.Digest != s.digest.Load() && summary.Revision > s.revision.Load()
}

const (
	// pullTimeout bounds a fetch from a peer, pullPatience is the time after which another peer is asked as well, and
	// maxPulls the number of peers that are asked at the same time.
	pullTimeout  = time.Second
	pullPatience = 150 * time.Millisecond
	maxPulls     = 3
	// farDelay is how long a node waits for the news from its own zone.
	farDelay = 250 * time.Millisecond
)

// pull runs a fetch of a kind, from near peers and from far ones at the same time. Further ones follow as long as those
// under way do not end, since a peer that is heard may not be reached.
func (s *Service) pull(method, address string, near bool, fetch func(ctx context.Context, address string) error, wanted func() bool) {
	kind := method
	if !near {
		kind += ".far"
	}
	if !s.beginPull(kind, address, near) {
		return
	}
	s.tasks.Go(func() {
		defer s.endPull(kind, address)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout+farDelay)
		defer cancel()
		if !near {
			clock.Sleep(ctx, farDelay)
		}
		if wanted() {
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

// pulls are the fetches of a kind that are under way, with their start by the address of the peer.
type pulls map[string]time.Duration

// mayBegin reports whether another fetch may begin: the first one, or one from another peer if those before it take long.
func (p pulls) mayBegin(now time.Duration, address string, patience time.Duration) bool {
	if _, open := p[address]; open || len(p) >= maxPulls {
		return false
	}
	for _, begun := range p {
		if now-begun < patience {
			return false
		}
	}
	return true
}

func (s *Service) beginPull(kind, address string, near bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	patience := pullPatience
	if !near {
		patience += farDelay
	}
	now := s.options.Clock.Now()
	if !s.pulling[kind].mayBegin(now, address, patience) {
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

// apply applies a change to the registry. It returns the new view, or nil if nothing has changed.
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

// update applies a change to the registry and tells of it.
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
