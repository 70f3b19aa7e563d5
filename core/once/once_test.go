package once_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Numbers of random runs. The missing mechanisms that TestRandomRunsFindMissingMechanisms covers are found within
// weakenedChecks with the fixed seed; the others need up to 200,000 runs and have scripts.
const (
	checks         = "10000"
	weakenedChecks = "3000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	settings := map[string]string{
		"rapid.seed": cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1"), "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "500ms",
	}
	for name, value := range settings {
		if !explicit[name] {
			set(name, value)
		}
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// atMostOnce returns the property that two attempts on one key are never both dispatched within the window.
func atMostOnce(weak weakness) func(*rapid.T) {
	return func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		s := newSim(size, weak, rapid.Bool().Draw(t, "recovered"))
		kinds := rapid.SampledFrom(profiles).Draw(t, "profile")
		for _, step := range actions(kinds).Draw(t, "actions") {
			s.apply(step)
			if violation := s.violation(); violation != "" {
				t.Fatalf("%s:\n%s", violation, strings.Join(s.log, "\n"))
			}
		}
	}
}

// Guards against two attempts on one key that are both dispatched within the window, whatever is lost, repeated, delayed
// or reordered, and whoever restarts, pauses, is replaced or lags behind a change of the group.
func TestAtMostOneAttemptIsDispatched(t *testing.T) {
	rapid.Check(t, atMostOnce(none))
}

// recorderOfFailure takes the place of testing.T for a property that must fail.
type recorderOfFailure struct {
	testing.TB
	failed bool
	text   strings.Builder
}

func (r *recorderOfFailure) Helper()              {}
func (r *recorderOfFailure) Name() string         { return "weakened" }
func (r *recorderOfFailure) Failed() bool         { return r.failed }
func (r *recorderOfFailure) Fail()                { r.failed = true }
func (r *recorderOfFailure) FailNow()             { r.failed = true }
func (r *recorderOfFailure) Log(arguments ...any) { fmt.Fprintln(&r.text, arguments...) }
func (r *recorderOfFailure) Logf(format string, arguments ...any) {
	fmt.Fprintf(&r.text, format+"\n", arguments...)
}
func (r *recorderOfFailure) Error(arguments ...any) { r.Log(arguments...); r.Fail() }
func (r *recorderOfFailure) Errorf(format string, arguments ...any) {
	r.Logf(format, arguments...)
	r.Fail()
}
func (r *recorderOfFailure) Fatalf(format string, arguments ...any) {
	r.Logf(format, arguments...)
	r.Fail()
}

// searched returns the mechanisms to switch off: those that are found soon, or all if ONCE_SEARCH_ALL is set.
func searched() []weakness {
	if os.Getenv("ONCE_SEARCH_ALL") == "" {
		return []weakness{noDispatchLimit, noRecovery, noFence}
	}
	var all []weakness
	for _, script := range scripts {
		if !slices.Contains(all, script.weak) {
			all = append(all, script.weak)
		}
	}
	return all
}

// Guards against a simulation whose random runs are too tame to find two attempts that both run.
func TestRandomRunsFindMissingMechanisms(t *testing.T) {
	if flag.Lookup("rapid.checks").Value.String() == checks {
		set("rapid.checks", weakenedChecks)
		defer set("rapid.checks", checks)
	}
	for _, weak := range searched() {
		t.Run(string(weak), func(t *testing.T) {
			failure := &recorderOfFailure{TB: t}
			rapid.Check(failure, atMostOnce(weak))
			if !failure.failed {
				t.Errorf("no violation found without %s", weak)
			}
			t.Log(failure.text.String())
		})
	}
}
