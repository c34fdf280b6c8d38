package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// No order may be sent after a pause before a new probe, whichever event comes
// first.
var _ = It("detects a pause by any event", func() {
	type actions = []scheduler.Action
	for i, event := range []func(*scheduler.Scheduler, time.Time) actions{
		(*scheduler.Scheduler).Tick, (*scheduler.Scheduler).Leave, (*scheduler.Scheduler).OrderFenced,
		func(s *scheduler.Scheduler, now time.Time) actions { return s.SessionUp(now, 2) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.SessionLost(now, 1) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.PoolUpdate(now, 1, &wire.PoolUpdate{}) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.HandleLoadGrant(now, &wire.LoadGrant{}) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.Reserve(now, 1, &wire.Reserve{}) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.Run(now, 1, &wire.Run{}) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.Cancel(now, 1, &wire.Cancel{}) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.Resume(now, 1, &wire.Resume{}) },
		func(s *scheduler.Scheduler, now time.Time) actions {
			return s.ExecutionChunk(now, wire.AttemptID{}, nil)
		},
		func(s *scheduler.Scheduler, now time.Time) actions {
			return s.ExecutionEnded(now, scheduler.Completion{})
		},
		func(s *scheduler.Scheduler, now time.Time) actions { return s.AdapterLoaded(now, slots.Key{}, nil) },
		func(s *scheduler.Scheduler, now time.Time) actions { return s.AdapterUnloaded(now, slots.Key{}, nil) },
		func(s *scheduler.Scheduler, now time.Time) actions {
			return s.EngineProbed(now, scheduler.ProbeResult{ProbeNumber: 1})
		},
		func(s *scheduler.Scheduler, now time.Time) actions {
			return s.FenceSet(now, scheduler.ProbeResult{}, 0)
		},
	} {
		h := newEngineHarness()
		h.pause(1100 * time.Millisecond)
		event(h.s, h.now)
		Expect([]any{h.counts["pause_detected"], h.s.Status(h.now).Authority}).To(Equal([]any{1, false}), "event %d", i)
	}
})

// checkRandomEvents lets all requests finish after random events. It checks that
// each reservation got one End, or at most one if its session was lost, that no
// key was executed twice and that no job, pin or kept answer is left.
func checkRandomEvents(t *rapid.T) {
	h := runRandomEvents(t)
	for h.row.Pool.Slots < 2 || len(h.sessions) == 0 {
		h.configure(func(row *tables.PoolRow) { row.Pool.Slots = 2 })
		h.openSession(99)
	}
	for range 16 {
		for len(h.running) > 0 {
			h.endCall(h.calls[h.running[0].ID], result.OK)
		}
		h.advance(time.Second)
	}
	for id, c := range h.calls {
		if c.reserved && len(c.ends) != 1 && (!c.lost || len(c.ends) > 0) {
			h.fail("request %v got %d End messages, want one", id, len(c.ends))
		}
	}
	for key, n := range h.executed {
		if n > 1 {
			t.Fatalf("key %s was executed %d times", key, n)
		}
	}
	// All requests have finished and their answers have expired.
	status := h.s.Status(h.now)
	if status.Pins != 0 || status.KeptBytes != 0 || status.Waiting != 0 || !h.s.Idle() {
		t.Fatalf("%+v", status)
	}
}

// runRandomEvents drives a harness with random events.
func runRandomEvents(t *rapid.T) *harness {
	var h *harness
	h = newHarness(tables.KindEngine, time.Nanosecond, func(format string, args ...any) {
		t.Fatalf("%s after\n%s", fmt.Sprintf(format, args...), strings.Join(h.log[max(0, len(h.log)-60):], "\n"))
	})
	created := h.now
	n := func(high int, label string) int { return rapid.IntRange(0, high).Draw(t, label) }
	recentCall := func() *call {
		if len(h.attempts) == 0 {
			return h.reserve("a", "1", nil)
		}
		return h.calls[h.attempts[max(0, len(h.attempts)-1-n(6, "call"))]]
	}
	callWithSession := func() *call {
		if c := recentCall(); !c.lost {
			return c
		}
		return h.reserve("b", "1", nil)
	}
	for range rapid.IntRange(1, 100).Draw(t, "events") {
		h.now = h.now.Add(time.Duration(n(200, "ms")) * time.Millisecond)
		h.failOverdueOrders()
		if len(h.sessions) == 0 {
			h.openSession(scheduler.SessionID(len(h.log)))
		}
		switch e := n(29, "event"); e {
		case 0, 1, 2, 3, 4, 5:
			var change func(*wire.Reserve)
			if key := n(9, "key"); key < 3 {
				change = notRepeatable(fmt.Sprint("k", key), created)
			}
			h.run(h.reserve(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "adapter"), fmt.Sprint(1+n(1, "version")), change))
		case 6:
			h.reserve("a", "1", func(m *wire.Reserve) { m.Class = "long"; m.Key = "k0" })
		case 7:
			if c := callWithSession(); len(c.ends) == 0 {
				h.run(c)
			}
		case 8:
			h.cancel(callWithSession())
		case 9:
			if c := callWithSession(); c.reserved {
				h.perform("again", h.s.Reserve(h.now, c.session, c.reserve))
			}
		case 10, 11, 12, 13:
			h.answerOrder(n(4, "success") > 0)
		case 14, 15:
			h.answerProbe()
		case 16:
			h.answerFence()
		case 17, 18, 19:
			if len(h.running) > 0 {
				h.endCall(h.calls[h.running[n(len(h.running)-1, "running")].ID], rapid.SampledFrom([]result.Code{result.OK, result.EngineFailed, result.EngineUnavailable}).Draw(t, "code"))
			}
		case 20:
			h.chunk(recentCall(), []byte("x"))
		case 21:
			h.loseSession(h.sessions[0])
		case 22:
			if c := recentCall(); c.lost && len(c.ends) == 0 {
				h.resume(c, uint32(n(c.chunks, "from")))
			}
		case 23:
			reportedRuns := h.running[:n(len(h.running), "reported")]
			h.restartEngine()
			for _, e := range reportedRuns {
				h.endCall(h.calls[e.ID], result.EngineFailed)
			}
		case 24:
			h.pause(time.Duration(n(5, "pause")) * time.Second)
		case 25:
			h.configure(func(row *tables.PoolRow) { row.Pool.Slots = 1 + n(2, "slots") })
		case 26:
			// Another process takes over the engine. This is rare, because the
			// scheduler then refuses all further requests.
			if n(9, "rare") == 0 {
				h.view.Fence += 50
			}
		case 27:
			h.perform("grant", h.s.HandleLoadGrant(h.now, &wire.LoadGrant{Minter: "x", Period: int64(n(99, "period")), ExpiresMS: h.now.Add(time.Second).UnixMilli()}))
		default:
			h.perform("tick", h.s.Tick(h.now))
		}
	}
	return h
}
