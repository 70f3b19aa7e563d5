package pattern_test

import (
	"bytes"
	"cmp"
	"flag"
	"io"
	"os"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/load/pattern"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a check that accepts a truncated, extended or altered body, or rejects a complete one that arrives in
// small reads.
func TestVerifyAcceptsExactlyTheBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		seed := rapid.Uint64().Draw(t, "seed")
		length := rapid.Int64Range(1, 70000).Draw(t, "length")
		body, err := io.ReadAll(pattern.NewReader(seed, length))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n, err := pattern.Verify(iotest.HalfReader(bytes.NewReader(body)), seed, length)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(length))

		cut := rapid.Int64Range(0, length-1).Draw(t, "cut")
		_, err = pattern.Verify(bytes.NewReader(body[:cut]), seed, length)
		g.Expect(err).To(gomega.MatchError(pattern.ErrShort))
		_, err = pattern.Verify(bytes.NewReader(append(bytes.Clone(body), 0)), seed, length)
		g.Expect(err).To(gomega.MatchError(pattern.ErrWrong))
		body[cut]++
		_, err = pattern.Verify(bytes.NewReader(body), seed, length)
		g.Expect(err).To(gomega.MatchError(pattern.ErrWrong))
	})
}

// Guards against two different requests with the same expected body.
func TestSeedDependsOnEachPart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := pattern.Seed("GET", "/a?b=1", "c", []byte("d"))
	g.Expect(pattern.Seed("POST", "/a?b=1", "c", []byte("d"))).NotTo(gomega.Equal(base))
	g.Expect(pattern.Seed("GET", "/a?b=2", "c", []byte("d"))).NotTo(gomega.Equal(base))
	g.Expect(pattern.Seed("GET", "/a?b=1", "", []byte("cd"))).NotTo(gomega.Equal(base))
	g.Expect(pattern.Seed("GET", "/a?b=1", "c", nil)).NotTo(gomega.Equal(base))
}
