package quotas

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatepulley.example/agatepulley/core/quota"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
)

const (
	// tick is the interval at which the node resends messages and renews its slots.
	tick = 50 * time.Millisecond
	// noticeMark is the first byte of the messages, by which Owns tells them from other notices.
	noticeMark = 'q'
)

// Network sends notices to other nodes. *reports.Service implements it. Notices may be lost.
type Network interface {
	// SendTo sends a notice to the node on a host.
	SendTo(ip string, notice []byte)
}

// Options are the settings and dependencies of a Service.
type Options struct {
	// IP is the address of this host. Incarnation grows with each start.
	IP          string
	Incarnation uint64
	Clock       clock.Clock
	Network     Network
	Logger      *slog.Logger
	// Known reports whether the configuration in force has a workspace.
	Known func(workspace string) bool
}

// Service limits the requests of workspaces. It is safe for concurrent use.
type Service struct {
	options Options

	mu   sync.Mutex
	node *quota.Node
	// waiting holds the channels on which requests receive their decisions, by ticket.
	waiting map[uint64]chan quota.Decision
	// strangers holds the workspaces that other nodes have asked for and that were not known then, with the time.
	strangers map[string]time.Duration

	// wake starts the ticks after the node was idle.
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a service that knows no other node.
func New(options Options) *Service {
	return &Service{
		options: options,
		node:    quota.New(options.Clock.Now(), quota.Options{Self: options.IP, Incarnation: options.Incarnation}),
		waiting: make(map[uint64]chan quota.Decision),

		strangers: make(map[string]time.Duration),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

// Start starts the ticks.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.done)
		guard.Supervise(ctx, s.options.Logger, "quotas", func() { s.run(ctx) })
	}()
	return nil
}

// Stop ends the ticks.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	return kernel.AwaitClosed(ctx, s.done, "quotas")
}

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for idle := false; !idle && ctx.Err() == nil; {
			clock.Sleep(ctx, tick)
			s.do(func(now time.Duration) {
				s.node.Tick(now)
				idle = s.node.Idle()
			})
		}
	}
}

// do changes the node, sends its messages and hands out its decisions.
func (s *Service) do(change func(now time.Duration)) {
	s.mu.Lock()
	now := s.options.Clock.Now()
	change(now)
	out, decided := s.node.Flush(now)
	for _, d := range decided {
		if waiting := s.waiting[d.Ticket]; waiting != nil {
			delete(s.waiting, d.Ticket)
			waiting <- d
		}
	}
	s.mu.Unlock()
	for _, o := range out {
		s.send(o)
	}
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetHosts tells the service which hosts are registered.
func (s *Service) SetHosts(ips []string) {
	s.do(func(now time.Duration) { s.node.SetHosts(now, ips) })
}

// Acquire takes a token for a request of a workspace with a limit. It waits for the answers of other nodes.
func (s *Service) Acquire(ctx context.Context, w *routing.Workspace, version uint64) quota.Decision {
	var d quota.Decision
	decided := make(chan quota.Decision, 1)
	s.do(func(now time.Duration) {
		d = s.node.Acquire(now, w.Name, quota.Limit{Rate: w.Rate, Burst: w.Burst}, version)
		if d.Verdict == quota.Waiting {
			s.waiting[d.Ticket] = decided
		}
	})
	s.wakeUp()
	if d.Verdict != quota.Waiting {
		return d
	}
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
	}
	s.do(func(now time.Duration) {
		delete(s.waiting, d.Ticket)
		s.node.Abandon(w.Name, d.Ticket)
		select {
		case late := <-decided:
			s.node.Return(now, w.Name, late.Expires)
		default:
		}
	})
	return quota.Decision{Verdict: quota.Uncounted}
}

// Return gives back the token of a request that was not run.
func (s *Service) Return(w *routing.Workspace, d quota.Decision) {
	s.do(func(now time.Duration) { s.node.Return(now, w.Name, d.Expires) })
}

// Leave hands the slots of this node over before a planned stop.
func (s *Service) Leave() {
	s.do(s.node.Leave)
}

// Held returns the number of slots that this node holds.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Holds(s.options.Clock.Now())
}

// Owns reports whether a notice is a message of this package.
func Owns(notice []byte) bool {
	return len(notice) > 0 && notice[0] == noticeMark
}

// Receive handles a message of another node.
func (s *Service) Receive(ip string, notice []byte) {
	m, err := decode(notice)
	if err != nil {
		s.options.Logger.Warn("unreadable quota message", "from", ip, "error", err)
		return
	}
	s.do(func(now time.Duration) {
		if m.Kind != quota.Ask || s.admits(m.Workspace, now) {
			s.node.Receive(now, ip, m)
		}
	})
	s.wakeUp()
}

const (
	// maxStrangers is the number of workspaces that are counted although the configuration in force does not have them. The asking
	// node may have a newer one. They are forgotten after strangerTime if they are still not known then.
	maxStrangers = 64
	strangerTime = 10 * time.Second
	// maxNameBytes is the length of the longest name of a workspace that is not known.
	maxNameBytes = 256
)

// admits reports whether requests of a workspace are counted at the request of another node. The caller holds the lock.
func (s *Service) admits(workspace string, now time.Duration) bool {
	if s.options.Known == nil || s.options.Known(workspace) {
		return true
	}
	for name, since := range s.strangers {
		switch {
		case s.options.Known(name):
			delete(s.strangers, name)
		case now-since > strangerTime:
			delete(s.strangers, name)
			s.node.Forget(name)
		}
	}
	if _, met := s.strangers[workspace]; met {
		return true
	}
	if len(s.strangers) >= maxStrangers || len(workspace) > maxNameBytes {
		return false
	}
	s.strangers[strings.Clone(workspace)] = now
	return true
}

func (s *Service) send(o quota.Outgoing) {
	notice, err := encode(o.Message)
	if err != nil {
		s.options.Logger.Error("encode quota message", "error", err)
		return
	}
	s.options.Network.SendTo(o.To, notice)
}

func encode(m quota.Message) ([]byte, error) {
	b := bytes.NewBuffer([]byte{noticeMark})
	e := msgpack.NewEncoder(b)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(&m); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b.Bytes(), nil
}

func decode(notice []byte) (m quota.Message, err error) {
	if !Owns(notice) {
		return m, fmt.Errorf("message begins with another byte than %q", noticeMark)
	}
	if err := msgpack.Unmarshal(notice[1:], &m); err != nil {
		return m, fmt.Errorf("decode message: %w", err)
	}
	if m.Slot < 0 || m.Slot >= quota.Slots || m.Need < 0 || m.Extra < 0 || m.Tokens < 0 || !(m.Limit.Rate >= 0) || !(m.Limit.Burst >= 0) {
		return m, fmt.Errorf("message of kind %d has values out of range", m.Kind)
	}
	if m.Kind == quota.Ask && (m.Workspace == "" || m.Limit.Rate <= 0 || quota.SlotOf(m.Workspace) != m.Slot) {
		return m, fmt.Errorf("ask for workspace %.64q in slot %d has no limit or another slot", m.Workspace, m.Slot)
	}
	return m, nil
}
