// Command cmd plays random faults on fleets of node processes and prints what each seed showed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/bench/soak"
)

type options struct {
	Seed     uint64        `long:"seed" description:"first seed; 0 draws one"`
	Runs     int           `long:"runs" default:"1" description:"number of seeds, counted up from the first"`
	Parallel int           `long:"parallel" default:"2" description:"fleets at the same time"`
	Hosts    int           `long:"hosts" default:"6" description:"nodes of a fleet"`
	Duration time.Duration `long:"duration" default:"10s" description:"time in which faults start"`
	Crashing int           `long:"crashing-requests" default:"2" description:"requests that crash each endpoint which runs them"`
	Silent   bool          `long:"no-announcements" description:"endpoints announce neither limits nor that they leave"`
	Spaces   bool          `long:"workspaces" description:"requests carry keys, one workspace is limited, and the store comes back from older copies"`
	Dir      string        `long:"dir" description:"directory for logs; they are kept for seeds that fail" default:"out/soak"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	failed, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

func run(o *options) (failed int, err error) {
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return 0, fmt.Errorf("log directory: %w", err)
	}
	programs := filepath.Join(dir, "bin")
	if err := os.MkdirAll(programs, 0o755); err != nil {
		return 0, fmt.Errorf("log directory: %w", err)
	}
	binaries, err := processes.Build(context.Background(), programs)
	if err != nil {
		return 0, err
	}
	first := o.Seed
	if first == 0 {
		first = 1 + rand.Uint64N(1_000_000)
	}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	places := make(chan struct{}, o.Parallel)
	for n := range o.Runs {
		places <- struct{}{}
		tasks.Go(func() {
			defer func() { <-places }()
			ok, text := play(o, first+uint64(n), binaries, dir)
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(text)
			if !ok {
				failed++
			}
		})
	}
	tasks.Wait()
	fmt.Printf("%d seeds from %d, %d failed\n", o.Runs, first, failed)
	return failed, nil
}

// play runs one seed. Its logs are removed if it shows nothing.
func play(o *options, seed uint64, binaries *processes.Binaries, dir string) (ok bool, text string) {
	logs := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return false, err.Error()
	}
	progress, err := os.Create(filepath.Join(logs, "faults.log"))
	if err != nil {
		return false, err.Error()
	}
	defer progress.Close()
	plan := soak.Plan{Seed: seed, Hosts: o.Hosts, Duration: o.Duration, CrashingRequests: o.Crashing, Announcements: !o.Silent, Workspaces: o.Spaces}
	outcome, err := soak.Play(context.Background(), plan, binaries, logs, progress)
	if err != nil {
		return false, fmt.Sprintf("seed %d: %v", seed, err)
	}
	if len(outcome.Violations) == 0 {
		if err := os.RemoveAll(logs); err != nil {
			return false, fmt.Sprintf("seed %d: remove logs: %v", seed, err)
		}
	}
	return len(outcome.Violations) == 0, outcome.String()
}
