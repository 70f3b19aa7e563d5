package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/retrybudget"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/dialect"
	"agatepulley.example/agatepulley/pkg/dispatch"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/telemetry"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Conditions is what this node knows of endpoints and of the network paths to their hosts. *reports.Service implements it.
type Conditions interface {
	// Endpoint returns the latest report on an endpoint, or false if there is none.
	Endpoint(id string) (reports.ReceivedEndpoint, bool)
	// ObserveEndpoint stores a report on an endpoint that was received with a response.
	ObserveEndpoint(e reports.Endpoint)
	// CountSent counts a request that this node sends to an endpoint.
	CountSent(id string)
	// Path returns the probability that the path to a host is broken, and whether the host is leaving.
	Path(ip string) (broken float64, leaving bool)
	// Linked reports whether a host sends reports on its endpoints to this node.
	Linked(ip string) bool
	// ObservePath updates the probability that the path to a host is broken with the outcome of an attempt.
	ObservePath(ip string, outcome faultfilter.Outcome)
	// Nodes returns the number of live nodes, this one included.
	Nodes() int
	// Repeats returns the requests and retries that the other nodes counted for a service in a window: the sum for those
	// whose reports arrive, and the sum for those whose reports are overdue.
	Repeats(service string, window time.Duration) (reporting, overdue retrybudget.GroupUsage)
	// CountedServices returns the services for which other nodes have counted requests. A name may occur more than once.
	CountedServices() []string
	// Origins returns the requests that the other nodes counted for a service, by the service of the endpoints on their hosts,
	// which serviceOf returns for an IP address.
	Origins(service string, serviceOf func(ip string) string) map[string]retrybudget.Origin
	// Incarnation returns the incarnation of the process which last reported from a host, or 0 if there is none.
	Incarnation(ip string) uint64
}

// Target is the node process to which an attempt was sent. After a restart of the node its host has another incarnation.
type Target struct {
	IP          string
	Incarnation uint64
}

// Inquirer asks the dispatcher of a host for the state of an attempt.
type Inquirer interface {
	// Inquire returns the state of an attempt. An attempt that the dispatcher does not know is reported as not run, and
	// is refused if it arrives later.
	Inquire(ctx context.Context, target Target, attempt string) (attempts.State, error)
	// Withdraw does the same after removing the attempt from the queue if it still waits for a slot.
	Withdraw(ctx context.Context, target Target, attempt string) (attempts.State, error)
}

// Suspects knows the requests that may crash endpoints. *suspects.Service implements it.
type Suspects interface {
	// Decide returns how a request may run.
	Decide(fingerprint string) quarantine.Action
	// Learn takes what the dispatcher on another host knows of a fingerprint.
	Learn(record quarantine.Record)
}

// Announcements holds what endpoints have announced in their responses. *announcements.Service implements it.
type Announcements interface {
	State(id string) announce.State
}

// Options are the settings and dependencies of a forwarder.
type Options struct {
	// IP and Zone are the address and the availability zone of this host.
	IP   string
	Zone string
	// Regions holds the region of each zone, and Traffic what it costs to move bytes between them.
	Regions membership.Regions
	Traffic placement.Traffic
	// Bodies is the memory for the bodies of requests, and Responses that for what is read ahead of responses.
	Bodies, Responses *memory.Budget
	// HopPort is the port on which nodes accept requests from each other.
	HopPort int
	// CallerService returns the service whose endpoint runs on this host. Requests name it as the calling service.
	CallerService func() string
	// Table returns the routing table in force, or nil if there is no configuration yet.
	Table func() *routing.Table
	// View returns the registered endpoints.
	View       func() *registry.View
	Conditions Conditions
	Dispatcher *dispatch.Dispatcher
	Inquirer   Inquirer
	Suspects   Suspects
	Quotas     Quotas
	// Announcements holds what endpoints have announced in their responses.
	Announcements Announcements
	Headers       dialect.Headers
	Budget        retrybudget.Settings
	Clock         clock.Clock
	Decisions     *decision.Recorder
	Logger        *slog.Logger
	Metrics       *telemetry.Metrics
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	options Options
	ids     *attempts.IDs
	stats   transport.Stats
	drain   atomic.Pointer[lifecycle.Drain]

	mu      sync.Mutex
	rng     *rand.Rand
	pools   map[string]*transport.Pool // by IP address of the host
	sizes   sizes
	retries *retrybudget.Ledger

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Forwarder{
		options: options,
		ids:     attempts.NewIDs(),
		rng:     rng,
		pools:   make(map[string]*transport.Pool),
		retries: retrybudget.NewLedger(options.Budget, rng),
		done:    make(chan struct{}),
	}
}

// Start begins the maintenance of the connections to other nodes.
func (f *Forwarder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.done)
		guard.Supervise(ctx, f.options.Logger, "hop connections", func() { f.maintain(ctx) })
	}()
	return nil
}

// Stop ends the maintenance and closes idle connections.
func (f *Forwarder) Stop(ctx context.Context) error {
	f.cancel()
	f.mu.Lock()
	for _, pool := range f.pools {
		pool.Close()
	}
	f.mu.Unlock()
	return kernel.AwaitClosed(ctx, f.done, "connections to other nodes")
}

// BeginDrain begins a planned stop: from now on all responses ask callers to close their connections, and requests that the
// exit might cut off are refused.
func (f *Forwarder) BeginDrain(d lifecycle.Drain) {
	f.drain.Store(&d)
}

const (
	// hopConnectTimeout is many times the round-trip time between zones (otherRoundTrip). A connection that takes longer to
	// open uses a faulty path.
	hopConnectTimeout = 300 * time.Millisecond
	// hopIdleTimeout is short because an idle connection may stop delivering packets without being closed.
	hopIdleTimeout = 5 * time.Second
	// hopMaxIdle is the largest number of idle connections that are kept to one host.
	hopMaxIdle = 16
	// maintainPeriod is the interval at which idle connections are checked.
	maintainPeriod = time.Second
)

func (f *Forwarder) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.maintainPools(now)
		}
	}
}

// maintainPools closes the connections that have been idle for too long and the pools of hosts that no longer have an
// endpoint.
func (f *Forwarder) maintainPools(now time.Time) {
	hosts := f.options.View().ByHost
	f.mu.Lock()
	defer f.mu.Unlock()
	for ip, pool := range f.pools {
		pool.CloseExpired(now)
		if len(hosts[ip]) == 0 {
			pool.Close()
			delete(f.pools, ip)
		}
	}
}

// pool returns the connection pool to the dispatcher of a host, which it creates on first use.
func (f *Forwarder) pool(ip string) *transport.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.pools[ip]
	if pool == nil {
		pool = transport.NewPool(net.JoinHostPort(ip, strconv.Itoa(f.options.HopPort)), transport.Options{
			ConnectTimeout: hopConnectTimeout, IdleTimeout: hopIdleTimeout, MaxIdle: hopMaxIdle,
		}, &f.stats)
		f.pools[ip] = pool
	}
	return pool
}

// random returns a uniformly distributed number in [0, 1).
func (f *Forwarder) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}
