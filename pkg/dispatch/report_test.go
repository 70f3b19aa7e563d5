package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/dispatch"
)

// Guards against endpoints that get no requests for seconds because long requests which began before still end there.
func TestReportGivesTheAgeOfTheLatestStart(t *testing.T) {
	g := gomega.NewWithT(t)
	const processing = 300 * time.Millisecond
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(processing)
		w.Header().Set("Test-Request-Id", r.Header.Get("Test-Request-Id"))
		w.Header().Set("Test-Signature", "s")
	}))
	defer backend.Close()
	d := newDispatcher(t, backend.Listener.Addr().String(), 3, &fleetSuspects{})
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	response, failure := d.Do(ctx, newRequest("long", nil))
	g.Expect(failure).To(gomega.BeNil())
	response.Close()
	g.Expect(startAge(g, d)).To(gomega.BeNumerically(">=", processing))
}

// Guards against endpoints that get no requests for seconds because requests which began before are observed to stall.
func TestStalledRequestIsNoStart(t *testing.T) {
	g := gomega.NewWithT(t)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer backend.Close()
	d := newDispatcher(t, backend.Listener.Addr().String(), 3, &fleetSuspects{})
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	g.Expect(d.Start(ctx)).To(gomega.Succeed())
	defer func() { g.Expect(d.Stop(context.Background())).To(gomega.Succeed()) }()
	var caller sync.WaitGroup
	defer caller.Wait()
	caller.Go(func() { d.Do(ctx, newRequest("stalls", nil)) })
	// The report has no age until the first evidence of the endpoint, which is the stall.
	g.Eventually(func() bool {
		condition, known := d.Report("e1")
		return known && condition.StartAgeMS >= 0
	}, deadline, time.Millisecond).Should(gomega.BeTrue())
	const leastStall = 150 * time.Millisecond
	g.Expect(startAge(g, d)).To(gomega.BeNumerically(">=", leastStall))
	cancel()
}

func startAge(g *gomega.WithT, d *dispatch.Dispatcher) time.Duration {
	condition, known := d.Report("e1")
	g.Expect(known).To(gomega.BeTrue())
	return time.Duration(condition.StartAgeMS) * time.Millisecond
}
