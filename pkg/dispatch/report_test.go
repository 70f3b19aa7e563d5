package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signature", "s")
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

func startAge(g *gomega.WithT, d *dispatch.Dispatcher) time.Duration {
	condition, known := d.Report("e1")
	g.Expect(known).To(gomega.BeTrue())
	return time.Duration(condition.StartAgeMS) * time.Millisecond
}
