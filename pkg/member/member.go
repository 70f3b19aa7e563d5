package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/retrybudget"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/announcements"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/dialect"
	"agatepulley.example/agatepulley/pkg/discovery"
	"agatepulley.example/agatepulley/pkg/dispatch"
	"agatepulley.example/agatepulley/pkg/forward"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/httpserver"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/peer"
	"agatepulley.example/agatepulley/pkg/quotas"
	"agatepulley.example/agatepulley/pkg/reports"
	"agatepulley.example/agatepulley/pkg/resources"
	"agatepulley.example/agatepulley/pkg/suspects"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// Names under which the services of a node are registered with the kernel.
const (
	serviceDecisions  = "decision.recorder"
	serviceTelemetry  = "telemetry.metrics"
	servicePeers      = "peer.network"
	serviceReports    = "peer.reports"
	serviceSuspects   = "suspects"
	serviceQuotas     = "quotas"
	serviceAnnounced  = "announcements"
	serviceDiscovery  = "discovery"
	serviceDispatcher = "dispatcher"
	serviceForwarder  = "forwarder"
	serviceHops       = "server.hop"
	serviceCallers    = "server.callers"
	serviceAdmin      = "server.admin"
)

// decisionCapacity is the number of requests whose decisions a node keeps in memory for operators. It covers 20 s at 50
// requests/s; older decisions are in the log only.
const decisionCapacity = 1024

// startTimeout is the time limit for the start of all services.
const startTimeout = 10 * time.Second

// Platform holds what depends on the platform that the node runs on, except its settings.
type Platform struct {
	Store   discovery.Store
	Headers dialect.Headers
	// LoadSettings reads the settings again. It is called periodically and after each signal on Reload.
	LoadSettings func() (*Settings, error)
	Reload       <-chan os.Signal
}

// Member is one node of the fleet.
type Member struct {
	settings    atomic.Pointer[Settings]
	platform    Platform
	logger      *slog.Logger
	incarnation uint64
	started     time.Time
	clock       clock.Clock
	kernel      *kernel.Kernel
	life        *lifecycle.Machine

	telemetry *telemetry.Telemetry
	decisions *decision.Recorder
	peers     *peer.Service
	reports   *reports.Service
	suspects  *suspects.Service
	quotas    *quotas.Service
	// announcements holds what endpoints have announced in their responses.
	announcements *announcements.Service

	discovery  *discovery.Service
	dispatcher *dispatch.Dispatcher
	forwarder  *forward.Forwarder
	// hops serves requests from other nodes, callers those from callers on the same host.
	hops    *httpserver.Server
	callers *httpserver.Server
	admin   *admin.Server
}

// New assembles a node. It starts no task; Run does.
func New(s *Settings, platform Platform, log *telemetry.Log) (*Member, error) {
	tele, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	shares := resources.New(s.Limits(), true)
	m := &Member{
		platform:    platform,
		logger:      log.Logger(),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		clock:       clock.NewBootTime(),
		kernel:      kernel.New(),
		life:        lifecycle.New(log.Logger()),
		telemetry:   tele,
		decisions:   decision.NewRecorder(log, decision.Options{Capacity: decisionCapacity, Kept: shares.Decisions, Lines: shares.Lines}),
	}
	m.settings.Store(s)
	m.peers = peer.New(peer.Options{
		HostID: s.Name, Incarnation: m.incarnation, Zone: s.Zone, Listen: m.peerAddress(s.IP),
		Clock: m.clock, Logger: m.logger, ExchangeInterval: noExchange,
		MaxConnections: shares.Connections.Peers, Messages: shares.Messages,
	})
	m.reports = reports.New(reports.Options{
		IP: s.IP, Port: s.PeerPort, Zone: s.Zone, Regions: s.Regions, Incarnation: m.incarnation, Clock: m.clock, Logger: m.logger,
		Decisions: m.decisions, Fill: m.fillReport, Observe: m.observeReport,
		Notice:     m.receiveNotice,
		Registered: func(id string) bool { return m.discovery.View().ByID[id] != nil },
		Announced:  func(id string, announced announce.State) { m.announcements.Learn(id, announced) },
	})
	m.suspects = suspects.New(suspects.Options{
		Clock: m.clock, Decisions: m.decisions, Logger: m.logger, Metrics: tele.Metrics(), Network: m.reports, Tables: shares.Tables,
	})
	m.quotas = quotas.New(quotas.Options{
		IP: s.IP, Incarnation: m.incarnation, Clock: m.clock, Network: m.reports, Logger: m.logger,
		Known: m.knowsWorkspace,
	})
	m.discovery = discovery.New(discovery.Options{
		Store: platform.Store, Network: m.peers, Readers: m.reports, Clock: m.clock, Decisions: m.decisions, Logger: m.logger,
		FirstStart: s.FirstStart, Heartbeat: s.Heartbeat,
		ConfigChanged: m.configChanged, EndpointsChanged: m.endpointsChanged,
	})
	m.announcements = announcements.New(announcements.Options{
		Clock: m.clock, Decisions: m.decisions, Logger: m.logger, View: m.discovery.View,
	})
	m.dispatcher = dispatch.New(dispatch.Options{
		Backend: s.BackendAddress, Headers: platform.Headers, Clock: m.clock, Decisions: m.decisions, Logger: m.logger,
		View: m.discovery.View, PeerMedian: m.medianCondition, HealthPath: m.healthPath, ConditionChanged: m.reports.Notify,
		Suspects: m.suspects, Announcements: m.announcements, Bodies: shares.Bodies, Tables: shares.Tables,
	})
	m.forwarder = m.newForwarder(s, platform, shares)
	connections := shares.Connections
	m.hops = httpserver.New(s.HopListen, m.dispatcher.ServeHop, m.logger, httpserver.Limits{
		Heads: shares.Heads, MaxConnections: connections.Hops,
	})
	m.callers = httpserver.New(s.CallerListen, m.forwarder.Serve, m.logger, httpserver.Limits{
		HeadBytes: m.headBytes, HeadTimeout: m.headTimeout, Heads: shares.Heads, MaxConnections: connections.Callers,
	})
	m.admin = admin.NewServer(s.AdminListen, admin.Sources{
		Status: m, Readiness: m, Explainer: m.decisions, Metrics: tele.Handler(), Quarantine: m.suspects,
	}, m.logger, httpserver.Limits{Heads: shares.Heads, MaxConnections: connections.Admin})
	m.handleInquiries()
	return m, errors.Join(m.register(), m.observeMetrics(), shares.Observe(tele.Metrics().ObserveGauge))
}

// noExchange disables the periodic exchange of the peer protocol, which the reports replace.
const noExchange = -1

func (m *Member) newForwarder(s *Settings, platform Platform, shares *resources.Resources) *forward.Forwarder {
	_, port, err := net.SplitHostPort(s.HopListen)
	hopPort, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		m.logger.Error("invalid listen address for other nodes", "address", s.HopListen, "error", errors.Join(err, convErr))
	}
	return forward.New(forward.Options{
		IP: s.IP, Zone: s.Zone, Regions: s.Regions, Traffic: trafficOf(s), HopPort: hopPort, Bodies: shares.Bodies, Responses: shares.Responses,
		CallerService: func() string { return m.settings.Load().Service },
		Table:         m.table, View: m.discovery.View, Conditions: m.reports, Dispatcher: m.dispatcher,
		Inquirer: &inquirer{member: m}, Suspects: m.suspects, Quotas: m.quotas, Announcements: m.announcements, Headers: platform.Headers,
		Budget: retrybudget.Settings{Ratio: s.RetryRatio, Constant: s.RetryConstant, Window: s.RetryWindow},
		Clock:  m.clock, Decisions: m.decisions, Logger: m.logger, Metrics: m.telemetry.Metrics(),
	})
}

// trafficOf returns what it costs to move bytes between zones and regions, or zero where there is one region.
func trafficOf(s *Settings) placement.Traffic {
	if !s.Regions.Several() {
		return placement.Traffic{}
	}
	return s.Traffic
}

func (m *Member) register() error {
	services := []struct {
		name    string
		service any
	}{
		{serviceDecisions, m.decisions},
		{serviceTelemetry, m.telemetry},
		{serviceAdmin, m.admin},
		{servicePeers, m.peers},
		{serviceReports, m.reports},
		{serviceSuspects, m.suspects},
		{serviceQuotas, m.quotas},
		{serviceAnnounced, m.announcements},
		{serviceDispatcher, m.dispatcher},
		{serviceForwarder, m.forwarder},
		{serviceDiscovery, m.discovery},
		{serviceHops, m.hops},
		{serviceCallers, m.callers},
	}
	for _, s := range services {
		if err := m.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// Run starts the node, serves until the context ends, and then stops without interrupting requests in flight.
func (m *Member) Run(ctx context.Context) error {
	m.logger.Info("start", "node", m.settings.Load().Name, "incarnation", m.incarnation)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := m.kernel.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	m.life.Fire(lifecycle.Started)
	var tasks sync.WaitGroup
	tasks.Go(func() { guard.Supervise(ctx, m.logger, "join", func() { m.join(ctx) }) })
	tasks.Go(func() { guard.Supervise(ctx, m.logger, "settings watch", func() { m.watchSettings(ctx) }) })
	<-ctx.Done()
	tasks.Wait()
	return m.stop()
}

// joinPoll is the interval at which a starting node checks whether it can serve.
const joinPoll = 20 * time.Millisecond

// join moves the node to the state Serving once it knows both the configuration and the endpoints. With only one of them it
// would refuse requests that other nodes can serve.
func (m *Member) join(ctx context.Context) {
	ticker := time.NewTicker(joinPoll)
	defer ticker.Stop()
	for !m.discovery.Complete() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	m.life.Fire(lifecycle.Joined)
}

// table returns the configuration in force.
func (m *Member) table() *routing.Table {
	return m.discovery.Table()
}

const (
	// unpublishedHeadBytes and unpublishedHeadTimeout apply to the heads of callers' requests where the configuration has no limits.
	unpublishedHeadBytes   = 64 << 10
	unpublishedHeadTimeout = 15 * time.Second
	// targetBytes is the longest request line beside the fields, which the configuration limits.
	targetBytes = 16 << 10
)

// headBytes returns the size of the largest head that callers may send, with its request line.
func (m *Member) headBytes() int {
	if table := m.table(); table != nil && table.Limits().HeaderBytes > 0 {
		return table.Limits().HeaderBytes + targetBytes
	}
	return unpublishedHeadBytes
}

// headTimeout returns the time within which the head of a caller's request must arrive.
func (m *Member) headTimeout() time.Duration {
	if table := m.table(); table != nil && table.Limits().HeaderTimeout > 0 {
		return table.Limits().HeaderTimeout
	}
	return unpublishedHeadTimeout
}

// healthPath returns the path of the health check of a service's endpoints, or "" if it is not known.
func (m *Member) healthPath(service string) string {
	if table := m.table(); table != nil && table.Service(service) != nil {
		return table.Service(service).HealthPath
	}
	return ""
}

// knowsWorkspace reports whether the configuration in force has a workspace.
func (m *Member) knowsWorkspace(name string) bool {
	table := m.table()
	return table != nil && table.HasWorkspace(name)
}

// receiveNotice hands a notice of another node to the service that it is for.
func (m *Member) receiveNotice(ip string, notice []byte) {
	if quotas.Owns(notice) {
		m.quotas.Receive(ip, notice)
		return
	}
	m.suspects.Receive(ip, notice)
}

// configChanged is called after a new configuration is in force.
func (m *Member) configChanged(_ *routing.Table, source string) {
	m.notifyPeers(source)
}

// notifyPeers sends reports to the other nodes at once if a change was read from the store. A change that came from a peer
// is sent with the next periodic reports, so that one change does not make every node send extra reports.
func (m *Member) notifyPeers(source string) {
	if source == discovery.SourceStore {
		m.reports.Notify()
	}
}

// endpointsChanged passes a change of the registered endpoints to the reports and the dispatcher.
func (m *Member) endpointsChanged(view *registry.View, source string) {
	zones := make(map[string]string, len(view.ByHost))
	for ip, endpoints := range view.ByHost {
		zones[ip] = endpoints[0].Zone
	}
	m.reports.SetHosts(zones)
	m.quotas.SetHosts(slices.Collect(maps.Keys(zones)))
	m.announcements.Update(view)
	m.dispatcher.Update(view)
	m.notifyPeers(source)
}

func (m *Member) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(m.settings.Load().PeerPort))
}

const (
	// settingsPeriod is the interval at which the settings are read again, since they may change without a signal.
	settingsPeriod = time.Second
)

// watchSettings applies changed settings until the context ends.
func (m *Member) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	var lastErr string
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.platform.Reload:
			m.logger.Info("reload requested")
		case <-ticker.C:
		}
		lastErr = m.reload(lastErr)
	}
}

// reload reads the settings again. Changed addresses take effect only at the next start. It returns the text of the error,
// if any, and does not log an error whose text is lastErr, so that a repeated error is logged once.
func (m *Member) reload(lastErr string) string {
	s, err := m.platform.LoadSettings()
	if err != nil {
		if err.Error() != lastErr {
			m.logger.Warn("settings not reloaded", "error", err)
		}
		return err.Error()
	}
	if before := m.settings.Load(); !reflect.DeepEqual(s, before) {
		m.settings.Store(s)
		m.logger.Info("settings reloaded", "service", s.Service, "before", before.Service)
	}
	return ""
}
