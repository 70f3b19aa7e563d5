package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/announce"
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

// Guards against limits that are ended, or announcements that are believed, by responses that are not the endpoint's own to the
// request.
func TestOnlyAttributedResponsesAnnounce(t *testing.T) {
	g := gomega.NewWithT(t)
	header := http.Header{}
	status := http.StatusOK
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Request-Id", r.Header.Get("Test-Request-Id"))
		maps.Copy(w.Header(), header)
		w.WriteHeader(status)
	}))
	defer backend.Close()
	d := newDispatcher(t, backend.Listener.Addr().String(), 3, &fleetSuspects{})
	number := 0
	respond := func(code int, fields http.Header) announce.State {
		header, status, number = fields, code, number+1
		request := newRequest(fmt.Sprint(number), nil)
		request.MaxWait = 0
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		if response, failure := d.Do(ctx, request); failure == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Close()
		}
		report, _ := d.Report("e1")
		return report.Announced
	}
	signed := func(name, value string) http.Header {
		return http.Header{"Test-Signature": {"s"}, name: {value}}
	}
	g.Expect(respond(http.StatusMisdirectedRequest, http.Header{"Test-Limit": {"9"}}).Limited).To(gomega.BeFalse(), "another instance")
	g.Expect(respond(http.StatusInternalServerError, signed("Test-Limit", "40"))).To(gomega.HaveField("Limit", 40.0), "a failure")
	rejection := http.Header{"Test-Not-Run": {"1"}, "Test-Limit": {"50"}}
	g.Expect(respond(http.StatusServiceUnavailable, rejection)).To(gomega.HaveField("Limit", 50.0), "a rejection")
	g.Expect(respond(http.StatusOK, http.Header{}).Limited).To(gomega.BeTrue(), "not signed")
	g.Expect(respond(http.StatusOK, http.Header{"Test-Leaving": {"0"}}).Limited).To(gomega.BeTrue(), "not signed")
	g.Expect(respond(http.StatusOK, signed("Test-Limit", "many")).Limited).To(gomega.BeTrue(), "no number")
	g.Expect(respond(http.StatusOK, signed("Test-Other", "1")).Limited).To(gomega.BeFalse(), "a later response without a limit")
	g.Expect(respond(http.StatusOK, http.Header{"Test-Leaving": {"1"}}).Leaving).To(gomega.BeTrue(), "not signed")
}
