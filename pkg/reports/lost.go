package reports

import (
	"slices"
	"time"
)

const (
	// lostWitnesses is the number of nodes of a host's own zone that must have lost it before other zones believe it: one
	// of them may be cut off itself.
	lostWitnesses = 2
	// lostLifetime is how long their word holds. They repeat it as long as the host is silent.
	lostLifetime = 3 * time.Second
	// maxLost bounds the lost hosts that a report names.
	maxLost = 16
)

// witnesses are the nodes of a host's zone that have lost it, with the time of their latest word.
type witnesses map[string]time.Duration

// lost reports whether enough of them agree.
func (w witnesses) lost(now time.Duration) bool {
	count := 0
	for by, at := range w {
		if now-at > lostLifetime {
			delete(w, by)
			continue
		}
		count++
	}
	return count >= lostWitnesses
}

// noteLost takes in which hosts of its zone the sender of a report has lost. The caller holds the lock.
func (s *Service) noteLost(now time.Duration, from string, r *Report) {
	for _, ip := range r.Lost {
		h := s.hosts[ip]
		if h == nil || h.zone != r.Zone {
			continue
		}
		if h.lostBy == nil {
			h.lostBy = make(witnesses)
		}
		h.lostBy[from] = now
	}
}

// lostNearby returns listed hosts of the own zone that have gone silent. The caller holds the lock.
func (s *Service) lostNearby(now time.Duration) []string {
	var ips []string
	for ip, h := range s.hosts {
		if h.linked && h.listed && h.zone == s.options.Zone && h.path.ever && now-h.path.heardAt >= deadIntervals*s.interval(h) {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips[:min(len(ips), maxLost)]
}
