package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/peer"
)

// hangGuard ends a test that waits for something that never happens. No verdict depends on it.
const hangGuard = 30 * time.Second

func start(t *testing.T, options peer.Options) *peer.Service {
	t.Helper()
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.ExchangeInterval == 0 {
		options.ExchangeInterval = -1
	}
	s := peer.New(options)
	g := gomega.NewWithT(t)
	g.Expect(s.Start(t.Context())).To(gomega.Succeed())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
		defer cancel()
		g.Expect(s.Stop(ctx)).To(gomega.Succeed())
	})
	return s
}

func echo(_ context.Context, from string, params json.RawMessage) (any, error) {
	return map[string]any{"from": from, "params": params}, nil
}

// Guards against handlers that see the source port instead of the address at which the caller can be reached, and
// against remote errors that look like a lost connection.
func TestCallCarriesParametersCallerAndErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	server := start(t, peer.Options{})
	server.Handle("test.echo", echo)
	server.Handle("test.fail", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, errors.New("no such thing")
	})
	client := start(t, peer.Options{})
	var got struct {
		From   string
		Params []int
	}
	g.Expect(client.Call(t.Context(), server.Address(), "test.echo", []int{1, 2}, &got)).To(gomega.Succeed())
	g.Expect(got.From).To(gomega.Equal(client.Address()))
	g.Expect(got.Params).To(gomega.Equal([]int{1, 2}))

	var remote *peer.RemoteError
	err := client.Call(t.Context(), server.Address(), "test.fail", nil, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(remote.Message).To(gomega.Equal("no such thing"))
	g.Expect(errors.Is(err, peer.ErrUnreachable)).To(gomega.BeFalse())
	err = client.Call(t.Context(), server.Address(), "test.unknown", nil, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())

	g.Expect(server.Stats().Methods["test.echo"].CallsIn.Messages).To(gomega.BeEquivalentTo(1))
	g.Expect(client.Stats().Connections).To(gomega.Equal(1), "calls share a connection")
}

// Guards against a message above the limit that is sent or that breaks the connection for other calls.
func TestOversizedMessagesFailAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	server := start(t, peer.Options{MessageLimit: 1024})
	server.Handle("test.echo", echo)
	server.Handle("test.large", func(context.Context, string, json.RawMessage) (any, error) {
		return strings.Repeat("x", 2000), nil
	})
	client := start(t, peer.Options{MessageLimit: 1024})
	large := strings.Repeat("x", 2000)
	err := client.Call(t.Context(), server.Address(), "test.echo", large, nil)
	g.Expect(errors.Is(err, peer.ErrTooLarge)).To(gomega.BeTrue())
	var remote *peer.RemoteError
	err = client.Call(t.Context(), server.Address(), "test.large", nil, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(client.Call(t.Context(), server.Address(), "test.echo", 1, nil)).To(gomega.Succeed())
	g.Expect(client.Stats().Dials).To(gomega.BeEquivalentTo(1))
}

// Guards against a peer that handles any number of calls of one connection at once.
func TestHandlersOfAConnectionAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 3
	server := start(t, peer.Options{HandlerLimit: limit})
	var running atomic.Int32
	most := make(chan int32, 100)
	release := make(chan struct{})
	entered := make(chan struct{}, limit)
	server.Handle("test.wait", func(context.Context, string, json.RawMessage) (any, error) {
		most <- running.Add(1)
		defer running.Add(-1)
		select {
		case entered <- struct{}{}:
		default:
		}
		<-release
		return nil, nil
	})
	client := start(t, peer.Options{CallTimeout: hangGuard})
	const calls = 20
	results := make(chan error, calls)
	for range calls {
		go func() { results <- client.Call(t.Context(), server.Address(), "test.wait", nil, nil) }()
	}
	for range limit {
		<-entered
	}
	close(release)
	for range calls {
		g.Expect(<-results).To(gomega.Succeed())
	}
	for range calls {
		g.Expect(<-most).To(gomega.BeNumerically("<=", limit))
	}
}

// Guards against a client that stays on a connection that no longer carries anything, or that reports a peer which
// never answers as anything but a timeout.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		for err == nil {
			_, err = connection.Read(buffer)
		}
		close(closed)
	}()
	client := start(t, peer.Options{CallTimeout: 50 * time.Millisecond})
	err = client.Call(t.Context(), listener.Addr().String(), "test.echo", 1, nil)
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
	select {
	case <-closed:
	case <-time.After(hangGuard):
		t.Fatal("the silent connection was kept")
	}
}

// Guards against a client that does not reconnect after the peer restarted on the same address.
func TestCallReconnectsAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	first := peer.New(peer.Options{Listen: "127.0.0.1:0", ExchangeInterval: -1})
	first.Handle("test.echo", echo)
	g.Expect(first.Start(t.Context())).To(gomega.Succeed())
	address := first.Address()
	client := start(t, peer.Options{})
	g.Expect(client.Call(t.Context(), address, "test.echo", 1, nil)).To(gomega.Succeed())
	g.Expect(first.Stop(t.Context())).To(gomega.Succeed())
	g.Eventually(func() error { return client.Call(t.Context(), address, "test.echo", 1, nil) }, hangGuard).
		Should(gomega.MatchError(peer.ErrUnreachable))

	second := start(t, peer.Options{Listen: address})
	second.Handle("test.echo", echo)
	g.Eventually(func() error { return client.Call(t.Context(), address, "test.echo", 1, nil) }, hangGuard).
		Should(gomega.Succeed())
}

// Guards against an exchange that loses the summary or the identity of one of the two sides.
func TestExchangeInformsBothSides(t *testing.T) {
	g := gomega.NewWithT(t)
	type seen struct{ address, host, summary string }
	record := func(to chan seen) (func(string, uint64, string, string), func(string, json.RawMessage)) {
		var host string
		return func(id string, _ uint64, _, _ string) { host = id },
			func(address string, raw json.RawMessage) { to <- seen{address, host, string(raw)} }
	}
	atA, atB := make(chan seen, 4), make(chan seen, 4)
	hostA, summaryA := record(atA)
	hostB, summaryB := record(atB)
	a := start(t, peer.Options{HostID: "a", Summary: func() any { return 1 }, ObserveHost: hostA, ObserveSummary: summaryA})
	b := start(t, peer.Options{HostID: "b", Summary: func() any { return 2 }, ObserveHost: hostB, ObserveSummary: summaryB})
	g.Expect(a.Exchange(t.Context(), b.Address())).To(gomega.Succeed())
	g.Expect(<-atA).To(gomega.Equal(seen{b.Address(), "b", "2"}))
	g.Expect(<-atB).To(gomega.Equal(seen{a.Address(), "a", "1"}))
	a.SetDirectory([]membership.Member{{ID: "b", Address: b.Address()}})
	g.Expect(a.Peers()).To(gomega.Equal([]string{b.Address()}))
}
