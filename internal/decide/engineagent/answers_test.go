package engineagent_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
)

// repeatedAnswers makes an engine answer calls on kept connections with answers to earlier
// ones.
type repeatedAnswers struct {
	*harness
	random *rand.Rand
	// share is that of the repeated answers.
	share    float64
	reports  []engineagent.EngineStatus
	outcomes []engineagent.OrderOutcome
	// newConnections counts the calls that need connections of their own.
	newConnections int
}

func (r *repeatedAnswers) isRepeated(newConnection bool) bool {
	if newConnection {
		r.newConnections++
		return false
	}
	return r.random.Float64() < r.share
}

func (r *repeatedAnswers) do(actions []engineagent.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case engineagent.PollEngine:
			report := r.engine.status()
			r.reports = append(r.reports, report)
			if r.isRepeated(x.NewConnection) {
				report = r.reports[r.random.Intn(len(r.reports))]
			}
			report.KeptConnection = !x.NewConnection
			r.do(r.agent.PollSucceeded(r.now, report))
		case engineagent.SendOrder:
			outcome := r.engine.order(x.Order)
			r.outcomes = append(r.outcomes, outcome)
			if r.isRepeated(x.NewConnection) {
				outcome = r.outcomes[r.random.Intn(len(r.outcomes))]
			}
			r.do(r.agent.OrderCompleted(r.now, outcome))
		default:
			r.perform([]engineagent.Action{x})
		}
	}
}

func (r *repeatedAnswers) tick(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(25 * time.Millisecond)
		if r.now.Sub(start)%(250*time.Millisecond) == 0 {
			r.engine.finishLoads()
		}
		r.do(r.agent.Tick(r.now))
	}
}

var _ = Describe("Answers of an engine that belong to earlier calls", func() {
	adapter := engineagent.Adapter{Model: "m", Name: "a1"}
	kept := func(s engineagent.EngineStatus) engineagent.EngineStatus {
		s.KeptConnection = true
		return s
	}
	// poll ends the waiting time until the next poll and returns the poll.
	poll := func(h *harness) engineagent.PollEngine {
		h.now = h.now.Add(engineagent.IdlePollInterval)
		var polls []engineagent.PollEngine
		for _, x := range h.agent.Tick(h.now) {
			if p, ok := x.(engineagent.PollEngine); ok {
				polls = append(polls, p)
			}
		}
		Expect(polls).To(HaveLen(1))
		return polls[0]
	}

	// Guards against a report of before that is taken for the present one.
	It("do not take the view of the engine back", func() {
		h := newHarness(2)
		before := h.engine.status()
		h.reserve(1, "a1")
		h.advance(300 * time.Millisecond)
		Expect(h.agent.Status().AcceptedOrders).To(BeEquivalentTo(1))
		poll(h)
		Expect(h.agent.Believes(kept(before))).To(BeFalse())
		Expect(h.agent.PollSucceeded(h.now, kept(before))).To(Equal([]engineagent.Action{engineagent.PollEngine{NewConnection: true}}))
		Expect(h.agent.Status().Held).To(HaveKey(adapter))
		Expect(h.rec.counts["engine_reports_outdated"]).To(Equal(1))
	})

	// Guards against requests that are released because an engine seems to have restarted.
	It("do not bring an earlier incarnation back, but one on a new connection does", func() {
		h := newHarness(2)
		h.engine.incarnation = 5
		h.advance(300 * time.Millisecond)
		h.reserve(1, "a1")
		h.advance(300 * time.Millisecond)
		before := engineagent.EngineStatus{StartedAtMS: 4, AcceptedOrders: 9, Models: []string{"m"}}
		poll(h)
		h.agent.PollSucceeded(h.now, kept(before))
		Expect(h.agent.Running()).To(Equal(1))
		Expect(h.rec.counts["engine_restarts"]).To(Equal(1))
		h.agent.PollSucceeded(h.now, before)
		Expect(h.agent.Running()).To(BeZero())
		Expect(h.rec.counts["engine_restarts"]).To(Equal(2))
	})

	// Guards against a fenced order that counts as accepted for ever.
	It("do not hide that an order was fenced", func() {
		h := newHarness(2)
		h.engine.fence = 15_000
		h.capturedOrders = &[]engineagent.Order{}
		h.reserve(1, "a1")
		h.advance(50 * time.Millisecond)
		Expect(*h.capturedOrders).To(HaveLen(1))
		Expect(h.engine.order((*h.capturedOrders)[0])).To(Equal(engineagent.OrderFenced))
		h.capturedOrders = nil
		h.perform(h.agent.OrderCompleted(h.now, engineagent.OrderAccepted))
		Expect(h.rec.counts["order_answers_contradicted"]).To(Equal(1))
		h.advance(time.Second)
		Expect(h.granted).To(Equal([]uint64{1}))
	})

	// Guards against requests that are refused though their adapter loads.
	It("do not refuse the requests of an order that was accepted", func() {
		h := newHarness(2)
		h.capturedOrders = &[]engineagent.Order{}
		h.reserve(1, "a1")
		h.advance(50 * time.Millisecond)
		Expect(h.engine.order((*h.capturedOrders)[0])).To(Equal(engineagent.OrderAccepted))
		h.capturedOrders = nil
		h.perform(h.agent.OrderCompleted(h.now, engineagent.OrderRefused))
		Expect(h.refused).To(BeEmpty())
		h.advance(300 * time.Millisecond)
		Expect(h.granted).To(Equal([]uint64{1}))
		Expect(h.engine.log).To(HaveLen(1))
	})

	// Guards against a rate limit that ends with a report from before it began.
	It("do not end the need of an engine that names a rate", func() {
		h := newHarness(2)
		h.advance(300 * time.Millisecond)
		h.agent.Notified(h.now, engineagent.Notice{RateLimit: 2})
		poll(h)
		h.agent.PollSucceeded(h.now, kept(h.engine.status()))
		Expect(h.agent.PollNamedNoRate(h.now, h.now.Add(-time.Millisecond))).To(BeFalse())
		Expect(h.agent.RateLimit().Rate).To(Equal(2.0))
		Expect(poll(h)).To(Equal(engineagent.PollEngine{NewConnection: true}))
		h.agent.PollSucceeded(h.now, h.engine.status())
		Expect(h.agent.PollNamedNoRate(h.now, h.now.Add(-time.Millisecond))).To(BeTrue())
	})

	It("that are noticed keep polls off kept connections for a while", func() {
		h := newHarness(2)
		h.advance(300 * time.Millisecond)
		Expect(poll(h).NewConnection).To(BeFalse())
		h.agent.PollSucceeded(h.now, kept(h.engine.status()))
		h.agent.Notified(h.now, engineagent.Notice{ExtraAnswer: true})
		Expect(poll(h).NewConnection).To(BeTrue())
		h.agent.PollSucceeded(h.now, h.engine.status())
		h.advance(6 * time.Second)
		Expect(poll(h).NewConnection).To(BeFalse())
	})

	// Guards against orders over the slots, lost loads and fences that are not noticed,
	// whatever is repeated.
	It("cost no load and no slot, at random", func() {
		for seed := range int64(200) {
			r := &repeatedAnswers{harness: newHarness(3), random: rand.New(rand.NewSource(seed)), share: 0.5}
			for n := range uint64(40) {
				switch r.random.Intn(10) {
				case 0:
					r.engine.restart()
				case 1:
					r.engine.fence += uint64(r.random.Intn(15_000))
				}
				r.reserveOne(n)
				r.tick(100 * time.Millisecond)
				r.do(r.agent.Release(r.now, id(n)))
			}
			Expect(r.engine.broken).To(BeFalse(), "seed %d", seed)
			granted := len(r.granted)
			for n := range uint64(20) {
				r.reserveOne(100 + n)
				r.tick(400 * time.Millisecond)
			}
			Expect(len(r.granted)).To(BeNumerically(">", granted), "seed %d: %v", seed, r.rec.counts)
			Expect(r.agent.Status().AcceptedOrders).To(Equal(r.engine.orders), "seed %d", seed)
		}
	})
})

// reserveOne reserves for one of a few adapters.
func (r *repeatedAnswers) reserveOne(n uint64) {
	m := reserveMessage(n, fmt.Sprintf("a%d", n%7))
	m.BudgetMS = 8000
	r.do(r.agent.Reserve(r.now, 1, m))
}
