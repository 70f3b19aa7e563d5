package config

import "time"

// WithDefaults returns a copy of the service in which zero settings are replaced by their defaults. The endpoints are
// shared with the original.
func (s Service) WithDefaults() *Service {
	setFloat(&s.Health.SuspectScore, DefaultSuspectScore)
	setFloat(&s.Health.EjectScore, DefaultEjectScore)
	setMillis(&s.Health.HoldOffMS, DefaultHoldOff)
	setMillis(&s.Health.HoldOffMaxMS, DefaultHoldOffMax)
	setMillis(&s.Health.RampMS, DefaultRamp)
	setInt(&s.Admission.QueuePerSlot, DefaultQueuePerSlot)
	setInt(&s.Admission.LongReserve, DefaultLongReserve)
	setMillis(&s.Admission.LongAfterMS, DefaultLongAfter)
	setInt(&s.Retry.BudgetPercent, DefaultBudgetPercent)
	setInt(&s.Retry.MaxAttempts, DefaultMaxAttempts)
	setInt(&s.Balance.ZoneSlackPercent, DefaultZoneSlackPercent)
	setMillis(&s.Claims.WindowMS, DefaultClaimWindow)
	setMillis(&s.Quarantine.PeriodMS, DefaultQuarantinePeriod)
	setInt(&s.Quarantine.MaxCrashes, DefaultMaxCrashes)
	return &s
}

// WithDefaults returns a copy of the route in which zero settings are replaced by their defaults.
func (r Route) WithDefaults() *Route {
	setMillis(&r.DeadlineMS, DefaultDeadline)
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if r.Class == "" {
		r.Class = ClassAuto
	}
	return &r
}

// Millis converts a setting in milliseconds to a duration.
func Millis(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func setInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func setFloat(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

func setMillis(value *int, fallback time.Duration) {
	setInt(value, int(fallback/time.Millisecond))
}
