package once

import (
	"maps"
	"slices"
	"time"
)

// RoundTimeout is how long a recovery round waits for the next page before it starts over.
const RoundTimeout = 2 * time.Second

// round is one attempt of a recovering member to read the tables of the others.
type round struct {
	number uint64
	active bool
	// progress is the time of the start or of the latest page.
	progress time.Duration
	// cursors are the positions reached in the tables of members; complete are those read to the end.
	cursors  map[string]uint64
	complete map[string]bool
	// incarnations are those of the processes whose tables are being read.
	incarnations map[string]uint64
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
// if the member is not recovering or while a round is in progress.
func (r *Recorder) BeginRecovery(now time.Duration) map[string]RecoverRequest {
	if !r.Recovering(now) || r.roundRuns(now) {
		return nil
	}
	r.round = round{
		number:       r.round.number + 1,
		active:       true,
		progress:     now,
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

// roundRuns reports whether the current round may still gain answers.
func (r *Recorder) roundRuns(now time.Duration) bool {
	return r.round.active && now < r.round.progress+RoundTimeout
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
	if !r.accepts(response) {
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
	r.round.progress = now
	if !response.Last {
		next := r.request(response.Next)
		return &next
	}
	r.round.complete[response.Member] = true
	r.finishRecovery(now)
	return nil
}

// accepts reports whether a page belongs to the current round and is the next one of its member.
func (r *Recorder) accepts(response RecoverResponse) bool {
	if !r.round.active || response.Round != r.round.number || response.Recovering {
		return false
	}
	if response.Cursor != r.round.cursors[response.Member] {
		return false
	}
	first, reading := r.round.incarnations[response.Member]
	return !reading || response.Incarnation == first
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
