package discovery

import (
	"sync"
	"time"
)

// contact tracks when the store last answered this node, and whether the node has taken over reading from the regular
// readers. It is safe for concurrent use.
type contact struct {
	mu           sync.Mutex
	answeredAt   time.Duration
	everAnswered bool
	// failing is set while calls to the store fail.
	failing bool
	// watches holds the start times of the watches that wait for the store, by the kind of value watched.
	watches map[string]time.Duration
	// overdue is how much longer than their wait watches of the endpoints usually take. It is known once one was answered.
	overdue      time.Duration
	overdueKnown bool
	// takingOver is set from the decision to take over until the store answers. The node then reads at least until
	// takeoverUntil.
	takingOver    bool
	takeoverUntil time.Duration
}

// watch records the start of a watch. The caller calls the returned function when the watch ends.
func (c *contact) watch(what string, now time.Duration) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watches == nil {
		c.watches = make(map[string]time.Duration)
	}
	c.watches[what] = now
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watches, what)
	}
}

const (
	// maxOverdue is the usual delay of the store up to which contact lasts only from one answer to the next. A slower store is in
	// contact while a watch is pending.
	maxOverdue = 200 * time.Millisecond
	// overdueWeight is the weight of a shorter delay in the usual one. A longer one counts at once.
	overdueWeight = 0.1
)

// endpointsAnswered records how much longer than its wait a watch of the endpoints took.
func (c *contact) endpointsAnswered(overdue time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdueKnown = true
	if overdue > c.overdue {
		c.overdue = overdue
		return
	}
	c.overdue -= time.Duration(overdueWeight * float64(c.overdue-overdue))
}

// answered records an answer of the store. It returns true if the previous call had failed.
func (c *contact) answered(now time.Duration) (regained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	regained = c.failing
	c.answeredAt, c.everAnswered, c.failing = now, true, false
	if c.takingOver {
		c.takingOver, c.takeoverUntil = false, now+takeoverDuration
	}
	return regained
}

// failed records a failed call. It returns true if the previous call had not failed.
func (c *contact) failed() (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = !c.failing
	c.failing = true
	return lost
}

// lost reports whether the latest call failed.
func (c *contact) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// latest returns the time at which the store last answered this node or, as their reports say, another one. It is negative if it
// has answered none.
func (c *contact) latest(now, othersAge time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := now - othersAge
	if c.everAnswered {
		at = max(at, c.answeredAt)
	}
	return at
}

// age returns the time since the last contact with the store, or a negative value if it has never answered.
func (c *contact) age(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.everAnswered {
		return -1
	}
	if quick := c.overdueKnown && c.overdue < maxOverdue; !c.failing && !quick {
		// A pending watch counts as contact until its wait, plus slack, has passed.
		for _, startedAt := range c.watches {
			if now-startedAt <= watchWait+watchSlack {
				return 0
			}
		}
	}
	return now - c.answeredAt
}

// takeOver records the decision to take over reading.
func (c *contact) takeOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takingOver = true
}

// takeoverActive reports whether the node has taken over and must continue to read.
func (c *contact) takeoverActive(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.takeoverUntil
}

// shouldRead reports whether this node reads the store now: if it is a regular reader, or if no other node has been in
// contact with the store for some time. It returns false until the node has had time to receive reports from others, because
// in a rolling restart every node would otherwise continue to read after its start.
func (s *Service) shouldRead() bool {
	if !s.options.Readers.Settled() {
		return false
	}
	if s.contact.takeoverActive(s.options.Clock.Now()) {
		return true
	}
	// position orders the nodes for a takeover. A node of rank 0 in one of the first readingZones zones is a regular reader
	// and ends up with 0; in the other zones, one is added to the rank.
	position, contactAge := s.options.Readers.Rank(), s.options.Readers.StoreContactAge()
	if position > 0 && contactAge <= takeoverAfter {
		return false
	}
	if s.options.Readers.ZoneRank() >= readingZones {
		position++
	}
	if position == 0 {
		return true
	}
	if contactAge <= takeoverAfter+time.Duration(position)*takeoverStagger {
		return false
	}
	s.contact.takeOver()
	return true
}
