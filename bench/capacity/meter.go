package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() float64 {
	debug.FreeOSMemory()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the user and system time of this process.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorTimeOf returns the processor time that a step takes.
func processorTimeOf(step func() error) (time.Duration, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := step(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return after - before, err
}

// median returns the median processor time of several runs of a step, and the least and the largest, in nanoseconds.
// Processor time varies less than elapsed time on a machine with other work.
func (o *options) median(step func() error) (median, least, most float64, err error) {
	var taken []float64
	for range o.Repeat {
		runtime.GC()
		d, err := processorTimeOf(step)
		if err != nil {
			return 0, 0, 0, err
		}
		taken = append(taken, float64(d))
	}
	median, least, most = spread(taken)
	return median, least, most, nil
}
