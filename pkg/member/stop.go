package member

import (
	"context"
	"errors"
	"time"

	"agatepulley.example/agatepulley/pkg/lifecycle"
)

const (
	stopPoll = 20 * time.Millisecond
	// stopQuiet is how long no request must be in flight before the listeners close.
	stopQuiet = 150 * time.Millisecond
	// stopReserve is the part of the stop timeout that is left for the release of resources.
	stopReserve = time.Second
)

// errStopTimeout is returned when requests were still in flight shortly before the end of the stop timeout.
var errStopTimeout = errors.New("requests were still in flight at the end of the stop timeout")

// stop ends the node without cutting requests. It takes no more work for its endpoint, serves callers that keep arriving
// through other hosts, and tells them to close their connections.
func (m *Member) stop() error {
	m.life.Fire(lifecycle.Stop)
	m.dispatcher.Leave()
	m.reports.Notify()
	m.forwarder.Close()
	drainErr := m.awaitQuiet()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve)
	defer cancel()
	err := m.kernel.Stop(ctx)
	m.life.Fire(lifecycle.Drained)
	return errors.Join(drainErr, err)
}

// awaitQuiet waits until the notice period has passed and no request has been in flight for a short while.
func (m *Member) awaitQuiet() error {
	start := time.Now()
	quietSince := start
	s := m.settings.Load()
	limit := s.StopTimeout - stopReserve
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if m.inFlight() > 0 {
			quietSince = now
		}
		if now.Sub(start) >= limit {
			m.logger.Error("stop timeout", "in_flight", m.inFlight())
			return errStopTimeout
		}
		if now.Sub(start) >= s.StopNotice && now.Sub(quietSince) >= stopQuiet {
			return nil
		}
	}
	return nil
}

func (m *Member) inFlight() int {
	return m.forwarder.InFlight() + m.dispatcher.InFlight()
}
