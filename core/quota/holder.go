package quota

import (
	"slices"
	"time"
)

// ask is an Ask that waits for the end of a campaign.
type ask struct {
	from string
	Message
	at time.Duration
}

// lease is the attempt of this node to hold a slot, or its success.
type lease struct {
	// until is the end of the time for which the node holds the slot.
	until time.Duration
	// The current campaign has the sequence number campaign and began at begin. It is open until it is won or lost. It needs a
	// quorum of each of groups.
	campaign uint64
	begin    time.Duration
	open     bool
	groups   [][]string
	votes    []string
	refusals []string
	// emptySince is the latest time at which another node may have held the slot, according to the votes.
	emptySince time.Duration
	// holder is the node that voters have named instead of this one.
	holder  string
	askedAt time.Duration
	waiting []ask
	// emptyAt is when the bucket of a workspace without an account was empty.
	emptyAt  time.Duration
	accounts map[string]*account
}

// account is the bucket of a workspace at the holder of its slot.
type account struct {
	bucket
	version uint64
	// promisedUntil is the latest time at which a refused request was told to come back.
	promisedUntil time.Duration
}

// holds reports whether the node may hand out tokens.
func (l *lease) holds(now time.Duration) bool {
	return now < l.until
}

// won takes over the slot. Accounts from before stay valid if no other node can have held the slot since.
func (l *lease) won(now time.Duration) {
	held := l.holds(now)
	l.open = false
	l.until = l.begin + leaseTime - leaseMargin
	if held {
		return
	}
	l.emptyAt = l.emptySince
	for name, a := range l.accounts {
		if a.at < l.emptyAt {
			delete(l.accounts, name)
		}
	}
}

// account returns the account of a workspace with the newest limit that is known.
func (l *lease) account(now time.Duration, m *Message) *account {
	a := l.accounts[m.Workspace]
	if a == nil {
		a = &account{bucket: bucket{limit: m.Limit, at: l.emptyAt}, version: m.Version}
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		l.accounts[m.Workspace] = a
	}
	if m.Version > a.version {
		a.setLimit(now, m.Limit)
		a.version = m.Version
	}
	return a
}

// grant hands out tokens. The wait of what is refused is behind that of earlier refusals.
func (a *account) grant(now time.Duration, need, extra int) (tokens int, wait time.Duration) {
	tokens = a.take(now, need, extra)
	if tokens >= need {
		return tokens, 0
	}
	turns := time.Duration(float64(need-tokens) / a.limit.Rate * float64(time.Second))
	a.promisedUntil = min(max(a.promisedUntil, now+a.until())+turns, now+maxWait)
	return tokens, a.promisedUntil - now
}

// campaign asks the group for its votes, and the members of the groups that the slot had until shortly before, unless a campaign is
// open.
func (n *Node) campaign(now time.Duration, slot int, l *lease) {
	groups := n.hosts.all(now, slot)
	if n.leaving || (l.open && now-l.begin < campaignTimeout) || !slices.Contains(groups[0], n.options.Self) {
		return
	}
	n.sequence++
	l.campaign, l.begin, l.open, l.groups, l.votes, l.refusals = n.sequence, now, true, groups, nil, nil
	l.holder, l.emptySince = "", 0
	quiet, given, holder := n.voter.give(now, n.hosts.changedAt, slot, candidate{n.options.Self, n.options.Incarnation}, l.campaign)
	n.counted(now, slot, l, n.options.Self, Message{Granted: given, Quiet: quiet, Holder: holder})
	asked := []string{n.options.Self}
	for _, group := range groups {
		for _, member := range group {
			if !l.open {
				return
			}
			if !slices.Contains(asked, member) {
				asked = append(asked, member)
				n.send(member, Message{Kind: Campaign, Slot: slot, Sequence: l.campaign, Incarnation: n.options.Incarnation})
			}
		}
	}
}

// counted counts an answer to the open campaign.
func (n *Node) counted(now time.Duration, slot int, l *lease, from string, m Message) {
	if !l.open || slices.Contains(l.votes, from) || slices.Contains(l.refusals, from) {
		return
	}
	if !m.Granted {
		l.refusals = append(l.refusals, from)
		if m.Holder != "" && m.Holder != n.options.Self {
			l.holder = m.Holder
		}
		hopeless := func(group []string) bool { return len(group)-votesIn(group, l.refusals) < quorum(len(group)) }
		if slices.ContainsFunc(l.groups, hopeless) {
			n.lost(now, slot, l)
		}
		return
	}
	l.votes = append(l.votes, from)
	l.emptySince = max(l.emptySince, now-m.Quiet)
	short := func(group []string) bool { return votesIn(group, l.votes) < quorum(len(group)) }
	if slices.ContainsFunc(l.groups, short) {
		return
	}
	l.won(now)
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		n.answer(now, a.from, l, &a.Message)
	}
}

// lost ends a campaign without success. The votes are given back, unless the node still holds the slot by an earlier campaign.
func (n *Node) lost(now time.Duration, slot int, l *lease) {
	l.open = false
	if !l.holds(now) {
		n.giveBack(now, slot, l)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		n.send(a.from, Message{Kind: Grant, Slot: slot, Sequence: a.Sequence, Workspace: a.Workspace, Holder: l.holder})
	}
}

// giveBack gives the votes of the latest campaign back.
func (n *Node) giveBack(now time.Duration, slot int, l *lease) {
	for _, voter := range l.votes {
		if voter == n.options.Self {
			n.voter.withdraw(now, slot, candidate{voter, n.options.Incarnation}, l.campaign)
			continue
		}
		n.send(voter, Message{Kind: Withdraw, Slot: slot, Sequence: l.campaign, Incarnation: n.options.Incarnation})
	}
}

// asked answers an Ask, at once if the node holds the slot and after a campaign otherwise.
func (n *Node) asked(now time.Duration, from string, m *Message) {
	l := n.leases[m.Slot]
	if l == nil {
		l = &lease{}
		n.leases[m.Slot] = l
	}
	l.askedAt = now
	if l.holds(now) {
		n.answer(now, from, l, m)
		return
	}
	if n.leaving {
		return
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(a ask) bool { return now-a.at > askTimeout })
	if len(l.waiting) < maxWaiting {
		l.waiting = append(l.waiting, ask{from: from, Message: *m, at: now})
	}
	n.campaign(now, m.Slot, l)
}

func (n *Node) answer(now time.Duration, from string, l *lease, m *Message) {
	a := l.account(now, m)
	tokens, wait := a.grant(now, m.Need, m.Extra)
	n.send(from, Message{Kind: Grant, Slot: m.Slot, Sequence: m.Sequence, Workspace: m.Workspace, Tokens: tokens, Wait: wait})
}

// renew renews the leases that are in use and forgets the others.
func (n *Node) renew(now time.Duration) {
	for slot, l := range n.leases {
		switch {
		case l.open && now-l.begin >= campaignTimeout:
			n.lost(now, slot, l)
		case now-l.askedAt > keepLease && !l.holds(now):
			if now-l.askedAt > forgetVotes {
				delete(n.leases, slot)
			}
		case now-l.askedAt <= keepLease && l.holds(now) && !l.open && l.until-now < leaseTime-renewAfter:
			n.campaign(now, slot, l)
		}
	}
}
