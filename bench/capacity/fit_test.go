package main

import (
	"math"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a wrong slope or base, from which every figure at full size is computed.
func TestFitLineFindsAnExactLine(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := fitLine([]point{{1, 5}, {2, 8}, {4, 14}, {8, 26}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.slope).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(l.base).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(l.slopeError).To(gomega.BeNumerically("~", 0, 1e-9))
	g.Expect(l.deviation).To(gomega.BeNumerically("~", 0, 1e-9))
	g.Expect(l.at(100)).To(gomega.BeNumerically("~", 302, 1e-9))
}

// Guards against errors of the fit that understate the scatter. The expected values were computed by hand: residuals
// 1/3, -2/3, 1/3 around value = 2/3 + size.
func TestFitLineStatesItsErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := fitLine([]point{{0, 1}, {1, 1}, {2, 3}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.slope).To(gomega.BeNumerically("~", 1, 1e-9))
	g.Expect(l.base).To(gomega.BeNumerically("~", 2.0/3, 1e-9))
	g.Expect(l.slopeError).To(gomega.BeNumerically("~", math.Sqrt(1.0/3), 1e-9))
	g.Expect(l.deviation).To(gomega.BeNumerically("~", 2.0/9, 1e-9))
}

// Guards against a slope from a single size, which would be a division by zero.
func TestFitLineNeedsTwoSizes(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := fitLine([]point{{3, 1}, {3, 2}})
	g.Expect(err).To(gomega.MatchError(errTooFewSizes))
	_, err = fitLine(nil)
	g.Expect(err).To(gomega.MatchError(errTooFewSizes))
}

// Guards against a crossover between whole document and deltas that is reported where there is none.
func TestCrossover(t *testing.T) {
	g := gomega.NewWithT(t)
	size, ok := crossover(line{base: 10}, line{base: 2, slope: 4})
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(size).To(gomega.BeNumerically("~", 2, 1e-9))
	_, ok = crossover(line{base: 1}, line{base: 2, slope: 4})
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = crossover(line{base: 1, slope: 4}, line{base: 2, slope: 4})
	g.Expect(ok).To(gomega.BeFalse())
}
