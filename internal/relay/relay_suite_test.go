package relay

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var (
	unsafe    = &catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 1}
	safe      = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: 150 * time.Millisecond}
	stream    = &catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, LatencyTarget: time.Second, PauseTarget: 300 * time.Millisecond}
	resumable = &catalog.Route{
		Kind: catalog.Stream, Resumable: true, MaxAttempts: 2, LatencyTarget: 600 * time.Millisecond, PauseTarget: 300 * time.Millisecond,
	}
)

var _ = Describe("Another attempt", func() {
	// Each line is a way to run a request twice, or to give up one that has
	// not run.
	DescribeTable("is made", func(route *catalog.Route, h history, lastRan, want bool) {
		Expect(h.mayTryAgain(route, time.Second, lastRan)).To(Equal(want))
	},
		Entry("never for a non-idempotent request that may have run", unsafe, history{sends: 1, ran: 1}, true, false),
		Entry("for a non-idempotent request that was declined", unsafe, history{sends: 1}, false, true),
		Entry("not beyond some targets that decline", unsafe, history{sends: 3}, false, false),
		Entry("for an idempotent request that failed", safe, history{sends: 1, ran: 1}, true, true),
		Entry("not beyond the route's attempts", safe, history{sends: 2, ran: 2}, true, false),
		Entry("not for a stream that may not be resumed", stream, history{sends: 1, ran: 1}, true, false),
		Entry("for a resumable stream", resumable, history{sends: 1, ran: 1}, true, true),
	)

	It("is not made without time for it", func() {
		h := history{}
		Expect(h.mayTryAgain(safe, 10*time.Millisecond, false)).To(BeFalse())
	})

	DescribeTable("follows a silence of", func(route *catalog.Route, h history, want time.Duration) {
		Expect(attemptLimit(route, &h)).To(Equal(want))
	},
		Entry("nothing for what may run once", unsafe, history{}, time.Duration(0)),
		Entry("a multiple of the latency target", safe, history{}, 375*time.Millisecond),
		Entry("nothing for the last attempt", safe, history{ran: 1}, time.Duration(0)),
		Entry("less than callers wait for an event", resumable, history{}, 1300*time.Millisecond),
	)
})

var _ = Describe("A request without an answer", func() {
	// 503 promises that the request did not run and never will.
	DescribeTable("ends with", func(h history, late bool, code result.Code, http int) {
		got := h.refusal(late)
		Expect(got).To(Equal(code))
		Expect(status(got)).To(Equal(http))
	},
		Entry("not run, if no target had it", history{}, false, result.DeadlinePassed, 503),
		Entry("the reason of the last refusal", history{cause: result.QueueFull}, true, result.QueueFull, 503),
		Entry("nothing promised, if a target had it", history{ran: 1, cause: result.QueueFull}, false, result.AnswerCut, 502),
		Entry("nothing promised, at its deadline", history{ran: 1}, true, result.Cancelled, 504),
	)

	It("is never told to come back later than callers follow, and callers are spread", func() {
		Expect(returnAfter(400*time.Millisecond, 15*time.Second, 0)).To(Equal(600 * time.Millisecond))
		Expect(returnAfter(400*time.Millisecond, 15*time.Second, 1)).To(Equal(1400 * time.Millisecond))
		Expect(returnAfter(5*time.Second, 3*time.Second, 0.5)).To(Equal(time.Second))
		Expect(returnAfter(0, 3*time.Second, 0.5)).To(Equal(20 * time.Millisecond))
	})

	It("waits for a target no longer than its caller waits for a first event", func() {
		Expect(waitLimit(resumable, 15*time.Second)).To(BeNumerically("<", 2*time.Second))
		Expect(waitLimit(unsafe, 800*time.Millisecond)).To(Equal(560 * time.Millisecond))
	})
})
