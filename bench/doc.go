// Package bench holds the experiments and capacity measurements behind docs/MEASUREMENTS.md and docs/CAPACITY.md.
package bench
