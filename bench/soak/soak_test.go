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
		if _, err := fmt.Sscan(text, &plan.Seed, &plan.Hosts, &seconds, &plan.CrashingRequests); err != nil {
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
