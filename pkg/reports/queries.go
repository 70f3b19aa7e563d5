package reports

import (
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/core/retrybudget"
)

// ObserveEndpoint records a report on an endpoint that arrived with a response.
func (s *Service) ObserveEndpoint(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[e.ID] = s.endpoints[e.ID].update(e, s.options.Clock.Now())
}

// Endpoint returns the latest report on an endpoint.
func (s *Service) Endpoint(id string) (ReceivedEndpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.endpoints[id]
	if k == nil {
		return ReceivedEndpoint{}, false
	}
	return *k, true
}

// CountSent records that a request was sent to an endpoint.
func (s *Service) CountSent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.endpoints[id]; k != nil {
		k.SentSince++
	}
}

// ObservePath records how an exchange with a host went on the way, whatever the endpoint did.
func (s *Service) ObservePath(ip string, outcome faultfilter.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.host(ip); h != nil {
		h.local.Observe(s.options.Clock.Now(), outcome)
	}
}

// Path returns the probability that a request to a host gets lost on the way, and whether the host is leaving.
func (s *Service) Path(ip string) (broken float64, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ip == s.options.IP {
		return 0, false
	}
	h := s.hosts[ip]
	if h == nil {
		return unknownPath, false
	}
	now := s.options.Clock.Now()
	broken = h.path.broken(now, s.interval(h))
	if h.lostBy.lost(now) {
		broken = max(broken, deadPath)
	}
	if local := h.local.Probability(now); local > startingDoubt {
		broken = 1 - (1-broken)*(1-local)
	}
	return broken, h.report.Leaving && now-h.path.heardAt < s.liveFor(h)
}

// Linked reports whether this node exchanges reports with a host, and so knows the condition of its endpoints.
func (s *Service) Linked(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[ip]
	return ip == s.options.IP || h != nil && h.linked
}

// startingDoubt is the local probability from which failed exchanges on a path count beside the reports.
const startingDoubt = 0.3

// Incarnation returns that of the process which last reported from a host, or 0.
func (s *Service) Incarnation(ip string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[ip]; h != nil {
		return h.report.Incarnation
	}
	return 0
}

// Repeats returns what the other nodes counted for a service in a window: those that are heard, whose share of the fleet
// includes this node, and those that have fallen silent.
func (s *Service) Repeats(service string, window time.Duration) (heard, silent retrybudget.GroupUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	share := 1 / float64(1+len(s.hosts))
	heard.Share = share
	for _, h := range s.hosts {
		if !h.linked || !h.path.ever {
			continue
		}
		usage := h.report.usage(service)
		if age := now - h.path.heardAt; age > s.liveFor(h) {
			silent.AddUnreachable(usage, share, age, window)
		} else {
			heard.Add(usage, share)
		}
	}
	return heard, silent
}

// Nodes returns the number of live nodes, this one included.
func (s *Service) Nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, nodes := s.options.Clock.Now(), 1
	for _, h := range s.hosts {
		if s.live(now, h) {
			nodes++
		}
	}
	return nodes
}

// Settled reports whether the node has had the time to hear the others since it started and learned of the first one. Until
// then its rank means nothing.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Clock.Now()-max(s.started, s.metAt) >= settleTime
}

// Rank returns the position of this node among the live nodes of its zone.
func (s *Service) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, rank := s.options.Clock.Now(), 0
	for ip, h := range s.hosts {
		if h.zone == s.options.Zone && s.presumedLive(now, h) && membership.RanksBefore(s.options.Zone, ip, s.options.IP) {
			rank++
		}
	}
	return rank
}

// ZoneRank returns the position of this node's zone among the zones with live nodes.
func (s *Service) ZoneRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	zones := []string{s.options.Zone}
	for _, h := range s.hosts {
		if !slices.Contains(zones, h.zone) && s.presumedLive(now, h) {
			zones = append(zones, h.zone)
		}
	}
	return slices.Index(membership.Rank(zoneRankKey, zones), s.options.Zone)
}

// zoneRankKey makes the order of the zones differ from those of the nodes in them.
const zoneRankKey = "zones"

// liveFor is the silence up to which a host counts as live. The caller holds the lock.
func (s *Service) liveFor(h *host) time.Duration {
	return liveIntervals * s.interval(h)
}

// live reports whether a host is heard. The caller holds the lock.
func (s *Service) live(now time.Duration, h *host) bool {
	return h.linked && h.path.ever && now-h.path.heardAt < s.liveFor(h) && !h.report.Leaving
}

// presumedLive reports whether a host is heard, or has no link, so that nothing is heard of it, and is registered. The
// caller holds the lock.
func (s *Service) presumedLive(now time.Duration, h *host) bool {
	if h.linked {
		return s.live(now, h)
	}
	return h.listed
}

// relayDelay is added to what another node tells of its contact with the store, so that the word of two nodes that repeat
// it to each other grows old.
const relayDelay = 20 * time.Millisecond

// StoreContactAge returns the time since any other node was last answered by the store, as far as they tell.
func (s *Service) StoreContactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	age := forever
	for _, h := range s.hosts {
		if h.path.ever && h.report.StoreMS >= 0 {
			age = min(age, time.Duration(h.report.StoreMS)*time.Millisecond+now-h.path.heardAt+relayDelay)
		}
	}
	return age
}
