package ingress

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

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
	// bounceLoad is the known load up to which a request may be refused as busy. Above it the service is overloaded, and
	// trying elsewhere would add messages without finding a free slot.
	bounceLoad = 2.0
	// bounceWait is the expected wait from which an owner refuses a request that can be served elsewhere.
	bounceWait = time.Millisecond
	// reportLifetime is how long a report of "down" or "leaving" keeps an endpoint out of use. Afterwards a request is
	// sent there again, which costs only a refusal if nothing has changed.
	reportLifetime = 2 * time.Second
	// minSlowAfter bounds from below the age at which a request counts as slow, so that inquiries and hedges stay rare
	// in fast services.
	minSlowAfter = 50 * time.Millisecond
	// A request is slow once it lasts slowFactor times as long as all but slowShare of the requests do.
	slowFactor = 3
	slowShare  = 0.01
	// unknownSlowAfter is used until the service times are known.
	unknownSlowAfter = time.Second
	// maxCandidatesLogged bounds the candidates named in a decision.
	maxCandidatesLogged = 8
)

// entry is an endpoint as this ingress knows it.
type entry struct {
	id       string
	host     *config.Host
	slots    int
	draining bool
	inFlight int
	load     hop.Load
	loadAt   time.Duration
	// waiting holds the attempts whose answer has not begun.
	waiting map[*pick]struct{}
}

// view is the state of one service's endpoints as seen from this ingress. It is safe for concurrent use.
type view struct {
	ingress *Ingress
	name    string

	mu       sync.Mutex
	rng      *rand.Rand
	service  *config.Service
	detector *health.Detector
	budget   *retry.Budget
	settings balance.Settings
	entries  []*entry
	byID     map[string]*entry
	// reported holds the entries whose owner reported that they take no work, until the report is out of date.
	reported map[string]*entry
	local    int
	nextID   uint64
}

func newView(i *Ingress, service *config.Service) *view {
	return &view{
		ingress:  i,
		name:     service.Name,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		byID:     make(map[string]*entry),
		reported: make(map[string]*entry),
		detector: health.NewDetector(service.Name, healthSettings(service)),
		budget:   retry.New(retrySettings(service)),
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

// configure takes over the endpoints and the settings of a new configuration.
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
	v.apply(v.detector.SetEndpoints(v.now(), v.endpoints(), service.FloorPercent))
}

func (v *view) sortLocalFirst() {
	zone := v.ingress.options.Zone
	sort.SliceStable(v.entries, func(a, b int) bool {
		return v.entries[a].host.Zone == zone && v.entries[b].host.Zone != zone
	})
	v.local = sort.Search(len(v.entries), func(n int) bool { return v.entries[n].host.Zone != zone })
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

// unavailable reports whether an endpoint gets no new work whatever its health.
func (v *view) unavailable(e *entry) bool {
	if e.draining || v.ingress.options.Hosts.Leaving(e.host.ID) {
		return true
	}
	fresh := v.now()-e.loadAt < reportLifetime
	return fresh && (e.load.State == hop.StateDown || e.load.State == hop.StateLeaving)
}

func (v *view) now() time.Duration { return v.ingress.now() }

// refresh re-evaluates which endpoints are available.
func (v *view) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.entries {
		v.updateAvailability(e)
	}
}

func (v *view) updateAvailability(e *entry) {
	v.apply(v.detector.SetAvailability(v.now(), e.id, v.unavailable(e), e.load.State == hop.StateCold))
}

// tick lets the detector judge requests that are still open. The gap is the length of a pause of the process that has
// just ended, or zero.
func (v *view) tick(gap time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if gap > 0 {
		v.detector.RecordPause(v.now(), gap)
	}
	v.apply(v.detector.Tick(v.now()))
	for id, e := range v.reported {
		if v.byID[id] != e || v.now()-e.loadAt >= reportLifetime {
			delete(v.reported, id)
		}
		if v.byID[id] == e {
			v.updateAvailability(e)
		}
	}
}

// observeLoad records a report of an endpoint's owner.
func (v *view) observeLoad(endpoint string, load hop.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.byID[endpoint]
	if e == nil || load.Incarnation < e.load.Incarnation {
		return
	}
	e.load = load
	e.loadAt = v.now()
	if load.State == hop.StateDown || load.State == hop.StateLeaving {
		v.reported[endpoint] = e
	}
	v.updateAvailability(e)
	v.apply(v.detector.RecordOwnerScore(v.now(), endpoint, load.StallScore))
}

// pick is a chosen endpoint.
type pick struct {
	entry  *entry
	token  uint64
	begin  time.Duration
	reason string
	// maxWait, if not zero, lets the owner refuse the request as busy rather than let it wait longer.
	maxWait time.Duration
	// wait is the time for which the request waited in the owner's queue, as the owner reported it.
	wait time.Duration
	// rescue is called when the endpoint becomes suspect while the attempt waits for its answer.
	rescue func()
}

const reasonProbe = "probe"

// choose takes an endpoint for an attempt and counts the attempt as begun. It returns nil if there is none. If mayBounce
// is set, the owner may refuse the request as busy.
func (v *view) choose(r *request, tried map[string]bool, only string, mayBounce bool) *pick {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, reason := v.chooseEntry(r, tried, only)
	if e == nil {
		return nil
	}
	v.nextID++
	p := &pick{entry: e, token: v.nextID, begin: v.now(), reason: reason}
	if mayBounce && reason != reasonProbe && only == "" && len(tried)+1 < len(v.entries) && v.entryLoad(e) <= bounceLoad {
		p.maxWait = bounceWait
	}
	e.inFlight++
	v.detector.Begin(p.begin, e.id, p.token, r.long)
	v.record(r, p)
	return p
}

func (v *view) chooseEntry(r *request, tried map[string]bool, only string) (*entry, string) {
	if only != "" {
		return v.usable(only, tried), "suspect-request"
	}
	if r.route.Repeatable && !r.long && len(tried) == 0 {
		if id, due := v.detector.ReserveNextProbe(v.now()); due {
			return v.byID[id], reasonProbe
		}
	}
	source := balance.Source{Local: v.local, Total: len(v.entries), At: func(n int) balance.Candidate { return v.candidate(n, tried) }}
	request := balance.Request{Zone: v.ingress.options.Zone, Long: r.long, Repeatable: r.route.Repeatable}
	n, reason := balance.ChooseFrom(v.rng, v.settings, source, request)
	if n < 0 {
		return nil, reason
	}
	return v.entries[n], reason
}

// entryLoad returns the known load of an endpoint, in requests per slot.
func (v *view) entryLoad(e *entry) float64 {
	return balance.Load(v.candidateOf(e))
}

func (v *view) usable(id string, tried map[string]bool) *entry {
	e := v.byID[id]
	if e == nil || tried[id] || v.unavailable(e) {
		return nil
	}
	return e
}

func (v *view) candidate(n int, tried map[string]bool) balance.Candidate {
	e := v.entries[n]
	c := v.candidateOf(e)
	if tried[e.id] {
		c.Weight = 0
	}
	return c
}

func (v *view) candidateOf(e *entry) balance.Candidate {
	state := v.detector.View(v.now(), e.id)
	c := balance.Candidate{
		ID: e.id, Zone: e.host.Zone, Slots: e.slots, InFlight: e.inFlight,
		Weight: state.Weight, LastResort: state.LastResort, Cold: e.load.State == hop.StateCold,
	}
	if v.now()-e.loadAt < reportLifetime {
		c.Busy, c.LongBusy, c.Queued = e.load.Busy, e.load.LongBusy, e.load.Queued
	}
	return c
}

// answered records that the head of an answer arrived.
func (v *view) answered(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.end(p, health.Success)
	v.budget.RecordSuccess()
}

// failed records that an attempt ended without an answer. An attempt that was cancelled once it was slow still counts
// with its age, since callers and hedges cancel what stalls.
func (v *view) failed(r *request, p *pick, failure *outcome.Error) {
	slow := v.slowAfter(r, p)
	v.mu.Lock()
	defer v.mu.Unlock()
	kind := failureKind(failure)
	if failure.Reason == outcome.ReasonCancelled && v.now()-p.begin >= slow {
		kind = health.Success
	}
	v.end(p, kind)
}

func (v *view) end(p *pick, kind health.Kind) {
	now := v.now()
	delete(p.entry.waiting, p)
	v.apply(v.detector.End(now, p.entry.id, p.token, kind, now-p.begin-p.wait))
}

// onSuspicion registers what to do if the endpoint becomes suspect before the answer begins.
func (v *view) onSuspicion(p *pick, rescue func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p.rescue = rescue
	p.entry.waiting[p] = struct{}{}
}

// stillWaiting reports whether the answer of an attempt has not begun.
func (v *view) stillWaiting(p *pick) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, waiting := p.entry.waiting[p]
	return waiting
}

// rescue lets the requests that wait for an endpoint be placed elsewhere. The caller holds the lock.
func (v *view) rescue(endpoint string) {
	e := v.byID[endpoint]
	if e == nil {
		return
	}
	for p := range e.waiting {
		delete(e.waiting, p)
		go p.rescue()
	}
}

// cut records that the body of an answer was cut off.
func (v *view) cut(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	v.nextID++
	v.detector.Begin(now, p.entry.id, v.nextID, false)
	v.apply(v.detector.End(now, p.entry.id, v.nextID, health.Failure, 0))
}

// finished records that an attempt no longer uses its endpoint.
func (v *view) finished(p *pick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p.entry.inFlight--
}

// slowAfter returns the age from which a request is slow.
func (v *view) slowAfter(r *request, p *pick) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	slow := slowFactor * v.detector.ResponseTimeQuantile(p.entry.host.Zone, r.long, slowShare)
	if slow == 0 {
		return unknownSlowAfter
	}
	return max(slow, minSlowAfter)
}

// probeLimit returns the time after which an unanswered probe is sent elsewhere.
func (v *view) probeLimit(r *request, p *pick) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.detector.ResponseTimeQuantile(p.entry.host.Zone, r.long, slowShare), minSlowAfter)
}

// mayRetry takes a retry from the budget if the latest attempt allows one.
func (v *view) mayRetry(a retry.Attempt) (bool, retry.Reason) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return retry.Decide(a, v.budget)
}

// mayHedge takes a retry from the budget for a second attempt while the first is still open.
func (v *view) mayHedge() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.TryRetry()
}

// serving returns the ids of the endpoints that are available.
func (v *view) serving() []string {
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

// apply logs transitions of the detector. The caller holds the lock.
func (v *view) apply(transitions []health.Transition) {
	for _, t := range transitions {
		v.ingress.options.Decisions.Record(decision.Decision{
			Step: stepHealth, Service: v.name, Subject: t.Endpoint,
			Outcome: fmt.Sprintf("%s to %s, score %.1f", t.From, t.To, t.Score), Reason: t.Reason,
		})
		if t.To == health.Suspect || t.To == health.Ejected {
			v.rescue(t.Endpoint)
		}
		switch {
		case t.To == health.Ejected:
			v.ingress.options.Metrics.Ejected(v.name)
		case t.To == health.Ramping:
			v.ingress.options.Metrics.Readmitted(v.name)
		}
	}
}

// record logs which endpoint was taken, and the first candidates. The caller holds the lock.
func (v *view) record(r *request, p *pick) {
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
