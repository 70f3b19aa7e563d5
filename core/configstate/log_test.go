package configstate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/configstate"
)

func mark(sequence uint64, digest string) configstate.Mark {
	return configstate.Mark{Version: configstate.Version{Epoch: 1, Sequence: sequence}, Digest: digest}
}

// Guards against deltas that do not start at the document held or that skip a version, against a log that outgrows its
// limits, and against deltas that are larger than the whole document.
func TestLogServesCompleteChainsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		maxSteps, maxBytes := rapid.IntRange(1, 6).Draw(t, "steps"), rapid.IntRange(10, 60).Draw(t, "bytes")
		log := configstate.NewLog[string](maxSteps, maxBytes)
		last := mark(1, "a")
		for i := range rapid.IntRange(1, 20).Draw(t, "adoptions") {
			if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
				last = mark(last.Version.Sequence+1, "gap")
			}
			next := mark(last.Version.Sequence+1, fmt.Sprint(i))
			size := rapid.IntRange(1, 20).Draw(t, "size")
			log.Append(configstate.Step[string]{From: last, To: next, Size: size, Delta: fmt.Sprint(i)})
			last = next
			g.Expect(log.Len()).To(gomega.BeNumerically("<=", maxSteps))
			whole := rapid.IntRange(1, 60).Draw(t, "whole")
			held := mark(rapid.Uint64Range(1, last.Version.Sequence).Draw(t, "held"),
				rapid.SampledFrom([]string{"a", "gap", fmt.Sprint(i - 1), fmt.Sprint(i - 2)}).Draw(t, "digest"))
			steps, ok := log.Since(held, whole)
			if !ok {
				continue
			}
			total := 0
			at := held
			for _, step := range steps {
				g.Expect(step.From).To(gomega.Equal(at))
				at = step.To
				total += step.Size
			}
			g.Expect(at).To(gomega.Equal(last))
			g.Expect(total).To(gomega.BeNumerically("<", whole))
			g.Expect(total).To(gomega.BeNumerically("<=", maxBytes))
		}
		previous, ok := log.Since(mark(last.Version.Sequence-1, "none"), 1000)
		g.Expect(ok).To(gomega.BeFalse(), "%v", previous)
	})
}

// Guards against a log that never serves a delta.
func TestLogServesTheLastStep(t *testing.T) {
	g := gomega.NewWithT(t)
	log := configstate.NewLog[string](2, 100)
	for i := range uint64(4) {
		log.Append(configstate.Step[string]{From: mark(i, ""), To: mark(i+1, ""), Size: 10})
	}
	steps, ok := log.Since(mark(2, ""), 1000)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(steps).To(gomega.HaveLen(2))
	_, ok = log.Since(mark(1, ""), 1000)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against a node that acts on an old configuration after a pause because of an answer from before it or of an
// answer that names a newer version, and against one that never serves again without contact.
func TestFreshnessAfterAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 5 * time.Second
	held, newer := mark(4, ""), mark(5, "")
	f := configstate.NewFreshness(limit)
	g.Expect(f.Fresh(0)).To(gomega.BeTrue())
	f.Pause(10 * time.Second)
	g.Expect(f.Fresh(11 * time.Second)).To(gomega.BeFalse())
	f.Confirm(held, held, 9*time.Second)
	g.Expect(f.Fresh(11*time.Second)).To(gomega.BeFalse(), "confirmed by an answer from before the pause")
	f.Confirm(held, newer, 11*time.Second)
	g.Expect(f.Fresh(11*time.Second)).To(gomega.BeFalse(), "confirmed although a newer version is known")
	f.Confirm(newer, newer, 12*time.Second)
	g.Expect(f.Fresh(12 * time.Second)).To(gomega.BeTrue())
	f.Pause(20 * time.Second)
	g.Expect(f.Fresh(20*time.Second + limit - 1)).To(gomega.BeFalse())
	g.Expect(f.Fresh(20*time.Second + limit)).To(gomega.BeTrue())
}

// Guards against take-over ages that let all hosts of a zone read at once or that exceed the bound of 17 s.
func TestTakeOverAgeIncreasesWithTheRank(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(configstate.TakeOverAge(2, 0)).To(gomega.Equal(4 * time.Second))
	g.Expect(configstate.TakeOverAge(2, 0.5)).To(gomega.Equal(4500 * time.Millisecond))
	g.Expect(configstate.TakeOverAge(500, 0)).To(gomega.Equal(10 * time.Second))
	g.Expect(configstate.TakeOverAge(configstate.UnknownRank, 0)).To(gomega.Equal(10 * time.Second))
	g.Expect(configstate.Holds(1)).To(gomega.BeTrue())
	g.Expect(configstate.Holds(2)).To(gomega.BeFalse())
	g.Expect(configstate.Holds(configstate.UnknownRank)).To(gomega.BeFalse())
}
