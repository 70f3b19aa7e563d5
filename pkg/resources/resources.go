// Package resources owns what clients can make a process keep. Each listener, table and ring that holds something on behalf of
// clients, while their requests wait or after they are over, takes its part of the memory and of the descriptors from here. The parts
// add up to less than the limits of the process, whatever clients send.
package resources

import (
	"cmp"
	"errors"
	"syscall"

	"agatepulley.example/agatepulley/pkg/memory"
)

const (
	// DefaultMemory is the memory of a process in bytes where none is set.
	DefaultMemory = 160 << 20
	// Accepted connections may use connectionShare of the memory, those of the peer protocol peerShare. Each needs about
	// connectionBytes or peerConnectionBytes.
	connectionShare     = 0.25
	connectionBytes     = 48 << 10
	peerShare           = 0.125
	peerConnectionBytes = 24 << 10
	// reservedDescriptors are kept for files and for the connections that a node opens itself, as is what descriptorShare and
	// peerDescriptorShare leave of the others.
	reservedDescriptors = 200
	descriptorShare     = 0.75
	peerDescriptorShare = 0.125
	// minConnections is the least number of connections that a listener accepts.
	minConnections = 16
	// contentShare is the share of the memory for what clients send and receive, and for what is kept of it.
	contentShare = 0.25
	// runtimeShare is the share of the memory from which the runtime collects garbage more often, and maxRuntimeMemory the same in
	// bytes.
	runtimeShare     = 0.7
	maxRuntimeMemory = 112 << 20
)

// Limits are the limits of a process. Zero values are not known: DefaultMemory then holds, and the process's own limit on
// descriptors.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

func (l Limits) withDefaults() Limits {
	l.MemoryBytes = cmp.Or(l.MemoryBytes, DefaultMemory)
	if l.Descriptors == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			l.Descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	return l
}

// RuntimeMemory returns the soft memory limit of the Go runtime.
func (l Limits) RuntimeMemory() int64 {
	return min(int64(runtimeShare*float64(l.withDefaults().MemoryBytes)), maxRuntimeMemory)
}

// Connections is how many connections the listeners accept.
type Connections struct {
	Callers, Hops, Admin, Peers int
}

// Resources are the parts of a process's memory and descriptors that clients can take up.
type Resources struct {
	Connections Connections
	// Heads holds heads of requests that arrive, Bodies the bodies of requests, and Responses what is read ahead of responses, if the
	// process reads any ahead.
	Heads, Bodies, Responses *memory.Budget
	// Messages holds messages of the peer protocol from their arrival until they are answered.
	Messages *memory.Budget
	// Decisions holds decisions for operators, and Lines those that the log has not written yet.
	Decisions, Lines *memory.Budget
	// Tables holds what is remembered of attempts, suspects and news. Other tables are bounded in number by their owners.
	Tables *memory.Budget
}

// New divides the limits of a process. If it reads no responses ahead, it has more memory for tables.
func New(limits Limits, readsAhead bool) *Resources {
	limits = limits.withDefaults()
	content := contentShare * float64(limits.MemoryBytes)
	part := func(share float64) *memory.Budget { return memory.NewBudget(int64(share * content)) }
	responses, tables := 0.25, 0.125
	if !readsAhead {
		responses, tables = 0, responses+tables
	}
	return &Resources{
		Connections: limits.connections(),
		Heads:       part(0.1),
		Bodies:      part(0.25),
		Responses:   part(responses),
		Messages:    part(0.15),
		Decisions:   part(0.075),
		Lines:       part(0.05),
		Tables:      part(tables),
	}
}

// Observe registers a gauge for the free memory of each part.
func (r *Resources) Observe(gauge func(name, description string, source func() float64) error) error {
	var errs []error
	for name, part := range map[string]*memory.Budget{
		"heads": r.Heads, "bodies": r.Bodies, "responses": r.Responses, "messages": r.Messages, "decisions": r.Decisions, "lines": r.Lines,
		"tables": r.Tables,
	} {
		errs = append(errs, gauge("agatepulley_free_bytes_"+name, "Free memory for "+name+".", func() float64 { return float64(part.Available()) }))
	}
	return errors.Join(errs...)
}

func (l Limits) connections() Connections {
	descriptors := float64(max(l.Descriptors-reservedDescriptors, 0))
	memoryBytes := float64(l.MemoryBytes)
	total := int(min(descriptorShare*descriptors, connectionShare*memoryBytes/connectionBytes))
	peers := int(min(peerDescriptorShare*descriptors, peerShare*memoryBytes/peerConnectionBytes))
	return Connections{
		Callers: max(total/2, minConnections), Hops: max(total*3/8, minConnections), Admin: max(total/8, minConnections),
		Peers: max(peers, minConnections),
	}
}
