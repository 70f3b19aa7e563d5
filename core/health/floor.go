package health

import (
	"hash/fnv"
	"sort"
)

// rank is the position key of an endpoint in the order of its service. It depends only on the two names, so that all
// views protect the same endpoints without exchanging messages.
func rank(service, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// FNV alone orders names that differ only in their last character by that character.
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// floorSlots is the number of slots that must stay in place: the percentage of the slots of all configured endpoints,
// rounded up.
func floorSlots(total, percent int) int {
	return (total*percent + 99) / 100
}

// protect recomputes which endpoints may not be ejected: the first available ones in the order whose slots reach the
// floor. If the available slots do not reach it, all are protected.
func (d *Detector) protect() {
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
