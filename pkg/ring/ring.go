// Package ring provides bounded queues between the duties of a node. A ring never blocks the sender and never grows:
// when it is full, its overflow policy decides which item is lost, and the loss is counted.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Overflow says what happens to a new item when the ring is full.
type Overflow int

const (
	// Refuse keeps the queued items and rejects the new one.
	Refuse Overflow = iota
	// DropOldest discards the oldest queued item to make room.
	DropOldest
)

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	overflow Overflow
	lost     atomic.Uint64

	mu    sync.Mutex
	items []T
	head  int
	size  int
	ready chan struct{}
}

// New returns a ring that holds up to capacity items. A capacity below one is raised to one.
func New[T any](capacity int, overflow Overflow) *Ring[T] {
	return &Ring[T]{
		overflow: overflow,
		items:    make([]T, max(capacity, 1)),
		ready:    make(chan struct{}, 1),
	}
}

// Push adds an item. It returns false if an item was lost, which under Refuse is the new one.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := true
	if r.size == len(r.items) {
		r.lost.Add(1)
		kept = false
		if r.overflow == Refuse {
			return false
		}
		r.removeHead()
	}
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	r.signal()
	return kept
}

// TryPop removes the oldest item. It returns false if the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var zero T
		return zero, false
	}
	item := r.removeHead()
	if r.size > 0 {
		r.signal()
	}
	return item, true
}

// Pop waits for an item. It returns the context's error once the context ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		if item, ok := r.TryPop(); ok {
			return item, nil
		}
		select {
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		case <-r.ready:
		}
	}
}

// Dropped returns how many items were rejected or discarded.
func (r *Ring[T]) Dropped() uint64 {
	return r.lost.Load()
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

func (r *Ring[T]) removeHead() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.size--
	return item
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
