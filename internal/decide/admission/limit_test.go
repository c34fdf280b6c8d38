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
			h.offerN(20, 1, time.Hour)
			running := h.startAll()
			h.elapsed += 40 * perToken
			for _, n := range running {
				h.finish(n, 40)
			}
			for n := 1; n <= h.lastNumber; n++ {
				h.Remove(id(n))
			}
		}
		Expect(h.Limit()).To(expected)
	},
	// An overloaded engine exceeds the maximum time per token for every request
	// that it runs.
	Entry("falls to the minimum while tokens are slow", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 45*time.Millisecond, Equal(4)),
	Entry("does not fall below the configured minimum", admission.Config{MaxRunning: 16, MinRunning: 10}, 45*time.Millisecond, 45*time.Millisecond, Equal(10)),
	Entry("stays at the maximum while tokens are fast", admission.Config{MaxRunning: 16}, 20*time.Millisecond, 20*time.Millisecond, Equal(16)),
	// A limit that fell because other load slowed the engine for a while must
	// rise again, or the engine stays underused.
	Entry("rises again when tokens are fast again", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 20*time.Millisecond, Equal(16)),
	Entry("does not rise while the time per token is between the increase threshold and the maximum", admission.Config{MaxRunning: 16}, 45*time.Millisecond, 36*time.Millisecond, Equal(4)),
	Entry("stays static with StaticLimit", admission.Config{MaxRunning: 16, StaticLimit: true}, 45*time.Millisecond, 45*time.Millisecond, Equal(16)),
	Entry("stays static in FIFO mode", admission.Config{MaxRunning: 16, FIFO: true}, 45*time.Millisecond, 45*time.Millisecond, Equal(16)),
)
