package reports

import (
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/core/retrybudget"
)

// ObserveEndpoint records the condition of an endpoint that was received in the header of a response.
func (s *Service) ObserveEndpoint(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(e, s.options.Clock.Now())
}

// observe stores the condition of an endpoint, unless too many are not registered. The caller holds the lock.
func (s *Service) observe(e Endpoint, now time.Duration) {
	if s.endpoints[e.ID] == nil && !s.registered(e.ID) {
		if s.unregisteredEndpoints >= maxUnregisteredEndpoints {
			s.forgetEndpoints()
		}
		if s.unregisteredEndpoints >= maxUnregisteredEndpoints {
			return
		}
		s.unregisteredEndpoints++
	}
	s.endpoints[e.ID] = s.endpoints[e.ID].update(e, now)
	if e.Announced.Version > 0 {
		s.options.Announced(e.ID, e.Announced)
	}
}

// Endpoint returns the latest received condition of an endpoint. It returns false if none is known.
func (s *Service) Endpoint(id string) (ReceivedEndpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.endpoints[id]
	if k == nil {
		return ReceivedEndpoint{}, false
	}
	return *k, true
}

// CountSent counts a request that was sent to an endpoint after the latest report on it.
func (s *Service) CountSent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.endpoints[id]; k != nil {
		k.SentSince++
	}
}

// ObservePath records whether an exchange with a host failed on the network, regardless of what the endpoint answered.
func (s *Service) ObservePath(ip string, outcome faultfilter.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.host(ip); h != nil {
		h.local.Observe(s.options.Clock.Now(), outcome)
	}
}

// Path returns the probability that a request to a host fails on the network path, and whether the host is leaving the
// fleet.
func (s *Service) Path(ip string) (failureProbability float64, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ip == s.options.IP {
		return 0, false
	}
	h := s.hosts[ip]
	if h == nil {
		return unknownFailureProbability, false
	}
	now := s.options.Clock.Now()
	failureProbability = h.path.failureProbability(now, s.interval(h))
	if h.unreachableBy.confirmed(now) {
		failureProbability = max(failureProbability, brokenFailureProbability)
	}
	if local := h.local.Probability(now); local > minLocalProbability {
		failureProbability = 1 - (1-failureProbability)*(1-local)
	}
	return failureProbability, h.report.Leaving && now-h.path.receivedAt < s.liveTimeout(h)
}

// Linked reports whether this node exchanges reports with a host, and so knows the condition of its endpoints. It
// returns true for the node's own host.
func (s *Service) Linked(ip string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[ip]
	return ip == s.options.IP || h != nil && h.linked
}

// minLocalProbability is the failure probability, estimated from this node's own exchanges with a host, above which it is
// combined with the one from the reports.
const minLocalProbability = 0.3

// Incarnation returns the incarnation of the process that sent the latest report from a host, or 0 if there is none.
func (s *Service) Incarnation(ip string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[ip]; h != nil {
		return h.report.Incarnation
	}
	return 0
}

// Repeats returns the requests and retries that other nodes counted for a service in the window of the retry budget:
// for the nodes that still send reports, and for those that have stopped. The share of the fleet in the first result
// includes this node.
func (s *Service) Repeats(service string, window time.Duration) (live, unreachable retrybudget.GroupUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	share := 1 / float64(1+len(s.hosts))
	live.Share = share
	for _, h := range s.hosts {
		if !h.linked || !h.path.everReceived {
			continue
		}
		usage := h.report.usage(service)
		if age := now - h.path.receivedAt; age > s.liveTimeout(h) {
			unreachable.AddUnreachable(usage, share, age, window)
		} else {
			live.Add(usage, share)
		}
	}
	return live, unreachable
}

// CountedServices returns the services for which other nodes have counted requests. A name may occur more than once.
func (s *Service) CountedServices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	var names []string
	for _, h := range s.hosts {
		if s.live(now, h) {
			for _, counted := range h.report.Repeats {
				names = append(names, counted.Service)
			}
		}
	}
	return names
}

// Origins returns the requests that other nodes counted for a service, by the service of the endpoints on their hosts.
// The function serviceOf returns the latter for an IP address. Nodes whose reports are overdue are left out.
func (s *Service) Origins(service string, serviceOf func(ip string) string) map[string]retrybudget.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	origins := make(map[string]retrybudget.Origin)
	for ip, h := range s.hosts {
		if !s.live(now, h) {
			continue
		}
		o := origins[serviceOf(ip)]
		o.Hosts++
		o.Requests += h.report.usage(service).Requests
		origins[serviceOf(ip)] = o
	}
	return origins
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

// Settled reports whether the node has had time to receive reports from all others, since its start and since it learned
// of the first other host. Until then its rank is not reliable.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Clock.Now()-max(s.started, s.firstHostAt) >= settleTime
}

// Rank returns the position of this node in the order of the live nodes of its zone, starting at 0.
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

// ZoneRank returns the position of this node's zone in the order of the zones with live nodes, starting at 0.
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

// zoneRankKey is the rendezvous hashing key for the order of the zones.
const zoneRankKey = "zones"

// liveTimeout returns the time without reports after which a host no longer counts as live. The caller holds the lock.
func (s *Service) liveTimeout(h *host) time.Duration {
	return liveIntervals * s.interval(h)
}

// live reports whether this node receives reports from a host that is not leaving. The caller holds the lock.
func (s *Service) live(now time.Duration, h *host) bool {
	return h.linked && h.path.everReceived && now-h.path.receivedAt < s.liveTimeout(h) && !h.report.Leaving
}

// presumedLive reports whether a host is live, as far as this node can know. A host that is not linked sends no reports to
// this node and counts as live while it is registered. The caller holds the lock.
func (s *Service) presumedLive(now time.Duration, h *host) bool {
	if h.linked {
		return s.live(now, h)
	}
	return h.registered
}

// relayDelay is added to the age of another node's contact with the store. Without it, two nodes that relay the same
// contact to each other could keep its age from growing.
const relayDelay = 20 * time.Millisecond

// StoreContactAge returns the time since the store last answered another node, according to the received reports. It
// returns neverAge if no report mentions an answer.
func (s *Service) StoreContactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	age := neverAge
	for _, h := range s.hosts {
		if h.path.everReceived && h.report.StoreMS >= 0 {
			age = min(age, time.Duration(h.report.StoreMS)*time.Millisecond+now-h.path.receivedAt+relayDelay)
		}
	}
	return age
}
