package node

import (
	"errors"
	"time"

	"agatepulley.example/agatepulley/pkg/telemetry"
)

// observeMetrics exports the values that the services of the node count themselves.
func (n *Node) observeMetrics() error {
	metrics := n.telemetry.Metrics()
	return errors.Join(
		metrics.ObserveConfig(n.configState),
		metrics.ObserveDecisionsDropped(n.decisions.Dropped),
		metrics.ObservePeerTraffic(n.peerTraffic),
	)
}

func (n *Node) configState() telemetry.ConfigState {
	state := telemetry.ConfigState{Alarms: len(n.store.Alarms())}
	if snapshot := n.store.Current(); snapshot != nil {
		version := snapshot.Version()
		state.Epoch, state.Sequence = version.Epoch, version.Sequence
	}
	state.Age = n.readAge()
	return state
}

// readAge is the time since the latest read of the configuration service known in the zone, or negative if none is
// known.
func (n *Node) readAge() time.Duration {
	return time.Duration(n.syncer.Summary().ReadAgeMS) * time.Millisecond
}

func (n *Node) peerTraffic() telemetry.PeerTraffic {
	stats := n.peers.Stats()
	return telemetry.PeerTraffic{
		SentMessages: stats.Sent.Messages, SentBytes: stats.Sent.Bytes,
		ReceivedMessages: stats.Received.Messages, ReceivedBytes: stats.Received.Bytes,
	}
}
