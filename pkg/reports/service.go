package reports

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
)

const (
	// tick is how often it is checked which reports are due.
	tick = 50 * time.Millisecond
	// forgetAfter is the silence after which a host that no endpoint is registered for is forgotten.
	forgetAfter = 10 * time.Second
	// liveIntervals is the silence, in intervals, up to which a host counts as a live member of the fleet.
	liveIntervals = 5
	// maxDatagramDelay is the longest time for which a datagram may be under way.
	maxDatagramDelay = time.Second
	// maxDatagram bounds a report. A node has one endpoint, two while it is replaced.
	maxDatagram = 8 << 10
	// stepPath names decisions on paths in the log.
	stepPath = "path"
	// settleTime is how long a node that has just started waits to hear of the others before it takes itself for the only
	// one in its zone. Each live host reports within it.
	settleTime = 1200 * time.Millisecond
	// forever is an age that stands for "never".
	forever = time.Hour
)

// Options are the parts that the service works with.
type Options struct {
	IP          string
	Port        int
	Zone        string
	Incarnation uint64
	Clock       clock.Clock
	Logger      *slog.Logger
	Decisions   *decision.Recorder
	// Fill adds what the node knows to a report.
	Fill func(*Report)
	// Observe is called with each report and the peer address of its sender.
	Observe func(peerAddress string, r *Report)
}

type host struct {
	report Report
	// zone is that of the host's endpoint, or of its reports.
	zone   string
	path   path
	local  faultfilter.Filter
	listed bool
	// linked is set if the host and this one exchange reports.
	linked   bool
	address  netip.AddrPort
	sequence uint64
	sentAt   time.Duration
	urgent   bool
	// lost is set while the path counts as broken.
	lost bool
	// lostBy are nodes near the host that have lost it.
	lostBy witnesses
}

// Service exchanges reports with the nodes of the fleet. It is safe for concurrent use.
type Service struct {
	options Options
	conn    *net.UDPConn
	wake    chan struct{}
	started time.Duration

	mu        sync.Mutex
	hosts     map[string]*host
	endpoints map[string]*ReceivedEndpoint
	shares    shares
	// metAt is when this node learned of the first other host.
	metAt time.Duration

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service that knows no other node.
func New(options Options) *Service {
	return &Service{
		options:   options,
		wake:      make(chan struct{}, 1),
		hosts:     make(map[string]*host),
		endpoints: make(map[string]*ReceivedEndpoint),
		shares:    newShares(1, 1),
	}
}

// Start opens the socket and begins to send.
func (s *Service) Start(context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.options.IP), Port: s.options.Port})
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	s.conn, s.started = conn, s.options.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { guard.Supervise(ctx, s.options.Logger, "report receiver", s.receive) })
	s.tasks.Go(func() { guard.Supervise(ctx, s.options.Logger, "report sender", func() { s.send(ctx) }) })
	return nil
}

// Stop closes the socket.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	_ = s.conn.Close()
	return kernel.AwaitTasks(ctx, &s.tasks, "report tasks")
}

// SetHosts replaces the hosts for which endpoints are registered. It gets the zone of each.
func (s *Service) SetHosts(zones map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	for id, known := range s.endpoints {
		if now-known.ReceivedAt > forgetAfter {
			delete(s.endpoints, id)
		}
	}
	for _, h := range s.hosts {
		h.listed = false
	}
	for ip, zone := range zones {
		if h := s.host(ip); h != nil {
			h.listed, h.zone = true, zone
		}
	}
	s.relink()
}

// relink chooses the hosts with which this node exchanges reports. The caller holds the lock.
func (s *Service) relink() {
	zone, fleet := 1, 1
	for _, h := range s.hosts {
		// Hosts that have left are forgotten sooner by some nodes than by others.
		if !h.listed {
			continue
		}
		fleet++
		if h.zone == s.options.Zone {
			zone++
		}
	}
	s.shares = newShares(zone, fleet)
	for ip, h := range s.hosts {
		if h.linked = s.linked(ip, h); !h.linked {
			// The host has not fallen silent; it does not report to this one any more.
			h.path = path{}
		}
	}
}

// host returns what is known of a host, creating it if needed. It returns nil for this host and for bad addresses.
func (s *Service) host(ip string) *host {
	if ip == s.options.IP {
		return nil
	}
	if h := s.hosts[ip]; h != nil {
		return h
	}
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	if len(s.hosts) == 0 {
		s.metAt = s.options.Clock.Now()
	}
	h := &host{address: netip.AddrPortFrom(address, uint16(s.options.Port))}
	s.hosts[ip] = h
	return h
}

// Notify sends reports to the linked hosts soon.
func (s *Service) Notify() {
	s.mu.Lock()
	for _, h := range s.hosts {
		h.urgent = h.linked
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var r Report
		if err := r.decode(buffer[:n]); err != nil {
			s.options.Logger.Warn("unreadable report", "from", from.String(), "error", err)
			continue
		}
		s.take(from, &r)
	}
}

func (s *Service) take(from netip.AddrPort, r *Report) {
	ip := from.Addr().Unmap().String()
	if s.record(ip, r) {
		s.options.Observe(net.JoinHostPort(ip, strconv.Itoa(s.options.Port)), r)
	}
}

// record keeps a report. It returns false for one that is older than what is known.
func (s *Service) record(ip string, r *Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	h := s.host(ip)
	if h == nil || h.outdated(now, r) {
		return false
	}
	restarted := r.Incarnation != h.report.Incarnation
	if restarted {
		h.local.Reset()
	}
	h.path.heard(now, r.Sequence, restarted, r.HeardMS)
	h.report, h.lostBy = *r, nil
	if h.zone == "" {
		h.zone = r.Zone
		s.relink()
	}
	s.noteLost(now, ip, r)
	for _, e := range r.Endpoints {
		s.endpoints[e.ID] = s.endpoints[e.ID].update(e, now)
	}
	return true
}

// outdated reports whether a report was sent before the latest one of the host. Incarnations are times of day, which may
// have been set back before a restart: once the known process has been silent for so long that none of its reports can
// still be under way, a lower one is that of its successor.
func (h *host) outdated(now time.Duration, r *Report) bool {
	switch {
	case r.Incarnation == h.report.Incarnation:
		return r.Sequence <= h.path.sequence
	case r.Incarnation > h.report.Incarnation:
		return false
	}
	return now-h.path.heardAt < maxDatagramDelay
}

func (s *Service) send(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			time.Sleep(gap)
		case <-ticker.C:
		}
		s.round()
	}
}

// round sends the reports that are due.
func (s *Service) round() {
	var shared Report
	s.options.Fill(&shared)
	shared.Zone, shared.Incarnation = s.options.Zone, s.options.Incarnation
	type datagram struct {
		to   netip.AddrPort
		body []byte
	}
	var due []datagram
	s.eachDue(func(h *host, r Report) {
		if body, err := r.encode(); err == nil {
			due = append(due, datagram{h.address, body})
		}
	}, shared)
	for _, d := range due {
		// A datagram that cannot be sent is like one that got lost: the receiver notices the silence.
		_, _ = s.conn.WriteToUDPAddrPort(d.body, d.to)
	}
}

// eachDue calls f with each host to which a report is due, and that report.
func (s *Service) eachDue(f func(h *host, r Report), shared Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	shared.Lost = s.lostNearby(now)
	for ip, h := range s.hosts {
		if !h.listed && now-h.path.heardAt > forgetAfter {
			delete(s.hosts, ip)
			continue
		}
		if !h.linked {
			continue
		}
		s.watchPath(now, ip, h)
		if !s.due(now, h) {
			continue
		}
		h.sentAt, h.urgent = now, false
		h.sequence++
		r := shared
		r.Sequence = h.sequence
		r.HeardMS = -1
		if h.path.ever {
			r.HeardMS = int((now - h.path.heardAt).Milliseconds())
		}
		f(h, r)
	}
}

// watchPath logs when a host is lost or regained. The caller holds the lock.
func (s *Service) watchPath(now time.Duration, ip string, h *host) {
	broken := h.path.broken(now, s.interval(h))
	if lost := broken >= quietPath; h.path.ever && lost != h.lost {
		h.lost = lost
		result := "regained"
		if lost {
			result = "lost"
		}
		s.options.Decisions.Record(decision.Decision{
			Step: stepPath, Peer: ip, Outcome: result, Reason: "reports",
			Inputs: map[string]any{
				"broken": broken, "heard_ms": (now - h.path.heardAt).Milliseconds(), "unheard_ms": h.path.unheard.Milliseconds(),
				"loss": h.path.loss,
			},
		})
	}
}

func (s *Service) due(now time.Duration, h *host) bool {
	if h.urgent || h.sentAt == 0 {
		return true
	}
	return now-h.sentAt >= s.interval(h)
}

// interval is the time between reports to or from a host. The caller holds the lock.
func (s *Service) interval(h *host) time.Duration {
	if h.zone == s.options.Zone {
		return interval
	}
	return otherZoneInterval
}
