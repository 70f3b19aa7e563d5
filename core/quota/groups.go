package quota

import (
	"slices"
	"strconv"
	"time"

	"agatepulley.example/agatepulley/core/membership"
)

// groupMemory is how long a list of hosts still counts after it was replaced. It covers a lease and the time by which nodes learn
// of a change later than others.
const groupMemory = leaseTime + time.Second

// hosts is the list of hosts that a node knows, with those that it knew shortly before.
type hosts struct {
	current  []string
	previous []formerHosts
	// changedAt is when the list changed last.
	changedAt time.Duration
	// groups caches the groups of the current list by slot.
	groups map[int][]string
}

type formerHosts struct {
	list  []string
	until time.Duration
}

func (h *hosts) set(now time.Duration, list []string) {
	list = slices.Sorted(slices.Values(list))
	if slices.Equal(list, h.current) {
		return
	}
	h.forget(now)
	if h.current != nil {
		h.previous = append(h.previous, formerHosts{h.current, now + groupMemory})
	}
	h.current, h.changedAt, h.groups = list, now, make(map[int][]string)
}

func (h *hosts) forget(now time.Duration) {
	h.previous = slices.DeleteFunc(h.previous, func(f formerHosts) bool { return f.until <= now })
}

// group returns the nodes that vote for the holder of a slot, in the order in which they are asked for tokens.
func (h *hosts) group(slot int) []string {
	group, known := h.groups[slot]
	if !known {
		group = groupOf(slot, h.current)
		if h.groups != nil {
			h.groups[slot] = group
		}
	}
	return group
}

// all returns the group of a slot and those that it had in the time that still counts.
func (h *hosts) all(now time.Duration, slot int) [][]string {
	h.forget(now)
	groups := [][]string{h.group(slot)}
	for _, f := range h.previous {
		former := groupOf(slot, f.list)
		if !slices.ContainsFunc(groups, func(g []string) bool { return slices.Equal(g, former) }) {
			groups = append(groups, former)
		}
	}
	return groups
}

func groupOf(slot int, list []string) []string {
	ranked := membership.Rank(strconv.Itoa(slot), list)
	return ranked[:min(GroupSize, len(ranked))]
}

// quorum returns the number of votes that a candidate needs in a group: enough that two quorums of groups which differ by one node
// have a node in common.
func quorum(group int) int {
	return min(group, (group+1)/2+1)
}

// votesIn returns the number of members of a group in a list.
func votesIn(group, list []string) int {
	count := 0
	for _, member := range group {
		if slices.Contains(list, member) {
			count++
		}
	}
	return count
}
