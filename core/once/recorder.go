package once

import (
	"maps"
	"slices"
	"time"
)

// transferLimit is the time for reading tables of several pages.
const transferLimit = 10 * time.Second

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

// round is one attempt of a recovering member to read the tables of the others.
type round struct {
	number  uint64
	active  bool
	started time.Duration
	// cursors are the positions reached in the tables of members; complete are those read to the end.
	cursors  map[string]uint64
	complete map[string]bool
	// incarnations are those of the processes whose tables are being read.
	incarnations map[string]uint64
}

// fence tracks whether a majority of an earlier group has adopted the generation in force. Without it, members of that
// group on the far side of a partition would still grant claims of their generation after the configuration has
// stopped listing them.
type fence struct {
	members []string
	// generation is the one in force when the group was replaced.
	generation uint64
	answered   map[string]bool
	// joint is true for the group that claims of the generation in force may include.
	joint bool
	// open is when the claims granted by the earlier group have expired; zero until a majority has answered.
	open time.Duration
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

// addFence requires that a majority of an earlier group adopts the generation in force.
func (r *Recorder) addFence(members []string, joint bool) {
	if len(members) == 0 {
		return
	}
	for _, f := range r.fences {
		if f.generation == r.group.Generation && slices.Equal(f.members, members) {
			f.joint = f.joint || joint
			return
		}
	}
	added := &fence{members: slices.Clone(members), generation: r.group.Generation, joint: joint}
	added.restart()
	r.fences = append(r.fences, added)
}

// restart forgets the answers, which were for an older generation, unless a majority had answered.
func (f *fence) restart() {
	if f.open == 0 {
		f.answered = make(map[string]bool)
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

// unfenced reports whether an earlier group could still grant the key of a claim to another attempt. A joint claim needs
// the majority of the previous group itself.
func (r *Recorder) unfenced(joint bool, now time.Duration) bool {
	for _, f := range r.fences {
		if f.closed(now) && !(joint && f.joint) {
			return true
		}
	}
	return false
}

// closed reports whether claims that the earlier group granted may still be in force.
func (f *fence) closed(now time.Duration) bool {
	return f.open == 0 || now < f.open
}

// FenceTargets returns the members of earlier groups whose generation is still needed.
func (r *Recorder) FenceTargets() []string {
	var targets []string
	for _, f := range r.fences {
		if f.open != 0 {
			continue
		}
		for _, member := range f.members {
			if !f.answered[member] && !slices.Contains(targets, member) {
				targets = append(targets, member)
			}
		}
	}
	return targets
}

// ObserveGeneration records the generation that a member of an earlier group has adopted. From then on, that member
// rejects claims of older generations.
func (r *Recorder) ObserveGeneration(member string, generation uint64, now time.Duration) {
	if generation < r.group.Generation {
		return
	}
	for _, f := range r.fences {
		if f.open != 0 || !slices.Contains(f.members, member) {
			continue
		}
		f.answered[member] = true
		if len(f.answered) >= Majority(f.members) {
			f.open = now + Retention(r.group.Window)
		}
	}
}

// pendingFences returns the earlier groups whose claims may still be in force.
func (r *Recorder) pendingFences(now time.Duration) [][]string {
	var pending [][]string
	for _, f := range r.fences {
		if f.closed(now) {
			pending = append(pending, f.members)
		}
	}
	return pending
}

// Recovering reports whether the member may have forgotten claims that an earlier process of its host granted.
func (r *Recorder) Recovering(now time.Duration) bool {
	if r.group.Generation < r.leastGeneration {
		return true
	}
	if r.recovered {
		return false
	}
	return now < r.started+Retention(r.group.Window)
}

// RecoverRequest asks a member for a page of its table, and tells it the incarnation of the recovering member.
type RecoverRequest struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"incarnation"`
	Round       uint64 `json:"round"`
	// Cursor is zero for the first page.
	Cursor uint64 `json:"cursor,omitempty"`
}

// RecoverResponse is a page of a member's table.
type RecoverResponse struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Round       uint64 `json:"round"`
	// Recovering is true if the member may itself have forgotten claims; such a table does not count.
	Recovering bool              `json:"recovering,omitempty"`
	Known      map[string]uint64 `json:"known,omitempty"`
	// Fences are the earlier groups whose claims may still be in force.
	Fences  [][]string `json:"fences,omitempty"`
	Cursor  uint64     `json:"cursor,omitempty"`
	Next    uint64     `json:"next,omitempty"`
	Last    bool       `json:"last,omitempty"`
	Records []byte     `json:"records,omitempty"`
}

// BeginRecovery starts a round of reading the tables of others and returns the first requests by member. It returns nil
// if the member is not recovering, if SettleTime has not passed, or while a round is in progress.
func (r *Recorder) BeginRecovery(now time.Duration) map[string]RecoverRequest {
	if !r.Recovering(now) || now < r.started+SettleTime || r.roundRuns(now) {
		return nil
	}
	r.round = round{
		number:       r.round.number + 1,
		active:       true,
		started:      now,
		cursors:      make(map[string]uint64),
		complete:     make(map[string]bool),
		incarnations: make(map[string]uint64),
	}
	requests := make(map[string]RecoverRequest)
	for _, member := range r.group.All() {
		if member != r.self {
			requests[member] = r.request(0)
		}
	}
	return requests
}

// roundRuns reports whether the current round may still gain answers. A transfer of many pages gets more time than the
// first answers.
func (r *Recorder) roundRuns(now time.Duration) bool {
	limit := RoundLimit
	if len(r.round.incarnations) > len(r.round.complete) {
		limit = transferLimit
	}
	return r.round.active && now <= r.round.started+limit
}

func (r *Recorder) request(cursor uint64) RecoverRequest {
	return RecoverRequest{Member: r.self, Incarnation: r.incarnation, Round: r.round.number, Cursor: cursor}
}

// ReadTable answers a recovering member. From then on the votes of this member report its incarnation.
func (r *Recorder) ReadTable(request RecoverRequest, now time.Duration) RecoverResponse {
	r.table.expire(now)
	r.learn(map[string]uint64{request.Member: request.Incarnation})
	response := RecoverResponse{
		Member:      r.self,
		Incarnation: r.incarnation,
		Generation:  r.group.Generation,
		Round:       request.Round,
		Recovering:  r.Recovering(now),
		Known:       maps.Clone(r.known),
		Fences:      r.pendingFences(now),
		Cursor:      request.Cursor,
	}
	if !response.Recovering {
		response.Records, response.Next, response.Last = r.table.page(request.Cursor, now)
	}
	return response
}

// Recovered takes a page of another member's table. It returns the request for that member's next page, or nil.
func (r *Recorder) Recovered(response RecoverResponse, now time.Duration) *RecoverRequest {
	r.learn(response.Known)
	r.learn(map[string]uint64{response.Member: response.Incarnation})
	if newest := response.Known[r.self]; newest > r.incarnation {
		// Another process of this host had a later start time. Votes of this one would be void.
		r.incarnation = newest + 1
		r.round.active = false
		return nil
	}
	if !r.accepts(response, now) {
		return nil
	}
	r.leastGeneration = max(r.leastGeneration, response.Generation)
	if !r.table.merge(response.Records, now) {
		r.round.active = false
		return nil
	}
	for _, members := range response.Fences {
		r.addFence(members, slices.Equal(members, r.group.Previous))
	}
	r.round.incarnations[response.Member] = response.Incarnation
	r.round.cursors[response.Member] = response.Next
	if !response.Last {
		next := r.request(response.Next)
		return &next
	}
	r.round.complete[response.Member] = true
	r.finishRecovery(now)
	return nil
}

// accepts reports whether a page belongs to the current round and is the next one of its member.
func (r *Recorder) accepts(response RecoverResponse, now time.Duration) bool {
	if !r.round.active || response.Round != r.round.number || response.Recovering {
		return false
	}
	if response.Cursor != r.round.cursors[response.Member] {
		return false
	}
	first, reading := r.round.incarnations[response.Member]
	if reading {
		return response.Incarnation == first
	}
	return now <= r.round.started+RoundLimit
}

func (r *Recorder) finishRecovery(now time.Duration) {
	if r.group.Generation < r.leastGeneration {
		return
	}
	if !r.readMajority(r.group.Members) || !r.readMajority(r.group.Previous) {
		return
	}
	r.table.dropReleased(now)
	r.recovered = true
	r.round.active = false
}

// readMajority reports whether the tables read are a majority of a group. A group without this member needs none.
func (r *Recorder) readMajority(members []string) bool {
	if !slices.Contains(members, r.self) {
		return true
	}
	count := 0
	for _, member := range members {
		// A table of a process that was replaced meanwhile does not count.
		current := r.round.incarnations[member] >= r.known[member]
		if r.round.complete[member] && current {
			count++
		}
	}
	return count >= Majority(members)
}
