package clock

import (
	"sync/atomic"
	"time"
)

// Alarm calls a function after a delay. While it is set, further calls of Set have no effect. The zero value is ready to use.
type Alarm struct {
	set atomic.Bool
}

// Set calls f after a delay, in a goroutine of its own, unless the alarm is set already.
func (a *Alarm) Set(delay time.Duration, f func()) {
	if !a.set.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(delay, func() {
		a.set.Store(false)
		f()
	})
}
