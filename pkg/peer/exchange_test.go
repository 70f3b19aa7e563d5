package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/news"
	"agatepulley.example/agatepulley/pkg/peer"
)

// startWithNews returns a node whose exchange carries a configuration summary and news, as in a full node.
func startWithNews(t *testing.T, host string, clock *manual) (*peer.Service, *news.Service) {
	items := news.New(news.Options{HostID: host, Incarnation: uint64(time.Now().UnixNano()), Clock: clock})
	summary := map[string]any{"epoch": 3, "sequence": 123456, "digest": strings.Repeat("a", 64), "age_ms": 1500}
	node := start(t, peer.Options{
		HostID:      host,
		Incarnation: uint64(time.Now().UnixNano()),
		Zone:        "region-1-zone-2",
		Summary:     func() any { return summary },
		News:        items,
	})
	return node, items
}

type manual struct{ now atomic.Int64 }

func (m *manual) Now() time.Duration { return time.Duration(m.now.Load()) }

// Guards against exchanges that exceed the control-plane budget of 5 KB/s: each node has one outgoing and one incoming
// exchange a second.
func TestExchangeStaysWithinTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := &manual{}
	a, newsA := startWithNews(t, "host-0001.zone-2.region-1", clock)
	b, newsB := startWithNews(t, "host-4200.zone-9.region-3", clock)
	publish := func(items *news.Service) {
		for i := range 100 {
			subject := fmt.Sprintf("order-desk-endpoint-%05d", i)
			g.Expect(items.Publish(news.KindEndpoint, subject, news.StateServing, nil)).To(gomega.Succeed())
		}
	}
	publish(newsA)
	publish(newsB)
	bytes := func() uint64 {
		before := a.Stats()
		g.Expect(a.Exchange(t.Context(), b.Address())).To(gomega.Succeed())
		after := a.Stats()
		return after.Sent.Bytes + after.Received.Bytes - before.Sent.Bytes - before.Received.Bytes
	}
	bytes() // The first one also carries the hello.
	busy := bytes()
	clock.now.Store(int64(time.Minute))
	idle := bytes()
	t.Logf("bytes of one exchange in both directions: %d with recent items, %d without", busy, idle)
	const exchangesPerSecond, budget = 2, 5000
	g.Expect(exchangesPerSecond * busy).To(gomega.BeNumerically("<", budget))
	g.Expect(idle).To(gomega.BeNumerically("<", busy))
}

// Guards against a node that never exchanges by itself, and against connections that stay open without use.
func TestPeriodicExchangeAndIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	met := make(chan string, 16)
	b := start(t, peer.Options{HostID: "b"})
	a := start(t, peer.Options{
		HostID:           "a",
		ExchangeInterval: 10 * time.Millisecond,
		IdleTimeout:      20 * time.Millisecond,
		ObserveHost:      func(host string, _ uint64, _, _ string) { met <- host },
	})
	a.SetDirectory([]membership.Member{{ID: "b", Address: b.Address()}})
	select {
	case host := <-met:
		g.Expect(host).To(gomega.Equal("b"))
	case <-time.After(hangGuard):
		t.Fatal("no exchange")
	}
	a.SetDirectory(nil)
	g.Eventually(func() int { return a.Stats().Connections }, hangGuard).Should(gomega.BeZero())
}

// Guards against a pause of the process that the node does not notice.
func TestPauseIsReported(t *testing.T) {
	clock := &manual{}
	gaps := make(chan time.Duration, 100)
	start(t, peer.Options{Clock: clock, OnPause: func(gap time.Duration) { gaps <- gap }})
	guard := time.After(hangGuard)
	const jump = 5 * time.Second
	for {
		// The first jumps may come before the detector has started.
		clock.now.Add(int64(jump))
		select {
		case gap := <-gaps:
			gomega.NewWithT(t).Expect(gap).To(gomega.BeNumerically(">=", jump))
			return
		case <-time.After(100 * time.Millisecond):
		case <-guard:
			t.Fatal("the pause was not reported")
		}
	}
}

// Reports the cost of a call between two nodes over loopback.
func BenchmarkCall(b *testing.B) {
	server := peer.New(peer.Options{Listen: "127.0.0.1:0", ExchangeInterval: -1})
	server.Handle("test.echo", func(_ context.Context, _ string, params json.RawMessage) (any, error) { return params, nil })
	client := peer.New(peer.Options{Listen: "127.0.0.1:0", ExchangeInterval: -1})
	for _, s := range []*peer.Service{server, client} {
		if err := s.Start(b.Context()); err != nil {
			b.Fatal(err)
		}
		defer s.Stop(context.Background())
	}
	message := map[string]string{"service": "order-desk", "key": strings.Repeat("k", 22), "attempt": strings.Repeat("a", 22)}
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Call(b.Context(), server.Address(), "test.echo", message, nil); err != nil {
			b.Fatal(err)
		}
	}
}
