package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	localDelay = 250 * time.Microsecond
	// newsHops forwarding steps of newsStep bring urgent news to all nodes of the modelled sizes.
	newsHops = 3
	newsStep = 10 * time.Millisecond
)

// Model is one run.
type Model struct {
	engine
	service Service
	load    Load
	policy  Policy
	seed    uint64
	rng     *rand.Rand
	// The demand has random sources of its own, so that it is the same for all policies.
	shortRNG  *rand.Rand
	longRNG   *rand.Rand
	owners    []*owner
	ingresses []*ingress
	packed    []int
	requests  uint64
	attempts  uint64
	Result    *Result
}

// Run runs the model and returns its figures.
func Run(s Service, l Load, p Policy, seed uint64) *Result {
	m := &Model{service: s, load: l, policy: p, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
	m.shortRNG, m.longRNG = rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	m.Result = newResult(m)
	for i := range s.Endpoints {
		m.owners = append(m.owners, newOwner(m, i))
	}
	for i := range p.Pack {
		// One endpoint in each zone in turn.
		m.packed = append(m.packed, i)
	}
	for i := range s.Ingresses {
		m.ingresses = append(m.ingresses, newIngress(m, i))
	}
	m.after(interval(m.shortRNG, l.PeakRate), m.arriveShort)
	if l.LongRate > 0 {
		m.after(interval(m.longRNG, l.LongRate), m.arriveLong)
	}
	if len(l.Cold) > 0 {
		m.after(l.Warmup, m.configureAll)
		m.after(l.Warmup+l.ColdTime, m.configureAll)
	}
	m.runUntil(l.End + s.Deadline + s.CallerDelay)
	return m.Result
}

func (m *Model) configureAll() {
	for _, in := range m.ingresses {
		if in.detector != nil {
			in.configure()
		}
	}
}

func endpointID(i int) string { return strconv.Itoa(i) }

func endpointIndex(id string) int {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic("model: endpoint " + id)
	}
	return i
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return int(a.number) - int(b.number) })
}

func interval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// arriveShort thins arrivals at the peak rate to the current rate.
func (m *Model) arriveShort() {
	if m.now > m.load.End {
		return
	}
	m.after(interval(m.shortRNG, m.load.PeakRate), m.arriveShort)
	if m.shortRNG.Float64()*m.load.PeakRate < m.load.Rate(m.now) {
		m.arrive(m.shortRNG, false, m.service.Deadline)
	}
}

func (m *Model) arriveLong() {
	if m.now > m.load.End {
		return
	}
	m.after(interval(m.longRNG, m.load.LongRate), m.arriveLong)
	m.arrive(m.longRNG, true, m.service.LongDeadline)
}

func (m *Model) arrive(rng *rand.Rand, long bool, deadline time.Duration) {
	m.requests++
	in := m.ingresses[rng.IntN(len(m.ingresses))]
	r := &request{ingress: in, number: m.requests, long: long, normal: rng.NormFloat64(), begin: m.now}
	r.repeatable = rng.Float64() < m.service.Repeatable
	r.deadline = m.now + deadline
	m.Result.arrive(r)
	m.after(m.service.CallerDelay, func() { in.serve(r) })
}

func (m *Model) delay(zone, endpoint int) time.Duration {
	d := localDelay
	other := endpoint % m.service.Zones
	if other == zone {
		return d
	}
	d = m.service.ZoneDelay
	if m.load.ExtraDelay != nil {
		d += max(m.load.ExtraDelay(m.now, other), m.load.ExtraDelay(m.now, zone))
	}
	return d
}

func (m *Model) newsDelay() time.Duration {
	return time.Duration(float64(newsHops*newsStep) * (0.5 + m.rng.Float64()))
}

func (m *Model) fault(endpoint int, kind Fault) *FaultPeriod {
	for i := range m.load.Faults {
		f := &m.load.Faults[i]
		if f.Endpoint == endpoint && f.Kind == kind && m.now >= f.From && m.now < f.To {
			return f
		}
	}
	return nil
}

func (m *Model) faulty(endpoint int) bool {
	for _, f := range m.load.Faults {
		if f.Endpoint == endpoint && m.now >= f.From && m.now < f.To {
			return true
		}
	}
	return false
}

func (m *Model) errorShare() float64 {
	if m.load.ErrorShare == nil {
		return 0
	}
	return m.load.ErrorShare(m.now)
}

func (m *Model) isCold(endpoint int) bool {
	since := m.now - m.load.Warmup
	return since >= 0 && since < m.load.ColdTime && slices.Contains(m.load.Cold, endpoint)
}

func (m *Model) coldFactor(endpoint int) float64 {
	if !m.isCold(endpoint) {
		return 1
	}
	left := 1 - float64(m.now-m.load.Warmup)/float64(m.load.ColdTime)
	return 1 + (m.load.ColdFactor-1)*min(max(left, 0), 1)
}

// MeanService is the mean service time of short requests.
func (s Service) MeanService() time.Duration {
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*s.Sigma/2))
}

// Capacity is the number of short requests a second that n endpoints serve.
func (s Service) Capacity(n float64) float64 {
	return n * float64(s.Slots) / s.MeanService().Seconds()
}
