package main

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a time to adopt that is taken from an earlier version, from another message, or that counts a node that
// skipped to a later version as one that never adopted.
func TestTimeToAdopt(t *testing.T) {
	g := gomega.NewWithT(t)
	log := `{"time":"2026-12-04T05:40:00Z","level":"INFO","msg":"configuration adopted","version":"1.1"}
{"time":"2026-12-04T05:40:02Z","level":"INFO","msg":"configuration rejected","version":"1.9"}
{"time":"2026-12-04T05:40:03Z","level":"INFO","msg":"configuration adopted","version":"1.10"}
not json, configuration adopted
`
	list := adoptions(log)
	g.Expect(list).To(gomega.HaveLen(2))
	published := time.Date(2026, 12, 4, 5, 40, 1, 0, time.UTC)
	for _, version := range []string{"1.2", "1.10"} {
		took, ok := timeToAdopt(list, version, published)
		g.Expect(ok).To(gomega.BeTrue(), version)
		g.Expect(took).To(gomega.Equal(2*time.Second), version)
	}
	_, ok := timeToAdopt(list, "1.11", published)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against wrong units or fields of the usage of processes.
func TestParseFields(t *testing.T) {
	g := gomega.NewWithT(t)
	fields := parseFields("Name:\tagatepulley\nVmRSS:\t   20480 kB\nrchar: 12\nempty:\n")
	g.Expect(fields).To(gomega.Equal(map[string]float64{"VmRSS": 20480, "rchar": 12}))
}

// Guards against a spread that depends on the order of the values.
func TestSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	middle, least, most := spread([]float64{5, 1, 4, 2, 3})
	g.Expect([]float64{middle, least, most}).To(gomega.Equal([]float64{3, 1, 5}))
}
