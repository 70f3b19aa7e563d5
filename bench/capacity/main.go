// Command capacity measures what a node's state, messages and control tasks cost at several sizes, fits lines and
// prints the values at the design scale. docs/CAPACITY.md is computed from its output. It prints one line per figure:
// name, value, unit, target.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// maxProcessors leaves most of a shared machine to others.
	maxProcessors = 3
)

type options struct {
	Parts  []string      `long:"part" description:"part to run; may be given several times; default: all"`
	Seed   uint64        `long:"seed" description:"seed of all random choices" default:"1"`
	Repeat int           `long:"repeat" description:"number of runs of each timed step; the median counts" default:"5"`
	Window time.Duration `long:"window" description:"length of measurements at rest" default:"10s"`
	Nodes  []int         `long:"nodes" description:"sizes of the fleets of processes" default:"10" default:"30" default:"100"`
	Zones  int           `long:"zones" description:"availability zones of the fleets of processes" default:"1"`
	Short  bool          `long:"short" description:"only the fleet of 10 processes, with a window of 5 s"`
}

// part is a group of figures.
type part struct {
	name string
	run  func(ctx context.Context, o *options) error
}

var parts = []part{
	{"configuration", measureConfiguration},
	{"routing", measureRouting},
	{"health", measureHealth},
	{"claims", measureClaims},
	{"peers", measurePeers},
	{"transfer", measureTransfer},
	{"decisions", measureDecisions},
	{"node", measureNode},
	{"processes", measureProcesses},
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
	if err != nil || len(rest) > 0 || o.Repeat < 1 || o.Zones < 1 {
		return exitUsage
	}
	if o.Short {
		o.Parts, o.Nodes, o.Window = []string{"processes"}, []int{10}, 5*time.Second
	}
	runtime.GOMAXPROCS(maxProcessors)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := measure(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		return exitFailure
	}
	return 0
}

var errUnknownPart = errors.New("unknown part")

func measure(ctx context.Context, o *options) error {
	for _, name := range o.Parts {
		if !slices.ContainsFunc(parts, func(p part) bool { return p.name == name }) {
			return fmt.Errorf("%q: %w", name, errUnknownPart)
		}
	}
	fmt.Printf("# %s, %d processors of which %d are used, seed %d, %s\n", runtime.Version(), runtime.NumCPU(),
		maxProcessors, o.Seed, time.Now().UTC().Format(time.RFC3339))
	for _, p := range parts {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		if err := p.run(ctx, o); err != nil {
			return fmt.Errorf("measure %s: %w", p.name, err)
		}
	}
	return nil
}
