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
)

// Loopback is the address of all processes.
const Loopback = "127.0.0.1"

var (
	portsMu   sync.Mutex
	portsUsed = make(map[int]bool)
)

// FreePorts returns n ports on loopback that nothing listens on and that this process has not returned before.
func FreePorts(n int) ([]int, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	var ports []int
	for range lastPort - firstPort {
		if len(ports) == n {
			break
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !portsUsed[port] && canListen(port) {
			portsUsed[port] = true
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, fmt.Errorf("find %d free ports: only %d between %d and %d", n, len(ports), firstPort, lastPort)
	}
	return ports, nil
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
