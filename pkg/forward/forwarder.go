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

	"agatepulley.example/agatepulley/core/faultfilter"
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
	"agatepulley.example/agatepulley/pkg/relay"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/telemetry"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Conditions tells what is known of endpoints and of the paths to their hosts. *reports.Service implements it.
type Conditions interface {
	Endpoint(id string) (reports.ReceivedEndpoint, bool)
	ObserveEndpoint(e reports.Endpoint)
	CountSent(id string)
	Path(ip string) (broken float64, leaving bool)
	// Linked reports whether the conditions of the endpoints on a host are told to this node.
	Linked(ip string) bool
	ObservePath(ip string, outcome faultfilter.Outcome)
	// Nodes returns the number of live nodes, this one included.
	Nodes() int
	// Repeats returns what the other nodes counted for a service in a window: those that are heard, and those that have
	// fallen silent.
	Repeats(service string, window time.Duration) (heard, silent retrybudget.GroupUsage)
	// Incarnation returns that of the process which last reported from a host, or 0.
	Incarnation(ip string) uint64
}

// Target is the process to which an attempt was sent.
type Target struct {
	IP          string
	Incarnation uint64
}

// Inquirer asks the dispatcher of a host what became of an attempt. One that the dispatcher does not know will not run.
type Inquirer interface {
	Inquire(ctx context.Context, target Target, attempt string) (attempts.State, error)
	// Withdraw does the same after taking the attempt out of the queue if it still waits for a slot.
	Withdraw(ctx context.Context, target Target, attempt string) (attempts.State, error)
}

// Options are the parts that a forwarder works with.
type Options struct {
	IP   string
	Zone string
	// HopPort is the port on which the nodes take requests of each other.
	HopPort int
	// CallerService returns the service whose endpoint runs beside this node.
	CallerService func() string
	Table         func() *routing.Table
	View          func() *registry.View
	Conditions    Conditions
	Dispatcher    *dispatch.Dispatcher
	Inquirer      Inquirer
	Headers       dialect.Headers
	Budget        retrybudget.Settings
	Clock         clock.Clock
	Decisions     *decision.Recorder
	Logger        *slog.Logger
	Metrics       *telemetry.Metrics
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	options  Options
	ids      *attempts.IDs
	stats    transport.Stats
	closing  atomic.Pointer[closing]
	inFlight atomic.Int64
	bodies   *relay.BodyMemory

	mu      sync.Mutex
	rng     *rand.Rand
	pools   map[string]*transport.Pool
	budgets map[string]*retrybudget.Budget

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{
		options: options,
		ids:     attempts.NewIDs(),
		bodies:  relay.NewBodyMemory(bodyMemoryBytes),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:   make(map[string]*transport.Pool),
		budgets: make(map[string]*retrybudget.Budget),
		done:    make(chan struct{}),
	}
}

// Start begins to look after the connections to other nodes.
func (f *Forwarder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.done)
		guard.Supervise(ctx, f.options.Logger, "hop connections", func() { f.maintain(ctx) })
	}()
	return nil
}

// Stop closes idle connections.
func (f *Forwarder) Stop(ctx context.Context) error {
	f.cancel()
	f.mu.Lock()
	for _, pool := range f.pools {
		pool.Close()
	}
	f.mu.Unlock()
	return kernel.AwaitClosed(ctx, f.done, "connections to other nodes")
}

// closing is how a planned stop proceeds: requests that arrive after lateFrom are taken only if their deadline is not after
// end, at which the process ends.
type closing struct{ lateFrom, end time.Time }

// BeginDrain tells callers from now on to close their connections. Requests that arrive after lateFrom and may take until after
// end are refused, so that the end cuts none of them.
func (f *Forwarder) BeginDrain(lateFrom, end time.Time) {
	f.closing.Store(&closing{lateFrom: lateFrom, end: end})
}

// tooLate reports whether a request has arrived too late in a planned stop to be finished for sure.
func (f *Forwarder) tooLate(r *request) bool {
	c := f.closing.Load()
	return c != nil && r.arrived.After(c.lateFrom) && r.deadline.After(c.end)
}

// InFlight returns the number of requests of callers that are being served.
func (f *Forwarder) InFlight() int {
	return int(f.inFlight.Load())
}

const (
	// hopConnectTimeout is a few round trips between zones. A connection that takes longer runs over a bad path.
	hopConnectTimeout = 300 * time.Millisecond
	// hopIdleTimeout is short, because a connection that is not used may go silent unnoticed.
	hopIdleTimeout = 5 * time.Second
	hopMaxIdle     = 16
	// maintainPeriod is how often idle connections are looked at.
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

// maintainPools closes connections that were not used for long, and all to hosts without an endpoint.
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

// pool returns the connections to the dispatcher of a host.
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

// random returns a uniform draw in [0, 1).
func (f *Forwarder) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}
