package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/bench/soak"
)

// hangGuard only ends runs that hang; no verdict depends on it.
const hangGuard = 120 * time.Second

var binaries *processes.Binaries

func TestMain(m *testing.M) {
	os.Exit(processes.RunWith(func(b *processes.Binaries) { binaries = b }, m.Run))
}

// keptSeeds returns the seeds that are played in CI: each that ever failed, with the number of hosts.
func keptSeeds(t *testing.T) []soak.Plan {
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var plans []soak.Plan
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		var plan soak.Plan
		var seconds int
		if _, err := fmt.Sscan(text, &plan.Seed, &plan.Hosts, &seconds, &plan.CrashingRequests, &plan.Announcements); err != nil {
			t.Fatalf("seeds.txt: %q: %v", text, err)
		}
		plan.Duration = time.Duration(seconds) * time.Second
		plans = append(plans, plan)
	}
	return plans
}

// Guards against broken guarantees under random faults on real processes.
func TestKeptSeeds(t *testing.T) {
	for _, plan := range keptSeeds(t) {
		t.Run(fmt.Sprintf("seed-%d", plan.Seed), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
			defer cancel()
			var faults strings.Builder
			outcome, err := soak.Play(ctx, plan, binaries, t.TempDir(), &faults)
			g.Expect(err).NotTo(gomega.HaveOccurred(), faults.String())
			t.Log(outcome)
			g.Expect(outcome.Violations).To(gomega.BeEmpty(), faults.String())
			// A run without answers or faults shows nothing.
			g.Expect(outcome.Served).To(gomega.BeNumerically(">", 0))
			g.Expect(outcome.Faults).To(gomega.BeNumerically(">", 0))
		})
	}
}

// Guards against requests that take down one endpoint after the other while they are sent again and again.
func TestCrashingRequestIsContained(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	plan := soak.Plan{Seed: 1, Hosts: 8, Duration: 12 * time.Second, CrashingRequests: 2, NoOtherFaults: true}
	var faults strings.Builder
	outcome, err := soak.Play(ctx, plan, binaries, t.TempDir(), &faults)
	g.Expect(err).NotTo(gomega.HaveOccurred(), faults.String())
	t.Log(outcome)
	g.Expect(outcome.Violations).To(gomega.BeEmpty(), faults.String())
	g.Expect(outcome.Crashes).To(gomega.BeNumerically(">", 0))
	// Each of the two may crash three endpoints until it is known.
	g.Expect(outcome.Crashes).To(gomega.BeNumerically("<=", 6))
}

// play runs a plan and returns what it showed.
func play(t *testing.T, plan soak.Plan) *soak.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	var faults strings.Builder
	outcome, err := soak.Play(ctx, plan, binaries, t.TempDir(), &faults)
	if err != nil {
		t.Fatal(err, faults.String())
	}
	t.Log(outcome)
	return outcome
}

// Guards against more requests to an endpoint than the limit that it announces in its responses.
func TestAnnouncedLimitIsKept(t *testing.T) {
	for name, plan := range map[string]soak.Plan{
		"two limited":              {Seed: 1, Hosts: 9, Duration: 9 * time.Second, Limits: []float64{2.4, 1}},
		"nodes beside are killed":  {Seed: 2, Hosts: 9, Duration: 9 * time.Second, Limits: []float64{2.4, 1}, RestartBeside: true},
		"limits at and close to 0": {Seed: 3, Hosts: 9, Duration: 9 * time.Second, Limits: []float64{0, 0.3}},
		"all limited":              {Seed: 4, Hosts: 9, Duration: 9 * time.Second, Limits: []float64{3, 3, 3, 3, 3, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan.NoOtherFaults = true
			gomega.NewWithT(t).Expect(play(t, plan).Violations).To(gomega.BeEmpty())
		})
	}
}

// Guards against requests to an endpoint that says only in its responses that it leaves.
func TestEndpointLeavingByItsResponsesIsLeft(t *testing.T) {
	plan := soak.Plan{Seed: 5, Hosts: 6, Duration: 6 * time.Second, Leaving: true, RestartBeside: true, NoOtherFaults: true}
	gomega.NewWithT(t).Expect(play(t, plan).Violations).To(gomega.BeEmpty())
}

// Guards against keys, limits and a store that comes back older which fail only beside other faults.
func TestWorkspacesBesideOtherFaults(t *testing.T) {
	for _, seed := range []uint64{301, 302} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			outcome := play(t, soak.Plan{Seed: seed, Hosts: 6, Duration: 8 * time.Second, Workspaces: true})
			g := gomega.NewWithT(t)
			g.Expect(outcome.Violations).To(gomega.BeEmpty())
			g.Expect(outcome.Served).To(gomega.BeNumerically(">", 0))
		})
	}
}
