package main

import (
	"errors"
	"fmt"
	"math"
)

// point is one measured value at one size.
type point struct {
	size, value float64
}

// line is a least-squares fit of value = base + slope*size.
type line struct {
	base, slope float64
	// slopeError is the standard error of the slope; it is NaN for two points.
	slopeError float64
	// deviation is the largest distance of a point from the line, as a share of the largest value.
	deviation float64
}

var errTooFewSizes = errors.New("a line needs at least two different sizes")

// fitLine fits a line to points of at least two sizes.
func fitLine(points []point) (line, error) {
	n := float64(len(points))
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.size / n
		meanValue += p.value / n
	}
	var sizes, products float64
	for _, p := range points {
		sizes += (p.size - meanSize) * (p.size - meanSize)
		products += (p.size - meanSize) * (p.value - meanValue)
	}
	if sizes == 0 || len(points) < 2 {
		return line{}, fmt.Errorf("fit %d points: %w", len(points), errTooFewSizes)
	}
	l := line{slope: products / sizes}
	l.base = meanValue - l.slope*meanSize
	l.addErrors(points, sizes)
	return l, nil
}

func (l *line) addErrors(points []point, sizes float64) {
	var residuals, largest float64
	for _, p := range points {
		distance := p.value - l.at(p.size)
		residuals += distance * distance
		l.deviation = max(l.deviation, math.Abs(distance))
		largest = max(largest, math.Abs(p.value))
	}
	if largest > 0 {
		l.deviation /= largest
	}
	l.slopeError = math.Sqrt(residuals / float64(len(points)-2) / sizes)
}

// at returns the value of the line at a size.
func (l line) at(size float64) float64 {
	return l.base + l.slope*size
}

// crossover returns the positive size at which two lines have the same value, and false if there is none.
func crossover(first, second line) (float64, bool) {
	if first.slope == second.slope {
		return 0, false
	}
	size := (first.base - second.base) / (second.slope - first.slope)
	return size, size > 0
}
