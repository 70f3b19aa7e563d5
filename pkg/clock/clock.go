// Package clock provides monotonic clocks for the background tasks of a node and detects pauses of the process.
package clock

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads monotonic time as the duration since an arbitrary start.
type Clock interface {
	Now() time.Duration
}

// Monotonic is Go's monotonic clock. Changes of the wall clock do not affect it, and testing/synctest can fake it, but
// it stops while the host is suspended.
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

// BootTime is the clock of a running node. It is based on CLOCK_BOOTTIME, which continues while the host is suspended,
// so that a suspension is detected as a pause and does not prolong the time for which an idempotency key is claimed.
type BootTime struct {
	start time.Duration
}

// NewBootTime returns a clock that starts at zero.
func NewBootTime() *BootTime {
	return &BootTime{start: bootTime()}
}

// Now returns the time since the clock was created.
func (b *BootTime) Now() time.Duration {
	return bootTime() - b.start
}

// bootTime returns the time since the host booted. The system call fails only on a kernel without this clock, and every
// supported version has it.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("read boot-time clock: %v", err))
	}
	return time.Duration(now.Nano())
}

// PauseDetector detects iterations of a periodic loop that start much later than planned, as they do after the process
// was stopped or the host was suspended. It is not safe for concurrent use.
type PauseDetector struct {
	threshold time.Duration
	last      time.Duration // time of the latest iteration
	started   bool          // whether there was an iteration
}

// NewPauseDetector returns a detector that reports gaps between iterations that are longer than threshold.
func NewPauseDetector(threshold time.Duration) *PauseDetector {
	return &PauseDetector{threshold: threshold}
}

// Observe records an iteration of the loop at the time now. It returns the time since the previous iteration if that
// exceeds the threshold, and zero otherwise or for the first iteration.
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

// Sleep waits for the duration d or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
