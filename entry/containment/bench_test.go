package containment_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// The cost of the guard for one request without a suspected part.
func BenchmarkRequest(b *testing.B) {
	g := containment.New(containment.Config{Entry: "e", Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine")})
	b.ReportAllocs()
	for i := range b.N {
		parts := []string{fmt.Sprint("route", i%30), fmt.Sprint("caller", i%5000), "own"}
		stop := g.Watch(parts, func(string) {})
		g.Blocked(parts)
		g.Began(parts)
		stop()
	}
}

// The memory of a guard whose state is full, with IDs of 8 and of 32 bytes.
func BenchmarkState(b *testing.B) {
	_ = telemetry.SetupLogs(io.Discard, "error")
	for _, idBytes := range []int{8, 32} {
		b.Run(fmt.Sprint(idBytes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			g := containment.New(containment.Config{Entry: "e", Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine")})
			number, now := 0, time.Now()
			id := func() quarantine.Part {
				number++
				return quarantine.Part(fmt.Sprintf("%0*x", idBytes, number))
			}
			for i := range 20000 {
				g.Began([]string{string(id()), string(id()), "own"})
				if i < 300 {
					g.Receive(peers.Evidence{Verdicts: []quarantine.Verdict{{Part: id(), Generation: 1, Quarantined: true, Since: now}}})
				}
			}
			for i := range 100 {
				c := quarantine.Crash{Incarnation: quarantine.Incarnation{Target: fmt.Sprint("i-", i)}, At: now}
				for range 32 {
					c.Suspects = append(c.Suspects, quarantine.Suspect{Parts: []quarantine.Part{id(), id(), id(), id(), id(), id(), id(), id()}, SentAt: now})
				}
				g.Receive(peers.Evidence{Crashes: []quarantine.Crash{c}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
			runtime.KeepAlive(g)
		})
	}
}
