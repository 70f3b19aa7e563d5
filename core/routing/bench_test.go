package routing_test

import (
	"fmt"
	"runtime"
	"testing"

	"agatepulley.example/agatepulley/core/routing"
)

// BenchmarkWorkspaceOf looks keys up among 320,000 workspaces with two keys each, and reports the heap that they take.
func BenchmarkWorkspaceOf(b *testing.B) {
	const workspaces = 320_000
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	c := &routing.Config{Version: 1, Workspaces: make([]routing.Workspace, workspaces)}
	for n := range c.Workspaces {
		c.Workspaces[n] = routing.Workspace{
			Name: fmt.Sprintf("w%06d", n), Rate: 5, Burst: 5,
			Keys: []routing.KeyDigest{routing.DigestKey(fmt.Sprint("a", n)), routing.DigestKey(fmt.Sprint("b", n))},
		}
	}
	table := routing.NewTable(c)
	perWorkspace := float64(heap()-before) / workspaces
	b.ResetTimer()
	for n := 0; b.Loop(); n++ {
		if table.WorkspaceOf(routing.DigestKey(fmt.Sprint("a", n%workspaces))) == nil {
			b.Fatal("a key is not found")
		}
	}
	b.ReportMetric(perWorkspace, "heap-B/workspace")
	runtime.KeepAlive(c)
}
