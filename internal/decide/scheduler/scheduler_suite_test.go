package scheduler_test

import (
	"fmt"
	"testing"
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

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

// failingHarness returns a harness that fails the spec on a violated invariant.
func failingHarness(kind string) *harness {
	return newHarness(kind, time.Nanosecond, func(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) })
}
func newEngineHarness() *harness  { return failingHarness(tables.KindEngine) }
func newServiceHarness() *harness { return failingHarness(tables.KindService) }

// freshKeyTime is a creation time of keys that a new harness executes.
var freshKeyTime = time.Unix(1_700_000_009, 0)

var _ = Describe("Scheduler", func() {
	It("loads the adapter, executes, answers and releases the pin", func() {
		h := newEngineHarness()
		c := h.serve("a", "1", nil)
		h.chunk(c, []byte("water"))
		Expect(h.s.Status(h.now).Pins).To(Equal(1))
		h.endCall(c, result.OK)
		Expect([]any{len(c.replies), c.chunks, c.code(), h.s.Status(h.now).Pins, h.s.Idle()}).To(Equal([]any{2, 1, result.OK, 0, true}))
	})

	// A reservation that does not run must get one End and leave no pin, no queued
	// item and no open record.
	DescribeTable("ends a reservation that does not run exactly once",
		func(disturb func(*harness, *call), code result.Code) {
			h := newEngineHarness()
			h.configure(func(row *tables.PoolRow) { row.Pool.MaxRunning = 1 })
			h.serve("a", "1", nil)
			c := h.reserve("a", "1", notRepeatable("k", h.now))
			disturb(h, c)
			h.advance(3 * time.Second)
			h.run(c)
			status := h.s.Status(h.now)
			Expect([]any{c.code(), len(c.ends), len(c.replies), status.Pins, status.Waiting, status.Records}).To(Equal([]any{code, 1, 2, 1, 0, 0}))
		},
		Entry("no Run", func(*harness, *call) {}, result.ReservationExpired),
		Entry("cancelled before Run", func(h *harness, c *call) { h.cancel(c); h.cancel(c) }, result.CancelledNotRun),
		Entry("cancelled after Run", func(h *harness, c *call) { h.run(c); h.run(c); h.cancel(c) }, result.CancelledNotRun),
		Entry("the budget ends in the queue", func(h *harness, c *call) { h.run(c); h.advance(4 * time.Second) }, result.DeadlinePassed),
		Entry("a pause before Run", func(h *harness, c *call) { h.pause(1100 * time.Millisecond) }, result.AuthorityLost),
		// The first event after the pause may not be a tick.
		Entry("a pause beyond the budget after Run", func(h *harness, c *call) {
			h.run(c)
			h.pause(5 * time.Second)
			h.openSession(2)
			Expect(c.ends).To(HaveLen(1))
		}, result.DeadlinePassed),
	)

	// The reservation must release its pin at once, although no session can
	// receive its End. The entry may send the request again only if the code of
	// the resumed attempt means that it did not run.
	It("ends a reservation of a lost session without an answer and answers its Resume by a code for not run", func() {
		h := newEngineHarness()
		c := h.reserve("a", "1", nil)
		h.loseSession(1)
		Expect([]any{len(c.ends), h.s.Idle(), h.s.Status(h.now).Pins}).To(Equal([]any{0, true, 0}))
		h.openSession(2)
		h.resume(c, 0)
		Expect(c.code().Info().Execution).To(Equal(result.NotRun))
	})

	DescribeTable("refuses a request without queueing it",
		func(kind string, prepare func(*harness), change func(*wire.Reserve), code result.Code) {
			h := failingHarness(kind)
			prepare(h)
			c := h.reserve("a", "1", change)
			Expect([]any{c.code(), len(c.replies), h.s.Idle(), h.s.Status(h.now).Records}).To(Equal([]any{code, 1, true, 0}))
		},
		// A reservation that is refused later would cost the entry a round trip.
		Entry("the last load failed", tables.KindEngine, func(h *harness) {
			c := h.reserve("a", "1", nil)
			h.tick(1)
			h.answerOrder(false)
			Expect([]any{c.code(), c.ends[0].Detail}).To(Equal([]any{result.AdapterLoadFailed, "injected fault"}))
		}, nil, result.AdapterLoadFailed),
		Entry("unknown class", tables.KindEngine, func(*harness) {}, func(m *wire.Reserve) { m.Class = "x" }, result.StaleConfiguration),
		Entry("leaving", tables.KindEngine, func(h *harness) { h.perform("leave", h.s.Leave(h.now)) }, nil, result.TargetLeaving),
		// Frequent changes must not extend how long a stale route is accepted.
		Entry("an old revision while new ones arrive faster than the grace", tables.KindEngine, func(h *harness) {
			for range 10 {
				h.configure(func(row *tables.PoolRow) { row.Pool.QueueLimit++ })
				h.advance(time.Second)
			}
		}, func(m *wire.Reserve) { m.Revision = 4 }, result.StaleConfiguration),
		Entry("the first event after a pause", tables.KindEngine, func(h *harness) { h.pause(1100 * time.Millisecond) }, nil, result.AuthorityLost),
		Entry("after an order was refused", tables.KindEngine, func(h *harness) { h.perform("refused", h.s.OrderFenced(h.now)) }, nil, result.AuthorityLost),
		Entry("queue full", tables.KindService, func(h *harness) { h.configure(func(row *tables.PoolRow) { row.Pool.QueueLimit = 0 }) }, notRepeatable("k", freshKeyTime), result.QueueFull),
		Entry("key created far in the future", tables.KindService, func(*harness) {}, notRepeatable("k", freshKeyTime.Add(time.Minute)), result.KeyUnknown),
		Entry("key created before the start", tables.KindService, func(*harness) {}, notRepeatable("k", freshKeyTime.Add(-time.Minute)), result.KeyUnknown),
		Entry("key that is too long", tables.KindService, func(*harness) {}, notRepeatable(fmt.Sprintf("%300d", 1), freshKeyTime), result.KeyInvalid),
		Entry("key with an older target list", tables.KindService, func(*harness) {}, func(m *wire.Reserve) { notRepeatable("k", freshKeyTime)(m); m.TargetListDigest = 9 }, result.NotHome),
		Entry("key at a draining target", tables.KindService, func(h *harness) { h.drainTarget() }, notRepeatable("k", freshKeyTime), result.NotHome),
		// The entry has a newer target list, by which the home may have moved.
		Entry("key with a newer revision", tables.KindService, func(*harness) {}, func(m *wire.Reserve) { notRepeatable("k", freshKeyTime)(m); m.Revision = 99 }, result.StaleConfiguration),
		// Another process may have become the home of the key and executed it.
		Entry("key created before the end of a long pause", tables.KindService, func(h *harness) { h.pause(4 * time.Second); h.tick(1) }, notRepeatable("k", freshKeyTime.Add(3*time.Second)), result.KeyUnknown),
	)

	// The previous home may use the old target list for the length of the grace,
	// and another list may have been in force before the process started.
	It("runs a key at once if its home did not change, and otherwise after the grace", func() {
		h := newHarness(tables.KindService, 20*time.Second, func(string, ...any) {})
		try := func(i int) result.Code { return h.reserve("", "", notRepeatable(fmt.Sprint("k", i), h.now)).code() }
		Expect(try(99)).To(Equal(result.KeyUnknown))
		h.configure(func(row *tables.PoolRow) { row.Pool.Targets = append(row.Pool.Targets, tables.Target{Name: "t2"}) })
		h.advance(30 * time.Second)
		var before, after []result.Code
		for i := range 20 {
			before = append(before, try(i))
		}
		h.advance(3 * time.Second)
		h.configure(func(row *tables.PoolRow) { row.Pool.Targets = row.Pool.Targets[:1] })
		h.advance(16 * time.Second)
		for i := range 20 {
			after = append(after, try(i))
			Expect([]result.Code{before[i], after[i]}).To(Or(Equal([]result.Code{result.OK, result.OK}), Equal([]result.Code{result.NotHome, result.KeyUnknown})))
		}
		Expect(after).To(ContainElements(result.OK, result.KeyUnknown))
		h.advance(10 * time.Second)
		Expect(try(100)).To(Equal(result.OK))
	})

	// A repeated request must not be answered by a code that means it did not run,
	// whatever the state of the target.
	DescribeTable("answers a repeated request from the record of its key",
		func(size int, disturb func(*harness), code result.Code, chunks int) {
			h := newServiceHarness()
			c := h.serve("", "", notRepeatable("k", freshKeyTime))
			h.chunk(c, make([]byte, size))
			h.endCall(c, result.OK)
			disturb(h)
			again := h.reserve("", "", notRepeatable("k", freshKeyTime))
			Expect([]any{again.code(), len(again.ends), again.chunks, h.executed["k"]}).To(Equal([]any{code, 1, chunks, 1}))
			Expect(again.ends[0].Checksum == c.ends[0].Checksum).To(Equal(code == result.OK))
		},
		Entry("at once", 10, func(*harness) {}, result.OK, 1),
		Entry("while leaving", 10, func(h *harness) { h.perform("leave", h.s.Leave(h.now)) }, result.OK, 1),
		Entry("after its home moved", 10, func(h *harness) { h.configure(func(row *tables.PoolRow) { row.Pool.Targets[0].Name = "t2" }) }, result.OK, 1),
		Entry("while draining", 10, func(h *harness) { h.drainTarget() }, result.OK, 1),
		Entry("after a pause", 10, func(h *harness) { h.pause(time.Minute) }, result.OK, 1),
		// A part of the answer must not be taken for the whole answer.
		Entry("its answer too large for a record", 65<<10, func(*harness) {}, result.AnswerCut, 0),
		Entry("its answer too large to be kept", scheduler.MaxKeptBytes, func(*harness) {}, result.AnswerCut, 0),
	)

	// A repeatable request does not own the record of its key.
	It("keeps the record of a running request open when another request with its key is cancelled", func() {
		h := newServiceHarness()
		h.serve("", "", notRepeatable("k", freshKeyTime))
		h.cancel(h.reserve("", "", func(m *wire.Reserve) { m.Key = "k" }))
		Expect(h.reserve("", "", notRepeatable("k", freshKeyTime)).code()).To(Equal(result.KeyInProgress))
	})

	DescribeTable("fails the requests that ran on an engine that restarted",
		func(change func(*wire.Reserve), superseded bool, code result.Code) {
			h := newEngineHarness()
			c := h.serve("a", "1", change)
			if superseded {
				h.view.Fence = 50
				h.advance(2 * time.Second)
			}
			h.restartEngine()
			h.tick(25)
			h.answerProbe()
			h.answerProbe()
			Expect([]any{c.code(), len(c.ends), len(h.fences) > 0}).To(Equal([]any{code, 1, !superseded}))
			h.endCall(c, result.OK)
			Expect([]any{len(c.ends), h.s.Status(h.now).Running, h.s.Status(h.now).Pins}).To(Equal([]any{1, 0, 0}))
		},
		Entry("repeatable", nil, false, result.EngineFailed),
		Entry("not repeatable", notRepeatable("k", freshKeyTime), false, result.OutcomeUnknown),
		Entry("superseded before", nil, true, result.EngineFailed),
	)

	// If a new order were sent earlier, the result of the old one would be taken
	// for its result. The harness fails if two orders for one adapter are open.
	DescribeTable("loads again after a restart only when the old order is answered",
		func(prepare func(*harness)) {
			h := newEngineHarness()
			prepare(h)
			h.tick(1)
			Expect(h.orders).To(HaveLen(1))
			h.restartEngine()
			h.run(h.reserve("a", "1", nil))
			for range 30 {
				h.tick(1)
				h.answerProbe()
				h.answerFence()
			}
			Expect(h.running).To(BeEmpty())
			h.advance(time.Second)
			Expect(h.running).NotTo(BeEmpty())
			Expect(h.running[len(h.running)-1].Adapter.Adapter).To(Equal("a"))
		},
		Entry("a load", func(h *harness) { h.reserve("a", "1", nil) }),
		Entry("an unload", func(h *harness) {
			h.endCall(h.serve("a", "1", nil), result.OK)
			h.endCall(h.serve("b", "1", func(m *wire.Reserve) { m.BudgetMS = 3999 }), result.OK)
			h.endCall(h.serve("b", "1", nil), result.OK)
			h.reserve("c", "1", nil)
		}),
	)

	// Until a probe shows the restart, the restarted engine accepts loads and runs
	// under the old fencing number. The scheduler ends these runs for their callers
	// when it detects the restart, but the engine continues them until it has
	// processed their cancellation.
	It("unloads no adapter that a run from before the new fencing number still uses", func() {
		h := newEngineHarness()
		h.restartEngine()
		h.run(h.reserve("b", "1", nil))
		h.tick(1)
		h.answerOrder(true)
		Expect(h.inEngine).To(HaveLen(1))
		h.tick(25)
		h.answerProbe()
		h.answerProbe()
		h.answerFence()
		h.run(h.reserve("c", "1", nil))
		h.run(h.reserve("d", "1", nil))
		h.advance(3 * time.Second)
		Expect(h.resident).To(ContainElement(slots.Key{Adapter: "d", Version: "1"}))
	})

	// If an unload in progress were not counted, every tick would evict another
	// adapter for the same request.
	It("evicts at most once for each waiting adapter", func() {
		h := newEngineHarness()
		h.endCall(h.serve("a", "1", nil), result.OK)
		h.endCall(h.serve("b", "1", nil), result.OK)
		h.run(h.reserve("c", "1", nil))
		h.tick(20)
		Expect(h.orders).To(HaveLen(1))
	})

	It("unloads an old version when its last request has ended", func() {
		h := newEngineHarness()
		old := h.serve("a", "1", nil)
		h.configure(func(row *tables.PoolRow) { row.Pool.QueueLimit++ })
		h.endCall(h.serve("a", "2", nil), result.OK)
		h.advance(slots.MinVersionIdleTime)
		Expect(h.resident).To(HaveLen(2))
		h.endCall(old, result.OK)
		h.advance(time.Second)
		Expect(h.resident).To(Equal([]slots.Key{{Adapter: "a", Version: "2"}}))
	})

	// The first probe is sent before adapter b is loaded, and its result arrives
	// afterwards. If that result were used, b would be removed from the slots.
	It("corrects its slots only from the newest probe of the engine", func() {
		h := newEngineHarness()
		h.endCall(h.serve("a", "1", nil), result.OK)
		h.run(h.reserve("b", "1", nil))
		h.tick(21)
		h.answerOrder(true)
		h.tick(21)
		h.answerProbe()
		Expect(h.s.Status(h.now).Resident).To(HaveLen(2))
		h.resident = []slots.Key{{Adapter: "b", Version: "1"}}
		h.advance(2 * time.Second)
		Expect(h.s.Status(h.now).Resident).To(Equal(h.resident))
	})

	// Two processes must not serve one engine, also if the engine restarts later
	// and its fencing number is lost. Running requests still get their answers.
	It("refuses the requests that have not started when it is superseded, and all later ones", func() {
		h := newEngineHarness()
		running, queued := h.serve("a", "1", nil), h.reserve("b", "1", nil)
		h.run(queued)
		h.view.Fence = 50
		h.advance(2 * time.Second)
		Expect([]any{queued.code(), len(queued.ends), h.counts["superseded"]}).To(Equal([]any{result.AuthorityLost, 1, 1}))
		h.endCall(running, result.OK)
		h.restartEngine()
		h.advance(3 * time.Second)
		Expect([]any{running.code(), h.view.Fence, h.reserve("a", "1", nil).code()}).To(Equal([]any{result.OK, uint64(0), result.AuthorityLost}))
	})

	It("ignores duplicated events", func() {
		h := newEngineHarness()
		h.run(h.reserve("a", "1", nil))
		h.tick(1)
		h.perform("fence", h.s.FenceSet(h.now, h.engineState(), 1))
		h.answerOrder(true)
		Expect(h.running).To(HaveLen(1))
		h.perform("up", h.s.SessionUp(h.now, 1))
		h.perform("pool", h.s.PoolUpdate(h.now, 1, &h.update))
		h.perform("old pool", h.s.PoolUpdate(h.now, 1, &wire.PoolUpdate{Row: []byte(`{"pool":{"name":"x"}}`)}))
		h.perform("empty pool", h.s.PoolUpdate(h.now, 1, &wire.PoolUpdate{Revision: 9, Row: []byte("{}")}))
		h.perform("leave", h.s.Leave(h.now))
		Expect(h.s.Leave(h.now)).To(BeEmpty())
		status := h.s.Status(h.now)
		Expect([]any{status.Sessions, status.Revision, status.Slots, h.counts["pool_update_conflicts"]}).To(Equal([]any{1, uint64(1), 2, 0}))
	})

	// Otherwise a plain service would receive orders that only engines understand.
	It("takes no fencing number at a plain service", func() {
		h := newServiceHarness()
		Expect(h.s.EngineProbed(h.now, h.engineState())).To(BeEmpty())
	})

	It("ends a request with WrongAdapter if another adapter answered", func() {
		h := newEngineHarness()
		c := h.serve("a", "1", nil)
		h.perform("ended", h.s.ExecutionEnded(h.now, scheduler.Completion{ID: c.reserve.ID, Adapter: "a", Version: "2"}))
		Expect(c.code()).To(Equal(result.WrongAdapter))
	})

	DescribeTable("resumes an answer",
		func(disturb func(*harness, *call), from uint32, code result.Code, chunks int) {
			h := newEngineHarness()
			c := h.serve("a", "1", nil)
			h.chunk(c, []byte("one"))
			h.chunk(c, []byte("two"))
			h.loseSession(1)
			disturb(h, c)
			h.openSession(2)
			c.chunks = 0
			h.resume(c, from)
			// A resumed request must not be cancelled like one that no entry resumed.
			h.advance(11 * time.Second)
			h.endCall(c, result.OK)
			Expect([]any{c.code(), c.chunks, len(c.ends), c.cancelled}).To(Equal([]any{code, chunks, 1, 0}))
		},
		Entry("running", func(*harness, *call) {}, uint32(1), result.OK, 2),
		Entry("finished", func(h *harness, c *call) { h.endCall(c, result.OK) }, uint32(1), result.OK, 2),
		Entry("beyond its end", func(h *harness, c *call) { h.endCall(c, result.OK) }, uint32(9), result.AnswerCut, 0),
		Entry("its data dropped because of MaxKeptBytes", func(h *harness, c *call) { h.endCall(c, result.OK); h.fillKeptAnswers() }, uint32(1), result.AnswerCut, 0),
		// The request ran; UnknownReservation would mean that it did not.
		Entry("forgotten", func(h *harness, c *call) { h.endCall(c, result.OK); h.advance(11 * time.Second) }, uint32(1), result.OutcomeUnknown, 0),
	)

	It("cancels a repeatable request of a lost session after AnswerRetention", func() {
		h := newEngineHarness()
		c := h.serve("a", "1", nil)
		h.loseSession(1)
		h.advance(scheduler.AnswerRetention - time.Second)
		Expect(c.cancelled).To(BeZero())
		h.advance(2 * time.Second)
		h.cancel(c)
		Expect(c.cancelled).To(Equal(1))
	})

	It("keeps at most MaxKeptBytes for resumes", func() {
		h := newEngineHarness()
		h.fillKeptAnswers()
		Expect(h.s.Status(h.now).KeptBytes).To(And(BeNumerically("<=", scheduler.MaxKeptBytes), BeNumerically(">", scheduler.MaxKeptBytes/2)))
		h.advance(11 * time.Second)
		Expect(h.s.Status(h.now).KeptBytes).To(BeZero())
	})

	It("passes on the load tokens that no waiting adapter needs", func() {
		h := newEngineHarness()
		h.advance(2 * time.Second)
		Expect(h.s.Status(h.now).LoadTokens).To(BeZero())
		Expect(h.log).To(ContainElement(ContainSubstring("LoadGrant")))
	})

	// A tick must not visit thousands of kept answers, and their number must stay
	// bounded.
	It("ticks almost without allocations when nothing is due and keeps a bounded number of answers", func() {
		h := newEngineHarness()
		first := h.reserve("", "", nil)
		for h.cancel(first); len(h.attempts) < scheduler.MaxKeptJobs+2; {
			h.cancel(h.reserve("", "", nil))
		}
		h.resume(first, 0)
		Expect(first.code()).To(Equal(result.OutcomeUnknown))
		h.tick(1)
		Expect(testing.AllocsPerRun(100, func() { h.s.Tick(h.now) })).To(BeNumerically("<=", 1))
	})

	It("keeps its invariants under random events", func() { rapid.Check(GinkgoT(), checkRandomEvents) })

	// Simulations in virtual time must give the same run for the same seed.
	It("returns the same actions for the same events", func() {
		logs := rapid.Custom(func(t *rapid.T) []string { return runRandomEvents(t).log })
		for seed := range 20 {
			Expect(logs.Example(seed)).To(Equal(logs.Example(seed)))
		}
	})
})
