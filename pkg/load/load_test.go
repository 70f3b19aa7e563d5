package load_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/load"
	"agatepulley.example/agatepulley/pkg/load/pattern"
)

// hangGuard bounds the waits of a test that hangs. It is long enough that no passing test reaches it.
const hangGuard = 20 * time.Second

// answer sends the response that the generator expects, changed by the query "fault".
func answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	check := r.Header.Get(pattern.HeaderCheck)
	n, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	seed := pattern.Seed(r.Method, r.URL.RequestURI(), check, body)
	switch r.URL.Query().Get("fault") {
	case "not-run", "unknown", "duplicate":
		w.Header().Set(outcome.HeaderOutcome, r.URL.Query().Get("fault"))
		w.Header().Set(outcome.HeaderReason, "test")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "other-check":
		check = "another"
	case "other-body":
		seed++
	case "short":
		n--
	case "cut":
		w.Header().Set(pattern.HeaderCheck, check)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.Copy(w, pattern.NewReader(seed, n/2))
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(pattern.HeaderCheck, check)
	_, _ = io.Copy(w, pattern.NewReader(seed, n))
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func run(t *testing.T, plan load.Plan, observe func(load.Result)) *load.Report {
	g := gomega.NewWithT(t)
	report, err := load.Run(context.Background(), plan, observe)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return report
}

// Guards against a faulty response that is counted as answered. Every test that uses the generator would then miss such
// faults.
func TestCategories(t *testing.T) {
	target := serve(t, answer)
	for fault, want := range map[string]load.Counts{
		"none":        {Sent: 5, Answered: 5},
		"not-run":     {Sent: 5, NotRun: 5},
		"unknown":     {Sent: 5, Unknown: 5},
		"duplicate":   {Sent: 5, Duplicate: 5},
		"other-check": {Sent: 5, Wrong: 5},
		"other-body":  {Sent: 5, Wrong: 5},
		"short":       {Sent: 5, Wrong: 5},
		"cut":         {Sent: 5, Cut: 5},
	} {
		kind, err := load.ParseKind("1 POST /work?bytes=5000&fault=" + fault + " check body=100")
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		report := run(t, load.Plan{Targets: []string{target}, Rate: 1000, Duration: time.Minute, Count: 5, Mix: []load.Kind{kind}}, nil)
		g.Expect(report.Total.Counts).To(gomega.Equal(want), fault)
	}
}

// Guards against coordinated omission: if a slow server and the bound on requests in flight delay the start of a request,
// the delay must count as latency.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	g := gomega.NewWithT(t)
	const hold = 50 * time.Millisecond
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(hold)
		answer(w, r)
	})
	kind := load.Kind{Name: "held", Weight: 1, Method: "GET", URI: "/"}
	report := run(t, load.Plan{
		Targets: []string{target}, Rate: 1000, Duration: time.Minute, Count: 10, MaxInFlight: 1, Mix: []load.Kind{kind},
	}, nil)
	g.Expect(report.Total.Counts.Answered).To(gomega.Equal(10))
	// The last request is due after 9 ms and can be sent only after nine others took 50 ms each.
	g.Expect(report.Total.Latency.Max).To(gomega.BeNumerically(">=", (9*hold-9*time.Millisecond).Seconds()*1000))
}

// Guards against a resent request with another key or to the same node.
func TestResendUsesSameKeyAndNextTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	targets := []string{serve(t, answer), serve(t, answer)}
	var mu sync.Mutex
	seen := make(map[string][]load.Result)
	kind, err := load.ParseKind("1 POST /charge?bytes=10 keyed resend=100 check")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	run(t, load.Plan{Targets: targets, Rate: 1000, Duration: time.Minute, Count: 20, Mix: []load.Kind{kind}}, func(r load.Result) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Key] = append(seen[r.Key], r)
	})
	g.Expect(seen).To(gomega.HaveLen(20))
	for _, results := range seen {
		g.Expect(results).To(gomega.HaveLen(2))
		g.Expect(results[0].Target).NotTo(gomega.Equal(results[1].Target))
		g.Expect(results[0].Token).NotTo(gomega.Equal(results[1].Token))
		g.Expect(results[1].Resent).To(gomega.BeTrue())
	}
}

// Guards against a missing retry after a request was not run or its target was unreachable, and against a retry with the
// token of the earlier attempt.
func TestRetryAfterNotRunAndUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	refusing := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	targets := []string{closed.Listener.Addr().String(), refusing, serve(t, answer)}
	var mu sync.Mutex
	tokens := make(map[string]int)
	kind := load.Kind{Name: "x", Weight: 1, Method: "GET", URI: "/?bytes=5", Check: true}
	report := run(t, load.Plan{Targets: targets, Rate: 1000, Duration: time.Minute, Count: 9, Retries: 2, Mix: []load.Kind{kind}},
		func(r load.Result) {
			mu.Lock()
			defer mu.Unlock()
			tokens[r.Token]++
		})
	g.Expect(report.Total.Counts).To(gomega.Equal(load.Counts{Sent: 9, Answered: 9}))
	g.Expect(report.Retried).To(gomega.Equal(3 + 6))
	g.Expect(tokens).To(gomega.HaveLen(18))
}

// Guards against a run that does not end when its context is cancelled, or that does not report the planned requests that
// it did not send.
func TestCancelEndsTheRun(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived := make(chan struct{}, 100)
	target := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	defer cancel()
	go func() {
		<-arrived
		cancel()
	}()
	kind := load.Kind{Name: "held", Weight: 1, Method: "GET", URI: "/"}
	report, err := load.Run(ctx, load.Plan{
		Targets: []string{target}, Rate: 1000, Duration: time.Minute, Count: 50, MaxInFlight: 2, Mix: []load.Kind{kind},
	}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Total.Counts.Sent + report.NotSent).To(gomega.Equal(50))
	g.Expect(report.Total.Counts.Answered).To(gomega.BeZero())
}

// Guards against load on other machines because of a mistyped address, and against unbounded runs.
func TestPlanIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := load.Plan{
		Targets: []string{"192.0.2.1:80"}, Rate: 1e6, Duration: 24 * time.Hour, Count: -1,
		Mix: []load.Kind{{Name: "x", Weight: 1, Method: "GET", URI: "/", ResendPercent: 5, Check: true}},
	}
	_, err := load.Run(context.Background(), plan, nil)
	for _, text := range []string{"not a loopback address", "rate 1e+06", "duration 24h", "count -1", "only keyed", "bytes=N"} {
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
	}
	plan.AllowRemote = true
	g.Expect(plan.Validate()).To(gomega.MatchError(gomega.Not(gomega.ContainSubstring("loopback"))))
}

// Guards against a misspelt option that is ignored.
func TestParseKind(t *testing.T) {
	g := gomega.NewWithT(t)
	kind, err := load.ParseKind("3 POST /charges?bytes=100 keyed resend=10 body=200 deadline=500 check name=charge")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(kind).To(gomega.Equal(load.Kind{
		Name: "charge", Weight: 3, Method: "POST", URI: "/charges?bytes=100", Keyed: true, ResendPercent: 10,
		BodyBytes: 200, DeadlineMS: 500, Check: true,
	}))
	for _, text := range []string{"", "GET /", "x GET /", "1 GET / keyd", "1 GET / body=x", "1 GET / body"} {
		_, err := load.ParseKind(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
}

// Guards against a table or JSON that leaves out a category.
func TestReportFormats(t *testing.T) {
	g := gomega.NewWithT(t)
	kind := load.Kind{Name: "look-up", Weight: 1, Method: "GET", URI: "/?bytes=10", Check: true}
	report := run(t, load.Plan{Targets: []string{serve(t, answer)}, Rate: 1000, Duration: time.Minute, Count: 3, Mix: []load.Kind{kind}}, nil)
	var table, document strings.Builder
	g.Expect(report.WriteTable(&table)).To(gomega.Succeed())
	g.Expect(report.WriteJSON(&document)).To(gomega.Succeed())
	for _, name := range []string{"answered", "not-run", "unknown", "duplicate", "wrong", "cut", "unreachable", "look-up", "total"} {
		g.Expect(table.String()).To(gomega.ContainSubstring(name))
	}
	g.Expect(document.String()).To(gomega.ContainSubstring(`"answered": 3`))
}
