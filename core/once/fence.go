package once

import (
	"slices"
	"time"
)

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
