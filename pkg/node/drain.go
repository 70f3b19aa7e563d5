package node

import (
	"context"
	"errors"
	"math"
	"time"

	"agatepulley.example/agatepulley/pkg/lifecycle"
	"agatepulley.example/agatepulley/pkg/news"
)

// State returns the state of the node's life cycle.
func (n *Node) State() lifecycle.State {
	return n.life.State()
}

const (
	drainPollPeriod = 20 * time.Millisecond
	// drainQuiet is how long no request must be in flight before the listeners close.
	drainQuiet = 200 * time.Millisecond
	// stopTimeout bounds the release of resources after the last request.
	stopTimeout = 5 * time.Second
)

// stop ends the node without cutting requests. As owner it refuses new work at once; as ingress it serves callers that
// keep arriving through other hosts, and tells them to close their connections.
func (n *Node) stop() error {
	n.life.Fire(lifecycle.Stop)
	n.owner.Leave()
	n.announceLeaving()
	now := time.Now()
	n.ingress.BeginDrain(lifecycle.Drain{Late: now.Add(n.settings.DrainNotice), End: now.Add(n.settings.DrainTimeout)})
	drainErr := n.awaitQuiet()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := n.kernel.Stop(ctx)
	n.life.Fire(lifecycle.Drained)
	return errors.Join(drainErr, err)
}

// errDrainTimeout is returned when requests were still in flight at the end of the drain timeout.
var errDrainTimeout = errors.New("requests were still in flight at the end of the drain timeout")

// awaitQuiet waits until the notice period has passed and no request has been in flight for a short while.
func (n *Node) awaitQuiet() error {
	start := time.Now()
	quietSince := start
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for now := range ticker.C {
		if n.inFlight() > 0 {
			quietSince = now
		}
		if now.Sub(start) >= n.settings.DrainTimeout {
			n.logger.Error("drain timeout", "in_flight", n.inFlight())
			return errDrainTimeout
		}
		if now.Sub(start) >= n.settings.DrainNotice && now.Sub(quietSince) >= drainQuiet {
			return nil
		}
	}
	return nil
}

// inFlight returns the number of requests that are not answered completely.
func (n *Node) inFlight() int {
	return n.callers.InFlight() + n.hops.InFlight() + n.owner.InFlight()
}

// announceLeaving tells the other nodes that this host is leaving.
func (n *Node) announceLeaving() {
	n.hosts.ObserveHost(n.settings.HostID, n.incarnation, leavingSequence, true)
	n.publish(news.KindHost, n.settings.HostID, news.StateLeaving, nil)
}

// leavingSequence is higher than that of any earlier report of this host on itself.
const leavingSequence = math.MaxUint64
