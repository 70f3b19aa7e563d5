package reports

import (
	"time"

	"agatepulley.example/agatepulley/core/membership"
)

const (
	// interval is the time between reports to a host of the same zone when nothing changes. otherZoneInterval, for hosts of
	// other zones, is longer because traffic between zones is charged by volume.
	interval          = 300 * time.Millisecond
	otherZoneInterval = 500 * time.Millisecond
	// sameZoneLinks and otherZoneLinks are the approximate numbers of hosts, in the same zone and in all others, with which
	// a node exchanges reports. They keep its traffic from growing with the fleet. Most requests stay in their zone, so
	// most links do.
	sameZoneLinks  = 24
	otherZoneLinks = 12
	// urgentDelay is how long an urgent report waits, so that changes in quick succession share one datagram.
	urgentDelay = 15 * time.Millisecond
)

// shares are the shares of the hosts in the same zone and in other zones with which a node is linked. Both ends of a link
// use the same shares as long as they know the same hosts.
type shares struct{ sameZone, otherZones float64 }

// newShares returns the shares for the numbers of hosts in the zone and in the fleet, both including this host.
func newShares(zone, fleet int) shares {
	return shares{sameZone: sameZoneLinks / float64(max(zone, 1)), otherZones: otherZoneLinks / float64(max(fleet-sameZoneLinks, 1))}
}

// linked reports whether this node and another host exchange reports. The caller holds the lock.
func (s *Service) linked(ip string, h *host) bool {
	share := s.shares.otherZones
	if h.zone == s.options.Zone {
		share = s.shares.sameZone
	}
	return membership.Linked(s.options.IP, ip, share)
}
