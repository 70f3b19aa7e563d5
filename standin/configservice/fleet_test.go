package configservice_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
	"agatepulley.example/agatepulley/pkg/peer"
	"agatepulley.example/agatepulley/pkg/platform"
	"agatepulley.example/agatepulley/standin/configservice"
)

// member is the configuration part of a node on real connections.
type member struct {
	store  *configstore.Store
	peers  *peer.Service
	syncer *configstore.Syncer
}

// startMember starts a node without a configuration service if client is nil.
func startMember(t *testing.T, g *gomega.WithT, id string, client *platform.Client, seeds ...string) *member {
	m := &member{store: configstore.New(slog.New(slog.DiscardHandler))}
	ticks := clock.NewMonotonic()
	m.peers = peer.New(peer.Options{
		HostID: id, Zone: "z1", Listen: "127.0.0.1:0", Clock: ticks,
		Summary:        func() any { return m.syncer.Summary() },
		ObserveSummary: func(address string, raw json.RawMessage) { m.syncer.ObserveRaw(address, raw) },
	})
	options := configstore.Options{
		Store: m.store, Network: m.peers, Clock: ticks, Logger: slog.New(slog.DiscardHandler),
		HostID: id, Zone: "z1", Address: m.peers.Address, Seeds: seeds,
	}
	if client != nil {
		options.Service = client
	}
	m.syncer = configstore.NewSyncer(options)
	g.Expect(m.peers.Start(context.Background())).To(gomega.Succeed())
	g.Expect(m.syncer.Start(context.Background())).To(gomega.Succeed())
	t.Cleanup(func() {
		_ = m.syncer.Stop(context.Background())
		_ = m.peers.Stop(context.Background())
	})
	return m
}

func publish(g *gomega.WithT, service *configservice.Service, sequence uint64) {
	document := &config.Document{Format: config.Format, Version: config.Version{Epoch: 1, Sequence: sequence}}
	for i := range 30_000 {
		workspace := config.Workspace{ID: fmt.Sprintf("workspace-%06d", i), MaxInFlight: int(sequence)}
		document.Workspaces = append(document.Workspaces, workspace)
	}
	document.Hosts = []config.Host{{ID: "a", Address: "127.0.0.1", Zone: "z1", IngressPort: 1, HopPort: 2, PeerPort: 3}}
	values, err := config.Values(document)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, value := range values {
		service.Put(value.Key, value.Data)
	}
}

// Guards against messages of the configuration protocol that do not survive real connections, such as pieces that
// exceed a message limit: one node reads the service, another has it only from its peer.
func TestConfigurationTravelsOverRealConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client, _ := start(t)
	publish(g, service, 1)
	a := startMember(t, g, "a", client)
	g.Expect(a.syncer.WaitReady(context.Background())).To(gomega.Succeed())
	b := startMember(t, g, "b", nil, a.peers.Address())
	g.Expect(b.syncer.WaitReady(context.Background())).To(gomega.Succeed())
	g.Expect(b.store.Current().Digest()).To(gomega.Equal(a.store.Current().Digest()))
	a.peers.SetDirectory([]membership.Member{{ID: "b", Zone: "z1", Address: b.peers.Address()}})
	publish(g, service, 2)
	adopted := func() uint64 { return b.store.Current().Version().Sequence }
	g.Eventually(adopted, hangGuard).Should(gomega.Equal(uint64(2)))
	g.Expect(b.store.Current().Digest()).To(gomega.Equal(a.store.Current().Digest()))
}
