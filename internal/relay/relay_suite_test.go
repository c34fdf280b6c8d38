package relay

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/knownred"
	"agatelanding.example/agatelanding/internal/result"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	knownred.RunSpecs(t, "relay")
}

var (
	nonIdempotentRoute = &catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 1}
	idempotentRoute    = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: 150 * time.Millisecond}
	streamRoute        = &catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, LatencyTarget: time.Second, MaxEventGap: 300 * time.Millisecond}
	resumableRoute     = &catalog.Route{
		Kind: catalog.Stream, Resumable: true, MaxAttempts: 2, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond,
	}
)

var _ = Describe("A retry", func() {
	DescribeTable("follows the attempt timeout, which is", func(route *catalog.Route, possibleRuns int, want time.Duration) {
		Expect(attemptTimeout(route, possibleRuns)).To(Equal(want))
	},
		Entry("0 (none) for a non-idempotent request", nonIdempotentRoute, 1, time.Duration(0)),
		Entry("a multiple of the latency target of an idempotent request", idempotentRoute, 1, 375*time.Millisecond),
		Entry("0 (none) for the last attempt", idempotentRoute, 2, time.Duration(0)),
		Entry("shorter than callers wait for an event of a resumable stream", resumableRoute, 1, 1300*time.Millisecond),
	)
})

var _ = Describe("A request without a response", func() {
	// 503 promises that the request did not run and never will.
	DescribeTable("ends with", func(mayHaveRun bool, lastCode result.Code, deadlineReached bool, code result.Code, httpCode int) {
		got := refusalCode(mayHaveRun, lastCode, deadlineReached)
		Expect(got).To(Equal(code))
		Expect(httpStatus(got, mayHaveRun)).To(Equal(httpCode))
	},
		Entry("not run, if no target got it", false, result.OK, false, result.DeadlinePassed, 503),
		Entry("the code of the last refusal", false, result.QueueFull, true, result.QueueFull, 503),
		Entry("no claim that it did not run, if a target may have run it", true, result.QueueFull, false, result.AnswerCut, 502),
		Entry("not run, if a part of its prompt is quarantined", false, result.PromptQuarantined, false, result.PromptQuarantined, 503),
		Entry("no claim that it did not run, at its deadline", true, result.OK, true, result.Cancelled, 504),
	)

	It("gets a random Retry-After, and none longer than callers follow", func() {
		Expect(callerRetryAfter(400*time.Millisecond, 15*time.Second, 0)).To(Equal(600 * time.Millisecond))
		Expect(callerRetryAfter(400*time.Millisecond, 15*time.Second, 1)).To(Equal(1400 * time.Millisecond))
		Expect(callerRetryAfter(5*time.Second, 3*time.Second, 0.5)).To(Equal(time.Second))
		Expect(callerRetryAfter(0, 3*time.Second, 0.5)).To(Equal(20 * time.Millisecond))
	})

	It("waits for a target for less time than its caller waits for a first event", func() {
		Expect(maxTargetWait(resumableRoute, 15*time.Second)).To(BeNumerically("<", 2*time.Second))
		Expect(maxTargetWait(nonIdempotentRoute, 800*time.Millisecond)).To(Equal(560 * time.Millisecond))
	})
})
