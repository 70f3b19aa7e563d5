package retrybudget_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/retrybudget"
)

const (
	desk  = "desk"  // called by callers; its runs call stock
	stock = "stock" // called by runs of desk only
	// runTime is the time from a retry to the moment at which its run fails or calls.
	runTime = 4 * step
)

// run is a retry of a request to desk that a node made.
type run struct {
	node  int
	grant retrybudget.Grant
	kind  retrybudget.Kind
}

// callingFleet is a number of nodes whose endpoints of service desk call service stock in each run.
type callingFleet struct {
	rng      *rand.Rand
	ledgers  []*retrybudget.Ledger
	reported []map[string]retrybudget.Usage
	// requests and repeats hold, for each step, the requests for stock and the arrivals there beyond the first of a request:
	// its own retries and the calls of repeated runs of desk.
	requests, repeats []float64
	// runs holds the repeated runs of desk that end in each step.
	runs map[int][]run
	// wanted and granted count the retries of each service.
	wanted, granted map[string]float64
}

// retry asks a node for a retry.
func (f *callingFleet) retry(now time.Duration, node int, service string, kind retrybudget.Kind) retrybudget.Grant {
	f.wanted[service]++
	g := f.ledgers[node].Take(now, service, kind, f.view(node))
	if g.Granted {
		f.granted[service]++
	}
	return g
}

// share returns the share of the wanted retries of a service that were granted.
func (f *callingFleet) share(service string) float64 {
	return f.granted[service] / f.wanted[service]
}

func newCallingFleet(nodes int, seed uint64) *callingFleet {
	f := &callingFleet{
		rng: rand.New(rand.NewPCG(seed, 0)), reported: make([]map[string]retrybudget.Usage, nodes), runs: map[int][]run{},
		wanted: map[string]float64{}, granted: map[string]float64{},
	}
	for range nodes {
		f.ledgers = append(f.ledgers, retrybudget.NewLedger(settings, f.rng))
	}
	return f
}

// view returns what the other nodes have reported to a node.
func (f *callingFleet) view(node int) retrybudget.Fleet {
	share := 1 / float64(len(f.ledgers))
	return retrybudget.Fleet{Nodes: len(f.ledgers), Services: f.services(), Counts: func(service string) (reachable, unreachable retrybudget.GroupUsage) {
		reachable.Share = share
		for n, usage := range f.reported {
			if n != node {
				reachable.Add(usage[service], share)
			}
		}
		return reachable, unreachable
	}, Origins: func(service string) map[string]retrybudget.Origin {
		origins := map[string]retrybudget.Origin{}
		for n, usage := range f.reported {
			host := stock
			if f.hostsDesk(n) {
				host = desk
			}
			o := origins[host]
			o.Hosts++
			o.Requests += usage[service].Requests
			origins[host] = o
		}
		return origins
	}}
}

// services returns the services for which a node has reported requests.
func (f *callingFleet) services() []string {
	var names []string
	for _, usage := range f.reported {
		names = slices.AppendSeq(names, maps.Keys(usage))
	}
	return names
}

// hostsDesk reports whether the endpoint on the host of a node is one of desk. Every fourth is one of stock.
func (f *callingFleet) hostsDesk(node int) bool {
	return node%4 != 1
}

// play plays further steps, in which each node gets perStep requests for desk. A part of the attempts is reset at once and
// should be repeated. Each run calls stock the given number of times, and a part of the calls fails, too.
func (f *callingFleet) play(steps int, perStep, deskFails, calls, stockFails float64) {
	for tick := len(f.requests); steps > 0; tick++ {
		steps--
		now := time.Duration(tick) * step
		f.requests, f.repeats = append(f.requests, 0), append(f.repeats, 0)
		for n, l := range f.ledgers {
			if tick%10 == 0 {
				f.reported[n] = l.Usage(now)
			}
			if f.rng.Float64() >= perStep {
				continue
			}
			l.AddRequest(now, desk, true)
			if f.rng.Float64() < deskFails {
				f.repeat(tick, n, retrybudget.Repeat)
				continue
			}
			l.AddRun(now, desk)
			if !f.call(tick, calls, stockFails, false) {
				f.repeat(tick, n, retrybudget.RepeatRun)
			}
		}
		for _, r := range f.runs[tick] {
			if f.rng.Float64() < deskFails {
				f.ledgers[r.node].ReturnCalls(now, r.grant)
				continue
			}
			f.ledgers[r.node].AddRun(now, desk)
			// A request that is repeated because its call failed certainly calls again.
			if r.kind == retrybudget.RepeatRun {
				f.call(tick, max(calls, 1), stockFails, true)
			} else {
				f.call(tick, calls, stockFails, true)
			}
		}
	}
}

// repeat asks for the retry of a request to desk and starts its run if it is granted.
func (f *callingFleet) repeat(tick, node int, kind retrybudget.Kind) {
	if grant := f.retry(time.Duration(tick)*step, node, desk, kind); grant.Granted {
		end := tick + int(runTime/step)
		f.runs[end] = append(f.runs[end], run{node, grant, kind})
	}
}

// deskHost returns a random node beside an endpoint of desk.
func (f *callingFleet) deskHost() int {
	for {
		if n := f.rng.IntN(len(f.ledgers)); f.hostsDesk(n) {
			return n
		}
	}
}

// call makes the calls of a run of desk through the node beside its endpoint. A call that fails may be retried, and then
// succeeds. It reports whether all calls succeeded.
func (f *callingFleet) call(tick int, calls, fails float64, repeated bool) bool {
	node, now, succeeded := f.deskHost(), time.Duration(tick)*step, true
	l := f.ledgers[node]
	for calls += f.rng.Float64(); calls >= 1; calls-- {
		l.AddRequest(now, stock, true)
		l.AddRun(now, stock)
		f.requests[tick]++
		if repeated {
			f.repeats[tick]++
		}
		if f.rng.Float64() >= fails {
			continue
		}
		if f.retry(now, node, stock, retrybudget.Repeat).Granted {
			f.repeats[tick]++
		} else {
			succeeded = false
		}
	}
	return succeeded
}

// Guards against more arrivals beyond the first than the limit allows at a service that gets its requests as calls of another
// one: repeated runs of the other service repeat their calls. The load is that of a crest at which most endpoints fail.
func TestCallsOfRepeatedRunsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCallingFleet(rapid.IntRange(2, 30).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		f.play(600, rapid.Float64Range(0.1, 0.5).Draw(t, "requests per step and node"), rapid.Float64Range(0, 0.9).Draw(t, "desk fails"),
			rapid.Float64Range(0.1, 1.5).Draw(t, "calls"), rapid.Float64Range(0, 0.9).Draw(t, "stock fails"))
		f.checkLimit(t.Fatalf)
	})
}

// Guards against changes under which loads break the limit that have broken it before: without room for the calls of a retry at
// the called service, and with a mean number of calls for a request whose run failed.
func TestLoadsThatBrokeTheLimit(t *testing.T) {
	for _, load := range []struct {
		nodes                    int
		deskFails, calls, failed float64
	}{{3, 0.0625, 0.375, 0.9}, {6, 0.125, 0.5, 0.9}} {
		f := newCallingFleet(load.nodes, 0)
		f.play(600, 0.5, load.deskFails, load.calls, load.failed)
		f.checkLimit(t.Errorf)
	}
}

// checkLimit reports each window in which stock got more arrivals beyond the first than the limit allows. The limit of a window
// may follow from the requests of a window that ended up to one window length earlier.
func (f *callingFleet) checkLimit(report func(format string, args ...any)) {
	window := int(settings.Window / step)
	for end := window; end <= len(f.repeats); end++ {
		asked := sum(f.requests[end-window : end])
		for _, back := range []int{window / 2, window} {
			if end-window-back >= 0 {
				asked = max(asked, sum(f.requests[end-window-back:end-back]))
			}
		}
		if made := sum(f.repeats[end-window : end]); made > settings.Ratio*asked+settings.Constant {
			report("%.0f arrivals beyond the first of %.0f requests until step %d", made, asked, end)
		}
	}
}

// Guards against calls that get no retry although few of them fail: repeated attempts of the calling service that are reset
// before they call must not use up the budget of the called one. A tenth of the calls fails and half of the attempts of the
// calling service, so that the calls must get at least as large a part of the retries that they want.
func TestCallsAreRetriedWhileTheCallingServiceFails(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCallingFleet(26, 1)
	f.play(600, 0.08, 0.5, 0.7, 0.1)
	g.Expect(f.share(stock)).To(gomega.BeNumerically(">=", f.share(desk)))
	g.Expect(f.share(desk)).To(gomega.BeNumerically("<", 1))
}

// Guards against retries that callers can do without, such as hedges, while the service that they would call has none to
// spare.
func TestCalledServicesKeepAReserve(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCallingFleet(26, 1)
	f.play(200, 0.1, 0, 1, 0)
	l, now := f.ledgers[0], 200*step
	g.Expect(l.HasSpare(now, desk, 0.4, f.view(0))).To(gomega.BeTrue())
	f.play(100, 0.1, 0, 1, 0.9)
	now += 100 * step
	g.Expect(l.HasSpare(now, desk, 0.4, f.view(0))).To(gomega.BeFalse())
	g.Expect(l.Remaining(now, desk, f.view(0)).Remaining).To(gomega.BeNumerically(">", 0))
}

// Guards against retries that are charged although no endpoint received them.
func TestReturnedRetriesAreFree(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newCallingFleet(2, 1)
	l := f.ledgers[0]
	l.AddRequest(time.Second, stock, true)
	for range 1000 {
		grant := l.Take(time.Second, desk, retrybudget.Repeat, f.view(0))
		g.Expect(grant.Granted).To(gomega.BeTrue())
		l.Return(time.Second, grant)
	}
}
