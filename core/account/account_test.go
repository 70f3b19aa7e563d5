package account_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/account"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// choose is the choice of an endpoint that fails with the given probability, while the node knew of free slots elsewhere.
func choose(endpoint string, fail float64, free int) account.Event {
	return account.Event{
		Time: start, RequestID: "r", Step: "choose", Service: "desk", Route: "status", Subject: endpoint, Peer: "host-" + endpoint,
		Reason: "lowest-cost", Inputs: account.Inputs{Fail: fail, Free: free},
	}
}

// end is the last decision on the request.
func end(step, result, reason string, status, ms int) account.Event {
	return account.Event{
		Time: start.Add(time.Second), RequestID: "r", Step: step, Service: "desk", Route: "status", Outcome: result, Reason: reason,
		Inputs: account.Inputs{Status: status, Milliseconds: ms, Target: 600},
	}
}

// at sets the host or endpoint of the attempt that an end reports.
func at(peer string, e account.Event) account.Event {
	e.Peer = peer
	return e
}

// Guards against a request that is assigned to another cause than the one that operators must mend.
func TestCauses(t *testing.T) {
	denied := account.Event{Time: start, RequestID: "r", Step: "retry", Outcome: "no-retry", Reason: "budget"}
	cases := []struct {
		name   string
		events []account.Event
		want   account.Cause
	}{
		{"answered in time", []account.Event{choose("a", 0, 1), end("respond", "answered", "passed-on", 200, 600)}, account.InTime},
		{"answered late", []account.Event{choose("a", 0, 1), end("respond", "answered", "passed-on", 200, 601)}, account.Late},
		{"working endpoint resets", []account.Event{choose("a", 0.01, 1), end("send", "unknown", "connection-lost", 502, 5)}, account.Onset},
		{"failing endpoint resets", []account.Event{choose("a", 0.9, 1), denied, end("send", "unknown", "connection-lost", 502, 5)}, account.Doubtful},
		{
			"the failed attempt counts, not the latest one",
			[]account.Event{choose("a", 0.9, 1), choose("b", 0, 1), at("host-a", end("send", "unknown", "connection-lost", 502, 5))},
			account.Doubtful,
		},
		{"server error of a working endpoint", []account.Event{choose("a", 0, 1), end("respond", "answered", "passed-on", 500, 5)}, account.EndpointError},
		{"rejected without a retry", []account.Event{choose("a", 0.9, 0), denied, end("send", "not-run", "endpoint-rejected", 503, 5)}, account.Rejected},
		{"no queue has room", []account.Event{choose("a", 0, 0), end("send", "not-run", "queue-full", 503, 5)}, account.Overload},
		{"no queue has room though slots are free", []account.Event{choose("a", 0, 2), end("send", "not-run", "busy", 503, 5)}, account.Unplaced},
		{"runs until the deadline", []account.Event{choose("a", 0, 2), end("send", "unknown", "deadline", 504, 2000)}, account.Deadline},
		{"crashes endpoints", []account.Event{end("choose", "not-run", "quarantined", 503, 0)}, account.Quarantined},
		{"no limit has room", []account.Event{end("choose", "not-run", "limited", 503, 5)}, account.Limited},
		{"waits until the deadline", []account.Event{choose("a", 0, 0), end("send", "not-run", "deadline", 503, 2000)}, account.Overload},
		{"no configuration", []account.Event{end("accept", "not-run", "not-ready", 503, 0)}, account.Unavailable},
		{"no route", []account.Event{end("route", "not-run", "no-route", 404, 0)}, account.Invalid},
		{"caller leaves", []account.Event{choose("a", 0, 1), end("send", "unknown", "caller-cancelled", 502, 5)}, account.CallerLeft},
		{"log ends", []account.Event{choose("a", 0, 1)}, account.Unfinished},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := account.New()
			for _, e := range c.events {
				a.Add(e)
			}
			g.Expect(a.Losses()).To(gomega.HaveLen(1))
			g.Expect(a.Losses()[0].Cause).To(gomega.Equal(c.want))
		})
	}
}

// Guards against requests that are counted twice or not at all, whatever decisions are logged about them.
func TestEachRequestHasOneCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.IntRange(1, 20).Draw(t, "requests")
		a := account.New()
		for n := range requests {
			events := rapid.SliceOfN(rapid.SampledFrom([]account.Event{
				choose("a", 0, 1), choose("b", 0.9, 0), {Time: start, Step: "retry", Outcome: "resend", Reason: "busy"},
			}), 1, 5).Draw(t, "events")
			if rapid.Bool().Draw(t, "ended") {
				step := rapid.SampledFrom([]string{"respond", "send", "choose"}).Draw(t, "step")
				reason := rapid.SampledFrom([]string{"busy", "deadline", "connection-lost", "no-endpoint", "unheard-of"}).Draw(t, "reason")
				events = append(events, end(step, "unknown", reason, rapid.SampledFrom([]int{200, 500, 502, 503}).Draw(t, "status"), 5))
			}
			for _, e := range events {
				e.RequestID = fmt.Sprint(n)
				a.Add(e)
			}
		}
		losses := a.Losses()
		if len(losses) != requests {
			t.Fatalf("%d requests have %d causes", requests, len(losses))
		}
		known := map[account.Cause]bool{}
		for _, c := range account.Causes {
			known[c] = true
		}
		for _, l := range losses {
			if !known[l.Cause] {
				t.Fatalf("cause %q is not listed", l.Cause)
			}
		}
	})
}
