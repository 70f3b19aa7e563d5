package placement

import (
	"math/rand/v2"
	"time"
)

// Traffic is what it costs to move bytes away from a caller's zone, as a wait that a caller should bear instead. It is zero where
// there is one region.
type Traffic struct {
	// Zone and Region are the waits for a kilobyte that goes to another zone of the region, and to another region.
	Zone, Region time.Duration
}

const kilobyte = 1000

// trafficCost returns the cost of the way to a candidate beside its round trip, in seconds.
func (r Request) trafficCost(c *Candidate) float64 {
	switch {
	case !c.OtherZone:
		return 0
	case r.Traffic != Traffic{} && c.OtherRegion:
		return r.Bytes / kilobyte * r.Traffic.Region.Seconds()
	case r.Traffic != Traffic{}:
		return r.Bytes / kilobyte * r.Traffic.Zone.Seconds()
	case r.Large:
		return largeOtherZoneCost * r.costUnit()
	default:
		return otherZoneCost * r.costUnit()
	}
}

// leaveHorizon is the time within which the queue of a region is to be worked off by requests that leave. With a shorter one, all
// nodes would send too much away on reports that are a second old, and then too little.
const leaveHorizon = time.Second

// side sums up the endpoints of this region, or of all others, that are likely to work.
type side struct {
	slots, load float64
	roundTrip   time.Duration
	known       bool // whether there is any endpoint
}

func (s *side) add(c *Candidate) {
	s.known = true
	if c.failProbability() >= unreliableFrom {
		return
	}
	s.slots += float64(c.Slots)
	s.load += float64(c.Slots) - c.idleSlots()
	s.roundTrip = max(s.roundTrip, c.RoundTrip)
}

// queued returns the number of requests that wait.
func (s *side) queued() float64 {
	return max(s.load-s.slots, 0)
}

// leaveShare returns the share of the requests that should leave their region now. They leave while the wait at home is longer than
// what the way costs, as many as bring it down to that within leaveHorizon, but no more than there is room for elsewhere and then
// only in proportion to the slots of both sides.
//
// It answers demand whose crest moves from region to region, and a region that loses endpoints. Choosing by costs alone sends a
// part away in calm, since choices are random, and all at once when reports show that waiting at home costs more.
func (r Request) leaveShare(candidates []Candidate, excluded func(*Candidate) bool) float64 {
	var home, away side
	for n := range candidates {
		switch c := &candidates[n]; {
		case excluded(c):
		case c.OtherRegion:
			away.add(c)
		default:
			home.add(c)
		}
	}
	switch {
	case !away.known:
		return 0
	case !home.known, home.slots == 0 && away.slots > 0:
		return 1
	case away.slots == 0:
		return 0
	}
	service := max(r.MedianServiceTime, time.Millisecond).Seconds()
	bearable := r.Bytes/kilobyte*r.Traffic.Region.Seconds() + (away.roundTrip - home.roundTrip).Seconds()
	excess := home.queued() - max(bearable, 0)/service*home.slots
	if excess <= 0 {
		return 0
	}
	if free := max(away.slots-away.load, 0); excess > free {
		excess = free + (excess-free)*away.slots/(away.slots+home.slots)
		// Queues that are as long elsewhere are no reason to leave.
		excess = max(excess-away.queued(), 0)
	}
	return min(excess*service/(home.slots*leaveHorizon.Seconds()), 1)
}

// keepToSide decides whether a request leaves its region, and returns excluded with the endpoints of the other side added.
func (r Request) keepToSide(rng *rand.Rand, candidates []Candidate, excluded func(*Candidate) bool) func(*Candidate) bool {
	if r.Traffic == (Traffic{}) {
		return excluded
	}
	leaves := rng.Float64() < r.leaveShare(candidates, excluded)
	return func(c *Candidate) bool { return excluded(c) || c.OtherRegion != leaves }
}
