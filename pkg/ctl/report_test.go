package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/ctl"
)

// reportLog is the log of two nodes: r1 is answered, r2 is rejected without a retry, r3 fails at an endpoint known to fail.
// The dispatcher's lines must not count as ends.
const reportLog = `{"time":"2026-12-04T12:00:00Z","level":"INFO","msg":"start","node":"a-1"}
{"time":"2026-12-04T12:00:01Z","msg":"decision","request_id":"r1","step":"choose","route":"status","taken":"i-1","peer":"10.0.0.1","reason":"lowest-cost","inputs":{"fail":0.01,"free":2}}
{"time":"2026-12-04T12:00:01.1Z","msg":"decision","request_id":"r1","step":"dispatch","route":"status","taken":"i-1","outcome":"answered","reason":"admitted","inputs":{"attempt":"x-1","status":200}}
{"time":"2026-12-04T12:00:01.1Z","msg":"decision","request_id":"r1","step":"respond","route":"status","taken":"i-1","outcome":"answered","reason":"passed-on","inputs":{"attempt":1,"ms":100,"status":200,"target_ms":600}}
{"time":"2026-12-04T12:00:02Z","msg":"decision","request_id":"r2","step":"choose","route":"charge","taken":"i-1","peer":"10.0.0.1","reason":"lowest-cost","inputs":{"fail":0.2,"free":2}}
{"time":"2026-12-04T12:00:02Z","msg":"decision","request_id":"r2","step":"retry","route":"charge","outcome":"no-retry","reason":"budget","inputs":{"budget_left":0}}
{"time":"2026-12-04T12:00:02Z","msg":"decision","request_id":"r2","step":"dispatch","route":"charge","outcome":"not-run","reason":"endpoint-rejected","inputs":{"ms":2,"status":503}}
{"time":"2026-12-04T12:00:05Z","msg":"decision","request_id":"r3","step":"choose","route":"status","taken":"i-2","peer":"10.0.0.2","reason":"explore","inputs":{"fail":0.8}}
{"time":"2026-12-04T12:00:05Z","msg":"decision","request_id":"r3","step":"send","peer":"10.0.0.2","route":"status","outcome":"unknown","reason":"connection-lost","inputs":{"ms":3,"status":502}}
`

func writeLog(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "node.log")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a report whose causes do not add up to the number of requests.
func TestReportCountsEachRequestOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	code, stdout, stderr := run("report", "--json", "--requests", writeLog(t, reportLog))
	g.Expect(stderr).To(gomega.BeEmpty())
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess))
	var report struct {
		Requests int
		Causes   []struct {
			Cause       string
			Requests    int
			RetryDenied int `json:"retry_denied"`
		}
		Losses []struct {
			RequestID string `json:"request_id"`
		}
	}
	g.Expect(json.Unmarshal([]byte(stdout), &report)).To(gomega.Succeed())
	g.Expect(report.Requests).To(gomega.Equal(3))
	sum, denied := 0, 0
	for _, c := range report.Causes {
		sum += c.Requests
		denied += c.RetryDenied
	}
	g.Expect(sum).To(gomega.Equal(3))
	g.Expect(denied).To(gomega.Equal(1))
	g.Expect(report.Losses).To(gomega.HaveLen(2))
}

// Guards against tables that operators cannot read a cause from.
func TestReportPrintsCausesAndWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	code, stdout, _ := run("report", "--window", "1s", writeLog(t, reportLog))
	g.Expect(code).To(gomega.Equal(ctl.ExitSuccess))
	g.Expect(stdout).To(gomega.MatchRegexp(`rejected +1 +0\.3333 +2 +1`))
	g.Expect(stdout).To(gomega.MatchRegexp(`failed-foreseen +1 `))
	g.Expect(stdout).To(gomega.MatchRegexp(`(?m)^ +4 +1 `))
}

// Guards against a report on logs that are damaged, and against an error that does not say where.
func TestReportRefusesDamagedLogs(t *testing.T) {
	cases := []struct{ name, log, want string }{
		{"not JSON", reportLog + "cut off {", `node.log, line 10: not a JSON log line`},
		{"inputs of another type", `{"time":"2026-12-04T12:00:00Z","msg":"decision","request_id":"r","step":"send","inputs":{"status":"ok"}}`, `line 1: inputs of the decision on request r`},
		{"no time", `{"msg":"decision","request_id":"r","step":"send"}`, `line 1: decision on request r lacks its time`},
		{"no decisions", `{"time":"2026-12-04T12:00:00Z","msg":"start"}`, `no decision on a request`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			code, _, stderr := run("report", writeLog(t, c.log))
			g.Expect(code).To(gomega.Equal(ctl.ExitFailure))
			g.Expect(stderr).To(gomega.ContainSubstring(c.want))
		})
	}
	g := gomega.NewWithT(t)
	code, _, _ := run("report", "--window", "0s", writeLog(t, reportLog))
	g.Expect(code).To(gomega.Equal(ctl.ExitUsage))
	code, _, _ = run("report")
	g.Expect(code).To(gomega.Equal(ctl.ExitUsage))
}
