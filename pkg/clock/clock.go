// Package clock gives monotonic time to the duties of a node and detects pauses of the process.
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

// Monotonic is Go's monotonic clock. It is not affected by changes of the wall clock, and it can be faked by
// testing/synctest, but it stands still while the host is suspended.
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

// BootTime is the clock of a running node. It goes on while the host is suspended, so that a suspension counts as a pause
// and claim windows do not stretch.
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

// bootTime returns the time since the host booted. The call fails only if the kernel lacks the clock, which every
// supported version has.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("read boot-time clock: %v", err))
	}
	return time.Duration(now.Nano())
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

// Sleep waits until the time has passed or the context is done.
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
