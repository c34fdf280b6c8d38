package tables_test

import (
	"runtime"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/tables"
)

// BenchmarkAssemble measures the time, allocations and memory of an accepted
// snapshot: ns/op for a first snapshot, ms-next and allocs-next for one that
// follows a change of one route, MB-kept for the memory that a snapshot holds.
func BenchmarkAssemble(b *testing.B) {
	for name, routes := range map[string]int{"routes=3000": 3000, "routes=14000": 14000} {
		b.Run(name, func(b *testing.B) {
			snap, faults := fleet(routes, 1100).Build(1)
			if len(faults) > 0 {
				b.Fatal(faults)
			}
			b.ReportAllocs()
			var kept *tables.Snapshot
			for b.Loop() {
				if kept, faults = tables.Assemble(snap.Manifest(), snap.Parts()); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			edited := fleet(routes, 1100)
			edited.Routes.Routes[routes/2].Version = "2"
			next, _ := edited.Build(2)
			allocated := testing.AllocsPerRun(3, func() {
				if _, faults := tables.AssembleAfter(kept, next.Manifest(), next.Parts()); len(faults) > 0 {
					b.Fatal(faults)
				}
			})
			start := time.Now()
			for range 10 {
				_, _ = tables.AssembleAfter(kept, next.Manifest(), next.Parts())
			}
			b.ReportMetric(float64(time.Since(start).Milliseconds())/10, "ms-next")
			b.ReportMetric(allocated, "allocs-next")
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			runtime.KeepAlive(kept)
			kept = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(before.HeapAlloc-after.HeapAlloc)/(1<<20), "MB-kept")
		})
	}
}
