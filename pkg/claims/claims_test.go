package claims_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/once"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/claims"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
)

const (
	window = 5 * time.Second
	// settled is longer than recorders of a new fleet wait before they vote.
	settled = 10 * time.Second
)

type handler = func(context.Context, string, json.RawMessage) (any, error)

// mesh is a network in memory.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[string]handler
	// silent hosts receive nothing and answer nothing; slow methods are delayed.
	silent map[string]bool
	slow   map[string]time.Duration
}

type port struct {
	mesh    *mesh
	address string
}

func (p port) Peers() []string { return nil }

func (p port) Handle(method string, h func(context.Context, string, json.RawMessage) (any, error)) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	if p.mesh.handlers[p.address] == nil {
		p.mesh.handlers[p.address] = make(map[string]handler)
	}
	p.mesh.handlers[p.address][method] = h
}

func (p port) Call(ctx context.Context, address, method string, params, result any) error {
	p.mesh.mu.Lock()
	h := p.mesh.handlers[address][method]
	silent := p.mesh.silent[address] || p.mesh.silent[p.address]
	delay := p.mesh.slow[method]
	p.mesh.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if h == nil {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond + delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	answer, err := h(ctx, p.address, text)
	if err != nil || result == nil {
		return err
	}
	text, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// fleet is a set of nodes with one service, "desk". Its hosts are h0 to h4.
type fleet struct {
	t     *testing.T
	g     gomega.Gomega
	mesh  *mesh
	clock *clock.Monotonic
	nodes map[string]*node
}

type node struct {
	*claims.Service
	snapshot atomic.Pointer[config.Snapshot]
	behind   atomic.Int32
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

// document returns a configuration whose recorder group has the given generation.
func document(generation uint64, recorders, previous []string) *config.Snapshot {
	d := &config.Document{Services: []config.Service{{
		Name: "desk",
		Claims: config.ClaimSettings{
			WindowMS: int(window.Milliseconds()), Generation: generation, Recorders: recorders, Previous: previous,
		},
	}}}
	for i := range 5 {
		d.Hosts = append(d.Hosts, config.Host{ID: hostID(i), Address: "10.0.0.1", PeerPort: i + 1})
	}
	return config.NewSnapshot(d, "")
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t:     t,
		g:     gomega.NewWithT(t),
		mesh:  &mesh{handlers: map[string]map[string]handler{}, silent: map[string]bool{}, slow: map[string]time.Duration{}},
		clock: clock.NewMonotonic(),
		nodes: map[string]*node{},
	}
	for i := range 5 {
		f.boot(hostID(i), 1)
	}
	return f
}

func address(snapshot *config.Snapshot, id string) string { return snapshot.Host(id).PeerAddress() }

func (f *fleet) boot(id string, incarnation uint64) {
	n := &node{}
	n.snapshot.Store(document(1, []string{"h0", "h1", "h2"}, nil))
	n.Service = claims.New(claims.Options{
		HostID:      id,
		Incarnation: incarnation,
		Network:     port{f.mesh, address(n.snapshot.Load(), id)},
		Current:     n.snapshot.Load,
		Clock:       f.clock,
		Behind:      func() { n.behind.Add(1) },
	})
	f.g.Expect(n.Start(f.t.Context())).To(gomega.Succeed())
	f.nodes[id] = n
}

// silence cuts a host off, or connects it again.
func (f *fleet) silence(id string, silent bool) {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	f.mesh.silent[address(f.nodes[id].snapshot.Load(), id)] = silent
}

func (f *fleet) delayClaims(delay time.Duration) {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	f.mesh.slow["claims.claim"] = delay
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.g.Expect(n.Stop(context.Background())).To(gomega.Succeed())
	}
}

func (f *fleet) claim(id, attempt string) claims.Verdict {
	return f.nodes[id].Claim(f.t.Context(), request(attempt))
}

func request(attempt string) claims.Request {
	return claims.Request{Service: "desk", Key: "charge-1", Attempt: attempt}
}

func run(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		test(f)
	})
}

// Guards against votes of recorders that may have forgotten claims, against a second attempt that is granted, against a
// duplicate that does not learn the status, and against a dispatch after the limit.
func TestOneAttemptIsGrantedAndDuplicatesLearnItsStatus(t *testing.T) {
	run(t, func(f *fleet) {
		early := f.claim("h3", "a0")
		f.g.Expect(early.Reason).To(gomega.Equal(outcome.ReasonClaimNoQuorum), "all recorders are recovering")
		time.Sleep(settled)
		first := f.claim("h3", "a1")
		f.g.Expect(first.Granted).To(gomega.BeTrue())
		f.g.Expect(first.Valid(f.clock.Now())).To(gomega.BeTrue())
		f.g.Expect(f.claim("h4", "a1").Granted).To(gomega.BeFalse(), "the same attempt at another node")
		second := f.claim("h0", "a2")
		f.g.Expect(second.Reason).To(gomega.Equal(outcome.ReasonClaimed))
		f.g.Expect(second.State).To(gomega.Equal(claims.StatePending))
		f.nodes["h3"].Complete(request("a1"), 201)
		time.Sleep(time.Second)
		f.g.Expect(first.Valid(f.clock.Now())).To(gomega.BeFalse())
		third := f.claim("h4", "a3")
		f.g.Expect(third.State).To(gomega.Equal(claims.StateCompleted))
		f.g.Expect(third.Status).To(gomega.Equal(201))
		time.Sleep(2 * window)
		f.g.Expect(f.claim("h4", "a4").Granted).To(gomega.BeTrue(), "after the window")
	})
}

// Guards against a claim that waits for an unreachable recorder although a majority has answered, and against one that is
// granted without a majority or that keeps the key.
func TestUnreachableRecorders(t *testing.T) {
	run(t, func(f *fleet) {
		time.Sleep(settled)
		f.silence("h2", true)
		before := f.clock.Now()
		f.g.Expect(f.claim("h3", "a1").Granted).To(gomega.BeTrue())
		f.g.Expect(f.clock.Now() - before).To(gomega.BeNumerically("<", 10*time.Millisecond))
		f.nodes["h3"].Release(request("a1"))
		time.Sleep(time.Second)

		f.silence("h1", true)
		verdict := f.claim("h3", "a2")
		f.g.Expect(verdict.Reason).To(gomega.Equal(outcome.ReasonClaimNoQuorum))
		f.silence("h1", false)
		time.Sleep(time.Second)
		f.g.Expect(f.claim("h0", "a3").Granted).To(gomega.BeTrue(), "the attempt without quorum was released")
	})
}

// Guards against a restarted recorder that votes without the claims of its old process, and against one that waits for
// the window although the others can be read.
func TestRestartedRecorderReadsTheOthers(t *testing.T) {
	run(t, func(f *fleet) {
		time.Sleep(settled)
		f.silence("h2", true)
		f.g.Expect(f.claim("h3", "a1").Granted).To(gomega.BeTrue())
		f.silence("h2", false)
		f.g.Expect(f.nodes["h1"].Stop(f.t.Context())).To(gomega.Succeed())
		f.boot("h1", 2)
		f.g.Expect(f.claim("h4", "a2").Granted).To(gomega.BeFalse())
		time.Sleep(time.Second)
		f.g.Expect(f.nodes["h1"].Stats().Recoveries).To(gomega.BeEquivalentTo(1))
		verdict := f.claim("h4", "a3")
		f.g.Expect(verdict.Granted).To(gomega.BeFalse())
		f.g.Expect(verdict.Reason).To(gomega.Equal(outcome.ReasonClaimed))
	})
}

// Guards against grants to owners that use an older recorder group, against a new group that starts before the old one
// has stopped, and against recorders that do not ask for the configuration they lack.
func TestChangeOfTheRecorderGroup(t *testing.T) {
	run(t, func(f *fleet) {
		time.Sleep(settled)
		second := []string{"h2", "h3", "h4"}
		behind := document(2, second, nil)
		for _, id := range second {
			f.nodes[id].snapshot.Store(behind)
		}
		f.g.Expect(f.claim("h3", "a1").Granted).To(gomega.BeFalse(), "h0 and h1 use the first group")
		time.Sleep(2 * settled)
		f.g.Expect(f.claim("h3", "a2").Granted).To(gomega.BeFalse())
		f.g.Expect(f.nodes["h0"].behind.Load()).To(gomega.BeNumerically(">", 0))
		f.g.Expect(f.claim("h0", "a3").Granted).To(gomega.BeTrue())

		f.nodes["h0"].snapshot.Store(behind)
		f.g.Expect(f.claim("h1", "a4").Reason).To(gomega.Equal(outcome.ReasonClaimed))
		time.Sleep(2 * time.Second)
		f.g.Expect(f.claim("h3", "a5").Granted).To(gomega.BeFalse(), "claims of the first group are in force")
		time.Sleep(2 * window)
		f.g.Expect(f.claim("h3", "a6").Granted).To(gomega.BeTrue())
		f.g.Expect(f.claim("h1", "a7").Reason).To(gomega.Equal(outcome.ReasonClaimStale))
	})
}

// Guards against a planned shutdown that leaves the recorders without the status of the last requests.
func TestStopSendsQueuedCompletions(t *testing.T) {
	run(t, func(f *fleet) {
		time.Sleep(settled)
		f.g.Expect(f.claim("h3", "a1").Granted).To(gomega.BeTrue())
		f.nodes["h3"].Complete(request("a1"), 201)
		f.g.Expect(f.nodes["h3"].Stop(f.t.Context())).To(gomega.Succeed())
		f.g.Expect(f.claim("h4", "a2").Status).To(gomega.Equal(201))
	})
}

// Guards against a release that is overtaken by its own claim, which would keep the key claimed.
func TestLateClaimOfAReleasedAttemptIsVoid(t *testing.T) {
	run(t, func(f *fleet) {
		time.Sleep(settled)
		f.delayClaims(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(f.t.Context(), 100*time.Millisecond)
		defer cancel()
		f.g.Expect(f.nodes["h3"].Claim(ctx, request("a1")).Granted).To(gomega.BeFalse())
		time.Sleep(time.Second)
		f.delayClaims(0)
		f.g.Expect(f.nodes["h0"].Stats().Votes).To(gomega.HaveKey(once.Void.String()))
		f.g.Expect(f.claim("h4", "a2").Granted).To(gomega.BeTrue())
	})
}
