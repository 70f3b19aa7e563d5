package health

import (
	"math"
	"time"
)

// Latencies are counted in buckets whose bounds grow exponentially from smallestLatency.
const (
	bucketsPerDoubling = 4
	bucketCount        = 84
	smallestLatency    = 50 * time.Microsecond

	// maxBaselineSamples bounds the weight of old samples: when the total reaches it, all counts are halved.
	maxBaselineSamples = 2000
	// minBaselineSamples is the number of samples below which the baseline is not used to judge latencies.
	minBaselineSamples = 50
	// Tail shares below extrapolateBelow rest on too few samples and are extrapolated by a Pareto tail with
	// paretoExponent. An exponent of 2 is heavier than the measured tails, so that extrapolation understates the evidence
	// against an endpoint rather than overstates it.
	extrapolateBelow = 0.02
	paretoExponent   = 2.0

	// A moving average of the evidence above maxMeanSample means that the latency of the zone as a whole has changed. Each
	// sample then also scales the old counts by forgetFactor. meanSampleWeight is the weight of the latest sample in the
	// average.
	maxMeanSample    = 1.0
	forgetFactor     = 0.9
	meanSampleWeight = 1.0 / 32
)

// baseline is the distribution of the latency of one class of requests, short or long, to the endpoints of one zone.
type baseline struct {
	counts     [bucketCount]float32
	total      float64
	meanSample float64 // moving average of the evidence of the samples
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

// add counts a latency. evidence is the evidence of that latency against its endpoint.
func (b *baseline) add(latency time.Duration, evidence float64) {
	b.meanSample += meanSampleWeight * (evidence - b.meanSample)
	if b.meanSample > maxMeanSample {
		b.scale(forgetFactor)
	}
	b.counts[bucketOf(latency)]++
	b.total++
	if b.total >= maxBaselineSamples {
		b.scale(0.5)
	}
}

func (b *baseline) scale(factor float64) {
	for i := range b.counts {
		b.counts[i] *= float32(factor)
	}
	b.total *= factor
}

// tail estimates the share of requests that take longer than latency. It returns 1 below minBaselineSamples.
func (b *baseline) tail(latency time.Duration) float64 {
	if b.total < minBaselineSamples {
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

// extrapolate continues the tail beyond the observed samples by a Pareto distribution.
func (b *baseline) extrapolate(latency time.Duration) float64 {
	// The largest of few samples says little about the tail, so the reference latency is chosen such that at least two
	// samples exceed it.
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

// quantile returns a latency that at most the given share of requests exceeds, or 0 below minBaselineSamples.
func (b *baseline) quantile(share float64) time.Duration {
	if b.total < minBaselineSamples {
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
