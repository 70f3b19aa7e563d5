// Package ring provides bounded queues between the background tasks of a node. A ring never blocks the sender and never
// grows: when it is full, its overflow policy decides which item is dropped, and dropped items are counted.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Overflow is the policy for a new item when the ring is full.
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
	dropped  atomic.Uint64

	mu sync.Mutex
	// items is a circular buffer. The oldest item is at head.
	items []T
	head  int
	size  int
	// ready wakes up a receiver that waits in Pop.
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

// Push adds an item. It returns false if an item was dropped: the new one with Refuse, the oldest one with DropOldest.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := true
	if r.size == len(r.items) {
		r.dropped.Add(1)
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

// Pop removes the oldest item, waiting for one if the ring is empty. It returns the context's error if the context ends
// first.
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

// Dropped returns the number of items that were rejected or discarded.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
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
