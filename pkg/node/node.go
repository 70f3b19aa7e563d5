package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/claims"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/fleet"
	"agatepulley.example/agatepulley/pkg/httpserver"
	"agatepulley.example/agatepulley/pkg/ingress"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/news"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/peer"
	"agatepulley.example/agatepulley/pkg/platform"
	"agatepulley.example/agatepulley/pkg/resources"
	"agatepulley.example/agatepulley/pkg/settings"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// Names under which the services of a node are registered with the kernel.
const (
	serviceDecisions = "decision.recorder"
	serviceTelemetry = "telemetry.metrics"
	serviceStore     = "config.store"
	servicePeers     = "peer.network"
	serviceSyncer    = "config.syncer"
	serviceNews      = "news.store"
	serviceHostList  = "platform.hosts"
	serviceClaims    = "claims.recorder"
	serviceOwner     = "owner"
	serviceIngress   = "ingress"
	serviceHopServer = "server.hop"
	serviceCallers   = "server.callers"
	serviceAdmin     = "server.admin"
)

// startTimeout bounds the start of all services.
const startTimeout = 10 * time.Second

// Node is one process of the fleet.
type Node struct {
	settings    *settings.Settings
	logger      *slog.Logger
	incarnation uint64
	started     time.Time
	clock       clock.Clock
	kernel      *kernel.Kernel
	life        *lifecycle.Machine

	decisions *decision.Recorder
	telemetry *telemetry.Telemetry
	store     *configstore.Store
	hosts     *fleet.Hosts
	peers     *peer.Service
	syncer    *configstore.Syncer
	suspects  *suspects
	news      *news.Service
	hostList  *hostList
	claims    *claims.Service
	owner     *owner.Owner
	ingress   *ingress.Ingress
	hops      *httpserver.Server
	callers   *httpserver.Server
	admin     *admin.Server
}

// New assembles a node. Nothing runs before Run.
func New(s *settings.Settings, log *telemetry.Log) (*Node, error) {
	tele, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	shares := resources.New(Limits(s), false)
	n := &Node{
		settings:    s,
		logger:      log.Logger(),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		clock:       clock.NewBootTime(),
		kernel:      kernel.New(),
		life:        lifecycle.New(log.Logger()),
		telemetry:   tele,
		decisions:   decision.NewRecorder(log, decision.Options{Kept: shares.Decisions, Lines: shares.Lines}),
		store:       configstore.New(log.Logger()),
	}
	n.suspects = newSuspects(n.clock, tele.Metrics(), shares.Tables)
	n.suspects.publish = n.publishSuspect
	n.news = news.New(news.Options{HostID: s.HostID, Incarnation: n.incarnation, Clock: n.clock, Logger: n.logger, Tables: shares.Tables})
	n.hosts = fleet.New(s.HostID, n.hostsChanged)
	n.peers = n.newPeers(shares)
	n.news.SetNetwork(n.peers)
	n.syncer = n.newSyncer()
	n.hostList = newHostList(n)
	n.claims = n.newClaims()
	n.owner = n.newOwner(shares)
	n.ingress = n.newIngress(shares)
	limits := func(connections int) httpserver.Limits {
		return httpserver.Limits{Heads: shares.Heads, MaxConnections: connections}
	}
	n.hops = httpserver.New(s.HopListen, n.owner.ServeHop, n.logger, limits(shares.Connections.Hops))
	n.callers = httpserver.New(s.Listen, n.ingress.Serve, n.logger, limits(shares.Connections.Callers))
	n.admin = admin.NewServer(s.AdminListen, admin.Sources{
		Status: n, Readiness: n, Explainer: n.decisions, Metrics: tele.Handler(),
	}, n.logger, limits(shares.Connections.Admin))
	answerInquiries(n.peers, n.owner)
	n.subscribe()
	return n, errors.Join(n.register(), n.observeMetrics(), shares.Observe(tele.Metrics().ObserveGauge))
}

// Limits returns the limits of the process of a node.
func Limits(s *settings.Settings) resources.Limits {
	return resources.Limits{MemoryBytes: int64(s.MemoryMB) << 20}
}

func (n *Node) newPeers(shares *resources.Resources) *peer.Service {
	return peer.New(peer.Options{
		HostID:      n.settings.HostID,
		Incarnation: n.incarnation,
		Zone:        n.settings.Zone,
		Listen:      n.settings.PeerListen,

		MaxConnections: shares.Connections.Peers,
		Messages:       shares.Messages,
		Clock:          n.clock,
		Logger:         n.logger,
		Summary:        func() any { return n.syncer.Summary() },
		ObserveSummary: func(address string, raw json.RawMessage) {
			n.observeSummary(address, raw)
		},
		ObserveHost: func(host string, incarnation uint64, _, _ string) {
			n.hosts.ObserveIncarnation(host, incarnation)
		},
		News:    n.news,
		OnPause: n.paused,
	})
}

func (n *Node) newSyncer() *configstore.Syncer {
	options := configstore.Options{
		Store:   n.store,
		Network: n.peers,
		Clock:   n.clock,
		Logger:  n.logger,
		HostID:  n.settings.HostID,
		Zone:    n.settings.Zone,
		Address: n.peers.Address,
		Seeds:   n.settings.SeedPeers,
	}
	if n.settings.ConfigService != "" {
		options.Service = platform.NewClient(n.settings.ConfigService, 0)
	}
	return configstore.NewSyncer(options)
}

func (n *Node) newClaims() *claims.Service {
	return claims.New(claims.Options{
		HostID:      n.settings.HostID,
		Incarnation: n.incarnation,
		Network:     n.peers,
		Current:     n.store.Current,
		Clock:       n.clock,
		Logger:      n.logger,
		Behind:      n.refreshFromPeer,
	})
}

// refreshFromPeer fetches the configuration from a random peer, because another one has shown a newer version.
func (n *Node) refreshFromPeer() {
	if peers := n.peers.Peers(); len(peers) > 0 {
		n.syncer.Refresh(peers[rand.IntN(len(peers))])
	}
}

func (n *Node) newOwner(shares *resources.Resources) *owner.Owner {
	return owner.New(owner.Options{
		Host:        n.settings.HostID,
		Incarnation: n.incarnation,
		Backends:    backends(n.settings),
		Claims:      &claimer{service: n.claims, clock: n.clock, metrics: n.telemetry.Metrics()},
		Quarantine:  n.suspects,
		Decisions:   n.decisions,
		Bodies:      shares.Bodies,
		Tables:      shares.Tables,
		Clock:       n.clock,
		Fresh:       n.fresh,
		LoadChanged: n.publishLoad,
		Paused:      n.paused,
	})
}

func (n *Node) newIngress(shares *resources.Resources) *ingress.Ingress {
	return ingress.New(ingress.Options{
		Host:      n.settings.HostID,
		Zone:      n.settings.Zone,
		Config:    n.current,
		Owner:     n.owner,
		Hosts:     n.hosts,
		Suspects:  n.suspects,
		Inquirer:  &inquirer{host: n.settings.HostID, own: n.owner, network: n.peers},
		Decisions: n.decisions,
		Bodies:    shares.Bodies,
		Metrics:   n.telemetry.Metrics(),
		Logger:    n.logger,
	})
}

// syncerService returns what the kernel starts to keep the configuration in step. A node that runs alone has nothing to
// keep in step with.
func (n *Node) syncerService() any {
	if n.settings.Standalone() {
		return struct{}{}
	}
	return n.syncer
}

func (n *Node) register() error {
	services := []struct {
		name    string
		service any
	}{
		{serviceDecisions, n.decisions},
		{serviceTelemetry, n.telemetry},
		{serviceAdmin, n.admin},
		{serviceStore, n.store},
		{servicePeers, n.peers},
		{serviceSyncer, n.syncerService()},
		{serviceNews, n.news},
		{serviceHostList, n.hostList},
		{serviceClaims, n.claims},
		{serviceOwner, n.owner},
		{serviceIngress, n.ingress},
		{serviceHopServer, n.hops},
		{serviceCallers, n.callers},
	}
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// Run starts the node, serves until the context ends, and then stops without cutting requests.
func (n *Node) Run(ctx context.Context) error {
	n.store.Subscribe(n.adopted)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	n.life.Fire(lifecycle.Started)
	go n.suspects.run(ctx)
	if err := n.join(ctx); err != nil {
		return errors.Join(err, n.stop())
	}
	<-ctx.Done()
	return n.stop()
}

// join obtains the configuration before the node takes work.
func (n *Node) join(ctx context.Context) error {
	if n.settings.Standalone() {
		data, err := config.Canonical(embeddedDocument(n.settings))
		if err != nil {
			return err
		}
		if _, err := n.store.Offer(configstore.SourceBuiltin, data); err != nil {
			return fmt.Errorf("adopt embedded configuration: %w", err)
		}
	} else if err := n.syncer.WaitReady(ctx); err != nil {
		// The node is stopped before it has joined.
		return nil
	}
	n.owner.Open()
	n.life.Fire(lifecycle.Joined)
	n.publish(news.KindHost, n.settings.HostID, news.StateServing, nil)
	return nil
}

// current returns the configuration in force once the node has joined.
func (n *Node) current() *config.Snapshot {
	if state := n.State(); state == lifecycle.Serving || state == lifecycle.Draining {
		return n.store.Current()
	}
	return nil
}

// fresh reports whether the configuration in force may be acted on after a pause. A node that runs alone has nobody to
// ask, and nobody who could know better.
func (n *Node) fresh() bool {
	return n.settings.Standalone() || n.syncer.Fresh()
}

// adopted applies a new configuration to the parts of the node.
func (n *Node) adopted(_, snapshot *config.Snapshot) {
	n.hosts.Update(snapshot)
	n.peers.SetDirectory(n.hosts.Members())
	n.owner.Update(snapshot)
	n.ingress.Update(snapshot)
	n.suspects.update(snapshot)
}

// hostsChanged follows a change of a host's leaving state.
func (n *Node) hostsChanged() {
	n.peers.SetDirectory(n.hosts.Members())
	n.owner.Drain(n.hosts.Leaving(n.settings.HostID))
	n.ingress.RefreshAvailability()
}

// paused follows a pause of the process: nothing that may not be repeated is run before the configuration was compared
// with a peer's.
func (n *Node) paused(gap time.Duration) {
	n.telemetry.Metrics().Paused()
	n.syncer.NotePause(gap)
}

func versionText(v config.Version) string {
	return fmt.Sprintf("%d.%d", v.Epoch, v.Sequence)
}
