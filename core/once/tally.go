package once

import (
	"maps"
	"slices"
	"time"
)

// Decision is the result of a claim.
type Decision uint8

const (
	// Undecided means that votes are missing.
	Undecided Decision = iota
	// Won means that the attempt may run until DispatchLimit has passed since the start of the claim.
	Won
	// Lost means that there is no quorum and a recorder holds the key for another attempt.
	Lost
	// NoQuorum means that there is no quorum and no recorder reported another attempt.
	NoQuorum
	// Outdated means that there is no quorum and a recorder knows a newer generation of the group.
	Outdated
)

// Claim returns the claim to send to the members of the group.
func (g Group) Claim(key, attempt ID) Claim {
	return Claim{Key: key, Attempt: attempt, Generation: g.Generation, Joint: len(g.Previous) > 0}
}

// Tally collects the votes on one claim. Once it has decided, further votes change nothing.
type Tally struct {
	group    Group
	started  time.Duration
	votes    map[string]Vote
	failed   map[string]bool
	known    map[string]uint64
	decision Decision
}

// NewTally returns a tally for a claim that starts now in the given group.
func NewTally(group Group, now time.Duration) *Tally {
	return &Tally{
		group:   group,
		started: now,
		votes:   make(map[string]Vote),
		failed:  make(map[string]bool),
		known:   make(map[string]uint64),
	}
}

// Add counts a vote.
func (t *Tally) Add(vote Vote, now time.Duration) Decision {
	if t.decision != Undecided || !t.group.Includes(vote.Member) {
		return t.decision
	}
	t.know(vote.Member, vote.Incarnation)
	for member, incarnation := range vote.Known {
		t.know(member, incarnation)
	}
	if t.replaces(vote) {
		t.votes[vote.Member] = vote
	}
	return t.decide(now)
}

// Fail records that a member will not vote.
func (t *Tally) Fail(member string, now time.Duration) Decision {
	if t.decision != Undecided {
		return t.decision
	}
	t.failed[member] = true
	return t.decide(now)
}

// Expire decides the claim if its time has passed.
func (t *Tally) Expire(now time.Duration) Decision {
	if t.decision != Undecided {
		return t.decision
	}
	return t.decide(now)
}

// Valid reports whether the attempt may be dispatched now.
func (t *Tally) Valid(now time.Duration) bool {
	return t.decision == Won && !t.late(now)
}

// Started returns the time at which the claim started.
func (t *Tally) Started() time.Duration {
	return t.started
}

// Holder returns the vote that describes the attempt that holds the key, preferring one that knows its status.
func (t *Tally) Holder() (Vote, bool) {
	var holder Vote
	found := false
	for _, member := range slices.Sorted(maps.Keys(t.votes)) {
		vote := t.votes[member]
		if vote.Answer == Claimed && (!found || vote.Completed && !holder.Completed) {
			holder = vote
			found = true
		}
	}
	return holder, found
}

func (t *Tally) know(member string, incarnation uint64) {
	t.known[member] = max(t.known[member], incarnation)
}

// replaces reports whether a vote takes the place of an earlier one of the same member. A grant stands within its
// incarnation.
func (t *Tally) replaces(vote Vote) bool {
	earlier, ok := t.votes[vote.Member]
	if !ok || vote.Incarnation > earlier.Incarnation {
		return true
	}
	return vote.Incarnation == earlier.Incarnation && earlier.Answer != Granted
}

func (t *Tally) late(now time.Duration) bool {
	return now >= t.started+DispatchLimit
}

func (t *Tally) decide(now time.Duration) Decision {
	if t.late(now) {
		t.decision = t.rejection()
		return t.decision
	}
	members, previous := t.count(t.group.Members), t.count(t.group.Previous)
	switch {
	case len(t.group.Members) > 0 && members.won() && previous.won():
		t.decision = Won
	case !members.possible() || !previous.possible():
		t.decision = t.rejection()
	}
	return t.decision
}

// count is the state of a vote in one group. An empty group needs no votes.
type count struct {
	needed  int
	granted int
	open    int
}

func (c count) won() bool      { return c.granted >= c.needed }
func (c count) possible() bool { return c.granted+c.open >= c.needed }

func (t *Tally) count(members []string) count {
	if len(members) == 0 {
		return count{}
	}
	result := count{needed: Majority(members)}
	for _, member := range members {
		vote, voted := t.votes[member]
		switch {
		case voted && vote.Answer == Granted && vote.Incarnation >= t.known[member]:
			result.granted++
		case !voted && !t.failed[member]:
			result.open++
		}
	}
	return result
}

func (t *Tally) rejection() Decision {
	if _, claimed := t.Holder(); claimed {
		return Lost
	}
	for _, vote := range t.votes {
		if vote.Answer == Stale {
			return Outdated
		}
	}
	return NoQuorum
}
