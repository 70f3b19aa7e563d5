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
	// Where there are several regions, a node is linked with sameRegionLinks hosts of its region and with about otherRegionLinks of
	// others, at otherRegionInterval: requests leave their region rarely, and reports between regions would be most of the traffic
	// there.
	sameRegionLinks     = 24
	otherRegionLinks    = 6
	otherRegionInterval = time.Second
	// urgentDelay is how long an urgent report waits, so that changes in quick succession share one datagram.
	urgentDelay = 15 * time.Millisecond
)

// shares are the shares of the hosts in the same zone and in other zones with which a node is linked. Both ends of a link
// use the same shares as long as they know the same hosts.
type shares struct{ sameZone, otherZones, otherRegions float64 }

// newShares returns the shares for the numbers of hosts in the zone, the region and the fleet, all including this host.
func newShares(zone, region, fleet int) shares {
	if region == fleet {
		return shares{sameZone: sameZoneLinks / float64(max(zone, 1)), otherZones: otherZoneLinks / float64(max(fleet-sameZoneLinks, 1))}
	}
	return shares{
		sameZone:   sameZoneLinks / float64(max(zone, 1)),
		otherZones: sameRegionLinks / float64(max(region, 1)),
		// Regions differ in size, and both ends of a link need the same share.
		otherRegions: 2 * otherRegionLinks / float64(max(fleet, 1)),
	}
}

// linked reports whether this node and another host exchange reports. The caller holds the lock.
func (s *Service) linked(ip string, h *host) bool {
	share := s.shares.otherZones
	switch {
	case h.zone == s.options.Zone:
		share = s.shares.sameZone
	case !s.sameRegion(h):
		share = s.shares.otherRegions
	}
	return membership.Linked(s.options.IP, ip, share)
}

// sameRegion reports whether a host is in the region of this node.
func (s *Service) sameRegion(h *host) bool {
	return s.options.Regions.Of(h.zone) == s.options.Regions.Of(s.options.Zone)
}
