package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/pkg/load"
)

const (
	// startTimeout bounds the start of a fleet including one claim window. It only ends hung runs.
	startTimeout = 60 * time.Second
	// stopTimeout bounds a planned stop including the longest download. It only ends hung runs.
	stopTimeout    = 60 * time.Second
	requestTimeout = 20 * time.Second
	// settleTime is longer than the deadline of short requests and than a download.
	settleTime = deadlineMS*time.Millisecond + 500*time.Millisecond
	// retries lets each request reach another node when its node is gone.
	retries = 4
	// warmUpCount is the number of keyed requests that must be answered in a row before faults begin.
	warmUpCount = 5
)

// Scenario is a named sequence of faults.
type Scenario struct {
	Name        string
	Description string
	// Hosts are the hosts whose nodes are started before the load; empty means all.
	Hosts []string
	// Targets are the hosts that callers use; empty means the same as Hosts.
	Targets []string
	// Links are the hosts whose inner-hop listener is reached through a faulty link.
	Links    []string
	Mix      []load.Kind
	Rate     float64
	Duration time.Duration
	// Faults runs while requests are sent.
	Faults func(ctx context.Context, r *Run) error
}

// Run is a scenario in progress.
type Run struct {
	Fleet  *processes.Fleet
	Ledger *processes.Ledger
	out    io.Writer
	begin  time.Time
	// stops are the planned stops that must not interrupt any request.
	stops []span
}

// span is a planned stop. Requests that are cut after until were cut by the next fault.
type span struct {
	host            string
	from, to, until time.Time
}

// Outcome is the judgement on a run.
type Outcome struct {
	Scenario string
	Report   *load.Report
	Verdict  processes.Verdict
	// Interrupted lists requests that were cut by a planned stop.
	Interrupted []string
}

// Violations returns the broken guarantees, one per line, or nothing.
func (o *Outcome) Violations() string {
	text := o.Verdict.Violations()
	for _, item := range o.Interrupted {
		if text != "" {
			text += "\n"
		}
		text += "interrupted by a planned stop: " + item
	}
	return text
}

// Play runs a scenario on a new fleet whose logs go to dir. Progress is written to out.
func Play(ctx context.Context, s *Scenario, binaries *processes.Binaries, dir string, out io.Writer) (*Outcome, error) {
	fleet, err := processes.NewFleet(binaries, dir, Document())
	if err != nil {
		return nil, err
	}
	for _, host := range s.Links {
		if err := fleet.StartLink(host); err != nil {
			return nil, errors.Join(err, fleet.Close())
		}
	}
	outcome, err := play(ctx, s, fleet, out)
	return outcome, errors.Join(err, fleet.Close())
}

func play(ctx context.Context, s *Scenario, fleet *processes.Fleet, out io.Writer) (*Outcome, error) {
	r := &Run{Fleet: fleet, Ledger: &processes.Ledger{}, out: out, begin: time.Now()}
	hosts := s.Hosts
	if len(hosts) == 0 {
		hosts = fleet.Hosts()
	}
	targets := s.Targets
	if len(targets) == 0 {
		targets = hosts
	}
	if err := r.start(ctx, hosts, targets); err != nil {
		return nil, err
	}
	report, err := r.drive(ctx, s, targets)
	if err != nil {
		return nil, err
	}
	runs, err := fleet.Runs()
	if err != nil {
		return nil, err
	}
	return &Outcome{
		Scenario: s.Name, Report: report, Verdict: r.Ledger.Verdict(runs, claimWindowMS*time.Millisecond), Interrupted: r.interrupted(),
	}, nil
}

// start starts the fleet and waits until keyed requests are answered: the recorders of a new fleet abstain for one
// claim window.
func (r *Run) start(ctx context.Context, hosts, targets []string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.Fleet.Start(ctx, hosts...); err != nil {
		return err
	}
	r.Log("fleet of %d nodes is ready, waiting for the recorders of keys", len(hosts))
	for answered := 0; answered < warmUpCount; {
		report, err := load.Run(ctx, load.Plan{
			Targets: r.Fleet.Targets(targets...), Rate: 50, Duration: time.Second, Count: 1, Timeout: requestTimeout, Mix: KeyedMix()[:1],
		}, r.Ledger.Observe)
		if err != nil {
			return err
		}
		if report.Total.Counts.Answered == 1 {
			answered++
		} else {
			answered = 0
		}
		if ctx.Err() != nil {
			return fmt.Errorf("wait for keyed requests: %w: %v", ctx.Err(), report.Reasons)
		}
	}
	return nil
}

// drive sends the load and carries out the faults meanwhile.
func (r *Run) drive(ctx context.Context, s *Scenario, targets []string) (*load.Report, error) {
	r.Log("sending %.0f requests per second for %v", s.Rate, s.Duration)
	faults := make(chan error, 1)
	go func() {
		if s.Faults == nil {
			faults <- nil
			return
		}
		faults <- s.Faults(ctx, r)
	}()
	report, err := load.Run(ctx, load.Plan{
		Targets: r.Fleet.Targets(targets...), Rate: s.Rate, Duration: s.Duration, Timeout: requestTimeout,
		Retries: retries, Mix: s.Mix, Seed: 1,
	}, r.Ledger.Observe)
	return report, errors.Join(err, <-faults)
}

// Log writes a line of progress.
func (r *Run) Log(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.1f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Wait lets the load go on for a while.
func (r *Run) Wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StopHost stops a host as planned: its node first, then its backend servers.
func (r *Run) StopHost(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	from := time.Now()
	r.Log("planned stop of host %s: SIGTERM to its node, then to its backend servers", host)
	node := r.Fleet.Nodes[host]
	if err := node.Stop(ctx); err != nil {
		return fmt.Errorf("planned stop: %w\n%s", err, node.Log())
	}
	for _, endpoint := range r.endpointsOn(host) {
		if err := r.Fleet.Backends[endpoint].Stop(ctx); err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
	}
	r.stops = append(r.stops, span{host: host, from: from, to: time.Now()})
	// Requests that the stop left hanging must end before the next fault, which may cut others.
	if err := r.Wait(ctx, settleTime); err != nil {
		return err
	}
	r.stops[len(r.stops)-1].until = time.Now()
	r.Log("host %s has stopped, and requests from before have ended", host)
	return nil
}

// KillHost kills the node and the backend servers of a host.
func (r *Run) KillHost(host string) error {
	r.Log("SIGKILL to host %s: node and backend servers", host)
	err := r.Fleet.Nodes[host].Kill()
	for _, endpoint := range r.endpointsOn(host) {
		err = errors.Join(err, r.Fleet.Backends[endpoint].Kill())
	}
	return err
}

func (r *Run) endpointsOn(host string) []string {
	var ids []string
	document := r.Fleet.Document()
	for i := range document.Services {
		for _, endpoint := range document.Services[i].Endpoints {
			if endpoint.Host == host {
				ids = append(ids, endpoint.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *Run) interrupted() []string {
	var items []string
	for _, stop := range r.stops {
		for _, result := range r.Ledger.Interrupted(stop.from, stop.to, stop.until) {
			items = append(items, fmt.Sprintf("%s %s at %s from %q: %s, status %d, reason %q, error %v, stopped host %s",
				result.Kind.Name, result.Token, result.Target, result.Backend, result.Category, result.Status, result.Reason,
				result.Err, stop.host))
		}
	}
	return items
}
