package membership_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a ranking that depends on the order of its input, or that reorders the remaining ids when one leaves.
func TestRankIsStableUnderRemovalAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,4}`), 2, 12, rapid.ID[string]).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		ranked := membership.Rank(key, ids)
		shuffled := rapid.Permutation(ids).Draw(t, "shuffled")
		g.Expect(membership.Rank(key, shuffled)).To(gomega.Equal(ranked))
		removed := rapid.SampledFrom(ids).Draw(t, "removed")
		rest := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == removed })
		want := slices.DeleteFunc(slices.Clone(ranked), func(id string) bool { return id == removed })
		g.Expect(membership.Rank(key, rest)).To(gomega.Equal(want))
	})
}

// Guards against a hash that ranks similar ids first for most keys, so that one host would serve most keys.
func TestRankSpreadsKeysOverSimilarIDs(t *testing.T) {
	g := gomega.NewWithT(t)
	ids := []string{"h1", "h2", "h3", "h4", "h5"}
	first := map[string]int{}
	for i := range 5000 {
		first[membership.Rank(fmt.Sprintf("key-%d", i), ids)[0]]++
	}
	for _, id := range ids {
		g.Expect(first[id]).To(gomega.BeNumerically("~", 1000, 150), id)
	}
}
