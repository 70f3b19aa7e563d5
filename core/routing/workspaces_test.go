package routing_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/routing"
)

func keys(texts ...string) []routing.KeyDigest {
	var list []routing.KeyDigest
	for _, text := range texts {
		list = append(list, routing.DigestKey(text))
	}
	return list
}

// Guards against a configuration with workspaces that would be misread: each problem names its field, and no problem shows a key.
func TestInvalidWorkspacesAreRefused(t *testing.T) {
	priority := func(n int) *int { return &n }
	many := make([]routing.KeyDigest, 1001)
	for n := range many {
		many[n] = routing.DigestKey(fmt.Sprint(n))
	}
	for problem, w := range map[string]routing.Workspace{
		"workspaces[1].name: is missing":      {Keys: keys("k2")},
		"workspaces[1].name: \"a\" occurs":    {Name: "a"},
		"workspaces[1].keys[1]: is also":      {Name: "b", Keys: keys("k2", "k1")},
		"workspaces[1].keys[1]: is also held": {Name: "b", Keys: keys("k2", "k2")},
		"workspaces[1].keys: has 1001 keys":   {Name: "b", Keys: many},
		"workspaces[1].rate: -1 is not":       {Name: "b", Rate: -1},
		"workspaces[1].rate: 1e+09 is not":    {Name: "b", Rate: 1e9},
		"workspaces[1].burst: -2 is not":      {Name: "b", Burst: -2},
		"workspaces[1].priority: must be":     {Name: "b", Priority: priority(-1)},
		"workspaces[1].priority: must be fr":  {Name: "b", Priority: priority(1001)},
	} {
		t.Run(problem, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := &routing.Config{Version: 1, Workspaces: []routing.Workspace{{Name: "a", Keys: keys("k1")}, w}}
			err := c.Validate()
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(problem)))
			text, _ := routing.DigestKey("k1").MarshalText()
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring(string(text)))
		})
	}
}

// Guards against keys that a peer which fetches only the differences has although they were removed, or lacks.
func TestDeltasCarryWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		draw := func(version uint64) *routing.Config {
			c := &routing.Config{Version: version}
			for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-e]`), 0, 5, rapid.ID).Draw(t, "names") {
				c.Workspaces = append(c.Workspaces, routing.Workspace{
					Name: name, Keys: keys(name + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key")), Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate")),
				})
			}
			return c
		}
		from, to := draw(1), draw(2)
		text, err := json.Marshal(routing.Diff(from, to))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var d routing.Delta
		g.Expect(json.Unmarshal(text, &d)).To(gomega.Succeed())
		applied, err := d.Apply(from)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want, got := routing.NewTable(to), routing.NewTable(applied)
		g.Expect(got.RequiresKeys()).To(gomega.Equal(want.RequiresKeys()))
		for _, key := range strings.Fields("a1 a2 b1 b2 c1 c2 d1 d2 e1 e2") {
			g.Expect(got.WorkspaceOf(routing.DigestKey(key))).To(gomega.Equal(want.WorkspaceOf(routing.DigestKey(key))))
		}
	})
}
