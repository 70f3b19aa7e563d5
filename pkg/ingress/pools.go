package ingress

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	hopConnectTimeout = 300 * time.Millisecond
	// hopIdleTimeout is short: a new connection costs about 1 ms, and each idle one costs a ping a second.
	hopIdleTimeout = 5 * time.Second
	hopMaxIdle     = 32
	// hopPingTimeout covers the round trip between regions several times.
	hopPingTimeout = 500 * time.Millisecond
)

// pools holds the connections to the owners of other hosts. It is safe for concurrent use.
type pools struct {
	stats transport.Stats

	mu        sync.RWMutex
	byAddress map[string]*transport.Pool
}

func newPools() *pools {
	return &pools{byAddress: make(map[string]*transport.Pool)}
}

func (p *pools) get(address string) *transport.Pool {
	p.mu.RLock()
	pool := p.byAddress[address]
	p.mu.RUnlock()
	if pool != nil {
		return pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool = p.byAddress[address]; pool == nil {
		pool = transport.NewPool(address, hopOptions(address), &p.stats)
		p.byAddress[address] = pool
	}
	return pool
}

func hopOptions(address string) transport.Options {
	return transport.Options{
		ConnectTimeout: hopConnectTimeout,
		IdleTimeout:    hopIdleTimeout,
		MaxIdle:        hopMaxIdle,
		Ping:           func() *transport.Request { return pingRequest(address) },
		PingTimeout:    hopPingTimeout,
	}
}

func pingRequest(address string) *transport.Request {
	head := &protocol.Request{}
	head.Header.SetMethod("GET")
	head.Header.SetRequestURI(hop.PingPath)
	head.Header.SetHost(address)
	return &transport.Request{Head: head}
}

func (p *pools) maintain(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.byAddress {
		pool.Maintain(now)
	}
}

func (p *pools) close() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.byAddress {
		pool.Close()
	}
}
