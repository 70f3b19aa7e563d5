package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// otherZoneOneIn is how often a peer in another availability zone is chosen: one time in four. Links between zones are
// costly, but without any such exchange the zones would learn from each other only by news.
const otherZoneOneIn = 4

// Member is a host as its peers reach it.
type Member struct {
	ID      string
	Address string
	Zone    string
	Region  string
}

// Directory holds the hosts of the configuration with the incarnations and states that this node knows. It is not safe
// for concurrent use.
type Directory struct {
	self    string
	members map[string]*entry
}

type entry struct {
	member      Member
	listed      bool
	incarnation uint64
	leaving     bool
}

// NewDirectory returns a directory for the host with the given id.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: make(map[string]*entry)}
}

// SetHosts replaces the listed hosts. What is known about a host that stays listed is kept.
func (d *Directory) SetHosts(members []Member) {
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.ID] = true
		e := d.entry(member.ID)
		e.member = member
		e.listed = true
	}
	for id := range d.members {
		if !listed[id] {
			delete(d.members, id)
		}
	}
}

// ObserveIncarnation records an incarnation of a host. It returns false if a newer one is known. A newer incarnation
// ends the leaving state of the older one.
func (d *Directory) ObserveIncarnation(id string, incarnation uint64) bool {
	e := d.entry(id)
	if incarnation < e.incarnation {
		return false
	}
	if incarnation > e.incarnation {
		e.incarnation = incarnation
		e.leaving = false
	}
	return true
}

// Incarnation returns the newest known incarnation of a host, or zero.
func (d *Directory) Incarnation(id string) uint64 {
	if e, ok := d.members[id]; ok {
		return e.incarnation
	}
	return 0
}

// NextIncarnation returns the incarnation for a host that starts: wanted, raised above any known incarnation.
func (d *Directory) NextIncarnation(id string, wanted uint64) uint64 {
	return max(wanted, d.Incarnation(id)+1)
}

// SetLeaving records whether a host is leaving.
func (d *Directory) SetLeaving(id string, leaving bool) {
	d.entry(id).leaving = leaving
}

// Live returns the listed hosts that are not leaving, other than the own host, ordered by id.
func (d *Directory) Live() []Member {
	live := make([]Member, 0, len(d.members))
	for id, e := range d.members {
		if id == d.self || !e.listed || e.leaving {
			continue
		}
		live = append(live, e.member)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

func (d *Directory) entry(id string) *entry {
	e, ok := d.members[id]
	if !ok {
		e = &entry{}
		d.members[id] = e
	}
	return e
}

// PickPeer chooses a random peer for a node in the given zone. One time in four it prefers another zone, otherwise its
// own; if the preferred side is empty, it takes the other one.
func PickPeer(random *rand.Rand, zone string, peers []Member) (Member, bool) {
	if len(peers) == 0 {
		return Member{}, false
	}
	wantOther := random.IntN(otherZoneOneIn) == 0
	preferred := make([]Member, 0, len(peers))
	for _, peer := range peers {
		if (peer.Zone != zone) == wantOther {
			preferred = append(preferred, peer)
		}
	}
	if len(preferred) == 0 {
		preferred = peers
	}
	return preferred[random.IntN(len(preferred))], true
}

// PickPeers chooses up to count different random peers.
func PickPeers(random *rand.Rand, count int, peers []Member) []Member {
	order := random.Perm(len(peers))
	picked := make([]Member, 0, min(count, len(order)))
	for _, index := range order[:min(count, len(order))] {
		picked = append(picked, peers[index])
	}
	return picked
}
