package model

import (
	"time"

	"agatepulley.example/agatepulley/core/balance"
	"agatepulley.example/agatepulley/core/health"
	"agatepulley.example/agatepulley/core/retry"
)

// Fault is a kind of failure of an endpoint.
type Fault int

// Faults. ZoneLoss loses the answers to the ingress nodes of one zone.
const (
	NoFault Fault = iota
	Refuse
	Stall
	Slow
	ZoneLoss
)

// FaultPeriod is a fault of one endpoint during a period.
type FaultPeriod struct {
	Endpoint int
	Kind     Fault
	From, To time.Duration
	Factor   float64
	Zone     int
}

// Service describes the modelled service and its callers.
type Service struct {
	Name      string
	Zones     int
	Endpoints int
	Slots     int
	Ingresses int
	Floor     int
	// CallerDelay and ZoneDelay are one-way latencies from the callers and between zones.
	CallerDelay time.Duration
	ZoneDelay   time.Duration
	// Median and Sigma describe the lognormal service time of short requests.
	Median time.Duration
	Sigma  float64
	// LongShare of the requests take LongFactor times as long.
	LongShare  float64
	LongFactor float64
	// Repeatable is the share of requests that may be run more than once.
	Repeatable   float64
	Deadline     time.Duration
	LongDeadline time.Duration
}

// Load describes the demand and what goes wrong.
type Load struct {
	// Rate is the number of short requests a second at a time.
	Rate func(now time.Duration) float64
	// PeakRate is an upper bound of Rate.
	PeakRate float64
	// LongRate is the number of long requests a second.
	LongRate float64
	Warmup   time.Duration
	End      time.Duration
	Faults   []FaultPeriod
	// ErrorShare of the requests fail on any endpoint.
	ErrorShare func(now time.Duration) float64
	// Slowdown multiplies the service time of an endpoint of a zone.
	Slowdown func(now time.Duration, zone int) float64
	// ExtraDelay adds to the one-way latency to a zone from other zones.
	ExtraDelay func(now time.Duration, zone int) time.Duration
	// Cold endpoints start at Warmup; their service time falls from ColdFactor times the normal one to it in ColdTime.
	Cold       []int
	ColdFactor float64
	ColdTime   time.Duration
}

// Routing is a way to choose an endpoint.
type Routing int

// Ways to choose an endpoint. Product is core/balance.
const (
	Product Routing = iota
	RoundRobin
	LeastRequests
)

// Policy is the decision logic under test.
type Policy struct {
	Name     string
	Routing  Routing
	Balance  balance.Settings
	Detector bool
	Health   health.Settings
	// OwnerReports sends the owner's own score with its answers, OwnerNews also by news when it turns suspect.
	OwnerReports bool
	OwnerNews    bool
	// Rescue places the open requests of an endpoint that becomes suspect elsewhere, where that is safe.
	Rescue bool
	// Consecutive failures eject for EjectTime; AttemptTimeout bounds one attempt. Baseline of M1 and M2.
	Consecutive    int
	EjectTime      time.Duration
	AttemptTimeout time.Duration
	// Unbounded uses first-come first-served queues without limit or class. Baseline of M3 and M4.
	Unbounded    bool
	QueuePerSlot int
	LongReserve  int
	// Pack sends long requests to this number of endpoints only.
	Pack int
	// Bounces is the number of endpoints that may refuse a request as busy before it queues at the next one.
	Bounces int
	Retries bool
	Retry   retry.Settings
}
