// Package config defines the configuration document that operators publish: its types, checks, canonical encoding,
// differences between versions, and the pieces and deltas in which it is transferred.
package config

import (
	"time"

	"agatepulley.example/agatepulley/core/configstate"
)

// Format identifies the document format.
const Format = "agatepulley/1"

// Version orders documents: first by epoch, then by sequence.
type Version = configstate.Version

// Document is one version of the whole configuration.
type Document struct {
	Format     string      `json:"format"`
	Version    Version     `json:"version"`
	Hosts      []Host      `json:"hosts"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Host is a machine that runs one node.
type Host struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	IngressPort int    `json:"ingress_port"`
	// HopPort is the port for requests that other nodes forward.
	HopPort int `json:"hop_port"`
	// PeerPort is the port for the peer protocol between nodes.
	PeerPort int  `json:"peer_port"`
	Draining bool `json:"draining,omitempty"`
}

// Service is a set of interchangeable endpoints with the rules that apply to them. In the settings groups a zero
// value means the default.
type Service struct {
	Name string `json:"name"`
	// FloorPercent is the percentage of the slots of all endpoints that ejections must leave in rotation.
	FloorPercent int                `json:"floor_percent"`
	Health       HealthSettings     `json:"health,omitzero"`
	Admission    AdmissionSettings  `json:"admission,omitzero"`
	Retry        RetrySettings      `json:"retry,omitzero"`
	Balance      BalanceSettings    `json:"balance,omitzero"`
	Claims       ClaimSettings      `json:"claims,omitzero"`
	Quarantine   QuarantineSettings `json:"quarantine,omitzero"`
	Endpoints    []Endpoint         `json:"endpoints"`
}

// Endpoint is one backend server, reached through the node on its host.
type Endpoint struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots    int  `json:"slots"`
	Draining bool `json:"draining,omitempty"`
}

// Class says how long the requests of a route usually take.
type Class string

// Classes of routes. With ClassAuto, a route is long if its mean service time is at least AdmissionSettings.LongAfterMS.
const (
	ClassAuto  Class = "auto"
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Route maps requests to a service.
type Route struct {
	ID         string `json:"id"`
	PathPrefix string `json:"path_prefix"`
	// Methods lists the accepted request methods. An empty list accepts all.
	Methods []string `json:"methods,omitempty"`
	Service string   `json:"service"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// KeyRequired rejects requests without an idempotency key.
	KeyRequired bool `json:"key_required,omitempty"`
	// DeadlineMS is the time within which a request is answered or rejected. A caller may ask for an earlier deadline.
	DeadlineMS   int   `json:"deadline_ms,omitempty"`
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	Class        Class `json:"class,omitempty"`
	// WorkspaceRequired rejects requests that name no workspace.
	WorkspaceRequired bool `json:"workspace_required,omitempty"`
}

// Workspace is a tenant of callers. A zero limit means no limit.
type Workspace struct {
	ID string `json:"id"`
	// MaxInFlight is the largest number of the tenant's requests in flight at each node that receives them from callers.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// HealthSettings tune the detection of failing endpoints.
type HealthSettings struct {
	// SuspectScore is the detector score, in units of log likelihood, at which an endpoint becomes suspect.
	SuspectScore float64 `json:"suspect_score,omitempty"`
	// EjectScore is the score at which a suspect endpoint is ejected, unless Service.FloorPercent forbids it.
	EjectScore float64 `json:"eject_score,omitempty"`
	// HoldOffMS is how long an endpoint stays out of rotation after its first ejection. The time doubles with each
	// further ejection, up to HoldOffMaxMS.
	HoldOffMS    int `json:"hold_off_ms,omitempty"`
	HoldOffMaxMS int `json:"hold_off_max_ms,omitempty"`
	// RampMS is the time over which the weight of a returning or cold endpoint rises to its full value.
	RampMS int `json:"ramp_ms,omitempty"`
}

// AdmissionSettings tune the request queue of each endpoint, which the node on the endpoint's host keeps.
type AdmissionSettings struct {
	// QueuePerSlot is the number of requests per slot that may wait.
	QueuePerSlot int `json:"queue_per_slot,omitempty"`
	// LongReserve is the number of slots that long requests must leave free.
	LongReserve int `json:"long_reserve,omitempty"`
	// LongAfterMS is the mean service time from which a route of class auto counts as long.
	LongAfterMS int `json:"long_after_ms,omitempty"`
}

// RetrySettings bound the retries of a service.
type RetrySettings struct {
	// BudgetPercent is the number of retries allowed per 100 successful requests.
	BudgetPercent int `json:"budget_percent,omitempty"`
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// DisableHedge turns off second attempts for repeatable requests whose first attempt is slow.
	DisableHedge bool `json:"disable_hedge,omitempty"`
}

// BalanceSettings tune the choice of an endpoint.
type BalanceSettings struct {
	// ZoneSlackPercent is how far the load of the node's own zone may exceed that of other zones before the node chooses
	// endpoints there.
	ZoneSlackPercent int `json:"zone_slack_percent,omitempty"`
}

// ClaimSettings describe the recorders of a service: the hosts whose nodes record its idempotency keys, so that a
// request does not run twice.
type ClaimSettings struct {
	// WindowMS is the time after the dispatch of a request during which no other attempt with its key is granted.
	WindowMS int `json:"window_ms,omitempty"`
	// Generation must increase with each change of Recorders.
	Generation uint64 `json:"generation,omitempty"`
	// Recorders are the ids of the hosts.
	Recorders []string `json:"recorders,omitempty"`
	// Previous are the recorders of the generation before.
	Previous []string `json:"previous,omitempty"`
}

// QuarantineSettings tune the containment of requests that crash backend servers.
type QuarantineSettings struct {
	// PeriodMS is how long a crash is counted.
	PeriodMS int `json:"period_ms,omitempty"`
	// MaxCrashes is the number of crashes from which requests with the same fingerprint are refused, if one of the
	// crashes happened while such a request ran alone.
	MaxCrashes int `json:"max_crashes,omitempty"`
}

// Default values of the settings groups.
const (
	DefaultSuspectScore     = 10.0
	DefaultEjectScore       = 22.0
	DefaultHoldOff          = 2 * time.Second
	DefaultHoldOffMax       = 5 * time.Minute
	DefaultRamp             = 5 * time.Second
	DefaultQueuePerSlot     = 4
	DefaultLongReserve      = 1
	DefaultLongAfter        = 250 * time.Millisecond
	DefaultBudgetPercent    = 10
	DefaultMaxAttempts      = 3
	DefaultZoneSlackPercent = 25
	DefaultClaimWindow      = 2 * time.Minute
	DefaultQuarantinePeriod = 10 * time.Minute
	DefaultMaxCrashes       = 2
	DefaultDeadline         = 10 * time.Second
	DefaultMaxBodyBytes     = 1 << 20
)
