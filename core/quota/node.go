package quota

import (
	"time"

	"agatepulley.example/agatepulley/core/membership"
)

const (
	// Slots is the number of slots. It must be the same on all nodes.
	Slots = 1024
	// GroupSize is the number of nodes that vote for the holder of a slot.
	GroupSize = 4
	// leaseTime is how long a vote lasts. A candidate counts it from its request, and leaves leaseMargin for clocks that run at
	// different rates.
	leaseTime   = time.Second
	leaseMargin = 50 * time.Millisecond
	// renewAfter is the age from which a lease is renewed: there is time for a second try. Slots without an Ask for keepLease
	// are not renewed.
	renewAfter = 400 * time.Millisecond
	keepLease  = 5 * time.Second
	// campaignTimeout is how long a campaign waits for votes.
	campaignTimeout = 150 * time.Millisecond
	// forgetVotes is how long ended votes are remembered.
	forgetVotes = time.Hour
	// An Ask is sent again after askTimeout, and after once more that time with each further try, so that a slow holder is not
	// asked the more: to the first node of the group once, and then to the next one, up to maxTries times in all.
	askTimeout = 60 * time.Millisecond
	maxTries   = 4
	// maxRedirects is the number of answers that name another holder, after which an Ask counts as unanswered.
	maxRedirects = 3
	// tokenLifetime is how long a token may be used after it was asked for.
	tokenLifetime = time.Second
	// retryUncounted is how long a node waits after a workspace could not be counted before it asks again.
	retryUncounted = 100 * time.Millisecond
	// denyTime is the longest time for which a node refuses without asking. Within it, the holder gives each node its turn, so that
	// it is asked no more often than it has tokens, however much a workspace sends. Once less is sent, tokens find a user after it.
	denyTime = 600 * time.Millisecond
	// maxWait is the longest time after which a refused request is told to return.
	maxWait = 2 * time.Second
	// maxWaiting bounds the Asks that wait for a campaign of a slot.
	maxWaiting = 64
	// Nodes ask for the tokens that they will need within prefetchTime. Demand is counted over demandWindow.
	prefetchTime = 200 * time.Millisecond
	demandWindow = time.Second
	// forgetPurse is how long a workspace without requests is remembered.
	forgetPurse = 30 * time.Second
)

// SlotOf returns the slot of a workspace.
func SlotOf(workspace string) int {
	return int(membership.Score("workspace", workspace) % Slots)
}

// Options are the settings of a Node.
type Options struct {
	// Self is the address by which the other nodes know this one. Incarnation grows with each start.
	Self        string
	Incarnation uint64
}

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Waiting means that a Decision follows.
	Waiting Verdict = iota
	// Admitted means that the request has taken a token.
	Admitted
	// OverLimit means that the workspace has used up its limit.
	OverLimit
	// Uncounted means that no holder could be asked.
	Uncounted
)

// Decision is the decision on a request.
type Decision struct {
	// Ticket identifies a request that waits or has waited.
	Ticket  uint64
	Verdict Verdict
	// Wait is the time after which a refused request should return.
	Wait time.Duration
	// Expires is the end of the lifetime of the token that was taken.
	Expires time.Duration
}

// Node is the part that one node plays for all workspaces. It is not safe for concurrent use.
type Node struct {
	options  Options
	hosts    hosts
	voter    voter
	leases   map[int]*lease
	purses   map[string]*purse
	leaving  bool
	sequence uint64
	tickets  uint64
	out      []Outgoing
	decided  []Decision
}

// New returns a node that starts now.
func New(now time.Duration, options Options) *Node {
	return &Node{
		options: options,
		voter:   voter{startedAt: now, votes: make(map[int]*vote)},
		leases:  make(map[int]*lease),
		purses:  make(map[string]*purse),
	}
}

// SetHosts tells the node which hosts are registered, its own one included.
func (n *Node) SetHosts(now time.Duration, list []string) {
	n.hosts.set(now, list)
}

// send queues a message. A message to this node is handled at once by Receive's caller like any other.
func (n *Node) send(to string, m Message) {
	n.out = append(n.out, Outgoing{To: to, Message: m})
}

// Flush returns the messages to send and the decisions since the last call.
func (n *Node) Flush(now time.Duration) ([]Outgoing, []Decision) {
	var out []Outgoing
	for len(n.out) > 0 {
		next := n.out[0]
		n.out = n.out[1:]
		if next.To == n.options.Self {
			n.Receive(now, n.options.Self, next.Message)
			continue
		}
		out = append(out, next)
	}
	decided := n.decided
	n.out, n.decided = nil, nil
	return out, decided
}

// Receive handles a message of another node.
func (n *Node) Receive(now time.Duration, from string, m Message) {
	switch m.Kind {
	case Ask:
		n.asked(now, from, &m)
	case Grant:
		n.granted(now, from, &m)
	case Campaign:
		quiet, given, holder := n.voter.give(now, n.hosts.changedAt, m.Slot, candidate{from, m.Incarnation}, m.Sequence)
		n.send(from, Message{Kind: Vote, Slot: m.Slot, Sequence: m.Sequence, Granted: given, Quiet: quiet, Holder: holder})
	case Vote:
		if l := n.leases[m.Slot]; l != nil && l.campaign == m.Sequence {
			n.counted(now, m.Slot, l, from, m)
		}
	case Withdraw:
		n.voter.withdraw(now, m.Slot, candidate{from, m.Incarnation}, m.Sequence)
	}
}

// Forget drops what this node has counted for a workspace as the holder of its slot.
func (n *Node) Forget(workspace string) {
	if l := n.leases[SlotOf(workspace)]; l != nil {
		delete(l.accounts, workspace)
	}
}

// Tick must be called about every 50 ms.
func (n *Node) Tick(now time.Duration) {
	n.renew(now)
	n.voter.forget(now)
	n.resend(now)
}

// Holds returns the number of slots that the node holds.
func (n *Node) Holds(now time.Duration) int {
	count := 0
	for _, l := range n.leases {
		if l.holds(now) {
			count++
		}
	}
	return count
}

// Leave gives all slots up and keeps the node from taking further ones. It still votes and asks.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for slot, l := range n.leases {
		if l.holds(now) {
			l.until = now
			n.giveBack(now, slot, l)
		}
	}
}

// Idle reports whether the node has nothing to do until the next request or message.
func (n *Node) Idle() bool {
	return len(n.leases)+len(n.purses) == 0
}
