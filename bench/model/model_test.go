package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func run(seed uint64) *Result {
	s := Service{
		Name: "s", Zones: 2, Endpoints: 4, Slots: 2, Ingresses: 4, Floor: 50, ZoneDelay: time.Millisecond,
		Median: 10 * time.Millisecond, Sigma: 0.5, LongFactor: 10, Repeatable: 0.5,
		Deadline: time.Second, LongDeadline: time.Second,
	}
	l := Load{Rate: func(time.Duration) float64 { return 400 }, PeakRate: 400, LongRate: 5, End: 5 * time.Second}
	l.Faults = []FaultPeriod{{Kind: Stall, From: time.Second, To: 3 * time.Second}}
	p := Policy{Detector: true, OwnerReports: true, OwnerNews: true, Rescue: true, QueuePerSlot: 4, LongReserve: 1, Retries: true, Bounces: 1}
	return Run(s, l, p, seed)
}

// Guards against figures that cannot be reproduced from their seed, and requests that end twice or not at all.
func TestRunIsReproducibleAndCountsEachRequestOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := run(1), run(1)
	g.Expect(a.Answered + a.Failed).To(gomega.Equal(a.Requests))
	g.Expect([]int{b.Requests, b.Answered, b.Attempts, b.Hurt()}).To(gomega.Equal([]int{a.Requests, a.Answered, a.Attempts, a.Hurt()}))
	g.Expect(run(2).Requests).NotTo(gomega.Equal(a.Requests))
}
