package reports

import "time"

const (
	// A path is doubted after a silence of quietIntervals and counts as broken after deadIntervals, because single
	// datagrams get lost.
	quietIntervals = 2.7
	deadIntervals  = 5
	// Probabilities that a path is broken.
	soundPath   = 0.002
	unknownPath = 0.2
	quietPath   = 0.4
	deadPath    = 0.97
	// lossWeight is the share of the latest report in the estimate of lost datagrams.
	lossWeight = 0.08
	// lossCost turns the share of lost datagrams into a probability that a request fails or is late: each request takes
	// several packets.
	lossCost = 1.5
	// minLoss is the estimate below which losses are ordinary. A single lost datagram stays below it.
	minLoss = 0.1
)

// path is what is known about the way to and from one host.
type path struct {
	heardAt  time.Duration
	ever     bool
	sequence uint64
	loss     float64
	// unheard is for how long the other node had not heard this one at its latest report, or negative if it never had.
	unheard time.Duration
}

// heard records a report.
func (p *path) heard(now time.Duration, sequence uint64, restarted bool, heardMS int) {
	if restarted || !p.ever || sequence <= p.sequence {
		p.loss = 0
	} else {
		for missed := min(sequence-p.sequence-1, 10); missed > 0; missed-- {
			p.loss += lossWeight * (1 - p.loss)
		}
		p.loss -= lossWeight * p.loss
	}
	p.sequence = sequence
	p.heardAt, p.ever = now, true
	p.unheard = time.Duration(heardMS) * time.Millisecond
}

// broken returns the probability that a request over the path fails, with reports at an interval.
func (p *path) broken(now, interval time.Duration) float64 {
	if !p.ever {
		return unknownPath
	}
	b := max(silence(now-p.heardAt, interval), silence(p.unheard, interval))
	if p.loss > minLoss {
		b = max(b, min(lossCost*p.loss, quietPath))
	}
	return b
}

func silence(age, interval time.Duration) float64 {
	switch intervals := float64(age) / float64(interval); {
	case intervals < quietIntervals:
		return soundPath
	case intervals < deadIntervals:
		return quietPath
	default:
		return deadPath
	}
}
