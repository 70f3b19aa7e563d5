package telemetry_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

func export(g *gomega.WithT, t *telemetry.Telemetry) string {
	recorder := httptest.NewRecorder()
	t.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(recorder.Code).To(gomega.Equal(200))
	return recorder.Body.String()
}

// Guards against metrics that are recorded but not exported, or exported with other names or labels than operators
// query.
func TestExportShowsRecordedValues(t *testing.T) {
	g := gomega.NewWithT(t)
	tel, err := telemetry.New()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m := tel.Metrics()
	m.Request("desk", outcome.Answered, 20*time.Millisecond, 300*time.Microsecond)
	m.Request("desk", outcome.Unknown, time.Second, -1)
	m.Refused("desk", outcome.ReasonQueueFull)
	g.Expect(m.ObserveDecisionsDropped(func() uint64 { return 3 })).To(gomega.Succeed())
	g.Expect(m.ObserveConfig(func() telemetry.ConfigState {
		return telemetry.ConfigState{Epoch: 1, Sequence: 7, Age: 2 * time.Second}
	})).To(gomega.Succeed())
	g.Expect(m.ObservePeerTraffic(func() telemetry.PeerTraffic {
		return telemetry.PeerTraffic{SentMessages: 4, SentBytes: 1800}
	})).To(gomega.Succeed())
	text := export(g, tel)
	for _, line := range []string{
		`agatepulley_requests_total{outcome="answered",service="desk"} 1`,
		`agatepulley_refusals_total{reason="queue-full",service="desk"} 1`,
		`agatepulley_added_time_seconds_bucket{outcome="answered",service="desk",le="0.0003"} 1`,
		`agatepulley_request_duration_seconds_count{outcome="unknown",service="desk"} 1`,
		`agatepulley_peer_frames_total{direction="out"} 4`,
		`agatepulley_peer_frame_bytes_total{direction="out"} 1800`,
		`agatepulley_decision_lines_dropped_total 3`,
		`agatepulley_config_sequence 7`,
		`agatepulley_config_age_seconds 2`,
	} {
		g.Expect(text).To(gomega.ContainSubstring(line + "\n"))
	}
	g.Expect(text).NotTo(gomega.ContainSubstring(`agatepulley_added_time_seconds_count{outcome="unknown"`))
}

// Guards against a node that panics when it runs without metrics.
func TestNilMetricsRecordNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	var m *telemetry.Metrics
	m.Request("desk", outcome.Answered, time.Second, 0)
	m.Refused("desk", outcome.ReasonCold)
	m.Retried("desk", outcome.ReasonConnect)
	m.Hedged("desk")
	m.Ejected("desk")
	m.Readmitted("desk")
	m.DuplicateStopped("desk")
	m.ConnectionClosed("timeout")
	m.CrashSuspect("desk")
	m.LateResponse()
	m.MismatchedResponse()
	m.Paused()
	g.Expect(m.ObserveDecisionsDropped(nil)).To(gomega.Succeed())
	g.Expect(m.ObserveConfig(nil)).To(gomega.Succeed())
	g.Expect(m.ObserveGauge("x", "x", nil)).To(gomega.Succeed())
}

// Guards against misspelt log settings being accepted, and against buffered lines being written out of order.
func TestLoggerSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log, err := telemetry.NewLog(&out, "json", "warn")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	buffered := slog.New(log.Handler())
	buffered.Warn("earlier")
	g.Expect(out.String()).To(gomega.BeEmpty())
	log.Logger().Info("hidden")
	log.Logger().Warn("shown")
	g.Expect(out.String()).To(gomega.MatchRegexp(`(?s)earlier.*shown`))
	g.Expect(out.String()).To(gomega.And(gomega.ContainSubstring(`"msg":"shown"`), gomega.Not(gomega.ContainSubstring("hidden"))))
	_, err = telemetry.NewLog(&out, "xml", "info")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("want json or text")))
	_, err = telemetry.NewLog(&out, "json", "loud")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("want debug, info, warn or error")))
}

// Measures the cost of recording a request, which adds to the latency of each request.
func BenchmarkRequest(b *testing.B) {
	tel, err := telemetry.New()
	if err != nil {
		b.Fatal(err)
	}
	m := tel.Metrics()
	services := make([]string, 64)
	for i := range services {
		services[i] = fmt.Sprintf("service-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Request(services[i%len(services)], outcome.Answered, 20*time.Millisecond, 300*time.Microsecond)
	}
}
