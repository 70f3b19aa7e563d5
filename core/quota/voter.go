package quota

import "time"

// candidate is a process that may hold a slot.
type candidate struct {
	node        string
	incarnation uint64
}

// vote is the vote of a node for the holder of one slot.
type vote struct {
	candidate candidate
	// campaign is the number of the candidate's campaign for which the vote was given last.
	campaign uint64
	// until is the end of the vote, and since the time from which no other candidate can have held the slot.
	until, since time.Duration
}

// voter gives the votes of one node. It forgets its votes at a restart, so that it gives none until those it may have given have
// ended.
type voter struct {
	startedAt time.Duration
	votes     map[int]*vote
}

// give gives the vote for a slot, or returns the candidate that has it. Before groupSince the node may not have been asked for it.
func (v *voter) give(now, groupSince time.Duration, slot int, c candidate, campaign uint64) (quiet time.Duration, given bool, holder string) {
	if now-v.startedAt < leaseTime {
		return 0, false, ""
	}
	current := v.votes[slot]
	switch {
	case current == nil:
		current = &vote{candidate: c, since: max(v.startedAt, groupSince)}
		v.votes[slot] = current
	case current.candidate == c:
	case current.candidate.node == c.node && current.candidate.incarnation < c.incarnation:
		// The earlier process has ended, or the later one could not have its address.
		current.candidate, current.since = c, now
	case now < current.until:
		return 0, false, current.candidate.node
	default:
		current.candidate, current.since = c, current.until
	}
	current.campaign, current.until = campaign, now+leaseTime
	return now - current.since, true, ""
}

// withdraw ends a vote that its candidate did not use. A withdrawal that arrives after the next campaign has no effect.
func (v *voter) withdraw(now time.Duration, slot int, c candidate, campaign uint64) {
	if current := v.votes[slot]; current != nil && current.candidate == c && current.campaign == campaign {
		current.until = min(current.until, now)
	}
}

// forget drops votes that ended so long ago that any bucket has filled since.
func (v *voter) forget(now time.Duration) {
	for slot, current := range v.votes {
		if now-current.until > forgetVotes {
			delete(v.votes, slot)
		}
	}
}
