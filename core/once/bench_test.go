package once_test

import (
	"fmt"
	"runtime"
	"testing"

	"agatepulley.example/agatepulley/core/once"
)

// Reports the memory of one claim in a table of the default capacity.
func BenchmarkEntryMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, now := newRecorder("h0", 0)
		for i := range once.DefaultCapacity {
			r.Claim(once.Claim{Key: once.HashID(fmt.Sprint(i)), Attempt: once.HashID("a"), Generation: 1}, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(r.Len()), "B/entry")
	}
}

// Reports the processor time of one vote on a new key, with the table at a steady size.
func BenchmarkVote(b *testing.B) {
	r, now := newRecorder("h0", 0)
	keys := make([]once.ID, 1<<16)
	for i := range keys {
		keys[i] = once.HashID(fmt.Sprint(i))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now += once.Retention(window) / 10000
		r.Claim(once.Claim{Key: keys[i%len(keys)], Attempt: keys[i%len(keys)], Generation: 1}, now)
		i++
	}
}
