package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/httpserver"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	pingRounds = 5
	// pingWait is far above the time in which all pings of a round are answered.
	pingWait = 500 * time.Millisecond
)

// measureConnections measures the pings on idle inner connections, by the number of connections. Both ends are in this
// process.
func measureConnections(ctx context.Context, _ *options) error {
	ports, err := processes.FreePorts(1)
	if err != nil {
		return err
	}
	server := httpserver.New(processes.Address(ports[0]), owner.New(owner.Options{Host: hostID(0)}).ServeHop)
	if err := server.Start(ctx); err != nil {
		return err
	}
	defer func() { _ = server.Stop(ctx) }()
	var times, sizes, heaps []point
	for _, connections := range []int{100, 300, 900} {
		cost, err := measurePings(ctx, processes.Address(ports[0]), connections)
		if err != nil {
			return err
		}
		times = append(times, point{float64(connections), cost.processor / 1e3})
		sizes = append(sizes, point{float64(connections), cost.bytes})
		heaps = append(heaps, point{float64(connections), cost.heap})
	}
	if err := fitted("processor time of a round of pings by connections, both ends", times, 900, unitMicros, noTarget); err != nil {
		return err
	}
	if err := fitted("bytes of a round of pings by connections, one end", sizes, 900, unitBytes, targetRate); err != nil {
		return err
	}
	return fitted("heap of idle connections, both ends", heaps, 900, unitBytes, noTarget)
}

// pingCost is the processor time in nanoseconds and the bytes of a round of pings, and the heap of the connections.
type pingCost struct {
	processor, bytes, heap float64
}

func measurePings(ctx context.Context, address string, connections int) (pingCost, error) {
	var cost pingCost
	get := func(uri string) *transport.Request {
		head := &protocol.Request{}
		head.Header.SetMethod(http.MethodGet)
		head.Header.SetRequestURI(uri)
		head.Header.SetHost(address)
		return &transport.Request{Head: head}
	}
	ping := func() *transport.Request { return get(hop.PingPath) }
	// A request that is no attempt is answered with a body of known length, after which the connection stays open.
	open := func() *transport.Request { return get("/") }
	before := liveHeap()
	stats := &transport.Stats{}
	pool := transport.NewPool(address, transport.Options{
		ConnectTimeout: time.Second, IdleTimeout: time.Hour, MaxIdle: connections, Ping: ping, PingTimeout: 5 * time.Second,
	}, stats)
	defer pool.Close()
	// pkg/transport closes a connection after its first ping, since an answer with status 204 has no length, so that each
	// round needs new connections.
	var processor, moved []float64
	for range pingRounds {
		if err := openConnections(ctx, pool, open, connections); err != nil {
			return cost, err
		}
		cost.heap = liveHeap() - before
		first, err := readFields(os.Getpid(), "io")
		if err != nil {
			return cost, err
		}
		used, err := processorTimeOf(func() error {
			pool.Maintain(time.Now())
			time.Sleep(pingWait)
			return nil
		})
		if err != nil {
			return cost, err
		}
		last, err := readFields(os.Getpid(), "io")
		if err != nil {
			return cost, err
		}
		processor = append(processor, float64(used))
		moved = append(moved, last["rchar"]+last["wchar"]-first["rchar"]-first["wchar"])
	}
	if silent := stats.Silent.Load(); silent > 0 {
		return cost, fmt.Errorf("%d pings were not answered", silent)
	}
	// Each byte is written at one end and read at the other. One end sends the pings and receives the answers, which
	// are half of these calls.
	bytes, _, _ := spread(moved)
	cost.bytes = bytes / 2
	cost.processor, _, _ = spread(processor)
	return cost, nil
}

// openConnections opens connections by sending all requests before the first answer is read.
func openConnections(ctx context.Context, pool *transport.Pool, request func() *transport.Request, connections int) error {
	var sent []*transport.Pending
	for range connections {
		pending, err := pool.Send(ctx, request())
		if err != nil {
			return err
		}
		sent = append(sent, pending)
	}
	for _, pending := range sent {
		response, err := pending.Await()
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		response.Close()
	}
	return nil
}
