package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/admission"
)

// The three configurations are compared on the same traces. fifo and staticLimit
// use the limit at which the simulated engine needs 38 ms per token with the
// adapters of all adapter slots in the batch. adaptiveLimit starts at twice that
// limit, 32, and adapts it.
var (
	fifo          = admission.Config{MaxRunning: engineRunning, MaxWaiting: 1000, FIFO: true}
	staticLimit   = admission.Config{MaxRunning: engineRunning, MaxWaiting: 1000, MaxLongShare: 0.25, StaticLimit: true}
	adaptiveLimit = admission.Config{MaxRunning: 2 * engineRunning, MaxWaiting: 1000, MaxLongShare: 0.25}
)

const shortBudget = 2 * time.Second

// compare runs the same trace under several policies and logs each result.
func compare(l load, from, to time.Duration, policies ...admission.Config) []*traceResult {
	var list []*traceResult
	for _, cfg := range policies {
		o := runTrace(cfg, l.trace(), from, to)
		GinkgoWriter.Printf("seed %d, budget %v, long %.2f, running %d, FIFO %t: %v\n",
			l.seed, l.budget, l.longShare, cfg.MaxRunning, cfg.FIFO, o)
		list = append(list, o)
	}
	return list
}

var _ = Describe("The queue compared with a FIFO queue on the same trace", func() {
	for _, seed := range []int64{1, 2, 3} {
		// Short requests that wait behind long ones miss their deadlines
		// although the engine has capacity for them.
		It("keeps short p99 within 1.3 times with 5% long work", func() {
			l := load{seed: seed, length: 600 * time.Second, rate: steady(6), budget: shortBudget, adapters: engineSlots}
			without := compare(l, 20*time.Second, l.length, fifo, staticLimit, adaptiveLimit)
			l.longShare = 0.05
			with := compare(l, 20*time.Second, l.length, fifo, staticLimit, adaptiveLimit)
			totalP99 := func(o *traceResult) float64 { return quantile(o.total, 0.99).Seconds() }
			firstP99 := func(o *traceResult) float64 { return quantile(o.firstToken, 0.99).Seconds() }
			Expect(totalP99(with[1])).To(BeNumerically("<=", 1.3*totalP99(without[1])))
			Expect(totalP99(with[2])).To(BeNumerically("<=", 1.3*totalP99(without[2])))
			Expect(firstP99(with[2])).To(BeNumerically("<=", 1.3*firstP99(without[2])))
			Expect(totalP99(with[1])).To(BeNumerically("<", totalP99(with[0])))
		})

		// A queue that keeps requests past their deadlines spends the whole
		// peak on answers that come too late.
		It("answers requests in time during a tenfold load peak", func() {
			saturated := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: shortBudget, adapters: engineSlots}
			peak := load{seed: seed, length: 60 * time.Second, rate: peakRate, budget: shortBudget, adapters: engineSlots}
			const from, to = 20 * time.Second, 42 * time.Second
			for _, cfg := range []admission.Config{staticLimit, adaptiveLimit} {
				capacity := float64(compare(saturated, 20*time.Second, 120*time.Second, cfg)[0].answered) / 100
				o := compare(peak, from, to, fifo, cfg)
				Expect(o[1].answered).To(BeNumerically(">=", 2*o[0].answered))
				Expect(float64(o[1].answered)).To(BeNumerically(">=", 0.9*capacity*(to-from).Seconds()))
				Expect(o[1].late).To(BeNumerically("<=", o[1].answered/50))
			}
		})

		// An admitted request that expires in the queue is lost, although
		// another target could have answered it if it had been refused.
		It("lets few admitted requests expire even with a budget of a few starts", func() {
			l := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: 570 * time.Millisecond, adapters: engineSlots}
			o := compare(l, 20*time.Second, l.length, fifo, staticLimit)
			Expect(o[1].expired + o[1].late).To(BeNumerically("<=", o[1].answered/20))
		})

		// Each additional adapter in a batch makes every step longer.
		It("runs fewer adapters at once and more tokens a second", func() {
			l := load{seed: seed, length: 120 * time.Second, rate: steady(20), budget: 10 * time.Second, adapters: engineSlots}
			o := compare(l, 20*time.Second, l.length, fifo, staticLimit)
			Expect(o[1].distinctPerStep()).To(BeNumerically("<", o[0].distinctPerStep()))
			Expect(o[1].tokensPerSecond()).To(BeNumerically(">=", 1.3*o[0].tokensPerSecond()))
		})

		// A limit above what the engine sustains raises the time per
		// token of all requests; one below it leaves the engine underused.
		It("finds a limit at which at most 5% of the requests exceed 38 ms per token", func() {
			l := load{seed: seed, length: 300 * time.Second, rate: steady(20), budget: shortBudget, adapters: engineSlots}
			o := compare(l, 100*time.Second, l.length, staticLimit, adaptiveLimit)
			Expect(float64(o[1].slow)).To(BeNumerically("<=", 0.05*float64(o[1].ended)))
			Expect(o[1].tokensPerSecond()).To(BeNumerically(">=", o[0].tokensPerSecond()))
		})
	}
})

var _ = Describe("Two runs of a trace that must have the same result", func() {
	l := load{seed: 1, length: 60 * time.Second, rate: steady(30), budget: 5 * time.Minute, adapters: 2, hotShare: 1}

	// With one adapter, one class and enough budget there is nothing to
	// reorder or refuse. A difference is a fault in the lanes.
	It("starts the items of one adapter in the order of arrival, as FIFO does", func() {
		o := compare(l, 0, l.length, fifo, staticLimit)
		Expect(o[1]).To(Equal(o[0]))
	})

	// An experiment that is repeated with the same seed must give the same
	// result.
	It("gives the same result for the same trace", func() {
		l := l
		l.budget, l.adapters, l.hotShare, l.longShare = shortBudget, engineSlots, 0.3, 0.05
		o := compare(l, 0, l.length, adaptiveLimit, adaptiveLimit)
		Expect(o[1]).To(Equal(o[0]))
	})
})

// peakRate is a request rate that rises within 2 s to ten times the normal one
// and falls back 42 s after the start.
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
