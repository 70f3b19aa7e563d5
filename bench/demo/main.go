// Command demo runs a fleet of separate processes on loopback through a scenario of faults and prints what became of
// the requests. It exits with 0 only if no response was wrong, nothing ran twice, and no planned stop interrupted a
// request.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/bench/scenario"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// runTimeout only ends a run that hangs.
	runTimeout = 3 * time.Minute
)

type options struct {
	Scenario string `long:"scenario" description:"scenario to run" default:"demo"`
	List     bool   `long:"list" description:"list the scenarios and exit"`
	Binaries string `long:"binaries" description:"directory with the built programs; empty builds them"`
	KeepLogs string `long:"keep-logs" description:"existing directory for the logs of the processes; empty deletes them"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	rest, err := flags.ParseArgs(&o, args)
	if flags.WroteHelp(err) {
		return 0
	}
	if err != nil || len(rest) > 0 {
		return exitUsage
	}
	if o.List {
		for _, s := range scenario.Scenarios() {
			fmt.Printf("%-13s %s\n", s.Name, s.Description)
		}
		return 0
	}
	s, err := scenario.ByName(o.Scenario)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitUsage
	}
	if err := play(s, &o); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailure
	}
	return 0
}

func play(s *scenario.Scenario, o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "agatepulley-demo-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	binaries, err := programs(ctx, o.Binaries, dir)
	if err != nil {
		return err
	}
	logs := dir
	if o.KeepLogs != "" {
		logs = o.KeepLogs
	}
	fmt.Printf("scenario %s: %s\n", s.Name, s.Description)
	outcome, err := scenario.Play(ctx, s, binaries, logs, os.Stdout)
	if err != nil {
		return err
	}
	return report(outcome)
}

func programs(ctx context.Context, given, dir string) (*processes.Binaries, error) {
	if given != "" {
		return processes.Built(given), nil
	}
	return processes.Build(ctx, dir)
}

func report(o *scenario.Outcome) error {
	fmt.Println()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "request\tsent\tanswered whole\trefused\tunknown\tduplicate\tcut\twrong\terror status\tp50 ms\tp99 ms\t")
	for _, kind := range append(o.Report.Kinds, o.Report.Total) {
		c := kind.Counts
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", kind.Name, c.Sent, c.Answered,
			c.NotRun+c.Unreachable, c.Unknown, c.Duplicate, c.Cut, c.Wrong, c.ErrorStatus, kind.Latency.P50, kind.Latency.P99)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	fmt.Printf("\nsent again after a refusal: %d\nreasons: %v\n", o.Report.Retried, o.Report.Reasons)
	fmt.Printf("wrong: %d\nrun twice: %d\nran though reported as not run: %d\ninterrupted by the planned stop: %d\n",
		len(o.Verdict.Wrong)+len(o.Verdict.AnsweredNotRun), len(o.Verdict.RunTwice), len(o.Verdict.RanThoughNotRun), len(o.Interrupted))
	if violations := o.Violations(); violations != "" {
		return errors.New("broken guarantees:\n" + violations)
	}
	return nil
}
