package admission

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// far is a deadline that every request meets.
const far = time.Hour

// Guards against more running requests than slots, long requests in reserved slots, a request that runs at the same time as
// an exclusive one, a queue longer than its limit, and requests that are lost or run twice.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Slots:       rapid.IntRange(1, 5).Draw(t, "slots"),
			QueueLimit:  rapid.IntRange(0, 8).Draw(t, "limit"),
			LongReserve: rapid.IntRange(0, 2).Draw(t, "reserve"),
		}
		q := New(s)
		now := time.Duration(0)
		queued, busy := map[string]Item{}, map[string]Item{}
		run := func(i Item) {
			if _, twice := busy[i.ID]; twice {
				t.Fatalf("%s runs twice", i.ID)
			}
			if i.Deadline <= now {
				t.Fatalf("%s runs after its deadline", i.ID)
			}
			delete(queued, i.ID)
			busy[i.ID] = i
		}
		number := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				number++
				item := Item{
					ID:        fmt.Sprint(number),
					Long:      rapid.Bool().Draw(t, "long"),
					Exclusive: rapid.IntRange(0, 5).Draw(t, "exclusive") == 0,
					Deadline:  now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond,
				}
				switch q.Offer(now, item).Verdict {
				case Run:
					run(item)
				case Queued:
					queued[item.ID] = item
				}
			},
			"done": func(t *rapid.T) {
				for id := range busy {
					delete(busy, id)
					q.Done(now, id, time.Duration(rapid.IntRange(-1, 300).Draw(t, "ms"))*time.Millisecond)
					break
				}
			},
			"next": func(*rapid.T) {
				for _, i := range q.Next(now) {
					run(i)
				}
			},
			"expire": func(*rapid.T) {
				for _, i := range q.Expire(now) {
					if _, ok := queued[i.ID]; !ok {
						t.Fatalf("%s expired but was not queued", i.ID)
					}
					delete(queued, i.ID)
				}
			},
			"cancel": func(*rapid.T) {
				for id := range queued {
					if q.Cancel(id) {
						delete(queued, id)
					}
					break
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			},
			"": func(*rapid.T) { checkInvariants(t, q, s, queued, busy) },
		})
	})
}

func checkInvariants(t *rapid.T, q *Queue, s Settings, queued, busy map[string]Item) {
	long, exclusive := 0, 0
	for _, i := range busy {
		if i.Long {
			long++
		}
		if i.Exclusive {
			exclusive++
		}
	}
	load := q.Load()
	switch {
	case len(busy) > s.Slots, load.Busy != len(busy):
		t.Fatalf("%d requests run, %d reported as running, %d slots", len(busy), load.Busy, s.Slots)
	case long > max(1, s.Slots-s.LongReserve):
		t.Fatalf("%d long requests run", long)
	case exclusive > 0 && len(busy) > 1:
		t.Fatalf("%d requests run at the same time as an exclusive one", len(busy)-1)
	case load.Queued > s.QueueLimit:
		t.Fatalf("%d queued, limit %d", load.Queued, s.QueueLimit)
	case load.Queued+len(q.expired) != len(queued):
		t.Fatalf("%d requests reported as queued and %d expired, %d expected in total", load.Queued, len(q.expired), len(queued))
	}
}

// Guards against short requests that wait for long ones, and a request that runs before another with an earlier deadline.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 1, QueueLimit: 8})
	q.Offer(0, Item{ID: "running", Deadline: far})
	q.Offer(0, Item{ID: "long", Long: true, Deadline: far / 4})
	q.Offer(0, Item{ID: "late", Deadline: far})
	q.Offer(0, Item{ID: "early", Deadline: far / 2})
	for _, want := range []string{"early", "late", "long"} {
		for id := range q.running {
			q.Done(0, id, time.Millisecond)
		}
		started := q.Next(0)
		g.Expect(started).To(gomega.HaveLen(1))
		g.Expect(started[0].ID).To(gomega.Equal(want))
	}
}

// Guards against queueing a request that would expire in the queue, and against starting one after its deadline.
func TestRefusesWhatWouldWaitTooLong(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 1, QueueLimit: 8})
	q.Offer(0, Item{ID: "a", Deadline: far})
	q.Done(0, "a", 100*time.Millisecond)
	q.Offer(0, Item{ID: "b", Deadline: far})
	g.Expect(q.Offer(0, Item{ID: "c", Deadline: 50 * time.Millisecond}).Reason).To(gomega.Equal(ReasonDeadline))
	g.Expect(q.Offer(0, Item{ID: "d", Deadline: 500 * time.Millisecond}).Verdict).To(gomega.Equal(Queued))
	q.Done(time.Second, "b", -1)
	g.Expect(q.Next(time.Second)).To(gomega.BeEmpty())
	g.Expect(q.Expire(time.Second)).To(gomega.HaveLen(1))
}

// Guards against refusing a request as late or busy at an endpoint whose many slots are all busy, although one of them is
// expected to be free after a fraction of the service time.
func TestExpectedWaitFollowsTheSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	const usual = 800 * time.Millisecond
	q := New(Settings{Slots: 10, QueueLimit: 20})
	for n := range 11 {
		q.Offer(0, Item{ID: fmt.Sprint("warm", n), Deadline: far})
		q.Done(0, fmt.Sprint("warm", n), usual)
	}
	for n := range 10 {
		g.Expect(q.Offer(0, Item{ID: fmt.Sprint("run", n), Deadline: far}).Verdict).To(gomega.Equal(Run))
	}
	now := usual / 2
	g.Expect(q.Offer(now, Item{ID: "tight", Deadline: now + usual + 100*time.Millisecond}).Verdict).To(gomega.Equal(Queued))
	g.Expect(q.Offer(now, Item{ID: "patient", Deadline: far, MaxWait: usual / 4}).Verdict).To(gomega.Equal(Queued))
	g.Expect(q.Offer(now, Item{ID: "impatient", Deadline: far, MaxWait: usual / 8}).Reason).To(gomega.Equal(ReasonBusy))
	// Requests that have run for much longer than usual are expected to occupy their slots for some time.
	g.Expect(q.Offer(4*usual, Item{ID: "stuck", Deadline: far, MaxWait: usual}).Reason).To(gomega.Equal(ReasonBusy))
}

// Guards against exclusive requests that starve the others, or are starved by them.
func TestAloneRequestsAndOthersBothProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 2, QueueLimit: 8})
	exclusiveRuns, otherRuns := 0, 0
	ends := map[string]time.Duration{}
	for i := range 400 {
		now := time.Duration(i) * 25 * time.Millisecond
		for id, end := range ends {
			if now >= end {
				delete(ends, id)
				q.Done(now, id, 50*time.Millisecond)
			}
		}
		var started []Item
		for _, item := range []Item{{ID: fmt.Sprint("a", i), Exclusive: true, Deadline: far}, {ID: fmt.Sprint("o", i), Deadline: far}} {
			if q.Offer(now, item).Verdict == Run {
				started = append(started, item)
			}
		}
		for _, item := range append(started, q.Next(now)...) {
			ends[item.ID] = now + 50*time.Millisecond
			if item.Exclusive {
				exclusiveRuns++
			} else {
				otherRuns++
			}
		}
	}
	g.Expect(exclusiveRuns).To(gomega.BeNumerically(">=", 5))
	g.Expect(otherRuns).To(gomega.BeNumerically(">=", 100))
}

// Guards against a draining endpoint that accepts new requests or drops queued ones.
func TestDrainRefusesNewAndKeepsQueued(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 1, QueueLimit: 4})
	q.Offer(0, Item{ID: "a", Deadline: far})
	q.Offer(0, Item{ID: "b", Deadline: far})
	q.Drain()
	g.Expect(q.Offer(0, Item{ID: "c", Deadline: far}).Reason).To(gomega.Equal(ReasonLeaving))
	q.Done(0, "a", time.Millisecond)
	g.Expect(q.Next(0)).To(gomega.HaveLen(1))
}

// Guards against queueing a request for longer than its MaxWait, after which its sender would try another endpoint.
func TestMaxWaitRefusesAsBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 1, QueueLimit: 8})
	q.Offer(0, Item{ID: "a", Deadline: far})
	q.Done(0, "a", 100*time.Millisecond)
	q.Offer(0, Item{ID: "b", Deadline: far, MaxWait: time.Millisecond})
	g.Expect(q.Load().Busy).To(gomega.Equal(1), "a free slot is taken")
	g.Expect(q.Offer(0, Item{ID: "c", Deadline: far, MaxWait: time.Millisecond}).Reason).To(gomega.Equal(ReasonBusy))
	g.Expect(q.Offer(0, Item{ID: "d", Deadline: far, MaxWait: time.Second}).Verdict).To(gomega.Equal(Queued))
}

// Guards against a request that waits until its deadline at a saturated endpoint, because more urgent requests keep
// overtaking it. It must be refused while another endpoint can still be tried, and the urgent ones must run.
func TestOvertakenRequestsAreRefusedEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		service  = 300 * time.Millisecond
		deadline = 2500 * time.Millisecond
	)
	q := New(Settings{Slots: 1, QueueLimit: 4})
	g.Expect(q.Offer(0, Item{ID: "first", Deadline: far})).To(gomega.Equal(Decision{Verdict: Run}))
	running := "first"
	refusedAt := time.Duration(0)
	for now := time.Duration(0); now < deadline; now += service / 10 {
		if now%service == 0 && now > 0 {
			q.Done(now, running, service)
			if now == service {
				g.Expect(q.Offer(now, Item{ID: "patient", Priority: 2, Deadline: now + deadline}).Verdict).To(gomega.Equal(Run))
				running = "patient"
				g.Expect(q.Offer(now, Item{ID: "overtaken", Priority: 2, Deadline: now + deadline}).Verdict).To(gomega.Equal(Queued))
			}
			for _, i := range q.Next(now) {
				running = i.ID
			}
			for n := range 2 {
				q.Offer(now, Item{ID: fmt.Sprint("urgent", now, n), Priority: 1, Deadline: now + deadline})
			}
		}
		for _, i := range q.Expire(now) {
			if i.ID == "overtaken" {
				refusedAt = now
			}
		}
	}
	g.Expect(refusedAt).To(gomega.BeNumerically(">", service))
	g.Expect(refusedAt).To(gomega.BeNumerically("<", service+deadline*3/4))
	g.Expect(running).To(gomega.ContainSubstring("urgent"))
}

// Guards against requests that wait until their deadline at an endpoint that has not answered any request yet. The refusal
// would then arrive after the deadline, and the caller would not know that the request was not run.
func TestRefusesInTimeBeforeServiceTimesAreKnown(t *testing.T) {
	const assumed, deadline = 150 * time.Millisecond, 400 * time.Millisecond
	q := New(Settings{Slots: 1, QueueLimit: 4, AssumedServiceTime: assumed})
	if d := q.Offer(0, Item{ID: "running", Deadline: time.Hour}); d.Verdict != Run {
		t.Fatalf("first request: %+v", d)
	}
	if d := q.Offer(0, Item{ID: "waits", Deadline: deadline}); d.Verdict != Queued {
		t.Fatalf("second request: %+v", d)
	}
	if d := q.Offer(0, Item{ID: "too-late", Deadline: assumed}); d.Verdict != Refused || d.Reason != ReasonDeadline {
		t.Fatalf("request that cannot be finished in time: %+v", d)
	}
	late := deadline - assumed
	if started := q.Next(late); len(started) != 0 {
		t.Fatalf("started %v although no slot is free", started)
	}
	if expired := q.Expire(late); len(expired) != 1 || expired[0].ID != "waits" {
		t.Fatalf("expired at %v: %v", late, expired)
	}
}

// Guards against lost capacity and late refusals at an endpoint that receives one and a half times the requests that it can
// serve. MaxWait is the wait with which a request still meets its target latency. Nearly all served requests must meet it,
// and refused ones must be refused without waiting.
func TestOverloadServesInTimeAndRefusesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		slots    = 4
		service  = 300 * time.Millisecond
		target   = 1200 * time.Millisecond
		deadline = 2500 * time.Millisecond
		every    = service / slots * 2 / 3
		length   = 20 * time.Second
	)
	q := New(Settings{Slots: slots, QueueLimit: 3 * slots})
	arrived, ends := map[string]time.Duration{}, map[string]time.Duration{}
	served, inTime, late := 0, 0, 0
	start := func(now time.Duration, id string) { ends[id] = now + service }
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for id, end := range ends {
			if end <= now {
				delete(ends, id)
				q.Done(now, id, service)
				served++
				if now-arrived[id] <= target {
					inTime++
				}
			}
		}
		for _, i := range q.Next(now) {
			start(now, i.ID)
		}
		for _, i := range q.Expire(now) {
			if now-arrived[i.ID] > target/8 {
				late++
			}
		}
		if now%every == 0 {
			id := fmt.Sprint(now)
			arrived[id] = now
			if q.Offer(now, Item{ID: id, Deadline: now + deadline, MaxWait: target - service}).Verdict == Run {
				start(now, id)
			}
		}
	}
	capacity := float64(length) / float64(service) * slots
	g.Expect(float64(served)).To(gomega.BeNumerically(">", 0.95*capacity))
	g.Expect(float64(inTime)).To(gomega.BeNumerically(">", 0.95*float64(served)))
	g.Expect(late).To(gomega.BeNumerically("<", served/100))
}

// Guards against more starts than a limit on the rate allows, against waiting requests that are not started although the limit
// has room, and against less urgent requests that use it up.
func TestLimitPacesTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 3, QueueLimit: 9})
	q.SetLimit(0, 2)
	now := time.Duration(0)
	var started []Item
	offer := func(id string, priority int, wait time.Duration) Decision {
		return q.Offer(now, Item{ID: id, Priority: priority, Deadline: now + wait})
	}
	g.Expect(offer("a", 1, 3*time.Second).Verdict).To(gomega.Equal(Queued))
	g.Expect(offer("b", 1, 3*time.Second).Wait).To(gomega.Equal(time.Second))
	g.Expect(offer("urgent", 0, 3*time.Second).Wait).To(gomega.Equal(500 * time.Millisecond))
	late := offer("late", 2, time.Second)
	g.Expect(late.Verdict).To(gomega.Equal(Refused))
	g.Expect(late.Reason).To(gomega.Equal(ReasonLimited))
	busy := q.Offer(now, Item{ID: "busy", MaxWait: time.Millisecond, Deadline: far})
	g.Expect(busy.Reason).To(gomega.Equal(ReasonLimited))
	g.Expect(q.Credit(now)).To(gomega.Equal(-3.0))
	until, held := q.UntilStart(now)
	g.Expect(held).To(gomega.BeTrue())
	g.Expect(until).To(gomega.Equal(500 * time.Millisecond))
	for ; now <= 2*time.Second; now += 50 * time.Millisecond {
		for _, item := range q.Next(now) {
			started = append(started, item)
			g.Expect(now).To(gomega.BeNumerically("~", time.Duration(len(started))*500*time.Millisecond, 50*time.Millisecond))
			q.Done(now, item.ID, 10*time.Millisecond)
		}
		g.Expect(q.Expire(now)).To(gomega.BeEmpty())
	}
	g.Expect(started).To(gomega.HaveLen(3))
	g.Expect(started[0].ID).To(gomega.Equal("urgent"))
	q.Unlimit()
	g.Expect(offer("free", 1, 3*time.Second).Verdict).To(gomega.Equal(Run))
}

// Guards against requests that wait until their deadline behind others that overtake them although slots are free.
func TestOvertakenRequestsAreRefusedUnderALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Settings{Slots: 3, QueueLimit: 9})
	q.SetLimit(0, 1)
	g.Expect(q.Offer(0, Item{ID: "a", Priority: 1, Deadline: 1500 * time.Millisecond}).Verdict).To(gomega.Equal(Queued))
	g.Expect(q.Offer(0, Item{ID: "urgent", Deadline: 3 * time.Second}).Verdict).To(gomega.Equal(Queued))
	g.Expect(q.Next(10 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(q.Expire(10 * time.Millisecond)).To(gomega.ConsistOf(gomega.HaveField("ID", "a")))
}
