// Package admin serves a node's status, readiness, metrics and routing decisions to operators over HTTP. It also
// defines the types of the status document, which agatectl decodes.
package admin

import (
	"time"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
)

// Status describes a node and its view of the fleet.
type Status struct {
	Node          NodeStatus          `json:"node"`
	Configuration ConfigurationStatus `json:"configuration"`
	Hosts         []HostStatus        `json:"hosts"`
	Services      []ServiceStatus     `json:"services"`
	Owned         []OwnedStatus       `json:"owned"`
	Leaving       []LeavingStatus     `json:"leaving"`
	Suspects      []SuspectStatus     `json:"suspects,omitempty"`
}

// NodeStatus describes the node itself.
type NodeStatus struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Incarnation distinguishes the process from earlier ones of the same host.
	Incarnation uint64    `json:"incarnation"`
	State       string    `json:"state"`
	StartedAt   time.Time `json:"started_at"`
	InFlight    int       `json:"in_flight"`
}

// ConfigurationStatus describes the configuration in force.
type ConfigurationStatus struct {
	Version config.Version `json:"version"`
	Digest  string         `json:"digest"`
	// Source is where the node obtained the version: "service", "store", "peer" or "embedded".
	Source string `json:"source"`
	// AgeSeconds is the time since the version came into force on this node.
	AgeSeconds float64 `json:"age_seconds"`
	// ReadAgeSeconds is the time since the latest read of the configuration service or store that this node knows of,
	// or negative if it knows of none. Reads of other nodes may count.
	ReadAgeSeconds float64 `json:"read_age_seconds"`
	Alarms         []Alarm `json:"alarms"`
}

// Alarm is a condition that an operator must look at.
type Alarm struct {
	Name  string    `json:"name"`
	Since time.Time `json:"since"`
	Text  string    `json:"text"`
}

// HostStatus describes a host of the fleet in this node's view.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Version is the configuration in force on the host according to its latest message, or nil if there was none.
	Version *config.Version `json:"version,omitempty"`
	Digest  string          `json:"digest,omitempty"`
	// SecondsSinceContact is the time since the latest message from the host, or negative if there was none.
	SecondsSinceContact float64 `json:"heard_seconds"`
	Leaving             bool    `json:"leaving"`
}

// ServiceStatus describes the endpoints of a service in this node's view.
type ServiceStatus struct {
	Name string `json:"name"`
	// FloorPercent is the percentage of the slots of all endpoints that ejections must leave in rotation, or 0 on
	// a node with --site-settings.
	FloorPercent int              `json:"floor_percent"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// EndpointStatus describes an endpoint in this node's view.
type EndpointStatus struct {
	ID    string `json:"id"`
	Host  string `json:"host"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Reason is why the node's health detector last changed its rating of the endpoint, or empty without a detector.
	Reason string `json:"reason"`
	// Protected says that the service's FloorPercent keeps the endpoint from being ejected.
	Protected bool `json:"protected"`
	Slots     int  `json:"slots"`
	InFlight  int  `json:"in_flight"`
	// Load is in requests per slot.
	Load float64 `json:"load"`
	// Limit is the limit that the endpoint has announced in its responses, in requests per second, or nil if there is none.
	Limit *float64 `json:"limit,omitempty"`
}

// OwnedStatus describes an endpoint on this node's host, which this node owns: it admits the requests to the endpoint's
// slots.
type OwnedStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
	Busy    int    `json:"busy"`
	Queued  int    `json:"queued"`
	Slots   int    `json:"slots"`
}

// LeavingStatus describes a host that is about to be taken out of service, and the source that reported this first.
type LeavingStatus struct {
	Host   string    `json:"host"`
	Source string    `json:"source"`
	Since  time.Time `json:"since"`
}

// SuspectStatus describes requests that may crash endpoints.
type SuspectStatus struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	// Action says how the requests are treated: "run-alone" or "refuse".
	Action string `json:"action"`
	// Crashed lists the endpoints that crashed while they ran such a request.
	Crashed []string `json:"crashed"`
}

// Readiness says whether the node accepts requests of callers, and if not, why.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Explanation lists the decisions recorded for one request.
type Explanation struct {
	RequestID string              `json:"request_id"`
	Decisions []decision.Decision `json:"decisions"`
}

// StatusSource reports the status of the node.
type StatusSource interface {
	Status() Status
}

// Explainer returns the decisions recorded for a request. *decision.Recorder implements it.
type Explainer interface {
	Explain(requestID string) []decision.Decision
}

// Quarantine holds the requests that may crash endpoints.
type Quarantine interface {
	// Lift lets the requests with a fingerprint run again, on all nodes. It returns false if they are not suspected.
	Lift(fingerprint string) bool
}

// ReadinessSource reports whether the node accepts requests of callers.
type ReadinessSource interface {
	Readiness() Readiness
}
