package health

import (
	"math"
	"time"
)

const (
	bucketsPerDoubling = 4
	bucketCount        = 84
	smallestLatency    = 50 * time.Microsecond

	// baselineLimit bounds the weight of the past: at this total all counts are halved.
	baselineLimit = 2000
	// baselineMinimum is the number of samples below which latency is no evidence.
	baselineMinimum = 50
	// extrapolateBelow is the tail share below which the empirical tail is too thin and a Pareto tail with
	// paretoExponent is used. An exponent of 2 is heavier than the measured tails, which errs towards no evidence.
	extrapolateBelow = 0.02
	paretoExponent   = 2.0

	// shiftLimit is the mean evidence of a whole group at which its baseline is forgotten faster, because the group as
	// a whole has changed.
	shiftLimit  = 1.0
	shiftFactor = 0.9
	shiftWeight = 1.0 / 32
)

// baseline is the distribution of the latency of one class of requests in one group of endpoints.
type baseline struct {
	counts [bucketCount]float32
	total  float64
	shift  float64
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	b := int(bucketsPerDoubling * math.Log2(float64(latency)/float64(smallestLatency)))
	return min(b, bucketCount-1)
}

func lowerBound(bucket int) float64 {
	return float64(smallestLatency) * math.Exp2(float64(bucket)/bucketsPerDoubling)
}

func (b *baseline) add(latency time.Duration, evidence float64) {
	b.shift += shiftWeight * (evidence - b.shift)
	if b.shift > shiftLimit {
		b.scale(shiftFactor)
	}
	b.counts[bucketOf(latency)]++
	b.total++
	if b.total >= baselineLimit {
		b.scale(0.5)
	}
}

func (b *baseline) scale(factor float64) {
	for i := range b.counts {
		b.counts[i] *= float32(factor)
	}
	b.total *= factor
}

// tail estimates the share of requests that take longer than latency, or 1 while too little is known.
func (b *baseline) tail(latency time.Duration) float64 {
	if b.total < baselineMinimum {
		return 1
	}
	at := bucketOf(latency)
	above := 0.0
	for i := bucketCount - 1; i > at; i-- {
		above += float64(b.counts[i])
	}
	u := (above + float64(b.counts[at])/2 + 0.5) / (b.total + 1)
	if u >= extrapolateBelow {
		return u
	}
	return min(u, b.extrapolate(latency))
}

func (b *baseline) extrapolate(latency time.Duration) float64 {
	// The largest of few samples says little about the tail, so at least two of them are left above the reference.
	share := max(extrapolateBelow, 2/b.total)
	above, ref := 0.0, bucketCount-1
	for ; ref > 0; ref-- {
		above += float64(b.counts[ref])
		if above >= share*b.total {
			break
		}
	}
	ratio := lowerBound(ref+1) / float64(latency)
	if ratio >= 1 {
		return 1
	}
	return share * math.Pow(ratio, paretoExponent)
}

// quantile returns a latency that at most the given share of requests exceeds, or 0 while too little is known.
func (b *baseline) quantile(share float64) time.Duration {
	if b.total < baselineMinimum {
		return 0
	}
	above := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		above += float64(b.counts[i])
		if above > share*b.total {
			return time.Duration(lowerBound(i + 1))
		}
	}
	return 0
}
