package reports

import "time"

const (
	// interval is the time between reports to a host of the own zone when nothing changes. otherZoneInterval is longer
	// because bytes between zones are charged for.
	interval          = 300 * time.Millisecond
	otherZoneInterval = 500 * time.Millisecond
	// nearHosts and farHosts are the numbers of hosts, in the own zone and in the others, up to which these intervals hold.
	// They grow in proportion beyond them, so that what a node sends does not grow with the fleet. The own zone is watched
	// more closely, because most requests stay in it, and because its nodes tell the others which of its hosts are lost.
	nearHosts = 40
	farHosts  = 30
	// urgentHosts is the number of hosts in other zones up to which each of them is told of every failure at once. What all
	// nodes send for that grows with the square of the fleet.
	urgentHosts = 500
	// minGap is the shortest time between two rounds of urgent reports.
	minGap = 15 * time.Millisecond
)

// schedule is how often reports are exchanged, given the size of the fleet.
type schedule struct {
	near, far time.Duration
	gap       time.Duration
	// farUrgent is set if hosts of other zones are told of every failure at once, instead of only when an endpoint begins
	// or ceases to be doubtful.
	farUrgent bool
}

// newSchedule returns the schedule for a number of other hosts in the own zone and elsewhere.
func newSchedule(near, far int) schedule {
	stretch := func(every time.Duration, hosts, bound int) time.Duration {
		return time.Duration(float64(every) * max(1, float64(hosts)/float64(bound)))
	}
	return schedule{
		near:      stretch(interval, near, nearHosts),
		far:       stretch(otherZoneInterval, far, farHosts),
		gap:       stretch(minGap, near, nearHosts),
		farUrgent: far <= urgentHosts,
	}
}
