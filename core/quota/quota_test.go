package quota

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
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
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const step = 5 * time.Millisecond

// fleet plays nodes that exchange messages over a network whose faults the test decides.
type fleet struct {
	now   time.Duration
	nodes map[string]*member
	// hosts are the registered hosts as each node knows them.
	hosts map[string][]string
	// delay returns the time that a message takes, or false if it is lost.
	delay    func(from, to string) (time.Duration, bool)
	transit  []delivery
	admitted map[string][]time.Duration
	verdicts map[string]map[Verdict]int
	sent     int
	received map[string]int
	starts   uint64
}

type member struct {
	*Node
	name string
	// Until pausedUntil, the node does nothing, and its messages wait.
	pausedUntil time.Duration
	waiting     map[uint64]string // workspaces by ticket
}

type delivery struct {
	at time.Duration
	to string
	// process is the incarnation that the message is for, or 0 for whichever runs when it arrives.
	from string
	Message
}

func newFleet(names []string, delay func(from, to string) (time.Duration, bool)) *fleet {
	f := &fleet{
		now: time.Minute, nodes: make(map[string]*member), hosts: make(map[string][]string), delay: delay,
		received: make(map[string]int), admitted: make(map[string][]time.Duration), verdicts: make(map[string]map[Verdict]int),
	}
	for _, name := range names {
		f.hosts[name] = names
		f.start(name)
	}
	return f
}

func (f *fleet) start(name string) {
	f.starts++
	f.nodes[name] = &member{
		name: name, waiting: make(map[uint64]string), Node: New(f.now, Options{Self: name, Incarnation: f.starts}),
	}
	f.nodes[name].SetHosts(f.now, f.hosts[name])
}

// advance plays a time, with a call before each step.
func (f *fleet) advance(duration time.Duration, each func()) {
	for end := f.now + duration; f.now < end; f.now += step {
		if each != nil {
			each()
		}
		slices.SortStableFunc(f.transit, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for len(f.transit) > 0 && f.transit[0].at <= f.now {
			d := f.transit[0]
			f.transit = f.transit[1:]
			switch m := f.nodes[d.to]; {
			case m == nil:
			case f.now < m.pausedUntil:
				d.at = m.pausedUntil
				f.transit = append(f.transit, d)
			default:
				f.received[d.to]++
				m.Receive(f.now, d.from, d.Message)
				f.flush(m)
			}
		}
		for _, m := range f.nodes {
			if f.now >= m.pausedUntil && f.now%(50*time.Millisecond) < step {
				m.Tick(f.now)
				f.flush(m)
			}
		}
	}
}

func (f *fleet) flush(m *member) {
	out, decided := m.Flush(f.now)
	for _, o := range out {
		f.sent++
		if delay, arrives := f.delay(m.name, o.To); arrives {
			f.transit = append(f.transit, delivery{at: f.now + delay, to: o.To, from: m.name, Message: o.Message})
		}
	}
	for _, d := range decided {
		f.count(m.waiting[d.Ticket], d.Verdict)
		delete(m.waiting, d.Ticket)
	}
}

func (f *fleet) count(workspace string, v Verdict) {
	if f.verdicts[workspace] == nil {
		f.verdicts[workspace] = make(map[Verdict]int)
	}
	f.verdicts[workspace][v]++
	if v == Admitted {
		f.admitted[workspace] = append(f.admitted[workspace], f.now)
	}
}

// request sends a request of a workspace to a node.
func (f *fleet) request(name, workspace string, limit Limit, version uint64) {
	m := f.nodes[name]
	if m == nil || f.now < m.pausedUntil {
		return
	}
	d := m.Acquire(f.now, workspace, limit, version)
	if d.Verdict == Waiting {
		m.waiting[d.Ticket] = workspace
	} else {
		f.count(workspace, d.Verdict)
	}
	f.flush(m)
}

// excess returns by how much the admissions of a workspace exceed what one bucket hands out in any window.
func (f *fleet) excess(workspace string, limit Limit) float64 {
	times := f.admitted[workspace]
	worst := math.Inf(-1)
	// The largest excess of a window that begins with an admission, by the smallest value of count minus tokens before it.
	lowest := math.Inf(1)
	for n, at := range times {
		lowest = min(lowest, float64(n)-limit.Rate*at.Seconds())
		worst = max(worst, float64(n+1)-limit.Rate*at.Seconds()-lowest)
	}
	return worst - max(limit.Burst, 1) - limit.Rate*tokenLifetime.Seconds()
}

func names(count int) []string {
	var list []string
	for n := range count {
		list = append(list, fmt.Sprintf("n%d", n))
	}
	return list
}

// Guards against more requests of a workspace than its limit allows, in any window, whatever fails: nodes that are killed, restart
// or pause, messages that are lost, late or arrive in another order, a fleet cut in two, and hosts that join and leave.
func TestNoScheduleExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		all := names(rapid.IntRange(1, 8).Draw(t, "nodes"))
		limit := Limit{Rate: rapid.SampledFrom([]float64{0.5, 6, 40, 200}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "burst")}
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
		slow := rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "late messages")
		side := make(map[string]bool)
		split := false
		f := newFleet(all, func(from, to string) (time.Duration, bool) {
			if split && side[from] != side[to] || random.Float64() < loss {
				return 0, false
			}
			delay := time.Duration(random.Int64N(int64(20 * time.Millisecond)))
			if random.Float64() < slow {
				delay += time.Duration(random.Int64N(int64(3 * time.Second)))
			}
			return delay, true
		})
		pick := func() string { return all[random.IntN(len(all))] }
		perStep := rapid.SampledFrom([]float64{0.02, 0.5, 2}).Draw(t, "requests per step")
		for range 30 {
			switch rapid.SampledFrom([]string{"calm", "calm", "kill", "kill all", "restart", "stop", "pause", "split", "join", "leave"}).Draw(t, "fault") {
			case "kill":
				delete(f.nodes, pick())
			case "kill all":
				clear(f.nodes)
			case "restart":
				for _, name := range all {
					if f.nodes[name] == nil || name == pick() {
						f.start(name)
					}
				}
			case "stop":
				if m := f.nodes[pick()]; m != nil {
					m.Leave(f.now)
					f.flush(m)
				}
			case "pause":
				if m := f.nodes[pick()]; m != nil {
					m.pausedUntil = f.now + time.Duration(random.Int64N(int64(4*time.Second)))
				}
			case "split":
				split = !split
				for _, name := range all {
					side[name] = random.IntN(2) == 0
				}
			case "join", "leave":
				// The nodes learn at different times of a host that joins or leaves.
				var changed []string
				if known := f.hosts[all[0]]; len(known) < len(all) {
					changed = all
				} else if len(all) > 1 {
					gone := pick()
					changed = slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == gone })
				}
				if changed == nil {
					break
				}
				for _, name := range all {
					f.hosts[name] = changed
					if m := f.nodes[name]; m != nil {
						m.SetHosts(f.now, changed)
					}
					f.advance(time.Duration(random.Int64N(int64(100*time.Millisecond))), nil)
				}
			}
			f.advance(time.Duration(random.Int64N(int64(2*time.Second))), func() {
				for want := perStep; want > 0; want-- {
					if random.Float64() < want {
						f.request(pick(), "w", limit, 1)
					}
				}
			})
		}
		if excess := f.excess("w", limit); excess > 1e-6 {
			t.Fatalf("%v requests above the limit", excess)
		}
	})
}

// load is the demand of workspaces of uneven sizes at all nodes, as a multiple of their limits.
type load struct {
	names  []string
	limits map[string]Limit
	// demand is the number of requests per second of each workspace.
	demand map[string]float64
}

func newLoad(workspaces int, share float64) *load {
	l := &load{limits: make(map[string]Limit), demand: make(map[string]float64)}
	for n := range workspaces {
		name := fmt.Sprintf("w%d", n)
		rate := math.Round(max(184/float64(n+1), 2))
		l.names = append(l.names, name)
		l.limits[name], l.demand[name] = Limit{Rate: rate, Burst: rate}, share*rate
	}
	return l
}

// play sends the demand of a step to random nodes.
func (l *load) play(f *fleet, random *rand.Rand, nodes []string) {
	for _, name := range l.names {
		for want := l.demand[name] * step.Seconds(); want > 0; want-- {
			if random.Float64() < want {
				f.request(nodes[random.IntN(len(nodes))], name, l.limits[name], 1)
			}
		}
	}
}

// served returns the share of the requests that were admitted.
func (f *fleet) served(workspaces ...string) float64 {
	admitted, all := 0, 0
	for _, name := range workspaces {
		for v, count := range f.verdicts[name] {
			all += count
			if v == Admitted {
				admitted += count
			}
		}
	}
	return float64(admitted) / float64(max(all, 1))
}

func calm(random *rand.Rand) func(from, to string) (time.Duration, bool) {
	return func(string, string) (time.Duration, bool) {
		return time.Duration(random.Int64N(int64(8 * time.Millisecond))), random.Float64() >= 0.001
	}
}

// Guards against requests within the limit that are refused: the load of the users' hosting customer, in calm, with 100 nodes and
// 85 workspaces that use half of their limits.
func TestRequestsWithinTheLimitAreAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	nodes := names(100)
	f := newFleet(nodes, calm(random))
	f.advance(5*time.Second, nil)
	l := newLoad(85, 0.54)
	const duration = 20 * time.Second
	f.advance(duration, func() { l.play(f, random, nodes) })
	g.Expect(f.served(l.names...)).To(gomega.BeNumerically(">=", 0.99))
	t.Logf("served %.4f, %.1f messages a node and second", f.served(l.names...), float64(f.sent)/100/duration.Seconds())
}

// Guards against one workspace at many times its usual load that takes what others are allowed, and against a limit that is not
// used up although more is asked.
func TestHotWorkspaceGetsItsLimitAndNoMore(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(2, 1))
	nodes := names(100)
	f := newFleet(nodes, calm(random))
	f.advance(5*time.Second, nil)
	l := newLoad(85, 0.54)
	clear(f.received)
	const duration = 10 * time.Second
	for _, hot := range []string{"w0", "w20"} {
		l.demand[hot] *= 7.5
	}
	f.advance(duration, func() { l.play(f, random, nodes) })
	for _, hot := range []string{"w0", "w20"} {
		limit := l.limits[hot]
		g.Expect(f.excess(hot, limit)).To(gomega.BeNumerically("<=", 1e-6))
		g.Expect(len(f.admitted[hot])).To(gomega.BeNumerically(">=", 0.9*(limit.Rate*duration.Seconds()+limit.Burst)), hot)
	}
	others := slices.DeleteFunc(slices.Clone(l.names), func(name string) bool { return name == "w0" || name == "w20" })
	g.Expect(f.served(others...)).To(gomega.BeNumerically(">=", 0.99))
	busiest := 0
	for _, count := range f.received {
		busiest = max(busiest, count)
	}
	perSecond := float64(busiest) / duration.Seconds()
	mean := float64(f.sent) / float64(len(nodes)) / duration.Seconds()
	t.Logf("%.1f messages a node and second, %.0f at the busiest", mean, perSecond)
	// The holder may be a small machine. It is asked for each token, and once more by the node whose turn it is.
	g.Expect(perSecond).To(gomega.BeNumerically("<=", 2*l.limits["w0"].Rate+2*mean))
}

// Guards against workspaces that stay without a count after the node that counted them has failed.
func TestWorkspacesAreCountedAgainAfterFailures(t *testing.T) {
	for name, c := range map[string]struct {
		fail func(f *fleet, nodes []string)
		// least is the share that must be admitted in the ten seconds from the failure on, and later that after two seconds.
		least, later float64
	}{
		"a node is killed for good": {func(f *fleet, nodes []string) { delete(f.nodes, nodes[0]) }, 0.97, 0.99},
		"one in six is killed for good": {func(f *fleet, nodes []string) {
			for n := 0; n < len(nodes); n += 6 {
				delete(f.nodes, nodes[n])
			}
		}, 0.7, 0.85},
		"all are killed and start again": {func(f *fleet, nodes []string) {
			for _, name := range nodes {
				f.start(name)
			}
		}, 0.75, 0.97},
		"one in six pauses for two seconds": {func(f *fleet, nodes []string) {
			for n := 0; n < len(nodes); n += 6 {
				f.nodes[nodes[n]].pausedUntil = f.now + 2*time.Second
			}
		}, 0.9, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(3, 1))
			nodes := names(60)
			f := newFleet(nodes, calm(random))
			f.advance(3*time.Second, nil)
			l := newLoad(40, 0.54)
			f.advance(3*time.Second, func() { l.play(f, random, nodes) })
			c.fail(f, nodes)
			clear(f.verdicts)
			f.advance(2*time.Second, func() { l.play(f, random, nodes) })
			early := f.verdicts
			f.verdicts = make(map[string]map[Verdict]int)
			f.advance(8*time.Second, func() { l.play(f, random, nodes) })
			later := f.served(l.names...)
			for workspace, counts := range early {
				for v, count := range counts {
					if f.verdicts[workspace] == nil {
						f.verdicts[workspace] = make(map[Verdict]int)
					}
					f.verdicts[workspace][v] += count
				}
			}
			t.Logf("served %.3f, %.3f after two seconds", f.served(l.names...), later)
			g.Expect(f.served(l.names...)).To(gomega.BeNumerically(">=", c.least))
			g.Expect(later).To(gomega.BeNumerically(">=", c.later))
			for _, workspace := range l.names {
				g.Expect(f.excess(workspace, l.limits[workspace])).To(gomega.BeNumerically("<=", 1e-6))
			}
		})
	}
}

// Guards against a limit that stays in force at the node which counts although it was lowered far below what is sent.
func TestLoweredLimitHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(4, 1))
	nodes := names(20)
	f := newFleet(nodes, calm(random))
	f.advance(3*time.Second, nil)
	play := func(limit Limit, version uint64) func() {
		return func() {
			if random.Float64() < 0.5 {
				f.request(nodes[random.IntN(len(nodes))], "w", limit, version)
			}
		}
	}
	f.advance(5*time.Second, play(Limit{Rate: 200, Burst: 200}, 1))
	lower := Limit{Rate: 5, Burst: 5}
	f.advance(time.Second, play(lower, 2))
	f.admitted = make(map[string][]time.Duration)
	f.advance(10*time.Second, play(lower, 2))
	g.Expect(f.excess("w", lower)).To(gomega.BeNumerically("<=", 1e-6))
	g.Expect(len(f.admitted["w"])).To(gomega.BeNumerically(">=", 45))
}

// Guards against two holders after a voter has restarted and forgotten its vote.
func TestRestartedVoterWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	v := voter{startedAt: time.Minute, votes: make(map[int]*vote)}
	_, given, _ := v.give(time.Minute+leaseTime-1, time.Minute, 1, candidate{"a", 1}, 1)
	g.Expect(given).To(gomega.BeFalse())
	quiet, given, _ := v.give(time.Minute+leaseTime, time.Minute, 1, candidate{"a", 1}, 1)
	g.Expect(given).To(gomega.BeTrue())
	g.Expect(quiet).To(gomega.Equal(leaseTime), "the voter knows nothing of the time before its start")
}

// Guards against a full bucket after a change of the hosts, by which a node votes that could not have been asked before.
func TestNewMemberOfAGroupVouchesForNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	v := voter{votes: make(map[int]*vote)}
	quiet, given, _ := v.give(time.Hour, time.Hour-time.Second, 1, candidate{"a", 1}, 1)
	g.Expect(given).To(gomega.BeTrue())
	g.Expect(quiet).To(gomega.Equal(time.Second))
}

// Guards against two holders after a late message has taken away a vote that is in use.
func TestLateWithdrawalChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	now, a, b := time.Minute, candidate{"a", 1}, candidate{"b", 1}
	v := voter{votes: make(map[int]*vote)}
	v.give(now, 0, 1, a, 1)
	v.give(now, 0, 1, a, 2)
	v.withdraw(now, 1, a, 1)
	_, given, holder := v.give(now+1, 0, 1, b, 1)
	g.Expect(given).To(gomega.BeFalse())
	g.Expect(holder).To(gomega.Equal("a"))
	v.withdraw(now+1, 1, a, 2)
	_, given, _ = v.give(now+1, 0, 1, b, 1)
	g.Expect(given).To(gomega.BeTrue())
}

// Guards against tokens that are used in a later window than they were handed out for.
func TestLateTokensAreWorthless(t *testing.T) {
	for late, want := range map[time.Duration]Verdict{tokenLifetime - 1: Admitted, tokenLifetime: Waiting} {
		g := gomega.NewWithT(t)
		n := New(0, Options{Self: "a", Incarnation: 1})
		n.SetHosts(0, []string{"a", "b"})
		now := time.Minute
		g.Expect(n.Acquire(now, "w", Limit{Rate: 10, Burst: 10}, 1).Verdict).To(gomega.Equal(Waiting))
		p := n.purses["w"]
		n.Receive(now+late, "b", Message{Kind: Grant, Slot: p.slot, Sequence: p.asked, Workspace: "w", Tokens: 1})
		_, decided := n.Flush(now + late)
		got := Waiting
		for _, d := range decided {
			got = d.Verdict
		}
		g.Expect(got).To(gomega.Equal(want))
	}
}

// Guards against two holders after several hosts have joined or left within the time of a lease.
func TestFormerGroupsVoteForSomeTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var h hosts
	h.set(0, []string{"a", "b", "c", "d"})
	h.set(time.Minute, []string{"a", "b", "c", "d", "e"})
	h.set(time.Minute+time.Second, []string{"b", "c", "d", "e"})
	first, second := time.Minute+time.Second, time.Minute+groupMemory
	g.Expect(h.all(first, 1)).To(gomega.ContainElements(gomega.ConsistOf("b", "c", "d", "e"), gomega.ConsistOf("a", "b", "c", "d")))
	g.Expect(h.all(second, 1)).NotTo(gomega.ContainElement(gomega.ConsistOf("a", "b", "c", "d")))
	g.Expect(h.all(second+time.Second, 1)).To(gomega.HaveLen(1))
}
