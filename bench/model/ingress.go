package model

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/core/balance"
	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/retry"
)

const (
	healthTick = 100 * time.Millisecond
	// minProbeLimit is the shortest time after which an unanswered probe is sent elsewhere.
	minProbeLimit = 50 * time.Millisecond
	// bounceWait is the expected wait from which an owner refuses a request that may try elsewhere.
	bounceWait = time.Millisecond
	// bounceLoad is the known load up to which a request may be refused as busy. Above it the service is overloaded, and
	// trying elsewhere would add messages without finding a free slot.
	bounceLoad = 2.0
)

// ingress is a node as callers see it: it chooses endpoints, forwards, retries and keeps a health view.
type ingress struct {
	m        *Model
	zone     int
	rng      *rand.Rand
	detector *health.Detector
	budget   *retry.Budget
	order    []int // endpoints, those of the own zone first
	local    int
	peers    []peerState
	turn     int
}

// peerState is what an ingress knows of an endpoint.
type peerState struct {
	load     admission.Load
	inFlight map[*attempt]struct{}
	failures int
	outUntil time.Duration
}

type request struct {
	ingress    *ingress
	number     uint64
	long       bool
	repeatable bool
	normal     float64 // standard normal draw behind the service time
	begin      time.Duration
	deadline   time.Duration
	attempts   int
	done       bool
	hitFault   bool
	tried      []int
	bounces    int
	sent       time.Duration // time of the first attempt
}

type attempt struct {
	m        *Model
	request  *request
	ingress  *ingress
	endpoint int
	number   uint64
	key      string
	sent     time.Duration
	arrived  time.Duration
	started  time.Duration
	running  bool
	closed   bool
	probe    bool
	maxWait  time.Duration
}

func newIngress(m *Model, index int) *ingress {
	in := &ingress{m: m, zone: index % m.service.Zones, budget: retry.New(m.policy.Retry), turn: index}
	in.rng = rand.New(rand.NewPCG(m.seed, uint64(1000+index)))
	in.peers = make([]peerState, m.service.Endpoints)
	for i := range in.peers {
		in.peers[i].inFlight = map[*attempt]struct{}{}
		if i%m.service.Zones == in.zone {
			in.order = append(in.order, i)
		}
	}
	in.local = len(in.order)
	for i := range in.peers {
		if i%m.service.Zones != in.zone {
			in.order = append(in.order, i)
		}
	}
	if m.policy.Detector {
		in.detector = health.NewDetector(m.service.Name, m.policy.Health)
		in.configure()
		in.tick()
	}
	return in
}

func (in *ingress) configure() {
	var list []health.Endpoint
	for i := range in.peers {
		list = append(list, health.Endpoint{
			ID: endpointID(i), Slots: in.m.service.Slots, Zone: strconv.Itoa(i % in.m.service.Zones), Cold: in.m.isCold(i),
		})
	}
	in.observe(in.detector.SetEndpoints(in.m.now, list, in.m.service.Floor))
}

func (in *ingress) tick() {
	in.observe(in.detector.Tick(in.m.now))
	in.m.after(healthTick, in.tick)
}

func (in *ingress) observe(changes []health.Transition) {
	for _, c := range changes {
		in.m.Result.transition(in, c)
		if in.m.policy.Rescue && (c.To == health.Suspect || c.To == health.Ejected) {
			in.rescue(endpointIndex(c.Endpoint))
		}
	}
}

// rescue places the open requests of an endpoint elsewhere: those that its owner has not started, and repeatable ones.
func (in *ingress) rescue(endpoint int) {
	for _, a := range in.openAttempts(endpoint) {
		in.m.after(2*in.m.delay(in.zone, endpoint), func() { in.rescueOne(a) })
	}
}

// openAttempts returns the open attempts in the order in which they were sent.
func (in *ingress) openAttempts(endpoint int) []*attempt {
	var list []*attempt
	for a := range in.peers[endpoint].inFlight {
		list = append(list, a)
	}
	sortAttempts(list)
	return list
}

func (in *ingress) rescueOne(a *attempt) {
	if a.closed || a.request.done {
		return
	}
	o := in.m.owners[a.endpoint]
	_, known := o.attempts[a.key]
	if known && a.running && !a.request.repeatable {
		return
	}
	if a.running && in.budget.Remaining() < 1 {
		return
	}
	notRun := o.cancel(a)
	a.close()
	in.end(a, health.Neutral)
	if notRun {
		in.retry(a, outcome.NotRun)
		return
	}
	in.retry(a, outcome.Unknown)
}

func (in *ingress) report(endpoint int, score float64) {
	in.observe(in.detector.RecordOwnerScore(in.m.now, endpointID(endpoint), score))
}

func (in *ingress) serve(r *request) {
	r.attempts++
	if endpoint, ok := in.probe(r); ok {
		in.send(r, endpoint, true)
		return
	}
	endpoint := in.choose(r)
	if endpoint < 0 {
		in.finish(r, false)
		return
	}
	in.send(r, endpoint, false)
}

// probe returns an endpoint that is due for a probe if the request may serve as one.
func (in *ingress) probe(r *request) (int, bool) {
	if in.detector == nil || !r.repeatable || r.long || r.attempts > 1 {
		return 0, false
	}
	id, ok := in.detector.ReserveNextProbe(in.m.now)
	if !ok {
		return 0, false
	}
	return endpointIndex(id), true
}

func (in *ingress) send(r *request, endpoint int, probe bool) {
	m := in.m
	m.attempts++
	a := &attempt{m: m, request: r, ingress: in, endpoint: endpoint, number: m.attempts, sent: m.now, probe: probe}
	a.key = strconv.FormatUint(a.number, 10)
	if len(r.tried) == 0 {
		r.sent = m.now
	}
	if r.bounces < m.policy.Bounces && !probe && balance.Load(in.candidate(endpoint)) <= bounceLoad {
		a.maxWait = bounceWait
	}
	r.tried = append(r.tried, endpoint)
	m.Result.attempt(a)
	in.peers[endpoint].inFlight[a] = struct{}{}
	if in.detector != nil {
		in.detector.Begin(m.now, endpointID(endpoint), a.number, r.long)
	}
	m.after(m.delay(in.zone, endpoint), func() {
		if !a.closed {
			m.owners[endpoint].offer(a)
		}
	})
	limit := r.deadline
	if t := m.policy.AttemptTimeout; t > 0 {
		limit = min(limit, m.now+t)
	}
	if probe {
		slow := in.detector.ResponseTimeQuantile(strconv.Itoa(endpoint%m.service.Zones), r.long, 0.01)
		limit = min(limit, m.now+max(slow, minProbeLimit))
	}
	m.after(limit-m.now, func() { in.timeout(a) })
}

func (in *ingress) timeout(a *attempt) {
	if a.closed {
		return
	}
	a.close()
	in.end(a, health.Timeout)
	o := in.m.owners[a.endpoint]
	if in.m.policy.AttemptTimeout == 0 || !in.m.policy.Unbounded {
		in.m.after(in.m.delay(in.zone, a.endpoint), func() { o.cancel(a) })
	}
	in.retry(a, outcome.Unknown)
}

func (a *attempt) close() {
	a.closed = true
	delete(a.ingress.peers[a.endpoint].inFlight, a)
}

// answer carries the owner's reply back to the ingress.
func (a *attempt) answer(r reply) {
	m := a.m
	if f := m.fault(a.endpoint, ZoneLoss); f != nil && f.Zone == a.ingress.zone {
		return
	}
	m.after(m.delay(a.ingress.zone, a.endpoint), func() { a.ingress.receive(a, r) })
}

func (in *ingress) receive(a *attempt, r reply) {
	if a.closed {
		return
	}
	a.close()
	in.peers[a.endpoint].load = r.load
	if in.detector != nil && in.m.policy.OwnerReports {
		in.report(a.endpoint, r.score)
	}
	switch {
	case r.busy:
		in.end(a, health.Neutral)
		a.request.bounces++
		a.request.attempts--
		in.m.Result.bounce()
		in.serve(a.request)
	case r.failed && r.notRun:
		in.end(a, health.Failure)
		in.retry(a, outcome.NotRun)
	case r.notRun:
		in.end(a, health.Neutral)
		in.retry(a, outcome.NotRun)
	case r.failed:
		in.endWith(a, health.Failure, r.wait)
		in.finish(a.request, false)
	default:
		in.endWith(a, health.Success, r.wait)
		in.budget.RecordSuccess()
		in.finish(a.request, true)
	}
}

func (in *ingress) end(a *attempt, kind health.Kind) { in.endWith(a, kind, 0) }

func (in *ingress) endWith(a *attempt, kind health.Kind, wait time.Duration) {
	now := in.m.now
	if in.detector != nil {
		in.observe(in.detector.End(now, endpointID(a.endpoint), a.number, kind, now-a.sent-wait))
	}
	p := &in.peers[a.endpoint]
	switch kind {
	case health.Success:
		p.failures = 0
	case health.Failure, health.Timeout:
		p.failures++
		if n := in.m.policy.Consecutive; n > 0 && p.failures >= n && now >= p.outUntil {
			p.failures = 0
			p.outUntil = now + in.m.policy.EjectTime
			in.m.Result.baselineEjection(in, a.endpoint)
		}
	}
}

func (in *ingress) retry(a *attempt, last outcome.Outcome) {
	r := a.request
	if r.done {
		return
	}
	if in.m.now >= r.deadline || !in.m.policy.Retries {
		in.finish(r, false)
		return
	}
	try := retry.Attempt{Outcome: last, Repeatable: r.repeatable, Attempts: r.attempts}
	if ok, _ := retry.Decide(try, in.budget); !ok {
		in.finish(r, false)
		return
	}
	in.m.Result.retries(in.m.now)
	in.serve(r)
}

func (in *ingress) finish(r *request, answered bool) {
	if r.done {
		return
	}
	r.done = true
	in.m.Result.finish(r, answered)
}

func (in *ingress) choose(r *request) int {
	switch in.m.policy.Routing {
	case RoundRobin:
		return in.roundRobin()
	case LeastRequests:
		return in.leastRequests()
	}
	local, order := in.local, in.order
	if r.long && in.m.policy.Pack > 0 {
		local, order = 0, in.m.packed
	}
	at := func(i int) balance.Candidate {
		c := in.candidate(order[i])
		if slices.Contains(r.tried, order[i]) {
			c.Weight = 0
		}
		return c
	}
	source := balance.Source{Local: local, Total: len(order), At: at}
	request := balance.Request{Zone: strconv.Itoa(in.zone), Long: r.long, Repeatable: r.repeatable}
	i, _ := balance.ChooseFrom(in.rng, in.m.policy.Balance, source, request)
	if i < 0 {
		return -1
	}
	return order[i]
}

func (in *ingress) candidate(endpoint int) balance.Candidate {
	p := &in.peers[endpoint]
	c := balance.Candidate{
		Slots: in.m.service.Slots, Busy: p.load.Busy, Queued: p.load.Queued, InFlight: len(p.inFlight), Weight: 1,
		LongBusy: p.load.LongBusy,
	}
	if in.detector != nil {
		v := in.detector.View(in.m.now, endpointID(endpoint))
		c.Weight, c.LastResort = v.Weight, v.LastResort
	}
	if in.m.now < p.outUntil {
		c.Weight = 0
	}
	return c
}

func (in *ingress) roundRobin() int {
	n := len(in.peers)
	for range n {
		in.turn++
		if in.m.now >= in.peers[in.turn%n].outUntil {
			return in.turn % n
		}
	}
	return in.turn % n
}

func (in *ingress) leastRequests() int {
	best, bestLoad := -1, 0.0
	start := in.rng.IntN(len(in.peers))
	for k := range in.peers {
		i := (start + k) % len(in.peers)
		c := in.candidate(i)
		if c.Weight == 0 {
			continue
		}
		if load := balance.Load(c); best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}
