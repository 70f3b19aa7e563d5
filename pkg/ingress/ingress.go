package ingress

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/telemetry"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Inquirer queries the owners of endpoints for the state of attempts.
type Inquirer interface {
	// Inquire returns the state of an attempt. An owner that does not know the attempt guarantees that it will never run
	// it.
	Inquire(ctx context.Context, host *config.Host, attempt string) (attempts.State, error)
	// Withdraw removes an attempt from the owner's queue if it has not been dispatched yet, and returns its state.
	Withdraw(ctx context.Context, host *config.Host, attempt string) (attempts.State, error)
}

// Hosts reports which hosts are leaving and get no new work.
type Hosts interface {
	Leaving(host string) bool
}

// Suspects decides how a request that is suspected of crashing backend servers may run. The function available returns
// the IDs of the available endpoints of the service.
type Suspects interface {
	Decide(service, fingerprint string, available func() []string) quarantine.Decision
	// Learn takes what an owner knows of a fingerprint.
	Learn(record quarantine.Record)
}

// Options are the settings and collaborators of an Ingress. Host and Zone are those of this node. Config returns the
// configuration in force, or nil if the node is not ready to serve. Inquirer, Suspects and Metrics may be nil.
type Options struct {
	Host      string
	Zone      string
	Config    func() *config.Snapshot
	Owner     *owner.Owner
	Hosts     Hosts
	Inquirer  Inquirer
	Suspects  Suspects
	Decisions *decision.Recorder
	// Bodies is the memory for the bodies of requests.
	Bodies  *memory.Budget
	Metrics *telemetry.Metrics
	Logger  *slog.Logger
}

// Ingress serves requests of callers. It is safe for concurrent use.
type Ingress struct {
	options    Options
	started    time.Time
	attempts   *attempts.IDs
	pools      *pools
	workspaces *workspaceLimiter
	classes    *routeClassifier
	drain      atomic.Pointer[lifecycle.Drain]

	mu       sync.RWMutex
	snapshot *config.Snapshot
	views    map[string]*view

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an ingress. Update must be called with each new configuration.
func New(options Options) *Ingress {
	return &Ingress{
		options:    options,
		started:    time.Now(),
		attempts:   attempts.NewIDs(),
		pools:      newPools(),
		workspaces: newWorkspaceLimiter(),
		classes:    newRouteClassifier(),
		views:      make(map[string]*view),
		done:       make(chan struct{}),
	}
}

// Start starts the health loop.
func (i *Ingress) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go i.runHealthLoop(ctx)
	return nil
}

// Stop ends the health loop and closes idle connections to owners.
func (i *Ingress) Stop(ctx context.Context) error {
	i.cancel()
	i.pools.close()
	return kernel.AwaitClosed(ctx, i.done, "health loop")
}

// BeginDrain begins a planned stop: all further responses to callers ask for the connection to be closed, and requests that
// the exit might cut off are refused.
func (i *Ingress) BeginDrain(d lifecycle.Drain) {
	i.drain.Store(&d)
}

// Update applies a new configuration. Views exist only for services that callers of this node have used; those of
// removed services are deleted.
func (i *Ingress) Update(snapshot *config.Snapshot) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.snapshot = snapshot
	for name, v := range i.views {
		service := snapshot.Service(name)
		if service == nil {
			delete(i.views, name)
			continue
		}
		v.configure(snapshot, service)
	}
}

// RefreshAvailability re-evaluates which endpoints are available. It must be called when the leaving state of a host
// has changed.
func (i *Ingress) RefreshAvailability() {
	for _, v := range i.allViews() {
		v.refreshAvailability()
	}
}

// ObserveLoad records a load report that an owner published for one of its endpoints.
func (i *Ingress) ObserveLoad(service, endpoint string, load hop.Load) {
	if v := i.existingView(service); v != nil {
		v.observeLoad(endpoint, load)
	}
}

// view returns the view of a service and creates it on first use. It returns nil if the configuration has no such
// service.
func (i *Ingress) view(name string) *view {
	if v := i.existingView(name); v != nil {
		return v
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if v := i.views[name]; v != nil {
		return v
	}
	if i.snapshot == nil || i.snapshot.Service(name) == nil {
		return nil
	}
	service := i.snapshot.Service(name)
	v := newView(i, service)
	v.configure(i.snapshot, service)
	i.views[name] = v
	return v
}

// existingView returns the view of a service, or nil if no request has used the service yet.
func (i *Ingress) existingView(name string) *view {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.views[name]
}

func (i *Ingress) allViews() []*view {
	i.mu.RLock()
	defer i.mu.RUnlock()
	list := make([]*view, 0, len(i.views))
	for _, v := range i.views {
		list = append(list, v)
	}
	return list
}

// now returns the time since the ingress was created. All times in views are on this clock.
func (i *Ingress) now() time.Duration {
	return time.Since(i.started)
}

const (
	// healthPeriod is the period of the health loop. It bounds how long a stalled request can go undetected.
	healthPeriod = 100 * time.Millisecond
	// poolCheckPeriods is the period in which expired idle connections are closed, in health periods.
	poolCheckPeriods = 10
	// pauseThreshold is the time between two iterations of the health loop from which the process counts as paused.
	pauseThreshold = time.Second
)

// runHealthLoop drives the failure detectors of all views until the context ends.
func (i *Ingress) runHealthLoop(ctx context.Context) {
	defer close(i.done)
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	pauses := clock.NewPauseDetector(pauseThreshold)
	for iteration := 0; ; iteration++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pause := pauses.Observe(i.now())
		for _, v := range i.allViews() {
			v.tick(pause)
		}
		if iteration%poolCheckPeriods == 0 {
			i.pools.closeExpired(time.Now())
		}
	}
}

// Stats returns the counters of the connections to the owners on other hosts.
func (i *Ingress) Stats() *transport.Stats {
	return &i.pools.stats
}
