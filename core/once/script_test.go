package once_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/once"
)

// begin starts an attempt at an owner.
func (s *sim) begin(owner string) *attempt {
	s.start(s.host(owner))
	return s.attempts[len(s.attempts)-1]
}

// claimAt delivers the claim of an attempt to members, in order. The votes stay in flight.
func (s *sim) claimAt(a *attempt, members ...string) {
	for _, member := range members {
		s.deliverMatching("claim " + a.name + " to " + member)
	}
}

// run delivers the claim to members and all votes to the attempt, and dispatches it if it won.
func (s *sim) run(a *attempt, members ...string) {
	s.claimAt(a, members...)
	s.count(a)
	s.dispatch(a)
}

// count delivers the votes in flight.
func (s *sim) count(a *attempt) {
	for _, h := range s.hosts {
		s.deliverMatching("vote of " + h.id + " to " + a.name)
	}
}

// readAt delivers the reads of a recovering member at others, in order. The tables stay in flight.
func (s *sim) readAt(reader string, members ...string) {
	for _, member := range members {
		s.deliverMatching("read of " + reader + " at " + member)
	}
}

func (s *sim) adoptAll(document int, hosts ...string) {
	for _, id := range hosts {
		s.adopt(s.host(id), document)
	}
}

// script is a sequence of events that makes two attempts run if one mechanism is off.
type script struct {
	weak weakness
	size int
	run  func(s *sim)
}

// In the scripts with three recorders the groups are h0 h1 h2, then h2 h3 h4.
var scripts = []script{
	{noDispatchLimit, 3, func(s *sim) {
		// The owner pauses between the grant and the dispatch for longer than the claim is held.
		a := s.begin("h0")
		s.claimAt(a, "h0", "h1")
		s.count(a)
		s.now += once.Retention(window)
		s.run(s.begin("h1"), "h0", "h1")
		s.dispatch(a)
	}},
	{noDispatchMargin, 3, func(s *sim) {
		// The window of the first attempt starts with its dispatch, not with the grants.
		a := s.begin("h0")
		s.claimAt(a, "h0", "h1")
		s.count(a)
		s.now += 900 * time.Millisecond
		s.dispatch(a)
		s.now += window - 850*time.Millisecond
		s.run(s.begin("h1"), "h0", "h1")
	}},
	{noRecovery, 3, func(s *sim) {
		s.run(s.begin("h3"), "h0", "h1")
		s.restart(s.host("h1"), false, 0)
		s.run(s.begin("h4"), "h1", "h2")
	}},
	{noReports, 3, func(s *sim) {
		// The old process of h0 votes, its successor recovers before h1 votes.
		a := s.begin("h3")
		s.claimAt(a, "h0")
		s.restart(s.host("h0"), false, 0)
		s.recover(s.host("h0"))
		s.deliverMatching("read of h0", "to h0")
		s.run(a, "h1")
		s.run(s.begin("h4"), "h0", "h2")
	}},
	{noReports, 3, func(s *sim) {
		// h0 is replaced while its old process still runs and is reached by one owner.
		s.restart(s.host("h0"), true, 0)
		s.recover(s.host("h0"))
		s.deliverMatching("read of h0", "to h0")
		s.run(s.begin("h4"), "h0", "h2")
		s.toOld = true
		s.run(s.begin("h3"), "h0", "h1")
	}},
	{noTableKnown, 5, func(s *sim) {
		// h0 reads the table of h1, which restarts and reads those of h2 to h4 before h0 does.
		a := s.begin("h5")
		s.claimAt(a, "h0")
		s.restart(s.host("h0"), false, 0)
		s.recover(s.host("h0"))
		s.readAt("h0", "h1")
		s.restart(s.host("h1"), false, 0)
		s.recover(s.host("h1"))
		s.readAt("h1", "h2", "h3", "h4")
		s.deliverMatching("table of h2 to h1", "table of h3 to h1", "table of h4 to h1")
		s.readAt("h0", "h2", "h4")
		s.deliverMatching("table of h1 to h0", "table of h2 to h0", "table of h4 to h0")
		s.run(a, "h1", "h3")
		s.run(s.begin("h6"), "h0", "h2", "h4")
	}},
	{noInheritance, 3, func(s *sim) {
		// The second attempt holds the key at h2 only; h0 restarts and reads h2 before h1.
		s.run(s.begin("h3"), "h0", "h1")
		b := s.begin("h4")
		s.claimAt(b, "h2")
		s.restart(s.host("h0"), false, 0)
		s.recover(s.host("h0"))
		s.readAt("h0", "h2", "h1")
		s.deliverMatching("table of h2 to h0")
		s.deliverMatching("table of h1 to h0")
		s.run(b, "h0")
	}},
	{noGenerationCheck, 3, func(s *sim) {
		// h1 and its owner still use the first group; h0 has adopted the second, which is fenced by h0 and h2.
		s.adoptAll(1, "h0")
		s.adoptAll(2, "h2", "h3", "h4")
		for _, id := range []string{"h0", "h2", "h3", "h4"} {
			s.askFence(s.host(id))
		}
		s.deliverMatching("")
		s.now += once.Retention(window)
		s.run(s.begin("h3"), "h3", "h4")
		s.run(s.begin("h1"), "h0", "h1")
	}},
	{noJointMajorities, 3, func(s *sim) {
		s.adoptAll(1, "h2", "h3", "h4")
		s.run(s.begin("h3"), "h2", "h3", "h4")
		s.run(s.begin("h0"), "h0", "h1")
	}},
	{noFence, 3, func(s *sim) {
		// A partition separates h0 and h1 until the configuration no longer lists the first group.
		s.adoptAll(1, "h2", "h3", "h4")
		s.now += 3 * once.Retention(window)
		s.adoptAll(2, "h2", "h3", "h4")
		s.run(s.begin("h3"), "h2", "h3", "h4")
		s.run(s.begin("h0"), "h0", "h1")
	}},
}

// Guards against the loss of any one mechanism: each script makes two attempts run without it and at most one with it.
func TestEachMechanismIsNecessary(t *testing.T) {
	for _, script := range scripts {
		t.Run(string(script.weak), func(t *testing.T) {
			g := gomega.NewWithT(t)
			weakened := newSim(script.size, script.weak, true)
			script.run(weakened)
			g.Expect(weakened.violation()).NotTo(gomega.BeEmpty(), strings.Join(weakened.log, "\n"))
			whole := newSim(script.size, none, true)
			script.run(whole)
			g.Expect(whole.violation()).To(gomega.BeEmpty(), strings.Join(whole.log, "\n"))
		})
	}
}
