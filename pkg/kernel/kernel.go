// Package kernel provides the service registry of a node. Services are registered under dotted names and can be looked up by
// name. They are started in the order of registration and stopped in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

var (
	// ErrDuplicate is returned when a name is registered twice.
	ErrDuplicate = errors.New("service is already registered")
	// ErrNotFound is returned when no service has the name.
	ErrNotFound = errors.New("service is not registered")
	// ErrWrongType is returned when a service does not have the requested type.
	ErrWrongType = errors.New("service has another type")
)

// Starter is implemented by services that run background tasks.
type Starter interface {
	// Start starts the tasks and returns once the service can be used.
	Start(ctx context.Context) error
}

// Stopper is implemented by services that must be stopped.
type Stopper interface {
	// Stop releases the resources of the service. It waits until its tasks have ended or the context is done.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one node. It is safe for concurrent use.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]any
	// order holds the names in the order of registration, and started is the number of them, counted from the first, whose
	// services have been started.
	order   []string
	started int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]any)}
}

// Register adds a service under a dotted name such as "config.store".
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[name]; exists {
		return fmt.Errorf("register %q: %w", name, ErrDuplicate)
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the service registered under name if it has type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	service, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("look up %q: %w", name, ErrNotFound)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, fmt.Errorf("look up %q: %w: %T", name, ErrWrongType, service)
	}
	return typed, nil
}

// Names returns the names of the services in the order of registration.
func (k *Kernel) Names() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return append([]string(nil), k.order...)
}

// Start starts the services in the order of registration. If one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.Names() {
		if err := k.startOne(ctx, name); err != nil {
			return errors.Join(err, k.Stop(ctx))
		}
	}
	return nil
}

// minStopTime is the time that a service gets to stop if the services stopped before it have used up the time limit.
const minStopTime = 50 * time.Millisecond

// Stop stops the started services in reverse order and returns all their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	names := append([]string(nil), k.order[:k.started]...)
	k.started = 0
	k.mu.Unlock()
	var errs []error
	for i := len(names) - 1; i >= 0; i-- {
		if err := k.stopOne(ctx, names[i]); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (k *Kernel) startOne(ctx context.Context, name string) error {
	k.mu.Lock()
	service := k.services[name]
	k.mu.Unlock()
	if starter, ok := service.(Starter); ok {
		if err := starter.Start(ctx); err != nil {
			return fmt.Errorf("start %q: %w", name, err)
		}
	}
	k.mu.Lock()
	k.started++
	k.mu.Unlock()
	return nil
}

func (k *Kernel) stopOne(ctx context.Context, name string) error {
	k.mu.RLock()
	service := k.services[name]
	k.mu.RUnlock()
	stopper, ok := service.(Stopper)
	if !ok {
		return nil
	}
	if ctx.Err() != nil {
		extra, cancel := context.WithTimeout(context.WithoutCancel(ctx), minStopTime)
		defer cancel()
		ctx = extra
	}
	if err := stopper.Stop(ctx); err != nil {
		return fmt.Errorf("stop %q: %w", name, err)
	}
	return nil
}
