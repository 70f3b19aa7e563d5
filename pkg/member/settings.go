package member

import (
	"time"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/core/placement"
	"agatepulley.example/agatepulley/pkg/resources"
)

// Settings are the settings of one node. They come from the platform that the node runs on.
type Settings struct {
	Name   string
	IP     string
	Zone   string
	Region string
	// Regions holds the region of each zone.
	Regions membership.Regions
	// Traffic is what it costs to move bytes to other zones and regions. It counts where there are several regions.
	Traffic placement.Traffic

	// CallerListen is the listen address for callers on the same host, HopListen that for requests from other nodes, and
	// AdminListen that for readiness, status and metrics.
	CallerListen string
	HopListen    string
	AdminListen  string
	// PeerPort is the port of the peer protocol (TCP) and of the reports (UDP). It is the same on every host.
	PeerPort int

	// BackendAddress and Service are the address and the service of the endpoint on the same host.
	BackendAddress string
	Service        string

	StoreAddress string
	// Heartbeat is the interval at which endpoints write their entries to the store.
	Heartbeat time.Duration
	// FirstStart is set if the whole fleet starts for the first time, so that there are no callers yet.
	FirstStart bool

	// MaxDescriptors and MaxMemory, in bytes, are the limits of the process, or 0 if they are not known.
	MaxDescriptors int
	MaxMemory      int64

	// StopTimeout is the time after which the platform kills a process that was asked to stop. StopNotice is the time for
	// which callers may still send requests although the node reports that it is not ready.
	StopTimeout time.Duration
	StopNotice  time.Duration

	// In each RetryWindow, the retries of a service over the whole fleet are limited to RetryRatio times its requests plus
	// RetryConstant.
	RetryRatio    float64
	RetryConstant float64
	RetryWindow   time.Duration
}

// Limits returns the limits of the process.
func (s *Settings) Limits() resources.Limits {
	return resources.Limits{MemoryBytes: s.MaxMemory, Descriptors: s.MaxDescriptors}
}
