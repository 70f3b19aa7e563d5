package discovery

import (
	"context"
	"errors"
	"time"

	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/core/routing"
)

// Errors of a Store. Any other error means that the store could not be reached or refused the call.
var (
	// ErrHistoryLost is returned when a watch asks for changes that the store no longer has.
	ErrHistoryLost = errors.New("the store no longer has this history")
	// ErrNoConfiguration is returned when nothing was published yet.
	ErrNoConfiguration = errors.New("no configuration was published")
)

// ConfigurationRead is the result of a read or a watch of the configuration.
type ConfigurationRead struct {
	// Config is the configuration, or nil if the watch saw none or it was invalid.
	Config *routing.Config
	// Invalid says why a configuration was not taken.
	Invalid error
	// Revision is the revision of the store from which the next watch goes on.
	Revision uint64
}

// EndpointsRead is the result of a read or a watch of the endpoints. Entries that name no endpoint are listed as gone.
type EndpointsRead struct {
	registry.Snapshot
	// Invalid says which entries could not be read, and why.
	Invalid []error
}

// Store is where configuration and endpoints come from. It can only be read.
type Store interface {
	// Configuration returns the newest configuration.
	Configuration(ctx context.Context) (ConfigurationRead, error)
	// WatchConfiguration returns what was published after a revision. It waits for the first change.
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (ConfigurationRead, error)
	// Endpoints returns all endpoints. A stale read is cheap, but may lack what has changed after its revision.
	Endpoints(ctx context.Context, stale bool) (EndpointsRead, error)
	// WatchEndpoints returns the changes after a revision. It waits for the first one.
	WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (EndpointsRead, error)
}
