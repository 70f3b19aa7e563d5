// Package retrybudget limits the retries of the requests of a service over all nodes of a fleet, without a shared counter.
//
// In any window of time, the number of retries in the whole fleet may reach a ratio of the number of requests plus a
// constant. Each node counts its own requests and retries and receives the counts of the other nodes in their reports. The
// retries that remain are divided among the nodes until the next reports arrive, so that the nodes together do not exceed
// the limit. Nodes that cannot be reached also make retries on their own, so a group of nodes that reach each other uses
// only the part of the constant that corresponds to its share of the fleet.
//
// A Budget holds the counts of a node for one service, a Ledger those for all, since a retry also repeats the calls of its
// request to other services. It is designed for days on which the endpoints of a service fail and its runs call another
// service: the retries of the one must not use up what the calls to the other need, and their calls must not exceed the other's
// limit.
package retrybudget

import (
	"math/rand/v2"
	"time"
)

// Settings define the limit for the fleet.
type Settings struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Constant is the number of retries allowed in each window in addition to those by the ratio.
	Constant float64
	// Window is the length of the window in which requests and retries are counted.
	Window time.Duration
}

const (
	// limitShare is the share of the limit that is used. The rest covers retries that are not yet known to all nodes.
	limitShare = 0.8
	// bucketCount is the number of buckets of a window, so that old counts expire in small steps. A bucket is about as long
	// as it takes until the counts of a node are known to all others.
	bucketCount = 20
)

// Usage holds the counts of a window. They are not integers, because counts are also scaled down and split.
type Usage struct {
	// Requests is the number of requests of callers, without retries.
	Requests float64
	// Retries is the number of retries.
	Retries float64
	// RepeatableRequests is the number of requests that may run more than once. It is not part of the reports to other
	// nodes.
	RepeatableRequests float64
	// Runs is the number of attempts of repeatable requests that ran for so long that the endpoint may have made calls. It is
	// not part of the reports to other nodes.
	Runs float64
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{
		Requests: u.Requests + o.Requests, Retries: u.Retries + o.Retries,
		RepeatableRequests: u.RepeatableRequests + o.RepeatableRequests, Runs: u.Runs + o.Runs,
	}
}

// GroupUsage holds the counts of a group of nodes of the fleet.
type GroupUsage struct {
	Usage
	// Share is the share of the group's nodes in all nodes of the fleet, 0 to 1.
	Share float64
}

// Add adds the counts of a node that makes up the given share of the fleet.
func (g *GroupUsage) Add(u Usage, share float64) {
	g.Usage = g.Usage.Add(u)
	g.Share += share
}

// AddUnreachable adds the counts that a node reported before it became unreachable, where unreachable is the time since its
// latest report. The counts and the share decrease linearly to zero within one window.
func (g *GroupUsage) AddUnreachable(u Usage, share float64, unreachable, window time.Duration) {
	rest := max(0, 1-unreachable.Seconds()/window.Seconds())
	g.Add(Usage{Requests: rest * u.Requests, Retries: rest * u.Retries}, rest*share)
}

// Limit returns the number of retries that a group of nodes may make in a window.
func (s Settings) Limit(g GroupUsage) float64 {
	return limitShare * (s.Ratio*g.Requests + s.Constant*g.Share)
}

// Remaining returns the number of retries that the reachable nodes may still make. The unreachable nodes have a limit of
// their own. The retries by which they had exceeded it before they became unreachable are deducted.
func (s Settings) Remaining(reachable, unreachable GroupUsage) float64 {
	return s.Limit(reachable) - reachable.Retries - max(0, unreachable.Retries-s.Limit(unreachable))
}

// bucket holds the counts of one step of the window.
type bucket struct {
	// number counts the steps since time 0.
	number int64
	Usage
	// draw is a random number in [0, 1) by which the share of the node is rounded.
	draw float64
}

// Budget counts the requests and retries of one node for one service. It is not safe for concurrent use.
type Budget struct {
	window time.Duration
	rng    *rand.Rand
	ring   [bucketCount]bucket
}

// New returns a budget without counts.
func New(s Settings, rng *rand.Rand) *Budget {
	return &Budget{window: s.Window, rng: rng}
}

// AddRequest counts a request of a caller. A retry is not counted as a request.
func (b *Budget) AddRequest(now time.Duration, repeatable bool) {
	entry := b.bucket(now)
	entry.Requests++
	if repeatable {
		entry.RepeatableRequests++
	}
}

// AddRun counts an attempt of a repeatable request that ran for so long that the endpoint may have made calls.
func (b *Budget) AddRun(now time.Duration) {
	b.bucket(now).Runs++
}

// AddRetries counts n retries. n may be a fraction for the expected number of calls that a repeated run of a request to another
// service makes to this one, and negative for retries that did not reach an endpoint.
func (b *Budget) AddRetries(now time.Duration, n float64) {
	b.bucket(now).Retries += n
}

// Usage returns the counts of the window that ends at the time now.
func (b *Budget) Usage(now time.Duration) Usage {
	oldest := b.bucketNumber(now) - bucketCount
	var sum Usage
	for _, entry := range b.ring {
		if entry.number > oldest {
			sum = sum.Add(entry.Usage)
		}
	}
	// Retries are given back in a later bucket than the one in which they were counted.
	sum.Retries = max(sum.Retries, 0)
	return sum
}

// AllowsRetries reports whether the node may make n retries, given the number of retries that remain for all the nodes
// together. n may be a fraction for an expected number. The share of a node covers the retries that it made recently, because
// the other nodes may not know of them. It is rounded up or down by chance, so that the nodes together use what remains even
// if it is less than one retry for each.
func (b *Budget) AllowsRetries(now time.Duration, n, remaining float64, nodes int) bool {
	quota := remaining / float64(max(nodes, 1))
	return quota > 0 && b.recent(now)+n <= quota+b.bucket(now).draw
}

// recent returns the number of retries in the current and the previous bucket. Other nodes may not have received them in a
// report yet.
func (b *Budget) recent(now time.Duration) float64 {
	number := b.bucketNumber(now)
	recent := 0.0
	for _, entry := range b.ring {
		if entry.number >= number-1 {
			recent += entry.Retries
		}
	}
	return recent
}

// bucketNumber returns the number of the bucket of the time now.
func (b *Budget) bucketNumber(now time.Duration) int64 {
	return int64(now / (b.window / bucketCount))
}

// bucket returns the bucket of the time now. It replaces the counts of an expired one.
func (b *Budget) bucket(now time.Duration) *bucket {
	number := b.bucketNumber(now)
	entry := &b.ring[number%bucketCount]
	if entry.number != number {
		*entry = bucket{number: number, draw: b.rng.Float64()}
	}
	return entry
}
