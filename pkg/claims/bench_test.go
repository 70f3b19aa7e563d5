package claims_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"agatepulley.example/agatepulley/core/once"
	"agatepulley.example/agatepulley/pkg/claims"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/peer"
)

// late is a clock that can be set ahead, so that a benchmark need not wait for the recorders of a new fleet.
type late struct {
	start time.Time
	ahead time.Duration
}

func (l *late) Now() time.Duration { return time.Since(l.start) + l.ahead }

// Reports the time of a claim and the bytes of its calls at the claiming node, over TCP on loopback.
func BenchmarkClaimOverTCP(b *testing.B) {
	for _, members := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("recorders=%d", members), func(b *testing.B) { benchmarkClaim(b, members) })
	}
}

func benchmarkClaim(b *testing.B, members int) {
	time0 := &late{start: time.Now()}
	d := &config.Document{Services: []config.Service{{Name: "desk", Claims: config.ClaimSettings{Generation: 1}}}}
	var snapshot *config.Snapshot
	var nodes []*claims.Service
	var networks []*peer.Service
	for i := range members + 1 {
		network := peer.New(peer.Options{HostID: hostID(i), Listen: "127.0.0.1:0", ExchangeInterval: -1})
		if err := network.Start(b.Context()); err != nil {
			b.Fatal(err)
		}
		defer network.Stop(context.Background())
		host, port, _ := net.SplitHostPort(network.Address())
		number, _ := strconv.Atoi(port)
		d.Hosts = append(d.Hosts, config.Host{ID: hostID(i), Address: host, PeerPort: number})
		if i > 0 {
			d.Services[0].Claims.Recorders = append(d.Services[0].Claims.Recorders, hostID(i))
		}
		current := func() *config.Snapshot { return snapshot }
		nodes = append(nodes, claims.New(claims.Options{
			HostID: hostID(i), Incarnation: 1, Network: network, Current: current, Clock: time0, Capacity: 1 << 22,
		}))
		networks = append(networks, network)
	}
	snapshot = config.NewSnapshot(d, "")
	time0.ahead = 2 * once.Retention(config.DefaultClaimWindow)
	before := networks[0].Stats()
	claimed := 0
	for b.Loop() {
		id := strconv.Itoa(claimed)
		verdict := nodes[0].Claim(b.Context(), claims.Request{Service: "desk", Key: id, Attempt: id})
		if !verdict.Granted {
			b.Fatalf("claim %d: %+v", claimed, verdict)
		}
		claimed++
	}
	after := networks[0].Stats()
	bytes := after.Sent.Bytes + after.Received.Bytes - before.Sent.Bytes - before.Received.Bytes
	b.ReportMetric(float64(bytes)/float64(claimed), "wire-B/op")
}
