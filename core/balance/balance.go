// Package balance chooses the endpoint for a request by load, zone and health.
package balance

import (
	"math/rand/v2"
)

// Candidate is an endpoint that may serve a request, with the load last reported by its owner, the node on the host
// of its backend server, and the number of requests that this ingress has in flight to it.
type Candidate struct {
	ID         string
	Zone       string
	Slots      int     // number of requests that the endpoint processes at a time
	Busy       int     // slots in use, as reported by the owner
	LongBusy   int     // slots in use by long requests, included in Busy
	Queued     int     // requests in the owner's queue, as reported by the owner
	InFlight   int     // requests that this ingress has sent and that have not ended
	Weight     float64 // share of its normal traffic, 0 to 1; 0 excludes the candidate
	LastResort bool    // whether to use it only if the others are excluded or overloaded
	Cold       bool    // whether the owner reports it as still warming up; does not affect the choice
}

// Request describes the request for which an endpoint is chosen. Only Zone affects the choice, and ChooseFrom takes the
// zones from its Source instead.
type Request struct {
	Zone       string // zone of the ingress
	Long       bool
	Repeatable bool
}

// Settings tune the choice. The zero value means the defaults.
type Settings struct {
	// ZoneSlack is the amount, in requests per slot, by which the load of candidates in the ingress's zone may exceed that
	// of candidates in other zones before the latter are used.
	ZoneSlack float64
	// LastResortLoad is the load of the best other candidate, in requests per slot, above which last-resort candidates are
	// considered too.
	LastResortLoad float64
}

// Defaults of Settings.
const (
	DefaultZoneSlack      = 0.25
	DefaultLastResortLoad = 1.0
)

// Reasons for a choice.
const (
	ReasonLocal      = "local-least-loaded"
	ReasonRemote     = "remote-least-loaded"
	ReasonLastResort = "last-resort"
	ReasonNone       = "no-candidate"
)

const (
	// minFreeSlots is the number of free slots assumed for an endpoint whose slots are all in use by long requests.
	minFreeSlots = 0.5
	// maxDraws bounds the number of random draws before draw scans the candidates in sequence.
	maxDraws = 24
	// minWeight is the least weight by which the load of a last-resort candidate is divided.
	minWeight = 0.01
)

// Source gives access to candidates without building a list of them. Candidates with indexes in [0, Local) are in the
// zone of the ingress, those in [Local, Total) in other zones.
type Source struct {
	Local int
	Total int
	At    func(i int) Candidate
}

// Choose picks one of the candidates and returns its index and the reason. The index is -1 if all are excluded.
func Choose(rng *rand.Rand, settings Settings, candidates []Candidate, r Request) (int, string) {
	order := make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Zone == r.Zone {
			order = append(order, i)
		}
	}
	local := len(order)
	for i := range candidates {
		if candidates[i].Zone != r.Zone {
			order = append(order, i)
		}
	}
	at := func(i int) Candidate { return candidates[order[i]] }
	index, reason := ChooseFrom(rng, settings, Source{Local: local, Total: len(order), At: at}, r)
	if index < 0 {
		return index, reason
	}
	return order[index], reason
}

// ChooseFrom picks a candidate of the source and returns its index and the reason, as Choose does. Its cost does not
// grow with the number of candidates, unless almost all of them are excluded.
func ChooseFrom(rng *rand.Rand, settings Settings, source Source, _ Request) (int, string) {
	settings = settings.withDefaults()
	p := picker{rng: rng, source: source}
	local := p.pick(0, source.Local, false)
	remote := p.pick(source.Local, source.Total, false)
	index, load, reason := local.index, local.load, ReasonLocal
	if index < 0 || (remote.index >= 0 && remote.load+settings.ZoneSlack < load) {
		index, load, reason = remote.index, remote.load, ReasonRemote
	}
	if index >= 0 && load <= settings.LastResortLoad {
		return index, reason
	}
	last := p.pick(0, source.Total, true)
	if last.index >= 0 && (index < 0 || last.load < load) {
		return last.index, ReasonLastResort
	}
	if index < 0 {
		return -1, ReasonNone
	}
	return index, reason
}

func (s Settings) withDefaults() Settings {
	if s.ZoneSlack == 0 {
		s.ZoneSlack = DefaultZoneSlack
	}
	if s.LastResortLoad == 0 {
		s.LastResortLoad = DefaultLastResortLoad
	}
	return s
}

// Load returns the load of a candidate after one more request was sent to it, in requests per slot. The load of a
// last-resort candidate is divided by its weight. The weight of other candidates does not change their load: it is
// the probability with which they are drawn, so that it limits their share of the traffic also while all endpoints
// are idle.
func Load(c Candidate) float64 {
	// Busy and Queued already include the requests of this ingress that had arrived at the time of the report, so the
	// larger number is taken instead of the sum.
	requests := max(c.Busy+c.Queued, c.InFlight)
	// Long requests are likely to be still running, so their slots count as missing. Short requests that the report
	// counts have usually ended since, so their slots do not count as missing.
	slots := max(float64(c.Slots-c.LongBusy), minFreeSlots)
	load := float64(max(requests-c.LongBusy, 0)+1) / slots
	if c.LastResort {
		return load / max(c.Weight, minWeight)
	}
	return load
}

type choice struct {
	index int
	load  float64
}

type picker struct {
	rng    *rand.Rand
	source Source
}

// pick draws two of the candidates in [from, to) whose LastResort equals lastResort and returns the less loaded one
// (power of two choices). The index is -1 if there is none.
func (p picker) pick(from, to int, lastResort bool) choice {
	first := p.draw(from, to, -1, lastResort)
	if first < 0 {
		return choice{index: -1}
	}
	best := choice{index: first, load: Load(p.source.At(first))}
	second := p.draw(from, to, first, lastResort)
	if second < 0 {
		return best
	}
	if load := Load(p.source.At(second)); load < best.load {
		best = choice{index: second, load: load}
	}
	return best
}

// draw returns the index of a random usable candidate in [from, to) other than skip, or -1 if there is none. A drawn
// candidate of weight w is accepted with probability w. If no draw is accepted, draw returns the first usable candidate
// from a random start, regardless of its weight.
func (p picker) draw(from, to, skip int, lastResort bool) int {
	n := to - from
	if n <= 0 {
		return -1
	}
	for range min(maxDraws, 2*n) {
		i := from + p.rng.IntN(n)
		c := p.source.At(i)
		if i == skip || !usable(c, lastResort) {
			continue
		}
		if c.Weight >= 1 || p.rng.Float64() < c.Weight {
			return i
		}
	}
	start := p.rng.IntN(n)
	for k := range n {
		i := from + (start+k)%n
		if i != skip && usable(p.source.At(i), lastResort) {
			return i
		}
	}
	return -1
}

func usable(c Candidate, lastResort bool) bool {
	return c.LastResort == lastResort && c.Weight > 0 && c.Slots > 0
}
