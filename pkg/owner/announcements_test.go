package owner_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/owner"
)

// Guards against more requests to a backend server than the limit that it announces, and against a limit that outlasts its end.
func TestAnnouncedLimitIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, nil, 3)
	f.announced = http.Header{outcome.HeaderLimit: {"2"}}
	for n := range 80 {
		f.clock.advance(100 * time.Millisecond)
		if failure := f.doWithin(fmt.Sprint(n), "/limited"); failure != nil {
			g.Expect(failure.Reason).To(gomega.Equal(outcome.ReasonLimited))
		}
	}
	g.Expect(f.count("/limited")).To(gomega.BeNumerically("~", 16, 2))
	load, _ := f.owner.Load("e1")
	g.Expect(load.Busy + load.Queued).To(gomega.BeNumerically(">", load.Slots))
	g.Expect(f.owner.InFlight()).To(gomega.BeZero())
	f.announced = nil
	f.clock.advance(time.Second)
	g.Expect(f.doWithin("end", "/free")).To(gomega.BeNil())
	for n := range 20 {
		g.Expect(f.doWithin(fmt.Sprint("free-", n), "/free")).To(gomega.BeNil())
	}
}

// doWithin runs a request that does not wait for its turn.
func (f *fixture) doWithin(attempt, path string) *outcome.Error {
	return f.doMeta(hop.Meta{RequestID: attempt, Attempt: attempt, Service: "s", Endpoint: "e1", Repeatable: true, MaxWait: time.Millisecond}, path)
}

// Guards against requests to a backend server that has announced that it is leaving, and against a successor that gets none.
func TestLeavingBackendServerGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, nil, 3)
	f.announced = http.Header{outcome.HeaderLeaving: {"1"}}
	g.Expect(f.do("1", "/a", true)).To(gomega.BeNil())
	g.Expect(f.do("2", "/b", true)).To(gomega.HaveField("Reason", outcome.ReasonLeaving))
	load, _ := f.owner.Load("e1")
	g.Expect(load.State).To(gomega.Equal(hop.StateLeaving))
	g.Expect(f.owner.Start(context.Background())).To(gomega.Succeed())
	defer func() { g.Expect(f.owner.Stop(context.Background())).To(gomega.Succeed()) }()
	f.server.Close()
	g.Eventually(func() hop.State { load, _ := f.owner.Load("e1"); return load.State }, "5s").Should(gomega.Equal(hop.StateDown))
	g.Expect(f.owner.Announced("e1")).To(gomega.Equal(announce.State{}))
}

// Guards against an owner that forgets at its restart that its backend server is leaving, and against one that believes it for
// good although the backend server may have been restarted meanwhile.
func TestRestartedOwnerLearnsFromTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, nil, 3)
	f.announced = http.Header{outcome.HeaderLeaving: {"1"}}
	g.Expect(f.do("1", "/a", true)).To(gomega.BeNil())
	remembered := f.owner.Announced("e1")
	g.Expect(remembered.Leaving).To(gomega.BeTrue())
	restarted := newFixtureWith(t, owner.Options{}, 3, nil)
	restarted.owner.Learn("e1", remembered)
	g.Expect(restarted.do("2", "/b", true)).To(gomega.HaveField("Reason", outcome.ReasonLeaving))
	restarted.clock.advance(11 * time.Second)
	g.Expect(restarted.do("3", "/b", true)).To(gomega.BeNil())
	restarted.owner.Learn("e1", remembered)
	g.Expect(restarted.do("4", "/b", true)).To(gomega.BeNil())
}
