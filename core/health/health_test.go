package health

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/balance"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const normalLatency = 20 * time.Millisecond

// endpoints returns n endpoints of 3 slots in 3 zones.
func endpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: fmt.Sprintf("e%d", i), Slots: 3, Zone: fmt.Sprintf("z%d", i%3)}
	}
	return list
}

// simulation sends requests to the endpoints of one detector in virtual time.
type simulation struct {
	d    *Detector
	rng  *rand.Rand
	now  time.Duration
	next uint64
	list []Endpoint
}

func newSimulation(n, floor int, seed uint64) *simulation {
	w := &simulation{d: NewDetector("s", Settings{}), rng: rand.New(rand.NewPCG(seed, 7)), list: endpoints(n)}
	w.d.SetEndpoints(0, w.list, floor)
	return w
}

// request advances the time by 5 ms and sends one request, either a probe that is due or to a random endpoint. The
// given function answers it.
func (w *simulation) request(answer func(id string) (Kind, time.Duration)) []Transition {
	w.now += 5 * time.Millisecond
	id := w.list[w.rng.IntN(len(w.list))].ID
	if p, ok := w.d.ReserveNextProbe(w.now); ok {
		id = p
	}
	if w.d.View(w.now, id).Weight == 0 && w.d.byID[id].state != Probation {
		return w.d.Tick(w.now)
	}
	return w.send(id, answer)
}

func (w *simulation) send(id string, answer func(id string) (Kind, time.Duration)) []Transition {
	w.next++
	kind, latency := answer(id)
	w.d.Begin(w.now-latency, id, w.next, false)
	changes := w.d.End(w.now, id, w.next, kind, latency)
	return append(changes, w.d.Tick(w.now)...)
}

// healthy answers successfully, with a latency of half of normalLatency and an exponentially distributed part.
func (w *simulation) healthy(string) (Kind, time.Duration) {
	return Success, time.Duration(float64(normalLatency) * (0.5 + w.rng.ExpFloat64()))
}

func (w *simulation) fillBaselines(requests int) {
	for range requests {
		w.request(w.healthy)
	}
}

// slotsInRotation returns the number of slots that are available and neither ejected nor on probation in any of the
// views.
func slotsInRotation(list []Endpoint, views ...*Detector) int {
	slots := 0
	for _, e := range list {
		if e.Unavailable || e.Cold {
			continue
		}
		out := false
		for _, d := range views {
			state := d.byID[e.ID].state
			out = out || state == Ejected || state == Probation
		}
		if !out {
			slots += e.Slots
		}
	}
	return slots
}

// checkFloor checks that ejections by the views together leave at least the floor, or all available slots if these do
// not reach it.
func checkFloor(t *rapid.T, list []Endpoint, floor int, views ...*Detector) {
	total, available := 0, 0
	for _, e := range list {
		total += e.Slots
		if !e.Unavailable && !e.Cold {
			available += e.Slots
		}
	}
	need := min((total*floor+99)/100, available)
	if got := slotsInRotation(list, views...); got < need {
		t.Fatalf("%d slots in rotation, the floor needs %d", got, need)
	}
}

// Guards against several detectors of one service (views) that together eject more endpoints than the floor allows. Each
// has its own evidence; in the meantime endpoints become unavailable, the service shrinks, the floor changes, or all
// endpoints fail.
func TestUnionOfViewsKeepsTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := endpoints(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		floor := rapid.IntRange(0, 100).Draw(t, "floor")
		views := make([]*Detector, rapid.IntRange(1, 4).Draw(t, "views"))
		for i := range views {
			views[i] = NewDetector("s", Settings{})
		}
		now := time.Duration(0)
		configure := func() {
			for i, d := range views {
				own := slices.Clone(list)
				if i%2 == 1 {
					// Views may read the endpoints in different orders.
					slices.Reverse(own)
				}
				d.SetEndpoints(now, own, floor)
			}
		}
		configure()
		number := uint64(0)
		evidence := func(d *Detector, id string, kind Kind) {
			number++
			d.Begin(now, id, number, false)
			d.End(now, id, number, kind, normalLatency)
		}
		t.Repeat(map[string]func(*rapid.T){
			"single endpoint fails": func(t *rapid.T) {
				d := rapid.SampledFrom(views).Draw(t, "view")
				e := rapid.SampledFrom(list).Draw(t, "endpoint")
				for range 12 {
					for _, peer := range list {
						evidence(d, peer.ID, Success)
					}
					evidence(d, e.ID, Failure)
					evidence(d, e.ID, Failure)
				}
			},
			"all fail": func(t *rapid.T) {
				d := rapid.SampledFrom(views).Draw(t, "view")
				for _, e := range list {
					d.RecordOwnerScore(now, e.ID, 50)
				}
				for range 12 {
					for _, e := range list {
						evidence(d, e.ID, Timeout)
					}
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond
				for _, d := range views {
					d.Tick(now)
				}
			},
			"availability": func(t *rapid.T) {
				i := rapid.IntRange(0, len(list)-1).Draw(t, "endpoint")
				list[i].Unavailable = rapid.Bool().Draw(t, "unavailable")
				list[i].Cold = rapid.Bool().Draw(t, "cold")
				for _, d := range views {
					d.SetAvailability(now, list[i].ID, list[i].Unavailable, list[i].Cold)
				}
			},
			"shrink": func(t *rapid.T) {
				if len(list) > 1 {
					list = list[:len(list)-1]
				}
				configure()
			},
			"floor": func(t *rapid.T) {
				floor = rapid.IntRange(0, 100).Draw(t, "floor")
				configure()
			},
			"": func(t *rapid.T) { checkFloor(t, list, floor, views...) },
		})
	})
}

// Guards against ejections when the whole service becomes equally slow.
func TestEqualSlowdownEjectsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 20).Draw(t, "endpoints")
		factor := rapid.Float64Range(1, 30).Draw(t, "factor")
		w := newSimulation(n, 0, rapid.Uint64().Draw(t, "seed"))
		w.fillBaselines(100 * n)
		slow := func(id string) (Kind, time.Duration) {
			kind, latency := w.healthy(id)
			return kind, time.Duration(factor * float64(latency))
		}
		for range 100 * n {
			for _, c := range w.request(slow) {
				if c.To == Ejected {
					t.Fatalf("ejected %+v", c)
				}
			}
		}
	})
}

// Guards against an endpoint that stays in rotation although all its requests fail or take ten times as long.
func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		n := rapid.IntRange(4, 20).Draw(t, "endpoints")
		w := newSimulation(n, 0, rapid.Uint64().Draw(t, "seed"))
		fails := rapid.Bool().Draw(t, "fails")
		w.fillBaselines(100 * n)
		faulty := w.list[0].ID
		answer := func(id string) (Kind, time.Duration) {
			kind, latency := w.healthy(id)
			if id != faulty {
				return kind, latency
			}
			if fails {
				return Failure, latency
			}
			return kind, 10 * latency
		}
		for range 200 * n {
			w.request(answer)
		}
		g.Expect(w.d.View(w.now, faulty).Weight).To(gomega.BeNumerically("<", 0.5), "still in rotation")
		for i := 0; i < 20_000 && w.d.View(w.now, faulty).State != Healthy; i++ {
			w.request(w.healthy)
		}
		g.Expect(w.d.View(w.now, faulty).State).To(gomega.Equal(Healthy), "not returned")
	})
}

// Guards against ejection on too little evidence: three failures, or failures a minute apart that add up.
func TestFewSamplesDoNotEject(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	fail := func(string) (Kind, time.Duration) { return Failure, normalLatency }
	for range 3 {
		w.send("e0", fail)
	}
	g.Expect(w.d.View(w.now, "e0").State).NotTo(gomega.Equal(Ejected))
	for range 200 {
		w.now += time.Minute
		w.send("e1", fail)
		g.Expect(w.d.View(w.now, "e1").State).To(gomega.Equal(Healthy))
	}
}

// Guards against counting a single open request that lasts long as a stall.
func TestOneLongRequestIsNoStall(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	w.d.Begin(w.now, "e0", 1<<40, false)
	w.d.Begin(w.now, "e1", 1<<41, true)
	for range 2000 {
		w.request(w.healthy)
		g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
		g.Expect(w.d.View(w.now, "e1").State).To(gomega.Equal(Healthy))
	}
}

// Guards against detecting a stalled endpoint only when its requests time out.
func TestOpenRequestsEject(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.fillBaselines(100)
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Ejected))
}

// Guards against a hold-off time that does not grow with repeated ejections of a flapping endpoint, and one that never
// shrinks again after a long healthy time.
func TestHoldOffGrowsWithFlapsAndDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(6, 0, 1)
	w.fillBaselines(600)
	e := w.d.byID["e0"]
	last := time.Duration(0)
	for range 5 {
		e.fire(triggerSuspect)
		w.d.transition(nil, w.now, e, triggerEject, ReasonEvidence)
		hold := e.holdOffEnd - w.now
		g.Expect(hold).To(gomega.BeNumerically(">", last))
		last = hold
		for e.state != Healthy {
			w.request(w.healthy)
		}
	}
	w.now += 100 * forgiveHoldOffs * last
	for range 10 {
		w.now += forgiveHoldOffs * last
		w.d.Tick(w.now)
	}
	g.Expect(e.flaps).To(gomega.BeZero())
	g.Expect(e.needsTick()).To(gomega.BeFalse(), "still processed by each Tick")
}

// Guards against probes of one endpoint that are sent more often than the probe interval allows, or several at a time.
func TestProbesAreSpacedAndSingle(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(6, 0, 1)
	w.fillBaselines(600)
	w.d.byID["e0"].fire(triggerSuspect)
	w.d.byID["e0"].state = Probation
	g.Expect(w.d.ReserveProbe(w.now, "e0")).To(gomega.BeTrue())
	w.d.Begin(w.now, "e0", 1<<40, false)
	g.Expect(w.d.ReserveProbe(w.now+time.Hour, "e0")).To(gomega.BeFalse(), "second probe while one is open")
	w.d.End(w.now+normalLatency, "e0", 1<<40, Success, normalLatency)
	g.Expect(w.d.ReserveProbe(w.now+2*normalLatency, "e0")).To(gomega.BeFalse(), "probe within the interval")
	g.Expect(w.d.ReserveProbe(w.now+DefaultProbeInterval, "e0")).To(gomega.BeTrue())
}

// Guards against ejection for failures when there are no outcomes of peers to compare them with.
func TestNoPeersNoEjection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(6, 0, 1)
	for range 8 {
		w.send("e0", func(string) (Kind, time.Duration) { return Failure, normalLatency })
	}
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Suspect))
}

// Guards against an ejection for an owner's stall score while the whole service is slow, and against ignoring the score
// while it is not.
func TestOwnerReportCountsOnlyWhilePeersAreGood(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	w.d.RecordOwnerScore(w.now, "e0", DefaultStallScore)
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Ejected))
	slow := func(id string) (Kind, time.Duration) {
		kind, latency := w.healthy(id)
		return kind, 5 * latency
	}
	for range 60 {
		w.request(slow)
	}
	w.d.RecordOwnerScore(w.now, "e1", DefaultStallScore)
	g.Expect(w.d.View(w.now, "e1").State).To(gomega.Equal(Healthy))
}

// Guards against a stall score for a backend server that still answers, and against none for a stalled one after its
// open requests have timed out.
func TestStallScoreNeedsSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(1, 100, 1)
	w.fillBaselines(200)
	for i := range uint64(3) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.now += time.Second
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeNumerically(">=", DefaultStallScore))
	for i := range uint64(3) {
		w.d.End(w.now, "e0", 1<<40+i, Timeout, time.Second)
	}
	g.Expect(w.d.Stalled(w.now, "e0")).To(gomega.BeTrue(), "requests timed out")
	for i := range uint64(3) {
		w.d.Begin(w.now, "e0", 1<<41+i, false)
	}
	w.now += time.Second
	w.send("e0", w.healthy)
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeZero(), "while it answers")
}

// Guards against ejecting a cold endpoint for slow answers, open requests or its owner's stall score: slow answers are
// expected of a cold endpoint.
func TestColdEndpointIsNotJudgedBySlowness(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	w.d.SetAvailability(w.now, "e0", false, true)
	g.Expect(w.d.View(w.now, "e0").Weight).To(gomega.BeNumerically("<", 0.1), "share of a cold endpoint")
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.d.RecordOwnerScore(w.now, "e0", DefaultStallScore)
	for range 20 {
		w.fillBaselines(20)
		w.send("e0", func(string) (Kind, time.Duration) { return Success, 10 * normalLatency })
	}
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
}

// Guards against counting a pause of this process as a stall of an endpoint that had open requests.
func TestPauseIsNoStall(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(10, 0, 1)
	w.fillBaselines(1000)
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.now += 10 * time.Second
	w.d.RecordPause(w.now, 10*time.Second)
	w.fillBaselines(2)
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeZero())
}

// BenchmarkDecision measures one routing decision, including the views of the candidates, by the number of endpoints of
// the service.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		w := newSimulation(n, 50, 1)
		w.fillBaselines(1000)
		at := func(i int) balance.Candidate {
			v := w.d.View(w.now, w.list[i].ID)
			return balance.Candidate{Slots: 3, Weight: v.Weight, LastResort: v.LastResort}
		}
		source := balance.Source{Local: n / 3, Total: n, At: at}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.d.ReserveNextProbe(w.now)
				balance.ChooseFrom(w.rng, balance.Settings{}, source, balance.Request{})
			}
		})
	}
}

// BenchmarkRequest measures the cost of recording one request.
func BenchmarkRequest(b *testing.B) {
	w := newSimulation(1000, 50, 1)
	w.fillBaselines(10_000)
	b.ReportAllocs()
	for b.Loop() {
		w.next++
		id := w.list[w.next%1000].ID
		w.now += time.Millisecond
		w.d.Begin(w.now-normalLatency, id, w.next, false)
		w.d.End(w.now, id, w.next, Success, normalLatency)
		if w.next%100 == 0 {
			w.d.Tick(w.now)
		}
	}
}

// BenchmarkSetEndpoints measures the time and the memory to set up the endpoints of a new configuration.
func BenchmarkSetEndpoints(b *testing.B) {
	list := endpoints(10_000)
	b.ReportAllocs()
	for b.Loop() {
		NewDetector("s", Settings{}).SetEndpoints(0, list, 50)
	}
}
