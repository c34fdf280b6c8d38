package engineagent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
)

// fullEngine answers on the kept connection and resets each new one, as an engine does that
// has all the connections it takes.
type fullEngine struct {
	*harness
	newConnections int
}

func (f *fullEngine) do(actions []engineagent.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case engineagent.PollEngine:
			if x.NewConnection {
				f.newConnections++
				f.do(f.agent.PollFailed(f.now))
				continue
			}
			report := f.engine.status()
			report.KeptConnection = true
			sentAt := f.now.Add(-time.Millisecond)
			f.do(f.agent.PollSucceeded(f.now, report))
			f.agent.PollNamedNoRate(f.now, sentAt)
		case engineagent.SendOrder:
			outcome := engineagent.OrderUnanswered
			if x.NewConnection {
				f.newConnections++
			} else {
				outcome = f.engine.order(x.Order)
			}
			f.do(f.agent.OrderCompleted(f.now, outcome))
		default:
			f.perform([]engineagent.Action{x})
		}
	}
}

var _ = Describe("An engine that takes no new connections", func() {
	// Guards against a sound engine that counts as unavailable and keeps its old rate.
	It("serves after the end of a rate limit that it has named", func() {
		f := &fullEngine{harness: newHarness(2)}
		f.advance(300 * time.Millisecond)
		f.agent.Notified(f.now, engineagent.Notice{RateLimit: 100})
		for n := range uint64(200) {
			f.now = f.now.Add(25 * time.Millisecond)
			f.do(f.agent.Tick(f.now))
			if n%3 == 0 {
				f.do(f.agent.Reserve(f.now, 1, reserveMessage(n, "")))
				f.do(f.agent.Release(f.now, id(n)))
			}
		}
		Expect(f.rec.counts["refused_engine_unavailable"]).To(BeZero(), "%d granted, %d polls on new connections, rate %v", len(f.granted), f.newConnections, f.agent.RateLimit().Rate)
		Expect(f.agent.RateLimit().Rate).To(BeZero())
	})

	// Guards against an adapter that is never loaded after an order was refused once.
	It("gets the next order after one that was refused", func() {
		f := &fullEngine{harness: newHarness(2)}
		f.advance(300 * time.Millisecond)
		f.engine.fence = 5_000
		m := reserveMessage(1, "a1")
		m.BudgetMS = 8_000
		f.do(f.agent.Reserve(f.now, 1, m))
		for range 200 {
			f.now = f.now.Add(25 * time.Millisecond)
			f.engine.finishLoads()
			f.do(f.agent.Tick(f.now))
		}
		Expect(f.granted).To(Equal([]uint64{1}), "%d orders arrived, %d calls on new connections, %v", len(f.engine.log), f.newConnections, f.rec.counts)
	})
})
