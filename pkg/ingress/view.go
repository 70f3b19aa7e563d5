package ingress

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/balance"
	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/retry"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/hop"
)

const (
	stepHealth = "health"
	stepChoose = "choose"
	// busyRefusalLoad is the endpoint load, in requests per slot, up to which its owner may refuse a request as busy. Above
	// it the service is overloaded, and trying another endpoint would add messages without finding a free slot.
	busyRefusalLoad = 2.0
	// busyRefusalWait is the expected time in the queue from which an owner refuses a request that another endpoint can
	// serve.
	busyRefusalWait = time.Millisecond
	// reportLifetime is how long a load report counts, and so how long a report of "down" or "leaving" keeps an endpoint
	// out of use. Afterwards a request is sent there again, which is only refused if the state has not changed.
	reportLifetime = 2 * time.Second
	// minSlowAfter is the smallest age at which a request counts as slow, so that inquiries and hedges stay rare in fast
	// services.
	minSlowAfter = 50 * time.Millisecond
	// A request counts as slow from slowFactor times the duration that only a share of slowShare of the requests exceeds.
	slowFactor = 3
	slowShare  = 0.01
	// defaultSlowAfter is the age at which a request counts as slow while the durations are not known yet.
	defaultSlowAfter = time.Second
	// maxCandidatesLogged is the largest number of candidates named in a decision record.
	maxCandidatesLogged = 8
)

// entry is the state of an endpoint as known to this ingress.
type entry struct {
	id       string
	host     *config.Host
	slots    int
	draining bool
	inFlight int
	// load is the latest load report of the endpoint's owner, received at loadReceivedAt.
	load           hop.Load
	loadReceivedAt time.Duration
	// waiting holds the attempts for which no response head has been received.
	waiting map[*pick]struct{}
}

// view is the state of one service's endpoints as observed by this ingress. It is safe for concurrent use.
type view struct {
	ingress *Ingress
	name    string

	mu       sync.Mutex
	rng      *rand.Rand
	service  *config.Service
	detector *health.Detector
	budget   *retry.Budget
	settings balance.Settings
	// entries holds the endpoints, first the localCount ones in this node's availability zone.
	entries []*entry
	byID    map[string]*entry
	// unavailableReports holds the entries whose owner reported them as down or leaving, until the report expires.
	unavailableReports map[string]*entry
	localCount         int
	// announcements holds what owners have told of the announcements of their endpoints, which may be restarted and forget them.
	announcements *announce.Book
	// lastID is the latest ID under which an attempt was registered with the detector.
	lastID uint64
}

func newView(i *Ingress, service *config.Service) *view {
	return &view{
		ingress:            i,
		name:               service.Name,
		rng:                rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		byID:               make(map[string]*entry),
		unavailableReports: make(map[string]*entry),
		announcements:      announce.NewBook(),
		detector:           health.NewDetector(service.Name, healthSettings(service)),
		budget:             retry.New(retrySettings(service)),
	}
}

func healthSettings(service *config.Service) health.Settings {
	return health.Settings{
		SuspectScore: service.Health.SuspectScore,
		EjectScore:   service.Health.EjectScore,
		HoldOff:      config.Millis(service.Health.HoldOffMS),
		HoldOffMax:   config.Millis(service.Health.HoldOffMaxMS),
		RampDuration: config.Millis(service.Health.RampMS),
	}
}

func retrySettings(service *config.Service) retry.Settings {
	return retry.Settings{
		Percent:     float64(service.Retry.BudgetPercent),
		MaxAttempts: service.Retry.MaxAttempts,
	}
}

// configure applies the endpoints and the settings of a new configuration.
func (v *view) configure(snapshot *config.Snapshot, service *config.Service) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service = service
	v.detector.Configure(healthSettings(service))
	v.budget.Configure(retrySettings(service))
	v.settings = balance.Settings{ZoneSlack: float64(service.Balance.ZoneSlackPercent) / 100}
	byID := make(map[string]*entry, len(service.Endpoints))
	entries := make([]*entry, 0, len(service.Endpoints))
	for n := range service.Endpoints {
		endpoint := &service.Endpoints[n]
		e := v.byID[endpoint.ID]
		if e == nil {
			e = &entry{id: endpoint.ID, waiting: make(map[*pick]struct{})}
		}
		e.host = snapshot.Host(endpoint.Host)
		e.slots = endpoint.Slots
		e.draining = endpoint.Draining || e.host.Draining
		byID[e.id] = e
		entries = append(entries, e)
	}
	v.byID, v.entries = byID, entries
	v.sortLocalFirst()
	v.applyTransitions(v.detector.SetEndpoints(v.now(), v.endpoints(), service.FloorPercent))
}

// sortLocalFirst moves the endpoints in this node's availability zone to the front of entries.
func (v *view) sortLocalFirst() {
	zone := v.ingress.options.Zone
	sort.SliceStable(v.entries, func(a, b int) bool {
		return v.entries[a].host.Zone == zone && v.entries[b].host.Zone != zone
	})
	v.localCount = sort.Search(len(v.entries), func(n int) bool { return v.entries[n].host.Zone != zone })
}

func (v *view) endpoints() []health.Endpoint {
	list := make([]health.Endpoint, len(v.entries))
	for n, e := range v.entries {
		list[n] = health.Endpoint{
			ID: e.id, Slots: e.slots, Zone: e.host.Zone, Unavailable: v.unavailable(e), Cold: e.load.State == hop.StateCold,
		}
	}
	return list
}

// unavailable reports whether an endpoint gets no new work regardless of its health.
func (v *view) unavailable(e *entry) bool {
	if e.draining || v.ingress.options.Hosts.Leaving(e.host.ID) {
		return true
	}
	fresh := v.now()-e.loadReceivedAt < reportLifetime
	return fresh && (e.load.State == hop.StateDown || e.load.State == hop.StateLeaving)
}

func (v *view) now() time.Duration { return v.ingress.now() }

// refreshAvailability re-evaluates which endpoints are available.
func (v *view) refreshAvailability() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.entries {
		v.updateAvailability(e)
	}
}

// updateAvailability passes the availability of an endpoint to the detector. The caller holds the lock.
func (v *view) updateAvailability(e *entry) {
	v.applyTransitions(v.detector.SetAvailability(v.now(), e.id, v.unavailable(e), e.load.State == hop.StateCold))
}

// tick lets the detector evaluate requests that are still open, and updates availability when reports expire. If the
// process was paused since the previous tick, pause is the length of that pause, otherwise zero.
func (v *view) tick(pause time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if pause > 0 {
		v.detector.RecordPause(v.now(), pause)
	}
	v.applyTransitions(v.detector.Tick(v.now()))
	for id, e := range v.unavailableReports {
		if v.byID[id] != e || v.now()-e.loadReceivedAt >= reportLifetime {
			delete(v.unavailableReports, id)
		}
		if v.byID[id] == e {
			v.updateAvailability(e)
		}
	}
}

// observeLoad records a load report of an endpoint's owner. Reports of an earlier incarnation of the owner's process are
// ignored.
func (v *view) observeLoad(endpoint string, load hop.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.byID[endpoint]
	if e == nil || load.Incarnation < e.load.Incarnation {
		return
	}
	e.load = load
	e.loadReceivedAt = v.now()
	if load.State == hop.StateDown || load.State == hop.StateLeaving {
		v.unavailableReports[endpoint] = e
	}
	v.updateAvailability(e)
	v.applyTransitions(v.detector.RecordOwnerScore(v.now(), endpoint, load.StallScore))
}

// learnAnnounced records what an owner has told of the announcements of its endpoint.
func (v *view) learnAnnounced(endpoint string, told announce.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.announcements.Learn(endpoint, told, v.now())
}

// announced returns what an endpoint has announced, as far as known here.
func (v *view) announced(endpoint string) announce.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.announcements.State(endpoint, 0)
}

// pick is the endpoint chosen for an attempt, with the state of that attempt.
type pick struct {
	entry *entry
	// detectorID identifies the attempt to the failure detector.
	detectorID uint64
	startedAt  time.Duration
	reason     string
	// maxWait, if not zero, lets the owner refuse the request as busy instead of queueing it for longer than this.
	maxWait time.Duration
	// queueTime is the time that the request spent in the owner's queue, as reported by the owner.
	queueTime time.Duration
	// onSuspect is called if the endpoint becomes suspect or ejected before the response head is received.
	onSuspect func()
}

// Reasons of a choice that the attempt depends on.
const (
	reasonProbe   = "probe"
	reasonSuspect = "suspect-request"
)

// choose chooses an endpoint for an attempt and counts the attempt as started. It returns nil if there is none. If
// onlyEndpoint is not empty, only that endpoint is considered. If mayRefuseBusy is set, the owner may be allowed to refuse
// the request as busy.
func (v *view) choose(r *request, tried map[string]bool, onlyEndpoint string, mayRefuseBusy bool) *pick {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, reason := v.chooseEntry(r, tried, onlyEndpoint)
	if e == nil {
		return nil
	}
	v.lastID++
	p := &pick{entry: e, detectorID: v.lastID, startedAt: v.now(), reason: reason}
	if mayRefuseBusy && reason != reasonProbe && onlyEndpoint == "" && len(tried)+1 < len(v.entries) && v.entryLoad(e) <= busyRefusalLoad {
		p.maxWait = busyRefusalWait
	}
	e.inFlight++
	v.detector.Begin(p.startedAt, e.id, p.detectorID, r.long)
	v.recordChoice(r, p)
	return p
}

// chooseEntry returns the chosen entry and the reason for the choice, or nil and the reason why there is none.
func (v *view) chooseEntry(r *request, tried map[string]bool, onlyEndpoint string) (*entry, string) {
	if onlyEndpoint != "" {
		return v.usable(onlyEndpoint, tried), reasonSuspect
	}
	if r.route.Repeatable && !r.long && len(tried) == 0 {
		if id, due := v.detector.ReserveNextProbe(v.now()); due {
			return v.byID[id], reasonProbe
		}
	}
	source := balance.Source{Local: v.localCount, Total: len(v.entries), At: func(n int) balance.Candidate { return v.candidate(n, tried) }}
	request := balance.Request{Zone: v.ingress.options.Zone, Long: r.long, Repeatable: r.route.Repeatable}
	n, reason := balance.ChooseFrom(v.rng, v.settings, source, request)
	if n < 0 {
		return nil, reason
	}
	return v.entries[n], reason
}

// entryLoad returns the load of an endpoint as known here, in requests per slot.
func (v *view) entryLoad(e *entry) float64 {
	return balance.Load(v.candidateOf(e))
}

// usable returns the entry of an endpoint, or nil if it does not exist, was tried or is unavailable.
func (v *view) usable(id string, tried map[string]bool) *entry {
	e := v.byID[id]
	if e == nil || tried[id] || v.unavailable(e) {
		return nil
	}
	return e
}

// candidate returns the nth entry for the load balancer. Endpoints in tried get a weight of 0, which excludes them.
func (v *view) candidate(n int, tried map[string]bool) balance.Candidate {
	e := v.entries[n]
	c := v.candidateOf(e)
	if tried[e.id] {
		c.Weight = 0
	}
	return c
}

// candidateOf returns an entry for the load balancer. The numbers of the owner's load report are left out once it has
// expired.
func (v *view) candidateOf(e *entry) balance.Candidate {
	state := v.detector.View(v.now(), e.id)
	c := balance.Candidate{
		ID: e.id, Zone: e.host.Zone, Slots: e.slots, InFlight: e.inFlight,
		Weight: state.Weight, LastResort: state.LastResort, Cold: e.load.State == hop.StateCold,
	}
	if v.now()-e.loadReceivedAt < reportLifetime {
		c.Busy, c.LongBusy, c.Queued = e.load.Busy, e.load.LongBusy, e.load.Queued
	}
	return c
}

// answered records that the head of a response was received.
func (v *view) answered(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endAttempt(p, health.Success)
	v.budget.RecordSuccess()
}

// failed records that an attempt ended without a response. An attempt that was cancelled after it had become slow counts
// with its duration so far, because stalled requests are the ones that callers and hedges cancel.
func (v *view) failed(r *request, p *pick, failure *outcome.Error) {
	slow := v.slowAfter(r, p)
	v.mu.Lock()
	defer v.mu.Unlock()
	kind := failureKind(failure)
	if failure.Reason == outcome.ReasonCancelled && v.now()-p.startedAt >= slow {
		kind = health.Success
	}
	v.endAttempt(p, kind)
}

// endAttempt passes the end of an attempt to the detector. The caller holds the lock.
func (v *view) endAttempt(p *pick, kind health.Kind) {
	now := v.now()
	delete(p.entry.waiting, p)
	v.applyTransitions(v.detector.End(now, p.entry.id, p.detectorID, kind, now-p.startedAt-p.queueTime))
}

// registerWaiting registers an attempt as waiting for its response head. The function onSuspect is called if the endpoint
// becomes suspect or ejected meanwhile.
func (v *view) registerWaiting(p *pick, onSuspect func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p.onSuspect = onSuspect
	p.entry.waiting[p] = struct{}{}
}

// isWaiting reports whether a registered attempt is still without a response head.
func (v *view) isWaiting(p *pick) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, waiting := p.entry.waiting[p]
	return waiting
}

// abortWaiting calls onSuspect of the attempts that wait for an endpoint's response, so that their requests can be sent to
// other endpoints. The caller holds the lock.
func (v *view) abortWaiting(endpoint string) {
	e := v.byID[endpoint]
	if e == nil {
		return
	}
	for p := range e.waiting {
		delete(e.waiting, p)
		go p.onSuspect()
	}
}

// recordTruncated records that the body of a response ended early, as a failure of the endpoint.
func (v *view) recordTruncated(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	v.lastID++
	v.detector.Begin(now, p.entry.id, v.lastID, false)
	v.applyTransitions(v.detector.End(now, p.entry.id, v.lastID, health.Failure, 0))
}

// finished records that an attempt no longer occupies its endpoint.
func (v *view) finished(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p.entry.inFlight--
}

// slowAfter returns the age from which an attempt counts as slow.
func (v *view) slowAfter(r *request, p *pick) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	slow := slowFactor * v.detector.ResponseTimeQuantile(p.entry.host.Zone, r.long, slowShare)
	if slow == 0 {
		return defaultSlowAfter
	}
	return max(slow, minSlowAfter)
}

// probeTimeout returns the time after which an unanswered probe is aborted and its request sent to another endpoint.
func (v *view) probeTimeout(r *request, p *pick) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.detector.ResponseTimeQuantile(p.entry.host.Zone, r.long, slowShare), minSlowAfter)
}

// mayRetry decides whether the latest attempt may be followed by another, and takes a retry from the budget if so.
func (v *view) mayRetry(a retry.Attempt) (bool, retry.Reason) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return retry.Decide(a, v.budget)
}

// takeHedge takes a retry from the budget for a second attempt while the first is still open. It returns false if the
// budget is used up.
func (v *view) takeHedge() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.TryRetry()
}

// availableIDs returns the IDs of the endpoints that are available.
func (v *view) availableIDs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]string, 0, len(v.entries))
	for _, e := range v.entries {
		if !v.unavailable(e) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// applyTransitions records transitions of the detector and aborts the waiting attempts at endpoints that became suspect or
// ejected. The caller holds the lock.
func (v *view) applyTransitions(transitions []health.Transition) {
	for _, t := range transitions {
		v.ingress.options.Decisions.Record(decision.Decision{
			Step: stepHealth, Service: v.name, Subject: t.Endpoint,
			Outcome: fmt.Sprintf("%s to %s, score %.1f", t.From, t.To, t.Score), Reason: t.Reason,
		})
		if t.To == health.Suspect || t.To == health.Ejected {
			v.abortWaiting(t.Endpoint)
		}
		switch {
		case t.To == health.Ejected:
			v.ingress.options.Metrics.Ejected(v.name)
		case t.To == health.Ramping:
			v.ingress.options.Metrics.Readmitted(v.name)
		}
	}
}

// recordChoice records which endpoint was chosen, and the first candidates. The caller holds the lock.
func (v *view) recordChoice(r *request, p *pick) {
	shown := min(len(v.entries), maxCandidatesLogged)
	candidates := make([]decision.Candidate, 0, shown)
	for n := range shown {
		c := v.candidate(n, nil)
		state := v.detector.View(v.now(), c.ID).State.String()
		candidates = append(candidates, decision.Candidate{Endpoint: c.ID, State: state, Load: balance.Load(c)})
	}
	v.ingress.options.Decisions.Record(decision.Decision{
		RequestID: r.id, Step: stepChoose, Service: v.name, Route: r.route.ID,
		Candidates: candidates, Subject: p.entry.id, Peer: p.entry.host.ID, Reason: p.reason,
	})
}
