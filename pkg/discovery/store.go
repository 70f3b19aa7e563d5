package discovery

import (
	"context"
	"errors"
	"time"

	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/routing"
)

// Errors returned by a Store. Any other error means that the store could not be reached or refused the call.
var (
	// ErrHistoryLost is returned when a watch asks for changes that the store no longer has.
	ErrHistoryLost = errors.New("the store no longer has this history")
	// ErrNoConfiguration is returned when no configuration has been published yet. A peer also returns it if it knows none.
	ErrNoConfiguration = errors.New("no configuration was published")
)

// ConfigurationRead is the result of a read or a watch of the configuration.
type ConfigurationRead struct {
	// Config is the configuration, or nil if the watch ended without a new one or if it was invalid.
	Config *routing.Config
	// Invalid is the reason why a configuration was rejected, or nil.
	Invalid error
	// Revision is the revision of the store after which the next watch continues.
	Revision uint64
}

// EndpointsRead is the result of a read or a watch of the endpoints. Entries whose value is not a valid endpoint have Removed
// set.
type EndpointsRead struct {
	registry.Snapshot
	// Invalid holds an error for each entry that could not be decoded.
	Invalid []error
}

// Store is the read-only source of the configuration and the endpoints.
type Store interface {
	// Configuration returns the newest configuration.
	Configuration(ctx context.Context) (ConfigurationRead, error)
	// WatchConfiguration returns the newest configuration published after a revision. It waits up to wait for a change.
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ConfigurationRead, error)
	// Endpoints returns all endpoints. A stale read costs the store less, but lacks changes after its revision.
	Endpoints(ctx context.Context, stale bool) (EndpointsRead, error)
	// WatchEndpoints returns the changes after a revision. It waits up to wait for the first one.
	WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (EndpointsRead, error)
}
