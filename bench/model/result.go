package model

import (
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/health"
)

// Result is the figures of one run, of the time after the warm-up.
type Result struct {
	m *Model

	Requests int
	Answered int // within the deadline
	Failed   int
	Attempts int
	Retries  int
	Bounces  int
	Work     time.Duration
	// WorkUseful is the service time of requests answered within their deadline.
	LongAnswered int
	ShortWaits   []time.Duration
	Latencies    []time.Duration

	Ejections      int // of endpoints without a fault
	FalseSuspects  int
	TrueEjections  int
	OutAt          map[int]time.Duration // by ingress: when the faulty endpoint left rotation
	EjectedAt      map[int]time.Duration
	Returned       map[int]time.Duration
	hit            []hitRequest
	warmLatencies  []time.Duration
	AnsweredWindow []int // answered requests by second of arrival
	hitAttempts    int
	// Log lists the false ejections.
	Log []string
}

type hitRequest struct {
	latency  time.Duration
	answered bool
}

func newResult(m *Model) *Result {
	return &Result{m: m, OutAt: map[int]time.Duration{}, EjectedAt: map[int]time.Duration{}, Returned: map[int]time.Duration{}}
}

func (r *Result) warm() bool { return r.m.now >= r.m.load.Warmup }

func (r *Result) arrive(q *request) {
	if r.warm() && q.begin <= r.m.load.End {
		r.Requests++
	}
}

func (r *Result) attempt(a *attempt) {
	if r.m.faulty(a.endpoint) {
		a.request.hitFault = true
		r.hitAttempts++
	}
	if a.request.begin >= r.m.load.Warmup {
		r.Attempts++
	}
}

func (r *Result) retries(now time.Duration) {
	if r.warm() {
		r.Retries++
	}
}

func (r *Result) bounce() {
	if r.warm() {
		r.Bounces++
	}
}

func (r *Result) work(now, spent time.Duration) {
	if r.warm() && now <= r.m.load.End {
		r.Work += spent
	}
}

func (r *Result) recordWait(a *attempt) {
	if r.warm() && !a.request.long {
		// The time that refusals as busy take counts as waiting.
		q := a.request
		wait := a.started - a.arrived
		if q.bounces > 0 {
			wait += a.sent - q.sent
		}
		r.ShortWaits = append(r.ShortWaits, wait)
	}
}

func (r *Result) finish(q *request, answered bool) {
	m := r.m
	latency := m.now - q.begin
	answered = answered && m.now+m.service.CallerDelay <= q.deadline
	if q.begin < m.load.Warmup {
		if answered && !q.long {
			r.warmLatencies = append(r.warmLatencies, latency)
		}
		if !q.hitFault {
			return
		}
	}
	if q.hitFault {
		r.hit = append(r.hit, hitRequest{latency: latency, answered: answered})
	}
	if q.begin < m.load.Warmup {
		return
	}
	if !answered {
		r.Failed++
		return
	}
	r.Answered++
	if q.long {
		r.LongAnswered++
		return
	}
	r.Latencies = append(r.Latencies, latency)
	// Answers are counted by the second in which they arrive.
	second := int(m.now / time.Second)
	for len(r.AnsweredWindow) <= second {
		r.AnsweredWindow = append(r.AnsweredWindow, 0)
	}
	r.AnsweredWindow[second]++
}

func (r *Result) transition(in *ingress, c health.Transition) {
	endpoint := endpointIndex(c.Endpoint)
	who := slices.Index(r.m.ingresses, in)
	if r.everFaulty(endpoint, in.zone) {
		r.faultyTransition(who, c)
		return
	}
	if c.To == health.Ejected {
		r.Ejections++
	}
	if c.To == health.Suspect && c.From != health.Ejected && c.From != health.Probation {
		r.FalseSuspects++
	}
}

func (r *Result) faultyTransition(who int, c health.Transition) {
	if _, ok := r.OutAt[who]; !ok {
		r.OutAt[who] = r.m.now
	}
	if c.To == health.Ejected {
		r.TrueEjections++
		if _, ok := r.EjectedAt[who]; !ok {
			r.EjectedAt[who] = r.m.now
		}
	}
	if c.To == health.Healthy || c.To == health.Ramping {
		r.Returned[who] = r.m.now
	}
}

func (r *Result) baselineEjection(in *ingress, endpoint int) {
	who := slices.Index(r.m.ingresses, in)
	if !r.everFaulty(endpoint, in.zone) {
		r.Ejections++
		return
	}
	r.TrueEjections++
	if _, ok := r.OutAt[who]; !ok {
		r.OutAt[who] = r.m.now
		r.EjectedAt[who] = r.m.now
	}
}

// everFaulty reports whether the endpoint has had a fault by now that concerns ingress nodes of the zone.
func (r *Result) everFaulty(endpoint, zone int) bool {
	for _, f := range r.m.load.Faults {
		if f.Endpoint == endpoint && r.m.now >= f.From && (f.Kind != ZoneLoss || f.Zone == zone) {
			return true
		}
	}
	return false
}

// Hurt returns the number of requests that were sent to a faulty endpoint and were not answered in time, or took more
// than three times the 99th percentile of the warm-up.
func (r *Result) Hurt() int {
	limit := 3 * Quantile(r.warmLatencies, 0.99)
	n := 0
	for _, h := range r.hit {
		if !h.answered || h.latency > limit {
			n++
		}
	}
	return n
}

// Hits returns the number of attempts sent to a faulty endpoint.
func (r *Result) Hits() int { return r.hitAttempts }

// OutTimes returns the detection time in each view that took the endpoint out, counted from the start of the fault.
func (r *Result) OutTimes(from time.Duration) []time.Duration {
	var out []time.Duration
	for _, at := range r.OutAt {
		out = append(out, at-from)
	}
	slices.Sort(out)
	return out
}

// Quantile returns a quantile of the values, which it sorts.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
