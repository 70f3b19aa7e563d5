package health

import (
	"math"
	"time"
)

const (
	// The tail share of a latency is the share of requests that take longer, as estimated by baseline.tail.
	// rankExponent is the exponent a of the density a*u^(a-1) that is assumed for the tail share u of a failing endpoint's
	// latency. For a healthy endpoint u is uniform, whatever the latency distribution of the service.
	rankExponent = 0.25
	// maxSample bounds the evidence of one request, so that one or two requests cannot make an endpoint suspect.
	maxSample = 4.0
	// failingShare is the share of failures that is assumed for a failing endpoint.
	failingShare = 0.5
	// minFailures and maxFailures bound the share of failures that is assumed for a healthy endpoint.
	minFailures = 0.005
	maxFailures = 0.45
	// failureWeight is the weight of the latest outcome in the moving average of the service's share of failures.
	failureWeight = 1.0 / 256
	// An open request is evidence once the tail share of its age is at most openTail.
	openTail = 0.01
	// evidenceHalfLife is the half-life of evidence; without decay, rare failures over hours would add up.
	evidenceHalfLife = 20 * time.Second
	// scoreLimit bounds the score, in multiples of EjectScore, so that a recovered endpoint is cleared in bounded time.
	scoreLimit = 2.0
	// discountFactor and discountMargin make the score fall when the peers are as slow as the endpoint. Without them the
	// score would be a random walk without drift, which crosses the threshold by chance.
	discountFactor = 1.5
	discountMargin = 1.0
	// priorSamples is the weight of the service's average share of failures, as a number of outcomes of peers.
	priorSamples = 10
	// badSample is the evidence from which an outcome counts as bad. A failure always counts as bad.
	badSample = 2.5
	// goodShareWeight is the weight of the latest outcome in the moving average of an endpoint's good outcomes.
	goodShareWeight = 1.0 / 8
	// maxOpenSample bounds the evidence of an open request if at least manyOpen of them are evidence. Fewer count up to
	// maxSample each, so that one or two requests that happen to be long do not count as a stall. With these bounds, a
	// stalled endpoint with 3 slots is detected before any of its requests ends.
	maxOpenSample = 6.5
	manyOpen      = 3
	// settlePeriod is the time over which outcomes are collected before they are compared with those of peers.
	settlePeriod = time.Second
	// minPeerOutcomes is the number of outcomes of peers that is required before an endpoint is ejected.
	minPeerOutcomes = 3
	// ownerScoreMaxAge is the age up to which the score reported by an endpoint's owner is used.
	ownerScoreMaxAge = 2 * time.Second
	// An owner's score is compared with the outcomes of peers since ownerPeerWindow before it was received.
	ownerPeerWindow = 300 * time.Millisecond
	// slowPeersDiscount is the discount from which peers count as slow themselves; for healthy peers it is about 0.
	slowPeersDiscount = 1.5
	// recentLimit is the number of recent outcomes of the service that are kept for the comparison with peers.
	recentLimit = 128
)

// evidence is a CUSUM score. Pending outcomes, those of the last settlePeriod, are summed separately, because they
// are compared with the outcomes of peers in the same period, some of which are not known yet. After the comparison
// they are added to settled.
type evidence struct {
	settled float64
	// pendingSum is the sum of the pending outcomes' evidence before the comparison with peers. successes and failures
	// count them, and failureSum is the part of pendingSum that is due to failures.
	pendingSum float64
	successes  float64
	failures   float64
	failureSum float64
	since      time.Duration // time of the first pending outcome
	decayedAt  time.Duration // time up to which the decay has been applied to settled
}

func (v *evidence) decay(now time.Duration) {
	if v.settled > 0 && now > v.decayedAt {
		v.settled *= math.Exp2(-float64(now-v.decayedAt) / float64(evidenceHalfLife))
	}
	v.decayedAt = max(v.decayedAt, now)
}

func (v *evidence) pending() bool {
	return v.successes+v.failures > 0
}

func (v *evidence) add(now, begin time.Duration, sample float64, failed bool) {
	if !v.pending() {
		v.since = begin
	}
	v.pendingSum += sample
	if failed {
		v.failures++
		v.failureSum += sample
	} else {
		v.successes++
	}
	if v.settled+v.pendingSum <= 0 {
		*v = evidence{decayedAt: now}
	}
}

// meanLatency returns the mean latency evidence of the pending successes.
func (v *evidence) meanLatency() float64 {
	if v.successes == 0 {
		return 0
	}
	return (v.pendingSum - v.failureSum) / v.successes
}

// settle adds the evidence of the pending outcomes relative to peers, given by the caller, to the settled score and
// clears the pending outcomes. The score is kept between 0 and limit.
func (v *evidence) settle(pending, limit float64) {
	*v = evidence{settled: min(max(0, v.settled+pending), limit), decayedAt: v.decayedAt}
}

// relativeToPeers returns the evidence of the pending outcomes relative to peers. The usual share is the service's
// average share of failures.
func (v *evidence) relativeToPeers(p peerEvidence, usual float64) float64 {
	failures := v.failures * failureSample(p.failureShare(usual))
	return v.pendingSum - v.failureSum + failures - v.successes*p.discount(v.meanLatency(), finishedPrior)
}

// zoneBaselines holds the latency baselines of the endpoints of one zone, by class of request. Zones have separate
// baselines because the network delay to them differs.
type zoneBaselines struct {
	endpoints    int         // number of endpoints in the zone
	serviceTime  [2]baseline // time that the endpoint needed for the request
	responseTime [2]baseline // time from sending the request to its end
}

// classIndex returns the index of the class of short or long requests in zoneBaselines.
func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (d *Detector) zone(name string) *zoneBaselines {
	g, ok := d.zones[name]
	if !ok {
		g = &zoneBaselines{}
		d.zones[name] = g
	}
	return g
}

// recentSample is the outcome of one finished request. sample is its evidence before the comparison with peers.
type recentSample struct {
	endpoint *endpoint
	end      time.Duration
	sample   float64
	failed   bool
}

// recentEvidence is a ring buffer of the latest outcomes of the service.
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

// oldest returns the time since which the ring holds all outcomes.
func (r *recentEvidence) oldest() time.Duration {
	if len(r.samples) < recentLimit {
		return math.MinInt64
	}
	return r.samples[r.next].end
}

// observe adds one outcome to the evidence and the baselines. It returns the evidence of the outcome before the
// comparison with peers.
func (d *Detector) observe(now time.Duration, e *endpoint, r openRequest, kind Kind, latency time.Duration) float64 {
	g := d.zone(e.Zone)
	c := classIndex(r.long)
	failed := kind != Success
	sample := failureSample(d.failures)
	if !failed {
		sample = latencySample(g.serviceTime[c].tail(latency))
	}
	if !failed && e.warmingUp() {
		sample = min(sample, 0)
	}
	d.countFailure(failed)
	d.settle(now, e)
	e.evidence.add(now, r.begin, sample, failed)
	d.recent.add(recentSample{endpoint: e, end: now, sample: sample, failed: failed})
	if !failed && e.contributesToBaseline() {
		g.serviceTime[c].add(latency, sample)
		g.responseTime[c].add(now-r.begin, sample)
	}
	e.updateGoodShare(failed || sample >= badSample)
	if failed {
		return max(sample, badSample)
	}
	return sample
}

// updateGoodShare updates the share of good outcomes, on which the weight of a suspect endpoint depends.
func (e *endpoint) updateGoodShare(bad bool) {
	value := 1.0
	if bad {
		value = 0
	}
	e.goodShare += goodShareWeight * (value - e.goodShare)
}

// warmingUp reports whether slow answers are expected because the endpoint is cold or was cold recently.
func (e *endpoint) warmingUp() bool {
	return e.Cold || (e.rampActive && e.state != Ramping)
}

// contributesToBaseline reports whether the endpoint's latencies are counted in the baselines of its zone.
func (e *endpoint) contributesToBaseline() bool {
	return !e.Cold && (e.state == Healthy || e.state == Ramping)
}

// latencySample returns the evidence of a success whose latency has the given tail share.
func latencySample(tail float64) float64 {
	if tail >= 1 {
		return math.Log(1 - failingShare)
	}
	return min(maxSample, math.Log(rankExponent)+(rankExponent-1)*math.Log(tail))
}

// failureSample returns the evidence of a failure if the given share of the peers' requests fails.
func failureSample(share float64) float64 {
	p0 := min(max(share, minFailures), maxFailures)
	return min(maxSample, math.Log(failingShare/p0))
}

// countFailure updates the service's average share of failures.
func (d *Detector) countFailure(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	d.failures += failureWeight * (value - d.failures)
}

// openEvidence is the evidence of the requests that an endpoint has not answered yet. Requests that are not older than
// usual do not count.
type openEvidence struct {
	score   float64
	samples float64
	since   time.Duration
}

// stallEvidence is the evidence of unanswered requests, of which only the manyOpen with the strongest evidence count.
// Without this bound, an endpoint with more slots would count as stalled at a lower age of its requests, although the
// requests in all slots are old at the same time when a service is slow as a whole.
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

// openEvidence adds up the evidence of the endpoint's open requests, each the log likelihood ratio of a latency of at
// least the request's age.
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

// openSample returns the evidence of an open request from its age: 0 if the tail share of the age exceeds openTail or
// slow answers are expected of the endpoint.
func (d *Detector) openSample(now time.Duration, e *endpoint, r openRequest) float64 {
	if e.warmingUp() {
		return 0
	}
	tail := d.zone(e.Zone).responseTime[classIndex(r.long)].tail(now - r.begin)
	if tail > openTail {
		return 0
	}
	return min(maxOpenSample, (rankExponent-1)*math.Log(tail))
}

// settle compares the pending outcomes with those of peers and settles them, once settlePeriod has passed or the ring
// no longer holds all outcomes of peers since the first pending one.
func (d *Detector) settle(now time.Duration, e *endpoint) {
	v := &e.evidence
	v.decay(now)
	if !v.pending() || (now-v.since < settlePeriod && v.since >= d.recent.oldest()) {
		return
	}
	p := d.peers(now, e, v.since)
	limit := scoreLimit * d.settings.EjectScore
	if p.tooFew() {
		limit = max(v.settled, d.settings.EjectScore-1)
	}
	v.settle(v.relativeToPeers(p, d.failures), limit)
}

// relativeScore returns the evidence against the endpoint beyond that against its peers in the same period.
func (d *Detector) relativeScore(now time.Duration, e *endpoint) float64 {
	d.settle(now, e)
	own := &e.evidence
	open := d.openEvidence(now, e)
	if own.settled+own.pendingSum+open.score < d.settings.SuspectScore/2 {
		return max(0, own.settled+own.pendingSum+open.score, d.ownerEvidence(now, e))
	}
	since := now
	if own.pending() {
		since = own.since
	}
	if open.samples > 0 {
		since = min(since, open.since)
	}
	p := d.peers(now, e, since)
	score := own.settled + own.relativeToPeers(p, d.failures) + open.score - open.samples*p.discount(open.mean(), openPrior)
	if p.tooFew() {
		// With too few outcomes of peers for a comparison, new evidence must not eject the endpoint.
		score = min(score, max(own.settled, d.settings.EjectScore-1))
	}
	return max(score, d.ownerEvidence(now, e))
}

// mean accumulates the latency evidence of peers.
type mean struct {
	sum     float64
	samples float64
}

func (m *mean) add(sample float64) {
	m.sum += sample
	m.samples++
}

// The comparison starts from the assumption that peers are as slow as the endpoint. The priors are the weight of this
// assumption, as a number of outcomes. With a prior of 1 for finished requests, a service of 4 or 5 endpoints that
// slowed down as a whole had an endpoint ejected in about one of 50 cases. Open requests have a prior of 1, because
// few of them are open during a stall.
const (
	finishedPrior = 8
	openPrior     = 1
)

// discount returns what is subtracted from the evidence of each outcome because the peers are slow too. own is the mean
// evidence of the endpoint's own outcomes.
func (m *mean) discount(own, prior float64) float64 {
	return max(0, discountFactor*(m.sum+prior*own)/(m.samples+prior)+discountMargin)
}

// maxPeersCompared bounds the number of peers whose open requests are compared with those of one endpoint. Without the
// bound the cost grows with the square of the number of endpoints: it took 7 cores for 1,000 endpoints of a stalled
// service.
const maxPeersCompared = 48

// peerEvidence summarizes the outcomes of the peers of an endpoint in the same period: finished requests, and for
// latency also open requests.
type peerEvidence struct {
	outcomes float64 // number of finished requests
	failures float64 // number of failures among outcomes
	service  mean    // latency evidence of all peers
	zone     mean    // latency evidence of the peers in the endpoint's zone
	hasZone  bool    // whether there are other endpoints in the zone
}

// failureShare returns the share of failures of the peers. The service's usual share counts as priorSamples outcomes.
func (p *peerEvidence) failureShare(usual float64) float64 {
	return (p.failures + priorSamples*usual) / (p.outcomes + priorSamples)
}

// tooFew reports whether there are too few outcomes of peers for a comparison.
func (p *peerEvidence) tooFew() bool {
	return p.outcomes+p.service.samples < minPeerOutcomes
}

// discount returns what is subtracted from the evidence of each outcome that is not a failure. Latency is compared with
// all peers and, if there are any, with those in the same zone; the larger discount applies.
func (p *peerEvidence) discount(own, prior float64) float64 {
	if !p.hasZone {
		return p.service.discount(own, prior)
	}
	return max(p.service.discount(own, prior), p.zone.discount(own, prior))
}

// peers sums the evidence of the other endpoints since the given time. Latency is summed for all of them and for
// those in the same zone. Failures are summed for the whole service only: if they were compared within a zone, the
// endpoints of a zone in which all requests fail would not be ejected.
func (d *Detector) peers(now time.Duration, e *endpoint, since time.Duration) peerEvidence {
	p := peerEvidence{hasZone: d.zone(e.Zone).endpoints > 1}
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

// cachedSample returns the evidence of an open request. It is computed once for all endpoints that are evaluated at the
// same time.
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

// ownerEvidence returns a score that is high enough to eject the endpoint if its owner reports a stall and the
// outcomes of peers in the same period are good, and 0 otherwise. Scores below StallScore are ignored: all detectors
// of the service receive the same score, so that one random peak of it would make the endpoint suspect in all of
// them.
func (d *Detector) ownerEvidence(now time.Duration, e *endpoint) float64 {
	if e.ownerScore < d.settings.StallScore || now-e.ownerScoreAt > ownerScoreMaxAge || e.warmingUp() {
		return 0
	}
	p := d.peers(now, e, e.ownerScoreAt-ownerPeerWindow)
	if p.outcomes < minPeerOutcomes || p.failureShare(0) > maxFailures {
		return 0
	}
	if p.discount(0, openPrior) > slowPeersDiscount {
		return 0
	}
	return max(e.ownerScore, d.settings.EjectScore)
}
