package discovery

import (
	"sync"
	"time"
)

// contact remembers when the store last answered this node, and whether the node reads in the place of others. It is safe
// for concurrent use.
type contact struct {
	mu   sync.Mutex
	at   time.Duration
	ever bool
	// away is set while calls fail.
	away bool
	// watches holds, by what they watch, the beginnings of those that wait for the store.
	watches map[string]time.Duration
	// takingOver is set from the decision to read in the place of others until the store answers, and term is the time up to
	// which the node then reads on.
	takingOver bool
	term       time.Duration
}

// watch records that a watch begins, and returns a function to call at its end.
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

// answered records an answer. It returns true if the store had been away.
func (c *contact) answered(now time.Duration) (regained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	regained = c.away
	c.at, c.ever, c.away = now, true, false
	if c.takingOver {
		c.takingOver, c.term = false, now+takeoverTerm
	}
	return regained
}

// failed records a failed call. It returns true if the one before it had not failed.
func (c *contact) failed() (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = !c.away
	c.away = true
	return lost
}

// age is the time for which the store has not answered, or negative if it never did.
func (c *contact) age(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ever {
		return -1
	}
	if !c.away {
		// A watch that waits is in contact; only one that should have ended is not.
		for _, begun := range c.watches {
			if now-begun <= watchWait+watchSlack {
				return 0
			}
		}
	}
	return now - c.at
}

// takeOver records the decision to read in the place of others.
func (c *contact) takeOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takingOver = true
}

// inTerm reports whether the node has taken over and still has to read on.
func (c *contact) inTerm(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.term
}

// shouldRead reports whether this node reads the store now: if it is a regular reader, or if no other node has been in
// contact with the store for a while. In a rolling restart each node would otherwise go on reading until it hears of the
// others.
func (s *Service) shouldRead() bool {
	if !s.options.Readers.Settled() {
		return false
	}
	if s.contact.inTerm(s.options.Clock.Now()) {
		return true
	}
	turn, contact := s.options.Readers.Rank(), s.options.Readers.StoreContactAge()
	if turn > 0 && contact <= takeoverAfter {
		return false
	}
	if s.options.Readers.ZoneRank() >= readingZones {
		turn++
	}
	if turn == 0 {
		return true
	}
	if contact <= takeoverAfter+time.Duration(turn)*takeoverStagger {
		return false
	}
	s.contact.takeOver()
	return true
}
