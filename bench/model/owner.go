package model

import (
	"math"
	"time"

	"agatepulley.example/agatepulley/core/admission"
	"agatepulley.example/agatepulley/core/health"
)

const ownerTick = 100 * time.Millisecond

// queue is what an owner needs of its queue; core/admission and the baseline provide it.
type queue interface {
	Offer(now time.Duration, item admission.Item) admission.Decision
	Done(now time.Duration, id string, serviceTime time.Duration)
	Next(now time.Duration) []admission.Item
	Expire(now time.Duration) []admission.Item
	Cancel(id string) bool
	Load() admission.Load
}

// owner is the node that owns one endpoint, with the endpoint's backend server.
type owner struct {
	m        *Model
	index    int
	id       string
	zone     int
	queue    queue
	attempts map[string]*attempt
	detector *health.Detector
	reported bool
}

type reply struct {
	failed bool
	notRun bool
	busy   bool
	wait   time.Duration
	load   admission.Load
	score  float64
}

func newOwner(m *Model, index int) *owner {
	s, p := m.service, m.policy
	o := &owner{m: m, index: index, id: endpointID(index), zone: index % s.Zones, attempts: map[string]*attempt{}}
	o.queue = &fifo{slots: s.Slots}
	if !p.Unbounded {
		settings := admission.Settings{Slots: s.Slots, QueueLimit: s.Slots * p.QueuePerSlot, LongReserve: p.LongReserve}
		o.queue = admission.New(settings)
	}
	if p.Detector && p.OwnerReports {
		o.detector = health.NewDetector(s.Name, p.Health)
		o.detector.SetEndpoints(0, []health.Endpoint{{ID: o.id, Slots: s.Slots}}, 100)
		o.tick()
	}
	return o
}

func (o *owner) tick() {
	for _, item := range o.queue.Expire(o.m.now) {
		o.refuse(item.ID)
	}
	o.dispatch()
	o.detector.Tick(o.m.now)
	o.publish()
	o.m.after(ownerTick, o.tick)
}

// publish sends news when the owner's view of its backend server changes between suspect and not.
func (o *owner) publish() {
	suspect := o.score() >= o.m.policy.Health.WithDefaults().StallScore
	if !o.m.policy.OwnerNews || (suspect == o.reported && !suspect) {
		return
	}
	o.reported = suspect
	score := o.score()
	for _, in := range o.m.ingresses {
		o.m.after(o.m.newsDelay(), func() { in.report(o.index, score) })
	}
}

func (o *owner) score() float64 {
	if o.detector == nil {
		return 0
	}
	return o.detector.StallScore(o.m.now, o.id)
}

func (o *owner) offer(a *attempt) {
	if f := o.m.fault(o.index, Refuse); f != nil {
		a.answer(reply{failed: true, notRun: true, load: o.queue.Load()})
		return
	}
	o.limit()
	o.attempts[a.key] = a
	a.arrived = o.m.now
	item := admission.Item{ID: a.key, Long: a.request.long, Deadline: a.request.deadline, MaxWait: a.maxWait}
	d := o.queue.Offer(o.m.now, item)
	switch d.Verdict {
	case admission.Run:
		o.run(a)
	case admission.Refused:
		o.refuseAs(a.key, d.Reason)
	}
}

func (o *owner) refuse(key string) { o.refuseAs(key, admission.ReasonDeadline) }

func (o *owner) refuseAs(key string, reason admission.Reason) {
	a := o.attempts[key]
	delete(o.attempts, key)
	a.answer(reply{notRun: true, busy: reason == admission.ReasonBusy, load: o.queue.Load(), score: o.score()})
}

func (o *owner) dispatch() {
	o.limit()
	for _, item := range o.queue.Next(o.m.now) {
		o.run(o.attempts[item.ID])
	}
	for _, item := range o.queue.Expire(o.m.now) {
		o.refuse(item.ID)
	}
}

// limit keeps queued requests from a backend server that has stopped answering.
func (o *owner) limit() {
	q, ok := o.queue.(*admission.Queue)
	if !ok || o.detector == nil {
		return
	}
	slots := o.m.service.Slots
	if o.detector.Stalled(o.m.now, o.id) {
		slots = 1
	}
	q.Resize(slots)
}

func (o *owner) run(a *attempt) {
	m := o.m
	a.started = m.now
	a.running = true
	m.Result.recordWait(a)
	if o.detector != nil {
		o.detector.Begin(m.now, o.id, a.number, a.request.long)
	}
	if m.fault(o.index, Stall) != nil {
		// The request ends when the caller gives up.
		return
	}
	service := o.serviceTime(a)
	m.after(service, func() { o.finish(a, m.rng.Float64() < m.errorShare()) })
}

func (o *owner) serviceTime(a *attempt) time.Duration {
	m := o.m
	t := float64(m.service.Median) * math.Exp(m.service.Sigma*a.request.normal)
	if a.request.long {
		t *= m.service.LongFactor
	}
	if m.load.Slowdown != nil {
		t *= m.load.Slowdown(m.now, o.zone)
	}
	if f := m.fault(o.index, Slow); f != nil {
		t *= f.Factor
	}
	return time.Duration(t * m.coldFactor(o.index))
}

func (o *owner) finish(a *attempt, failed bool) {
	if !a.running {
		return
	}
	o.end(a, o.m.now-a.started, failed)
	a.answer(reply{failed: failed, wait: a.started - a.arrived, load: o.queue.Load(), score: o.score()})
	o.dispatch()
}

func (o *owner) end(a *attempt, service time.Duration, failed bool) {
	a.running = false
	delete(o.attempts, a.key)
	o.m.Result.work(o.m.now, o.m.now-a.started)
	o.queue.Done(o.m.now, a.key, service)
	if o.detector == nil {
		return
	}
	kind := health.Success
	switch {
	case service < 0:
		kind = health.Timeout
	case failed:
		kind = health.Failure
	}
	o.detector.End(o.m.now, o.id, a.number, kind, o.m.now-a.started)
}

// cancel ends an attempt that its ingress has given up, and reports whether it was not run.
func (o *owner) cancel(a *attempt) bool {
	if _, ok := o.attempts[a.key]; !ok {
		return false
	}
	if o.queue.Cancel(a.key) {
		delete(o.attempts, a.key)
		return true
	}
	if a.running {
		o.end(a, -1, true)
		o.dispatch()
	}
	return false
}

// fifo is an unbounded first-come first-served queue.
type fifo struct {
	slots   int
	busy    map[string]bool
	waiting []admission.Item
}

func (f *fifo) Offer(_ time.Duration, item admission.Item) admission.Decision {
	if f.busy == nil {
		f.busy = map[string]bool{}
	}
	if len(f.busy) < f.slots {
		f.busy[item.ID] = true
		return admission.Decision{Verdict: admission.Run}
	}
	f.waiting = append(f.waiting, item)
	return admission.Decision{Verdict: admission.Queued}
}

func (f *fifo) Done(_ time.Duration, id string, _ time.Duration) { delete(f.busy, id) }

func (f *fifo) Next(time.Duration) []admission.Item {
	var started []admission.Item
	for len(f.waiting) > 0 && len(f.busy) < f.slots {
		f.busy[f.waiting[0].ID] = true
		started = append(started, f.waiting[0])
		f.waiting = f.waiting[1:]
	}
	return started
}

func (f *fifo) Expire(time.Duration) []admission.Item { return nil }

// Cancel does nothing: the baseline runs requests that nobody waits for.
func (f *fifo) Cancel(string) bool { return false }

func (f *fifo) Load() admission.Load {
	return admission.Load{Busy: len(f.busy), Queued: len(f.waiting), Slots: f.slots}
}
