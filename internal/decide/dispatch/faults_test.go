package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// noHedges keeps scripts free of parallel attempts.
func noHedges() dispatch.Config {
	cfg := retry.DefaultConfig()
	cfg.HedgeQuantile = 0
	return dispatch.Config{Retry: cfg}
}

var _ = Describe("A call", func() {
	DescribeTable("of an idempotent request", script,
		Entry("is served", "submit; reserved 1; chunk 1 0; chunk 1 1; end 1 2",
			"reserve 1; run 1; deliver 1.0; deliver 1.1; finish ok"),
		Entry("goes elsewhere after a refusal", "submit; refused 1 target_leaving; reserved 2; end 2 0",
			"reserve 1; reserve 2; run 2; finish ok"),
		Entry("tries one other target after a refusal for overload", "submit; refused 1 queue_full; refused 2 budget_exceeded",
			"reserve 1; reserve 2; finish budget_exceeded"),
		Entry("keeps the code of the refusal when no time is left", "submit; refused 1 session_lost; refused 2 adapter_load_failed; wait 2000",
			"reserve 1; reserve 2; finish adapter_load_failed"),
		Entry("is not reported as not run after an attempt that ran",
			"submit; reserved 1; end 1 0 engine_failed; refused 2 queue_full; wait 10; refused 3 queue_full",
			"reserve 1; run 1; reserve 2; reserve 3; finish engine_failed"),
		Entry("loses its session while reserving", "submit; down 1; reserved 2; end 2 0", "reserve 1; reserve 2; run 2; finish ok"),
		Entry("loses its session while running and resumes", "submit; reserved 1; chunk 1 0; down 1; up 1; chunk 1 1; end 1 2",
			"reserve 1; run 1; deliver 1.0; resume 1 from 1; deliver 1.1; finish ok"),
		Entry("loses its session again while resuming", "submit; reserved 1; down 1; up 1; down 1; down 1; up 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; resume 1 from 0; deliver 1.0; finish ok"),
		Entry("is resumed on a new session whose loss was not reported", "submit; reserved 1; up 1; end 1 0",
			"reserve 1; run 1; resume 1 from 0; finish ok"),
		Entry("starts over when no session returns", "submit; reserved 1; chunk 1 0; down 1; wait 1900; wait 1100",
			"reserve 1; run 1; deliver 1.0; finish answer_cut"),
		Entry("starts over after a restart of its target", "submit; reserved 1; chunk 1 0; down 1; restart 1; reserved 2; chunk 2 0; end 2 1",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; deliver 2.0; finish ok"),
		Entry("starts over after a restart without a reported loss", "submit; reserved 1; restart 1; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("is not started over once a part reached the caller", "submit stream; reserved 1; chunk 1 0; down 1; restart 1",
			"reserve 1; run 1; deliver 1.0; finish answer_cut"),
		Entry("ignores a late chunk of the first attempt", "submit; reserved 1; chunk 1 0; down 1; restart 1; chunk 1 1; end 1 1; reserved 2; end 2 0",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; finish ok"),
		Entry("takes the same events twice",
			"submit; submit; reserved 1; reserved 1; chunk 1 0; chunk 1 0; end 1 1; end 1 1; abort",
			"reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("asks for a missing chunk", "submit; reserved 1; chunk 1 1; end 1 2; chunk 1 0; chunk 1 1; end 1 2",
			"reserve 1; run 1; resume 1 from 0; deliver 1.0; deliver 1.1; finish ok"),
		Entry("asks again for a missing chunk on a new session", "submit; reserved 1; chunk 1 1; down 1; up 1; chunk 1 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; resume 1 from 0; resume 1 from 0; deliver 1.0; finish ok"),
		Entry("starts over after a damaged answer", "submit; reserved 1; chunk 1 0; damaged 1 1; reserved 2; end 2 0",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; finish ok"),
		Entry("starts over after another adapter's answer", "submit; reserved 1; wrong 1 0; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("starts over when the target does not know it", "submit; reserved 1; end 1 0 unknown_reservation; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("goes elsewhere when a reservation is not answered", "submit; wait 1000; reserved 1; reserved 2; end 2 0",
			"reserve 1; cancel 1; reserve 2; cancel 1; run 2; finish ok"),
		Entry("is aborted while reserving", "submit; abort; reserved 1; abort", "reserve 1; cancel 1; finish caller_gone; cancel 1"),
		Entry("is aborted while running", "submit; reserved 1; abort; chunk 1 0; end 1 1", "reserve 1; run 1; cancel 1; finish caller_gone"),
		Entry("is aborted while resuming", "submit; reserved 1; down 1; abort; up 1; end 1 0", "reserve 1; run 1; finish caller_gone"),
		Entry("ends at its first-token deadline when streamed", "submit stream; reserved 1; wait 2099; wait 1",
			"reserve 1; run 1; cancel 1; finish cancelled"),
		Entry("runs to its total deadline once a token arrived", "submit stream; reserved 1; chunk 1 0; wait 2100; wait 17899; wait 1",
			"reserve 1; run 1; deliver 1.0; cancel 1; finish cancelled"),
		Entry("runs to its total deadline when not streamed", "submit; reserved 1; wait 2100; chunk 1 0; wait 17899; chunk 1 1; wait 1",
			"reserve 1; run 1; deliver 1.0; deliver 1.1; cancel 1; finish cancelled"),
		Entry("is not run after its deadline", "submit; wait 1000; wait 1000", "reserve 1; cancel 1; reserve 2; cancel 2; finish deadline_passed"),
		Entry("ends after a refusal without a code", "submit; refused 1 ok", "reserve 1; finish internal"),
		Entry("survives the removal of its target", "submit; reserved 1; table 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; disconnect; disconnect; deliver 1.0; disconnect; finish ok"),
		Entry("is retried under the tables in force", "submit; table 1; refused 1 stale_configuration; reserved 2; end 2 0",
			"reserve 1; disconnect; disconnect; disconnect; reserve 2 at revision 2; run 2; finish ok"),
		Entry("keeps to a target that leaves while it runs", "submit; reserved 1; leaving 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; deliver 1.0; finish ok"),
	)

	DescribeTable("that runs once", script,
		Entry("is served", "submit once; reserved 1; chunk 1 0; end 1 1", "reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("is answered from a record", "submit once; chunk 1 0; end 1 1", "reserve 1; deliver 1.0; finish ok"),
		Entry("goes to its home again after a refusal, not before the time asked for",
			"submit once; refused 1 queue_full; wait 6; wait 13; reserved 2; end 2 0", "reserve 1; reserve 2; run 2; finish ok"),
		Entry("is not sent again after it was confirmed as not run", "submit once; reserved 1; end 1 0 cancelled_not_run",
			"reserve 1; run 1; finish cancelled_not_run"),
		Entry("is unknown when the target does not know it", "submit once; reserved 1; end 1 0 unknown_reservation",
			"reserve 1; run 1; finish outcome_unknown"),
		Entry("is unknown after a restart", "submit once; reserved 1; down 1; restart 1", "reserve 1; run 1; finish outcome_unknown"),
		Entry("is unknown when no session returns", "submit once; reserved 1; down 1; wait 3000", "reserve 1; run 1; finish outcome_unknown"),
		Entry("is unknown at its total deadline", "submit once; reserved 1; wait 20000", "reserve 1; run 1; cancel 1; finish outcome_unknown"),
		Entry("is unknown when a session ends within the answer from a record", "submit once; chunk 1 0; down 1",
			"reserve 1; deliver 1.0; finish outcome_unknown"),
		Entry("is unknown when a target claims not to have run what it answered",
			"submit once; reserved 1; chunk 1 0; end 1 1 deadline_passed", "reserve 1; run 1; deliver 1.0; finish outcome_unknown"),
		Entry("is not run when its home is lost before Run", "submit once; down 1; wait 20", "reserve 1; finish session_lost"),
		Entry("is not run when its home leaves", "submit once; leaving 1; refused 1 target_leaving; wait 20", "reserve 1; finish target_leaving"),
		Entry("is left to run past its first-token deadline", "submit once stream; reserved 1; wait 2100; end 1 0", "reserve 1; run 1; finish ok"),
		Entry("resumes at the same process", "submit once; reserved 1; down 1; up 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; deliver 1.0; finish ok"),
	)

	// A hedge is due 11 ms after the start: the warm-up answers after 10 ms.
	DescribeTable("that is slow", func(events, want string) {
		b := newBed(snapshot(1, 4, 1), dispatch.Config{Retry: retry.DefaultConfig()})
		for i := range uint64(64) {
			b.sent, b.ids = nil, nil
			call := newCall(b.snap, b.now, i+2, "base", true)
			actions := b.d.Submit(b.now, call)
			sent := actions[0].(dispatch.Send)
			id := sent.Message.(*wire.Reserve).ID
			b.take(b.d.Message(b.now, sent.Target, &wire.Reserved{ID: id}))
			b.now = b.now.Add(10 * time.Millisecond)
			b.take(b.d.Message(b.now, sent.Target, &wire.End{ID: id}))
		}
		b.log = nil
		b.run(events)
		b.expectLog(want)
	},
		Entry("is hedged, and the first attempt wins", "submit base stream; reserved 1; wait 11; reserved 2; chunk 1 0; chunk 2 0; end 2 1 engine_failed; end 1 1",
			"reserve 1; run 1; reserve 2; run 2; cancel 2; deliver 1.0; finish ok"),
		Entry("is hedged, and the second attempt wins", "submit base stream; reserved 1; wait 11; reserved 2; chunk 2 0; chunk 1 0; chunk 2 1; end 1 1; end 2 2",
			"reserve 1; run 1; reserve 2; run 2; cancel 1; deliver 2.0; deliver 2.1; finish ok"),
		Entry("goes on with its hedge when the first attempt fails", "submit base stream; reserved 1; wait 11; end 1 0 engine_failed; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("goes on when its hedge is refused", "submit base stream; reserved 1; wait 11; refused 2 queue_full; end 1 0",
			"reserve 1; run 1; reserve 2; finish ok"),
		Entry("ran when only its hedge is confirmed as not run", "submit base stream; reserved 1; wait 11; end 1 0 cancelled; refused 2 deadline_passed",
			"reserve 1; run 1; reserve 2; finish cancelled"),
		Entry("is aborted at both targets", "submit base stream; reserved 1; wait 11; abort", "reserve 1; run 1; reserve 2; cancel 1; cancel 2; finish caller_gone"),
		Entry("is not hedged after its first token", "submit base stream; reserved 1; chunk 1 0; wait 11; end 1 1", "reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("is not hedged when it runs once", "submit once; reserved 1; wait 11; end 1 0", "reserve 1; run 1; finish ok"),
	)

	// The home of a key holds its record. A table that moves the home while a
	// call waits for a retry must not take the call to another target.
	It("that runs once keeps its home when the tables change", func() {
		for i := range 20 {
			b := newBed(snapshot(1, 4, 1), noHedges())
			call := newCall(b.snap, b.now, 1, "", false)
			call.Key = fmt.Sprint(i)
			b.take(b.d.Submit(b.now, call))
			b.run("refused 1 queue_full")
			b.take(b.d.SetSnapshot(b.now, snapshot(2, 4, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
				for n := range 6 {
					extra := p.Pools[1].Targets[0]
					extra.Name, extra.Address = fmt.Sprint("x", n), fmt.Sprint("127.0.0.1:", 9100+n)
					p.Pools[1].Targets = append(p.Pools[1].Targets, extra)
				}
			})))
			b.run("wait 30")
			Expect(b.sent).To(HaveLen(2))
			Expect(b.sent[1]).To(Equal(b.sent[0]))
		}
	})

	It("asks for a newer configuration once a second", func() {
		b := newBed(snapshot(1, 4, 1), noHedges())
		b.run("submit; reserved 1; newer 1; newer 1; wait 999; newer 1; wait 1; newer 1")
		b.expectLog("reserve 1; run 1; refresh; refresh")
	})

	It("is refused while nothing is configured", func() {
		d := dispatch.New(dispatch.Config{}, recorder{})
		actions := d.Submit(start, newCall(snapshot(1, 4, 1), start, 1, "a0", false))
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(dispatch.Finish).Outcome.Code.String()).To(Equal("no_configuration"))
	})
})

func script(events, want string) {
	b := newBed(snapshot(1, 4, 1), noHedges())
	b.run(events)
	b.expectLog(want)
}

var _ = Describe("Load tokens", func() {
	report := func(b *bed, name string, waiting int, urgency float64) {
		b.take(b.d.Message(b.now, name, &wire.Pong{Load: wire.LoadReport{LoadsWaiting: waiting, LoadUrgency: urgency, Incarnation: 1}}))
	}
	grant := func(b *bed, period int64, life time.Duration) {
		b.take(b.d.Message(b.now, "e0", &wire.LoadGrant{Minter: "e0", Period: period, ExpiresMS: b.now.Add(life).UnixMilli()}))
	}
	DescribeTable("go", func(do func(b *bed), want string) {
		b := newBed(snapshot(1, 4, 1), noHedges())
		do(b)
		b.expectLog(want)
	},
		Entry("to the most urgent need", func(b *bed) {
			report(b, "e1", 1, 5)
			report(b, "e2", 1, 9)
			grant(b, 1, time.Second)
		}, "grant 1 to e2"),
		Entry("to the next target when the first wanted one", func(b *bed) {
			report(b, "e1", 1, 5)
			report(b, "e2", 1, 9)
			grant(b, 1, time.Second)
			grant(b, 2, time.Second)
			grant(b, 3, time.Second)
		}, "grant 1 to e2; grant 2 to e1"),
		Entry("nowhere twice", func(b *bed) {
			report(b, "e1", 5, 5)
			grant(b, 1, time.Second)
			grant(b, 1, time.Second)
		}, "grant 1 to e1"),
		Entry("to a need that arises later", func(b *bed) {
			grant(b, 1, time.Second)
			grant(b, 2, time.Second)
			b.run("wait 900")
			report(b, "e3", 2, 1)
		}, "grant 1 to e3; grant 2 to e3"),
		Entry("nowhere once expired", func(b *bed) {
			grant(b, 1, time.Second)
			b.run("wait 1000")
			report(b, "e3", 2, 1)
		}, ""),
		Entry("not back to the minter, nor to a target that leaves", func(b *bed) {
			report(b, "e0", 1, 9)
			report(b, "e1", 1, 9)
			b.take(b.d.TargetLeaving("e1"))
			grant(b, 1, time.Second)
		}, ""),
	)
})

var _ = Describe("Sessions", func() {
	names := func(b *bed) (list []string) {
		for _, t := range b.d.Targets(b.now) {
			if t.Connected {
				list = append(list, t.Name)
			}
		}
		return list
	}
	It("are open with all targets of a small pool", func() {
		Expect(names(newBed(snapshot(1, 32, 1), noHedges()))).To(HaveLen(34))
	})

	It("are opened on demand, bounded, and closed when idle in a large pool", func() {
		cfg := noHedges()
		cfg.MaxSessions = 5
		b := newBed(snapshot(1, 200, 400), cfg)
		Expect(names(b)).To(HaveLen(2), "the service pool only")
		for i := range uint64(400) {
			call := newCall(b.snap, b.now, i+10, fmt.Sprint("a", i), false)
			b.take(b.d.Submit(b.now, call))
			Expect(len(names(b))).To(BeNumerically("<=", 7))
			if i >= 3 {
				b.take(b.d.Abort(b.now, i+7))
			}
			b.now = b.now.Add(time.Millisecond)
		}
		Expect(b.rec["refused_no_target"]).To(BeZero())
		Expect(b.rec["sessions_closed_for_room"]).To(BeNumerically(">", 100))
		b.now = b.now.Add(59 * time.Second)
		b.take(b.d.Tick(b.now))
		Expect(names(b)).To(HaveLen(7))
		for i := range uint64(400) {
			b.take(b.d.Abort(b.now, i+10))
		}
		b.now = b.now.Add(60 * time.Second)
		b.take(b.d.Tick(b.now))
		Expect(names(b)).To(HaveLen(2))
	})

	// Closing a session for its room must not interrupt what runs there.
	It("in use are not closed for room", func() {
		cfg := noHedges()
		cfg.MaxSessions = 1
		b := newBed(snapshot(1, 100, 50), cfg)
		b.run("submit; reserved 1")
		for i := range uint64(50) {
			b.take(b.d.Submit(b.now, newCall(b.snap, b.now, i+10, fmt.Sprint("a", i), false)))
		}
		Expect(b.log).NotTo(ContainElement("disconnect"))
		b.run("end 1 0")
		Expect(b.log).To(ContainElement("finish ok"))
	})

	It("that fail to open send the call elsewhere", func() {
		b := newBed(snapshot(1, 100, 1), noHedges())
		first := b.d.Submit(b.now, newCall(b.snap, b.now, 1, "a0", false))
		Expect(first).To(HaveLen(1))
		name := first[0].(dispatch.Connect).Target
		b.take(b.d.SessionDown(b.now, name))
		b.expectLog("connect; reserve 2; disconnect")
		Expect(b.sent[0]).NotTo(Equal(name))
	})

	It("that are slow to open send the call elsewhere", func() {
		b := newBed(snapshot(1, 100, 1), noHedges())
		b.d.Submit(b.now, newCall(b.snap, b.now, 1, "a0", false))
		b.run("wait 249; wait 1")
		b.expectLog("connect; reserve 2")
	})

	It("keep to a target whose address changed only for new work", func() {
		b := newBed(snapshot(1, 4, 1), noHedges())
		b.run("submit; reserved 1; chunk 1 0")
		moved := b.sent[0]
		b.log = nil
		b.take(b.d.SetSnapshot(b.now, snapshot(2, 4, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
			for i := range p.Pools[0].Targets {
				if t := &p.Pools[0].Targets[i]; t.Name == moved {
					t.Address = "127.0.0.9:1"
				}
			}
		})))
		b.expectLog("disconnect; connect; discard; reserve 2 at revision 2")
		b.run("reserved 2; end 2 0")
		Expect(b.openAttempts()).To(BeZero())
	})
})
