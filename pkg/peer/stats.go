package peer

import (
	"sync"
	"sync/atomic"
)

// Count is a number of messages and their bytes.
type Count struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// MethodStats counts the calls of one method. Bytes are those of the JSON parameters and results, without the envelope.
type MethodStats struct {
	// CallsOut are requests sent, with the bytes of their parameters; ResultsIn are their successful responses.
	CallsOut  Count `json:"calls_out"`
	ResultsIn Count `json:"results_in"`
	// CallsIn are requests handled; ResultsOut are their successful responses.
	CallsIn    Count  `json:"calls_in"`
	ResultsOut Count  `json:"results_out"`
	Failures   uint64 `json:"failures"`
}

// Stats is a copy of the counters of a Service. Sent and Received count whole frames as written to the connections,
// without TCP/IP headers.
type Stats struct {
	Sent        Count                  `json:"sent"`
	Received    Count                  `json:"received"`
	Connections int                    `json:"connections"`
	Dials       uint64                 `json:"dials"`
	DialsFailed uint64                 `json:"dials_failed"`
	Timeouts    uint64                 `json:"timeouts"`
	Pauses      uint64                 `json:"pauses"`
	Methods     map[string]MethodStats `json:"methods"`
}

type counter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) load() Count {
	return Count{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

type traffic struct {
	sent     counter
	received counter
}

type methodCounters struct {
	callsOut   counter
	resultsIn  counter
	callsIn    counter
	resultsOut counter
	failures   atomic.Uint64
}

func (m *methodCounters) load() MethodStats {
	return MethodStats{
		CallsOut:   m.callsOut.load(),
		ResultsIn:  m.resultsIn.load(),
		CallsIn:    m.callsIn.load(),
		ResultsOut: m.resultsOut.load(),
		Failures:   m.failures.Load(),
	}
}

// counters holds the counters of a Service. The methods are those that this program calls or handles, so the map is
// bounded.
type counters struct {
	traffic     traffic
	dials       atomic.Uint64
	dialsFailed atomic.Uint64
	timeouts    atomic.Uint64
	pauses      atomic.Uint64
	methods     sync.Map
}

func (c *counters) method(name string) *methodCounters {
	if found, ok := c.methods.Load(name); ok {
		return found.(*methodCounters)
	}
	created, _ := c.methods.LoadOrStore(name, &methodCounters{})
	return created.(*methodCounters)
}

func (c *counters) load() Stats {
	stats := Stats{
		Sent:        c.traffic.sent.load(),
		Received:    c.traffic.received.load(),
		Dials:       c.dials.Load(),
		DialsFailed: c.dialsFailed.Load(),
		Timeouts:    c.timeouts.Load(),
		Pauses:      c.pauses.Load(),
		Methods:     make(map[string]MethodStats),
	}
	c.methods.Range(func(name, found any) bool {
		stats.Methods[name.(string)] = found.(*methodCounters).load()
		return true
	})
	return stats
}
