package member

import (
	"context"
	"time"

	"agatepulley.example/agatepulley/pkg/lifecycle"
)

const (
	stopPoll = 20 * time.Millisecond
	// stopQuiet is how long no request must be in flight before the listeners close.
	stopQuiet = 150 * time.Millisecond
	// stopReserve is the part of the stop timeout that is left for the last requests and the release of resources.
	stopReserve = time.Second
	// stopMargin keeps the end of the process before the moment at which it would be killed.
	stopMargin = 100 * time.Millisecond
	// lateShare is the part of the stop timeout after which only requests are taken that will have ended in time whatever
	// happens. Callers that could go elsewhere have been led there by then.
	lateShare = 0.5
)

// stop ends the node without cutting requests. It takes no more work for its endpoint, serves callers that keep arriving
// through other hosts, and tells them to close their connections.
func (m *Member) stop() error {
	m.life.Fire(lifecycle.Stop)
	m.dispatcher.Leave()
	m.reports.Notify()
	timeout := m.settings.Load().StopTimeout
	m.forwarder.BeginDrain(time.Now().Add(time.Duration(lateShare*float64(timeout))), time.Now().Add(timeout-2*stopMargin))
	m.awaitQuiet()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve)
	defer cancel()
	err := m.kernel.Stop(ctx)
	m.life.Fire(lifecycle.Drained)
	return err
}

// awaitQuiet waits until the notice period has passed and no request has been in flight for a short while. Callers that
// have nowhere else to go keep coming, so it ends in any case while the requests in flight can still be finished.
func (m *Member) awaitQuiet() {
	start := time.Now()
	quietSince := start
	s := m.settings.Load()
	limit := s.StopTimeout - stopReserve - stopMargin
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if m.inFlight() > 0 {
			quietSince = now
		}
		if now.Sub(start) >= limit {
			m.logger.Warn("callers keep coming, listeners close", "in_flight", m.inFlight())
			return
		}
		if now.Sub(start) >= s.StopNotice && now.Sub(quietSince) >= stopQuiet {
			return
		}
	}
}

func (m *Member) inFlight() int {
	return m.forwarder.InFlight() + m.dispatcher.InFlight()
}
