package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/admission"
)

// The naive policy has the limit that keeps 38 ms between tokens with all
// adapter slots in the batch; the chosen one finds its own limit below 32.
var (
	naive  = admission.Config{MaxRunning: engineRunning, QueueLimit: 1000, FIFO: true}
	static = admission.Config{MaxRunning: engineRunning, QueueLimit: 1000, LongShare: 0.25, StaticLimit: true}
	chosen = admission.Config{MaxRunning: 2 * engineRunning, QueueLimit: 1000, LongShare: 0.25}
)

const shortBudget = 2 * time.Second

// compare runs the same trace under several policies and reports each.
func compare(l load, from, to time.Duration, policies ...admission.Config) []*outcome {
	var list []*outcome
	for _, cfg := range policies {
		o := runTrace(cfg, l.trace(), from, to)
		GinkgoWriter.Printf("seed %d, budget %v, long %.2f, running %d, FIFO %t: %v\n",
			l.seed, l.budget, l.longShare, cfg.MaxRunning, cfg.FIFO, o)
		list = append(list, o)
	}
	return list
}

var _ = Describe("Against the FIFO queue on the same trace", func() {
	for _, seed := range []int64{1, 2, 3} {
		// Short requests that wait behind long ones miss their budget
		// although the engine has room for them.
		It("keeps short p99 within 1.3 times with 5% long work", func() {
			l := load{seed: seed, length: 600 * time.Second, rate: steady(6), budget: shortBudget, adapters: engineSlots}
			without := compare(l, 20*time.Second, l.length, naive, static, chosen)
			l.longShare = 0.05
			with := compare(l, 20*time.Second, l.length, naive, static, chosen)
			whole := func(o *outcome) float64 { return quantile(o.whole, 0.99).Seconds() }
			first := func(o *outcome) float64 { return quantile(o.first, 0.99).Seconds() }
			Expect(whole(with[1])).To(BeNumerically("<=", 1.3*whole(without[1])))
			Expect(whole(with[2])).To(BeNumerically("<=", 1.3*whole(without[2])))
			Expect(first(with[2])).To(BeNumerically("<=", 1.3*first(without[2])))
			Expect(whole(with[1])).To(BeNumerically("<", whole(with[0])))
		})

		// A queue that keeps requests past their budget spends the whole
		// peak on answers that nobody waits for.
		It("answers through a peak of 10 times", func() {
			saturated := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: shortBudget, adapters: engineSlots}
			peak := load{seed: seed, length: 60 * time.Second, rate: peakRate, budget: shortBudget, adapters: engineSlots}
			const from, to = 20 * time.Second, 42 * time.Second
			for _, cfg := range []admission.Config{static, chosen} {
				capacity := float64(compare(saturated, 20*time.Second, 120*time.Second, cfg)[0].answered) / 100
				o := compare(peak, from, to, naive, cfg)
				Expect(o[1].answered).To(BeNumerically(">=", 2*o[0].answered))
				Expect(float64(o[1].answered)).To(BeNumerically(">=", 0.9*capacity*(to-from).Seconds()))
				Expect(o[1].late).To(BeNumerically("<=", o[1].answered/50))
			}
		})

		// An admitted request that ends in the queue has lost the time in
		// which another target could have answered it.
		It("keeps what it admits even with a budget of a few starts", func() {
			l := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: 570 * time.Millisecond, adapters: engineSlots}
			o := compare(l, 20*time.Second, l.length, naive, static)
			Expect(o[1].expired + o[1].late).To(BeNumerically("<=", o[1].answered/20))
		})

		// Each adapter more in a batch makes every step longer.
		It("runs fewer adapters at once and more tokens a second", func() {
			l := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: 10 * time.Second, adapters: engineSlots}
			o := compare(l, 20*time.Second, l.length, naive, static)
			Expect(o[1].distinctPerStep()).To(BeNumerically("<", o[0].distinctPerStep()))
			Expect(o[1].tokensPerSecond()).To(BeNumerically(">=", 1.3*o[0].tokensPerSecond()))
		})

		// A limit above what the engine sustains shows in the time between
		// tokens of all requests; one below it wastes the engine.
		It("finds a limit that keeps 38 ms between tokens", func() {
			l := load{seed: seed, length: 300 * time.Second, rate: steady(20), budget: shortBudget, adapters: engineSlots}
			o := compare(l, 100*time.Second, l.length, static, chosen)
			Expect(float64(o[1].slow)).To(BeNumerically("<=", 0.05*float64(o[1].ended)))
			Expect(o[1].tokensPerSecond()).To(BeNumerically(">=", o[0].tokensPerSecond()))
		})
	}
})

var _ = Describe("Where the policies must agree", func() {
	l := load{seed: 1, length: 60 * time.Second, rate: steady(30), budget: 5 * time.Minute, adapters: 2, hot: 1}

	// With one adapter, one class and enough budget there is nothing to
	// reorder or refuse; a difference is a fault in the lanes.
	It("starts one adapter in the order of arrival, as FIFO does", func() {
		o := compare(l, 0, l.length, naive, static)
		Expect(o[1]).To(Equal(o[0]))
	})

	// An experiment that is repeated with its seed must give the same table.
	It("gives the same result for the same trace", func() {
		l := l
		l.budget, l.adapters, l.hot, l.longShare = shortBudget, engineSlots, 0.3, 0.05
		o := compare(l, 0, l.length, chosen, chosen)
		Expect(o[1]).To(Equal(o[0]))
	})
})

func peakRate(at time.Duration) float64 {
	const normal, peak = 5.0, 50.0
	switch ramp := (at - 20*time.Second).Seconds() / 2; {
	case ramp < 0 || at > 42*time.Second:
		return normal
	case ramp < 1:
		return normal + ramp*(peak-normal)
	}
	return peak
}
