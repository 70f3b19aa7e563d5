// Command latency measures what the fleet adds to a request: latency and processor time through two nodes against
// straight to the backend server, in the same run. It prints one line per figure: name, value, unit, baseline.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/bench/processes"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/load"
)

const (
	exitFailure = 1
	exitUsage   = 2

	startTimeout = 30 * time.Second
	// slots is far above the requests in flight, so that no queueing is measured.
	slots       = 256
	endpoint    = "backend-1"
	ingressHost = "h2"
	ownerHost   = "h1"
	requestURI  = "/work?ms=2&bytes=1000"
)

type options struct {
	Rates    []float64     `long:"rate" description:"requests per second; may be given several times" default:"200" default:"2000"`
	Rounds   int           `long:"rounds" description:"alternations between the two paths" default:"3"`
	Duration time.Duration `long:"duration" description:"length of one path in one round" default:"4s"`
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := measure(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		return exitFailure
	}
	return 0
}

// document has one endpoint and a second host, so that each request through it takes the inner hop.
func document() *config.Document {
	return &config.Document{
		Format:  config.Format,
		Version: config.Version{Epoch: 1, Sequence: 1},
		Hosts:   []config.Host{{ID: ownerHost, Zone: "z1"}, {ID: ingressHost, Zone: "z1"}},
		Services: []config.Service{{
			Name: "desk", Endpoints: []config.Endpoint{{ID: endpoint, Host: ownerHost, Slots: slots}},
		}},
		Routes: []config.Route{{ID: "work", PathPrefix: "/", Service: "desk", Repeatable: true}},
	}
}

func measure(ctx context.Context, o *options) error {
	dir, err := os.MkdirTemp("", "agatepulley-latency-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	binaries, err := processes.Build(ctx, dir)
	if err != nil {
		return err
	}
	fleet, err := processes.NewFleet(binaries, dir, document())
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = fleet.Start(startCtx)
	if err == nil {
		err = measureRates(ctx, o, fleet)
	}
	return errors.Join(err, fleet.Close())
}

func measureRates(ctx context.Context, o *options, fleet *processes.Fleet) error {
	server := fleet.Backends[endpoint]
	direct := newPath(server.Address, server.Process)
	proxied := newPath(fleet.Nodes[ingressHost].Callers, server.Process, fleet.Nodes[ownerHost].Process, fleet.Nodes[ingressHost].Process)
	// The first requests open connections and fill pools.
	for _, p := range []*path{direct, proxied} {
		if err := p.drive(ctx, o.Rates[0], time.Second); err != nil {
			return err
		}
	}
	for _, rate := range o.Rates {
		direct.reset()
		proxied.reset()
		for range o.Rounds {
			for _, p := range []*path{direct, proxied} {
				if err := p.drive(ctx, rate, o.Duration); err != nil {
					return err
				}
			}
		}
		printFigures(rate, proxied, direct)
	}
	return nil
}

func printFigures(rate float64, proxied, direct *path) {
	line := func(name string, value func(*path) float64, unit string) {
		fmt.Printf("%s_at_%.0f_per_s, %.3f, %s, %.3f\n", name, rate, value(proxied), unit, value(direct))
	}
	line("latency_p50", func(p *path) float64 { return p.quantile(50) }, "ms")
	line("latency_p99", func(p *path) float64 { return p.quantile(99) }, "ms")
	line("processor_time_per_request", (*path).processorTime, "ms")
	line("unanswered", func(p *path) float64 { return float64(p.unanswered) }, "requests")
}

// path is one way to the backend server with the processes that work for it.
type path struct {
	target    string
	processes []*processes.Process

	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	unanswered int
	processor  time.Duration
}

func newPath(target string, workers ...*processes.Process) *path {
	p := &path{target: target, processes: workers}
	p.reset()
	return p
}

func (p *path) reset() {
	p.latencies = hdrhistogram.New(int64(time.Microsecond), int64(time.Minute), 3)
	p.unanswered = 0
	p.processor = 0
}

func (p *path) drive(ctx context.Context, rate float64, duration time.Duration) error {
	before, err := p.cpuTime()
	if err != nil {
		return err
	}
	kind := load.Kind{Name: "work", Weight: 1, Method: "GET", URI: requestURI, Repeatable: true, Check: true}
	_, err = load.Run(ctx, load.Plan{Targets: []string{p.target}, Rate: rate, Duration: duration, Mix: []load.Kind{kind}}, p.observe)
	if err != nil {
		return err
	}
	after, err := p.cpuTime()
	p.processor += after - before
	return err
}

func (p *path) observe(r load.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Category != load.Answered || r.Status >= 400 {
		p.unanswered++
		return
	}
	// A latency outside of the bounds is impossible within the time limit of a request.
	_ = p.latencies.RecordValue(int64(r.Latency))
}

func (p *path) cpuTime() (time.Duration, error) {
	var sum time.Duration
	for _, process := range p.processes {
		used, err := process.CPUTime()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

func (p *path) quantile(q float64) float64 {
	return milliseconds(time.Duration(p.latencies.ValueAtQuantile(q)))
}

func (p *path) processorTime() float64 {
	n := p.latencies.TotalCount() + int64(p.unanswered)
	if n == 0 {
		return 0
	}
	return milliseconds(p.processor) / float64(n)
}

func milliseconds(d time.Duration) float64 {
	return d.Seconds() * 1000
}
