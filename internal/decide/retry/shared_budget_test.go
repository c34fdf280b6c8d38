package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/retry"
)

var _ = Describe("A window of repeats", func() {
	const ratio, slack, span = 0.2, 54.0, 10 * time.Second
	now := time.Now()

	// All entries together must stay within ratio x requests + slack in any
	// window, without communication between them.
	It("keeps four entries within their common bound under changing load", func() {
		windows := make([]*retry.SharedBudget, 4)
		for i := range windows {
			windows[i] = retry.NewSharedBudget(ratio, slack, span)
			windows[i].SetEntries(len(windows))
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		for step := range 600 {
			at := time.Duration(step) * 50 * time.Millisecond
			for i, w := range windows {
				for range 1 + (step/100+i)%3 {
					w.CountRequest(now.Add(at), "p")
					events = append(events, event{at: at})
					if w.TrySpend(now.Add(at), "p") {
						events = append(events, event{at: at, repeat: true})
					}
				}
			}
		}
		for from := time.Duration(0); from < 20*time.Second; from += 250 * time.Millisecond {
			requests, repeats := 0, 0
			for _, e := range events {
				switch {
				case e.at < from || e.at >= from+span:
				case e.repeat:
					repeats++
				default:
					requests++
				}
			}
			Expect(float64(repeats)).To(BeNumerically("<=", ratio*float64(requests)+slack))
			Expect(repeats).To(BeNumerically(">", 0))
		}
	})

	// One failing pool must not use up the budget of the others, and the budget
	// must be available again after the window.
	It("counts each pool separately and renews the budget with time", func() {
		w := retry.NewSharedBudget(0, 8, span)
		w.SetEntries(1)
		spend := func(at time.Duration, pool string) int {
			n := 0
			for w.TrySpend(now.Add(at), pool) {
				n++
			}
			return n
		}
		Expect(spend(time.Second, "a")).To(Equal(6))
		Expect(spend(time.Second, "b")).To(Equal(6))
		Expect(spend(5*time.Second, "a")).To(Equal(0))
		Expect(spend(12*time.Second, "a")).To(Equal(6))
	})

	// A changed setting must take effect without a restart.
	It("applies a changed bound", func() {
		w := retry.NewSharedBudget(0, 0, span)
		Expect(w.TrySpend(now, "a")).To(BeFalse())
		w.SetBounds(0, 100)
		Expect(w.TrySpend(now, "a")).To(BeTrue())
	})
})
