// Command policies measures the routing and admission decisions with the model of package model. It prints one line
// for each figure: name, value, unit, value of the baseline.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"agatepulley.example/agatepulley/bench/model"
)

// maxParallel bounds the processors used.
const maxParallel = 3

type experiment struct {
	seed  uint64
	quick bool
}

func main() {
	name := flag.String("name", "quick", "M1, M2, M3, M4, balance or quick")
	seed := flag.Uint64("seed", 1, "seed of the random sources")
	flag.Parse()
	runtime.GOMAXPROCS(maxParallel)
	e := experiment{seed: *seed}
	runs := map[string][]func(experiment){
		"M1":      {m1, m2},
		"M2":      {m2},
		"M3":      {m3},
		"M4":      {m4},
		"balance": {compareRouting},
		"quick":   {m1, m2, m4, m3, compareRouting},
	}
	chosen, ok := runs[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown measurement %q\n", *name)
		os.Exit(2)
	}
	e.quick = *name == "quick"
	for _, run := range chosen {
		run(e)
	}
}

func line(name string, value any, unit string, baseline any) {
	fmt.Printf("%-76s %12v %-18s %12v\n", name, value, unit, baseline)
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// parallel runs the jobs and returns their results in order.
func parallel(jobs []func() *model.Result) []*model.Result {
	results := make([]*model.Result, len(jobs))
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, job := range jobs {
		wg.Go(func() {
			slots <- struct{}{}
			results[i] = job()
			<-slots
		})
	}
	wg.Wait()
	return results
}

var (
	orderDesk = model.Service{
		Name: "order-desk", Zones: 3, Endpoints: 15, Slots: 3, Ingresses: 21, Floor: 60,
		CallerDelay: 8 * time.Millisecond, ZoneDelay: 4 * time.Millisecond,
		Median: 15 * time.Millisecond, Sigma: 0.6, LongFactor: 100, Repeatable: 0.7,
		Deadline: 2 * time.Second, LongDeadline: 30 * time.Second,
	}
	portal = model.Service{
		Name: "portal", Zones: 4, Endpoints: 23, Slots: 5, Ingresses: 31, Floor: 60,
		CallerDelay: 3 * time.Millisecond, ZoneDelay: 5 * time.Millisecond,
		Median: 15 * time.Millisecond, Sigma: 0.6, LongFactor: 100, Repeatable: 0.7,
		Deadline: 2 * time.Second, LongDeadline: 30 * time.Second,
	}
)

func product() model.Policy {
	return model.Policy{
		Name: "product", Detector: true, OwnerReports: true, OwnerNews: true, Rescue: true,
		QueuePerSlot: 4, LongReserve: 1, Retries: true, Bounces: 1,
	}
}

func baseline() model.Policy {
	return model.Policy{
		Name: "baseline", Routing: model.RoundRobin, Consecutive: 5, EjectTime: 10 * time.Second,
		AttemptTimeout: time.Second, Unbounded: true, Retries: true,
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
