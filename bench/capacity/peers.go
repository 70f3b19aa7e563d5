package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/fleet"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/news"
	"agatepulley.example/agatepulley/pkg/peer"
)

const (
	exchangeCalls = 2000
	// dialedPeers is the number of different peers of one timed run with new connections.
	dialedPeers = 200
)

// summaryMessage is the configuration summary of an exchange with the age of the latest read.
type summaryMessage struct {
	configstate.Mark
	ReadAgeMS int64 `json:"read_age_ms"`
}

// endpointNews has the fields that pkg/node sends with the state of an endpoint.
type endpointNews struct {
	Service string   `json:"service"`
	Load    hop.Load `json:"load"`
}

// newsSource supplies a fixed number of news items.
type newsSource int

// Batch implements peer.NewsHook.
func (n newsSource) Batch(limit int) json.RawMessage {
	items := make([]news.Item, min(int(n), limit))
	data, err := json.Marshal(endpointNews{Service: serviceName(0), Load: hop.Load{State: hop.StateCold, Slots: 4, Incarnation: 1_796_362_600_000_000_000}})
	if err != nil {
		return nil
	}
	for i := range items {
		items[i] = news.Item{
			Kind: news.KindEndpoint, Subject: endpointID(i), Origin: hostID(i), Incarnation: 1_796_362_600_000_000_000,
			Sequence: uint64(i + 1), State: news.StateCold, Data: data, AgeMS: 123,
		}
	}
	text, err := json.Marshal(items)
	if err != nil {
		return nil
	}
	return text
}

// Receive implements peer.NewsHook.
func (n newsSource) Receive(_ string, raw json.RawMessage) {
	var items []news.Item
	_ = json.Unmarshal(raw, &items)
}

func startPeer(ctx context.Context, items int) (*peer.Service, error) {
	summary := summaryMessage{Mark: configstate.Mark{
		Version: config.Version{Epoch: 1, Sequence: 123_456}, Digest: config.DigestBytes([]byte("document")),
	}, ReadAgeMS: 812}
	p := peer.New(peer.Options{
		HostID: hostID(items), Incarnation: uint64(time.Now().UnixNano()), Zone: zoneName(1), Listen: "127.0.0.1:0",
		ExchangeInterval: -1, Summary: func() any { return summary }, News: newsSource(items),
	})
	return p, p.Start(ctx)
}

// measurePeers measures exchanges by the number of news items, on open and on new connections, and the choice of a peer.
func measurePeers(ctx context.Context, o *options) error {
	var sizes []point
	for _, items := range []int{0, 4, 8, 16} {
		if err := measureExchange(ctx, o, items, &sizes); err != nil {
			return err
		}
	}
	if err := fitted("bytes per exchange by news items, both directions", sizes, 16, unitBytes, noTarget); err != nil {
		return err
	}
	if err := measureDials(ctx, o); err != nil {
		return err
	}
	if err := measurePicks(o); err != nil {
		return err
	}
	return measureAddressLookup(o)
}

func measureExchange(ctx context.Context, o *options, items int, sizes *[]point) error {
	server, err := startPeer(ctx, items)
	defer stopPeers(ctx, server)
	if err != nil {
		return err
	}
	client, err := startPeer(ctx, items)
	defer stopPeers(ctx, client)
	if err != nil {
		return err
	}
	if err := client.Exchange(ctx, server.Address()); err != nil {
		return err
	}
	before := client.Stats()
	median, least, most, err := o.median(func() error {
		for range exchangeCalls {
			if err := client.Exchange(ctx, server.Address()); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	after := client.Stats()
	bytes := float64(after.Sent.Bytes + after.Received.Bytes - before.Sent.Bytes - before.Received.Bytes)
	*sizes = append(*sizes, point{float64(items), bytes / float64(o.Repeat*exchangeCalls)})
	name := fmt.Sprintf("processor time per exchange with %d news items, both ends", items)
	figure(name, median/exchangeCalls/1e3, unitMicros, noTarget)
	figure(name+" least", least/exchangeCalls/1e3, unitMicros, noTarget)
	figure(name+" most", most/exchangeCalls/1e3, unitMicros, noTarget)
	return nil
}

// measureDials measures exchanges that open a connection, which nearly all do in a large fleet.
func measureDials(ctx context.Context, o *options) error {
	var servers []*peer.Service
	defer func() { stopPeers(ctx, servers...) }()
	for range dialedPeers {
		server, err := startPeer(ctx, 0)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	var bytes uint64
	median, least, most, err := o.median(func() error {
		client, err := startPeer(ctx, 0)
		defer stopPeers(ctx, client)
		if err != nil {
			return err
		}
		for _, server := range servers {
			if err := client.Exchange(ctx, server.Address()); err != nil {
				return err
			}
		}
		stats := client.Stats()
		bytes = stats.Sent.Bytes + stats.Received.Bytes
		return nil
	})
	if err != nil {
		return err
	}
	figure("bytes per exchange on a new connection, without TCP/IP", float64(bytes)/dialedPeers, unitBytes, noTarget)
	figure("processor time per exchange on a new connection, both ends", median/dialedPeers/1e3, unitMicros, noTarget)
	figure("processor time per exchange on a new connection least", least/dialedPeers/1e3, unitMicros, noTarget)
	figure("processor time per exchange on a new connection most", most/dialedPeers/1e3, unitMicros, noTarget)
	return nil
}

// measurePicks measures the choice of a random peer, which copies the list of hosts.
func measurePicks(o *options) error {
	var points []point
	for _, divisor := range divisors {
		list := make([]membership.Member, fullScale.hosts/divisor)
		for i := range list {
			list[i] = membership.Member{ID: hostID(i), Address: "10.0.0.1:7002", Zone: zoneName(i)}
		}
		const rounds = 500
		random := newRandom(o, divisor)
		median, _, _, err := o.median(func() error {
			for range rounds {
				membership.PickPeer(random, zoneName(0), list)
			}
			return nil
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(len(list)), median / rounds / 1e3})
	}
	return fitted("processor time to choose a peer by hosts", points, float64(fullScale.hosts), unitMicros, noTarget)
}

// measureAddressLookup measures how a node finds the host that sent an exchange.
func measureAddressLookup(o *options) error {
	var points []point
	for _, divisor := range divisors {
		s := scale{hosts: fullScale.hosts / divisor, services: 1, endpoints: 1, routes: 1}
		snapshot, err := config.FromDocument(newDocument(s))
		if err != nil {
			return err
		}
		hosts := fleet.New(hostID(0), func() {})
		hosts.Update(snapshot)
		const rounds = 100
		random := newRandom(o, divisor)
		median, _, _, err := o.median(func() error {
			for range rounds {
				address := snapshot.Host(hostID(random.IntN(s.hosts))).PeerAddress()
				if _, ok := hosts.IDByPeerAddress(address); !ok {
					return fmt.Errorf("no host has the address %s", address)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(s.hosts), median / rounds / 1e3})
	}
	return fitted("processor time to find the sender of an exchange by hosts", points, float64(fullScale.hosts), unitMicros, noTarget)
}

func stopPeers(ctx context.Context, peers ...*peer.Service) {
	for _, p := range peers {
		if p != nil {
			_ = p.Stop(ctx)
		}
	}
}

// setAddress enters the peer address of the n-th host. The other listeners are not used but must differ.
func setAddress(host *config.Host, address string, n int) error {
	ip, text, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("split %q: %w", address, err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("port of %q: %w", address, err)
	}
	host.Address, host.PeerPort = ip, port
	host.IngressPort, host.HopPort = 2*n+1, 2*n+2
	return nil
}
