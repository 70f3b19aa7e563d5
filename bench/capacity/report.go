package main

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Units of figures.
const (
	unitBytes   = "bytes"
	unitMillis  = "ms"
	unitMicros  = "us"
	unitNanos   = "ns"
	unitCore    = "%core"
	unitCount   = "count"
	unitShare   = "%"
	unitSeconds = "s"
)

// Targets of the design page for the control plane of one node.
const (
	targetCore   = "2"
	targetMemory = "128e6"
	targetRate   = "5000"
	noTarget     = "-"
)

// figure prints one figure: name, value, unit, target.
func figure(name string, value float64, unit, target string) {
	fmt.Printf("%-58s %14s %-8s %s\n", name, number(value), unit, target)
}

// fitted prints a slope with its errors and the value at full size.
func fitted(name string, points []point, full float64, unit, target string) error {
	l, err := fitLine(points)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for _, p := range points {
		figure(fmt.Sprintf("%s at %.0f", name, p.size), p.value, unit, noTarget)
	}
	figure(name+" slope", l.slope, unit, noTarget)
	figure(name+" slope standard error", l.slopeError, unit, noTarget)
	figure(name+" largest deviation", 100*l.deviation, unitShare, noTarget)
	figure(fmt.Sprintf("%s line at %.0f", name, full), l.at(full), unit, target)
	return nil
}

func number(value float64) string {
	if math.Abs(value) >= 1000 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 4, 64)
}

// spread returns the median, the least and the largest of several values.
func spread(values []float64) (median, least, most float64) {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]
}
