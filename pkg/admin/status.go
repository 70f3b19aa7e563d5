// Package admin serves a node's status, decisions, readiness and metrics to operators over HTTP. It also defines the
// types of the status document, which agatectl reads.
package admin

import (
	"time"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/decision"
)

// Status describes a node and what it knows about the fleet.
type Status struct {
	Node          NodeStatus          `json:"node"`
	Configuration ConfigurationStatus `json:"configuration"`
	Hosts         []HostStatus        `json:"hosts"`
	Services      []ServiceStatus     `json:"services"`
	Owned         []OwnedStatus       `json:"owned"`
	Leaving       []LeavingStatus     `json:"leaving"`
}

// NodeStatus describes the node itself.
type NodeStatus struct {
	Host        string    `json:"host"`
	Zone        string    `json:"zone"`
	Region      string    `json:"region,omitempty"`
	Incarnation uint64    `json:"incarnation"`
	State       string    `json:"state"`
	StartedAt   time.Time `json:"started_at"`
	InFlight    int       `json:"in_flight"`
}

// ConfigurationStatus describes the configuration in force.
type ConfigurationStatus struct {
	Version config.Version `json:"version"`
	Digest  string         `json:"digest"`
	// Source says where the version came from: "service", "peer" or "embedded".
	Source string `json:"source"`
	// AgeSeconds is the time since the version came into force.
	AgeSeconds float64 `json:"age_seconds"`
	// ReadAgeSeconds is the time since the latest confirmed read of the configuration service, or negative if none is
	// known.
	ReadAgeSeconds float64 `json:"read_age_seconds"`
	Alarms         []Alarm `json:"alarms"`
}

// Alarm is a condition that an operator must look at.
type Alarm struct {
	Name  string    `json:"name"`
	Since time.Time `json:"since"`
	Text  string    `json:"text"`
}

// HostStatus describes another node as this one knows it.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Version is the configuration in force there when it was last heard from, or nil if it never was.
	Version *config.Version `json:"version,omitempty"`
	Digest  string          `json:"digest,omitempty"`
	// SecondsSinceContact is the time since the node was last heard from, or negative if it never was.
	SecondsSinceContact float64 `json:"heard_seconds"`
	Leaving             bool    `json:"leaving"`
}

// ServiceStatus describes the endpoints of a service in this node's view.
type ServiceStatus struct {
	Name         string           `json:"name"`
	FloorPercent int              `json:"floor_percent"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// EndpointStatus describes an endpoint in this node's view.
type EndpointStatus struct {
	ID        string  `json:"id"`
	Host      string  `json:"host"`
	Zone      string  `json:"zone"`
	State     string  `json:"state"`
	Reason    string  `json:"reason"`
	Protected bool    `json:"protected"`
	Slots     int     `json:"slots"`
	InFlight  int     `json:"in_flight"`
	Load      float64 `json:"load"`
}

// OwnedStatus describes an endpoint that this node owns.
type OwnedStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
	Busy    int    `json:"busy"`
	Queued  int    `json:"queued"`
	Slots   int    `json:"slots"`
}

// LeavingStatus describes a host that is leaving and which source reported it first.
type LeavingStatus struct {
	Host   string    `json:"host"`
	Source string    `json:"source"`
	Since  time.Time `json:"since"`
}

// Readiness says whether the node accepts work, and if not, why.
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

// ReadinessSource reports whether the node accepts work.
type ReadinessSource interface {
	Readiness() Readiness
}
