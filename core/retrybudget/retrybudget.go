// Package retrybudget limits how often the nodes of a fleet send requests of a service again, without a shared counter.
//
// Over the whole fleet, the repeats of a service in any window may reach a share of its requests plus a constant. Each
// node spends at most that share of the requests that it received itself, plus its part of the constant by the size of
// the fleet as it knows it. The sum over all nodes then stays within the fleet's limit.
package retrybudget

import "time"

// Settings are the fleet's limit.
type Settings struct {
	// Ratio is the number of repeats per request.
	Ratio float64
	// Constant is the number of repeats allowed beside the ratio, over the whole fleet.
	Constant float64
	Window   time.Duration
}

const (
	// spendShare is the part of the limit that is used. The rest covers nodes that know a smaller fleet and requests
	// that reach their endpoint in a later window than the one they were counted in.
	spendShare = 0.7
	// buckets divide a window, so that old entries leave it in small steps.
	buckets = 20
)

type bucket struct {
	slot     int64
	requests int
	repeats  int
}

// Budget is the part of one node for one service. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	ring     [buckets]bucket
}

// New returns an empty budget.
func New(s Settings) *Budget {
	return &Budget{settings: s}
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Duration) {
	b.bucket(now).requests++
}

// Charge counts a repeat that was made whatever the budget says.
func (b *Budget) Charge(now time.Duration) {
	b.bucket(now).repeats++
}

// Left returns how many repeats the node may still make, in a fleet of the given number of nodes.
func (b *Budget) Left(now time.Duration, nodes int) float64 {
	requests, repeats := b.sum(now)
	limit := b.settings.Ratio*float64(requests) + b.settings.Constant/float64(max(nodes, 1))
	return spendShare*limit - float64(repeats)
}

// Take counts a repeat if the budget allows one, and reports whether it did.
func (b *Budget) Take(now time.Duration, nodes int) bool {
	if b.Left(now, nodes) < 1 {
		return false
	}
	b.Charge(now)
	return true
}

func (b *Budget) slot(now time.Duration) int64 {
	return int64(now / (b.settings.Window / buckets))
}

func (b *Budget) bucket(now time.Duration) *bucket {
	slot := b.slot(now)
	entry := &b.ring[slot%buckets]
	if entry.slot != slot {
		*entry = bucket{slot: slot}
	}
	return entry
}

func (b *Budget) sum(now time.Duration) (requests, repeats int) {
	oldest := b.slot(now) - buckets
	for _, entry := range b.ring {
		if entry.slot > oldest {
			requests += entry.requests
			repeats += entry.repeats
		}
	}
	return requests, repeats
}
