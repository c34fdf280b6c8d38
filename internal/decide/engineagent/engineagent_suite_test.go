package engineagent_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestEngineAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engineagent")
}

type recorder struct{ counts map[string]int }

func (r *recorder) Refused(code result.Code) { r.Count("refused_" + code.String()) }
func (r *recorder) Count(name string) {
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[name]++
}

// engine simulates a model engine: it accepts orders as the platform specifies
// and is broken once it is ordered to hold more adapters than its slots.
type engine struct {
	slots       int
	incarnation int64
	orders      uint64
	fence       uint64
	model       bool
	held        map[string]int
	coming      map[string]int
	broken      bool
	// slowModel keeps the base model from being loaded.
	slowModel bool
	log       []engineagent.Order
}

func newEngine(slots int) *engine {
	return &engine{slots: slots, incarnation: 1, model: true, held: map[string]int{}, coming: map[string]int{}}
}

func (e *engine) look() engineagent.Look {
	l := engineagent.Look{Incarnation: e.incarnation, Orders: e.orders, Held: map[engineagent.Adapter]int{}, Coming: map[engineagent.Adapter]int{}}
	if e.model {
		l.Models = []string{"m"}
	}
	for name, v := range e.held {
		l.Held[engineagent.Adapter{Model: "m", Name: name}] = v
	}
	for name, v := range e.coming {
		l.Coming[engineagent.Adapter{Model: "m", Name: name}] = v
	}
	return l
}

func (e *engine) order(o engineagent.Order) engineagent.OrderOutcome {
	e.log = append(e.log, o)
	switch {
	case o.Fence < e.fence:
		return engineagent.OrderFenced
	case o.After != e.orders:
		return engineagent.OrderConflict
	}
	e.fence = o.Fence
	e.orders++
	switch {
	case o.Adapter.Name == "":
		e.model = !e.slowModel
	case o.Kind == engineagent.Unload:
		delete(e.held, o.Adapter.Name)
	default:
		e.coming[o.Adapter.Name] = max(1, o.Version)
		occupied := len(e.held)
		for name := range e.coming {
			if _, held := e.held[name]; !held {
				occupied++
			}
		}
		e.broken = e.broken || occupied > e.slots
	}
	return engineagent.OrderAccepted
}

func (e *engine) finishLoads() {
	for name, v := range e.coming {
		e.held[name] = v
		delete(e.coming, name)
	}
}

func (e *engine) restart() {
	e.incarnation++
	e.orders, e.fence, e.model = 0, 0, false
	e.held, e.coming = map[string]int{}, map[string]int{}
}

// harness runs an Agent with a simulated engine.
type harness struct {
	now     time.Time
	agent   *engineagent.Agent
	engine  *engine
	rec     *recorder
	granted []uint64
	refused map[uint64]engineagent.Refuse
	// loseReplies makes the engine accept orders without a reply.
	loseReplies bool
	// unanswered collects orders instead of passing them to the engine, if set.
	unanswered *[]engineagent.Order
	// runningLook replaces the engine's status in polls, if set.
	runningLook func(elapsed time.Duration) engineagent.Look
	polledAt    time.Time
}

var start = time.Unix(1_800_000_000, 0)

func newHarness(slots int) *harness {
	b := &harness{now: start, engine: newEngine(slots), rec: &recorder{}, refused: map[uint64]engineagent.Refuse{}}
	b.startAgent()
	return b
}

// startAgent replaces the Agent, as after a restart of the target process.
func (b *harness) startAgent() {
	b.agent = engineagent.New(b.now, b.rec)
	b.perform(b.agent.SetRow(b.now, &wire.EngineRow{
		Revision: 1, Slots: 4, MemoryMB: 100, Models: []wire.EngineModel{{Name: "m", WeightsMB: 50, Adapters: b.engine.slots}},
	}))
}

func (b *harness) perform(actions []engineagent.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case engineagent.Grant:
			b.granted = append(b.granted, a.ID.Request.Number)
		case engineagent.Refuse:
			b.refused[a.ID.Request.Number] = a
		case engineagent.TakeLook:
			look := b.engine.look()
			if b.runningLook != nil {
				look = b.runningLook(b.now.Sub(b.polledAt))
			}
			b.polledAt = b.now
			b.perform(b.agent.Looked(b.now, look))
		case engineagent.GiveOrder:
			if b.unanswered != nil {
				*b.unanswered = append(*b.unanswered, a.Order)
				continue
			}
			outcome := b.engine.order(a.Order)
			if b.loseReplies {
				outcome = engineagent.OrderUnanswered
			}
			b.perform(b.agent.Ordered(b.now, outcome))
		}
	}
}

// advance moves the time on in ticks; loads end at multiples of 250 ms.
func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(25 * time.Millisecond)
		if b.now.Sub(start)%(250*time.Millisecond) == 0 {
			b.engine.finishLoads()
		}
		b.perform(b.agent.Tick(b.now))
	}
}

func id(n uint64) wire.AttemptID {
	return wire.AttemptID{Request: wire.RequestID{Entry: "e", Incarnation: 1, Number: n}, Attempt: 1}
}

func (b *harness) reserve(n uint64, adapter string, change ...func(*wire.Reserve)) {
	m := &wire.Reserve{ID: id(n), Model: "m", Adapter: adapter, BudgetMS: 5000, Prompt: 100}
	for _, c := range change {
		c(m)
	}
	b.perform(b.agent.Reserve(b.now, 1, m))
}

func (b *harness) started(n uint64) { b.perform(b.agent.Started(b.now, &wire.Started{ID: id(n)})) }
func (b *harness) release(n uint64) { b.perform(b.agent.Release(b.now, id(n))) }

var _ = Describe("Orders", func() {
	// An engine crashes if it is ordered to hold more adapters than its slots.
	It("never fill more than the slots, even after a restart of the target process or the engine", func() {
		b := newHarness(3)
		for n := range uint64(40) {
			b.reserve(n, fmt.Sprintf("a%d", n%8))
			b.advance(100 * time.Millisecond)
			b.started(n)
			b.release(n)
			switch n {
			case 15:
				b.startAgent()
			case 25:
				b.engine.restart()
			}
		}
		Expect(b.engine.broken).To(BeFalse())
		Expect(b.granted).NotTo(BeEmpty())
	})

	It("without a reply are followed by a poll before the next order", func() {
		b := newHarness(1)
		b.loseReplies = true
		b.reserve(1, "a1")
		b.advance(500 * time.Millisecond)
		Expect(b.engine.broken).To(BeFalse())
		Expect(b.granted).To(Equal([]uint64{1}))
		Expect(b.engine.log).To(HaveLen(1))
	})

	It("never unload an adapter that a request uses", func() {
		b := newHarness(2)
		b.reserve(1, "a1")
		b.reserve(2, "a2")
		b.advance(time.Second)
		Expect(b.granted).To(ConsistOf(uint64(1), uint64(2)))
		b.reserve(3, "a3")
		b.advance(time.Second)
		Expect(b.engine.held).To(And(HaveKey("a1"), HaveKey("a2")))
		b.started(1)
		b.release(1)
		b.advance(time.Second)
		Expect(b.granted).To(ContainElement(uint64(3)))
		Expect(b.engine.held).To(And(HaveKey("a2"), HaveKey("a3")))
	})

	// A request that has been running since before the restart of the target
	// process must keep its adapter.
	It("do not unload the adapter of a request that an entry attaches again", func() {
		b := newHarness(1)
		b.engine.held["a1"] = 1
		b.startAgent()
		b.perform(b.agent.Attach(b.now, 1, &wire.Attach{ID: id(7), Model: "m", Adapter: "a1"}))
		b.reserve(8, "a2")
		b.advance(2 * time.Second)
		Expect(b.engine.held).To(HaveKey("a1"))
		b.release(7)
		b.advance(time.Second)
		Expect(b.granted).To(Equal([]uint64{8}))
	})

	It("get a fencing number above the one that the engine has seen", func() {
		b := newHarness(2)
		b.engine.fence = 5000
		b.reserve(1, "a1")
		b.advance(time.Second)
		Expect(b.granted).To(Equal([]uint64{1}))
		Expect(b.engine.log[len(b.engine.log)-1].Fence).To(BeNumerically(">", 5000))
	})

	// A restarted target process has no fencing number to continue from: engines
	// that ignore fencing report none, the clock of the VM may have been set back,
	// and the entries may have restarted as well.
	It("carry fencing numbers that never decrease, even after a restart of the target process", func() {
		b := newHarness(2)
		for number, adapter := range []string{"a1", "a2", "a3", "a4"} {
			b.reserve(uint64(number+1), adapter)
			b.advance(time.Second)
			b.release(uint64(number + 1))
			b.now = b.now.Add(-time.Hour)
			b.startAgent()
			b.advance(time.Second)
		}
		Expect(len(b.engine.log)).To(BeNumerically(">=", 6))
		for i, order := range b.engine.log[1:] {
			Expect(order.Fence).To(BeNumerically(">", b.engine.log[i].Fence))
		}
	})

	It("load the base model after a restart of the engine", func() {
		b := newHarness(2)
		b.engine.restart()
		b.advance(time.Second)
		Expect(b.engine.model).To(BeTrue())
		b.reserve(1, "a1")
		b.advance(time.Second)
		Expect(b.granted).To(Equal([]uint64{1}))
	})

	It("replace an older version of an adapter exactly once", func() {
		b := newHarness(1)
		b.engine.held["a1"] = 1
		b.advance(300 * time.Millisecond)
		b.reserve(1, "a1", func(m *wire.Reserve) { m.Version = "2" })
		Expect(b.granted).To(BeEmpty())
		b.advance(time.Second)
		Expect(b.granted).To(Equal([]uint64{1}))
		Expect(b.engine.held["a1"]).To(Equal(2))
		Expect(b.engine.log).To(HaveLen(1))
	})

	It("are not given before the settings of the pool are known", func() {
		b := newHarness(1)
		b.agent = engineagent.New(b.now, b.rec)
		b.advance(time.Second)
		b.reserve(1, "a1")
		Expect(b.refused[1].Code).To(Equal(result.NoConfiguration))
		Expect(b.engine.log).To(BeEmpty())
	})
})

var _ = Describe("Admission", func() {
	var b *harness
	BeforeEach(func() {
		b = newHarness(4)
		b.engine.held["a1"] = 1
		b.advance(300 * time.Millisecond)
	})

	// Many long prompts at once, as in a burst, pause all streams of an engine for
	// longer than their callers accept.
	It("limits the prompt tokens that the engine has not read", func() {
		long := func(m *wire.Reserve) { m.Prompt = 2000 }
		b.reserve(1, "a1", long)
		b.reserve(2, "a1", long)
		Expect(b.granted).To(Equal([]uint64{1}))
		b.started(1)
		Expect(b.granted).To(Equal([]uint64{1, 2}))
	})

	It("admits one prompt above the limit when nothing else is unread", func() {
		b.reserve(1, "a1", func(m *wire.Reserve) { m.Prompt = 9000 })
		Expect(b.granted).To(Equal([]uint64{1}))
	})

	It("stays within the slots and admits the more urgent rank first", func() {
		for n := range uint64(4) {
			b.reserve(n, "a1")
			b.started(n)
		}
		b.reserve(10, "a1", func(m *wire.Reserve) { m.Rank = 2 })
		b.reserve(11, "a1")
		Expect(b.granted).To(HaveLen(4))
		b.release(0)
		Expect(b.granted[4:]).To(Equal([]uint64{11}))
		b.release(1)
		Expect(b.granted[4:]).To(Equal([]uint64{11, 10}))
	})

	It("admits a request for a held adapter before an earlier one that waits for a load", func() {
		b.reserve(1, "a9")
		b.reserve(2, "a1")
		Expect(b.granted).To(Equal([]uint64{2}))
	})

	It("refuses a request that cannot start in time at once, with a retry delay", func() {
		b.reserve(1, "a1", func(m *wire.Reserve) { m.Prompt = 9000 })
		b.reserve(2, "a1", func(m *wire.Reserve) { m.BudgetMS = 200 })
		Expect(b.refused[2].Code).To(Equal(result.BudgetExceeded))
		Expect(b.refused[2].RetryAfter).To(BeNumerically(">=", 400*time.Millisecond))
	})

	It("refuses a waiting request at its deadline", func() {
		b.reserve(1, "a1", func(m *wire.Reserve) { m.Prompt = 2950 })
		b.reserve(2, "a1", func(m *wire.Reserve) { m.BudgetMS = 400 })
		b.advance(time.Second)
		Expect(b.refused[2].Code).To(Equal(result.DeadlinePassed))
	})

	It("refuses all waiting and new requests when the engine does not answer", func() {
		b.reserve(1, "a9")
		b.perform(b.agent.LookFailed(b.now))
		b.perform(b.agent.LookFailed(b.now))
		Expect(b.refused[1].Code).To(Equal(result.EngineUnavailable))
		b.reserve(2, "a1")
		Expect(b.refused[2].Code).To(Equal(result.EngineUnavailable))
	})

	It("drops waiting requests with their session and running ones after a timeout", func() {
		b.reserve(1, "a1")
		b.reserve(2, "a9")
		b.perform(b.agent.SessionLost(b.now, 1))
		Expect(b.agent.Waiting()).To(Equal(0))
		Expect(b.agent.Running()).To(Equal(1))
		b.advance(11 * time.Second)
		Expect(b.agent.Running()).To(Equal(0))
	})

	It("refuses new and waiting requests when the target leaves", func() {
		b.reserve(1, "a9")
		b.perform(b.agent.Leave(b.now))
		Expect(b.refused[1].Code).To(Equal(result.TargetLeaving))
		b.reserve(2, "a1")
		Expect(b.refused[2].Code).To(Equal(result.TargetLeaving))
	})

	It("frees the slots of a restarted engine", func() {
		b.reserve(1, "a1")
		b.engine.restart()
		b.advance(time.Second)
		Expect(b.agent.Running()).To(Equal(0))
	})
})

var _ = Describe("Reports", func() {
	It("list the adapters only when they have changed", func() {
		b := newHarness(2)
		b.advance(300 * time.Millisecond)
		Expect(b.agent.Report(false).Listed).To(BeTrue())
		Expect(b.agent.Report(false).Listed).To(BeFalse())
		b.reserve(1, "a1")
		b.advance(300 * time.Millisecond)
		r := b.agent.Report(false)
		Expect(r.Listed).To(BeTrue())
		Expect(r.Held).To(Equal([]string{"m/a1"}))
	})

	It("list the adapters that the engine loads again without the weight store", func() {
		b := newHarness(1)
		for n, adapter := range []string{"a1", "a2"} {
			b.reserve(uint64(n), adapter)
			b.advance(time.Second)
			b.started(uint64(n))
			b.release(uint64(n))
		}
		r := b.agent.Report(true)
		Expect(r.Held).To(Equal([]string{"m/a2"}))
		Expect(r.Recent).To(Equal([]string{"m/a1"}))
	})
})

var _ = Describe("An adapter whose unload was ordered", func() {
	// The last status still lists the adapter. The engine would decline a request
	// for it, and the request would have to try a second target.
	It("is not granted and not reported until a poll shows whether it was unloaded", func() {
		b := newHarness(1)
		b.reserve(1, "a1")
		b.advance(time.Second)
		b.release(1)
		b.unanswered = &[]engineagent.Order{}
		b.reserve(2, "a2")
		Expect(*b.unanswered).To(HaveLen(1))
		Expect((*b.unanswered)[0].Kind).To(Equal(engineagent.Unload))
		b.reserve(3, "a1")
		b.advance(time.Second)
		Expect(b.granted).To(Equal([]uint64{1}))
		Expect(b.agent.Report(true).Held).To(BeEmpty())

		// The engine refuses the order.
		b.unanswered = nil
		b.perform(b.agent.Ordered(b.now, engineagent.OrderRefused))
		b.advance(100 * time.Millisecond)
		Expect(b.granted).To(ContainElement(uint64(3)))
	})
})

var _ = Describe("A status poll", func() {
	// The result could show the status before the order and arrive after the
	// outcome of the order: an unloaded adapter would be granted again.
	It("is not started while an order is pending", func() {
		b := newHarness(1)
		b.unanswered = &[]engineagent.Order{}
		b.reserve(1, "a1")
		b.advance(100 * time.Millisecond)
		Expect(*b.unanswered).To(HaveLen(1))
		last := b.polledAt
		b.advance(500 * time.Millisecond)
		Expect(b.polledAt).To(Equal(last))
		b.perform(b.agent.Ordered(b.now, engineagent.OrderUnanswered))
		b.advance(50 * time.Millisecond)
		Expect(b.polledAt).NotTo(Equal(last))
	})
})
