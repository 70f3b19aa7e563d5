package reports

import "time"

const (
	// A path is suspect after suspectIntervals without a report and broken after brokenIntervals. Both are longer than one
	// report interval because single datagrams get lost.
	suspectIntervals = 2.7
	brokenIntervals  = 5
	// Probabilities that a request over a path fails, by the condition of the path.
	healthyFailureProbability = 0.002
	unknownFailureProbability = 0.2
	suspectFailureProbability = 0.4
	brokenFailureProbability  = 0.97
	// lossWeight is the weight of the latest datagram in the moving average of the share of lost datagrams.
	lossWeight = 0.08
	// lossFailureFactor converts the share of lost datagrams into the probability that a request fails or is late. It is
	// above 1 because each request takes several packets.
	lossFailureFactor = 1.5
	// lossThreshold is the share of lost datagrams up to which losses are ignored. A single lost datagram stays below it.
	lossThreshold = 0.1
)

// path is the state of the network path to and from one host.
type path struct {
	// receivedAt is when the latest report was received. It is valid if everReceived is set.
	receivedAt   time.Duration
	everReceived bool
	// sequence is that of the latest received report.
	sequence uint64
	// loss is the estimated share of lost datagrams.
	loss float64
	// peerReceiveAge is the time between the latest report that the other node received from this one and the latest one
	// that it sent. It is negative if the other node has received none.
	peerReceiveAge time.Duration
}

// recordReport records that a report was received.
func (p *path) recordReport(now time.Duration, sequence uint64, restarted bool, peerReceiveAgeMS int) {
	if restarted || !p.everReceived || sequence <= p.sequence {
		p.loss = 0
	} else {
		// The count is capped so that a large jump of the sequence neither takes long to process nor drives the estimate
		// close to 1.
		for missed := min(sequence-p.sequence-1, 10); missed > 0; missed-- {
			p.loss += lossWeight * (1 - p.loss)
		}
		p.loss -= lossWeight * p.loss
	}
	p.sequence = sequence
	p.receivedAt, p.everReceived = now, true
	p.peerReceiveAge = time.Duration(peerReceiveAgeMS) * time.Millisecond
}

// failureProbability returns the probability that a request over the path fails, given the interval of the reports.
func (p *path) failureProbability(now, interval time.Duration) float64 {
	if !p.everReceived {
		return unknownFailureProbability
	}
	b := max(failureProbabilityAtAge(now-p.receivedAt, interval), failureProbabilityAtAge(p.peerReceiveAge, interval))
	if p.loss > lossThreshold {
		b = max(b, min(lossFailureFactor*p.loss, suspectFailureProbability))
	}
	return b
}

// failureProbabilityAtAge returns the probability that a request fails, given the time since the latest report and the
// interval of the reports. A negative time means that no report has been received yet, and counts as healthy.
func failureProbabilityAtAge(age, interval time.Duration) float64 {
	switch intervals := float64(age) / float64(interval); {
	case intervals < suspectIntervals:
		return healthyFailureProbability
	case intervals < brokenIntervals:
		return suspectFailureProbability
	default:
		return brokenFailureProbability
	}
}
