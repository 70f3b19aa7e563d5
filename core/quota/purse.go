package quota

import (
	"math"
	"time"
)

// purse is what a node has of the tokens of one workspace.
type purse struct {
	slot    int
	limit   Limit
	version uint64
	// tokens may be used until expires.
	tokens  int
	expires time.Duration
	// Until refuseUntil, requests are refused with verdict and told to return at returnAt.
	refuseUntil time.Duration
	verdict     Verdict
	returnAt    time.Duration
	// waiting holds the tickets of requests that wait for the answer to an Ask, which has the sequence number asked and was sent
	// to target at sentAt. asked is 0 if none is open.
	waiting   []uint64
	asked     uint64
	sentAt    time.Duration
	target    string
	tries     int
	redirects int
	// holder is the node that answered last.
	holder string
	// demand counts the requests since demandSince, and perSecond those of the window before.
	demand      int
	demandSince time.Duration
	perSecond   float64
	usedAt      time.Duration
}

// Acquire takes a token for a request of a workspace. If the verdict is Waiting, another Decision with the ticket follows.
func (n *Node) Acquire(now time.Duration, workspace string, limit Limit, version uint64) Decision {
	p := n.purses[workspace]
	if p == nil {
		p = &purse{slot: SlotOf(workspace), demandSince: now}
		n.purses[workspace] = p
	}
	p.limit, p.version, p.usedAt = limit, version, now
	p.count(now)
	switch {
	case p.tokens > 0 && now < p.expires:
		p.tokens--
		return Decision{Verdict: Admitted, Expires: p.expires}
	case now < p.refuseUntil:
		return Decision{Verdict: p.verdict, Wait: max(p.returnAt-now, 0)}
	}
	n.tickets++
	p.waiting = append(p.waiting, n.tickets)
	if p.asked == 0 {
		p.tries, p.redirects = 0, 0
		n.ask(now, workspace, p)
	}
	return Decision{Verdict: Waiting, Ticket: n.tickets}
}

// Return gives a token back whose request was not run.
func (n *Node) Return(now time.Duration, workspace string, expires time.Duration) {
	if p := n.purses[workspace]; p != nil && now < expires {
		p.add(now, 1, expires)
	}
}

// add adds tokens. All expire with those that expire first.
func (p *purse) add(now time.Duration, tokens int, expires time.Duration) {
	if p.tokens > 0 && now < p.expires {
		p.tokens, p.expires = p.tokens+tokens, min(p.expires, expires)
		return
	}
	p.tokens, p.expires = tokens, expires
}

// Abandon drops a request that no longer waits. If its decision has been made already, the caller must return the token.
func (n *Node) Abandon(workspace string, ticket uint64) {
	p := n.purses[workspace]
	if p == nil {
		return
	}
	for k, waiting := range p.waiting {
		if waiting == ticket {
			p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
			return
		}
	}
}

func (p *purse) count(now time.Duration) {
	if elapsed := now - p.demandSince; elapsed >= demandWindow {
		p.perSecond = float64(p.demand) / elapsed.Seconds()
		p.demand, p.demandSince = 0, now
	}
	p.demand++
}

// ask asks for tokens: the node that answered last at first, then the nodes of the group in their order, each twice.
func (n *Node) ask(now time.Duration, workspace string, p *purse) {
	target := p.holder
	if group := n.hosts.group(p.slot); (target == "" || p.tries > 0) && len(group) > 0 {
		target = group[min(p.tries/2, len(group)-1)]
	}
	n.askAt(now, workspace, p, target)
}

func (n *Node) askAt(now time.Duration, workspace string, p *purse, target string) {
	n.sequence++
	p.asked, p.sentAt, p.target = n.sequence, now, target
	p.tries++
	n.send(target, Message{
		Kind: Ask, Slot: p.slot, Sequence: p.asked, Workspace: workspace, Limit: p.limit, Version: p.version,
		Need: len(p.waiting), Extra: int(math.Floor(p.perSecond * prefetchTime.Seconds())),
	})
}

// granted handles the answer to an Ask.
func (n *Node) granted(now time.Duration, from string, m *Message) {
	p := n.purses[m.Workspace]
	if p == nil || p.asked == 0 || p.asked != m.Sequence {
		return
	}
	if m.Tokens == 0 && m.Wait == 0 {
		n.redirected(now, m, p)
		return
	}
	p.asked, p.holder = 0, from
	tokens := m.Tokens
	if now >= p.sentAt+tokenLifetime {
		tokens = 0
	}
	served := min(tokens, len(p.waiting))
	for _, ticket := range p.waiting[:served] {
		n.decided = append(n.decided, Decision{Ticket: ticket, Verdict: Admitted, Expires: p.sentAt + tokenLifetime})
	}
	p.waiting = p.waiting[served:]
	if left := tokens - served; left > 0 {
		p.add(now, left, p.sentAt+tokenLifetime)
		return
	}
	switch {
	case m.Wait > 0:
		p.refuse(now, OverLimit, min(m.Wait, denyTime), m.Wait)
		n.decideAll(p, OverLimit, m.Wait)
	case len(p.waiting) > 0:
		p.tries, p.redirects = 0, 0
		n.ask(now, m.Workspace, p)
	}
}

// redirected handles the answer of a node that does not hold the slot.
func (n *Node) redirected(now time.Duration, m *Message, p *purse) {
	p.holder = ""
	if m.Holder == "" || p.redirects >= maxRedirects {
		// The Ask is sent again after its timeout, when votes may have ended.
		return
	}
	p.redirects++
	p.holder = m.Holder
	n.askAt(now, m.Workspace, p, m.Holder)
}

func (p *purse) refuse(now time.Duration, verdict Verdict, within, wait time.Duration) {
	p.verdict, p.refuseUntil, p.returnAt = verdict, now+within, now+wait
}

func (n *Node) decideAll(p *purse, verdict Verdict, wait time.Duration) {
	for _, ticket := range p.waiting {
		n.decided = append(n.decided, Decision{Ticket: ticket, Verdict: verdict, Wait: wait})
	}
	p.waiting = nil
}

// resend sends unanswered Asks again and gives up those that were sent often enough.
func (n *Node) resend(now time.Duration) {
	for workspace, p := range n.purses {
		switch {
		case p.asked == 0 && now-p.usedAt > forgetPurse:
			delete(n.purses, workspace)
		case p.asked == 0 || now-p.sentAt < time.Duration(p.tries)*askTimeout:
		case len(p.waiting) == 0:
			p.asked = 0
		case p.tries >= maxTries:
			p.asked, p.holder = 0, ""
			p.refuse(now, Uncounted, retryUncounted, leaseTime/2)
			n.decideAll(p, Uncounted, leaseTime/2)
		default:
			p.holder = ""
			n.ask(now, workspace, p)
		}
	}
}
