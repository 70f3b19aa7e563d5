package health

import (
	"hash/fnv"
	"sort"
)

// rank returns the sort key of an endpoint in the order of its service. It depends only on the names of the service and
// the endpoint, so that all detectors of the service protect the same endpoints without exchanging messages.
func rank(service, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// FNV alone sorts names that differ only in their last character by that character, so the bits are mixed further.
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// floorSlots returns the number of slots that ejections must leave in rotation: the given percentage of the slots of
// all configured endpoints, rounded up.
func floorSlots(total, percent int) int {
	return (total*percent + 99) / 100
}

// markProtected recomputes which endpoints may not be ejected: as many available endpoints, in the order of their
// rank, as are needed for their slots to reach the floor. If the available slots do not reach it, all available
// endpoints are protected.
func (d *Detector) markProtected() {
	total := 0
	for _, e := range d.order {
		total += e.Slots
		e.protected = false
	}
	need := floorSlots(total, d.floorPercent)
	for _, e := range d.order {
		if need <= 0 {
			return
		}
		if e.Unavailable || e.Cold {
			continue
		}
		e.protected = true
		need -= e.Slots
	}
}

func (d *Detector) sortOrder() {
	sort.Slice(d.order, func(i, j int) bool {
		a, b := d.order[i], d.order[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.ID < b.ID
	})
}
