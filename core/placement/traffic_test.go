package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/placement"
)

const (
	regionSlots     = 7
	regionEndpoints = 10
	regionNodes     = 10
	regionService   = 400 * time.Millisecond
	regionTarget    = 2 * time.Second
)

// regionEndpoint is an endpoint with a queue in virtual time, in region 0 or 1.
type regionEndpoint struct {
	region int
	ends   []time.Duration
	// reported is what each region knows of it.
	reported [2]regionReport
}

type regionReport struct {
	busy, queued int
	// sent counts the requests of each node since the report.
	sent map[int]int
}

// ownReportAge is the time between the reports within a region.
const ownReportAge = 300 * time.Millisecond

// regionLoad is a load of two regions with reports between them of some age.
type regionLoad struct {
	// perSecond returns the demand of a region, endpoints the number that works there.
	perSecond func(region int, now time.Duration) float64
	endpoints func(region int, now time.Duration) int
	bytes     float64
	traffic   placement.Traffic
	reportAge time.Duration
}

// regionResult is what callers got.
type regionResult struct {
	onTime, left float64
	// flooded is the longest queue of an endpoint in a region whose own demand is below what it can serve.
	flooded int
}

// play plays half a minute.
func (l regionLoad) play() regionResult {
	rng := rand.New(rand.NewPCG(5, 6))
	var endpoints []*regionEndpoint
	for n := range 2 * regionEndpoints {
		endpoints = append(endpoints, &regionEndpoint{region: n % 2})
	}
	const step, duration = 5 * time.Millisecond, 30 * time.Second
	all, onTime, left, flooded := 0.0, 0.0, 0.0, 0
	for now := time.Duration(0); now < duration; now += step {
		for _, e := range endpoints {
			e.ends = slices.DeleteFunc(e.ends, func(end time.Duration) bool { return end <= now })
			busy := min(len(e.ends), regionSlots)
			for region := range e.reported {
				age := l.reportAge
				if region == e.region {
					age = ownReportAge
				}
				if now%age == 0 {
					e.reported[region] = regionReport{busy: busy, queued: len(e.ends) - busy, sent: make(map[int]int)}
				}
			}
			if l.perSecond(e.region, now) < regionCapacity && l.perSecond(e.region, now-2*time.Second) < regionCapacity {
				flooded = max(flooded, len(e.ends)-busy)
			}
		}
		for region := range 2 {
			for want := l.perSecond(region, now) * step.Seconds(); want > 0; want-- {
				if rng.Float64() >= want {
					continue
				}
				node := rng.IntN(regionNodes) + region*regionNodes
				var candidates []placement.Candidate
				var of []*regionEndpoint
				working := [2]int{l.endpoints(0, now), l.endpoints(1, now)}
				for n, e := range endpoints {
					if n/2 >= working[e.region] {
						continue
					}
					c := placement.Candidate{
						FailProbability: 0.01, Slots: regionSlots,
						Busy: e.reported[region].busy, Queued: e.reported[region].queued, SentSinceReport: e.reported[region].sent[node],
						ServiceTime: regionService, SinceStart: 100 * time.Millisecond, RoundTrip: time.Millisecond,
					}
					if e.region != region {
						c.OtherZone, c.OtherRegion, c.RoundTrip = true, true, 20*time.Millisecond
					}
					candidates, of = append(candidates, c), append(of, e)
				}
				r := placement.Request{
					TargetLatency: regionTarget, MedianServiceTime: regionService, Bytes: l.bytes, Traffic: l.traffic,
				}
				n, _ := placement.Choose(rng, r, candidates)
				e := of[n]
				e.reported[region].sent[node]++
				start := now
				if len(e.ends) >= regionSlots {
					start = slices.Sorted(slices.Values(e.ends))[len(e.ends)-regionSlots]
				}
				end := start + time.Duration(float64(regionService)*(0.5+rng.Float64()))
				e.ends = append(e.ends, end)
				all++
				if end-now <= regionTarget {
					onTime++
				}
				if e.region != region {
					left++
				}
			}
		}
	}
	return regionResult{onTime: onTime / all, left: left / all, flooded: flooded}
}

const regionCapacity = regionEndpoints * regionSlots / 0.4

var (
	everywhere = func(int, time.Duration) int { return regionEndpoints }
	priced     = placement.Traffic{Zone: 5 * time.Millisecond, Region: 50 * time.Millisecond}
	// barred lets hardly anything leave its region.
	barred = placement.Traffic{Zone: time.Minute, Region: time.Minute}
)

func steady(share float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return share * regionCapacity }
}

// Guards against traffic between regions that serves no caller: in calm, each region has room for its own requests.
func TestRequestsStayInTheirRegionInCalm(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, age := range []time.Duration{300 * time.Millisecond, time.Second} {
		l := regionLoad{perSecond: steady(0.6), endpoints: everywhere, bytes: 3000, reportAge: age}
		before := l.play()
		l.traffic = priced
		got := l.play()
		t.Logf("reports of %v: %.3f leave, on time %.4f; without the rule %.3f, %.4f", age, got.left, got.onTime, before.left, before.onTime)
		g.Expect(got.left).To(gomega.BeNumerically("<", 0.02))
		g.Expect(got.onTime).To(gomega.BeNumerically(">=", before.onTime-0.005))
	}
}

// Guards against callers who wait in a full region beside one with room, and against a region that is flooded by the other: the
// crest of the demand moves between the regions, where it is a third above what a region can serve.
func TestCrestsLeaveTheirRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	wave := func(region int, now time.Duration) float64 {
		if int(now/(6*time.Second))%2 == region {
			return 1.3 * regionCapacity
		}
		return 0.3 * regionCapacity
	}
	for _, age := range []time.Duration{300 * time.Millisecond, time.Second} {
		l := regionLoad{perSecond: wave, endpoints: everywhere, bytes: 3000, reportAge: age}
		free := l.play()
		l.traffic = barred
		stay := l.play()
		l.traffic = priced
		got := l.play()
		t.Logf("reports of %v: on time %.3f, %.3f leave, queue %d; free %.3f, %.3f, %d; barred %.3f, %.3f", age,
			got.onTime, got.left, got.flooded, free.onTime, free.left, free.flooded, stay.onTime, stay.left)
		g.Expect(got.onTime).To(gomega.BeNumerically(">=", free.onTime-0.01))
		g.Expect(got.onTime).To(gomega.BeNumerically(">", stay.onTime))
		g.Expect(got.left).To(gomega.BeNumerically("<", free.left))
		// A caller there may wait half of its target.
		g.Expect(got.flooded).To(gomega.BeNumerically("<=", regionTarget/2/regionService*regionSlots))
	}
}

// Guards against a region that keeps its requests although half of its endpoints are gone.
func TestRegionThatLosesEndpointsSendsTheRestAway(t *testing.T) {
	g := gomega.NewWithT(t)
	halved := func(region int, now time.Duration) int {
		if region == 0 && now > 5*time.Second {
			return regionEndpoints / 2
		}
		return regionEndpoints
	}
	l := regionLoad{perSecond: steady(0.65), endpoints: halved, bytes: 3000, reportAge: time.Second, traffic: barred}
	stay := l.play()
	l.traffic = priced
	got := l.play()
	t.Logf("on time %.3f, %.3f leave; barred %.3f", got.onTime, got.left, stay.onTime)
	g.Expect(got.onTime).To(gomega.BeNumerically(">=", 0.98))
	g.Expect(got.onTime).To(gomega.BeNumerically(">", stay.onTime+0.05))
	g.Expect(got.left).To(gomega.BeNumerically("<", 0.35))
}

// Guards against large answers that cross between regions while their callers would hardly wait at home.
func TestLargeAnswersStayInTheirRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	l := regionLoad{perSecond: steady(0.85), endpoints: everywhere, bytes: 90000, reportAge: 300 * time.Millisecond, traffic: priced}
	got := l.play()
	g.Expect(got.left).To(gomega.BeZero())
	g.Expect(got.onTime).To(gomega.BeNumerically(">=", 0.98))
}
