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
	// excessFactor and excessMargin make the evidence fall when the peers are as slow as the endpoint; the difference
	// alone has no drift and crosses the threshold by chance.
	excessFactor = 1.5
	excessMargin = 1.0
	// priorSamples is the weight of the usual share of failures, in outcomes of peers.
	priorSamples = 10
	// badSample is the evidence from which an outcome counts as bad; a failure always does.
	badSample = 2.5
	// qualityWeight is the weight of the latest outcome in an endpoint's share of good ones.
	qualityWeight = 1.0 / 8
	// maxOpenSample bounds the evidence of an open request once there are manyOpen of them; fewer count up to
	// maxSample, so that one or two requests that happen to be long are no stall. An endpoint with 3 slots can then
	// be seen to be stalled before any of its requests ends.
	maxOpenSample = 6.5
	manyOpen      = 3
	// settlePeriod is the time for which outcomes are compared with those of peers.
	settlePeriod = time.Second
	// minPeerSamples is the number of outcomes of peers without which no endpoint is ejected.
	minPeerSamples = 3
	// ownerFresh is the age up to which an owner's report counts.
	ownerFresh = 2 * time.Second
	// ownerWindow is the time before an owner's report from which the outcomes of peers are compared with it.
	ownerWindow = 300 * time.Millisecond
	// slowPeers is the excess from which peers count as slow themselves; for healthy peers it is about 0.
	slowPeers = 1.5
	// recentLimit is the number of outcomes of the service that are kept for the comparison with peers.
	recentLimit = 128
)

// evidence is a CUSUM score. The outcomes of the latest settlePeriod are kept apart, because what they mean depends on
// the outcomes of peers in the same time, some of which are still to come. Then they are settled into one number.
type evidence struct {
	settled float64
	// raw is the sum of the pending outcomes' evidence before the comparison with peers; successes and failures count
	// them and failureSum is the part of raw due to failures.
	raw        float64
	successes  float64
	failures   float64
	failureSum float64
	since      time.Duration // time of the first pending outcome
	at         time.Duration // time to which settled has decayed
}

func (v *evidence) decay(now time.Duration) {
	if v.settled > 0 && now > v.at {
		v.settled *= math.Exp2(-float64(now-v.at) / float64(evidenceHalfLife))
	}
	v.at = max(v.at, now)
}

func (v *evidence) pending() bool {
	return v.successes+v.failures > 0
}

func (v *evidence) add(now, begin time.Duration, sample float64, failed bool) {
	if !v.pending() {
		v.since = begin
	}
	v.raw += sample
	if failed {
		v.failures++
		v.failureSum += sample
	} else {
		v.successes++
	}
	if v.settled+v.raw <= 0 {
		*v = evidence{at: now}
	}
}

// meanLatency is the mean evidence of the pending outcomes that are not failures.
func (v *evidence) meanLatency() float64 {
	if v.successes == 0 {
		return 0
	}
	return (v.raw - v.failureSum) / v.successes
}

// settle replaces the pending outcomes by their evidence relative to peers.
func (v *evidence) settle(pending, limit float64) {
	*v = evidence{settled: min(max(0, v.settled+pending), limit), at: v.at}
}

// compared is the evidence of the pending outcomes relative to peers.
func (v *evidence) compared(p peerEvidence, usual float64) float64 {
	failures := v.failures * failureSample(p.failureShare(usual))
	return v.raw - v.failureSum + failures - v.successes*p.excess(v.meanLatency(), finishedPrior)
}

// group is the baselines of the endpoints of one zone, by class. Endpoints in different zones differ by the delay of
// the network between them.
type group struct {
	endpoints int
	service   [2]baseline // time that the endpoint needed
	total     [2]baseline // time since the request was sent
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
	end      time.Duration
	sample   float64
	failed   bool
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

// oldest is the time from which on the ring holds all outcomes.
func (r *recentEvidence) oldest() time.Duration {
	if len(r.samples) < recentLimit {
		return math.MinInt64
	}
	return r.samples[r.next].end
}

// observe adds one outcome to the evidence and the baselines, and returns its evidence before the comparison
// with peers.
func (d *Detector) observe(now time.Duration, e *endpoint, r openRequest, kind Kind, latency time.Duration) float64 {
	g := d.group(e.Zone)
	c := class(r.long)
	failed := kind != Success
	sample := failureSample(d.failures)
	if !failed {
		sample = latencySample(g.service[c].tail(latency))
	}
	if !failed && e.warming() {
		sample = min(sample, 0)
	}
	d.countFailure(failed)
	d.settle(now, e)
	e.evidence.add(now, r.begin, sample, failed)
	d.recent.add(recentSample{endpoint: e, end: now, sample: sample, failed: failed})
	if !failed && e.teaches() {
		g.service[c].add(latency, sample)
		g.total[c].add(now-r.begin, sample)
	}
	e.countQuality(failed || sample >= badSample)
	if failed {
		return max(sample, badSample)
	}
	return sample
}

// countQuality updates the share of good outcomes, which is the weight of a suspect.
func (e *endpoint) countQuality(bad bool) {
	value := 1.0
	if bad {
		value = 0
	}
	e.quality += qualityWeight * (value - e.quality)
}

// warming reports whether the endpoint is known to be slow because it is cold or was so recently.
func (e *endpoint) warming() bool {
	return e.Cold || (e.ramps && e.state != Ramping)
}

// teaches reports whether the endpoint's latency belongs into the baseline of its peers.
func (e *endpoint) teaches() bool {
	return !e.Cold && (e.state == Healthy || e.state == Ramping)
}

func latencySample(tail float64) float64 {
	if tail >= 1 {
		return math.Log(1 - failingShare)
	}
	return min(maxSample, math.Log(rankExponent)+(rankExponent-1)*math.Log(tail))
}

// failureSample is the evidence of a failure if the given share of the peers' requests fails.
func failureSample(share float64) float64 {
	p0 := min(max(share, minFailures), maxFailures)
	return min(maxSample, math.Log(failingShare/p0))
}

func (d *Detector) countFailure(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	d.failures += failureWeight * (value - d.failures)
}

// openEvidence is the evidence of the requests that an endpoint has not answered yet.
type openEvidence struct {
	score   float64
	samples float64
	since   time.Duration
}

// stallEvidence is the evidence of the strongest of the requests that were not answered. Their number is bounded, so
// that the age at which an endpoint counts as stalled does not fall with its number of slots: all slots of a service
// that is slow as a whole are old together.
type stallEvidence struct {
	strongest [manyOpen]float64
	count     int
	since     time.Duration
}

func (v *stallEvidence) add(begin time.Duration, sample float64) {
	if sample == 0 {
		return
	}
	if v.count == 0 || begin < v.since {
		v.since = begin
	}
	v.count++
	for i := range v.strongest {
		if sample > v.strongest[i] {
			v.strongest[i], sample = sample, v.strongest[i]
		}
	}
}

func (v *stallEvidence) sum() float64 {
	total := 0.0
	for _, sample := range v.strongest {
		total += sample
	}
	if v.count < manyOpen {
		return min(total, float64(v.count)*maxSample)
	}
	return total
}

// openEvidence adds the likelihood ratios of lasting at least as long as the open requests do.
func (d *Detector) openEvidence(now time.Duration, e *endpoint) openEvidence {
	var v openEvidence
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
	if v.samples < manyOpen {
		v.score = min(v.score, v.samples*maxSample)
	}
	return v
}

func (v *openEvidence) mean() float64 {
	return v.score / max(v.samples, 1)
}

func (d *Detector) openSample(now time.Duration, e *endpoint, r openRequest) float64 {
	if e.warming() {
		return 0
	}
	tail := d.group(e.Zone).total[class(r.long)].tail(now - r.begin)
	if tail > openTail {
		return 0
	}
	return min(maxOpenSample, (rankExponent-1)*math.Log(tail))
}

// settle settles the pending outcomes once peers had time to show whether they are alike.
func (d *Detector) settle(now time.Duration, e *endpoint) {
	v := &e.evidence
	v.decay(now)
	if !v.pending() || (now-v.since < settlePeriod && v.since >= d.recent.oldest()) {
		return
	}
	p := d.peers(now, e, v.since)
	limit := scoreLimit * d.settings.EjectScore
	if p.few() {
		limit = max(v.settled, d.settings.EjectScore-1)
	}
	v.settle(v.compared(p, d.failures), limit)
}

// relative is the evidence against the endpoint beyond what its peers show in the same time.
func (d *Detector) relative(now time.Duration, e *endpoint) float64 {
	d.settle(now, e)
	own := &e.evidence
	open := d.openEvidence(now, e)
	if own.settled+own.raw+open.score < d.settings.SuspectScore/2 {
		return max(0, own.settled+own.raw+open.score, d.ownerEvidence(now, e))
	}
	since := now
	if own.pending() {
		since = own.since
	}
	if open.samples > 0 {
		since = min(since, open.since)
	}
	p := d.peers(now, e, since)
	score := own.settled + own.compared(p, d.failures) + open.score - open.samples*p.excess(open.mean(), openPrior)
	if p.few() {
		// Without outcomes of peers there is nothing to compare with.
		score = min(score, max(own.settled, d.settings.EjectScore-1))
	}
	return max(score, d.ownerEvidence(now, e))
}

// mean sums latency evidence of peers.
type mean struct {
	sum     float64
	samples float64
}

func (m *mean) add(sample float64) {
	m.sum += sample
	m.samples++
}

// Peers count as being as slow as the endpoint until outcomes show otherwise; the prior is a number of outcomes. With 1
// for finished requests, a service of 4 or 5 endpoints that slowed down as a whole lost an endpoint in about one of 50
// cases. Open requests have a prior of 1, because few of them are open while a stall lasts.
const (
	finishedPrior = 8
	openPrior     = 1
)

// excess is what is subtracted for each outcome because the peers are slow too.
func (m *mean) excess(own, prior float64) float64 {
	return max(0, excessFactor*(m.sum+prior*own)/(m.samples+prior)+excessMargin)
}

// maxPeersCompared bounds the endpoints whose open requests are compared with those of one endpoint. Comparing each with
// all took 7 cores at 1,000 endpoints of a stalled service, since the cost grew with the square.
const maxPeersCompared = 48

// peerEvidence is what the peers of an endpoint show in the same time.
type peerEvidence struct {
	outcomes float64
	failures float64
	service  mean
	zone     mean
	hasZone  bool // there are other endpoints in the zone
}

// failureShare is the share of failures of the peers, starting from the usual share of the service.
func (p *peerEvidence) failureShare(usual float64) float64 {
	return (p.failures + priorSamples*usual) / (p.outcomes + priorSamples)
}

// few reports whether there is too little to compare with.
func (p *peerEvidence) few() bool {
	return p.outcomes+p.service.samples < minPeerSamples
}

// excess is what is subtracted for each outcome that is not a failure. Latency is compared with all peers and with
// those in the same zone, if there are any.
func (p *peerEvidence) excess(own, prior float64) float64 {
	if !p.hasZone {
		return p.service.excess(own, prior)
	}
	return max(p.service.excess(own, prior), p.zone.excess(own, prior))
}

// peers sums the evidence of the other endpoints since the given time. Latency is compared with all of them and with
// those in the same zone. Failures are compared with the whole service only, because a zone in which all requests fail
// is better avoided.
func (d *Detector) peers(now time.Duration, e *endpoint, since time.Duration) peerEvidence {
	p := peerEvidence{hasZone: d.group(e.Zone).endpoints > 1}
	for _, s := range d.recent.samples {
		if s.endpoint == e || s.end < since {
			continue
		}
		p.outcomes++
		if s.failed {
			p.failures++
			continue
		}
		p.addLatency(s.sample, s.endpoint.Zone == e.Zone)
	}
	start := int(e.rank % uint64(max(len(d.active), 1)))
	for i := range min(len(d.active), maxPeersCompared) {
		other := d.active[(start+i)%len(d.active)]
		if other == e || other.state == Ejected || other.state == Probation {
			continue
		}
		for k := range other.open {
			r := &other.open[k]
			if r.begin < since {
				continue
			}
			if sample := d.cachedSample(now, other, r); sample > 0 {
				p.addLatency(sample, other.Zone == e.Zone)
			}
		}
	}
	return p
}

// cachedSample returns the evidence of an open request, which all endpoints judged at one time share.
func (d *Detector) cachedSample(now time.Duration, e *endpoint, r *openRequest) float64 {
	if r.sampledAt != now {
		r.sample = d.openSample(now, e, *r)
		r.sampledAt = now
	}
	return r.sample
}

func (p *peerEvidence) addLatency(sample float64, sameZone bool) {
	p.service.add(sample)
	if sameZone {
		p.zone.add(sample)
	}
}

// ownerEvidence is the owner's score of the endpoint if it would eject the endpoint, as long as the outcomes of peers
// in the same time are good. All views receive the same score, so a lower one would make the endpoint suspect
// everywhere by one excursion of one score.
func (d *Detector) ownerEvidence(now time.Duration, e *endpoint) float64 {
	if e.ownerScore < d.settings.StallScore || now-e.ownerAt > ownerFresh || e.warming() {
		return 0
	}
	p := d.peers(now, e, e.ownerAt-ownerWindow)
	if p.outcomes < minPeerSamples || p.failureShare(0) > maxFailures {
		return 0
	}
	if p.excess(0, openPrior) > slowPeers {
		return 0
	}
	return max(e.ownerScore, d.settings.EjectScore)
}
