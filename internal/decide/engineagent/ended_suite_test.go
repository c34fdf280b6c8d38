package engineagent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/wire"
)

var _ = Describe("A request of an entry that is lost", func() {
	// Guards against slots and adapters that stay taken by streams which the engine has
	// dropped, so that nothing else is admitted for ten seconds.
	DescribeTable("stays admitted while the engine runs it",
		func(attempt string, running, waiting int, batch []engineagent.BatchRequest, want int) {
			h := newHarness(2)
			h.advance(300 * time.Millisecond)
			h.reserve(1, "a1", func(m *wire.Reserve) { m.CallerAttempt = attempt })
			h.advance(time.Second)
			Expect(h.agent.Running()).To(Equal(1))
			h.runningStatus = func(time.Duration) engineagent.EngineStatus {
				s := h.engine.status()
				s.Running, s.Waiting, s.BatchRequests = running, waiting, batch
				return s
			}
			h.perform(h.agent.SessionLost(h.now, 1))
			h.advance(200 * time.Millisecond)
			Expect(h.agent.Running()).To(Equal(1), "it may be on its way to the engine")
			h.advance(1500 * time.Millisecond)
			Expect(h.agent.Running()).To(Equal(want))
			h.advance(11 * time.Second)
			Expect(h.agent.Running()).To(Equal(0))
		},
		Entry("and is released when it runs nothing", "x", 0, 0, nil, 0),
		Entry("of a former build, too", "", 0, 0, nil, 0),
		Entry("and is released when it runs others only", "x", 1, 0, []engineagent.BatchRequest{{ID: "y"}}, 0),
		Entry("as its batch shows", "x", 1, 0, []engineagent.BatchRequest{{ID: "x"}}, 1),
		Entry("or may, because some wait there", "x", 1, 1, []engineagent.BatchRequest{{ID: "y"}}, 1),
		Entry("or may, because its ID is not known", "", 1, 0, []engineagent.BatchRequest{{ID: "y"}}, 1),
	)
})
