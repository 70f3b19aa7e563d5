// Package faultfilter estimates the probability that an endpoint is failing requests.
//
// An endpoint is modelled as a two-state hidden Markov process: it is sound or it fails a large part of its requests,
// and it changes state on its own at known rates. Each outcome of a request updates the probability by its likelihood
// in both states, and time that passes without outcomes moves it back to the stationary share. One failure after many
// successes therefore costs an endpoint most of its traffic at once, and silence gives it another chance.
package faultfilter

import (
	"math"
	"time"
)

// Outcome is the result of one request as evidence about its endpoint.
type Outcome int

// Outcomes, from good to bad.
const (
	Success Outcome = iota
	// LateFailure is an error answer that took as long as real work does. It may come from a service that the endpoint
	// called, so it says less about the endpoint.
	LateFailure
	// Stalled is a request that has been open for much longer than most.
	Stalled
	Failure
)

// Rates of the state changes per second, and limits of the probability. The rates describe faults that last seconds.
const (
	onsetPerSecond    = 0.07
	recoveryPerSecond = 0.22
	stationary        = onsetPerSecond / (onsetPerSecond + recoveryPerSecond)
	// The probability stays away from 0 and 1 so that contrary evidence still moves it.
	minProbability = 0.002
	maxProbability = 0.995
	// Initial is the probability for an endpoint about which nothing is known.
	Initial = 0.10
)

// likelihood is the probability of an outcome in both states.
type likelihood struct{ failing, sound float64 }

var likelihoods = map[Outcome]likelihood{
	Success:     {failing: 0.22, sound: 0.975},
	LateFailure: {failing: 0.30, sound: 0.06},
	Stalled:     {failing: 0.45, sound: 0.04},
	Failure:     {failing: 0.75, sound: 0.013},
}

// Filter is the estimate for one endpoint. The zero value knows nothing. It is not safe for concurrent use.
type Filter struct {
	probability float64
	at          time.Duration
	started     bool
}

// New returns a filter that was told a probability at a time.
func New(probability float64, at time.Duration) Filter {
	return Filter{probability: clamp(probability), at: at, started: true}
}

// Probability returns the probability at a time that the endpoint is failing.
func (f *Filter) Probability(now time.Duration) float64 {
	if !f.started {
		return Initial
	}
	return Project(f.probability, now-f.at)
}

// Project returns what a probability becomes after a time without outcomes.
func Project(probability float64, passed time.Duration) float64 {
	if passed <= 0 {
		return probability
	}
	decay := math.Exp(-(onsetPerSecond + recoveryPerSecond) * passed.Seconds())
	return stationary + (probability-stationary)*decay
}

// Observe takes in the outcome of a request.
func (f *Filter) Observe(now time.Duration, o Outcome) {
	prior := f.Probability(now)
	l := likelihoods[o]
	failing := prior * l.failing
	*f = New(failing/(failing+(1-prior)*l.sound), now)
}

// Reset forgets everything, as after a restart of the endpoint.
func (f *Filter) Reset() {
	*f = Filter{}
}

func clamp(p float64) float64 {
	return min(max(p, minProbability), maxProbability)
}
