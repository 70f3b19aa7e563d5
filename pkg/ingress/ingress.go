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
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/telemetry"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Inquirer asks owners about attempts.
type Inquirer interface {
	// Inquire returns what became of an attempt. If the owner does not know it, it will never run it.
	Inquire(ctx context.Context, host *config.Host, attempt string) (attempts.State, error)
	// Withdraw returns the same, after taking the attempt out of the owner's queue if it was not dispatched yet.
	Withdraw(ctx context.Context, host *config.Host, attempt string) (attempts.State, error)
}

// Hosts tells which hosts are leaving.
type Hosts interface {
	Leaving(host string) bool
}

// Suspects tells how a request may run that is suspected of crashing backend servers.
type Suspects interface {
	Decide(service, fingerprint string, serving func() []string) quarantine.Decision
}

// Options are the parts that an ingress works with. Inquirer, Suspects and Metrics may be nil.
type Options struct {
	Host      string
	Zone      string
	Config    func() *config.Snapshot
	Owner     *owner.Owner
	Hosts     Hosts
	Inquirer  Inquirer
	Suspects  Suspects
	Decisions *decision.Recorder
	Metrics   *telemetry.Metrics
	Logger    *slog.Logger
}

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	options    Options
	started    time.Time
	attempts   *attempts.IDs
	pools      *pools
	workspaces *workspaces
	classes    *classes
	closing    atomic.Bool
	inFlight   atomic.Int64

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
		workspaces: newWorkspaces(),
		classes:    newClasses(),
		views:      make(map[string]*view),
		done:       make(chan struct{}),
	}
}

// Start begins the health duty.
func (i *Ingress) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go i.tick(ctx)
	return nil
}

// Stop ends the health duty and closes idle connections.
func (i *Ingress) Stop(ctx context.Context) error {
	i.cancel()
	i.pools.close()
	return kernel.AwaitClosed(ctx, i.done, "health tick")
}

// DisableKeepAlives makes all further responses to callers ask for the connection to be closed.
func (i *Ingress) DisableKeepAlives() {
	i.closing.Store(true)
}

// InFlight returns the number of requests of callers that are being served.
func (i *Ingress) InFlight() int {
	return int(i.inFlight.Load())
}

// Update takes over the services of a new configuration. Only services that callers of this node use have a view.
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
		v.refresh()
	}
}

// ObserveLoad records a report that an owner announced.
func (i *Ingress) ObserveLoad(service, endpoint string, load hop.Load) {
	if v := i.knownView(service); v != nil {
		v.observeLoad(endpoint, load)
	}
}

// view returns the view of a service, which is created when it is used for the first time. It returns nil if the
// configuration has no such service.
func (i *Ingress) view(name string) *view {
	if v := i.knownView(name); v != nil {
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

// knownView returns the view of a service if it is in use.
func (i *Ingress) knownView(name string) *view {
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

func (i *Ingress) now() time.Duration {
	return time.Since(i.started)
}

const (
	// healthPeriod bounds how long a stalled request can be overlooked.
	healthPeriod = 100 * time.Millisecond
	// poolPeriod is the period in which unused connections are closed, in health periods.
	poolPeriod = 10
	// pauseThreshold is the gap between two turns from which the process counts as paused.
	pauseThreshold = time.Second
)

func (i *Ingress) tick(ctx context.Context) {
	defer close(i.done)
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	pauses := clock.NewPauseDetector(pauseThreshold)
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gap := pauses.Observe(i.now())
		for _, v := range i.allViews() {
			v.tick(gap)
		}
		if turn%poolPeriod == 0 {
			i.pools.maintain(time.Now())
		}
	}
}

// Stats returns the counters of the inner connections.
func (i *Ingress) Stats() *transport.Stats {
	return &i.pools.stats
}
