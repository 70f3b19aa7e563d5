// Package health detects failing endpoints of a service from the outcomes of the requests that one process sent to
// them.
//
// Each endpoint has a score: a cumulative sum (CUSUM) of the log likelihood ratio of "the endpoint fails" against
// "the endpoint is like its peers", the other endpoints of the service. This log likelihood ratio of an outcome is
// called its evidence. Outcomes are compared with those of peers that the same process observed, so that a slow
// service, a slow zone or a load peak raises all scores alike and ejects no endpoint. Ejections leave at least a
// configured percentage of the service's slots in rotation, the floor, or all available slots if these are fewer:
// every detector computes the same set of protected endpoints, which it never ejects.
//
// Times are durations since an arbitrary start, the same for all calls to one detector.
package health

import (
	"math"
	"time"
)

// Kind is the kind of an outcome.
type Kind uint8

// Kinds of outcomes.
const (
	Success Kind = iota
	Failure
	Timeout
	// Neutral outcomes, such as a cancellation by the caller, are no evidence about the endpoint.
	Neutral
)

// Settings tune the detector. The zero value means the defaults.
type Settings struct {
	// SuspectScore and EjectScore are the scores from which an endpoint is suspect and from which it is ejected.
	SuspectScore float64
	EjectScore   float64
	// StallScore is the score reported by an endpoint's owner from which the endpoint counts as stalled. It is lower than
	// EjectScore because the owner reports a score only if the endpoint has not answered any request recently.
	StallScore float64
	// HoldOff is the hold-off time of the first ejection. It doubles with each recent ejection, up to HoldOffMax.
	HoldOff    time.Duration
	HoldOffMax time.Duration
	// RampDuration is the time in which the share of traffic of a ramping endpoint rises to 1.
	RampDuration time.Duration
	// ProbeInterval is the least time between two probes of an endpoint.
	ProbeInterval time.Duration
}

// Defaults of Settings.
const (
	DefaultSuspectScore  = 10.0
	DefaultEjectScore    = 22.0
	DefaultStallScore    = 16.0
	DefaultHoldOff       = 2 * time.Second
	DefaultHoldOffMax    = 5 * time.Minute
	DefaultRampDuration  = 5 * time.Second
	DefaultProbeInterval = 250 * time.Millisecond
)

// WithDefaults replaces zero values by the defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.SuspectScore, DefaultSuspectScore)
	setDefault(&s.EjectScore, DefaultEjectScore)
	setDefault(&s.StallScore, DefaultStallScore)
	setDefault(&s.HoldOff, DefaultHoldOff)
	setDefault(&s.HoldOffMax, DefaultHoldOffMax)
	setDefault(&s.RampDuration, DefaultRampDuration)
	setDefault(&s.ProbeInterval, DefaultProbeInterval)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Endpoint is an endpoint as configured and as last reported by its owner. Unavailable means leaving, draining or down.
// Cold endpoints are still warming up: they may be used but do not count towards the floor. The owner of an endpoint is
// the node on the host of its backend server.
type Endpoint struct {
	ID          string
	Slots       int // number of requests that the endpoint processes at a time
	Zone        string
	Unavailable bool
	Cold        bool
}

// Transition is a change of an endpoint's state.
type Transition struct {
	Endpoint string
	From     State
	To       State
	Score    float64 // score on which the transition is based
	Reason   string
}

// View is the state of an endpoint, as needed to choose one for a request.
type View struct {
	State      State
	Score      float64
	Weight     float64 // share of its normal traffic, 0 to 1
	LastResort bool
	Protected  bool
	Reason     string // reason of the latest transition
}

// Reasons of transitions.
const (
	ReasonEvidence  = "evidence"
	ReasonCleared   = "evidence-cleared"
	ReasonHoldOff   = "hold-off-passed"
	ReasonProtected = "floor"
	ReasonProbes    = "probes-passed"
	ReasonProbe     = "probe-failed"
	ReasonRamped    = "ramped"
)

const (
	// goodProbesToRamp is the number of successive good probes after which an endpoint leaves probation and ramps.
	goodProbesToRamp = 3
	// minWeight is the share of normal traffic at which a ramp starts, and coldWeight the largest share of an endpoint
	// that is reported as cold.
	minWeight  = 0.05
	coldWeight = 0.5
	// The weight of a suspect endpoint halves for each halvingScore of its score, down to minSuspectWeight. It decides
	// between suspect endpoints when all are suspect, and how loaded the others must be before a suspect one is used.
	halvingScore     = 3.0
	minSuspectWeight = 0.01
	// forgiveHoldOffs is the time, in multiples of the current hold-off time, for which an endpoint must be healthy before
	// its number of ejections is reduced by one. maxFlaps bounds that number.
	forgiveHoldOffs = 10
	maxFlaps        = 30
	// The probe interval doubles with each bad probe, because probes are requests of callers, up to maxProbeDoublings
	// times.
	maxProbeDoublings = 5
	// Bad probes do not count against the endpoint if at least maxPeerFailureShare of the peers' requests failed within
	// probeWindow.
	probeWindow         = time.Second
	maxPeerFailureShare = 0.2
)

type openRequest struct {
	id    uint64
	begin time.Duration
	long  bool
	// sample is the evidence of the request's age at the time sampledAt.
	sample    float64
	sampledAt time.Duration
}

type endpoint struct {
	Endpoint
	rank      uint64 // position in the order of the service's endpoints
	state     State
	protected bool
	active    bool // whether the endpoint is in Detector.active
	evidence  evidence
	score     float64 // the evidence relative to peers at the latest evaluation
	open      []openRequest

	flaps        int           // number of recent ejections, on which the hold-off time depends
	holdOffEnd   time.Duration // end of the hold-off time of an ejected endpoint
	healthySince time.Duration // start of the healthy time after which flaps is reduced
	rampStart    time.Duration // start of the rise of the share of traffic
	rampActive   bool          // whether the share is still limited by the ramp
	lastProbe    time.Duration
	// lastSuccess is the time of the latest success, and unanswered the evidence of the requests that timed out since.
	lastSuccess   time.Duration
	unanswered    stallEvidence
	probeReserved bool    // whether a probe is reserved or open
	probeID       uint64  // request ID of the open probe, 0 if it was not sent yet
	goodProbes    int     // successive good probes of the current probation
	probeScore    float64 // sum of the evidence of the probes of the current probation
	badProbes     int     // successive bad probes, up to maxProbeDoublings
	goodShare     float64 // moving average of good outcomes, 0 to 1
	reason        string  // reason of the latest transition
	ownerScore    float64 // score last reported by the owner
	ownerScoreAt  time.Duration
}

// Detector judges the endpoints of one service by the requests of one process. It is not safe for concurrent use.
type Detector struct {
	service      string
	settings     Settings
	floorPercent int
	byID         map[string]*endpoint
	order        []*endpoint // all endpoints by rank
	active       []*endpoint // endpoints that Tick processes; may contain removed ones until the next Tick
	zones        map[string]*zoneBaselines
	recent       recentEvidence
	failures     float64 // moving average of the service's share of failures
}

// NewDetector returns a detector without endpoints.
func NewDetector(service string, s Settings) *Detector {
	return &Detector{
		service:  service,
		settings: s.WithDefaults(),
		byID:     map[string]*endpoint{},
		zones:    map[string]*zoneBaselines{},
	}
}

// Configure replaces the settings. The evidence and the states are kept.
func (d *Detector) Configure(s Settings) {
	d.settings = s.WithDefaults()
}

// SetEndpoints replaces the endpoints and the floor. Known endpoints keep their state, except that ejected endpoints
// and those on probation return to rotation at once, as suspects, if they become protected.
func (d *Detector) SetEndpoints(now time.Duration, endpoints []Endpoint, floorPercent int) []Transition {
	known := d.byID
	d.byID = make(map[string]*endpoint, len(endpoints))
	d.order = d.order[:0]
	d.floorPercent = floorPercent
	for _, g := range d.zones {
		g.endpoints = 0
	}
	for _, spec := range endpoints {
		e, ok := known[spec.ID]
		if !ok {
			e = &endpoint{rank: rank(d.service, spec.ID), healthySince: now, goodShare: 1}
		}
		e.update(now, spec)
		d.byID[spec.ID] = e
		d.zone(e.Zone).endpoints++
		d.order = append(d.order, e)
		d.activate(e)
	}
	d.sortOrder()
	return d.updateProtected(now)
}

// SetAvailability updates the availability of one endpoint and the protected set.
func (d *Detector) SetAvailability(now time.Duration, id string, unavailable, cold bool) []Transition {
	e, ok := d.byID[id]
	if !ok || (e.Unavailable == unavailable && e.Cold == cold) {
		return nil
	}
	spec := e.Endpoint
	spec.Unavailable, spec.Cold = unavailable, cold
	e.update(now, spec)
	d.activate(e)
	return d.updateProtected(now)
}

func (e *endpoint) update(now time.Duration, spec Endpoint) {
	if spec.Cold && !e.Cold {
		e.startRamp(now)
	}
	if e.Cold && !spec.Cold {
		// The ramp goes on from the share that the endpoint had while it was cold.
		e.rampActive = true
	}
	e.Endpoint = spec
}

func (e *endpoint) startRamp(now time.Duration) {
	e.rampActive = true
	e.rampStart = now
}

// updateProtected recomputes the protected set. Endpoints in it that are ejected or on probation become suspect.
func (d *Detector) updateProtected(now time.Duration) []Transition {
	d.markProtected()
	var changes []Transition
	for _, e := range d.order {
		if e.protected && (e.state == Ejected || e.state == Probation) {
			changes = d.transition(changes, now, e, triggerProtect, ReasonProtected)
		}
	}
	return changes
}

func (d *Detector) transition(changes []Transition, now time.Duration, e *endpoint, t trigger, reason string) []Transition {
	from := e.state
	score := e.score
	e.fire(t)
	e.reason = reason
	switch e.state {
	case Healthy:
		e.healthySince = now
	case Ejected:
		e.flaps = min(e.flaps+1, maxFlaps)
		e.holdOffEnd = now + d.holdOff(e)
		e.evidence, e.score = evidence{}, 0
		e.rampActive = false
	case Probation:
		e.goodProbes, e.probeScore = 0, 0
	case Ramping:
		e.evidence, e.score = evidence{}, 0
		e.startRamp(now)
	}
	d.activate(e)
	return append(changes, Transition{Endpoint: e.ID, From: from, To: e.state, Score: score, Reason: reason})
}

// holdOff returns the time for which the endpoint stays ejected after its latest ejection.
func (d *Detector) holdOff(e *endpoint) time.Duration {
	hold := d.settings.HoldOff
	for range e.flaps - 1 {
		hold *= 2
		if hold >= d.settings.HoldOffMax {
			return d.settings.HoldOffMax
		}
	}
	return hold
}

// Begin records that a request was sent to an endpoint. id identifies the request until End is called, and long gives its
// class, long or short, which has its own latency baselines.
func (d *Detector) Begin(now time.Duration, endpointID string, id uint64, long bool) {
	e, ok := d.byID[endpointID]
	if !ok {
		return
	}
	e.open = append(e.open, openRequest{id: id, begin: now, long: long})
	if e.probeReserved && e.probeID == 0 {
		e.probeID = id
	}
	d.activate(e)
}

// End records how a request ended. The latency is the time that the endpoint needed for it, without the time in the
// owner's queue if the owner reported that.
func (d *Detector) End(now time.Duration, endpointID string, id uint64, kind Kind, latency time.Duration) []Transition {
	e, ok := d.byID[endpointID]
	if !ok {
		return nil
	}
	r, ok := e.takeOpen(id)
	if !ok {
		return nil
	}
	probe := e.probeReserved && e.probeID == id
	if probe {
		e.probeReserved, e.probeID = false, 0
	}
	if kind == Neutral {
		return nil
	}
	d.updateUnanswered(now, e, r, kind)
	sample := d.observe(now, e, r, kind, latency)
	if probe {
		e.countProbe(sample >= badSample)
	}
	if probe && e.state == Probation {
		return d.endProbe(now, e, sample)
	}
	return d.evaluate(nil, now, e)
}

// takeOpen removes an open request and returns it.
func (e *endpoint) takeOpen(id uint64) (openRequest, bool) {
	for i, r := range e.open {
		if r.id == id {
			e.open[i] = e.open[len(e.open)-1]
			e.open = e.open[:len(e.open)-1]
			return r, true
		}
	}
	return openRequest{}, false
}

// updateUnanswered clears the evidence of timed-out requests after a success and adds to it after a timeout.
func (d *Detector) updateUnanswered(now time.Duration, e *endpoint, r openRequest, kind Kind) {
	switch kind {
	case Success:
		e.lastSuccess = now
		e.unanswered = stallEvidence{}
	case Timeout:
		e.unanswered.add(r.begin, d.openSample(now, e, r))
	}
}

func (e *endpoint) countProbe(bad bool) {
	if !bad {
		e.badProbes = 0
		return
	}
	e.badProbes = min(e.badProbes+1, maxProbeDoublings)
}

// endProbe judges the probes of a probation by the sum of their evidence: one slow answer does not fail the
// probation, and three answers that are all rather slow do not pass it.
func (d *Detector) endProbe(now time.Duration, e *endpoint, sample float64) []Transition {
	e.probeScore += sample
	if e.probeScore >= badSample {
		if d.peersAreNormal(now, e, min(e.probeScore, maxSample)) {
			return d.transition(nil, now, e, triggerEject, ReasonProbe)
		}
		e.probeScore, e.goodProbes = 0, 0
		return nil
	}
	e.goodProbes++
	if e.goodProbes < goodProbesToRamp || e.probeScore > 0 {
		return nil
	}
	return d.transition(nil, now, e, triggerProbesPassed, ReasonProbes)
}

// peersAreNormal reports whether bad probes are due to the endpoint rather than to the whole service. The comparison
// starts from the assumption that peers are as slow as the probe.
func (d *Detector) peersAreNormal(now time.Duration, e *endpoint, sample float64) bool {
	p := d.peers(now, e, now-probeWindow)
	return p.failureShare(d.failures) < maxPeerFailureShare && p.discount(sample, finishedPrior) < slowPeersDiscount
}

// evaluate updates the score of an endpoint and makes the transitions that follow from the score.
func (d *Detector) evaluate(changes []Transition, now time.Duration, e *endpoint) []Transition {
	switch e.state {
	case Healthy, Ramping:
		e.score = d.relativeScore(now, e)
		if e.score < d.settings.SuspectScore {
			return changes
		}
		changes = d.transition(changes, now, e, triggerSuspect, ReasonEvidence)
		return d.evaluate(changes, now, e)
	case Suspect:
		e.score = d.relativeScore(now, e)
		if e.score >= d.settings.EjectScore && !e.protected {
			return d.transition(changes, now, e, triggerEject, ReasonEvidence)
		}
		if e.score < d.settings.SuspectScore/2 {
			return d.transition(changes, now, e, triggerClear, ReasonCleared)
		}
	}
	return changes
}

// RecordPause records that this process did not run for the given time before now. The pause does not count towards the
// age of open requests, and outcomes that were not yet compared with peers are dropped.
func (d *Detector) RecordPause(now, pause time.Duration) {
	for _, e := range d.active {
		for i := range e.open {
			e.open[i].begin = min(e.open[i].begin+pause, now)
		}
		e.evidence = evidence{settled: e.evidence.settled, decayedAt: now}
		e.unanswered = stallEvidence{}
	}
}

// Tick evaluates requests that are still open and ends hold-off times and ramps. It is called periodically. Its cost
// grows with the number of endpoints that are in use or not healthy.
func (d *Detector) Tick(now time.Duration) []Transition {
	var changes []Transition
	kept := d.active[:0]
	for _, e := range d.active {
		if d.byID[e.ID] != e {
			continue
		}
		changes = d.tickEndpoint(changes, now, e)
		e.active = e.needsTick()
		if e.active {
			kept = append(kept, e)
		}
	}
	clear(d.active[len(kept):])
	d.active = kept
	return changes
}

func (d *Detector) tickEndpoint(changes []Transition, now time.Duration, e *endpoint) []Transition {
	if e.rampActive && d.weight(now, e) >= 1 {
		e.rampActive = false
	}
	switch e.state {
	case Ejected:
		if now >= e.holdOffEnd {
			return d.transition(changes, now, e, triggerHoldOffEnd, ReasonHoldOff)
		}
		return changes
	case Probation:
		if d.openEvidence(now, e).score >= maxSample {
			e.probeReserved, e.probeID = false, 0
			e.countProbe(true)
			return d.transition(changes, now, e, triggerEject, ReasonProbe)
		}
		return changes
	case Ramping:
		if !e.rampActive {
			changes = d.transition(changes, now, e, triggerRamped, ReasonRamped)
		}
	case Healthy:
		if e.flaps > 0 && now-e.healthySince >= forgiveHoldOffs*d.holdOff(e) {
			e.flaps--
			e.healthySince = now
		}
	}
	return d.evaluate(changes, now, e)
}

// needsTick reports whether Tick has to process the endpoint.
func (e *endpoint) needsTick() bool {
	return e.state != Healthy || e.evidence.pending() || len(e.open) > 0 || e.flaps > 0 || e.rampActive || e.ownerScore > 0
}

func (d *Detector) activate(e *endpoint) {
	if !e.active && e.needsTick() {
		e.active = true
		d.active = append(d.active, e)
	}
}

// View returns the state of an endpoint. An unknown endpoint has weight 0.
func (d *Detector) View(now time.Duration, endpointID string) View {
	e, ok := d.byID[endpointID]
	if !ok {
		return View{}
	}
	v := View{State: e.state, Score: e.score, Protected: e.protected, Reason: e.reason}
	if e.Unavailable || e.state == Ejected || e.state == Probation {
		return v
	}
	v.Weight = d.weight(now, e)
	if e.state == Suspect {
		v.LastResort = true
		v.Weight *= max(minSuspectWeight, e.goodShare*math.Exp2(-e.score/halvingScore))
	}
	return v
}

func (d *Detector) weight(now time.Duration, e *endpoint) float64 {
	if !e.rampActive {
		return 1
	}
	w := max(minWeight, float64(now-e.rampStart)/float64(d.settings.RampDuration))
	if e.Cold {
		return min(w, coldWeight)
	}
	return min(w, 1)
}

// ReserveProbe reports whether a probe, a repeatable request that tests the endpoint, should be sent now. If so, the
// next request for which Begin is called on the endpoint is the probe, and no other probe is due before the probe
// interval has passed.
func (d *Detector) ReserveProbe(now time.Duration, endpointID string) bool {
	e, ok := d.byID[endpointID]
	if !ok {
		return false
	}
	return d.reserveProbe(now, e)
}

// ReserveNextProbe reserves a probe as ReserveProbe does, of the first endpoint that needs one, and returns its ID.
func (d *Detector) ReserveNextProbe(now time.Duration) (string, bool) {
	for _, e := range d.active {
		if d.byID[e.ID] == e && d.reserveProbe(now, e) {
			return e.ID, true
		}
	}
	return "", false
}

func (d *Detector) reserveProbe(now time.Duration, e *endpoint) bool {
	if e.Unavailable || (e.state != Suspect && e.state != Probation) {
		return false
	}
	if e.lastProbe != 0 && now-e.lastProbe < d.settings.ProbeInterval<<e.badProbes {
		return false
	}
	// A reserved probe that was never sent does not block the next one.
	if e.probeReserved && e.probeID != 0 {
		return false
	}
	e.lastProbe = now
	e.probeReserved, e.probeID = true, 0
	return true
}

// RecordOwnerScore records the StallScore that the owner of an endpoint, the node on the host of its backend server,
// computed. The owner observes all requests to the endpoint, this process possibly only a few.
func (d *Detector) RecordOwnerScore(now time.Duration, endpointID string, score float64) []Transition {
	e, ok := d.byID[endpointID]
	if !ok {
		return nil
	}
	e.ownerScore = score
	e.ownerScoreAt = now
	d.activate(e)
	if e.state == Ejected || e.state == Probation {
		return nil
	}
	return d.evaluate(nil, now, e)
}

// StallScore returns the evidence that an endpoint has stopped answering. The owner of a backend server publishes it
// in its load reports. It excludes failures and slow answers: an owner observes no peers and so cannot distinguish
// these from the failures and slow answers of a whole service. It is 0 if the endpoint answered a request
// successfully within the last three quarters of the time since the first unanswered request was sent.
func (d *Detector) StallScore(now time.Duration, endpointID string) float64 {
	e, ok := d.byID[endpointID]
	if !ok {
		return 0
	}
	v := e.unanswered
	for _, r := range e.open {
		v.add(r.begin, d.openSample(now, e, r))
	}
	if v.count == 0 || e.lastSuccess >= v.since+(now-v.since)/4 {
		return 0
	}
	return v.sum()
}

// Stalled reports whether StallScore is high enough that the owner should send the endpoint only one request at a time.
func (d *Detector) Stalled(now time.Duration, endpointID string) bool {
	return d.StallScore(now, endpointID) >= d.settings.StallScore/2
}

// ResponseTimeQuantile returns the time, counted from sending, within which all but the given share of the requests
// of the class to endpoints of the zone were answered. It returns 0 if there are too few samples.
func (d *Detector) ResponseTimeQuantile(zone string, long bool, share float64) time.Duration {
	g, ok := d.zones[zone]
	if !ok {
		return 0
	}
	return g.responseTime[classIndex(long)].quantile(share)
}
