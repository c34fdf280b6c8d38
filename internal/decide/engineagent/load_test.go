package engineagent_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

func firstEventDue(d time.Duration) func(*wire.Reserve) {
	return func(m *wire.Reserve) { m.FirstEventBudgetMS = d.Milliseconds() }
}

var _ = Describe("Under overload", func() {
	// If an engine that gets more requests than it can serve admits them in order
	// of arrival, every request is late and delays the next one until it is late
	// too.
	It("requests that can still be on time are admitted before late ones", func() {
		h := newHarness(4)
		h.engine.resident["a1"] = 1
		h.advance(300 * time.Millisecond)
		h.reserve(1, "a1", func(m *wire.Reserve) { m.PromptTokens = 1990 })
		h.reserve(2, "a1", firstEventDue(100*time.Millisecond))
		h.advance(150 * time.Millisecond)
		h.reserve(3, "a1", firstEventDue(600*time.Millisecond))
		h.reserve(4, "a1", firstEventDue(300*time.Millisecond))
		Expect(h.granted).To(Equal([]uint64{1}))
		h.started(1)
		Expect(h.granted).To(Equal([]uint64{1, 4, 3, 2}))
	})

	// The weight store slows down above a number of concurrent loads, counted over
	// all engines. With four loads at once from each engine, every load took 1.5 s.
	It("loads are limited while they take longer than usual", func() {
		h := newHarness(20)
		maxLoading := func() int {
			highest := 0
			for n := range uint64(16) {
				h.reserve(100+n, fmt.Sprintf("b%d", n))
			}
			for range 40 {
				h.now = h.now.Add(25 * time.Millisecond)
				h.perform(h.agent.Tick(h.now))
				highest = max(highest, len(h.engine.loading))
			}
			return highest
		}
		h.reserve(1, "a1")
		h.advance(300 * time.Millisecond)
		Expect(h.granted).To(ContainElement(uint64(1)))
		Expect(maxLoading()).To(Equal(2), "limit after one load without congestion")
		h.engine.finishLoads()
		h.perform(h.agent.Tick(h.now.Add(25 * time.Millisecond)))
		h.now = h.now.Add(50 * time.Millisecond)
		h.perform(h.agent.Tick(h.now))
		Expect(len(h.engine.loading)).To(Equal(1), "limit after loads that took a second")
	})

	It("the load that serves the most requests comes first", func() {
		h := newHarness(8)
		h.reserve(1, "rare1", firstEventDue(time.Second))
		h.reserve(2, "rare2", firstEventDue(time.Second))
		h.reserve(3, "rare3", firstEventDue(time.Second))
		for n := range uint64(3) {
			h.reserve(10+n, "asked", firstEventDue(time.Second))
		}
		h.advance(400 * time.Millisecond)
		var order []string
		for _, o := range h.engine.log {
			order = append(order, o.Adapter.Name)
		}
		// Two loads may run at once, so rare1 and rare2 start on arrival. The next
		// load is for the three requests of asked, although rare3 arrived earlier.
		Expect(order[:3]).To(Equal([]string{"rare1", "rare2", "asked"}))
	})

	It("a request whose adapter would be loaded too late is refused at once", func() {
		h := newHarness(20)
		for n := range uint64(12) {
			h.reserve(n, fmt.Sprintf("a%d", n))
		}
		h.reserve(50, "last", func(m *wire.Reserve) { m.BudgetMS = 900 })
		Expect(h.refused[50].Code).To(Equal(result.BudgetExceeded))
		Expect(h.refused[50].RetryAfter).To(BeNumerically(">", 900*time.Millisecond))
	})

	// After a crash the engine loads its base model again. Requests that were sent
	// there in the meantime waited for longer than their callers did.
	It("an engine without its base model gets no requests", func() {
		h := newHarness(2)
		h.reserve(1, "a1")
		h.engine.restart()
		h.engine.modelNeverLoads = true
		h.advance(300 * time.Millisecond)
		Expect(h.agent.Report(h.now, true).NotReady).To(BeTrue())
		h.reserve(2, "a1")
		Expect(h.refused[2].Code).To(Equal(result.EngineUnavailable))
	})
})

// runningRequest simulates a request that gains tokens in events of five steps.
type runningRequest struct {
	// step is the time per engine step.
	step   time.Duration
	tokens float64
}

func (e *runningRequest) status(h *harness, elapsed time.Duration) engineagent.EngineStatus {
	e.tokens += float64(elapsed) / float64(e.step)
	l := h.engine.status()
	l.BatchRequests = []engineagent.BatchRequest{{ID: "x", Tokens: int(e.tokens/5) * 5, Events: 3}}
	return l
}

var _ = Describe("A report to one new session", func() {
	// Otherwise the other entries would never receive the adapter lists.
	It("does not count as the report of the adapter lists to the others", func() {
		h := newHarness(2)
		h.reserve(1, "a1")
		h.advance(300 * time.Millisecond)
		Expect(h.agent.Report(h.now, true).Held).To(Equal([]string{"m/a1"}))
		Expect(h.agent.AdapterListsReported()).To(BeFalse())
		Expect(h.agent.Report(h.now, false).Held).To(Equal([]string{"m/a1"}))
		Expect(h.agent.AdapterListsReported()).To(BeTrue())
	})
})

var _ = Describe("A slowdown of the engine by other work on its host", func() {
	// In a recorded run, four in five of the streams with a pause over the limit
	// had it while the engine read prompts at 10 instead of 24 tokens per
	// millisecond. Fewer prompts at once keep the pauses short.
	It("is detected within 200 ms, and prompts are then admitted one by one and with gaps", func() {
		h := newHarness(4)
		h.engine.resident["a1"] = 1
		h.advance(300 * time.Millisecond)
		e := &runningRequest{step: 6 * time.Millisecond, tokens: 100}
		h.runningStatus = func(elapsed time.Duration) engineagent.EngineStatus { return e.status(h, elapsed) }
		h.reserve(1, "a1")
		h.started(1)
		h.advance(3 * time.Second)
		Expect(h.agent.Report(h.now, true).Slow).To(BeFalse())

		e.step = 15 * time.Millisecond
		h.advance(200 * time.Millisecond)
		Expect(h.agent.Report(h.now, true).Slow).To(BeTrue())
		h.reserve(2, "a1", func(m *wire.Reserve) { m.PromptTokens = 600 })
		h.reserve(3, "a1", func(m *wire.Reserve) { m.PromptTokens = 600 })
		Expect(h.granted).To(Equal([]uint64{1, 2}))

		By("delaying the next prompt, because consecutive prompts make every pause a long one")
		h.started(2)
		Expect(h.granted).To(Equal([]uint64{1, 2, 3}))
		h.started(3)
		h.reserve(4, "a1", func(m *wire.Reserve) { m.PromptTokens = 600 })
		h.advance(100 * time.Millisecond)
		Expect(h.granted).To(Equal([]uint64{1, 2, 3}))
		h.advance(100 * time.Millisecond)
		Expect(h.granted).To(Equal([]uint64{1, 2, 3, 4}))

		e.step = 6 * time.Millisecond
		h.advance(300 * time.Millisecond)
		Expect(h.agent.Report(h.now, true).Slow).To(BeFalse())
	})
})

var _ = Describe("A request that would be late and that another engine may serve on time", func() {
	// Many entries choose one engine by reports that are half a second old. The last
	// requests waited there for seconds while other engines were idle.
	It("is refused at once behind a full batch, and stays where no other engine is faster", func() {
		h := newHarness(4)
		h.engine.resident["hot"] = 1
		h.advance(300 * time.Millisecond)
		for n := uint64(1); n <= 12; n++ {
			h.reserve(n, "hot", firstEventDue(600*time.Millisecond), func(m *wire.Reserve) { m.Redirect = true })
		}
		Expect(h.granted).To(Equal([]uint64{1, 2, 3, 4}))
		Expect(len(h.refused)).To(BeNumerically(">=", 6))
		Expect(h.refused[12].Code).To(Equal(result.BudgetExceeded))
		h.reserve(20, "hot", firstEventDue(600*time.Millisecond))
		Expect(h.refused).NotTo(HaveKey(uint64(20)))
	})

	It("is refused while it waits once its first event would be late", func() {
		h := newHarness(4)
		h.engine.resident["hot"] = 1
		h.advance(300 * time.Millisecond)
		for n := uint64(1); n <= 4; n++ {
			h.reserve(n, "hot")
		}
		h.reserve(5, "hot", firstEventDue(time.Second), func(m *wire.Reserve) { m.Redirect = true })
		h.advance(300 * time.Millisecond)
		Expect(h.refused).NotTo(HaveKey(uint64(5)))
		h.advance(300 * time.Millisecond)
		Expect(h.refused[5].Code).To(Equal(result.BudgetExceeded))
	})
})

var _ = Describe("A late request whose adapter does not load", func() {
	// Loads for requests that can be on time come first. The late ones waited until
	// their deadline and were refused then.
	It("is refused while more adapters are awaited on time than may load at once", func() {
		h := newHarness(20)
		h.advance(300 * time.Millisecond)
		h.capturedOrders = &[]engineagent.Order{}
		h.reserve(1, "rare", firstEventDue(300*time.Millisecond))
		h.advance(250 * time.Millisecond)
		Expect(h.refused).To(BeEmpty())
		for n := uint64(10); n < 16; n++ {
			h.reserve(n, fmt.Sprintf("b%d", n), firstEventDue(2*time.Second))
		}
		h.advance(50 * time.Millisecond)
		Expect(h.refused).To(HaveLen(1))
		Expect(h.refused[1].Code).To(Equal(result.BudgetExceeded))
		Expect(h.refused[1].RetryAfter).To(BeNumerically(">", 0))
	})
})
