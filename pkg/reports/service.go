package reports

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
)

const (
	// tick is the interval at which the sender checks which reports are due.
	tick = 50 * time.Millisecond
	// forgetAfter is the time without reports after which a host without registered endpoints is removed, and the age above
	// which the condition of an endpoint is removed.
	forgetAfter = 10 * time.Second
	// liveIntervals is the number of intervals without a report after which a host no longer counts as live.
	liveIntervals = 5
	// maxDatagramDelay is the longest time that a datagram is assumed to take from sender to receiver.
	maxDatagramDelay = time.Second
	// maxUnregisteredHosts and maxUnregisteredEndpoints bound the hosts and the endpoints that are kept although no registration of
	// them is known here.
	maxUnregisteredHosts     = 256
	maxUnregisteredEndpoints = 1024
	// maxDatagramBytes is the maximum size of a report. A node has one endpoint, or two while one replaces the other.
	maxDatagramBytes = 8 << 10
	// stepPath is the step of path decisions in the log.
	stepPath = "path"
	// settleTime is how long a node waits for reports after its start before its rank in its zone counts. Each live host
	// reports within this time.
	settleTime = 1200 * time.Millisecond
	// neverAge stands for the age of an event that has not occurred. Larger ages are cut to it.
	neverAge = time.Hour
)

// Options are the settings and dependencies of a Service.
type Options struct {
	IP   string
	Port int
	Zone string
	// Regions holds the region of each zone.
	Regions     membership.Regions
	Incarnation uint64
	Clock       clock.Clock
	Logger      *slog.Logger
	Decisions   *decision.Recorder
	// Fill sets the fields of a report that describe the state of the node.
	Fill func(*Report)
	// Observe is called with each report that is not outdated and the peer address (IP:port) of its sender.
	Observe func(peerAddress string, r *Report)
	// Registered reports whether an endpoint is registered, as far as this node knows.
	Registered func(id string) bool
	// Announced is called with what an endpoint has announced according to the node on its host.
	Announced func(id string, announced announce.State)
	// Notice is called with each notice and the IP address of its sender.
	Notice func(ip string, notice []byte)
}

type host struct {
	// report is the latest report from the host.
	report Report
	// zone is that of the host's registered endpoint, or of its first report if none is registered.
	zone string
	path path
	// local estimates whether the path is failing, from the exchanges that this node had with the host.
	local faultfilter.Filter
	// registered is set while an endpoint is registered on the host.
	registered bool
	// linked is set if the host and this one exchange reports.
	linked  bool
	address netip.AddrPort
	// sequence and sentAt are those of the latest report to the host.
	sequence uint64
	sentAt   time.Duration
	// urgent is set if a report is due before the interval has passed.
	urgent bool
	// pathFailing is set while the path is suspect or broken, as last logged.
	pathFailing bool
	// unreachableBy holds the nodes of the host's zone that report it as unreachable.
	unreachableBy unreachableReporters
}

// Service exchanges reports with the nodes of the fleet. It is safe for concurrent use.
type Service struct {
	options Options
	conn    *net.UDPConn
	// wake makes the sender check which reports are due before the next tick.
	wake    chan struct{}
	started time.Duration
	// noticeTurn counts the calls of SendNext.
	noticeTurn atomic.Uint64

	mu sync.Mutex
	// hosts holds the other hosts by IP address, and endpoints the condition of endpoints by ID.
	hosts     map[string]*host
	endpoints map[string]*ReceivedEndpoint
	// unregisteredHosts and unregisteredEndpoints count those that are not registered. The latter may be too high.
	unregisteredHosts, unregisteredEndpoints int
	shares                                   shares
	// firstHostAt is when this node learned of the first other host.
	firstHostAt time.Duration

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
		shares:    newShares(1, 1, 1),
	}
}

// Start opens the socket and starts to send and receive reports.
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

// Stop closes the socket and waits for the tasks to end.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	_ = s.conn.Close()
	return kernel.AwaitTasks(ctx, &s.tasks, "report tasks")
}

// SetHosts replaces the hosts with registered endpoints. The map holds the zone of each host by its IP address.
func (s *Service) SetHosts(zones map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetEndpoints()
	for _, h := range s.hosts {
		h.registered = false
	}
	for ip, zone := range zones {
		if h := s.addHost(ip); h != nil {
			h.registered, h.zone = true, zone
		}
	}
	s.unregisteredHosts = 0
	for _, h := range s.hosts {
		if !h.registered {
			s.unregisteredHosts++
		}
	}
	s.updateLinks()
}

// updateLinks chooses the hosts with which this node exchanges reports. The caller holds the lock.
func (s *Service) updateLinks() {
	zone, region, fleet := 1, 1, 1
	for _, h := range s.hosts {
		// Hosts without registered endpoints are not counted, since nodes do not remove them at the same time and both ends
		// of a link need the same numbers.
		if !h.registered {
			continue
		}
		fleet++
		if h.zone == s.options.Zone {
			zone++
		}
		if s.sameRegion(h) {
			region++
		}
	}
	s.shares = newShares(zone, region, fleet)
	for ip, h := range s.hosts {
		if h.linked = s.linked(ip, h); !h.linked {
			// The host no longer sends reports to this one, so the lack of reports must not count as a failure.
			h.path = path{}
		}
	}
}

// forgetEndpoints removes the conditions that were not reported for forgetAfter. The caller holds the lock.
func (s *Service) forgetEndpoints() {
	now := s.options.Clock.Now()
	s.unregisteredEndpoints = 0
	for id, known := range s.endpoints {
		if now-known.ReceivedAt > forgetAfter {
			delete(s.endpoints, id)
		} else if !s.registered(id) {
			s.unregisteredEndpoints++
		}
	}
}

func (s *Service) registered(id string) bool {
	return s.options.Registered == nil || s.options.Registered(id)
}

// host returns the state of a host, creating it if needed. It returns nil for this host, for invalid addresses, and for a new host
// if too many hosts are not registered. The caller holds the lock.
func (s *Service) host(ip string) *host {
	if h := s.hosts[ip]; h != nil {
		return h
	}
	if s.unregisteredHosts >= maxUnregisteredHosts {
		return nil
	}
	h := s.addHost(ip)
	if h != nil {
		s.unregisteredHosts++
	}
	return h
}

// addHost returns the state of a host, creating it if needed. It returns nil for this host and for invalid addresses. The caller
// holds the lock.
func (s *Service) addHost(ip string) *host {
	if h := s.hosts[ip]; h != nil || ip == s.options.IP {
		return h
	}
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	if len(s.hosts) == 0 {
		s.firstHostAt = s.options.Clock.Now()
	}
	h := &host{address: netip.AddrPortFrom(address, uint16(s.options.Port))}
	s.hosts[ip] = h
	return h
}

// Notify makes the sender report to all linked hosts without waiting for their intervals to pass.
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

// receive handles datagrams until the socket is closed.
func (s *Service) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n > 0 && buffer[0] == noticeMark {
			s.options.Notice(from.Addr().Unmap().String(), buffer[1:n])
			continue
		}
		var r Report
		if err := r.decode(buffer[:n]); err != nil {
			s.options.Logger.Warn("unreadable report", "from", from.String(), "error", err)
			continue
		}
		s.handle(from, &r)
	}
}

// handle stores a report and passes it to Options.Observe, unless it is outdated.
func (s *Service) handle(from netip.AddrPort, r *Report) {
	ip := from.Addr().Unmap().String()
	if s.record(ip, r) {
		s.options.Observe(net.JoinHostPort(ip, strconv.Itoa(s.options.Port)), r)
	}
}

// record stores a report. It returns false if the report is older than the latest one from the host, or if the address is
// invalid or that of this host.
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
	h.path.recordReport(now, r.Sequence, restarted, r.HeardMS)
	// This report shows that the host is reachable, so earlier reports that it is not are discarded.
	h.report, h.unreachableBy = *r, nil
	if h.zone == "" {
		h.zone = r.Zone
		s.updateLinks()
	}
	s.recordUnreachable(now, ip, r)
	for _, e := range r.Endpoints {
		s.observe(e, now)
	}
	return true
}

// outdated reports whether a report was sent before the latest one of the host. Incarnations are start times by the wall
// clock, which may have been set back before a restart. Once no report has been received for maxDatagramDelay, none of the
// known process can still be in transit, and a lower incarnation is that of a restarted process.
func (h *host) outdated(now time.Duration, r *Report) bool {
	switch {
	case r.Incarnation == h.report.Incarnation:
		return r.Sequence <= h.path.sequence
	case r.Incarnation > h.report.Incarnation:
		return false
	}
	return now-h.path.receivedAt < maxDatagramDelay
}

// send sends due reports at each tick, and shortly after each call of Notify, until the context ends.
func (s *Service) send(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			time.Sleep(urgentDelay)
		case <-ticker.C:
		}
		s.sendDue()
	}
}

// sendDue sends the reports that are due.
func (s *Service) sendDue() {
	var shared Report
	s.options.Fill(&shared)
	shared.Endpoints = shared.Endpoints[:min(len(shared.Endpoints), maxEndpoints)]
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
		// A datagram that cannot be sent is treated as lost: the receiver detects the missing reports.
		_, _ = s.conn.WriteToUDPAddrPort(d.body, d.to)
	}
}

// eachDue calls f for each host to which a report is due, with that report: a copy of shared with the fields that depend
// on the receiver. It also removes hosts and logs path changes.
func (s *Service) eachDue(f func(h *host, r Report), shared Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	shared.Lost = s.unreachableInZone(now)
	for ip, h := range s.hosts {
		if !h.registered && now-h.path.receivedAt > forgetAfter {
			delete(s.hosts, ip)
			s.unregisteredHosts--
			continue
		}
		if !h.linked {
			continue
		}
		s.logPathChange(now, ip, h)
		if !s.due(now, h) {
			continue
		}
		h.sentAt, h.urgent = now, false
		h.sequence++
		r := shared
		r.Sequence = h.sequence
		r.HeardMS = -1
		if h.path.everReceived {
			r.HeardMS = int((now - h.path.receivedAt).Milliseconds())
		}
		f(h, r)
	}
}

// logPathChange logs when the path to a host fails or recovers. The caller holds the lock.
func (s *Service) logPathChange(now time.Duration, ip string, h *host) {
	probability := h.path.failureProbability(now, s.interval(h))
	if failing := probability >= suspectFailureProbability; h.path.everReceived && failing != h.pathFailing {
		h.pathFailing = failing
		result := "regained"
		if failing {
			result = "lost"
		}
		s.options.Decisions.Record(decision.Decision{
			Step: stepPath, Peer: ip, Outcome: result, Reason: "reports",
			Inputs: map[string]any{
				"broken": probability, "heard_ms": (now - h.path.receivedAt).Milliseconds(), "unheard_ms": h.path.peerReceiveAge.Milliseconds(),
				"loss": h.path.loss,
			},
		})
	}
}

// due reports whether a report to a host is due. The caller holds the lock.
func (s *Service) due(now time.Duration, h *host) bool {
	if h.urgent || h.sentAt == 0 {
		return true
	}
	return now-h.sentAt >= s.interval(h)
}

// interval returns the time between reports to or from a host. The caller holds the lock.
func (s *Service) interval(h *host) time.Duration {
	switch {
	case h.zone == s.options.Zone:
		return interval
	case s.sameRegion(h):
		return otherZoneInterval
	}
	return otherRegionInterval
}
