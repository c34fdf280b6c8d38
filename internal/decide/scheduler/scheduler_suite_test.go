package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

func failSpec(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) }

func engine() *world  { return newWorld(tables.KindEngine, failSpec) }
func service() *world { return newWorld(tables.KindService, failSpec) }

// last returns the code of the last reply to a call, OK for Reserved.
func last(c *call) result.Code {
	switch m := c.replies[len(c.replies)-1].(type) {
	case *wire.End:
		return m.Code
	case *wire.Refused:
		return m.Code
	}
	return result.OK
}

var _ = Describe("Scheduler", func() {
	It("loads, executes, answers and releases the pin", func() {
		w := engine()
		c := w.serve("a", "1", nil)
		w.chunk(c, []byte("water"))
		Expect(w.s.Status(w.now).Pins).To(Equal(1))
		w.end(c, result.OK)
		Expect([]any{len(c.replies), c.chunks, last(c), w.s.Status(w.now).Pins, w.s.Idle()}).To(Equal([]any{2, 1, result.OK, 0, true}))
	})

	// Each case ends one reservation; it must get one answer and leave no pin,
	// no queue place and no open record.
	DescribeTable("ends a reservation once",
		func(disturb func(*world, *call), code result.Code) {
			w := engine()
			w.configure(func(row *tables.PoolRow) { row.Pool.MaxRunning = 1 })
			w.serve("a", "1", nil)
			c := w.reserve("a", "1", once("k", w.now))
			disturb(w, c)
			w.pass(3 * time.Second)
			Expect([]any{last(c), len(c.ends), len(c.replies)}).To(Equal([]any{code, 1, 2}))
			w.run(c)
			Expect(len(c.replies)).To(Equal(2))
			status := w.s.Status(w.now)
			Expect([]int{status.Pins, status.Waiting, status.Records}).To(Equal([]int{1, 0, 0}))
		},
		Entry("no Run", func(*world, *call) {}, result.ReservationExpired),
		Entry("cancelled before Run", func(w *world, c *call) { w.cancel(c); w.cancel(c) }, result.CancelledNotRun),
		Entry("cancelled after Run", func(w *world, c *call) { w.run(c); w.run(c); w.cancel(c) }, result.CancelledNotRun),
		Entry("the budget ends in the queue", func(w *world, c *call) { w.run(c); w.pass(4 * time.Second) }, result.DeadlinePassed),
		Entry("a pause before Run", func(w *world, c *call) { w.pause(1100 * time.Millisecond) }, result.AuthorityLost),
		Entry("a pause beyond the budget after Run", func(w *world, c *call) { w.run(c); w.pause(5 * time.Second) }, result.DeadlinePassed),
	)

	It("ends a reservation of a lost session without an answer and tells its Resume that it was not run", func() {
		w := engine()
		c := w.reserve("a", "1", nil)
		w.lose(1)
		Expect([]any{len(c.ends), w.s.Idle(), w.s.Status(w.now).Pins}).To(Equal([]any{0, true, 0}))
		w.session(2)
		w.resume(c, 0)
		Expect(last(c).Info().Execution).To(Equal(result.NotRun))
	})

	DescribeTable("refuses before it queues",
		func(kind string, prepare func(*world), change func(*wire.Reserve), code result.Code) {
			w := newWorld(kind, failSpec)
			prepare(w)
			c := w.reserve("a", "1", change)
			Expect([]any{last(c), len(c.replies), w.s.Idle()}).To(Equal([]any{code, 1, true}))
		},
		// Reserved and then refused would cost the entry a round trip.
		Entry("the last load failed", tables.KindEngine, func(w *world) { w.run(w.reserve("a", "1", nil)); w.step(); w.answerOrder(false) }, nil, result.AdapterLoadFailed),
		Entry("unknown class", tables.KindEngine, func(*world) {}, func(m *wire.Reserve) { m.Class = "x" }, result.StaleConfiguration),
		Entry("leaving", tables.KindEngine, func(w *world) { w.do("leave", w.s.Leave(w.now)) }, nil, result.TargetLeaving),
		// A stale entry must not profit from frequent changes.
		Entry("an old revision while newer ones follow each other fast", tables.KindEngine, func(w *world) {
			for range 10 {
				w.configure(func(row *tables.PoolRow) { row.Pool.QueueLimit++ })
				w.pass(time.Second)
			}
		}, func(m *wire.Reserve) { m.Revision = 4 }, result.StaleConfiguration),
		Entry("the first event after a pause", tables.KindEngine, func(w *world) { w.pause(1100 * time.Millisecond) }, nil, result.AuthorityLost),
		Entry("key from far ahead", tables.KindService, func(*world) {}, once("k", time.Unix(1_700_000_100, 0)), result.KeyUnknown),
		Entry("key from before the start", tables.KindService, func(*world) {}, once("k", time.Unix(1_700_000_001, 0)), result.KeyUnknown),
		Entry("key that is too long", tables.KindService, func(*world) {}, once(fmt.Sprintf("%300d", 1), time.Unix(1_700_000_009, 0)), result.KeyInvalid),
		Entry("key with an older target list", tables.KindService, func(*world) {}, func(m *wire.Reserve) { once("k", time.Unix(1_700_000_009, 0))(m); m.PoolDigest = 9 }, result.NotHome),
		// The entry knows a newer list, by which the home may have moved.
		Entry("key with a newer revision", tables.KindService, func(*world) {}, func(m *wire.Reserve) { once("k", time.Unix(1_700_000_009, 0))(m); m.Revision = 99 }, result.StaleConfiguration),
		// Another process may have been home and executed the key.
		Entry("key from before the end of a long pause", tables.KindService, func(w *world) { w.pause(4 * time.Second); w.step() }, once("k", time.Unix(1_700_000_012, 0)), result.KeyUnknown),
	)

	// The previous home may follow the old list for the grace.
	It("does not run a new key that another target was home of, and runs its own", func() {
		w := service()
		w.configure(func(row *tables.PoolRow) { row.Pool.Targets = append(row.Pool.Targets, tables.Target{Name: "t2"}) })
		w.pass(10 * time.Second)
		moved := func(i int) result.Code { return last(w.reserve("", "", once(fmt.Sprint("k", i), w.now))) }
		var foreign []int
		for i := range 20 {
			if moved(i) == result.NotHome {
				foreign = append(foreign, i)
			}
		}
		Expect(len(foreign)).To(And(BeNumerically(">", 2), BeNumerically("<", 18)))
		w.configure(func(row *tables.PoolRow) { row.Pool.Targets = row.Pool.Targets[:1] })
		w.pass(time.Second)
		for i := range 20 {
			want := result.OK
			if moved(i+100) != result.OK {
				want = result.KeyUnknown
			}
			Expect(moved(i + 100)).To(Or(Equal(want), Equal(result.KeyInProgress)))
		}
		Expect(moved(foreign[0])).To(Equal(result.KeyUnknown))
		w.pass(6 * time.Second)
		Expect(moved(foreign[0])).To(Equal(result.OK))
	})

	// A repeated key must not be told that it was not run, whatever else holds.
	DescribeTable("answers a repeated key from its record",
		func(disturb func(*world)) {
			w := service()
			created := w.now
			c := w.serve("", "", once("k", created))
			w.chunk(c, []byte("gate opened"))
			w.end(c, result.OK)
			disturb(w)
			again := w.reserve("", "", once("k", created))
			Expect([]any{last(again), again.ends[0].Checksum, again.chunks, w.executed["k"]}).To(Equal([]any{result.OK, c.ends[0].Checksum, 1, 1}))
		},
		Entry("at once", func(*world) {}),
		Entry("while leaving", func(w *world) { w.do("leave", w.s.Leave(w.now)) }),
		Entry("after its home moved", func(w *world) {
			w.configure(func(row *tables.PoolRow) { row.Pool.Targets[0].Name = "t2" })
		}),
		Entry("after a pause", func(w *world) { w.pause(time.Minute) }),
		// A request that may be repeated does not own the record of its key.
		Entry("after a repeatable request with the same key was cancelled", func(w *world) {
			w.cancel(w.reserve("", "", func(m *wire.Reserve) { m.Key = "k" }))
		}),
	)

	It("leaves the record of a running call open when another request with its key is cancelled", func() {
		w := service()
		created := w.now
		w.serve("", "", once("k", created))
		w.cancel(w.reserve("", "", func(m *wire.Reserve) { m.Key = "k" }))
		Expect(last(w.reserve("", "", once("k", created)))).To(Equal(result.KeyInProgress))
	})

	DescribeTable("fails what ran on an engine that restarted",
		func(change func(*world) func(*wire.Reserve), code result.Code) {
			w := engine()
			c := w.serve("a", "1", change(w))
			w.restartEngine()
			w.pass(2 * time.Second)
			Expect([]any{last(c), len(c.ends)}).To(Equal([]any{code, 1}))
			w.end(c, result.OK)
			Expect([]any{len(c.ends), w.s.Status(w.now).Running, w.s.Status(w.now).Pins}).To(Equal([]any{1, 0, 0}))
		},
		Entry("may be repeated", func(*world) func(*wire.Reserve) { return nil }, result.EngineFailed),
		Entry("may not be repeated", func(w *world) func(*wire.Reserve) { return once("k", w.now) }, result.OutcomeUnknown),
	)

	// The old result would be taken for that of a new load.
	It("loads again after a restart only when the old order is answered", func() {
		w := engine()
		c := w.reserve("a", "1", nil)
		w.run(c)
		w.step()
		Expect(w.orders).To(HaveLen(1))
		w.restartEngine()
		for range 30 {
			w.step()
			w.answerLook()
			w.answerFence()
		}
		Expect(w.orders).To(HaveLen(1))
		w.pass(time.Second)
		Expect(w.running).To(HaveLen(1))
	})

	It("evicts once for each adapter that waits", func() {
		w := engine()
		for _, a := range []string{"a", "b"} {
			w.end(w.serve(a, "1", nil), result.OK)
		}
		w.run(w.reserve("c", "1", nil))
		for range 20 {
			w.step()
		}
		Expect(w.orders).To(HaveLen(1))
	})

	It("unloads an old version when its last request has ended", func() {
		w := engine()
		old := w.serve("a", "1", nil)
		w.configure(func(row *tables.PoolRow) { row.Pool.QueueLimit++ })
		w.end(w.serve("a", "2", nil), result.OK)
		w.pass(slots.VersionGrace)
		Expect(w.resident).To(HaveLen(2))
		w.end(old, result.OK)
		w.pass(time.Second)
		Expect(w.resident).To(Equal([]slots.Key{{Adapter: "a", Version: "2"}}))
	})

	It("corrects its slots by a look at the engine", func() {
		w := engine()
		w.end(w.serve("a", "1", nil), result.OK)
		w.resident = []slots.Key{{Adapter: "b", Version: "1"}}
		w.pass(2 * time.Second)
		Expect(w.s.Status(w.now).Resident).To(Equal(w.resident))
	})

	It("gives up what has not started when it is superseded, for good", func() {
		w := engine()
		running, queued := w.serve("a", "1", nil), w.reserve("b", "1", nil)
		w.run(queued)
		w.view.Fence = 50
		w.pass(2 * time.Second)
		Expect([]any{last(queued), len(queued.ends), w.counts["superseded"]}).To(Equal([]any{result.AuthorityLost, 1, 1}))
		w.end(running, result.OK)
		w.restartEngine()
		w.pass(3 * time.Second)
		Expect([]any{last(running), w.view.Fence, last(w.reserve("a", "1", nil))}).To(Equal([]any{result.OK, uint64(0), result.AuthorityLost}))
	})

	DescribeTable("resumes an answer",
		func(disturb func(*world, *call), from uint32, code result.Code, chunks int) {
			w := engine()
			c := w.serve("a", "1", nil)
			w.chunk(c, []byte("one"))
			w.chunk(c, []byte("two"))
			w.lose(1)
			disturb(w, c)
			w.session(2)
			c.chunks = 0
			w.resume(c, from)
			Expect([]any{last(c), c.chunks, len(c.ends)}).To(Equal([]any{code, chunks, 1}))
		},
		Entry("finished", func(w *world, c *call) { w.end(c, result.OK) }, uint32(1), result.OK, 2),
		Entry("beyond its end", func(w *world, c *call) { w.end(c, result.OK) }, uint32(9), result.AnswerCut, 0),
		Entry("its data dropped for lack of room", func(w *world, c *call) { w.end(c, result.OK); w.fill() }, uint32(1), result.AnswerCut, 0),
		// It ran: "unknown reservation" would say that it did not.
		Entry("forgotten", func(w *world, c *call) { w.end(c, result.OK); w.pass(11 * time.Second) }, uint32(1), result.OutcomeUnknown, 0),
	)

	It("keeps at most MaxKeptBytes for resumes", func() {
		w := engine()
		w.fill()
		Expect(w.counts["kept_answers_cut"]).To(BeNumerically(">", 0))
		Expect(w.s.Status(w.now).KeptBytes).To(And(BeNumerically("<=", scheduler.MaxKeptBytes), BeNumerically(">", scheduler.MaxKeptBytes/2)))
		w.pass(11 * time.Second)
		Expect(w.s.Status(w.now).KeptBytes).To(BeZero())
	})

	It("cancels repeatable work of a lost session after AnswerLife", func() {
		w := engine()
		w.serve("a", "1", nil)
		w.lose(1)
		w.pass(scheduler.AnswerLife + time.Second)
		Expect(w.log).To(ContainElement(ContainSubstring("CancelExecution")))
	})

	It("replays a large answer in frames below the limit", func() {
		w := service()
		created := w.now
		c := w.serve("", "", once("k", created))
		w.chunk(c, make([]byte, 60<<10))
		w.chunk(c, make([]byte, 60<<10))
		w.end(c, result.OK)
		again := w.reserve("", "", once("k", created))
		Expect([]any{last(again), again.chunks}).To(Equal([]any{result.AnswerCut, 0}))
	})

	It("passes on the tokens that no waiting adapter needs", func() {
		w := engine()
		w.pass(2 * time.Second)
		Expect(w.s.Status(w.now).Tokens).To(BeZero())
		Expect(w.log).To(ContainElement(ContainSubstring("LoadGrant")))
	})

	// A tick with thousands of kept answers and records must stay cheap.
	It("ticks without work when nothing is due", func() {
		w := engine()
		w.lose(1)
		w.session(1)
		for range 2000 {
			w.cancel(w.reserve("", "", nil))
		}
		w.step()
		Expect(testing.AllocsPerRun(100, func() { w.s.Tick(w.now) })).To(BeNumerically("<=", 1))
	})

	It("keeps its promises under any events", func() { rapid.Check(GinkgoT(), anyEvents) })

	// A virtual-time driver must get the same run for the same seed.
	It("gives the same actions for the same events", func() {
		for seed := range 20 {
			logs := rapid.Custom(func(t *rapid.T) []string { return events(t).log })
			Expect(logs.Example(seed)).To(Equal(logs.Example(seed)))
		}
	})
})

func (w *world) step() {
	w.now = w.now.Add(50 * time.Millisecond)
	w.do("tick", w.s.Tick(w.now))
}

func (w *world) cancel(c *call) {
	w.do("cancel", w.s.Cancel(w.now, c.session, &wire.Cancel{ID: c.reserve.ID}))
}

func (w *world) resume(c *call, from uint32) {
	c.session = w.sessions[len(w.sessions)-1]
	w.do("resume", w.s.Resume(w.now, c.session, &wire.Resume{ID: c.reserve.ID, From: from}))
}

// fill serves answers until the kept ones exceed their bound.
func (w *world) fill() {
	if len(w.sessions) == 0 {
		w.session(9)
	}
	w.end(w.serve("a", "1", nil), result.OK)
	for range 12 {
		c := w.reserve("a", "1", nil)
		w.run(c)
		w.chunk(c, make([]byte, scheduler.MaxKeptBytes/10))
		w.end(c, result.OK)
	}
}

func anyEvents(t *rapid.T) {
	w := events(t)
	for w.row.Pool.Slots < 2 || len(w.sessions) == 0 {
		w.configure(func(row *tables.PoolRow) { row.Pool.Slots = 2 })
		w.session(99)
	}
	for range 16 {
		for len(w.running) > 0 {
			w.end(w.calls[w.running[0].ID], result.OK)
		}
		w.pass(time.Second)
	}
	for id, c := range w.calls {
		if c.reserved && len(c.ends) != 1 && (!c.lost || len(c.ends) > 0) {
			w.fail("%v has %d ends", id, len(c.ends))
		}
	}
	for key, n := range w.executed {
		if n > 1 {
			t.Fatalf("key %s was executed %d times", key, n)
		}
	}
	status := w.s.Status(w.now)
	if status.Pins != 0 || status.KeptBytes != 0 || status.Waiting != 0 || !w.s.Idle() {
		t.Fatalf("%+v", status)
	}
}

// events drives a world with random events.
func events(t *rapid.T) *world {
	var w *world
	w = newWorld(tables.KindEngine, func(format string, args ...any) {
		t.Fatalf("%s after\n%s", fmt.Sprintf(format, args...), strings.Join(w.log[max(0, len(w.log)-60):], "\n"))
	})
	created := w.now
	n := func(high int, label string) int { return rapid.IntRange(0, high).Draw(t, label) }
	some := func() *call {
		if len(w.order) == 0 {
			return w.reserve("a", "1", nil)
		}
		return w.calls[w.order[max(0, len(w.order)-1-n(6, "call"))]]
	}
	live := func() *call {
		if c := some(); !c.lost {
			return c
		}
		return w.reserve("b", "1", nil)
	}
	for range rapid.IntRange(1, 100).Draw(t, "events") {
		w.now = w.now.Add(time.Duration(n(200, "ms")) * time.Millisecond)
		if len(w.sessions) == 0 {
			w.session(scheduler.SessionID(len(w.log)))
		}
		switch e := n(29, "event"); e {
		case 0, 1, 2, 3, 4, 5:
			var change func(*wire.Reserve)
			if key := n(9, "key"); key < 3 {
				change = once(fmt.Sprint("k", key), created)
			}
			w.run(w.reserve(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "adapter"), fmt.Sprint(1+n(1, "version")), change))
		case 6:
			w.reserve("a", "1", func(m *wire.Reserve) { m.Class = "long"; m.Key = "k0" })
		case 7:
			if c := live(); len(c.ends) == 0 {
				w.run(c)
			}
		case 8:
			w.cancel(live())
		case 9:
			if c := live(); c.reserved {
				w.do("again", w.s.Reserve(w.now, c.session, c.reserve))
			}
		case 10, 11, 12, 13:
			w.answerOrder(n(4, "success") > 0)
		case 14, 15:
			w.answerLook()
		case 16:
			w.answerFence()
		case 17, 18, 19:
			if len(w.running) > 0 {
				w.end(w.calls[w.running[n(len(w.running)-1, "running")].ID], rapid.SampledFrom([]result.Code{result.OK, result.EngineFailed, result.EngineUnavailable}).Draw(t, "code"))
			}
		case 20:
			w.chunk(some(), []byte("x"))
		case 21:
			w.lose(w.sessions[0])
		case 22:
			if c := some(); c.lost && len(c.ends) == 0 {
				w.resume(c, uint32(n(c.chunks, "from")))
			}
		case 23:
			broken := w.running[:n(len(w.running), "reported")]
			w.restartEngine()
			for _, e := range broken {
				w.end(w.calls[e.ID], result.EngineFailed)
			}
		case 24:
			w.pause(time.Duration(n(5, "pause")) * time.Second)
		case 25:
			w.configure(func(row *tables.PoolRow) { row.Pool.Slots = 1 + n(2, "slots") })
		case 26:
			if n(9, "rare") == 0 {
				w.view.Fence += 50
			}
		case 27:
			w.do("grant", w.s.Grant(w.now, &wire.LoadGrant{Minter: "x", Period: int64(n(99, "period")), ExpiresMS: w.now.Add(time.Second).UnixMilli()}))
		default:
			w.do("tick", w.s.Tick(w.now))
		}
	}
	return w
}
