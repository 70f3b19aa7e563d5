package ingress

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	hopConnectTimeout = 300 * time.Millisecond
	// hopIdleTimeout is short: a new connection costs about 1 ms, and one that is not used may go silent unnoticed. Pings
	// on idle connections cost 114 to 251 KB/s per node at 4,200 nodes, and an inquiry bounds the cost of a silent one.
	hopIdleTimeout = 5 * time.Second
	hopMaxIdle     = 32
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
		pool = transport.NewPool(address, hopOptions(), &p.stats)
		p.byAddress[address] = pool
	}
	return pool
}

func hopOptions() transport.Options {
	return transport.Options{
		ConnectTimeout: hopConnectTimeout,
		IdleTimeout:    hopIdleTimeout,
		MaxIdle:        hopMaxIdle,
	}
}

func (p *pools) maintain(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.byAddress {
		pool.CloseExpired(now)
	}
}

func (p *pools) close() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pool := range p.byAddress {
		pool.Close()
	}
}
