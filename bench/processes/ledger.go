package processes

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/load"
	"agatepulley.example/agatepulley/standin/backend"
)

// Ledger keeps what callers were told about their requests. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	results []load.Result
	ended   []time.Time
}

// Observe adds a result. It is given to load.Run.
func (l *Ledger) Observe(result load.Result) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	l.ended = append(l.ended, now)
}

// Results returns the results so far.
func (l *Ledger) Results() []load.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]load.Result(nil), l.results...)
}

// Interrupted returns the results of sendings that were in flight at any time between from and to, ended before until,
// and whose callers lost the response or part of it. A request whose deadline passed was not interrupted.
func (l *Ledger) Interrupted(from, to, until time.Time) []load.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var interrupted []load.Result
	for i, result := range l.results {
		started, ended := l.ended[i].Add(-result.Latency), l.ended[i]
		inFlight := ended.After(from) && started.Before(to)
		if inFlight && ended.Before(until) && lost(&result) {
			interrupted = append(interrupted, result)
		}
	}
	return interrupted
}

func lost(r *load.Result) bool {
	switch r.Category {
	case load.Cut, load.Wrong:
		return true
	case load.Unknown:
		return r.Reason != string(outcome.ReasonDeadline)
	default:
		return false
	}
}

// Verdict compares what callers were told with what ran.
type Verdict struct {
	Counts load.Counts
	// RunTwice lists the keys that ran more than once within the claim window, and the tokens of requests that may not be repeated
	// and ran more than once.
	RunTwice []string
	// RanThoughNotRun lists the tokens of sendings that were reported as not run and ran.
	RanThoughNotRun []string
	// AnsweredNotRun lists the tokens of sendings that were answered successfully and did not run.
	AnsweredNotRun []string
	// Wrong lists responses that were presented as complete but were not the responses to their requests.
	Wrong []string
}

// Verdict judges all results so far. Keys may run again after the claim window.
func (l *Ledger) Verdict(runs backend.Runs, claimWindow time.Duration) Verdict {
	var v Verdict
	keys := make(map[string]bool)
	for _, r := range l.Results() {
		if r.Final {
			v.Counts.Add(&r)
		}
		v.judge(&r, runs.Tokens[r.Token].Started)
		if r.Key != "" {
			keys[r.Key] = true
		}
	}
	for key := range keys {
		if gap, twice := runs.ShortestGap(key); twice && gap < claimWindow {
			v.RunTwice = append(v.RunTwice, fmt.Sprintf("%s ran %d times, twice within %v", key, runs.Keys[key].Started, gap))
		}
	}
	sort.Strings(v.RunTwice)
	return v
}

func (v *Verdict) judge(r *load.Result, started int) {
	// net/http may have sent the request twice by itself; the answer is then about the second sending only.
	once := r.Connections <= 1
	switch {
	case r.Category == load.Wrong:
		v.Wrong = append(v.Wrong, fmt.Sprintf("%s at %s from %s: %v", r.Token, r.Target, r.Backend, r.Err))
	case r.Category == load.NotRun && started > 0 && once:
		v.RanThoughNotRun = append(v.RanThoughNotRun, fmt.Sprintf("%s at %s: %s", r.Token, r.Target, r.Reason))
	case r.Category == load.Answered && r.Status < 400 && started == 0:
		v.AnsweredNotRun = append(v.AnsweredNotRun, fmt.Sprintf("%s at %s from %s", r.Token, r.Target, r.Backend))
	}
	if !r.Kind.Repeatable && r.Key == "" && started > 1 {
		v.RunTwice = append(v.RunTwice, fmt.Sprintf("%s ran %d times", r.Token, started))
	}
}

// Violations returns the broken guarantees, one per line, or nothing.
func (v *Verdict) Violations() string {
	var lines []string
	add := func(name string, items []string) {
		for _, item := range items {
			lines = append(lines, name+": "+item)
		}
	}
	add("wrong response", v.Wrong)
	add("run twice", v.RunTwice)
	add("reported as not run, but ran", v.RanThoughNotRun)
	add("answered, but did not run", v.AnsweredNotRun)
	return strings.Join(lines, "\n")
}
