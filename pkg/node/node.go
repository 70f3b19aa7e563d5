package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/qmuntal/stateless"

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
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/peer"
	"agatepulley.example/agatepulley/pkg/settings"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// Names under which the services of a node are registered with the kernel.
const (
	serviceDecisions = "decision.recorder"
	serviceTelemetry = "telemetry.metrics"
	serviceStore     = "config.store"
	servicePeers     = "peer.network"
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
	life        *stateless.StateMachine

	decisions *decision.Recorder
	telemetry *telemetry.Telemetry
	store     *configstore.Store
	hosts     *fleet.Hosts
	peers     *peer.Service
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
	n := &Node{
		settings:    s,
		logger:      log.Logger(),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		clock:       clock.NewMonotonic(),
		kernel:      kernel.New(),
		life:        newLifeCycle(),
		telemetry:   tele,
		decisions:   decision.NewRecorder(log),
		store:       configstore.New(log.Logger()),
	}
	n.hosts = fleet.New(s.HostID, n.hostsChanged)
	n.peers = n.newPeers()
	n.claims = n.newClaims()
	n.owner = n.newOwner()
	n.ingress = n.newIngress()
	n.hops = httpserver.New(s.HopListen, n.owner.ServeHop)
	n.callers = httpserver.New(s.Listen, n.ingress.Serve)
	n.admin = admin.NewServer(s.AdminListen, admin.Sources{
		Status: n, Readiness: n, Explainer: n.decisions, Metrics: tele.Handler(),
	}, n.logger)
	answerInquiries(n.peers, n.owner)
	return n, n.register()
}

func (n *Node) newPeers() *peer.Service {
	return peer.New(peer.Options{
		HostID:      n.settings.HostID,
		Incarnation: n.incarnation,
		Zone:        n.settings.Zone,
		Listen:      n.settings.PeerListen,
		Clock:       n.clock,
		Logger:      n.logger,
		Summary:     n.summary,
		ObserveSummary: func(address string, raw json.RawMessage) {
			n.observeSummary(address, raw)
		},
		ObserveHost: func(host string, incarnation uint64, _, _ string) {
			n.hosts.ObserveIncarnation(host, incarnation)
		},
		OnPause: n.paused,
	})
}

func (n *Node) newClaims() *claims.Service {
	return claims.New(claims.Options{
		HostID:      n.settings.HostID,
		Incarnation: n.incarnation,
		Network:     n.peers,
		Current:     n.store.Current,
		Clock:       n.clock,
		Logger:      n.logger,
	})
}

func (n *Node) newOwner() *owner.Owner {
	return owner.New(owner.Options{
		Host:        n.settings.HostID,
		Incarnation: n.incarnation,
		Backends:    backends(n.settings),
		Claims:      &claimer{service: n.claims, clock: n.clock, metrics: n.telemetry.Metrics()},
		Decisions:   n.decisions,
		Clock:       n.clock,
	})
}

func (n *Node) newIngress() *ingress.Ingress {
	return ingress.New(ingress.Options{
		Host:      n.settings.HostID,
		Zone:      n.settings.Zone,
		Config:    n.store.Current,
		Owner:     n.owner,
		Hosts:     n.hosts,
		Inquirer:  &inquirer{host: n.settings.HostID, own: n.owner, network: n.peers},
		Decisions: n.decisions,
		Metrics:   n.telemetry.Metrics(),
		Logger:    n.logger,
	})
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
	n.fire(triggerStarted)
	if err := n.join(); err != nil {
		return err
	}
	<-ctx.Done()
	return n.stop()
}

// join obtains the configuration before the node takes work.
func (n *Node) join() error {
	if n.settings.Standalone() {
		data, err := config.Canonical(embeddedDocument(n.settings))
		if err != nil {
			return err
		}
		if _, err := n.store.Offer(configstore.SourceBuiltin, data); err != nil {
			return fmt.Errorf("adopt embedded configuration: %w", err)
		}
	}
	return nil
}

// adopted applies a new configuration to the parts of the node.
func (n *Node) adopted(_, snapshot *config.Snapshot) {
	n.hosts.Update(snapshot)
	n.peers.SetDirectory(n.hosts.Members())
	n.owner.Update(snapshot)
	n.ingress.Update(snapshot)
	n.fire(triggerJoined)
}

// hostsChanged follows a change of a host's leaving state.
func (n *Node) hostsChanged() {
	n.peers.SetDirectory(n.hosts.Members())
	n.ingress.Refresh()
}

// paused follows a pause of the process: nothing that may not be repeated is run before the configuration was compared
// with a peer's.
func (n *Node) paused(gap time.Duration) {
	n.logger.Warn("process was paused", "gap_ms", gap.Milliseconds())
	n.telemetry.Metrics().Paused()
	n.owner.Hold()
}

func versionText(v config.Version) string {
	return fmt.Sprintf("%d.%d", v.Epoch, v.Sequence)
}
