// Package faultfilter estimates the probability that an endpoint is failing requests.
//
// An endpoint is modelled as a hidden Markov process with two states: either it is healthy or it fails a large part of its
// requests. It changes state at fixed rates. The outcome of each request updates the probability of the failing state by
// Bayes' rule, and without outcomes the probability returns to its stationary value. So a single failure after many
// successes raises the probability enough to divert most traffic from an endpoint, and an endpoint without traffic is used
// again after some time.
package faultfilter

import (
	"math"
	"time"
)

// Outcome is the result of one request, as evidence of the state of its endpoint.
type Outcome int

// Outcomes, ordered from good to bad.
const (
	// Success is a request that was answered without an error.
	Success Outcome = iota
	// LateFailure is an error response after about the time that a successful request needs. The error may have been caused
	// by a service that the endpoint called, so it is weaker evidence than Failure.
	LateFailure
	// Stalled is a request that has been running for much longer than usual.
	Stalled
	// Failure is any other failed request.
	Failure
)

// Rates of the state changes per second, and bounds of the probability. The rates are those of faults that last a few
// seconds.
const (
	onsetPerSecond    = 0.07
	recoveryPerSecond = 0.22
	// stationaryProbability is the share of time that an endpoint spends in the failing state.
	stationaryProbability = onsetPerSecond / (onsetPerSecond + recoveryPerSecond)
	// The probability is kept away from 0 and 1, because contrary outcomes would hardly change it there.
	minProbability = 0.002
	maxProbability = 0.995
	// Initial is the probability for an endpoint without any outcome.
	Initial = 0.10
)

// likelihood is the probability of an outcome, given that the endpoint is failing and given that it is healthy. Only the
// ratio of the two affects the estimate, so the values of the different outcomes need not sum to 1.
type likelihood struct{ failing, healthy float64 }

var likelihoods = map[Outcome]likelihood{
	Success:     {failing: 0.22, healthy: 0.975},
	LateFailure: {failing: 0.30, healthy: 0.06},
	Stalled:     {failing: 0.45, healthy: 0.04},
	Failure:     {failing: 0.75, healthy: 0.013},
}

// Filter holds the estimate for one endpoint. The zero value has seen no outcome. A Filter is not safe for concurrent use.
type Filter struct {
	// probability is the estimate at the time updatedAt.
	probability float64
	updatedAt   time.Duration
	initialized bool
}

// New returns a filter whose estimate is the given probability at the given time.
func New(probability float64, at time.Duration) Filter {
	return Filter{probability: clamp(probability), updatedAt: at, initialized: true}
}

// Probability returns the probability that the endpoint is failing at the time now.
func (f *Filter) Probability(now time.Duration) float64 {
	if !f.initialized {
		return Initial
	}
	return Project(f.probability, now-f.updatedAt)
}

// Project returns the value of a probability after the elapsed time without outcomes.
func Project(probability float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return probability
	}
	decay := math.Exp(-(onsetPerSecond + recoveryPerSecond) * elapsed.Seconds())
	return stationaryProbability + (probability-stationaryProbability)*decay
}

// Observe updates the estimate by the outcome of a request.
func (f *Filter) Observe(now time.Duration, o Outcome) {
	prior := f.Probability(now)
	l := likelihoods[o]
	failing := prior * l.failing
	*f = New(failing/(failing+(1-prior)*l.healthy), now)
}

// Reset discards the estimate. It is used after a restart of the endpoint.
func (f *Filter) Reset() {
	*f = Filter{}
}

func clamp(p float64) float64 {
	return min(max(p, minProbability), maxProbability)
}
