package retry_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// change is one difference from the base case: the first attempt of a
// repeatable request, which ended with a lost session.
type change func(*retry.Attempt)

func code(c result.Code) change       { return func(a *retry.Attempt) { a.Code = c } }
func number(n int) change             { return func(a *retry.Attempt) { a.FailedAttempts = n } }
func overloads(n int) change          { return func(a *retry.Attempt) { a.OverloadRefusals = n } }
func timeLeft(d time.Duration) change { return func(a *retry.Attempt) { a.TimeLeft = d } }
func sameTarget(retryAfter time.Duration) change {
	return func(a *retry.Attempt) { a.SameTarget, a.RetryAfter = true, retryAfter }
}
func notRepeatable(a *retry.Attempt) { a.Repeatable = false }
func sent(a *retry.Attempt)          { a.RunSent = true }
func delivered(a *retry.Attempt)     { a.Delivered = true }

func attempt(changes ...change) retry.Attempt {
	a := retry.Attempt{Code: result.SessionLost, FailedAttempts: 1, Repeatable: true, TimeLeft: time.Second}
	for _, c := range changes {
		c(&a)
	}
	return a
}

func policy(cfg retry.Config) *retry.Policy { return retry.New(cfg, rand.New(rand.NewSource(1))) }

var _ = Describe("Policy", func() {
	// Guards against failures that are returned although a retry is safe and
	// can help, and against retries that are unsafe or useless.
	DescribeTable("decides about", func(want retry.StopReason, changes ...change) {
		Expect(policy(retry.DefaultConfig()).Next(attempt(changes...)).Stop).To(Equal(want))
	},
		Entry("a lost session", retry.StopNone),
		Entry("a cut answer", retry.StopNone, code(result.AnswerCut)),
		Entry("a wrong adapter", retry.StopNone, code(result.WrongAdapter)),
		Entry("a refusal of a request that may not be repeated", retry.StopNone, notRepeatable),
		Entry("a failure of a request that may not be repeated", retry.StopCode, notRepeatable, code(result.EngineFailed)),
		Entry("an unknown outcome", retry.StopCode, code(result.OutcomeUnknown)),
		Entry("a key whose home is another target", retry.StopCode, notRepeatable, code(result.NotHome)),
		Entry("a sent request that may not be repeated", retry.StopSent, notRepeatable, sent, code(result.CancelledNotRun)),
		Entry("a sent request that may be repeated", retry.StopNone, sent, code(result.CancelledNotRun)),
		Entry("an answer that reached the caller in part", retry.StopDelivered, delivered, code(result.AnswerCut)),
		Entry("the last attempt", retry.StopAttempts, number(4)),
		Entry("no time left", retry.StopTime, timeLeft(0)),
		Entry("time past the deadline", retry.StopTime, timeLeft(-time.Second)),
		Entry("a first refusal for overload", retry.StopNone, code(result.QueueFull), overloads(1)),
		Entry("a second refusal for overload", retry.StopOverload, code(result.BudgetExceeded), number(2), overloads(2)),
		Entry("a Retry-After beyond the deadline", retry.StopTime, sameTarget(2*time.Second)),
		Entry("success", retry.StopCode, code(result.OK)),
	)

	// Without limits, too, a request that may not be repeated must not run
	// twice, and an answer must not consist of parts of two attempts.
	DescribeTable("keeps answers and effects safe without limits", func(want retry.StopReason, changes ...change) {
		cfg := retry.DefaultConfig()
		cfg.Unlimited = true
		Expect(policy(cfg).Next(attempt(changes...)).Stop).To(Equal(want))
	},
		Entry("many attempts", retry.StopNone, number(400), code(result.QueueFull), overloads(400)),
		Entry("a sent request that may not be repeated", retry.StopSent, notRepeatable, sent),
		Entry("an answer that reached the caller in part", retry.StopDelivered, delivered),
	)

	// Without the bound, retries of failed requests multiply the load of
	// targets that fail.
	It("bounds retries to a share of the requests", func() {
		cfg := retry.DefaultConfig()
		p, unlimited := policy(cfg), policy(retry.Config{Unlimited: true})
		retried, retriedUnlimited := 0, 0
		for range 1000 {
			p.CountRequest()
			unlimited.CountRequest()
			for n := 1; n <= 10; n++ {
				if p.Next(attempt(number(n))).Stop == retry.StopNone {
					retried++
				}
				if unlimited.Next(attempt(number(n))).Stop == retry.StopNone {
					retriedUnlimited++
				}
			}
		}
		Expect(retried).To(BeNumerically("<=", 220), "20% and the burst of 20")
		Expect(retried).To(BeNumerically(">=", 180))
		Expect(retriedUnlimited).To(Equal(10_000))
	})

	// Retries of refusals in an overloaded pool only add load. Other failures
	// must still be retried, and refusals again once the overload is over.
	It("stops retrying refusals while the pool refuses a large share, and only then", func() {
		p := policy(retry.DefaultConfig())
		refusal := attempt(code(result.QueueFull), overloads(1))
		for range 64 {
			p.RecordResult(result.QueueFull)
		}
		Expect(p.Next(refusal).Stop).To(Equal(retry.StopOverload))
		Expect(p.Next(attempt()).Stop).To(Equal(retry.StopNone), "a failure that is not a refusal for overload")
		for range 200 {
			p.RecordResult(result.OK)
		}
		Expect(p.Next(refusal).Stop).To(Equal(retry.StopNone))
	})

	// Without random delays, requests that failed together would be retried
	// together.
	It("spreads delays over a whole range that grows", func() {
		cfg := retry.DefaultConfig()
		cfg.BudgetBurst, cfg.MaxAttempts = 1e6, 100
		p := policy(cfg)
		Expect(p.Next(attempt()).Delay).To(BeZero(), "another target is tried at once")
		for n, ceiling := range map[int]time.Duration{2: 10 * time.Millisecond, 4: 40 * time.Millisecond, 60: cfg.MaxBackoff} {
			low, high := time.Hour, time.Duration(0)
			for range 2000 {
				delay := p.Next(attempt(number(n))).Delay
				low, high = min(low, delay), max(high, delay)
			}
			Expect(low).To(BeNumerically("<", ceiling/50))
			Expect(high).To(And(BeNumerically("<=", ceiling), BeNumerically(">", ceiling*49/50)))
		}
		Expect(p.Next(attempt(sameTarget(300 * time.Millisecond))).Delay).To(Equal(300 * time.Millisecond))
	})

	// A reason without a name would be counted under "not_retried_undefined".
	It("names a counter for every reason", func() {
		names := make(map[string]bool)
		for stop := retry.StopCode; stop <= retry.StopSent; stop++ {
			names[stop.Counter()] = true
		}
		Expect(names).To(HaveLen(int(retry.StopSent)))
		Expect(names).NotTo(HaveKey("not_retried_undefined"))
		Expect(retry.RetriedCounter(result.QueueFull)).To(Equal("retried_queue_full"))
	})
})

var _ = Describe("Hedger", func() {
	kind := retry.Kind{Class: "short", Stream: true}
	feed := func(h *retry.Hedger, n int, sample func(i int) time.Duration) {
		for i := range n {
			h.Observe(kind, sample(i))
		}
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }

	// A median of few samples is noise: hedges would be sent too early, and
	// healthy targets would seem slow.
	It("returns no delay while there are too few samples", func() {
		h := retry.NewHedger(retry.DefaultConfig())
		feed(h, 40, func(int) time.Duration { return ms(100) })
		_, ok := h.HedgeDelay(kind)
		Expect(ok).To(BeFalse())
		_, ok = h.LatencyRatio(kind, ms(100))
		Expect(ok).To(BeFalse())
		feed(h, 40, func(int) time.Duration { return ms(100) })
		relative, _ := h.LatencyRatio(kind, ms(500))
		Expect(relative).To(BeNumerically("~", 5, 0.5))
	})

	// Guards against a delay that is distorted by stragglers or by latencies of
	// the past: hedges would be sent too late.
	DescribeTable("hedges after", func(low, high int, sample func(i int) time.Duration) {
		h := retry.NewHedger(retry.DefaultConfig())
		feed(h, 3000, sample)
		delay, ok := h.HedgeDelay(kind)
		Expect(ok).To(BeTrue())
		Expect(delay).To(And(BeNumerically(">=", ms(low)), BeNumerically("<=", ms(high))))
	},
		Entry("the 95% quantile, within the resolution of 9%", 190, 219, func(i int) time.Duration { return ms(100 + i%106) }),
		Entry("three medians when the quantile is the latency of stragglers", 300, 330, func(i int) time.Duration {
			if i%6 == 0 {
				return ms(500)
			}
			return ms(100)
		}),
		Entry("a quantile that follows a change", 95, 115, func(i int) time.Duration {
			if i < 1000 {
				return ms(1000)
			}
			return ms(100)
		}),
	)

	// HedgeQuantile 0 must switch hedges off although there are samples.
	It("returns no delay when hedges are switched off", func() {
		cfg := retry.DefaultConfig()
		cfg.HedgeQuantile = 0
		h := retry.NewHedger(cfg)
		feed(h, 1000, func(int) time.Duration { return ms(100) })
		_, ok := h.HedgeDelay(kind)
		Expect(ok).To(BeFalse())
	})

	// Without the bound, a pool that becomes slow would get twice the load.
	It("bounds hedges to a share of the requests", func() {
		h := retry.NewHedger(retry.DefaultConfig())
		hedged := 0
		for range 1000 {
			h.CountRequest()
			if h.Spend() {
				hedged++
			}
		}
		Expect(hedged).To(And(BeNumerically("<=", 60), BeNumerically(">=", 50)))
	})
})
