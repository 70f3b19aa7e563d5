package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/platform/platformtest"
)

// Plan is what a run plays.
type Plan struct {
	Seed uint64
	// Hosts is the number of nodes, 3 to MaxHosts.
	Hosts    int
	Duration time.Duration
	// CrashingRequests is the number of requests that crash each endpoint that runs them. They are sent again and again.
	CrashingRequests int
	// Announcements lets endpoints announce limits and their leaving at random, among the other faults.
	Announcements bool
	// Workspaces lets requests carry keys of workspaces, one of which is limited, and lets the store come back from older copies,
	// among the other faults.
	Workspaces bool
	// Limits are limits, in requests per second, that as many endpoints announce in their responses. If Leaving is set, another
	// endpoint announces that it is leaving, and its entry stays as it is.
	Limits  []float64
	Leaving bool
	// RestartBeside kills the nodes beside these endpoints in turn.
	RestartBeside bool
	// NoOtherFaults leaves out all other faults.
	NoOtherFaults bool
}

// Limits of a plan.
const (
	MinHosts = 3
	MaxHosts = 90
)

// Outcome is what a run showed.
type Outcome struct {
	Plan     Plan
	Requests int
	Served   int
	Refused  int
	Versions int
	Faults   int
	// Crashes is the number of endpoints that crashing requests have ended.
	Crashes    int
	Violations []string
}

// String describes the outcome in a line, and each violation in another.
func (o *Outcome) String() string {
	text := fmt.Sprintf("seed %d, %d hosts, %v: %d requests, %d served, %d refused, %d faults, %d versions, %d crashes by requests, %d violations",
		o.Plan.Seed, o.Plan.Hosts, o.Plan.Duration, o.Requests, o.Served, o.Refused, o.Faults, o.Versions, o.Crashes, len(o.Violations))
	for _, v := range o.Violations {
		text += "\n  " + v
	}
	return text
}

const (
	probePeriod = 300 * time.Millisecond
	// calmBefore lets the fleet serve without faults first.
	calmBefore = time.Second
	// recoveredInRow is the number of requests in a row that each node must serve at the end.
	recoveredInRow = 5
)

// Play runs a plan. The logs of the nodes go to dir, and a line for each fault to out.
func Play(ctx context.Context, plan Plan, binaries *processes.Binaries, dir string, out io.Writer) (*Outcome, error) {
	if plan.Hosts < MinHosts || plan.Hosts > MaxHosts {
		return nil, fmt.Errorf("hosts: %d is not between %d and %d", plan.Hosts, MinHosts, MaxHosts)
	}
	f, err := newFleet(binaries, dir, plan.Hosts)
	if err != nil {
		return nil, err
	}
	outcome, err := play(ctx, plan, f, out)
	return outcome, errors.Join(err, f.close())
}

func play(ctx context.Context, plan Plan, f *fleet, out io.Writer) (*Outcome, error) {
	begin := time.Now()
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%6.2f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
	x := newFaults(f, plan.Seed, say)
	f.workspaces = plan.Workspaces
	x.publish()
	f.endpointCrashed = x.restartCrashed
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	c := newCallers(f, plan.Seed)
	driving, stopDriving := context.WithCancel(ctx)
	defer stopDriving()
	var tasks sync.WaitGroup
	tasks.Go(func() { c.drive(driving) })
	tasks.Go(func() { probe(driving, f, c, x) })
	time.Sleep(calmBefore)
	striking, stopStriking := context.WithTimeout(ctx, plan.Duration)
	defer stopStriking()
	if plan.CrashingRequests > 0 {
		tasks.Go(func() { c.driveCrashing(striking, plan.CrashingRequests) })
	}
	tasks.Go(func() { x.announce(striking, plan) })
	if plan.NoOtherFaults {
		<-striking.Done()
	} else {
		x.play(striking, plan)
	}
	say("all faults have ended")
	unserved := awaitRecovery(ctx, f, c)
	stopDriving()
	tasks.Wait()
	x.awaitRestarts()
	return judge(plan, f, c, x, unserved), errors.Join(x.errs...)
}

// probe asks each node for the newest version's route, and at times for the one before.
func probe(ctx context.Context, f *fleet, c *callers, x *faults) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		latest := x.latest()
		var asking sync.WaitGroup
		for _, h := range f.hosts {
			asking.Go(func() {
				c.probe(h, latest)
				if latest > 1 {
					c.probe(h, latest-1)
				}
			})
		}
		asking.Wait()
	}
}

// awaitRecovery returns the nodes that do not serve again in time.
func awaitRecovery(ctx context.Context, f *fleet, c *callers) []string {
	limit := time.Now().Add(recoverWithin)
	var mu sync.Mutex
	var late []string
	var waiting sync.WaitGroup
	for _, h := range f.hosts {
		waiting.Go(func() {
			if !serves(ctx, c, h, limit) {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, fmt.Sprintf("RECOVER: node %d does not serve %v after the last fault", h.number, recoverWithin))
			}
		})
	}
	waiting.Wait()
	return late
}

// serves reports whether a node serves a few requests in a row before the limit.
func serves(ctx context.Context, c *callers, h *host, limit time.Time) bool {
	for served := 0; served < recoveredInRow; {
		if time.Now().After(limit) || ctx.Err() != nil {
			return false
		}
		c.mu.Lock()
		r := c.request(h, http.MethodGet, "/read/")
		r.repeatable = true
		c.mu.Unlock()
		c.send(probeClient, r, true)
		if served++; r.status != http.StatusOK {
			served = 0
			time.Sleep(readyPoll)
		}
	}
	return true
}

func judge(plan Plan, f *fleet, c *callers, x *faults, unserved []string) *Outcome {
	r := &record{
		requests: c.all, runs: make(map[string][]run), disturbances: x.disturbances, departures: x.departures,
		badStops:  x.badStops,
		published: x.published, services: f.servicesAt, limits: x.limits, arrivals: make(map[string][]platformtest.Arrival),
	}
	for _, e := range f.allEndpoints() {
		for _, one := range e.Runs() {
			r.runs[one.ID] = append(r.runs[one.ID], run{Run: one, endpoint: e})
		}
		r.arrivals[e.ID] = e.Arrivals()
	}
	outcome := &Outcome{Plan: plan, Requests: len(c.all), Versions: x.version, Faults: len(x.disturbances)}
	for _, s := range c.all {
		outcome.Crashes += len(r.crashesBy(s))
		switch {
		case s.err == nil && s.status == http.StatusOK:
			outcome.Served++
		case s.status == http.StatusServiceUnavailable:
			outcome.Refused++
		}
	}
	outcome.Violations = append(unserved, r.violations()...)
	return outcome
}
