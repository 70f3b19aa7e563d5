// Package health detects failing endpoints of a service from the outcomes of its requests, as seen from one place.
//
// Each endpoint has a score: a cumulative sum (CUSUM) of the log likelihood ratio of "fails" against "is as its peers
// are". Outcomes are compared with the service's peers as seen from the same place, so that a slow service, a slow
// zone or a load peak raises all scores alike and ejects no endpoint. A protected set, computed in the same way by
// every view, keeps the floor of the service's capacity.
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
	// Neutral outcomes say nothing about the endpoint, such as a caller's cancellation.
	Neutral
)

// Settings tune the detector. The zero value means the defaults.
type Settings struct {
	SuspectScore float64
	EjectScore   float64
	// StallScore is the score of an owner's report from which the endpoint counts as stalled. It is lower than
	// EjectScore because the report also says that nothing was answered in the meantime.
	StallScore    float64
	HoldOff       time.Duration
	HoldOffMax    time.Duration
	RampDuration  time.Duration
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

// Endpoint is an endpoint as configured and as last reported. Unavailable means leaving, draining or down; Cold
// endpoints may be used but do not count towards the floor.
type Endpoint struct {
	ID          string
	Slots       int
	Zone        string
	Unavailable bool
	Cold        bool
}

// Transition is a change of an endpoint's state.
type Transition struct {
	Endpoint string
	From     State
	To       State
	Score    float64
	Reason   string
}

// View is what the choice of an endpoint needs to know about it.
type View struct {
	State      State
	Score      float64
	Weight     float64
	LastResort bool
	Protected  bool
	Reason     string
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
	// probesToPass is the number of successive good probes that end the probation.
	probesToPass = 3
	// minWeight is the share of traffic with which ramping starts, and coldWeight the highest share of an endpoint
	// that still reports to be cold.
	minWeight  = 0.05
	coldWeight = 0.5
	// The weight of a suspect halves with each weightHalving of its score. It decides between suspects when all
	// endpoints are suspect, and how loaded the others must be before a suspect is used.
	weightHalving    = 3.0
	minSuspectWeight = 0.01
	// forgiveAfter is the healthy time, in units of the current hold-off, after which one ejection is forgiven.
	forgiveAfter = 10
	maxFlaps     = 30
	// maxProbeDoublings bounds the growth of the probe interval, which doubles with each bad probe, because probes are
	// requests of callers.
	maxProbeDoublings = 5
	// A bad probe counts unless at least probeFailures of the peers' requests failed within probeWindow.
	probeWindow   = time.Second
	probeFailures = 0.2
)

type openRequest struct {
	id    uint64
	begin time.Duration
	long  bool
	// sample is the evidence at the time sampledAt.
	sample    float64
	sampledAt time.Duration
}

type endpoint struct {
	Endpoint
	rank      uint64
	state     State
	protected bool
	active    bool
	evidence  evidence
	score     float64 // the evidence relative to peers, as last judged
	open      []openRequest

	flaps     int
	until     time.Duration // end of the hold-off
	goodSince time.Duration // start of the healthy time that forgives an ejection
	rampStart time.Duration
	ramps     bool
	lastProbe time.Duration
	// lastSuccess is the time of the latest successful answer, unanswered the evidence of requests given up since then.
	lastSuccess time.Duration
	unanswered  stallEvidence
	probing     bool
	probe       uint64
	passes      int
	probeScore  float64
	badProbes   int
	quality     float64
	reason      string
	ownerScore  float64
	ownerAt     time.Duration
}

// Detector is the view of one service from one place. It is not safe for concurrent use.
type Detector struct {
	service      string
	settings     Settings
	floorPercent int
	byID         map[string]*endpoint
	order        []*endpoint
	active       []*endpoint
	groups       map[string]*group
	recent       recentEvidence
	failures     float64
}

// NewDetector returns a detector without endpoints.
func NewDetector(service string, s Settings) *Detector {
	return &Detector{
		service:  service,
		settings: s.WithDefaults(),
		byID:     map[string]*endpoint{},
		groups:   map[string]*group{},
	}
}

// Configure replaces the settings. The evidence and the states are kept.
func (d *Detector) Configure(s Settings) {
	d.settings = s.WithDefaults()
}

// SetEndpoints replaces the endpoints and the floor. Known endpoints keep their state, except that those that become
// protected return to rotation at once.
func (d *Detector) SetEndpoints(now time.Duration, endpoints []Endpoint, floorPercent int) []Transition {
	known := d.byID
	d.byID = make(map[string]*endpoint, len(endpoints))
	d.order = d.order[:0]
	d.floorPercent = floorPercent
	for _, g := range d.groups {
		g.endpoints = 0
	}
	for _, spec := range endpoints {
		e, ok := known[spec.ID]
		if !ok {
			e = &endpoint{rank: rank(d.service, spec.ID), goodSince: now, quality: 1}
		}
		e.update(now, spec)
		d.byID[spec.ID] = e
		d.group(e.Zone).endpoints++
		d.order = append(d.order, e)
		d.activate(e)
	}
	d.sortOrder()
	return d.refloor(now)
}

// SetAvailability updates one endpoint as SetEndpoints does.
func (d *Detector) SetAvailability(now time.Duration, id string, unavailable, cold bool) []Transition {
	e, ok := d.byID[id]
	if !ok || (e.Unavailable == unavailable && e.Cold == cold) {
		return nil
	}
	spec := e.Endpoint
	spec.Unavailable, spec.Cold = unavailable, cold
	e.update(now, spec)
	d.activate(e)
	return d.refloor(now)
}

func (e *endpoint) update(now time.Duration, spec Endpoint) {
	if spec.Cold && !e.Cold {
		e.startRamp(now)
	}
	if e.Cold && !spec.Cold {
		// The rest of the ramp starts at the share that the cold endpoint had.
		e.ramps = true
	}
	e.Endpoint = spec
}

func (e *endpoint) startRamp(now time.Duration) {
	e.ramps = true
	e.rampStart = now
}

// refloor recomputes the protected set and returns ejected endpoints that are now in it to rotation.
func (d *Detector) refloor(now time.Duration) []Transition {
	d.protect()
	var changes []Transition
	for _, e := range d.order {
		if e.protected && (e.state == Ejected || e.state == Probation) {
			changes = d.move(changes, now, e, triggerProtect, ReasonProtected)
		}
	}
	return changes
}

func (d *Detector) move(changes []Transition, now time.Duration, e *endpoint, t trigger, reason string) []Transition {
	from := e.state
	score := e.score
	e.fire(t)
	e.reason = reason
	switch e.state {
	case Healthy:
		e.goodSince = now
	case Ejected:
		e.flaps = min(e.flaps+1, maxFlaps)
		e.until = now + d.holdOff(e)
		e.evidence, e.score = evidence{}, 0
		e.ramps = false
	case Probation:
		e.passes, e.probeScore = 0, 0
	case Ramping:
		e.evidence, e.score = evidence{}, 0
		e.startRamp(now)
	}
	d.activate(e)
	return append(changes, Transition{Endpoint: e.ID, From: from, To: e.state, Score: score, Reason: reason})
}

// holdOff is the time for which the endpoint stays out after its latest ejection.
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

// Begin records that a request was sent to an endpoint.
func (d *Detector) Begin(now time.Duration, endpointID string, id uint64, long bool) {
	e, ok := d.byID[endpointID]
	if !ok {
		return
	}
	e.open = append(e.open, openRequest{id: id, begin: now, long: long})
	if e.probing && e.probe == 0 {
		e.probe = id
	}
	d.activate(e)
}

// End records how a request ended. The latency is the time that the endpoint needed; it excludes the time for which
// the request waited in the owner's queue, if the owner reported it.
func (d *Detector) End(now time.Duration, endpointID string, id uint64, kind Kind, latency time.Duration) []Transition {
	e, ok := d.byID[endpointID]
	if !ok {
		return nil
	}
	r, ok := e.takeOpen(id)
	if !ok {
		return nil
	}
	probe := e.probing && e.probe == id
	if probe {
		e.probing, e.probe = false, 0
	}
	if kind == Neutral {
		return nil
	}
	d.countUnanswered(now, e, r, kind)
	sample := d.observe(now, e, r, kind, latency)
	if probe {
		e.countProbe(sample >= badSample)
	}
	if probe && e.state == Probation {
		return d.endProbe(now, e, sample)
	}
	return d.judge(nil, now, e)
}

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

func (d *Detector) countUnanswered(now time.Duration, e *endpoint, r openRequest, kind Kind) {
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

// endProbe judges the probes of a probation together: one slow answer is no failure, and three answers that are all
// rather slow are no success.
func (d *Detector) endProbe(now time.Duration, e *endpoint, sample float64) []Transition {
	e.probeScore += sample
	if e.probeScore >= badSample {
		if d.peersAreGood(now, e, min(e.probeScore, maxSample)) {
			return d.move(nil, now, e, triggerEject, ReasonProbe)
		}
		e.probeScore, e.passes = 0, 0
		return nil
	}
	e.passes++
	if e.passes < probesToPass || e.probeScore > 0 {
		return nil
	}
	return d.move(nil, now, e, triggerPass, ReasonProbes)
}

// peersAreGood reports whether a bad probe says something about the endpoint rather than about the whole service.
// Peers count as being as slow as the probe until outcomes show otherwise.
func (d *Detector) peersAreGood(now time.Duration, e *endpoint, sample float64) bool {
	p := d.peers(now, e, now-probeWindow)
	return p.failureShare(d.failures) < probeFailures && p.excess(sample, finishedPrior) < slowPeers
}

// judge compares the evidence against an endpoint with the thresholds.
func (d *Detector) judge(changes []Transition, now time.Duration, e *endpoint) []Transition {
	switch e.state {
	case Healthy, Ramping:
		e.score = d.relative(now, e)
		if e.score < d.settings.SuspectScore {
			return changes
		}
		changes = d.move(changes, now, e, triggerDoubt, ReasonEvidence)
		return d.judge(changes, now, e)
	case Suspect:
		e.score = d.relative(now, e)
		if e.score >= d.settings.EjectScore && !e.protected {
			return d.move(changes, now, e, triggerEject, ReasonEvidence)
		}
		if e.score < d.settings.SuspectScore/2 {
			return d.move(changes, now, e, triggerClear, ReasonCleared)
		}
	}
	return changes
}

// RecordPause tells the detector that this process did not run for the given time before now. The time does not count as
// time in which endpoints failed to answer, and outcomes that were not yet compared with peers are dropped.
func (d *Detector) RecordPause(now, pause time.Duration) {
	for _, e := range d.active {
		for i := range e.open {
			e.open[i].begin = min(e.open[i].begin+pause, now)
		}
		e.evidence = evidence{settled: e.evidence.settled, at: now}
		e.unanswered = stallEvidence{}
	}
}

// Tick advances time: it judges requests that are still open, ends hold-off times and ramps. Its cost grows with the
// number of endpoints that are in use or not healthy.
func (d *Detector) Tick(now time.Duration) []Transition {
	var changes []Transition
	kept := d.active[:0]
	for _, e := range d.active {
		if d.byID[e.ID] != e {
			continue
		}
		changes = d.tickOne(changes, now, e)
		e.active = e.busy()
		if e.active {
			kept = append(kept, e)
		}
	}
	clear(d.active[len(kept):])
	d.active = kept
	return changes
}

func (d *Detector) tickOne(changes []Transition, now time.Duration, e *endpoint) []Transition {
	if e.ramps && d.weight(now, e) >= 1 {
		e.ramps = false
	}
	switch e.state {
	case Ejected:
		if now >= e.until {
			return d.move(changes, now, e, triggerRelease, ReasonHoldOff)
		}
		return changes
	case Probation:
		if d.openEvidence(now, e).score >= maxSample {
			e.probing, e.probe = false, 0
			e.countProbe(true)
			return d.move(changes, now, e, triggerEject, ReasonProbe)
		}
		return changes
	case Ramping:
		if !e.ramps {
			changes = d.move(changes, now, e, triggerRamped, ReasonRamped)
		}
	case Healthy:
		if e.flaps > 0 && now-e.goodSince >= forgiveAfter*d.holdOff(e) {
			e.flaps--
			e.goodSince = now
		}
	}
	return d.judge(changes, now, e)
}

// busy reports whether Tick has to look at the endpoint.
func (e *endpoint) busy() bool {
	return e.state != Healthy || e.evidence.pending() || len(e.open) > 0 || e.flaps > 0 || e.ramps || e.ownerScore > 0
}

func (d *Detector) activate(e *endpoint) {
	if !e.active && e.busy() {
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
		v.Weight *= max(minSuspectWeight, e.quality*math.Exp2(-e.score/weightHalving))
	}
	return v
}

func (d *Detector) weight(now time.Duration, e *endpoint) float64 {
	if !e.ramps {
		return 1
	}
	w := max(minWeight, float64(now-e.rampStart)/float64(d.settings.RampDuration))
	if e.Cold {
		return min(w, coldWeight)
	}
	return min(w, 1)
}

// ReserveProbe reports whether a repeatable request should be sent to the endpoint to test it, and if so counts it as
// sent: the next Begin on the endpoint is the probe.
func (d *Detector) ReserveProbe(now time.Duration, endpointID string) bool {
	e, ok := d.byID[endpointID]
	if !ok {
		return false
	}
	return d.reserveProbe(now, e)
}

// ReserveNextProbe returns an endpoint for which ReserveProbe is true, if there is one.
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
	// A probe whose Begin never came does not block the next one.
	if e.probing && e.probe != 0 {
		return false
	}
	e.lastProbe = now
	e.probing, e.probe = true, 0
	return true
}

// RecordOwnerScore records the score that the owner of an endpoint computed for its own backend server. The owner sees all
// requests of the endpoint, of which this place may see few.
func (d *Detector) RecordOwnerScore(now time.Duration, endpointID string, score float64) []Transition {
	e, ok := d.byID[endpointID]
	if !ok {
		return nil
	}
	e.ownerScore = score
	e.ownerAt = now
	d.activate(e)
	if e.state == Ejected || e.state == Probation {
		return nil
	}
	return d.judge(nil, now, e)
}

// StallScore returns the evidence that an endpoint has stopped answering. The owner of a backend server publishes it
// in its load reports. It excludes failures and slow answers, which an owner, seeing no peers, cannot tell from those
// of a service that fails or is slow as a whole.
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

// Stalled reports whether the evidence that the endpoint has stopped answering suffices to send it only one request at
// a time.
func (d *Detector) Stalled(now time.Duration, endpointID string) bool {
	return d.StallScore(now, endpointID) >= d.settings.StallScore/2
}

// ResponseTimeQuantile returns the time since sending within which all but the given share of the requests of the class to
// endpoints of the zone were answered, or 0 while too little is known.
func (d *Detector) ResponseTimeQuantile(zone string, long bool, share float64) time.Duration {
	g, ok := d.groups[zone]
	if !ok {
		return 0
	}
	return g.total[class(long)].quantile(share)
}
