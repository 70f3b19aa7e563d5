// Package balance chooses the endpoint that serves a request among the endpoints that may serve it.
package balance

import (
	"math/rand/v2"
)

// Candidate is an endpoint that may serve a request, with the load last reported by its owner and the requests that
// this ingress has in flight to it.
type Candidate struct {
	ID         string
	Zone       string
	Slots      int
	Busy       int
	LongBusy   int // slots busy with long requests, part of Busy
	Queued     int
	InFlight   int
	Weight     float64 // share of its normal traffic, 0 to 1; 0 excludes the candidate
	LastResort bool
	Cold       bool
}

// Request describes the request to place.
type Request struct {
	Zone       string // zone of the ingress
	Long       bool
	Repeatable bool
}

// Settings tune the choice. The zero value means the defaults.
type Settings struct {
	// ZoneSlack is by how much the load of the own zone may exceed that of other zones before others are used.
	ZoneSlack float64
	// LastResortLoad is the load from which last-resort candidates are considered beside the others.
	LastResortLoad float64
}

// Defaults of Settings.
const (
	DefaultZoneSlack      = 0.25
	DefaultLastResortLoad = 1.0
)

// Reasons returned with a choice.
const (
	ReasonLocal      = "local-least-loaded"
	ReasonRemote     = "remote-least-loaded"
	ReasonLastResort = "last-resort"
	ReasonNone       = "no-candidate"
)

const (
	// minFreeSlots is the number of slots that an endpoint full of long requests counts with.
	minFreeSlots = 0.5
	// drawLimit bounds the random draws per group before the search becomes a walk.
	drawLimit = 24
	// minWeight bounds the load of a last resort.
	minWeight = 0.01
)

// Source gives access to candidates without building a list of them. Candidates [0, Local) are in the zone of the
// ingress and the others, up to Total, are elsewhere.
type Source struct {
	Local int
	Total int
	At    func(i int) Candidate
}

// Choose picks one of the candidates and returns its index and the reason, or -1 if none can be used.
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

// ChooseFrom picks a candidate of the source. Its cost does not grow with the number of candidates, unless almost all
// of them are excluded.
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

// Load is the load of a candidate after it has taken one more request, in requests per slot. The load of a last resort
// is divided by its weight; the weight of others is the probability with which they are drawn, which bounds their share
// also while all are idle.
func Load(c Candidate) float64 {
	// The reported figures already contain this ingress's requests that had arrived when the report was made.
	known := max(c.Busy+c.Queued, c.InFlight)
	// Long requests outlast the report, so their slots count as missing. The rest of the report is older than the
	// short requests that it counts.
	slots := max(float64(c.Slots-c.LongBusy), minFreeSlots)
	load := float64(max(known-c.LongBusy, 0)+1) / slots
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

// pick applies power of two choices to the candidates in [from, to) whose LastResort equals lastResort.
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

// draw returns a random usable candidate other than skip. A candidate of weight w is taken with probability w as long
// as there are others to draw.
func (p picker) draw(from, to, skip int, lastResort bool) int {
	n := to - from
	if n <= 0 {
		return -1
	}
	for range min(drawLimit, 2*n) {
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
