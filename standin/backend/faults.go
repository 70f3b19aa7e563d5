package backend

import (
	"fmt"
	"slices"
	"strings"
)

// Ways to cut off a response.
const (
	CutNone    = ""
	CutLength  = "length"
	CutChunked = "chunked"
)

// Reports of the health endpoint.
const (
	HealthTrue = ""
	HealthOK   = "ok"
	HealthFail = "fail"
)

// Faults are the failures that a backend server shows. They are switched at run time; a request keeps the faults that
// were set when it arrived, except for Stall, which holds requests until it is cleared.
type Faults struct {
	// Stall accepts requests and does not answer them, while the health endpoint answers.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the service time; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// FailPercent is the share of requests that are answered with 500 without work.
	FailPercent int `json:"fail_percent"`
	// FailCallers lists the callers, by the header X-Caller or the prefix of the client address, whose requests fail.
	FailCallers []string `json:"fail_callers"`
	// Refuse closes the listener and the idle connections.
	Refuse bool `json:"refuse"`
	// Health is what the health endpoint reports: the truth, always "ok" or always "fail".
	Health string `json:"health"`
	// CrashToken ends the process when a request carries it in the header X-Crash-Token, its query or its body.
	CrashToken string `json:"crash_token"`
	// Cut ends responses after half of the body, declared by content length or chunked.
	Cut string `json:"cut"`
	// CutPercent is the share of responses that are cut; zero means all.
	CutPercent int `json:"cut_percent"`
	// BytesPerSecond limits the rate of response bodies; zero means no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Shed answers all requests with 503.
	Shed bool `json:"shed"`
	// Drain answers new requests with 503 and closes their connections, and the health endpoint fails.
	Drain bool `json:"drain"`
}

// Check returns an error that names the first invalid fault.
func (f *Faults) Check() error {
	if !slices.Contains([]string{CutNone, CutLength, CutChunked}, f.Cut) {
		return fmt.Errorf("cut %q: want empty, %s or %s", f.Cut, CutLength, CutChunked)
	}
	if !slices.Contains([]string{HealthTrue, HealthOK, HealthFail}, f.Health) {
		return fmt.Errorf("health %q: want empty, %s or %s", f.Health, HealthOK, HealthFail)
	}
	if f.FailPercent < 0 || f.FailPercent > 100 || f.CutPercent < 0 || f.CutPercent > 100 {
		return fmt.Errorf("fail_percent %d, cut_percent %d: want 0 to 100", f.FailPercent, f.CutPercent)
	}
	if f.SlowFactor < 0 || f.BytesPerSecond < 0 {
		return fmt.Errorf("slow_factor %g, bytes_per_second %d: want 0 or more", f.SlowFactor, f.BytesPerSecond)
	}
	return nil
}

// failsFor reports whether requests of a caller or client address fail.
func (f *Faults) failsFor(caller, address string) bool {
	for _, match := range f.FailCallers {
		if match == caller || strings.HasPrefix(address, match) {
			return true
		}
	}
	return false
}

// hit reports whether the n-th event falls into a share of percent, spread evenly.
func hit(n uint64, percent int) bool {
	return n*uint64(percent)%100 < uint64(percent)
}
