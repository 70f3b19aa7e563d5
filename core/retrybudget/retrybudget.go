// Package retrybudget limits how often the nodes of a fleet send requests of a service again, without a shared counter.
//
// Over the whole fleet, the repeats of a service in any window may reach a share of its requests plus a constant. Each
// node counts its own requests and repeats and hears the counts of the others. What is left of the limit is divided
// among the nodes for the time until they hear of each other again, so that together they do not overspend it. Nodes
// that are not heard spend on their own, so the constant is divided by the share of the fleet that is known.
package retrybudget

import (
	"math/rand/v2"
	"time"
)

// Settings are the fleet's limit.
type Settings struct {
	// Ratio is the number of repeats per request.
	Ratio float64
	// Constant is the number of repeats allowed beside the ratio.
	Constant float64
	Window   time.Duration
}

const (
	// spendShare is the part of the limit that is used. The rest covers counts that arrive late.
	spendShare = 0.8
	// buckets divide a window, so that old entries leave it in small steps. One is about as long as it takes until a
	// node's counts are known to all others.
	buckets = 20
)

// Usage is what happened within a window.
type Usage struct {
	Requests float64
	Retries  float64
	// RepeatableRequests counts the requests that may be repeated. Nodes do not tell it each other.
	RepeatableRequests float64
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{Requests: u.Requests + o.Requests, Retries: u.Retries + o.Retries, RepeatableRequests: u.RepeatableRequests + o.RepeatableRequests}
}

// GroupUsage is what a part of the fleet has counted.
type GroupUsage struct {
	Usage
	// Share is that of its nodes in the fleet, 0 to 1.
	Share float64
}

// Add takes in a node, which is a share of the fleet.
func (p *GroupUsage) Add(u Usage, share float64) {
	p.Usage = p.Usage.Add(u)
	p.Share += share
}

// AddUnreachable takes in a node that has been silent for a time. What it had counted leaves the window bit by bit.
func (p *GroupUsage) AddUnreachable(u Usage, share float64, silent, window time.Duration) {
	rest := max(0, 1-silent.Seconds()/window.Seconds())
	p.Add(Usage{Requests: rest * u.Requests, Retries: rest * u.Retries}, rest*share)
}

// Limit returns how many repeats a part of the fleet may make in a window.
func (s Settings) Limit(p GroupUsage) float64 {
	return spendShare * (s.Ratio*p.Requests + s.Constant*p.Share)
}

// Remaining returns how many repeats the nodes that hear each other may still make. The silent ones spend on their own, but what
// they had spent beyond their part before is missing in that of the others.
func (s Settings) Remaining(heard, silent GroupUsage) float64 {
	return s.Limit(heard) - heard.Retries - max(0, silent.Retries-s.Limit(silent))
}

type bucket struct {
	slot int64
	Usage
	// draw decides whether the node gets one of the last repeats, which are fewer than the nodes.
	draw float64
}

// Budget counts the requests and repeats of one node for one service. It is not safe for concurrent use.
type Budget struct {
	window time.Duration
	rng    *rand.Rand
	ring   [buckets]bucket
}

// New returns an empty budget.
func New(s Settings, rng *rand.Rand) *Budget {
	return &Budget{window: s.Window, rng: rng}
}

// AddRequest counts a request of a caller.
func (b *Budget) AddRequest(now time.Duration, repeatable bool) {
	entry := b.bucket(now)
	entry.Requests++
	if repeatable {
		entry.RepeatableRequests++
	}
}

// AddRetries counts repeats. A part of one stands for a call that a repeated request may make.
func (b *Budget) AddRetries(now time.Duration, n float64) {
	b.bucket(now).Retries += n
}

// Usage returns the sums over the latest window.
func (b *Budget) Usage(now time.Duration) Usage {
	oldest := b.slot(now) - buckets
	var sum Usage
	for _, entry := range b.ring {
		if entry.slot > oldest {
			sum = sum.Add(entry.Usage)
		}
	}
	return sum
}

// AllowsRetry decides on a repeat when a number of them are left for the given number of nodes.
func (b *Budget) AllowsRetry(now time.Duration, left float64, nodes int) bool {
	quota := left / float64(max(nodes, 1))
	recent := b.recent(now)
	if quota < 1 {
		return recent == 0 && b.bucket(now).draw < quota
	}
	return recent+1 <= quota
}

// recent returns the repeats that other nodes may not have heard of.
func (b *Budget) recent(now time.Duration) float64 {
	slot := b.slot(now)
	recent := 0.0
	for _, entry := range b.ring {
		if entry.slot >= slot-1 {
			recent += entry.Retries
		}
	}
	return recent
}

func (b *Budget) slot(now time.Duration) int64 {
	return int64(now / (b.window / buckets))
}

func (b *Budget) bucket(now time.Duration) *bucket {
	slot := b.slot(now)
	entry := &b.ring[slot%buckets]
	if entry.slot != slot {
		*entry = bucket{slot: slot, draw: b.rng.Float64()}
	}
	return entry
}
