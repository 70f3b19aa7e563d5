// Package retry bounds the retries of a service and decides whether an attempt may be followed by another.
package retry

import "agatepulley.example/agatepulley/core/outcome"

// Settings bound retries. The zero value means the defaults.
type Settings struct {
	// Percent is the number of retries allowed per 100 successes.
	Percent float64
	// Initial is the number of retries allowed before the first success.
	Initial float64
	// Limit is the largest number of retries that may be saved up.
	Limit float64
	// MaxAttempts is the largest number of attempts of one request, the first included.
	MaxAttempts int
}

// Defaults of Settings.
const (
	DefaultPercent     = 10
	DefaultInitial     = 10
	DefaultLimit       = 50
	DefaultMaxAttempts = 3
)

// WithDefaults replaces zero values by the defaults.
func (s Settings) WithDefaults() Settings {
	if s.Percent == 0 {
		s.Percent = DefaultPercent
	}
	if s.Initial == 0 {
		s.Initial = DefaultInitial
	}
	if s.Limit == 0 {
		s.Limit = DefaultLimit
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
	return &Budget{settings: s, tokens: s.Initial}
}

// Configure replaces the settings. The retries left are kept.
func (b *Budget) Configure(s Settings) {
	b.settings = s.WithDefaults()
}

// Success records a request that was answered.
func (b *Budget) Success() {
	b.tokens = min(b.tokens+b.settings.Percent/100, max(b.settings.Limit, b.settings.Initial))
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 {
	return b.tokens
}

// Reason names the rule that allowed or denied a retry.
type Reason string

// Reasons for a decision on a retry.
const (
	Allowed       Reason = "retry"
	DeniedDone    Reason = "answered"
	DeniedUnsafe  Reason = "may-have-run"
	DeniedLimit   Reason = "attempts"
	DeniedBudget  Reason = "retry-budget"
	DeniedSuspect Reason = "suspect"
)

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Outcome    outcome.Outcome
	Repeatable bool
	Keyed      bool
	// Unreached is set when the endpoint's owner was not reached or takes no work. Trying elsewhere then costs the service
	// nothing and is not charged to the budget.
	Unreached bool
	// Suspect is set when the request is suspected of crashing backend servers.
	Suspect bool
	// Attempts is the number of attempts made, the latest included.
	Attempts int
}

// Eligible decides whether the request may be sent again and takes the retry from the budget if so. A request that is
// neither repeatable nor keyed is sent again only if its latest attempt was certainly not run.
func Eligible(a Attempt, b *Budget) (bool, Reason) {
	switch {
	case a.Outcome == outcome.Answered, a.Outcome == outcome.Duplicate:
		return false, DeniedDone
	case a.Suspect && a.Outcome != outcome.NotRun:
		return false, DeniedSuspect
	case a.Outcome != outcome.NotRun && !a.Repeatable && !a.Keyed:
		return false, DeniedUnsafe
	case a.Attempts >= b.settings.MaxAttempts:
		return false, DeniedLimit
	case !a.Unreached && !b.TryRetry():
		return false, DeniedBudget
	default:
		return true, Allowed
	}
}
