package member

import (
	"context"
	"time"

	"agatepulley.example/agatepulley/pkg/lifecycle"
)

const (
	// stopPoll is the interval at which a stopping node checks whether requests are in flight.
	stopPoll = 20 * time.Millisecond
	// stopIdle is how long no request must be in flight before the listeners close.
	stopIdle = 150 * time.Millisecond
	// stopReserve is the part of the stop timeout that is reserved for the last requests and the release of resources.
	stopReserve = time.Second
	// stopMargin is how long before the end of the stop timeout the process exits, so that it is not killed.
	stopMargin = 100 * time.Millisecond
)

// stop stops the node without interrupting requests in flight. The node accepts no more work for its endpoint. Requests that
// callers still send are forwarded to other hosts, and the responses ask the callers to close their connections. After
// Settings.StopNotice, when callers can use another node, a request is accepted only if its deadline is before the exit.
func (m *Member) stop() error {
	m.life.Fire(lifecycle.Stop)
	m.dispatcher.Leave()
	m.quotas.Leave()
	m.reports.Notify()
	s, now := m.settings.Load(), time.Now()
	m.forwarder.BeginDrain(lifecycle.Drain{Late: now.Add(s.StopNotice), End: now.Add(s.StopTimeout - 2*stopMargin)})
	m.awaitIdle()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve)
	defer cancel()
	err := m.kernel.Stop(ctx)
	m.life.Fire(lifecycle.Drained)
	return err
}

// awaitIdle waits until Settings.StopNotice has passed and no request has been in flight for stopIdle. Callers without
// another node keep sending requests, so it returns in any case early enough for the requests in flight to finish.
func (m *Member) awaitIdle() {
	start := time.Now()
	idleSince := start
	s := m.settings.Load()
	limit := s.StopTimeout - stopReserve - stopMargin
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if m.inFlight() > 0 {
			idleSince = now
		}
		if now.Sub(start) >= limit {
			m.logger.Warn("callers keep coming, listeners close", "in_flight", m.inFlight())
			return
		}
		if now.Sub(start) >= s.StopNotice && now.Sub(idleSince) >= stopIdle {
			return
		}
	}
}

// inFlight returns the number of requests of callers and of other nodes that are not answered completely.
func (m *Member) inFlight() int {
	return m.callers.InFlight() + m.hops.InFlight()
}
