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

// change is one difference from a first attempt of an idempotent request that
// the target refused.
type change func(*retry.Attempt)

func code(c result.Code) change   { return func(a *retry.Attempt) { a.Code = c } }
func number(n int) change         { return func(a *retry.Attempt) { a.Number = n } }
func overloads(n int) change      { return func(a *retry.Attempt) { a.Overloads = n } }
func left(d time.Duration) change { return func(a *retry.Attempt) { a.Left = d } }
func same(advice time.Duration) change {
	return func(a *retry.Attempt) { a.SameTarget, a.RetryAfter = true, advice }
}
func once(a *retry.Attempt)      { a.Repeatable = false }
func sent(a *retry.Attempt)      { a.Sent = true }
func delivered(a *retry.Attempt) { a.Delivered = true }

func attempt(changes ...change) retry.Attempt {
	a := retry.Attempt{Code: result.SessionLost, Number: 1, Repeatable: true, Left: time.Second}
	for _, c := range changes {
		c(&a)
	}
	return a
}

func policy(cfg retry.Config) *retry.Policy { return retry.New(cfg, rand.New(rand.NewSource(1))) }

var _ = Describe("Policy", func() {
	DescribeTable("decides about", func(want retry.Stop, changes ...change) {
		Expect(policy(retry.DefaultConfig()).Next(attempt(changes...)).Stop).To(Equal(want))
	},
		Entry("a lost session", retry.Retry),
		Entry("a cut answer", retry.Retry, code(result.AnswerCut)),
		Entry("a wrong adapter", retry.Retry, code(result.WrongAdapter)),
		Entry("a refusal of a call that runs once", retry.Retry, once),
		Entry("a failure of a call that runs once", retry.StopCode, once, code(result.EngineFailed)),
		Entry("an unknown outcome", retry.StopCode, code(result.OutcomeUnknown)),
		Entry("a key of another home", retry.StopCode, once, code(result.NotHome)),
		Entry("a sent call that runs once", retry.StopSent, once, sent, code(result.CancelledNotRun)),
		Entry("a sent idempotent request", retry.Retry, sent, code(result.CancelledNotRun)),
		Entry("an answer that reached the caller in part", retry.StopDelivered, delivered, code(result.AnswerCut)),
		Entry("the last attempt", retry.StopAttempts, number(4)),
		Entry("no time left", retry.StopTime, left(0)),
		Entry("time past the deadline", retry.StopTime, left(-time.Second)),
		Entry("a first refusal for overload", retry.Retry, code(result.QueueFull), overloads(1)),
		Entry("a second refusal for overload", retry.StopOverload, code(result.BudgetExceeded), number(2), overloads(2)),
		Entry("advice beyond the budget", retry.StopTime, same(2*time.Second)),
		Entry("success", retry.StopCode, code(result.OK)),
	)

	// The rules of once-only and of whole answers hold for the naive policy.
	DescribeTable("keeps answers and effects safe without limits", func(want retry.Stop, changes ...change) {
		cfg := retry.DefaultConfig()
		cfg.Unlimited = true
		Expect(policy(cfg).Next(attempt(changes...)).Stop).To(Equal(want))
	},
		Entry("many attempts", retry.Retry, number(400), code(result.QueueFull), overloads(400)),
		Entry("a sent call that runs once", retry.StopSent, once, sent),
		Entry("a delivered part", retry.StopDelivered, delivered),
	)

	It("bounds retries to a share of traffic", func() {
		cfg := retry.DefaultConfig()
		p, naive := policy(cfg), policy(retry.Config{Unlimited: true})
		retried, unlimited := 0, 0
		for range 1000 {
			p.Admit()
			naive.Admit()
			for n := 1; n <= 10; n++ {
				if p.Next(attempt(number(n))).Stop == retry.Retry {
					retried++
				}
				if naive.Next(attempt(number(n))).Stop == retry.Retry {
					unlimited++
				}
			}
		}
		Expect(retried).To(BeNumerically("<=", 220), "20% and the burst of 20")
		Expect(retried).To(BeNumerically(">=", 180))
		Expect(unlimited).To(Equal(10_000))
	})

	It("stops retrying refusals while the pool refuses much, and only then", func() {
		p := policy(retry.DefaultConfig())
		refusal := attempt(code(result.QueueFull), overloads(1))
		for range 64 {
			p.Ended(result.QueueFull)
		}
		Expect(p.Next(refusal).Stop).To(Equal(retry.StopOverload))
		Expect(p.Next(attempt()).Stop).To(Equal(retry.Retry), "another failure is no overload")
		for range 200 {
			p.Ended(result.OK)
		}
		Expect(p.Next(refusal).Stop).To(Equal(retry.Retry))
	})

	It("spreads delays over the whole of a growing range", func() {
		cfg := retry.DefaultConfig()
		cfg.BudgetBurst, cfg.MaxAttempts = 1e6, 100
		p := policy(cfg)
		Expect(p.Next(attempt()).Delay).To(BeZero(), "another target is tried at once")
		for n, ceiling := range map[int]time.Duration{2: 10 * time.Millisecond, 4: 40 * time.Millisecond, 60: cfg.MaxDelay} {
			low, high := time.Hour, time.Duration(0)
			for range 2000 {
				delay := p.Next(attempt(number(n))).Delay
				low, high = min(low, delay), max(high, delay)
			}
			Expect(low).To(BeNumerically("<", ceiling/50))
			Expect(high).To(And(BeNumerically("<=", ceiling), BeNumerically(">", ceiling*49/50)))
		}
		Expect(p.Next(attempt(same(300 * time.Millisecond))).Delay).To(Equal(300 * time.Millisecond))
	})

	It("names a counter for every reason", func() {
		names := make(map[string]bool)
		for stop := retry.StopCode; stop <= retry.StopSent; stop++ {
			names[stop.Counter()] = true
		}
		Expect(names).To(HaveLen(int(retry.StopSent)))
		Expect(names).NotTo(HaveKey("not_retried_undefined"))
		Expect(retry.Counter(result.QueueFull)).To(Equal("retried_queue_full"))
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

	It("waits for a measure", func() {
		h := retry.NewHedger(retry.DefaultConfig())
		feed(h, 40, func(int) time.Duration { return ms(100) })
		_, ok := h.Delay(kind)
		Expect(ok).To(BeFalse())
		_, ok = h.Relative(kind, ms(100))
		Expect(ok).To(BeFalse())
		feed(h, 40, func(int) time.Duration { return ms(100) })
		relative, _ := h.Relative(kind, ms(500))
		Expect(relative).To(BeNumerically("~", 5, 0.5))
	})

	DescribeTable("hedges after", func(low, high int, sample func(i int) time.Duration) {
		h := retry.NewHedger(retry.DefaultConfig())
		feed(h, 3000, sample)
		delay, ok := h.Delay(kind)
		Expect(ok).To(BeTrue())
		Expect(delay).To(And(BeNumerically(">=", ms(low)), BeNumerically("<=", ms(high))))
	},
		Entry("the 95% quantile, within the resolution of 9%", 190, 219, func(i int) time.Duration { return ms(100 + i%106) }),
		Entry("three medians when stragglers hold the quantile", 300, 330, func(i int) time.Duration {
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

	It("stays off when it is switched off", func() {
		cfg := retry.DefaultConfig()
		cfg.HedgeQuantile = 0
		h := retry.NewHedger(cfg)
		feed(h, 1000, func(int) time.Duration { return ms(100) })
		_, ok := h.Delay(kind)
		Expect(ok).To(BeFalse())
	})

	It("bounds hedges to a share of traffic", func() {
		h := retry.NewHedger(retry.DefaultConfig())
		hedged := 0
		for range 1000 {
			h.Admit()
			if h.Spend() {
				hedged++
			}
		}
		Expect(hedged).To(And(BeNumerically("<=", 60), BeNumerically(">=", 50)))
	})
})
