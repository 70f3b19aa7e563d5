package main

import (
	"fmt"
	"time"

	"agatepulley.example/agatepulley/bench/model"
	"agatepulley.example/agatepulley/core/balance"
)

const (
	m4Warmup = 5 * time.Second
	m4Length = 120 * time.Second
)

// m4 compares ways to keep long requests from delaying short ones at an equal rate of long ones.
func m4(e experiment) {
	for _, s := range []model.Service{orderDesk, portal} {
		for _, share := range []float64{0.1, 0.33} {
			m4Service(e, s, 0.6, share)
		}
	}
}

func m4Service(e experiment, s model.Service, load, share float64) {
	capacity := s.Capacity(float64(s.Endpoints))
	// Long requests add the given share of the work of the short ones: 0.1 is one request in 1,000.
	long := load * share * capacity / s.LongFactor
	length := m4Length
	if e.quick {
		length = 20 * time.Second
	}
	job := func(p model.Policy, longRate float64) func() *model.Result {
		l := model.Load{Rate: constant(load * capacity), PeakRate: load * capacity, LongRate: longRate, Warmup: m4Warmup, End: m4Warmup + length}
		return func() *model.Result { return model.Run(s, l, p, e.seed) }
	}
	none, reserve, packed, both, fcfs := product(), product(), product(), product(), baseline()
	none.Bounces, reserve.Bounces, packed.Bounces, both.Bounces = 0, 0, 0, 0
	once, twice, packedOnce := product(), product(), product()
	once.Bounces, twice.Bounces = 1, 2
	none.LongReserve = 0
	packed.LongReserve, packed.Pack = 0, packedEndpoints(s, load*share)
	both.Pack = 2 * packedEndpoints(s, load*share)
	packedOnce.Pack = both.Pack
	fcfs.Consecutive, fcfs.AttemptTimeout = 0, 0
	results := parallel([]func() *model.Result{
		job(fcfs, 0), job(fcfs, long), job(reserve, 0), job(none, long), job(reserve, long), job(packed, long), job(both, long),
		job(once, 0), job(once, long), job(twice, 0), job(twice, long),
		job(packedOnce, 0), job(packedOnce, long),
	})
	name := fmt.Sprintf("M4 %s load %.1f+%.2f", s.Name, load, load*share)
	reference := results[2]
	line(name+" p99 wait without long", ms(model.Quantile(reference.ShortWaits, 0.99)), "ms", ms(model.Quantile(results[0].ShortWaits, 0.99)))
	compare := func(label string, r, reference *model.Result) {
		b := results[1]
		line(name+" "+label+" p50 wait", ms(model.Quantile(r.ShortWaits, 0.5)), "ms", ms(model.Quantile(b.ShortWaits, 0.5)))
		line(name+" "+label+" p99 wait", ms(model.Quantile(r.ShortWaits, 0.99)), "ms", ms(model.Quantile(b.ShortWaits, 0.99)))
		line(name+" "+label+" p99 ratio", ratio(r, reference), "x without long", ratio(b, results[0]))
		line(name+" "+label+" p99 latency", ms(model.Quantile(r.Latencies, 0.99)), "ms", ms(model.Quantile(b.Latencies, 0.99)))
		line(name+" "+label+" refusals as busy per request", per(r.Bounces, r.Requests), "messages", "0")
		line(name+" "+label+" long answered", r.LongAnswered, "requests", b.LongAnswered)
		line(name+" "+label+" not answered", r.Failed, "requests", b.Failed)
	}
	for i, label := range []string{"no separation", "reserved slot", "packed", "packed and reserved"} {
		compare(label, results[3+i], reference)
	}
	for i, label := range []string{"reserved slot, one busy refusal", "reserved slot, two busy refusals", "packed, reserved, one busy refusal"} {
		r := results[7+2*i : 9+2*i]
		line(name+" "+label+" p99 wait without long", ms(model.Quantile(r[0].ShortWaits, 0.99)), "ms", ms(model.Quantile(results[0].ShortWaits, 0.99)))
		compare(label, r[1], r[0])
	}
}

// packedEndpoints is the number of endpoints that carry the long requests at three quarters of their capacity.
func packedEndpoints(s model.Service, load float64) int {
	return int(load*float64(s.Endpoints)/0.75) + 1
}

func ratio(r, reference *model.Result) string {
	a, b := model.Quantile(r.ShortWaits, 0.99), model.Quantile(reference.ShortWaits, 0.99)
	return fmt.Sprintf("%.2f", float64(a)/float64(max(b, time.Microsecond)))
}

const (
	m3Warmup = 10 * time.Second
	m3Rise   = 2 * time.Second
	m3Crest  = 10 * time.Second
)

// m3 raises the demand to a multiple of the capacity with one stalled and two cold endpoints.
func m3(e experiment) {
	factors := []float64{1, 2, 3, 5}
	if e.quick {
		factors = []float64{3}
	}
	for _, s := range []model.Service{orderDesk, portal} {
		for _, factor := range factors {
			m3Service(e, s, factor)
		}
	}
}

func m3Load(s model.Service, factor float64) (model.Load, float64) {
	capacity := s.Capacity(float64(s.Endpoints - 1))
	l := model.Load{PeakRate: max(factor, 0.7) * capacity, Warmup: m3Warmup, Cold: []int{1, 2}, ColdFactor: 4, ColdTime: 4 * time.Second}
	l.End = m3Warmup + m3Rise + m3Crest
	l.Faults = []model.FaultPeriod{{Endpoint: 0, Kind: model.Stall, From: m3Warmup, To: l.End + time.Minute}}
	l.Rate = func(now time.Duration) float64 {
		rise := min(max(float64(now-m3Warmup)/float64(m3Rise), 0), 1)
		return capacity * (0.7 + (factor-0.7)*rise)
	}
	return l, capacity
}

func m3Service(e experiment, s model.Service, factor float64) {
	l, capacity := m3Load(s, factor)
	job := func(p model.Policy) func() *model.Result {
		return func() *model.Result { return model.Run(s, l, p, e.seed) }
	}
	naive := baseline()
	naive.Consecutive = 0
	naive.AttemptTimeout = 0
	results := parallel([]func() *model.Result{job(product()), job(naive)})
	ours, theirs := results[0], results[1]
	name := fmt.Sprintf("M3 %s demand %.0fx", s.Name, factor)
	line(name+" useful answers at the crest", goodput(ours, capacity), "% of capacity", goodput(theirs, capacity))
	line(name+" worst second of the crest", worstSecond(ours, capacity), "% of capacity", worstSecond(theirs, capacity))
	line(name+" attempts per answered", per(ours.Attempts, ours.Answered), "attempts", per(theirs.Attempts, theirs.Answered))
	line(name+" retries per answered", per(ours.Retries, ours.Answered), "retries", per(theirs.Retries, theirs.Answered))
	line(name+" refusals as busy per request", per(ours.Bounces, ours.Requests), "messages", "0")
	line(name+" work per answered", workPer(ours), "ms", workPer(theirs))
	line(name+" false ejections", ours.Ejections, "ejections", theirs.Ejections)
}

func per(n, d int) string { return fmt.Sprintf("%.3f", float64(n)/float64(max(d, 1))) }

func workPer(r *model.Result) string { return ms(r.Work / time.Duration(max(r.Answered, 1))) }

// crest returns the answers by second of the crest, which begins when the demand has reached its peak.
func crest(r *model.Result) []int {
	from := int((m3Warmup + m3Rise) / time.Second)
	to := int((m3Warmup + m3Rise + m3Crest) / time.Second)
	for len(r.AnsweredWindow) < to {
		r.AnsweredWindow = append(r.AnsweredWindow, 0)
	}
	return r.AnsweredWindow[from:to]
}

func goodput(r *model.Result, capacity float64) string {
	sum := 0
	for _, n := range crest(r) {
		sum += n
	}
	return fmt.Sprintf("%.1f", 100*float64(sum)/capacity/m3Crest.Seconds())
}

func worstSecond(r *model.Result, capacity float64) string {
	least := -1
	for _, n := range crest(r) {
		if least < 0 || n < least {
			least = n
		}
	}
	return fmt.Sprintf("%.1f", 100*float64(least)/capacity)
}

// compareRouting compares ways to choose an endpoint while load reports are as old as the latest answer.
func compareRouting(e experiment) {
	for _, s := range []model.Service{orderDesk, portal} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			rate := load * s.Capacity(float64(s.Endpoints))
			l := model.Load{Rate: constant(rate), PeakRate: rate, Warmup: m4Warmup, End: m4Warmup + 20*time.Second}
			var jobs []func() *model.Result
			for _, routing := range []model.Routing{model.Product, model.LeastRequests, model.RoundRobin} {
				p := product()
				p.Routing = routing
				p.Balance = balance.Settings{}
				jobs = append(jobs, func() *model.Result { return model.Run(s, l, p, e.seed) })
			}
			r := parallel(jobs)
			name := fmt.Sprintf("balance %s load %.2f", s.Name, load)
			base := r[2]
			for i, label := range []string{"two choices", "least requests"} {
				line(name+" "+label+" p99 wait", ms(model.Quantile(r[i].ShortWaits, 0.99)), "ms", ms(model.Quantile(base.ShortWaits, 0.99)))
				line(name+" "+label+" p99 latency", ms(model.Quantile(r[i].Latencies, 0.99)), "ms", ms(model.Quantile(base.Latencies, 0.99)))
			}
		}
	}
}
