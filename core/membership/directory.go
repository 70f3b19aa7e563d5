package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// otherZoneOneIn is the inverse of the share of exchanges for which a peer in another availability zone is preferred: one in
// four. Traffic between zones is costly, but without such exchanges zones would learn of changes in each other only from the
// updates that nodes send out when something changes.
const otherZoneOneIn = 4

// Member is a host with the address at which its peers reach it.
type Member struct {
	ID      string
	Address string
	Zone    string
	Region  string
}

// Directory holds the hosts of the configuration, with the latest incarnation of each that this node knows and whether it is
// leaving. An incarnation is a number that increases with each start of the node on a host. A Directory is not safe for
// concurrent use.
type Directory struct {
	// self is the id of the host on which this node runs.
	self    string
	members map[string]*entry
}

type entry struct {
	member Member
	// listed is set if the host is part of the configuration.
	listed      bool
	incarnation uint64
	leaving     bool
}

// NewDirectory returns a directory for the host with the given id.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: make(map[string]*entry)}
}

// SetHosts replaces the hosts of the configuration. The incarnation and the leaving state of a host are kept if it is still
// part of the configuration; otherwise the host is removed.
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

// ObserveIncarnation records an incarnation of a host. It returns false if a newer one is known. A newer incarnation resets
// the leaving state.
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

// NextIncarnation returns the incarnation for a node that starts on a host: wanted, or the next number after the newest known
// incarnation if that is higher.
func (d *Directory) NextIncarnation(id string, wanted uint64) uint64 {
	return max(wanted, d.Incarnation(id)+1)
}

// SetLeaving records whether a host is leaving.
func (d *Directory) SetLeaving(id string, leaving bool) {
	d.entry(id).leaving = leaving
}

// Live returns the other hosts of the configuration that are not leaving, ordered by id.
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

// entry returns the entry of a host. It adds an unlisted one if there is none.
func (d *Directory) entry(id string) *entry {
	e, ok := d.members[id]
	if !ok {
		e = &entry{}
		d.members[id] = e
	}
	return e
}

// PickPeer chooses a random peer for a node in the given zone. In one of four calls it prefers peers in other zones, otherwise
// those in the same zone. If there are no preferred peers, it chooses among all. It returns false if there are no peers.
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

// PickPeers chooses up to count random peers without repetition.
func PickPeers(random *rand.Rand, count int, peers []Member) []Member {
	order := random.Perm(len(peers))
	picked := make([]Member, 0, min(count, len(order)))
	for _, index := range order[:min(count, len(order))] {
		picked = append(picked, peers[index])
	}
	return picked
}
