package config_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	// rapid would replay the failure files of earlier runs, and the result would depend on them.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const sample = `{"format":"agatepulley/1","version":{"epoch":1,"sequence":7},
 "hosts":[{"id":"h1","address":"127.0.0.1","zone":"z1","region":"r1","hop_port":7001,"peer_port":7002,"ingress_port":7000}],
 "services":[{"name":"order-desk","floor_percent":70,"health":{},"admission":{},"retry":{},"balance":{},
    "claims":{"window_ms":120000,"generation":1,"recorders":["h1"],"previous":[]},
    "endpoints":[{"id":"order-1","host":"h1","slots":3,"draining":false}]}],
 "routes":[{"id":"charge","path_prefix":"/charges","methods":["POST"],"service":"order-desk","repeatable":false,
    "key_required":true,"deadline_ms":5000,"max_body_bytes":1048576,"class":"auto","workspace_required":false}],
 "workspaces":[{"id":"w1","max_in_flight":0}]}`

// Guards against rejecting a valid document with all settings groups, and against settings without their defaults.
func TestParseAcceptsTheDocumentedExample(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot, err := config.Parse([]byte(sample))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(snapshot.Version()).To(gomega.Equal(config.Version{Epoch: 1, Sequence: 7}))
	g.Expect(snapshot.Digest()).To(gomega.HaveLen(64))
	g.Expect(snapshot.Service("order-desk").Retry.MaxAttempts).To(gomega.Equal(config.DefaultMaxAttempts))
	route, _ := snapshot.Route("POST", "/charges/12")
	g.Expect(route).NotTo(gomega.BeNil())
}

// Guards against a check that is missing, reports a wrong path, or stops at the first error.
func TestParseReportsEveryInvalidFieldWithItsPath(t *testing.T) {
	const endpoint = `{"id":"order-1","host":"h1","slots":3,"draining":false}`
	const host = `{"id":"h1","address":"127.0.0.1","zone":"z1","region":"r1","hop_port":7001,"peer_port":7002,"ingress_port":7000}`
	cases := []struct{ name, old, new, path string }{
		{"format", `agatepulley/1`, `agatepulley/2`, "format"},
		{"version zero", `"epoch":1,"sequence":7`, `"epoch":0,"sequence":0`, "version"},
		{"host name for an address", `"127.0.0.1"`, `"localhost"`, "hosts[0].address"},
		{"unspecified address", `"127.0.0.1"`, `"0.0.0.0"`, "hosts[0].address"},
		{"zone missing", `"zone":"z1"`, `"zone":""`, "hosts[0].zone"},
		{"port too high", `"hop_port":7001`, `"hop_port":70010`, "hosts[0].hop_port"},
		{"port missing", `,"ingress_port":7000`, ``, "hosts[0].ingress_port"},
		{"port used twice", `"peer_port":7002`, `"peer_port":7001`, "hosts[0].peer_port"},
		{"host twice", host, host + "," + strings.ReplaceAll(host, "127.0.0.1", "127.0.0.2"), "hosts[1].id"},
		{"floor", `"floor_percent":70`, `"floor_percent":101`, "services[0].floor_percent"},
		{"health range", `"health":{}`, `"health":{"hold_off_ms":-1}`, "services[0].health.hold_off_ms"},
		{"eject below suspect", `"health":{}`, `"health":{"eject_score":2}`, "services[0].health.eject_score"},
		{"queue", `"admission":{}`, `"admission":{"queue_per_slot":5000}`, "services[0].admission.queue_per_slot"},
		{"budget", `"retry":{}`, `"retry":{"budget_percent":101}`, "services[0].retry.budget_percent"},
		{"slack", `"balance":{}`, `"balance":{"zone_slack_percent":-5}`, "services[0].balance.zone_slack_percent"},
		{"window too short", `120000`, `4999`, "services[0].claims.window_ms"},
		{"window too long", `120000`, `3600001`, "services[0].claims.window_ms"},
		{"unknown recorder", `["h1"]`, `["h9"]`, "services[0].claims.recorders[0]"},
		{"even group", `["h1"]`, `["h1","h1"]`, "services[0].claims.recorders"},
		{"recorder twice", `["h1"]`, `["h1","h1","h1"]`, "services[0].claims.recorders[1]"},
		{"seven recorders", `["h1"]`, `["h1","h1","h1","h1","h1","h1","h1"]`, "services[0].claims.recorders"},
		{"generation missing", `"generation":1,`, ``, "services[0].claims.generation"},
		{"unknown previous", `"previous":[]`, `"previous":["h9"]`, "services[0].claims.previous[0]"},
		{"slots", `"slots":3`, `"slots":0`, "services[0].endpoints[0].slots"},
		{"slots too high", `"slots":3`, `"slots":1025`, "services[0].endpoints[0].slots"},
		{"endpoint host", `"host":"h1"`, `"host":"h2"`, "services[0].endpoints[0].host"},
		{"endpoint twice", endpoint, endpoint + "," + endpoint, "services[0].endpoints[1].id"},
		{"prefix", `"/charges"`, `"charges"`, "routes[0].path_prefix"},
		{"method", `"POST"`, `"post"`, "routes[0].methods[0]"},
		{"route service", `"service":"order-desk"`, `"service":"nowhere"`, "routes[0].service"},
		{"class", `"auto"`, `"medium"`, "routes[0].class"},
		{"deadline", `5000`, `-1`, "routes[0].deadline_ms"},
		{"body limit", `1048576`, `-1`, "routes[0].max_body_bytes"},
		{"key on a repeatable route", `"repeatable":false`, `"repeatable":true`, "routes[0].key_required"},
		{"no recorders", `"generation":1,"recorders":["h1"],`, ``, "routes[0].repeatable"},
		{"workspace id", `"w1"`, `""`, "workspaces[0].id"},
		{"workspace limit", `"max_in_flight":0`, `"max_in_flight":-1`, "workspaces[0].max_in_flight"},
		{"unknown field", `"slots":3`, `"slots":3,"slot":4`, "services[0].endpoints[0].slot"},
		{"field in another case", `"slots":3`, `"Slots":3`, "services[0].endpoints[0].Slots"},
		{"field twice", `"slots":3`, `"slots":3,"slots":4`, "services[0].endpoints[0].slots"},
		{"wrong type", `"slots":3`, `"slots":"3"`, "services[0].endpoints[0].slots"},
		{"fraction", `"slots":3`, `"slots":3.5`, "services[0].endpoints[0].slots"},
		{"overlap", `"routes":[`, `"routes":[{"id":"other","path_prefix":"/charges","service":"order-desk","repeatable":true},`,
			"routes[1].path_prefix"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(sample).To(gomega.ContainSubstring(c.old))
			_, err := config.Parse([]byte(strings.Replace(sample, c.old, c.new, 1)))
			var invalid *config.InvalidError
			g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue(), "%v", err)
			g.Expect(invalid.Has(c.path)).To(gomega.BeTrue(), "%v", err)
		})
	}
	g := gomega.NewWithT(t)
	several := strings.NewReplacer(`"slots":3`, `"slots":0`, `"127.0.0.1"`, `"a.example"`, `"/charges"`, `"x"`)
	_, err := config.Parse([]byte(several.Replace(sample)))
	var invalid *config.InvalidError
	g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue())
	g.Expect(invalid.Fields).To(gomega.HaveLen(3))
	g.Expect(invalid.Error()).To(gomega.ContainSubstring("services[0].endpoints[0].slots: 0 is out of range; valid: 1 to 1024"))
}

// Guards against accepting a text with two documents and using only the first.
func TestParseRejectsTrailingData(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := config.Parse([]byte(sample + "{}"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("after the end of the document")))
}

// Guards against digests that depend on the order or the spacing in which an operator writes the same content, which
// would raise false conflicts, and against a canonical text that does not parse back to itself.
func TestDigestDependsOnContentOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		document := drawDocument(t)
		want, err := config.Digest(document)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		shuffled := shuffle(t, document)
		text, err := json.MarshalIndent(shuffled, "", " ")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		snapshot, err := config.Parse(text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(snapshot.Digest()).To(gomega.Equal(want))
		canonical, err := config.Canonical(snapshot.Document())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(config.DigestBytes(canonical)).To(gomega.Equal(want))
		again, err := config.Decode(canonical)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(snapshot.Document()))
	})
}

// Guards against hand-written encoding code that differs from the field tags, so that a digest would not cover a field.
func TestCanonicalEqualsTheStandardEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		document := config.Normalize(&config.Document{
			Services:   rapid.SliceOfN(rapid.Make[config.Service](), 0, 3).Draw(t, "services"),
			Routes:     rapid.SliceOfN(rapid.Make[config.Route](), 0, 3).Draw(t, "routes"),
			Workspaces: rapid.SliceOfN(rapid.Make[config.Workspace](), 0, 3).Draw(t, "workspaces"),
		})
		var want bytes.Buffer
		encoder := json.NewEncoder(&want)
		encoder.SetEscapeHTML(false)
		g.Expect(encoder.Encode(document)).To(gomega.Succeed())
		got, err := config.Canonical(document)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(strings.TrimSuffix(want.String(), "\n")))
	})
}

// Guards against a base that changes the result of parsing, for texts that are canonical or not and valid or not.
func TestParseNextEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		base, err := config.FromDocument(drawDocument(t))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		document := drawDocument(t)
		if rapid.Bool().Draw(t, "odd text") && len(document.Workspaces) > 0 {
			document.Workspaces[0].ID = rapid.String().Draw(t, "id")
		}
		text, err := config.Canonical(document)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		switch rapid.IntRange(0, 3).Draw(t, "text") {
		case 0:
			text, err = json.MarshalIndent(document, "", " ")
			g.Expect(err).NotTo(gomega.HaveOccurred())
		case 1:
			text = text[:rapid.IntRange(0, len(text)).Draw(t, "length")]
		case 2:
			text = bytes.Replace(text, []byte(`{"id"`), []byte(`{"ID":"x","id"`), 1)
		}
		want, wantErr := config.Parse(text)
		got, gotErr := config.ParseNext(base, text)
		if wantErr != nil {
			g.Expect(gotErr).To(gomega.MatchError(wantErr.Error()))
			return
		}
		g.Expect(gotErr).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want))
	})
}
