// Package peer connects the nodes: calls and handlers over jsonrpc2 on TCP, and the exchange with one random peer a
// second. Each connection carries calls in one direction only, so that a receiver may stop reading calls, which slows
// the sender down, without holding up the responses to its own calls.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/memory"
)

// Handler answers one call. The from argument is the peer address that the caller announced.
type Handler = func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Network is what other packages use to reach peers.
type Network interface {
	// Call sends a request to the node at address and stores its response in result, which may be nil.
	Call(ctx context.Context, address, method string, params, result any) error
	// Handle registers the handler of a method. It replaces an earlier one.
	Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error))
	// Peers returns the peer addresses of the other live hosts.
	Peers() []string
}

// Errors of calls. RemoteError is returned when the peer answered with an error.
var (
	ErrUnreachable = errors.New("peer is unreachable")
	ErrStopped     = errors.New("peer service is stopped")
	ErrNoMethod    = errors.New("method is not handled")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	return e.Message
}

// Options configure a Service. Zero values of the limits mean the defaults.
type Options struct {
	HostID      string
	Incarnation uint64 // See SetIncarnation.
	Zone        string
	// Listen is the address of the listener. Advertise is the address that peers use; the default is the listener's.
	Listen    string
	Advertise string
	Clock     clock.Clock
	Logger    *slog.Logger

	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// HandlerLimit is the number of calls that one connection may have in progress.
	HandlerLimit int
	// MessageLimit is the largest message in bytes.
	MessageLimit int
	// MaxConnections is the number of open connections from peers. Beyond it, one without a call in progress is closed for each that
	// is accepted.
	MaxConnections int
	// Messages is the memory for messages and for calls in progress.
	Messages *memory.Budget
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// ExchangeInterval is the time between exchanges; a negative value turns the exchange off.
	ExchangeInterval time.Duration

	// Summary returns the configuration summary that the exchange carries.
	Summary func() any
	// ObserveSummary is called with the summary of the peer at address.
	ObserveSummary func(address string, raw json.RawMessage)
	// ObserveHost is called with the identity of each node that an exchange reached.
	ObserveHost func(host string, incarnation uint64, zone, address string)
	// News supplies and takes the news items of the exchange.
	News NewsHook
	// OnPause is called when the process did not run for longer than a second.
	OnPause func(gap time.Duration)
}

// NewsHook is the store of news items as the exchange uses it.
type NewsHook interface {
	// Batch returns up to limit encoded items to send, or nil.
	Batch(limit int) json.RawMessage
	// Receive takes the items of a peer.
	Receive(from string, raw json.RawMessage)
}

// Defaults of the options.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultHandlerLimit     = 64
	DefaultMessageLimit     = 2 << 20
	DefaultMaxConnections   = 8192 // the design scale has 4,200 nodes
	DefaultMessages         = 64 << 20
	DefaultIdleTimeout      = 30 * time.Second
	DefaultExchangeInterval = time.Second
)

// Service is the Network of one node. It is safe for concurrent use.
type Service struct {
	options  Options
	counters counters
	// calls is the part of the memory for messages that calls in progress take, and messages the rest.
	calls, messages *memory.Budget

	mu       sync.Mutex
	handlers map[string]Handler
	links    map[string]*link
	accepted map[net.Conn]*inbound
	listener net.Listener
	stopped  bool

	incarnation atomic.Uint64
	members     atomic.Pointer[[]membership.Member]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

var _ Network = (*Service)(nil)

// New returns a service that is not listening yet. Calls are possible before Start.
func New(options Options) *Service {
	setDefault(&options.CallTimeout, DefaultCallTimeout)
	setDefault(&options.HandlerLimit, DefaultHandlerLimit)
	setDefault(&options.MessageLimit, DefaultMessageLimit)
	setDefault(&options.MaxConnections, DefaultMaxConnections)
	setDefault(&options.IdleTimeout, DefaultIdleTimeout)
	setDefault(&options.ExchangeInterval, DefaultExchangeInterval)
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Messages == nil {
		options.Messages = memory.NewBudget(DefaultMessages)
	}
	s := &Service{
		options:  options,
		calls:    options.Messages.Share(callShare),
		messages: options.Messages,
		handlers: make(map[string]Handler),
		links:    make(map[string]*link),
		accepted: make(map[net.Conn]*inbound),
	}
	s.incarnation.Store(options.Incarnation)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Handle(methodExchange, s.handleExchange)
	return s
}

// Start opens the listener and begins the exchange.
func (s *Service) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", s.options.Listen, err)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.tasks.Go(func() { s.accept(listener) })
	s.tasks.Go(s.runPeriodic)
	return nil
}

// Stop closes the listener and all connections and waits for the tasks.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.closeAll()
	return kernel.AwaitTasks(ctx, &s.tasks, "peer tasks")
}

// Handle registers the handler of a method. It replaces an earlier one.
func (s *Service) Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// SetDirectory replaces the other live hosts. The slice must not be changed afterwards.
func (s *Service) SetDirectory(members []membership.Member) {
	s.members.Store(&members)
}

// SetIncarnation replaces the incarnation that exchanges announce. A node raises it when a peer knows a newer one of the
// same host.
func (s *Service) SetIncarnation(incarnation uint64) {
	s.incarnation.Store(incarnation)
}

// Members returns the other live hosts.
func (s *Service) Members() []membership.Member {
	members := s.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// Peers returns the peer addresses of the other live hosts.
func (s *Service) Peers() []string {
	members := s.Members()
	addresses := make([]string, len(members))
	for i := range members {
		addresses[i] = members[i].Address
	}
	return addresses
}

// Address returns the address that peers use to reach this node.
func (s *Service) Address() string {
	if s.options.Advertise != "" {
		return s.options.Advertise
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return s.options.Listen
	}
	return s.listener.Addr().String()
}

// Stats returns a copy of the counters.
func (s *Service) Stats() Stats {
	stats := s.counters.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Connections = len(s.accepted)
	for _, l := range s.links {
		if l.connected() {
			stats.Connections++
		}
	}
	return stats
}

func (s *Service) closeAll() {
	s.mu.Lock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for connection := range s.accepted {
		_ = connection.Close()
	}
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
