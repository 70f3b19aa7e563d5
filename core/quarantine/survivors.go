package quarantine

import "time"

// Survivors remembers fingerprints whose requests have succeeded recently. A request that crashes each backend server never
// succeeds, so these are not suspected when they are in flight at a crash: popular requests are in flight at most crashes.
// Survivors is not safe for concurrent use.
type Survivors struct {
	lifetime time.Duration
	seen     map[string]time.Duration
	// order is a ring of the remembered fingerprints; the one at next is replaced first.
	order []string
	next  int
}

// NewSurvivors returns an empty memory of the given size, which forgets fingerprints after lifetime.
func NewSurvivors(capacity int, lifetime time.Duration) *Survivors {
	return &Survivors{lifetime: lifetime, seen: make(map[string]time.Duration, capacity), order: make([]string, capacity)}
}

// Add records that a request with the fingerprint has succeeded.
func (s *Survivors) Add(fingerprint string, now time.Duration) {
	if _, known := s.seen[fingerprint]; !known {
		delete(s.seen, s.order[s.next])
		s.order[s.next] = fingerprint
		s.next = (s.next + 1) % len(s.order)
	}
	s.seen[fingerprint] = now
}

// Contains reports whether a request with the fingerprint has succeeded within the lifetime.
func (s *Survivors) Contains(fingerprint string, now time.Duration) bool {
	at, known := s.seen[fingerprint]
	return known && now-at < s.lifetime
}
