package configstate

import "time"

// Freshness says whether a node may rely on its configuration after a pause of the process. While the process did not
// run, newer versions may have been adopted everywhere else.
type Freshness struct {
	limit  time.Duration
	stale  bool
	paused time.Duration
}

// DefaultFreshnessLimit is how long a node that reaches nobody after a pause waits before it acts on its configuration
// again. A node without contact is on its own side of a partition, and every side serves.
const DefaultFreshnessLimit = 5 * time.Second

// NewFreshness returns a state that is fresh. A limit of zero means the default.
func NewFreshness(limit time.Duration) *Freshness {
	if limit <= 0 {
		limit = DefaultFreshnessLimit
	}
	return &Freshness{limit: limit}
}

// Pause records that a pause ended at the given time.
func (f *Freshness) Pause(now time.Duration) {
	f.stale = true
	f.paused = now
}

// Confirm records the version that a peer or the service stated in an answer to a question asked at the given time. A
// lower or equal version confirms the one in force; an answer from before the end of the pause confirms nothing.
func (f *Freshness) Confirm(inForce, answered Mark, asked time.Duration) {
	if asked >= f.paused && answered.Version.Compare(inForce.Version) <= 0 {
		f.stale = false
	}
}

// Fresh reports whether the configuration may be relied on.
func (f *Freshness) Fresh(now time.Duration) bool {
	if f.stale && now-f.paused >= f.limit {
		f.stale = false
	}
	return !f.stale
}
