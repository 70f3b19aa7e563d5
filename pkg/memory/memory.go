// Package memory bounds the memory that the requests of a process may use together.
package memory

import "sync/atomic"

// Budget is a number of bytes of which parts are reserved and released. It is safe for concurrent use.
type Budget struct {
	limit     int64
	available atomic.Int64
}

// NewBudget returns a Budget with a limit in bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{limit: bytes}
	b.available.Store(bytes)
	return b
}

// Share takes a share of the budget out of it for good and returns it as a budget of its own. Nothing may be reserved yet.
func (b *Budget) Share(share float64) *Budget {
	return NewBudget(b.remove(int64(share * float64(b.limit))))
}

// remove takes bytes out of the budget for good.
func (b *Budget) remove(bytes int64) int64 {
	b.limit -= bytes
	b.available.Add(-bytes)
	return bytes
}

// Table takes the memory of a table out of the budget for good, at most half of it. Nothing may be reserved yet. It returns the number of entries,
// of entryBytes each, that there is memory for: want, or fewer, but at least one.
func (b *Budget) Table(want int, entryBytes int64) int {
	if b == nil {
		return want
	}
	entries := max(min(int64(want), b.limit/2/entryBytes), 1)
	b.remove(entries * entryBytes)
	return int(entries)
}

// Limit returns the number of bytes that may be reserved at the same time.
func (b *Budget) Limit() int64 {
	return b.limit
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
