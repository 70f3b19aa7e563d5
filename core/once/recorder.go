package once

import (
	"slices"
	"time"
)

// Recorder holds the claims on the keys of one service at one member of its recorder group.
type Recorder struct {
	self        string
	incarnation uint64
	started     time.Duration
	group       Group
	table       *table
	// known are the newest incarnations of other members.
	known map[string]uint64

	recovered bool
	round     round
	fences    []*fence
	// leastGeneration is the newest generation that another member reported during recovery.
	leastGeneration uint64
}

// NewRecorder returns a recorder of a process that started at the given time. It recovers before it votes.
func NewRecorder(self string, incarnation uint64, started time.Duration, capacity int) *Recorder {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Recorder{
		self:        self,
		incarnation: incarnation,
		started:     started,
		table:       newTable(capacity),
		known:       make(map[string]uint64),
	}
}

// Configure adopts the recorder group of a newer version of the configuration. An older generation is ignored.
func (r *Recorder) Configure(group Group, now time.Duration) {
	if group.Generation < r.group.Generation {
		return
	}
	before := r.group
	r.group = group
	if group.Generation == before.Generation {
		r.addFence(group.Previous, true)
		return
	}
	r.fences = slices.DeleteFunc(r.fences, func(f *fence) bool { return !f.closed(now) })
	for _, f := range r.fences {
		f.joint = false
		f.restart()
	}
	r.addFence(group.Previous, true)
	if before.Generation > 0 {
		r.addFence(before.Members, false)
	}
	// An earlier process of this host may have voted in the new group already.
	if now < r.started+Retention(group.Window) {
		r.recovered = false
		r.round.active = false
	}
}

// Group returns the group in force.
func (r *Recorder) Group() Group {
	return r.group
}

// Incarnation returns the incarnation of this member. It may have been raised during recovery.
func (r *Recorder) Incarnation() uint64 {
	return r.incarnation
}

// Len returns the number of claims and released attempts held, expired ones included until they are removed.
func (r *Recorder) Len() int {
	return len(r.table.claims) + len(r.table.released)
}

// Claim votes on a claim. A granted key is held until Retention has passed.
func (r *Recorder) Claim(c Claim, now time.Duration) Vote {
	r.table.expire(now)
	vote := Vote{Member: r.self, Incarnation: r.incarnation, Generation: r.group.Generation, Known: r.reportKnown()}
	vote.Answer = r.refusal(c, now)
	if vote.Answer != 0 {
		return vote
	}
	held, ok := r.table.claim(c.Key, now)
	if ok {
		r.answerHeld(&vote, held, c.Attempt)
		return vote
	}
	if r.table.full() {
		vote.Answer = Full
		return vote
	}
	r.table.put(c.Key, entry{attempt: c.Attempt, expiry: now + Retention(r.group.Window)}, now)
	vote.Answer = Granted
	return vote
}

// refusal returns why the recorder does not vote on a claim, or zero.
func (r *Recorder) refusal(c Claim, now time.Duration) Answer {
	switch {
	case c.Generation < r.group.Generation:
		return Stale
	case c.Generation > r.group.Generation:
		return Behind
	case !r.group.Includes(r.self):
		return NotMember
	case r.Recovering(now):
		return Recovering
	case r.unfenced(c.Joint, now):
		return Unfenced
	case r.table.isReleased(c.Attempt, now):
		return Void
	default:
		return 0
	}
}

func (r *Recorder) answerHeld(vote *Vote, held entry, attempt ID) {
	if held.attempt == attempt && held.flags == 0 {
		vote.Answer = Granted
		return
	}
	vote.Answer = Claimed
	vote.Completed = held.flags&completed != 0
	vote.Status = int(held.status)
}

// Release records that an attempt will not run. Its claim ends, and copies of the claim that arrive later are void.
func (r *Recorder) Release(key, attempt ID, now time.Duration) {
	r.table.expire(now)
	held, ok := r.table.claim(key, now)
	if ok && held.attempt == attempt && held.flags&(completed|contested) == 0 {
		delete(r.table.claims, key)
	}
	if !r.table.full() {
		r.table.release(attempt, now+Retention(r.group.Window), now)
	}
}

// Complete records that an attempt has run with the given status. It overrides the claim of an attempt without quorum.
func (r *Recorder) Complete(key, attempt ID, status int, now time.Duration) {
	r.table.expire(now)
	held, ok := r.table.claim(key, now)
	if ok && held.flags&completed != 0 {
		return
	}
	if !ok && r.table.full() {
		return
	}
	done := entry{attempt: attempt, expiry: now + Retention(r.group.Window), status: uint16(status), flags: completed}
	if ok {
		done.expiry = held.expiry
	}
	r.table.put(key, done, now)
}

// reportKnown returns the known incarnations of the other members of the groups.
func (r *Recorder) reportKnown() map[string]uint64 {
	known := make(map[string]uint64, len(r.known))
	for member, incarnation := range r.known {
		if r.group.Includes(member) {
			known[member] = incarnation
		}
	}
	return known
}

// learn records incarnations of other members.
func (r *Recorder) learn(known map[string]uint64) {
	for member, incarnation := range known {
		if member != r.self {
			r.known[member] = max(r.known[member], incarnation)
		}
	}
}
