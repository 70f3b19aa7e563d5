//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// link passes connections on to another address. Those that are open can be silenced: their bytes vanish, and neither end is told.
type link struct {
	address string

	mu   sync.Mutex
	open map[*atomic.Bool]bool
}

// newLink starts a link that listens on an address.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: address, open: make(map[*atomic.Bool]bool)}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(near, target)
		}
	}()
	return l, nil
}

// silence silences the open connections and returns their number. New ones work.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for silent := range l.open {
		silent.Store(true)
	}
	return len(l.open)
}

func (l *link) serve(near net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	silent := &atomic.Bool{}
	l.mu.Lock()
	l.open[silent] = true
	l.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { pass(near, far, silent) })
	tasks.Go(func() { pass(far, near, silent) })
	tasks.Wait()
	l.mu.Lock()
	delete(l.open, silent)
	l.mu.Unlock()
}

// pass passes bytes on until the source ends. The end is passed on too, unless the connection is silent.
func pass(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !silent.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		} else if err != nil {
			_ = from.Close()
			return
		}
	}
}
