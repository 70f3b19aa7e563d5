package scenario_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/bench/scenario"
	"agatepulley.example/agatepulley/pkg/config"
)

// hangGuard only ends runs that hang; no verdict depends on it.
const hangGuard = 150 * time.Second

var binaries *processes.Binaries

func TestMain(m *testing.M) {
	os.Exit(processes.RunWith(func(b *processes.Binaries) { binaries = b }, m.Run))
}

// play runs a scenario and checks its safety: no wrong response, nothing run twice, no run behind a not-run answer, no
// request interrupted by a planned stop. How many requests are answered depends on timing and is not judged, except
// that a run without answers shows nothing.
func play(t *testing.T, name string) {
	t.Parallel()
	g := gomega.NewWithT(t)
	s, err := scenario.ByName(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	var progress strings.Builder
	outcome, err := scenario.Play(ctx, s, binaries, t.TempDir(), &progress)
	t.Log(progress.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("%+v", outcome.Report.Total)
	g.Expect(outcome.Violations()).To(gomega.BeEmpty())
	g.Expect(outcome.Report.Total.Counts.Answered).To(gomega.BeNumerically(">", 0))
}

// Guards against a planned stop that cuts responses, and against wrong responses and double runs while a backend server
// is frozen and a host is killed.
func TestDemo(t *testing.T) { play(t, "demo") }

// Guards against a node that cannot join without the configuration service, or joins with another version than its
// peers.
func TestServiceDown(t *testing.T) { play(t, "service-down") }

// Guards against a node that resumes after a pause and runs queued work that callers sent elsewhere meanwhile.
func TestFrozenNode(t *testing.T) { play(t, "frozen-node") }

// Guards against a response that is lost on a one-way or silent link and replaced by another one, or by a second run.
func TestFaultyLinks(t *testing.T) { play(t, "faulty-links") }

// Guards against a double run of a key when the node that the caller used is killed and the caller resends elsewhere.
func TestKillIngress(t *testing.T) { play(t, "kill-ingress") }

// Guards against a double run of a key when the owner is killed while its backend server goes on working.
func TestKillOwner(t *testing.T) { play(t, "kill-owner") }

// Guards against a double run of a key when ingress and owner are killed together.
func TestKillBoth(t *testing.T) { play(t, "kill-both") }

// Guards against a document that the nodes would reject.
func TestDocumentIsValid(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet, err := processes.NewFleet(binaries, t.TempDir(), scenario.Document())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer fleet.Close()
	g.Expect(config.Validate(fleet.Document())).To(gomega.Succeed())
}
