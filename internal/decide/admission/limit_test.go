package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/admission"
)

var _ = DescribeTable("Concurrency limit",
	func(cfg admission.Config, perToken, later time.Duration, expected OmegaMatcher) {
		h := newHarness(cfg)
		for round := range 200 {
			if round == 100 {
				perToken = later
			}
			h.offers(20, 1, time.Hour)
			running := h.starts()
			h.at += 40 * perToken
			for _, n := range running {
				h.finish(n, 40)
			}
			for n := 1; n <= h.next; n++ {
				h.Remove(id(n))
			}
		}
		Expect(h.Limit()).To(expected)
	},
	// An engine beyond what it sustains misses the time between tokens for
	// every request it runs.
	Entry("falls to the minimum while tokens are late", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 45*time.Millisecond, Equal(4)),
	Entry("keeps to the given minimum", admission.Config{MaxRunning: 16, MinRunning: 10}, 45*time.Millisecond, 45*time.Millisecond, Equal(10)),
	Entry("stays at the maximum while tokens are fast", admission.Config{MaxRunning: 16}, 20*time.Millisecond, 20*time.Millisecond, Equal(16)),
	// A limit that fell for a noisy neighbour must not waste the engine for
	// good.
	Entry("grows back when tokens are fast again", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 20*time.Millisecond, Equal(16)),
	Entry("stays between the target and its guard band", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 36*time.Millisecond, Equal(4)),
	Entry("stays static on demand", admission.Config{MaxRunning: 16, StaticLimit: true}, 45*time.Millisecond, 45*time.Millisecond, Equal(16)),
	Entry("stays static in FIFO mode", admission.Config{MaxRunning: 16, FIFO: true}, 45*time.Millisecond, 45*time.Millisecond, Equal(16)),
)
