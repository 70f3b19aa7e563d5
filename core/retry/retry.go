// Package retry bounds the retries of a service and decides whether an attempt may be followed by another.
package retry

import "agatepulley.example/agatepulley/core/outcome"

// Settings bound retries. The zero value means the defaults.
type Settings struct {
	// Percent is the number of retries allowed per 100 successes.
	Percent float64
	// InitialRetries is the number of retries allowed before the first success.
	InitialRetries float64
	// MaxSaved is the largest number of retries that may be saved up.
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

// Budget is the number of retries that a service may still use. Successes add to it, retries take from it, so a
// service that fails as a whole is not loaded further by its retries.
type Budget struct {
	settings Settings
	tokens   float64
}

// New returns a budget with its initial allowance.
func New(s Settings) *Budget {
	s = s.WithDefaults()
	return &Budget{settings: s, tokens: s.InitialRetries}
}

// Configure replaces the settings. The retries left are kept.
func (b *Budget) Configure(s Settings) {
	b.settings = s.WithDefaults()
}

// RecordSuccess records a request that was answered.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.settings.Percent/100, max(b.settings.MaxSaved, b.settings.InitialRetries))
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of retries left.
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
	Repeatable bool
	Keyed      bool
	// OwnerUnavailable is set when the endpoint's owner was not reached or accepts no requests. Trying another endpoint then
	// costs the service nothing and is not charged to the budget.
	OwnerUnavailable bool
	// CrashSuspect is set when the request is suspected of crashing backend servers.
	CrashSuspect bool
	// Attempts is the number of attempts made, the latest included.
	Attempts int
}

// Decide decides whether the request may be sent again and takes the retry from the budget if so. A request that is
// neither repeatable nor keyed is sent again only if its latest attempt was certainly not run.
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
