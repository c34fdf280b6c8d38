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

// noHedges returns a configuration without hedges, so that scripts have no
// parallel attempts.
func noHedges() dispatch.Config {
	cfg := retry.DefaultConfig()
	cfg.HedgeQuantile = 0
	return dispatch.Config{Retry: cfg}
}

var _ = Describe("A call", func() {
	// A call that may be repeated must be served in spite of refusals, lost
	// sessions, restarts and damaged answers, must get its answer once and
	// whole, and must not end as not run after an attempt that ran.
	DescribeTable("that may be repeated", expectScript,
		Entry("is served", "submit; reserved 1; chunk 1 0; chunk 1 1; end 1 2",
			"reserve 1; run 1; deliver 1.0; deliver 1.1; finish ok"),
		Entry("goes to another target after a refusal", "submit; refused 1 target_leaving; reserved 2; end 2 0",
			"reserve 1; reserve 2; run 2; finish ok"),
		Entry("tries only one other target after a refusal for overload", "submit; refused 1 queue_full; refused 2 budget_exceeded",
			"reserve 1; reserve 2; finish budget_exceeded"),
		Entry("keeps the code of the refusal when no time is left", "submit; refused 1 session_lost; refused 2 adapter_load_failed; wait 2000",
			"reserve 1; reserve 2; finish adapter_load_failed"),
		Entry("does not end as not run after an attempt that ran",
			"submit; reserved 1; end 1 0 engine_failed; refused 2 queue_full; wait 10; refused 3 queue_full",
			"reserve 1; run 1; reserve 2; reserve 3; finish engine_failed"),
		Entry("loses its session while reserving", "submit; down 1; reserved 2; end 2 0", "reserve 1; reserve 2; run 2; finish ok"),
		Entry("loses its session while running and resumes", "submit; reserved 1; chunk 1 0; down 1; up 1; chunk 1 1; end 1 2",
			"reserve 1; run 1; deliver 1.0; resume 1 from 1; deliver 1.1; finish ok"),
		Entry("loses its session again while resuming", "submit; reserved 1; down 1; up 1; down 1; down 1; up 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; resume 1 from 0; deliver 1.0; finish ok"),
		Entry("is resumed on a new session whose loss was not reported", "submit; reserved 1; up 1; end 1 0",
			"reserve 1; run 1; resume 1 from 0; finish ok"),
		Entry("ends when no new session opens and no time is left for a retry", "submit; reserved 1; chunk 1 0; down 1; wait 1900; wait 1100",
			"reserve 1; run 1; deliver 1.0; finish answer_cut"),
		Entry("starts over after a restart of its target", "submit; reserved 1; chunk 1 0; down 1; restart 1; reserved 2; chunk 2 0; end 2 1",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; deliver 2.0; finish ok"),
		Entry("starts over after a restart without a reported loss", "submit; reserved 1; restart 1; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("does not start over once a part of the answer reached the caller", "submit stream; reserved 1; chunk 1 0; down 1; restart 1",
			"reserve 1; run 1; deliver 1.0; finish answer_cut"),
		Entry("ignores a late chunk of the first attempt", "submit; reserved 1; chunk 1 0; down 1; restart 1; chunk 1 1; end 1 1; reserved 2; end 2 0",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; finish ok"),
		Entry("ignores repeated events",
			"submit; submit; reserved 1; reserved 1; chunk 1 0; chunk 1 0; end 1 1; end 1 1; abort",
			"reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("requests a missing chunk", "submit; reserved 1; chunk 1 1; end 1 2; chunk 1 0; chunk 1 1; end 1 2",
			"reserve 1; run 1; resume 1 from 0; deliver 1.0; deliver 1.1; finish ok"),
		Entry("requests a missing chunk again on a new session", "submit; reserved 1; chunk 1 1; down 1; up 1; chunk 1 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; resume 1 from 0; resume 1 from 0; deliver 1.0; finish ok"),
		Entry("starts over after a damaged answer", "submit; reserved 1; chunk 1 0; damaged 1 1; reserved 2; end 2 0",
			"reserve 1; run 1; deliver 1.0; discard; reserve 2; run 2; finish ok"),
		Entry("starts over after an answer of another adapter", "submit; reserved 1; wrong 1 0; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("starts over when the target has no such reservation", "submit; reserved 1; end 1 0 unknown_reservation; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("goes to another target when a reservation is not answered", "submit; wait 1000; reserved 1; reserved 2; end 2 0",
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
		Entry("ends at its target although the target is removed from the tables", "submit; reserved 1; table 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; disconnect; disconnect; deliver 1.0; disconnect; finish ok"),
		Entry("is retried under the tables in force", "submit; table 1; refused 1 stale_configuration; reserved 2; end 2 0",
			"reserve 1; disconnect; disconnect; disconnect; reserve 2 at revision 2; run 2; finish ok"),
		Entry("stays at a target that announces leaving while the call runs", "submit; reserved 1; leaving 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; deliver 1.0; finish ok"),
	)

	// A call that may not be repeated must not be run twice: Run is sent
	// once, to the key home only. If it may have run, it must not end as
	// not run.
	DescribeTable("that may not be repeated", expectScript,
		Entry("is served", "submit once; reserved 1; chunk 1 0; end 1 1", "reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("is answered from a record", "submit once; chunk 1 0; end 1 1", "reserve 1; deliver 1.0; finish ok"),
		Entry("goes to its key home again after a refusal, not before the Retry-After time",
			"submit once; refused 1 queue_full; wait 6; wait 13; reserved 2; end 2 0", "reserve 1; reserve 2; run 2; finish ok"),
		Entry("is not sent again after it was confirmed as not run", "submit once; reserved 1; end 1 0 cancelled_not_run",
			"reserve 1; run 1; finish cancelled_not_run"),
		Entry("has an unknown outcome when the target has no such reservation", "submit once; reserved 1; end 1 0 unknown_reservation",
			"reserve 1; run 1; finish outcome_unknown"),
		Entry("has an unknown outcome after a restart", "submit once; reserved 1; down 1; restart 1", "reserve 1; run 1; finish outcome_unknown"),
		Entry("has an unknown outcome when no new session opens", "submit once; reserved 1; down 1; wait 3000", "reserve 1; run 1; finish outcome_unknown"),
		Entry("has an unknown outcome at its total deadline", "submit once; reserved 1; wait 20000", "reserve 1; run 1; cancel 1; finish outcome_unknown"),
		Entry("has an unknown outcome when a session ends during the answer from a record", "submit once; chunk 1 0; down 1",
			"reserve 1; deliver 1.0; finish outcome_unknown"),
		Entry("has an unknown outcome when a target reports as not run what it began to answer",
			"submit once; reserved 1; chunk 1 0; end 1 1 deadline_passed", "reserve 1; run 1; deliver 1.0; finish outcome_unknown"),
		Entry("is not run when the session with its key home is lost before Run", "submit once; down 1; wait 20", "reserve 1; finish session_lost"),
		Entry("is not run when its key home is leaving", "submit once; leaving 1; refused 1 target_leaving; wait 20", "reserve 1; finish target_leaving"),
		Entry("is left to run past its first-token deadline", "submit once stream; reserved 1; wait 2100; end 1 0", "reserve 1; run 1; finish ok"),
		Entry("resumes on a new session with the same process", "submit once; reserved 1; down 1; up 1; chunk 1 0; end 1 1",
			"reserve 1; run 1; resume 1 from 0; deliver 1.0; finish ok"),
	)

	// A hedged call must get the answer of one attempt only, and the other
	// attempt must be cancelled. The calls before the script are answered
	// after 10 ms, so a hedge is due 11 ms after the start of an attempt.
	DescribeTable("that is slow", func(events, want string) {
		h := newHarness(snapshot(1, 4, 1), dispatch.Config{Retry: retry.DefaultConfig()})
		for i := range uint64(64) {
			h.attemptTargets, h.attemptIDs = nil, nil
			call := newCall(h.snap, h.now, i+2, "base", true)
			actions := h.d.Submit(h.now, call)
			sent := actions[0].(dispatch.Send)
			id := sent.Message.(*wire.Reserve).ID
			h.perform(h.d.HandleMessage(h.now, sent.Target, &wire.Reserved{ID: id}))
			h.now = h.now.Add(10 * time.Millisecond)
			h.perform(h.d.HandleMessage(h.now, sent.Target, &wire.End{ID: id}))
		}
		h.log = nil
		h.runScript(events)
		h.expectLog(want)
	},
		Entry("is hedged, and the first attempt wins", "submit base stream; reserved 1; wait 11; reserved 2; chunk 1 0; chunk 2 0; end 2 1 engine_failed; end 1 1",
			"reserve 1; run 1; reserve 2; run 2; cancel 2; deliver 1.0; finish ok"),
		Entry("is hedged, and the second attempt wins", "submit base stream; reserved 1; wait 11; reserved 2; chunk 2 0; chunk 1 0; chunk 2 1; end 1 1; end 2 2",
			"reserve 1; run 1; reserve 2; run 2; cancel 1; deliver 2.0; deliver 2.1; finish ok"),
		Entry("continues with its hedge when the first attempt fails", "submit base stream; reserved 1; wait 11; end 1 0 engine_failed; reserved 2; end 2 0",
			"reserve 1; run 1; reserve 2; run 2; finish ok"),
		Entry("continues when its hedge is refused", "submit base stream; reserved 1; wait 11; refused 2 queue_full; end 1 0",
			"reserve 1; run 1; reserve 2; finish ok"),
		Entry("does not end as not run when only its hedge was not run", "submit base stream; reserved 1; wait 11; end 1 0 cancelled; refused 2 deadline_passed",
			"reserve 1; run 1; reserve 2; finish cancelled"),
		Entry("is aborted at both targets", "submit base stream; reserved 1; wait 11; abort", "reserve 1; run 1; reserve 2; cancel 1; cancel 2; finish caller_gone"),
		Entry("is not hedged after its first token", "submit base stream; reserved 1; chunk 1 0; wait 11; end 1 1", "reserve 1; run 1; deliver 1.0; finish ok"),
		Entry("is not hedged when it may not be repeated", "submit once; reserved 1; wait 11; end 1 0", "reserve 1; run 1; finish ok"),
	)

	// The key home holds the record of the key. If new tables give the key
	// another home while a call waits for a retry, the call must still go
	// to the first one.
	It("that may not be repeated keeps its key home when the tables change", func() {
		for i := range 20 {
			h := newHarness(snapshot(1, 4, 1), noHedges())
			call := newCall(h.snap, h.now, 1, "", false)
			call.IdempotencyKey = fmt.Sprint(i)
			h.perform(h.d.Submit(h.now, call))
			h.runScript("refused 1 queue_full")
			h.perform(h.d.SetSnapshot(h.now, snapshot(2, 4, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
				for n := range 6 {
					extra := p.Pools[1].Targets[0]
					extra.Name, extra.Address = fmt.Sprint("x", n), fmt.Sprint("127.0.0.1:", 9100+n)
					p.Pools[1].Targets = append(p.Pools[1].Targets, extra)
				}
			})))
			h.runScript("wait 30")
			Expect(h.attemptTargets).To(HaveLen(2))
			Expect(h.attemptTargets[1]).To(Equal(h.attemptTargets[0]))
		}
	})

	// Without the limit, each load report of a newer revision would cause a
	// request for the configuration.
	It("requests a newer configuration once a second", func() {
		h := newHarness(snapshot(1, 4, 1), noHedges())
		h.runScript("submit; reserved 1; newer 1; newer 1; wait 999; newer 1; wait 1; newer 1")
		h.expectLog("reserve 1; run 1; refresh; refresh")
	})

	// An entry that has just started has no pools to look up.
	It("is refused while there is no configuration", func() {
		d := dispatch.New(dispatch.Config{}, recorder{})
		actions := d.Submit(start, newCall(snapshot(1, 4, 1), start, 1, "a0", false))
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(dispatch.Finish).Outcome.Code.String()).To(Equal("no_configuration"))
	})
})

// expectScript runs the events on four engine targets without hedges and
// compares the log with want.
func expectScript(events, want string) {
	h := newHarness(snapshot(1, 4, 1), noHedges())
	h.runScript(events)
	h.expectLog(want)
}

var _ = Describe("Load tokens", func() {
	report := func(h *harness, name string, waiting int, urgency float64) {
		h.perform(h.d.HandleMessage(h.now, name, &wire.Pong{Load: wire.LoadReport{AdapterLoadsWaiting: waiting, AdapterLoadUrgency: urgency, Incarnation: 1}}))
	}
	grant := func(h *harness, period int64, lifetime time.Duration) {
		h.perform(h.d.HandleMessage(h.now, "e0", &wire.LoadGrant{Minter: "e0", Period: period, ExpiresMS: h.now.Add(lifetime).UnixMilli()}))
	}
	// A token that is used twice exceeds the load rate of the weight store.
	// A token that does not reach a target that needs it is a load that is
	// not made.
	DescribeTable("go", func(do func(h *harness), want string) {
		h := newHarness(snapshot(1, 4, 1), noHedges())
		do(h)
		h.expectLog(want)
	},
		Entry("to the target with the most urgent need", func(h *harness) {
			report(h, "e1", 1, 5)
			report(h, "e2", 1, 9)
			grant(h, 1, time.Second)
		}, "grant 1 to e2"),
		Entry("to the next target when the first needed only one", func(h *harness) {
			report(h, "e1", 1, 5)
			report(h, "e2", 1, 9)
			grant(h, 1, time.Second)
			grant(h, 2, time.Second)
			grant(h, 3, time.Second)
		}, "grant 1 to e2; grant 2 to e1"),
		Entry("to a target only once if the message is duplicated", func(h *harness) {
			report(h, "e1", 5, 5)
			grant(h, 1, time.Second)
			grant(h, 1, time.Second)
		}, "grant 1 to e1"),
		Entry("to a target that needs them later", func(h *harness) {
			grant(h, 1, time.Second)
			grant(h, 2, time.Second)
			h.runScript("wait 900")
			report(h, "e3", 2, 1)
		}, "grant 1 to e3; grant 2 to e3"),
		Entry("to no target once expired", func(h *harness) {
			grant(h, 1, time.Second)
			h.runScript("wait 1000")
			report(h, "e3", 2, 1)
		}, ""),
		Entry("neither back to the minter nor to a target that is leaving", func(h *harness) {
			report(h, "e0", 1, 9)
			report(h, "e1", 1, 9)
			h.perform(h.d.SetTargetLeaving("e1"))
			grant(h, 1, time.Second)
		}, ""),
	)
})

var _ = Describe("Sessions", func() {
	connectedNames := func(h *harness) (list []string) {
		for _, t := range h.d.Targets(h.now) {
			if t.Connected {
				list = append(list, t.Name)
			}
		}
		return list
	}
	// Otherwise calls to a small pool would wait for a session to open.
	It("are open with all targets of a small pool", func() {
		Expect(connectedNames(newHarness(snapshot(1, 32, 1), noHedges()))).To(HaveLen(34))
	})

	// The open sessions must stay within MaxOnDemandSessions (5, and 2 of the
	// service pool) without refusing calls, and unused ones must not stay
	// open.
	It("are opened on demand, limited in number and closed when idle in a large pool", func() {
		cfg := noHedges()
		cfg.MaxOnDemandSessions = 5
		h := newHarness(snapshot(1, 200, 400), cfg)
		Expect(connectedNames(h)).To(HaveLen(2), "the service pool only")
		for i := range uint64(400) {
			call := newCall(h.snap, h.now, i+10, fmt.Sprint("a", i), false)
			h.perform(h.d.Submit(h.now, call))
			Expect(len(connectedNames(h))).To(BeNumerically("<=", 7))
			if i >= 3 {
				h.perform(h.d.Abort(h.now, i+7))
			}
			h.now = h.now.Add(time.Millisecond)
		}
		Expect(h.rec["refused_no_target"]).To(BeZero())
		Expect(h.rec["sessions_closed_for_room"]).To(BeNumerically(">", 100))
		h.now = h.now.Add(59 * time.Second)
		h.perform(h.d.Tick(h.now))
		Expect(connectedNames(h)).To(HaveLen(7))
		for i := range uint64(400) {
			h.perform(h.d.Abort(h.now, i+10))
		}
		h.now = h.now.Add(60 * time.Second)
		h.perform(h.d.Tick(h.now))
		Expect(connectedNames(h)).To(HaveLen(2))
	})

	// A session that is closed to stay within MaxOnDemandSessions must have no
	// open attempts.
	It("in use are not closed to stay within the limit", func() {
		cfg := noHedges()
		cfg.MaxOnDemandSessions = 1
		h := newHarness(snapshot(1, 100, 50), cfg)
		h.runScript("submit; reserved 1")
		for i := range uint64(50) {
			h.perform(h.d.Submit(h.now, newCall(h.snap, h.now, i+10, fmt.Sprint("a", i), false)))
		}
		Expect(h.log).NotTo(ContainElement("disconnect"))
		h.runScript("end 1 0")
		Expect(h.log).To(ContainElement("finish ok"))
	})

	// A call whose target cannot be connected to must not fail while other
	// targets can take it.
	It("that fail to open cause a retry at another target", func() {
		h := newHarness(snapshot(1, 100, 1), noHedges())
		first := h.d.Submit(h.now, newCall(h.snap, h.now, 1, "a0", false))
		Expect(first).To(HaveLen(1))
		name := first[0].(dispatch.Connect).Target
		h.perform(h.d.SessionLost(h.now, name))
		h.expectLog("connect; reserve 2; disconnect")
		Expect(h.attemptTargets[0]).NotTo(Equal(name))
	})

	// A call must not wait longer than ConnectTimeout for a session.
	It("that are slow to open cause a retry at another target", func() {
		h := newHarness(snapshot(1, 100, 1), noHedges())
		h.d.Submit(h.now, newCall(h.snap, h.now, 1, "a0", false))
		h.runScript("wait 249; wait 1")
		h.expectLog("connect; reserve 2")
	})

	// The process at the new address does not have the attempts of the old
	// one. If the session stayed, calls would go to the old process.
	It("are replaced when the address of a target changes, and its open attempts are retried", func() {
		h := newHarness(snapshot(1, 4, 1), noHedges())
		h.runScript("submit; reserved 1; chunk 1 0")
		changed := h.attemptTargets[0]
		h.log = nil
		h.perform(h.d.SetSnapshot(h.now, snapshot(2, 4, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
			for i := range p.Pools[0].Targets {
				if t := &p.Pools[0].Targets[i]; t.Name == changed {
					t.Address = "127.0.0.9:1"
				}
			}
		})))
		h.expectLog("disconnect; connect; discard; reserve 2 at revision 2")
		h.runScript("reserved 2; end 2 0")
		Expect(h.openAttempts()).To(BeZero())
	})
})
