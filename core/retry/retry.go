// Package retry limits the retries of a service by a budget and decides whether a failed request is sent again.
package retry

import "agatepulley.example/agatepulley/core/outcome"

// Settings limit retries. The zero value means the defaults.
type Settings struct {
	// Percent is the number of retries allowed per 100 successes.
	Percent float64
	// InitialRetries is the number of retries allowed before the first success.
	InitialRetries float64
	// MaxSaved is the largest number of unused retries that the budget accumulates. InitialRetries applies if it is
	// larger.
	MaxSaved float64
	// MaxAttempts is the largest number of attempts of one request, the first included.
	MaxAttempts int
}

// Defaults of Settings.
const (
	DefaultPercent        = 10
	DefaultInitialRetries = 10
	DefaultMaxSaved       = 50
	DefaultMaxAttempts    = 3
)

// WithDefaults replaces zero values by the defaults.
func (s Settings) WithDefaults() Settings {
	if s.Percent == 0 {
		s.Percent = DefaultPercent
	}
	if s.InitialRetries == 0 {
		s.InitialRetries = DefaultInitialRetries
	}
	if s.MaxSaved == 0 {
		s.MaxSaved = DefaultMaxSaved
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	return s
}

// Budget is the number of retries that a service may still use. Successes add to it and retries take from it, so that
// retries add little load to a service that fails as a whole. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	tokens   float64
}

// New returns a budget of InitialRetries retries.
func New(s Settings) *Budget {
	s = s.WithDefaults()
	return &Budget{settings: s, tokens: s.InitialRetries}
}

// Configure replaces the settings. The number of remaining retries is kept.
func (b *Budget) Configure(s Settings) {
	b.settings = s.WithDefaults()
}

// RecordSuccess adds to the budget the part of a retry, Percent/100, that one success allows.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.settings.Percent/100, max(b.settings.MaxSaved, b.settings.InitialRetries))
}

// TryRetry takes one retry from the budget. It reports false if less than one remains.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of remaining retries.
func (b *Budget) Remaining() float64 {
	return b.tokens
}

// Reason names the rule that allowed or denied a retry.
type Reason string

// Reasons for a decision on a retry.
const (
	Allowed            Reason = "retry"
	DeniedAnswered     Reason = "answered"
	DeniedMayHaveRun   Reason = "may-have-run"
	DeniedMaxAttempts  Reason = "attempts"
	DeniedBudget       Reason = "retry-budget"
	DeniedCrashSuspect Reason = "suspect"
)

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Outcome    outcome.Outcome
	Repeatable bool // whether the request may be run more than once
	Keyed      bool // whether the request has an idempotency key, which keeps it from running twice
	// OwnerUnavailable is set when the endpoint's owner was not reached or accepts no requests. Trying another endpoint
	// then costs the service nothing and is not charged to the budget.
	OwnerUnavailable bool
	// CrashSuspect is set when the request may have crashed a backend server. It is then sent again only if it was
	// certainly not run.
	CrashSuspect bool
	// Attempts is the number of attempts made, the latest included.
	Attempts int
}

// Decide reports whether the request may be sent again and the rule that decided it. A permitted retry is taken from
// the budget unless OwnerUnavailable is set. A request that is neither repeatable nor keyed is sent again only if its
// latest attempt was certainly not run.
func Decide(a Attempt, b *Budget) (bool, Reason) {
	switch {
	case a.Outcome == outcome.Answered, a.Outcome == outcome.Duplicate:
		return false, DeniedAnswered
	case a.CrashSuspect && a.Outcome != outcome.NotRun:
		return false, DeniedCrashSuspect
	case a.Outcome != outcome.NotRun && !a.Repeatable && !a.Keyed:
		return false, DeniedMayHaveRun
	case a.Attempts >= b.settings.MaxAttempts:
		return false, DeniedMaxAttempts
	case !a.OwnerUnavailable && !b.TryRetry():
		return false, DeniedBudget
	default:
		return true, Allowed
	}
}
