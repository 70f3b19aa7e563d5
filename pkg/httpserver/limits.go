package httpserver

import "syscall"

const (
	// reservedDescriptors are kept for files and for the connections that a node opens itself, as is what descriptorShare leaves of
	// the others.
	reservedDescriptors = 200
	descriptorShare     = 0.75
	// Accepted connections may use memoryShare of the memory. Each needs about connectionBytes.
	memoryShare     = 0.25
	connectionBytes = 48 << 10
	// minConnections is the least number of connections that a server accepts.
	minConnections = 16
)

// Shares is how many connections the servers of a node accept.
type Shares struct {
	Callers, Hops, Admin int
}

// ShareConnections divides the connections that a process may accept among its servers. A limit of 0 is not known: the process's
// own limit on descriptors then holds, and none on memory.
func ShareConnections(descriptors int, memoryBytes int64) Shares {
	if descriptors == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	total := max(int(descriptorShare*float64(descriptors-reservedDescriptors)), 0)
	if memoryBytes > 0 {
		total = min(total, int(memoryShare*float64(memoryBytes)/connectionBytes))
	}
	return Shares{
		Callers: max(total/2, minConnections), Hops: max(total*3/8, minConnections), Admin: max(total/8, minConnections),
	}
}
