package backend_test

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/load/pattern"
	"agatepulley.example/agatepulley/standin/backend"
)

// hangGuard bounds waits that only end early; no verdict depends on it.
const hangGuard = 20 * time.Second

func start(t *testing.T, settings backend.Settings) *backend.Server {
	t.Helper()
	g := gomega.NewWithT(t)
	settings.Listen, settings.Admin, settings.ID = "127.0.0.1:0", "127.0.0.1:0", "b1"
	if settings.Slots == 0 {
		settings.Slots = 2
	}
	s, err := backend.New(settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Start()).To(gomega.Succeed())
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return s
}

func request(g *gomega.WithT, s *backend.Server, method, uri, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+s.Address()+uri, strings.NewReader(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

func client(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}, Timeout: hangGuard}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a response whose completeness or owner a client cannot check.
func TestResponseIsAFunctionOfTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{})
	for _, uri := range []string{"/work?ms=1&bytes=1000", "/download?bytes=70000&ms=5", "/work?bytes=40000&chunked=1"} {
		r := request(g, s, "POST", uri, "envelope 7")
		r.Header.Set(pattern.HeaderCheck, "c1")
		response, err := client(t).Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		g.Expect(response.Header.Get(pattern.HeaderCheck)).To(gomega.Equal("c1"))
		g.Expect(response.Header.Get(backend.HeaderBackendID)).To(gomega.Equal("b1"))
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seed := pattern.Seed("POST", uri, "c1", []byte("envelope 7"))
		_, err = pattern.Verify(strings.NewReader(string(body)), seed, int64(len(body)))
		g.Expect(err).NotTo(gomega.HaveOccurred(), uri)
		g.Expect(len(body)).To(gomega.BeNumerically(">=", 1000))
	}
}

// Guards against a double run that is not counted, and against counts that are lost when the process is killed.
func TestRunsAreCountedByKeyAndToken(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "runs")
	s := start(t, backend.Settings{RunLog: path})
	for _, key := range []string{"k1", "k1", "k2"} {
		r := request(g, s, "POST", "/charge", "")
		r.Header.Set(backend.HeaderKey, key)
		r.Header.Set(backend.HeaderToken, "t1")
		response, err := client(t).Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response.Body.Close()
	}
	logged, err := backend.ReadRunLog(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(logged).To(gomega.Equal(s.Runs()))
	g.Expect(logged.Keys["k1"]).To(gomega.Equal(backend.Run{Started: 2, Finished: 2}))
	keys, tokens := logged.Twice()
	g.Expect(keys).To(gomega.Equal([]string{"k1"}))
	g.Expect(tokens).To(gomega.Equal([]string{"t1"}))
}

// Guards against faults that show other symptoms than their names say.
func TestResponsesUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults  backend.Faults
		health  int
		status  int
		cutBody bool
	}{
		"none":          {health: 200, status: 200},
		"health lies":   {faults: backend.Faults{Drain: true, Health: backend.HealthOK}, health: 200, status: 503},
		"drain":         {faults: backend.Faults{Drain: true}, health: 503, status: 503},
		"shed":          {faults: backend.Faults{Shed: true}, health: 200, status: 503},
		"fail":          {faults: backend.Faults{FailPercent: 100}, health: 200, status: 500},
		"fail caller":   {faults: backend.Faults{FailCallers: []string{"zone-1"}}, health: 200, status: 500},
		"other caller":  {faults: backend.Faults{FailCallers: []string{"zone-2"}}, health: 200, status: 200},
		"cut length":    {faults: backend.Faults{Cut: backend.CutLength}, health: 200, status: 200, cutBody: true},
		"cut chunked":   {faults: backend.Faults{Cut: backend.CutChunked}, health: 200, status: 200, cutBody: true},
		"slow download": {faults: backend.Faults{BytesPerSecond: 1 << 20}, health: 200, status: 200},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := start(t, backend.Settings{Faults: test.faults})
			c := client(t)
			health, err := c.Do(request(g, s, "GET", "/health", ""))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			health.Body.Close()
			g.Expect(health.StatusCode).To(gomega.Equal(test.health))

			r := request(g, s, "GET", "/work?bytes=50000", "")
			r.Header.Set(backend.HeaderCaller, "zone-1")
			response, err := c.Do(r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(gomega.Equal(test.status))
			_, err = io.ReadAll(response.Body)
			if test.cutBody {
				g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
		})
	}
}

// Guards against a stall that also stalls the health endpoint, and against work that goes on after the caller left.
func TestStallHoldsRequestsUntilCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{Faults: backend.Faults{Stall: true}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := client(t).Do(request(g, s, "GET", "/work", "").WithContext(ctx))
		ended <- err
	}()
	g.Eventually(func() int64 { return s.Stats().Busy }, hangGuard).Should(gomega.BeEquivalentTo(1))
	health, err := client(t).Do(request(g, s, "GET", "/health", ""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	health.Body.Close()
	g.Expect(health.StatusCode).To(gomega.Equal(200))
	cancel()
	g.Expect(<-ended).To(gomega.HaveOccurred())
	g.Eventually(s.Stats, hangGuard).Should(gomega.And(
		gomega.HaveField("Busy", int64(0)), gomega.HaveField("Cancelled", uint64(1))))
}

// Guards against a server that serves more requests at once than it has slots.
func TestRequestsOverSlotsAreShed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{Slots: 1, Faults: backend.Faults{Stall: true}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		response, err := client(t).Do(request(g, s, "GET", "/work", ""))
		if err == nil {
			response.Body.Close()
		}
	}()
	g.Eventually(func() int64 { return s.Stats().Busy }, hangGuard).Should(gomega.BeEquivalentTo(1))
	response, err := client(t).Do(request(g, s, "GET", "/work", ""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(503))
	g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(s.SetFaults(backend.Faults{})).To(gomega.Succeed())
	<-ended
	g.Expect(s.Stats().MaxBusy).To(gomega.BeEquivalentTo(1))
}

// Guards against a server that goes on working for a caller whose deadline has passed.
func TestDeadlineEndsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{Faults: backend.Faults{Stall: true}})
	r := request(g, s, "GET", "/work", "")
	r.Header.Set(backend.HeaderDeadline, "10")
	response, err := client(t).Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
	g.Expect(s.Stats().Expired).To(gomega.BeEquivalentTo(1))
}

// Guards against a refusal that leaves the port open, and a server that cannot return on the same port.
func TestRefuseClosesAndReopensThePort(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{})
	g.Expect(s.SetFaults(backend.Faults{Refuse: true})).To(gomega.Succeed())
	_, err := client(t).Do(request(g, s, "GET", "/work", ""))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("refused")))
	g.Expect(s.SetFaults(backend.Faults{})).To(gomega.Succeed())
	response, err := client(t).Do(request(g, s, "GET", "/work", ""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
}

// Guards against a crash token that is only seen in one part of a request.
func TestCrashTokenEndsTheProcess(t *testing.T) {
	for _, part := range []string{"header", "query", "body"} {
		g := gomega.NewWithT(t)
		codes := make(chan int, 1)
		s := start(t, backend.Settings{
			Faults: backend.Faults{CrashToken: "boom"},
			Exit:   func(code int) { codes <- code },
		})
		r := request(g, s, "POST", "/work", "")
		switch part {
		case "header":
			r.Header.Set(backend.HeaderCrashToken, "boom")
		case "query":
			r = request(g, s, "POST", "/work?x=boom", "")
		case "body":
			r = request(g, s, "POST", "/work", "a boom b")
		}
		if response, err := client(t).Do(r); err == nil {
			response.Body.Close()
		}
		g.Expect(codes).To(gomega.Receive(gomega.Equal(70)), part)
	}
}

// Guards against a fault switch that resets the faults it does not name, or ignores a misspelt one.
func TestAdminChangesOnlyTheNamedFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, backend.Settings{Faults: backend.Faults{FailPercent: 7}})
	post := func(body string) int {
		response, err := client(t).Post("http://"+s.AdminAddress()+"/faults", "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response.Body.Close()
		return response.StatusCode
	}
	g.Expect(post(`{"slow_factor":10}`)).To(gomega.Equal(200))
	g.Expect(s.Faults()).To(gomega.Equal(backend.Faults{FailPercent: 7, SlowFactor: 10}))
	g.Expect(post(`{"slow":10}`)).To(gomega.Equal(400))
	g.Expect(post(`{"cut":"half"}`)).To(gomega.Equal(400))
}

// Guards against a server that is cold for ever or never.
func TestColdStart(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(start(t, backend.Settings{ColdFor: time.Hour}).Stats().Cold).To(gomega.BeTrue())
	g.Expect(start(t, backend.Settings{ColdFor: time.Nanosecond}).Stats().Cold).To(gomega.BeFalse())
}
