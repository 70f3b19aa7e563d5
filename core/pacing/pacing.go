// Package pacing spaces the requests to an endpoint that limits their rate.
//
// The node on the endpoint's host starts requests only while the endpoint has credit: credit grows at the limit, each start
// uses one, and unused credit is kept up to a small amount. The other nodes estimate the credit from the latest report.
package pacing

import "time"

const (
	// minRate is the least rate, in requests per second, at which requests are started whatever the limit is: only responses
	// tell when a limit ends.
	minRate = 0.6
	// keptTime is the time for which unused credit is kept. Requests that arrive unevenly can then still use the whole limit.
	keptTime = 500 * time.Millisecond
)

// Rate returns the number of requests per second that are started at a limit.
func Rate(limit float64) float64 {
	return max(limit, minRate)
}

// BelowMinimum reports whether a limit is so low that requests are started only to learn when it ends.
func BelowMinimum(limit float64) bool {
	return limit < minRate
}

// maxCredit returns the largest credit at a rate.
func maxCredit(rate float64) float64 {
	return max(1, rate*keptTime.Seconds())
}

// Project returns the credit after a time in which no request has been started.
func Project(limit, credit float64, elapsed time.Duration) float64 {
	rate := Rate(limit)
	return min(credit+rate*elapsed.Seconds(), maxCredit(rate))
}

// Wait returns the time until the credit suffices for another request after as many others as ahead says.
func Wait(limit, credit, ahead float64) time.Duration {
	missing := ahead + 1 - credit
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / Rate(limit) * float64(time.Second))
}

// Pacer holds the credit of an endpoint. The zero value has no limit. It is not safe for concurrent use.
type Pacer struct {
	limited bool
	limit   float64
	// credit is the credit at the time at.
	credit float64
	at     time.Duration
}

// SetLimit sets the limit in requests per second. A limit after none begins without credit: more requests than it allows may
// have been started just before.
func (p *Pacer) SetLimit(now time.Duration, limit float64) {
	if p.limited && p.limit == limit {
		return
	}
	credit := 0.0
	if p.limited {
		credit = p.Credit(now)
	}
	p.limited, p.limit, p.at = true, limit, now
	p.credit = min(credit, maxCredit(Rate(limit)))
}

// Unlimit ends the limit.
func (p *Pacer) Unlimit() {
	*p = Pacer{}
}

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool {
	return p.limited
}

// Credit returns the number of requests that may be started now. It is meaningful only if there is a limit.
func (p *Pacer) Credit(now time.Duration) float64 {
	return Project(p.limit, p.credit, max(now-p.at, 0))
}

// Wait returns the time until a request may be started after as many others as ahead says.
func (p *Pacer) Wait(now time.Duration, ahead int) time.Duration {
	if !p.limited {
		return 0
	}
	return Wait(p.limit, p.Credit(now), float64(ahead))
}

// Start records that a request is started.
func (p *Pacer) Start(now time.Duration) {
	if p.limited {
		p.credit, p.at = p.Credit(now)-1, now
	}
}
