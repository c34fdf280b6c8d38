package dispatch_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/wire"
)

// newBenchHarness returns an entry with open sessions, load reports and
// adapters known to be resident, as after some minutes of operation, and the
// calls to submit.
func newBenchHarness(b *testing.B, targets, adapters, sessions int) (*harness, []*dispatch.Call) {
	b.Helper()
	cfg := defaultConfig()
	cfg.MaxOnDemandSessions = sessions
	snap := snapshot(1, targets, adapters)
	h := newHarness(snap, cfg)
	zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 1, uint64(adapters-1))
	calls := make([]*dispatch.Call, 20_000)
	for i := range calls {
		calls[i] = newCall(snap, h.now, uint64(i), fmt.Sprint("a", zipf.Uint64()), true)
	}
	for i, c := range calls {
		c.ArrivedAt = h.now
		for _, action := range h.d.Submit(h.now, c) {
			if a, ok := action.(dispatch.Connect); ok {
				h.d.SessionUp(h.now, a.Target, &wire.Hello{Incarnation: 1, State: wire.StateServing})
			}
		}
		for _, t := range h.d.Targets(h.now) {
			if t.OpenAttempts == 0 || i > 4000 {
				continue
			}
			load := wire.LoadReport{Running: 3, Limit: 8, Incarnation: 1}
			for attempt := uint32(1); attempt <= 2; attempt++ {
				id := wire.AttemptID{Request: wire.RequestID{Entry: entryName, Incarnation: incarnation, Number: c.Number}, Attempt: attempt}
				h.d.HandleMessage(h.now, t.Name, &wire.Reserved{ID: id, Load: load})
			}
		}
		h.d.Abort(h.now, c.Number)
		h.now = h.now.Add(time.Millisecond)
	}
	return h, calls
}

// BenchmarkDecision measures one routing decision: a call from its submission
// to its Reserve, and its end.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 120, 1100} {
		for _, adapters := range []int{1000, 5000, 14_000} {
			b.Run(fmt.Sprintf("targets=%d/adapters=%d", targets, adapters), func(b *testing.B) {
				h, calls := newBenchHarness(b, targets, adapters, targets)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					c := calls[i%len(calls)]
					c.Number, c.ArrivedAt = uint64(i), h.now
					h.d.Submit(h.now, c)
					h.d.Abort(h.now, c.Number)
					h.now = h.now.Add(100 * time.Microsecond)
				}
			})
		}
	}
}

// BenchmarkDecisionAtSessionLimit measures a routing decision when most calls
// need a new session, for which an idle one is closed.
func BenchmarkDecisionAtSessionLimit(b *testing.B) {
	h, calls := newBenchHarness(b, 1100, 14_000, dispatch.DefaultMaxOnDemandSessions)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := calls[i%len(calls)]
		c.Number, c.ArrivedAt = uint64(i), h.now
		for _, action := range h.d.Submit(h.now, c) {
			if a, ok := action.(dispatch.Connect); ok {
				h.d.SessionUp(h.now, a.Target, &wire.Hello{Incarnation: 1, State: wire.StateServing})
			}
		}
		h.d.Abort(h.now, c.Number)
		h.now = h.now.Add(100 * time.Microsecond)
	}
}

// BenchmarkTick measures a Tick at which nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, open := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			h := newHarness(snapshot(1, 12, 100), defaultConfig())
			for i := range open {
				h.d.Submit(h.now, newCall(h.snap, h.now, uint64(i), fmt.Sprint("a", i%100), true))
			}
			b.ReportAllocs()
			for b.Loop() {
				h.d.Tick(h.now)
			}
		})
	}
}
