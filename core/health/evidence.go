package health

import (
	"math"
	"time"
)

const (
	// rankExponent is the exponent a of the density a*u^(a-1) that the tail share u of a failing endpoint's latency is
	// taken to have; of a healthy one it is uniform, whatever the service's distribution is.
	rankExponent = 0.25
	// maxSample bounds the evidence of one request, so that no single request and no two make an endpoint suspect.
	maxSample = 4.0
	// failingShare is the share of failures that a failing endpoint is taken to have.
	failingShare = 0.5
	minFailures  = 0.005
	maxFailures  = 0.45
	// failureWeight is the weight of the latest outcome in the service's share of failures.
	failureWeight = 1.0 / 256
	// openTail is the tail share of its age below which an open request is evidence.
	openTail = 0.01
	// evidenceHalfLife lets old evidence fade, so that rare failures over hours do not add up.
	evidenceHalfLife = 20 * time.Second
	// scoreLimit bounds the score in units of EjectScore, so that a recovered endpoint is cleared in bounded time.
	scoreLimit = 2.0
	// peerMargin is subtracted with the peers' mean evidence when the peers fail too; without it the difference has no
	// drift and crosses the threshold by chance.
	peerMargin = 0.5
	// minPeerSamples is the number of outcomes of peers without which no endpoint is ejected.
	minPeerSamples = 3
	// ownerFresh is the age up to which an owner's report counts.
	ownerFresh = 2 * time.Second
	// recentLimit is the number of outcomes of the service that are kept for the comparison with peers.
	recentLimit = 128
)

// evidence is a CUSUM score since the time at which it was last zero.
type evidence struct {
	score   float64
	samples float64
	since   time.Duration
	at      time.Duration
}

func (v evidence) decayed(now time.Duration) evidence {
	if v.score == 0 || now <= v.at {
		return v
	}
	factor := math.Exp2(-float64(now-v.at) / float64(evidenceHalfLife))
	v.score *= factor
	v.samples *= factor
	return v
}

func (v evidence) with(now, begin time.Duration, sample, limit float64) evidence {
	v = v.decayed(now)
	v.at = now
	if v.score == 0 {
		v.since = begin
		v.samples = 0
	}
	v.score += sample
	v.samples++
	if v.score <= 0 {
		return evidence{at: now}
	}
	if v.score > limit {
		v.samples *= limit / v.score
		v.score = limit
	}
	return v
}

// group is the baselines of the endpoints of one zone, by class. Endpoints in different zones differ by the delay of
// the network between them.
type group struct {
	service [2]baseline // time that the endpoint needed
	total   [2]baseline // time since the request was sent
}

func class(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (d *Detector) group(zone string) *group {
	g, ok := d.groups[zone]
	if !ok {
		g = &group{}
		d.groups[zone] = g
	}
	return g
}

type recentSample struct {
	endpoint *endpoint
	begin    time.Duration
	sample   float64
	latency  bool
}

// recentEvidence is a ring of the latest outcomes of the service.
type recentEvidence struct {
	samples []recentSample
	next    int
}

func (r *recentEvidence) add(s recentSample) {
	if len(r.samples) < recentLimit {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % recentLimit
}

// observe adds one outcome to the evidence and the baselines, and reports whether it speaks against the endpoint.
func (d *Detector) observe(now time.Duration, e *endpoint, r openRequest, kind Kind, latency time.Duration) bool {
	g := d.group(e.Zone)
	c := class(r.long)
	failed := kind != Success
	sample := d.failureSample()
	if !failed {
		sample = latencySample(g.service[c].tail(latency))
	}
	d.countFailure(failed)
	e.evidence = e.evidence.with(now, r.begin, sample, scoreLimit*d.settings.EjectScore)
	d.recent.add(recentSample{endpoint: e, begin: r.begin, sample: sample, latency: !failed})
	if !failed && e.teaches() {
		g.service[c].add(latency, sample)
		g.total[c].add(now-r.begin, 0)
	}
	return failed || sample > 1
}

// teaches reports whether the endpoint's latency belongs into the baseline of its peers.
func (e *endpoint) teaches() bool {
	return e.state == Healthy || e.state == Ramping
}

func latencySample(tail float64) float64 {
	if tail >= 1 {
		return math.Log(1 - failingShare)
	}
	return min(maxSample, math.Log(rankExponent)+(rankExponent-1)*math.Log(tail))
}

func (d *Detector) failureSample() float64 {
	p0 := min(max(d.failures, minFailures), maxFailures)
	return min(maxSample, math.Log(failingShare/p0))
}

func (d *Detector) countFailure(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	d.failures += failureWeight * (value - d.failures)
}

// openEvidence is the evidence of the requests that the endpoint has not answered yet: the likelihood ratio of lasting
// at least as long as they do.
func (d *Detector) openEvidence(now time.Duration, e *endpoint) evidence {
	var v evidence
	for _, r := range e.open {
		sample := d.openSample(now, e, r)
		if sample == 0 {
			continue
		}
		if v.samples == 0 || r.begin < v.since {
			v.since = r.begin
		}
		v.score += sample
		v.samples++
	}
	return v
}

func (d *Detector) openSample(now time.Duration, e *endpoint, r openRequest) float64 {
	tail := d.group(e.Zone).total[class(r.long)].tail(now - r.begin)
	if tail > openTail {
		return 0
	}
	return min(maxSample, (rankExponent-1)*math.Log(tail))
}

// relative is the evidence against the endpoint beyond what its peers show in the same time.
func (d *Detector) relative(now time.Duration, e *endpoint) float64 {
	own := e.evidence.decayed(now)
	open := d.openEvidence(now, e)
	score := own.score + open.score
	if score < d.settings.SuspectScore/2 {
		return score + d.ownerEvidence(now, e)
	}
	since := own.since
	if own.score == 0 || (open.samples > 0 && open.since < since) {
		since = open.since
	}
	service, zone := d.peers(now, e, since)
	excess := max(service.excess(), zone.excess())
	score -= (own.samples + open.samples) * excess
	if service.samples < minPeerSamples {
		score = min(score, d.settings.EjectScore-1)
	}
	return score + d.ownerEvidence(now, e)
}

type peerEvidence struct {
	sum     float64
	samples float64
}

func (p *peerEvidence) add(sample float64) {
	p.sum += sample
	p.samples++
}

// excess is the mean evidence of the peers, with the margin, if it speaks against them.
func (p *peerEvidence) excess() float64 {
	if p.samples < minPeerSamples {
		return 0
	}
	return max(0, p.sum/p.samples+peerMargin)
}

// peers sums the evidence of the other endpoints since the given time: of all of them, and of those in the same zone
// by latency only. Failures are compared with the whole service, because a zone in which all requests fail is better
// avoided.
func (d *Detector) peers(now time.Duration, e *endpoint, since time.Duration) (service, zone peerEvidence) {
	for _, s := range d.recent.samples {
		if s.endpoint == e || s.begin < since {
			continue
		}
		service.add(s.sample)
		if s.latency && s.endpoint.Zone == e.Zone {
			zone.add(s.sample)
		}
	}
	for _, other := range d.active {
		if other == e || other.state == Ejected || other.state == Probation {
			continue
		}
		for _, r := range other.open {
			sample := d.openSample(now, other, r)
			if sample == 0 || r.begin < since {
				continue
			}
			service.add(sample)
			if other.Zone == e.Zone {
				zone.add(sample)
			}
		}
	}
	return service, zone
}

// ownerEvidence is the owner's score of the endpoint, unless a third or more of the other owners report half as much,
// which means that the service as a whole has changed.
func (d *Detector) ownerEvidence(now time.Duration, e *endpoint) float64 {
	if e.ownerScore <= 0 || now-e.ownerAt > ownerFresh {
		return 0
	}
	alike := 0
	for _, other := range d.active {
		if other != e && now-other.ownerAt <= ownerFresh && other.ownerScore >= e.ownerScore/2 {
			alike++
		}
	}
	if 3*alike >= len(d.order)-1 {
		return 0
	}
	return e.ownerScore
}
