package main

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an example that no longer passes the checks, or that exchanges recorders without a reason.
func TestExampleBuildsTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := build(nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := build(first)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Services).To(gomega.Equal(first.Services))
	g.Expect(second.Version.Compare(first.Version)).To(gomega.Equal(1))
}
