package processes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are chosen below the range from which the kernel takes the ports of outgoing connections; one of those could
// take a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
	// blockPorts is the number of ports that a process takes at a time.
	blockPorts = 100
)

// Loopback is the address of all processes.
const Loopback = "127.0.0.1"

var (
	portsMu sync.Mutex
	// freePorts are the ports of blocks that this process has taken and not returned yet.
	freePorts []int
	// blockHolders listen on the first port of each block that this process has taken, so that no other process takes it.
	blockHolders []net.Listener
)

// FreePorts returns n ports on loopback that nothing listens on and that no process has been given by FreePorts before, as long
// as that one runs.
func FreePorts(n int) ([]int, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	var ports []int
	for len(ports) < n {
		if len(freePorts) == 0 {
			if err := takeBlock(); err != nil {
				return nil, fmt.Errorf("find %d free ports: %w", n, err)
			}
		}
		port := freePorts[0]
		freePorts = freePorts[1:]
		if canListen(port) {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// takeBlock adds the ports of a block that no other process has taken to freePorts. The caller holds the lock.
func takeBlock() error {
	const blocks = (lastPort - firstPort) / blockPorts
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*blockPorts
		if holder, err := net.Listen("tcp", Address(first)); err == nil {
			blockHolders = append(blockHolders, holder)
			for port := first + 1; port < first+blockPorts; port++ {
				freePorts = append(freePorts, port)
			}
			return nil
		}
	}
	return fmt.Errorf("all blocks of ports between %d and %d are taken", firstPort, lastPort)
}

func canListen(port int) bool {
	listener, err := net.Listen("tcp", Address(port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// Address returns the loopback address with a port.
func Address(port int) string {
	return net.JoinHostPort(Loopback, strconv.Itoa(port))
}
