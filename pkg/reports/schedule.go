package reports

import (
	"time"

	"agatepulley.example/agatepulley/core/membership"
)

const (
	// interval is the time between reports to a host of the own zone when nothing changes. otherZoneInterval is longer
	// because bytes between zones are charged for.
	interval          = 300 * time.Millisecond
	otherZoneInterval = 500 * time.Millisecond
	// nearLinks and farLinks are about the numbers of hosts, in the own zone and in the others, that a node exchanges
	// reports with, so that what it sends does not grow with the fleet. Most requests stay in their zone.
	nearLinks = 24
	farLinks  = 12
	// gap is the time for which urgent reports are collected.
	gap = 15 * time.Millisecond
)

// shares are the shares of the hosts in the own zone and elsewhere that a node is linked with. Both ends of a link use the
// same ones as long as they know the same hosts.
type shares struct{ near, far float64 }

// newShares returns the shares for a zone with a number of hosts in a fleet of a given size, both with this host.
func newShares(zone, fleet int) shares {
	return shares{near: nearLinks / float64(max(zone, 1)), far: farLinks / float64(max(fleet-nearLinks, 1))}
}

// linked reports whether this node and another host exchange reports.
func (s *Service) linked(ip string, h *host) bool {
	share := s.shares.far
	if h.zone == s.options.Zone {
		share = s.shares.near
	}
	return membership.Linked(s.options.IP, ip, share)
}
