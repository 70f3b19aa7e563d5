package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/admin"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/ctl"
	"agatepulley.example/agatepulley/pkg/decision"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = ctl.Run(context.Background(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func document() *config.Document {
	return &config.Document{
		Format:  config.Format,
		Version: config.Version{Epoch: 1, Sequence: 7},
		Hosts:   []config.Host{{ID: "h1", Address: "127.0.0.1", Zone: "z1", IngressPort: 7000, HopPort: 7001, PeerPort: 7002}},
		Services: []config.Service{{
			Name: "desk", FloorPercent: 50, Endpoints: []config.Endpoint{{ID: "desk-1", Host: "h1", Slots: 3}},
		}},
		Routes: []config.Route{{ID: "all", PathPrefix: "/", Service: "desk", Repeatable: true}},
	}
}

func writeFile(t *testing.T, d *config.Document) string {
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func serveNode(t *testing.T) string {
	mux := http.NewServeMux()
	reply := func(value any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) }
	}
	mux.HandleFunc("/status", reply(admin.Status{
		Node: admin.NodeStatus{Host: "h1", Zone: "z1", State: "serving"},
		Configuration: admin.ConfigurationStatus{
			Version: config.Version{Epoch: 1, Sequence: 7}, Source: "peer", ReadAgeSeconds: -1,
			Alarms: []admin.Alarm{{Name: "digest-conflict", Text: "two documents with version 1.7"}},
		},
		Hosts: []admin.HostStatus{
			{Host: "h2", Zone: "z2", Version: &config.Version{Epoch: 1, Sequence: 6}, SecondsSinceContact: 1.5},
			{Host: "h3", Zone: "z3", SecondsSinceContact: -1, Leaving: true},
		},
		Services: []admin.ServiceStatus{{Name: "desk", Endpoints: []admin.EndpointStatus{
			{ID: "desk-1", State: "ejected", Reason: "score 8.1 over 7.0"},
			{ID: "desk-2", State: "leaving", Limit: new(2.4)},
		}}},
		Owned:    []admin.OwnedStatus{{ID: "desk-9", Busy: 2, Slots: 3}},
		Suspects: []admin.SuspectStatus{{Fingerprint: "f1", Service: "desk", Action: "refuse", Crashed: []string{"desk-7"}}},
		Leaving:  []admin.LeavingStatus{{Host: "h3", Source: "host-list", Since: time.Unix(0, 0)}},
	}))
	mux.HandleFunc("POST "+admin.LiftPath+"f1", reply(admin.Lifted{Fingerprint: "f1"}))
	mux.HandleFunc("/explain/r1", reply(admin.Explanation{RequestID: "r1", Decisions: []decision.Decision{
		{Step: "choose", Subject: "desk-1", Reason: "least-loaded", Candidates: []decision.Candidate{{Endpoint: "desk-2", State: "suspect"}}},
	}}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against exit codes that let scripts take a rejected document or a bad command line for a success.
func TestExitCodes(t *testing.T) {
	invalid := document()
	invalid.Services[0].Endpoints[0].Slots = -1
	node := serveNode(t)
	cases := map[string]struct {
		args []string
		code int
	}{
		"help":             {[]string{"--help"}, ctl.ExitSuccess},
		"command help":     {[]string{"load", "--help"}, ctl.ExitSuccess},
		"valid":            {[]string{"validate", writeFile(t, document())}, ctl.ExitSuccess},
		"invalid":          {[]string{"validate", writeFile(t, invalid)}, ctl.ExitFailure},
		"missing file":     {[]string{"validate", filepath.Join(t.TempDir(), "none")}, ctl.ExitFailure},
		"no command":       {nil, ctl.ExitUsage},
		"unknown command":  {[]string{"reboot"}, ctl.ExitUsage},
		"unknown flag":     {[]string{"validate", "--fast", "x"}, ctl.ExitUsage},
		"missing argument": {[]string{"validate"}, ctl.ExitUsage},
		"extra argument":   {[]string{"status", node, "x"}, ctl.ExitUsage},
		"diff missing":     {[]string{"diff", "x"}, ctl.ExitUsage},
		"bad node":         {[]string{"status", "localhost"}, ctl.ExitUsage},
		"not listening":    {[]string{"status", "127.0.0.1:1"}, ctl.ExitFailure},
		"unknown request":  {[]string{"explain", node, "r2"}, ctl.ExitFailure},
		"lift":             {[]string{"lift", node, "f1"}, ctl.ExitSuccess},
		"lift of nothing":  {[]string{"lift", node, "f2"}, ctl.ExitFailure},
		"remote target":    {[]string{"load", "--target", "192.0.2.1:1", "--request", "1 GET /"}, ctl.ExitUsage},
		"bad request":      {[]string{"load", "--target", "127.0.0.1:1", "--request", "GET /"}, ctl.ExitUsage},
	}
	for name, test := range cases {
		code, stdout, stderr := run(test.args...)
		g := gomega.NewWithT(t)
		g.Expect(code).To(gomega.Equal(test.code), "%s: %s%s", name, stdout, stderr)
		if test.code != ctl.ExitSuccess {
			g.Expect(stderr).NotTo(gomega.BeEmpty(), name)
		}
	}
}

// Guards against a check that stops at the first error or does not name the field.
func TestValidateListsAllErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	d := document()
	d.Services[0].Endpoints[0].Slots = -1
	d.Routes[0].Service = "nowhere"
	_, _, stderr := run("validate", writeFile(t, d))
	g.Expect(stderr).To(gomega.ContainSubstring("services[0].endpoints[0].slots"))
	g.Expect(stderr).To(gomega.ContainSubstring("routes[0].service"))
}

// Guards against a diff that omits a changed field or does not warn of a version that nodes would reject.
func TestDiffListsFieldsAndLowVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	after := document()
	after.Services[0].Endpoints[0].Slots = 5
	after.Services[0].FloorPercent = 60
	after.Routes = append(after.Routes, config.Route{ID: "charges", PathPrefix: "/charges", Service: "desk", Repeatable: true})
	before := writeFile(t, document())
	code, stdout, stderr := run("diff", before, writeFile(t, after))
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess), stderr)
	for _, line := range []string{
		"warning: the new version is not higher", "changed endpoint desk/desk-1\n  slots: 3 -> 5\n",
		"changed service desk\n  floor_percent: 50 -> 60\n", "added route charges", `path_prefix: none -> "/charges"`,
	} {
		g.Expect(stdout).To(gomega.ContainSubstring(line))
	}
	_, stdout, _ = run("diff", before, before)
	g.Expect(stdout).To(gomega.Equal("version 1.7 -> 1.7, 0 changed entries\n"))
}

// Guards against a status that leaves out what an operator needs to find a node with an old configuration or an
// endpoint out of rotation.
func TestStatusShowsVersionsAlarmsAndReasons(t *testing.T) {
	g := gomega.NewWithT(t)
	node := serveNode(t)
	code, stdout, stderr := run("status", node)
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess), stderr)
	for _, text := range []string{"1.7", "digest-conflict", "1.6", "unknown", "never", "ejected", "score 8.1 over 7.0", "2.4/s", "desk-9", "host-list", "desk-7"} {
		g.Expect(stdout).To(gomega.ContainSubstring(text))
	}
	_, stdout, _ = run("status", "--json", node)
	g.Expect(json.Valid([]byte(stdout))).To(gomega.BeTrue())
}

// Guards against an explanation that omits the candidates that were not chosen.
func TestExplainShowsDecisions(t *testing.T) {
	g := gomega.NewWithT(t)
	code, stdout, _ := run("explain", serveNode(t), "r1")
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess))
	for _, text := range []string{"choose", "desk-1", "least-loaded", "desk-2 (suspect, 0.00)"} {
		g.Expect(stdout).To(gomega.ContainSubstring(text))
	}
}

// Guards against a load run that exits with success although a response was wrong.
func TestLoadFailsOnWrongResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	node := serveNode(t)
	args := []string{"load", "--target", node, "--count", "3", "--rate", "1000"}
	code, stdout, _ := run(append(args, "--request", "1 GET /status")...)
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess))
	g.Expect(stdout).To(gomega.ContainSubstring("total"))
	code, _, stderr := run(append(args, "--request", "1 GET /status?bytes=5 check")...)
	g.Expect(code).To(gomega.Equal(ctl.ExitFailure))
	g.Expect(stderr).To(gomega.ContainSubstring("3 of 3 requests"))
}
