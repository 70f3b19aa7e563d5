package routing_test

import (
	"cmp"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/routing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func route(host, prefix string, targets ...routing.Target) routing.Route {
	return routing.Route{
		Name: host + prefix, Host: host, Prefix: prefix, Kind: routing.Safe, Timeout: time.Second, Attempts: 2, Targets: targets,
	}
}

// Guards against a request that is sent to the service of another host or of a shorter prefix.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		prefix := rapid.Custom(func(t *rapid.T) string {
			parts := rapid.SliceOfN(segment, 0, 3).Draw(t, "segments")
			return strings.Join(append([]string{""}, append(parts, "")...), "/")
		})
		host := rapid.SampledFrom([]string{"one.example", "two.example"})
		c := &routing.Config{Version: 1}
		seen := make(map[string]bool)
		for range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := route(host.Draw(t, "host"), prefix.Draw(t, "prefix"), routing.Target{Service: "s", Weight: 1})
			if !seen[r.Name] {
				seen[r.Name] = true
				c.Routes = append(c.Routes, r)
			}
		}
		table := routing.NewTable(c)
		asked, path := host.Draw(t, "asked host"), prefix.Draw(t, "path")+segment.Draw(t, "last")
		want := ""
		for _, r := range c.Routes {
			if r.Host == asked && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) >= len(strings.TrimPrefix(want, asked)) {
				want = r.Name
			}
		}
		got := ""
		if r := table.Match(strings.ToUpper(asked)+":80", path); r != nil {
			got = r.Name
		}
		g.Expect(got).To(gomega.Equal(want))
	})
}

// Guards against a split that sends requests to a part without weight or leaves out one that has some.
func TestSplitFollowsTheWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := route("h", "/", routing.Target{Service: "a", Weight: 90}, routing.Target{Service: "none", Weight: 0}, routing.Target{Service: "b", Weight: 10})
	counts := make(map[string]int)
	for n := range 1000 {
		counts[r.Pick(float64(n)/1000)]++
	}
	g.Expect(counts).To(gomega.Equal(map[string]int{"a": 900, "b": 100}))
}

// Guards against a configuration that is taken with a route nobody can serve.
func TestValidateNamesEachProblem(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &routing.Config{
		Version:  0,
		Services: []routing.Service{{Name: "s"}, {Name: "s"}},
		Routes:   []routing.Route{{Host: "h", Prefix: "a", Targets: []routing.Target{{Service: "x"}}}},
	}
	err := c.Validate()
	g.Expect(err).To(gomega.HaveOccurred())
	for _, part := range []string{
		"version", "services[1].name", "routes[0].prefix", "routes[0].kind", "routes[0].timeout", "routes[0].attempts", "routes[0].targets[0].service",
	} {
		g.Expect(err.Error()).To(gomega.ContainSubstring(part))
	}
}

// Guards against a fleet that refuses a whole configuration because of one kind that a later release has added, and against
// requests of such a kind that run twice.
func TestUnknownKindsRunAtMostOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	odd := route("h", "/odd/", routing.Target{Service: "s", Weight: 1})
	odd.Kind = "stream"
	c := &routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{route("h", "/", routing.Target{Service: "s", Weight: 1}), odd},
	}
	g.Expect(c.Validate()).To(gomega.Succeed())
	g.Expect(c.UnknownValues()).To(gomega.ConsistOf(gomega.And(gomega.ContainSubstring("routes[1].kind"), gomega.ContainSubstring("stream"))))
	g.Expect(routing.NewTable(c).Match("h", "/odd/x").Kind.Repeatable()).To(gomega.BeFalse())
}

// Guards against uploads that run twice, or that are taken for an unknown kind.
func TestUploadsAreUnsafeAndLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(routing.Upload.Known()).To(gomega.BeTrue())
	g.Expect(routing.Upload.Repeatable()).To(gomega.BeFalse())
	g.Expect(routing.Upload.Large()).To(gomega.BeTrue())
}

// Guards against a node that serves other routes than those of the version it claims, because it applied the changes
// instead of reading the whole.
func TestDeltaLeadsToTheLaterVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		version := rapid.Custom(func(t *rapid.T) *routing.Config {
			c := &routing.Config{Version: rapid.Uint64Range(1, 5).Draw(t, "version"), Services: []routing.Service{{Name: "s"}}}
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, "names") {
				r := route("h", "/"+name+"/", routing.Target{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")})
				r.Name = name
				c.Routes = append(c.Routes, r)
			}
			return c
		})
		from, to := version.Draw(t, "from"), version.Draw(t, "to")
		got, err := routing.Diff(from, to).Apply(from)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.Version).To(gomega.Equal(to.Version))
		g.Expect(got.Routes).To(gomega.ConsistOf(to.Routes))
		other := *from
		other.Version = from.Version + 1
		_, err = routing.Diff(from, to).Apply(&other)
		g.Expect(err).To(gomega.MatchError(routing.ErrWrongBase))
	})
}
