package quota

import (
	"math"
	"time"
)

// Limit is what a workspace may send.
type Limit struct {
	// Rate is the number of requests per second, and Burst the number beyond it at once.
	Rate, Burst float64
}

// bucket holds the tokens of a workspace. It may hold no more than the burst, but at least one token, or no request would ever be
// served.
type bucket struct {
	limit  Limit
	tokens float64
	at     time.Duration
}

func (b *bucket) capacity() float64 {
	return max(b.limit.Burst, 1)
}

func (b *bucket) advance(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.tokens+b.limit.Rate*(now-b.at).Seconds(), b.capacity())
		b.at = now
	}
}

// setLimit changes the limit. Tokens beyond the new burst are lost.
func (b *bucket) setLimit(now time.Duration, limit Limit) {
	b.advance(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// take takes up to need tokens, and extra ones while more than half of the burst remains.
func (b *bucket) take(now time.Duration, need, extra int) int {
	b.advance(now)
	taken := min(need, int(math.Floor(b.tokens)))
	b.tokens -= float64(taken)
	if taken < need {
		return taken
	}
	spare := min(extra, int(math.Floor(b.tokens-b.capacity()/2)))
	if spare > 0 {
		b.tokens -= float64(spare)
		taken += spare
	}
	return taken
}

// until returns the time until there is a token.
func (b *bucket) until() time.Duration {
	return time.Duration(max(1-b.tokens, 0) / b.limit.Rate * float64(time.Second))
}
