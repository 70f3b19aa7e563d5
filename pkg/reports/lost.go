package reports

import (
	"slices"
	"time"
)

const (
	// minUnreachableReporters is the number of nodes of a host's own zone that must report it as unreachable before this
	// node treats it as unreachable: a single node may itself be cut off from the network.
	minUnreachableReporters = 2
	// unreachableLifetime is how long a node's report of an unreachable host counts. The node repeats it as long as it
	// receives nothing from the host.
	unreachableLifetime = 3 * time.Second
	// maxUnreachable is the maximum number of unreachable hosts in a report.
	maxUnreachable = 16
)

// unreachableReporters holds, by the IP address of each node that reports a host as unreachable, the time of its latest
// such report.
type unreachableReporters map[string]time.Duration

// confirmed reports whether enough nodes report the host as unreachable. It removes expired entries.
func (w unreachableReporters) confirmed(now time.Duration) bool {
	count := 0
	for by, at := range w {
		if now-at > unreachableLifetime {
			delete(w, by)
			continue
		}
		count++
	}
	return count >= minUnreachableReporters
}

// recordUnreachable records the hosts that a report from the address from names as unreachable. Hosts that are not in
// the sender's zone are ignored. The caller holds the lock.
func (s *Service) recordUnreachable(now time.Duration, from string, r *Report) {
	for _, ip := range r.Lost {
		h := s.hosts[ip]
		if h == nil || h.zone != r.Zone {
			continue
		}
		if h.unreachableBy == nil {
			h.unreachableBy = make(unreachableReporters)
		}
		h.unreachableBy[from] = now
	}
}

// unreachableInZone returns the registered hosts of this node's zone that are linked with it and have stopped sending
// reports. The caller holds the lock.
func (s *Service) unreachableInZone(now time.Duration) []string {
	var ips []string
	for ip, h := range s.hosts {
		if h.linked && h.registered && h.zone == s.options.Zone && h.path.everReceived && now-h.path.receivedAt >= brokenIntervals*s.interval(h) {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips[:min(len(ips), maxUnreachable)]
}
