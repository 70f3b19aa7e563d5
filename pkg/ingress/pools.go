package ingress

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/transport"
)

const (
	hopConnectTimeout = 300 * time.Millisecond
	// hopIdleTimeout is short because a new connection costs only about 1 ms, while an idle one may break without being
	// closed. Detecting that by pings would cost 114 to 251 KB/s per node at 4,200 nodes. If a request is sent on a broken
	// connection, querying the owner for the attempt's state bounds the delay.
	hopIdleTimeout = 5 * time.Second
	// hopMaxIdle is the largest number of idle connections per owner.
	hopMaxIdle = 32
)

// pools holds a connection pool per owner on another host. It is safe for concurrent use.
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

// closeExpired closes the connections that have been idle for longer than the timeout.
func (p *pools) closeExpired(now time.Time) {
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
