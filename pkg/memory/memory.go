// Package memory bounds the memory that the requests of a process may use together.
package memory

import "sync/atomic"

// Budget is a number of bytes of which parts are reserved and released. It is safe for concurrent use.
type Budget struct {
	available atomic.Int64
}

// NewBudget returns a Budget with a limit in bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.available.Store(bytes)
	return b
}

// Available returns the number of bytes that are not reserved.
func (b *Budget) Available() int64 {
	return b.available.Load()
}

// Reserve reserves bytes and reports whether enough were available. A nil Budget has none.
func (b *Budget) Reserve(bytes int64) bool {
	if b == nil {
		return false
	}
	if b.available.Add(-bytes) < 0 {
		b.available.Add(bytes)
		return false
	}
	return true
}

// Release gives reserved bytes back.
func (b *Budget) Release(bytes int64) {
	b.available.Add(bytes)
}
