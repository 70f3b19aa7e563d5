// Package clock gives monotonic time to the duties of a node and detects pauses of the process.
package clock

import "time"

// Clock reads monotonic time as the duration since an arbitrary start.
type Clock interface {
	Now() time.Duration
}

// Monotonic is the process clock. It is not affected by changes of the wall clock.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock that starts at zero.
func NewMonotonic() *Monotonic {
	return &Monotonic{start: time.Now()}
}

// Now returns the time since the clock was created.
func (m *Monotonic) Now() time.Duration {
	return time.Since(m.start)
}

// PauseDetector reports turns of a periodic loop that came much later than planned, as they do when the process was
// stopped or the host was frozen. It is not safe for concurrent use.
type PauseDetector struct {
	threshold time.Duration
	last      time.Duration
	started   bool
}

// NewPauseDetector returns a detector that reports gaps longer than threshold.
func NewPauseDetector(threshold time.Duration) *PauseDetector {
	return &PauseDetector{threshold: threshold}
}

// Observe records one turn of the loop and returns the length of the gap before it if that gap was a pause, or zero.
func (p *PauseDetector) Observe(now time.Duration) time.Duration {
	gap := now - p.last
	first := !p.started
	p.last = now
	p.started = true
	if first || gap <= p.threshold {
		return 0
	}
	return gap
}
