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

// world sends requests to the endpoints of one view in virtual time.
type world struct {
	d    *Detector
	rng  *rand.Rand
	now  time.Duration
	next uint64
	list []Endpoint
}

func newWorld(n, floor int, seed uint64) *world {
	w := &world{d: NewDetector("s", Settings{}), rng: rand.New(rand.NewPCG(seed, 7)), list: endpoints(n)}
	w.d.SetEndpoints(0, w.list, floor)
	return w
}

// request sends one request to a random endpoint, which the given function answers.
func (w *world) request(answer func(id string) (Kind, time.Duration)) []Transition {
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

func (w *world) send(id string, answer func(id string) (Kind, time.Duration)) []Transition {
	w.next++
	kind, latency := answer(id)
	w.d.Begin(w.now-latency, id, w.next, false)
	changes := w.d.End(w.now, id, w.next, kind, latency)
	return append(changes, w.d.Tick(w.now)...)
}

// healthy answers with an exponential latency.
func (w *world) healthy(string) (Kind, time.Duration) {
	return Success, time.Duration(float64(normalLatency) * (0.5 + w.rng.ExpFloat64()))
}

func (w *world) warm(requests int) {
	for range requests {
		w.request(w.healthy)
	}
}

// inPlace returns the slots that are available and not ejected in any of the views.
func inPlace(list []Endpoint, views ...*Detector) int {
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

// floorHolds states P1: ejections leave the floor, or all available slots if those do not reach it.
func floorHolds(t *rapid.T, list []Endpoint, floor int, views ...*Detector) {
	total, available := 0, 0
	for _, e := range list {
		total += e.Slots
		if !e.Unavailable && !e.Cold {
			available += e.Slots
		}
	}
	need := min((total*floor+99)/100, available)
	if got := inPlace(list, views...); got < need {
		t.Fatalf("%d slots in place, %d needed", got, need)
	}
}

// Guards against P1: views with independent evidence that together eject more than the floor allows, also while
// endpoints become unavailable, the service shrinks, the floor rises, and when all endpoints look sick.
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
			"sick": func(t *rapid.T) {
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
			"all sick": func(t *rapid.T) {
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
			"": func(t *rapid.T) { floorHolds(t, list, floor, views...) },
		})
	})
}

// Guards against a service that slows down as a whole, by which endpoints would be ejected.
func TestEqualSlowdownEjectsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 20).Draw(t, "endpoints")
		factor := rapid.Float64Range(1, 30).Draw(t, "factor")
		w := newWorld(n, 0, rapid.Uint64().Draw(t, "seed"))
		w.warm(100 * n)
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
		w := newWorld(n, 0, rapid.Uint64().Draw(t, "seed"))
		fails := rapid.Bool().Draw(t, "fails")
		w.warm(100 * n)
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

// Guards against ejection on few samples: three bad outcomes, or old ones that add up over hours.
func TestFewSamplesDoNotEject(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
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

// Guards against one long request among short ones that counts as a stall.
func TestOneLongRequestIsNoStall(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
	w.d.Begin(w.now, "e0", 1<<40, false)
	w.d.Begin(w.now, "e1", 1<<41, true)
	for range 2000 {
		w.request(w.healthy)
		g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
		g.Expect(w.d.View(w.now, "e1").State).To(gomega.Equal(Healthy))
	}
}

// Guards against a stalled endpoint that is noticed only when its requests time out.
func TestOpenRequestsEject(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.warm(100)
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Ejected))
}

// Guards against a flapping endpoint that returns as quickly each time, and one that is held off for ever.
func TestHoldOffGrowsWithFlapsAndDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(6, 0, 1)
	w.warm(600)
	e := w.d.byID["e0"]
	last := time.Duration(0)
	for range 5 {
		e.fire(triggerDoubt)
		w.d.move(nil, w.now, e, triggerEject, ReasonEvidence)
		hold := e.until - w.now
		g.Expect(hold).To(gomega.BeNumerically(">", last))
		last = hold
		for e.state != Healthy {
			w.request(w.healthy)
		}
	}
	w.now += 100 * forgiveAfter * last
	for range 10 {
		w.now += forgiveAfter * last
		w.d.Tick(w.now)
	}
	g.Expect(e.flaps).To(gomega.BeZero())
	g.Expect(e.busy()).To(gomega.BeFalse(), "still looked at by each Tick")
}

// Guards against probes to non-healthy endpoints more often than the interval, or several at a time.
func TestProbesAreSpacedAndSingle(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(6, 0, 1)
	w.warm(600)
	w.d.byID["e0"].fire(triggerDoubt)
	w.d.byID["e0"].state = Probation
	g.Expect(w.d.ReserveProbe(w.now, "e0")).To(gomega.BeTrue())
	w.d.Begin(w.now, "e0", 1<<40, false)
	g.Expect(w.d.ReserveProbe(w.now+time.Hour, "e0")).To(gomega.BeFalse(), "second probe while one is open")
	w.d.End(w.now+normalLatency, "e0", 1<<40, Success, normalLatency)
	g.Expect(w.d.ReserveProbe(w.now+2*normalLatency, "e0")).To(gomega.BeFalse(), "probe within the interval")
	g.Expect(w.d.ReserveProbe(w.now+DefaultProbeInterval, "e0")).To(gomega.BeTrue())
}

// Guards against ejection by failures to which no outcome of a peer can be compared.
func TestNoPeersNoEjection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(6, 0, 1)
	for range 8 {
		w.send("e0", func(string) (Kind, time.Duration) { return Failure, normalLatency })
	}
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Suspect))
}

// Guards against an owner's stall report that ejects while the whole service is slow, or is ignored while it is not.
func TestOwnerReportCountsOnlyWhilePeersAreGood(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
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

// Guards against an owner that reports a stall although its backend server answers, or misses one whose requests were
// given up by their callers.
func TestStallScoreNeedsSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1, 100, 1)
	w.warm(200)
	for i := range uint64(3) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.now += time.Second
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeNumerically(">=", DefaultStallScore))
	for i := range uint64(3) {
		w.d.End(w.now, "e0", 1<<40+i, Timeout, time.Second)
	}
	g.Expect(w.d.Stalled(w.now, "e0")).To(gomega.BeTrue(), "requests given up by their callers")
	for i := range uint64(3) {
		w.d.Begin(w.now, "e0", 1<<41+i, false)
	}
	w.now += time.Second
	w.send("e0", w.healthy)
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeZero(), "while it answers")
}

// Guards against a cold endpoint that is ejected because it is slow, as cold endpoints are, in its
// own requests or in the report of its owner.
func TestColdEndpointIsNotJudgedBySlowness(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
	w.d.SetAvailability(w.now, "e0", false, true)
	g.Expect(w.d.View(w.now, "e0").Weight).To(gomega.BeNumerically("<", 0.1), "share of a cold endpoint")
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.d.RecordOwnerScore(w.now, "e0", DefaultStallScore)
	for range 20 {
		w.warm(20)
		w.send("e0", func(string) (Kind, time.Duration) { return Success, 10 * normalLatency })
	}
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
}

// Guards against a pause of the process that counts as a stall of the endpoint whose requests were open.
func TestPauseIsNoStall(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(10, 0, 1)
	w.warm(1000)
	for i := range uint64(5) {
		w.d.Begin(w.now, "e0", 1<<40+i, false)
	}
	w.now += 10 * time.Second
	w.d.RecordPause(w.now, 10*time.Second)
	w.warm(2)
	g.Expect(w.d.View(w.now, "e0").State).To(gomega.Equal(Healthy))
	g.Expect(w.d.StallScore(w.now, "e0")).To(gomega.BeZero())
}

// BenchmarkDecision measures one routing decision with its health views, by the number of endpoints of the service.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		w := newWorld(n, 50, 1)
		w.warm(1000)
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
	w := newWorld(1000, 50, 1)
	w.warm(10_000)
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

// BenchmarkSetEndpoints measures the adoption of a configuration; its allocations are the memory of the endpoints.
func BenchmarkSetEndpoints(b *testing.B) {
	list := endpoints(10_000)
	b.ReportAllocs()
	for b.Loop() {
		NewDetector("s", Settings{}).SetEndpoints(0, list, 50)
	}
}
