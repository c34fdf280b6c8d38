package dispatch_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/wire"
)

// benchEntry is an entry with sessions, load reports and adapters known to be
// resident, as after some minutes of work.
func benchEntry(b *testing.B, targets, adapters, sessions int) (*bed, []*dispatch.Call) {
	b.Helper()
	cfg := chosen()
	cfg.MaxSessions = sessions
	snap := snapshot(1, targets, adapters)
	e := newBed(snap, cfg)
	zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 1, uint64(adapters-1))
	calls := make([]*dispatch.Call, 20_000)
	for i := range calls {
		calls[i] = newCall(snap, e.now, uint64(i), fmt.Sprint("a", zipf.Uint64()), true)
	}
	for i, c := range calls {
		c.Arrived = e.now
		for _, action := range e.d.Submit(e.now, c) {
			if a, ok := action.(dispatch.Connect); ok {
				e.d.SessionUp(e.now, a.Target, &wire.Hello{Incarnation: 1, State: wire.StateServing})
			}
		}
		for _, t := range e.d.Targets(e.now) {
			if t.InFlight == 0 || i > 4000 {
				continue
			}
			load := wire.LoadReport{Running: 3, Limit: 8, Incarnation: 1}
			for attempt := uint32(1); attempt <= 2; attempt++ {
				id := wire.AttemptID{Request: wire.RequestID{Entry: entryName, Incarnation: incarnation, Number: c.Number}, Attempt: attempt}
				e.d.Message(e.now, t.Name, &wire.Reserved{ID: id, Load: load})
			}
		}
		e.d.Abort(e.now, c.Number)
		e.now = e.now.Add(time.Millisecond)
	}
	return e, calls
}

// BenchmarkDecision measures one routing decision: the submission of a call up
// to its Reserve, and its end.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 120, 1100} {
		for _, adapters := range []int{1000, 5000, 14_000} {
			b.Run(fmt.Sprintf("targets=%d/adapters=%d", targets, adapters), func(b *testing.B) {
				e, calls := benchEntry(b, targets, adapters, targets)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					c := calls[i%len(calls)]
					c.Number, c.Arrived = uint64(i), e.now
					e.d.Submit(e.now, c)
					e.d.Abort(e.now, c.Number)
					e.now = e.now.Add(100 * time.Microsecond)
				}
			})
		}
	}
}

// BenchmarkDecisionAtSessionLimit measures a decision when most calls need a
// session that is not open, for which an idle one is closed.
func BenchmarkDecisionAtSessionLimit(b *testing.B) {
	e, calls := benchEntry(b, 1100, 14_000, dispatch.DefaultMaxSessions)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := calls[i%len(calls)]
		c.Number, c.Arrived = uint64(i), e.now
		for _, action := range e.d.Submit(e.now, c) {
			if a, ok := action.(dispatch.Connect); ok {
				e.d.SessionUp(e.now, a.Target, &wire.Hello{Incarnation: 1, State: wire.StateServing})
			}
		}
		e.d.Abort(e.now, c.Number)
		e.now = e.now.Add(100 * time.Microsecond)
	}
}

// BenchmarkTick measures a Tick at which nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, open := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			e := newBed(snapshot(1, 12, 100), chosen())
			for i := range open {
				e.d.Submit(e.now, newCall(e.snap, e.now, uint64(i), fmt.Sprint("a", i%100), true))
			}
			b.ReportAllocs()
			for b.Loop() {
				e.d.Tick(e.now)
			}
		})
	}
}
