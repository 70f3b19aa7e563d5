package registry

import "time"

// eraShift is the position of the era in a position. Stores count fewer changes than that in an era.
const eraShift = 48

// Position returns a revision of the store with the era in which it was given out, as one number: positions of later eras are higher
// than all of earlier ones.
func Position(era, revision uint64) uint64 {
	return era<<eraShift | revision&(1<<eraShift-1)
}

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 {
	return position >> eraShift
}

// RevisionOf returns the revision that a position holds.
func RevisionOf(position uint64) uint64 {
	return position & (1<<eraShift - 1)
}

// enterEra defers removals if a snapshot is the first of a later era, since the copy with which it began may lack entries.
func (g *Registry) enterEra(now time.Duration, s Snapshot) {
	if g.revision > 0 && EraOf(s.Revision) > EraOf(g.revision) {
		g.mayHaveLapsed, g.reachableSince = true, now
	}
}

// outlives reports whether the known state of an endpoint is kept although a version of a later era differs: the version may come
// from the copy with which the era began, and is of an earlier process, or of one that has been removed or draining since.
func (r *record) outlives(e *Entry, written bool) bool {
	if written || e.Removed || EraOf(e.Revision) <= EraOf(r.Revision) || e.StartedAtMS > r.StartedAtMS {
		return false
	}
	return e.StartedAtMS < r.StartedAtMS || r.Removed || (r.Draining && !e.Draining)
}
