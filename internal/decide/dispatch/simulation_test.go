package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
)

func defaultConfig() dispatch.Config { return dispatch.Config{Retry: retry.DefaultConfig()} }

func naiveConfig() dispatch.Config {
	return dispatch.Config{Retry: retry.Config{Unlimited: true}, PickStrategy: picker.Random}
}

// twoSlowTargets makes two targets five times slower all the time.
func twoSlowTargets(target int, _ time.Duration) float64 {
	if target < 2 {
		return 5
	}
	return 1
}

// alternatingSlowTargets makes two targets five times slower, and changes which
// two every 10 s.
func alternatingSlowTargets(target int, at time.Duration) float64 {
	round := int(at / (10 * time.Second))
	if target == round*2%12 || target == (round*2+5)%12 {
		return 5
	}
	return 1
}

// zipfSim returns a run of 12 targets with 3,000 adapters at the limits of the
// weight store. In a shorter run, random variation would add a considerable
// part to the load of the busiest target.
func zipfSim(zipf, rate float64, decodeTime time.Duration) simConfig {
	return simConfig{dispatch: defaultConfig(), seed: 1, targets: 12, adapters: 3000, zipfExponent: zipf, requestsPerSecond: rate, decodeTime: decodeTime,
		firstTokenTime: 80 * time.Millisecond, warmup: 60 * time.Second, duration: 600 * time.Second, queueLimit: 32}
}

// baseModelSim returns a run with requests for the base model only, at 30% of
// the capacity of 12 targets.
func baseModelSim() simConfig {
	cfg := zipfSim(0, 60, 400*time.Millisecond)
	cfg.adapters, cfg.duration = 0, 200*time.Second
	return cfg
}

// fewAdaptersSim returns a run with the load of baseModelSim spread over 30
// adapters, which all fit into the slots of the targets.
func fewAdaptersSim() simConfig {
	cfg := baseModelSim()
	cfg.adapters, cfg.zipfExponent = 30, 1
	return cfg
}

// withNaivePolicies returns the run with random picks and unlimited retries,
// and of at most 100 s.
func (c simConfig) withNaivePolicies() simConfig {
	c.dispatch = naiveConfig()
	c.duration = min(c.duration, 100*time.Second)
	return c
}

var _ = Describe("In virtual time", func() {
	// Guards against popular adapters that overload their homes, and
	// against a spread of the load that causes more adapter loads than
	// random picks.
	DescribeTable("the busiest of 12 targets carries at most 1.3 times the mean", func(cfg simConfig) {
		r, n := runSim(cfg), runSim(cfg.withNaivePolicies())
		loads, naiveLoads := float64(r.loads)/float64(r.requests), float64(n.loads)/float64(n.requests)
		AddReportEntry("busiest/mean load, adapter loads per request, the same with naive policies", []float64{r.busiestToMean(), loads, naiveLoads})
		Expect(r.busiestToMean()).To(BeNumerically("<=", 1.3))
		Expect(loads).To(BeNumerically("<", naiveLoads))
	},
		Entry("Zipf 1.0 at a light load", zipfSim(1.0, 5, 600*time.Millisecond)),
		Entry("Zipf 1.0 with long answers", zipfSim(1.0, 5, 6*time.Second)),
		Entry("Zipf 1.2 at a light load", zipfSim(1.2, 8, 600*time.Millisecond)),
		Entry("Zipf 1.2 with long answers", zipfSim(1.2, 8, 5*time.Second)),
	)

	// Guards against calls that wait at slow targets while others are fast.
	DescribeTable("two stragglers of 12 raise p99 by at most a factor of 1.5", func(cfg simConfig, slow func(int, time.Duration) float64) {
		without := runSim(cfg).quantile(0.99)
		cfg.slowdown = slow
		with := runSim(cfg).quantile(0.99)
		AddReportEntry("p99 without and with stragglers", []time.Duration{without, with})
		Expect(float64(with) / float64(without)).To(BeNumerically("<=", 1.5))
	},
		Entry("base model, permanent stragglers", baseModelSim(), twoSlowTargets),
		Entry("base model, alternating stragglers", baseModelSim(), alternatingSlowTargets),
		Entry("3,000 adapters, Zipf 1.0, permanent stragglers", zipfSim(1.0, 5, 2*time.Second), twoSlowTargets),
		Entry("3,000 adapters, Zipf 1.0, alternating stragglers", zipfSim(1.0, 5, 2*time.Second), alternatingSlowTargets),
		Entry("3,000 adapters, Zipf 1.2, permanent stragglers", zipfSim(1.2, 8, 2*time.Second), twoSlowTargets),
		Entry("3,000 adapters, Zipf 1.2, alternating stragglers", zipfSim(1.2, 8, 2*time.Second), alternatingSlowTargets),
	)

	// Guards against stragglers that are found too late, targets that are
	// ejected without cause, and ejections that do not end.
	It("two stragglers are ejected, and readmitted when they recover", func() {
		ejected := func(duration time.Duration) (list []string) {
			cfg := baseModelSim()
			cfg.warmup, cfg.duration = 0, duration
			cfg.slowdown = func(target int, at time.Duration) float64 {
				if at < 10*time.Second || at > 20*time.Second {
					return 1
				}
				return twoSlowTargets(target, at)
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
	It("adapters held by brief stragglers are not loaded at other targets", func() {
		cfg := fewAdaptersSim()
		without := runSim(cfg)
		cfg.slowdown = alternatingSlowTargets
		with := runSim(cfg)
		AddReportEntry("adapter loads and p99, each without and with stragglers", []any{without.loads, with.loads, without.quantile(0.99), with.quantile(0.99)})
		Expect(with.loads).To(BeNumerically("<=", 150))
	})

	// The latency of a request that waits for an adapter load does not
	// measure the speed of the target.
	It("targets that load adapters are not treated as stragglers", func() {
		r := runSim(fewAdaptersSim())
		// The two numbers are the changes of straggler state and the
		// adapter loads.
		AddReportEntry("ejections", []int{r.rec["straggler_changes"], r.loads})
		Expect(r.rec["straggler_changes"]).To(BeNumerically("<=", 20))
	})

	// Retries of refused requests must not multiply the load of targets
	// that already refuse requests.
	It("an overload causes no retry storm", func() {
		cfg := baseModelSim()
		cfg.requestsPerSecond, cfg.queueLimit, cfg.warmup, cfg.duration = 600, 8, 10*time.Second, 30*time.Second
		r, n := runSim(cfg), runSim(cfg.withNaivePolicies())
		perCall, naivePerCall := float64(r.reserves)/float64(r.requests), float64(n.reserves)/float64(n.requests)
		AddReportEntry("reservations per call, the same with naive policies", []float64{perCall, naivePerCall})
		Expect(perCall).To(BeNumerically("<=", 1.2))
		Expect(naivePerCall).To(BeNumerically(">", 2*perCall))
	})

	// A failed run can be repeated only if decisions do not depend on the
	// order of a map or on the real time.
	It("the same seed gives the same run", func() {
		cfg := zipfSim(1.2, 8, 2*time.Second)
		cfg.slowdown, cfg.duration = alternatingSlowTargets, 60*time.Second
		first := runSim(cfg)
		Expect(runSim(cfg)).To(Equal(first))
		cfg.seed = 2
		Expect(runSim(cfg)).NotTo(Equal(first))
	})
})
