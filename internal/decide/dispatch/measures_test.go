package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
)

func chosen() dispatch.Config { return dispatch.Config{Retry: retry.DefaultConfig()} }

func naive() dispatch.Config {
	return dispatch.Config{Retry: retry.Config{Unlimited: true}, Pick: picker.Random}
}

// slowFixed makes two targets five times slower for good.
func slowFixed(target int, _ time.Duration) float64 {
	if target < 2 {
		return 5
	}
	return 1
}

// slowMoments makes two other targets five times slower every 10 s.
func slowMoments(target int, at time.Duration) float64 {
	round := int(at / (10 * time.Second))
	if target == round*2%12 || target == (round*2+5)%12 {
		return 5
	}
	return 1
}

// zipfRun is 12 targets with 3,000 adapters at the limits of the weight store.
// It lasts long enough that chance adds less than 10% to the busiest target.
func zipfRun(zipf, rate float64, service time.Duration) simConfig {
	return simConfig{dispatch: chosen(), seed: 1, targets: 12, adapters: 3000, zipf: zipf, rate: rate, service: service,
		firstToken: 80 * time.Millisecond, warmup: 60 * time.Second, duration: 600 * time.Second, queue: 32}
}

// baseRun is the base model at 30% of the capacity of 12 targets.
func baseRun() simConfig {
	cfg := zipfRun(0, 60, 400*time.Millisecond)
	cfg.adapters, cfg.duration = 0, 200*time.Second
	return cfg
}

// fewAdapters is the same load spread over adapters that all find a slot.
func fewAdapters() simConfig {
	cfg := baseRun()
	cfg.adapters, cfg.zipf = 30, 1
	return cfg
}

// naive is a shorter run of the naive policies.
func (c simConfig) naive() simConfig {
	c.dispatch = naive()
	c.duration = min(c.duration, 100*time.Second)
	return c
}

var _ = Describe("In virtual time", func() {
	DescribeTable("the busiest of 12 targets carries at most 1.3 times the mean", func(cfg simConfig) {
		r, n := runSim(cfg), runSim(cfg.naive())
		loads, naiveLoads := float64(r.loads)/float64(r.requests), float64(n.loads)/float64(n.requests)
		AddReportEntry("busiest/mean, loads per request, the latter naive", []float64{r.busiest(), loads, naiveLoads})
		Expect(r.busiest()).To(BeNumerically("<=", 1.3))
		Expect(loads).To(BeNumerically("<", naiveLoads))
	},
		Entry("Zipf 1.0 at a light load", zipfRun(1.0, 5, 600*time.Millisecond)),
		Entry("Zipf 1.0 with long answers", zipfRun(1.0, 5, 6*time.Second)),
		Entry("Zipf 1.2 at a light load", zipfRun(1.2, 8, 600*time.Millisecond)),
		Entry("Zipf 1.2 with long answers", zipfRun(1.2, 8, 5*time.Second)),
	)

	DescribeTable("two stragglers of 12 raise p99 at most 1.5 times", func(cfg simConfig, slow func(int, time.Duration) float64) {
		without := runSim(cfg).quantile(0.99)
		cfg.slow = slow
		with := runSim(cfg).quantile(0.99)
		AddReportEntry("p99 without, with", []time.Duration{without, with})
		Expect(float64(with) / float64(without)).To(BeNumerically("<=", 1.5))
	},
		Entry("base model, for good", baseRun(), slowFixed),
		Entry("base model, for moments", baseRun(), slowMoments),
		Entry("3,000 adapters, Zipf 1.0, for good", zipfRun(1.0, 5, 2*time.Second), slowFixed),
		Entry("3,000 adapters, Zipf 1.0, for moments", zipfRun(1.0, 5, 2*time.Second), slowMoments),
		Entry("3,000 adapters, Zipf 1.2, for good", zipfRun(1.2, 8, 2*time.Second), slowFixed),
		Entry("3,000 adapters, Zipf 1.2, for moments", zipfRun(1.2, 8, 2*time.Second), slowMoments),
	)

	It("two stragglers are ejected, and re-admitted when they recover", func() {
		ejected := func(duration time.Duration) (list []string) {
			cfg := baseRun()
			cfg.warmup, cfg.duration = 0, duration
			cfg.slow = func(target int, at time.Duration) float64 {
				if at < 10*time.Second || at > 20*time.Second {
					return 1
				}
				return slowFixed(target, at)
			}
			r := runSim(cfg)
			for _, t := range r.targets {
				if t.Ejected {
					list = append(list, t.Name)
				}
			}
			return list
		}
		Expect(ejected(9 * time.Second)).To(BeEmpty())
		Expect(ejected(11 * time.Second)).To(ConsistOf("e0", "e1"))
		Expect(ejected(20 * time.Second)).To(ConsistOf("e0", "e1"))
		Expect(ejected(40 * time.Second)).To(BeEmpty())
	})

	// An adapter load takes longer than a slow answer, and the weight store
	// starts 4.5 loads a second for the whole fleet.
	It("adapters held by stragglers are not loaded elsewhere for a moment", func() {
		cfg := fewAdapters()
		without := runSim(cfg)
		cfg.slow = slowMoments
		with := runSim(cfg)
		AddReportEntry("loads and p99 without, with", []any{without.loads, with.loads, without.quantile(0.99), with.quantile(0.99)})
		Expect(with.loads).To(BeNumerically("<=", 150))
	})

	// A request that waits for an adapter load says nothing about the target.
	It("adapter loads do not look like stragglers", func() {
		r := runSim(fewAdapters())
		AddReportEntry("ejections", []int{r.rec["straggler_changes"], r.loads})
		Expect(r.rec["straggler_changes"]).To(BeNumerically("<=", 20))
	})

	// Refused requests must not multiply the load that made targets refuse.
	It("an overload causes no retry storm", func() {
		cfg := baseRun()
		cfg.rate, cfg.queue, cfg.warmup, cfg.duration = 600, 8, 10*time.Second, 30*time.Second
		r, n := runSim(cfg), runSim(cfg.naive())
		perCall, naivePerCall := float64(r.reserves)/float64(r.requests), float64(n.reserves)/float64(n.requests)
		AddReportEntry("reservations per call, naive", []float64{perCall, naivePerCall})
		Expect(perCall).To(BeNumerically("<=", 1.2))
		Expect(naivePerCall).To(BeNumerically(">", 2*perCall))
	})

	It("the same seed gives the same run", func() {
		cfg := zipfRun(1.2, 8, 2*time.Second)
		cfg.slow, cfg.duration = slowMoments, 60*time.Second
		first := runSim(cfg)
		Expect(runSim(cfg)).To(Equal(first))
		cfg.seed = 2
		Expect(runSim(cfg)).NotTo(Equal(first))
	})
})
