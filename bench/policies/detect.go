package main

import (
	"fmt"
	"time"

	"agatepulley.example/agatepulley/bench/model"
	"agatepulley.example/agatepulley/core/health"
)

type mode struct {
	name   string
	faults func(from time.Duration) []model.FaultPeriod
}

const (
	m1Warmup = 10 * time.Second
	m1Fault  = 10 * time.Second
)

var modes = []mode{
	{"refuses", single(model.Refuse)},
	{"stalls", single(model.Stall)},
	{"slow-10x", single(model.Slow)},
	{"one-zone", single(model.ZoneLoss)},
	{"flaps", flaps},
}

func single(kind model.Fault) func(time.Duration) []model.FaultPeriod {
	return func(from time.Duration) []model.FaultPeriod {
		return []model.FaultPeriod{{Kind: kind, From: from, To: from + m1Fault, Factor: 10, Zone: 1}}
	}
}

// flaps stalls the endpoint for 2 s of every 5 s.
func flaps(from time.Duration) []model.FaultPeriod {
	var list []model.FaultPeriod
	for at := from; at < from+2*m1Fault; at += 5 * time.Second {
		list = append(list, model.FaultPeriod{Kind: model.Stall, From: at, To: at + 2*time.Second})
	}
	return list
}

func m1(e experiment) {
	loads := []float64{0.3, 0.6}
	seeds := uint64(5)
	if e.quick {
		loads, seeds = loads[1:], 1
	}
	for _, s := range []model.Service{orderDesk, portal} {
		for _, load := range loads {
			for _, m := range modes {
				m1Mode(e, s, load, m, seeds)
			}
		}
	}
}

func m1Mode(e experiment, s model.Service, load float64, m mode, seeds uint64) {
	run := func(p model.Policy) []*model.Result {
		var jobs []func() *model.Result
		for k := range seeds {
			faults := m.faults(m1Warmup)
			l := model.Load{
				Rate: constant(load * s.Capacity(float64(s.Endpoints))), Warmup: m1Warmup,
				End: faults[len(faults)-1].To + time.Second, Faults: faults,
			}
			l.PeakRate = l.Rate(0)
			jobs = append(jobs, func() *model.Result { return model.Run(s, l, p, e.seed+k) })
		}
		return parallel(jobs)
	}
	ours, theirs := run(product()), run(baseline())
	name := fmt.Sprintf("M1 %s load %.1f %s", s.Name, load, m.name)
	line(name+" median view out", ms(outTime(ours, 0.5)), "ms", ms(outTime(theirs, 0.5)))
	line(name+" last view out (worst run)", ms(outTime(ours, 1)), "ms", ms(outTime(theirs, 1)))
	line(name+" requests hurt (worst run)", worst(ours), "requests", worst(theirs))
	line(name+" false ejections", falseEjections(ours), "ejections", falseEjections(theirs))
}

func outTime(results []*model.Result, q float64) time.Duration {
	var all []time.Duration
	for _, r := range results {
		all = append(all, r.OutTimes(m1Warmup)...)
	}
	return model.Quantile(all, q)
}

func worst(results []*model.Result) int {
	n := 0
	for _, r := range results {
		n = max(n, r.Hurt())
	}
	return n
}

func falseEjections(results []*model.Result) int {
	n := 0
	for _, r := range results {
		n += r.Ejections
	}
	return n
}

type scenario struct {
	name string
	make func(s model.Service, l *model.Load)
}

const (
	m2Warmup = 5 * time.Second
	// disturbFrom and disturbTo are the period of a disturbance within each cycle of disturbCycle.
	disturbCycle = 30 * time.Second
	disturbFrom  = 10 * time.Second
	disturbTo    = 20 * time.Second
)

func disturbed(now time.Duration) bool {
	at := now % disturbCycle
	return at >= disturbFrom && at < disturbTo
}

var scenarios = []scenario{
	{"quiet", func(model.Service, *model.Load) {}},
	{"noise 2% errors", func(_ model.Service, l *model.Load) {
		l.ErrorShare = func(time.Duration) float64 { return 0.02 }
	}},
	{"error burst 30%", func(_ model.Service, l *model.Load) {
		l.ErrorShare = func(now time.Duration) float64 {
			if disturbed(now) {
				return 0.3
			}
			return 0.001
		}
	}},
	{"load peak 1.3x capacity", func(s model.Service, l *model.Load) {
		normal, peak := l.PeakRate, 1.3*s.Capacity(float64(s.Endpoints))
		l.PeakRate = peak
		l.Rate = func(now time.Duration) float64 {
			if disturbed(now) {
				return peak
			}
			return normal
		}
	}},
	{"slow zone 3x and 30 ms", func(_ model.Service, l *model.Load) {
		l.Slowdown = func(now time.Duration, zone int) float64 {
			if zone == 1 && disturbed(now) {
				return 3
			}
			return 1
		}
		l.ExtraDelay = func(now time.Duration, zone int) time.Duration {
			if zone == 1 && disturbed(now) {
				return 30 * time.Millisecond
			}
			return 0
		}
	}},
	{"service slow 5x", func(_ model.Service, l *model.Load) {
		l.Slowdown = func(now time.Duration, _ int) float64 {
			if disturbed(now) {
				return 5
			}
			return 1
		}
	}},
	{"few long requests", func(s model.Service, l *model.Load) {
		l.LongRate = 0.2 * s.Capacity(float64(s.Endpoints)) / s.LongFactor
	}},
}

func m2(e experiment) {
	million := 10.0
	if e.quick {
		million = 0.25
	}
	settings := []health.Settings{{}}
	if !e.quick {
		settings = []health.Settings{
			{SuspectScore: 4, EjectScore: 7},
			{SuspectScore: 6, EjectScore: 12},
			{SuspectScore: 9, EjectScore: 18},
			{},
		}
	}
	for _, set := range settings {
		m2Settings(e, set, million)
	}
}

func m2Settings(e experiment, set health.Settings, million float64) {
	p := product()
	p.Health = set
	set = set.WithDefaults()
	label := fmt.Sprintf("%.0f/%.0f", set.SuspectScore, set.EjectScore)
	total, sum, sumBase := 0, 0, 0
	for _, sc := range scenarios {
		ours, requests := m2Run(e, sc, p, million)
		theirs, _ := m2Run(e, sc, baseline(), million/4)
		total += requests
		sum += falseEjections(ours)
		sumBase += falseEjections(theirs)
		line("M2 "+label+" "+sc.name+" false ejections", falseEjections(ours), fmt.Sprintf("in %d", requests), falseEjections(theirs)*4)
		line("M2 "+label+" "+sc.name+" false suspects", falseSuspects(ours), fmt.Sprintf("in %d", requests), "-")
	}
	line("M2 "+label+" all false ejections per million", fmt.Sprintf("%.2f", float64(sum)/float64(total)*1e6), fmt.Sprintf("in %d", total),
		fmt.Sprintf("%.2f", 4*float64(sumBase)/float64(total)*1e6))
	stall := m1Stall(e, p)
	line("M2 "+label+" stall: last view out", ms(outTime(stall, 1)), "ms", "-")
	line("M2 "+label+" stall: requests hurt", worst(stall), "requests", "-")
}

func falseSuspects(results []*model.Result) int {
	n := 0
	for _, r := range results {
		n += r.FalseSuspects
	}
	return n
}

// m2Run spreads the requests of a scenario over both services.
func m2Run(e experiment, sc scenario, p model.Policy, million float64) ([]*model.Result, int) {
	var jobs []func() *model.Result
	each := million * 1e6 / float64(len(scenarios)) / 4
	for _, s := range []model.Service{orderDesk, portal} {
		for k := range uint64(2) {
			rate := 0.5 * s.Capacity(float64(s.Endpoints))
			l := model.Load{Rate: constant(rate), PeakRate: rate, Warmup: m2Warmup}
			l.End = m2Warmup + time.Duration(each/rate*float64(time.Second))
			sc.make(s, &l)
			jobs = append(jobs, func() *model.Result { return model.Run(s, l, p, e.seed+k) })
		}
	}
	results := parallel(jobs)
	requests := 0
	for _, r := range results {
		requests += r.Requests
	}
	return results, requests
}

func m1Stall(e experiment, p model.Policy) []*model.Result {
	return m1StallOf(orderDesk, e, p)
}

func m1StallOf(s model.Service, e experiment, p model.Policy) []*model.Result {
	faults := single(model.Stall)(m1Warmup)
	rate := 0.6 * s.Capacity(float64(s.Endpoints))
	l := model.Load{Rate: constant(rate), PeakRate: rate, Warmup: m1Warmup, End: m1Warmup + m1Fault, Faults: faults}
	var jobs []func() *model.Result
	for k := range uint64(3) {
		jobs = append(jobs, func() *model.Result { return model.Run(s, l, p, e.seed+k) })
	}
	return parallel(jobs)
}
