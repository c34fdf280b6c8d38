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
			windows[i] = retry.NewSharedBudget(now, ratio, slack, span)
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

	// Guards against entries that use the slack again after a restart, because they have
	// forgotten what they used before.
	DescribeTable("keeps four entries within their common bound over restarts",
		func(restarts func(entry int, at time.Duration) bool) {
			windows := make([]*retry.SharedBudget, 4)
			kept := make([][]retry.SlackUse, 4)
			var repeats, requests []time.Duration
			for step := range 300 {
				at := time.Duration(step) * 200 * time.Millisecond
				for i := range windows {
					if windows[i] == nil || restarts(i, at) {
						windows[i] = retry.NewSharedBudget(now.Add(at), ratio, slack, span)
						windows[i].SetEntries(len(windows))
						for _, u := range kept[i] {
							windows[i].Restore(now.Add(at), u)
						}
					}
					windows[i].CountRequest(now.Add(at), "p")
					requests = append(requests, at)
					// All targets fail, and each request is sent again where it may be.
					for range 2 {
						if windows[i].TrySpend(now.Add(at), "p") {
							repeats = append(repeats, at)
						}
					}
					if uses := windows[i].SlackUses(now.Add(at)); step%2 == i%2 && len(uses) > 0 {
						kept[i] = uses
					}
				}
			}
			within := func(list []time.Duration, from time.Duration) (n int) {
				for _, at := range list {
					if at >= from && at < from+span {
						n++
					}
				}
				return n
			}
			for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
				bound := ratio*float64(within(requests, from)) + slack
				Expect(float64(within(repeats, from))).To(BeNumerically("<=", bound), "from %v", from)
			}
		},
		Entry("of all at once", func(_ int, at time.Duration) bool { return at == 25*time.Second }),
		Entry("of all at once, three times within a window", func(_ int, at time.Duration) bool {
			return at == 25*time.Second || at == 28*time.Second || at == 31*time.Second
		}),
		Entry("in series", func(entry int, at time.Duration) bool {
			return at == 20*time.Second+time.Duration(entry)*2*time.Second
		}),
	)

	// One failing pool must not use up the budget of the others, and the budget
	// must be available again after the window.
	It("counts each pool separately and renews the budget with time", func() {
		w := retry.NewSharedBudget(now, 0, 8, span)
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

	// Guards against a budget that counts its own use twice after it was told of it.
	It("counts what was used before the start only, the newest of it, and only for a window", func() {
		w := retry.NewSharedBudget(now, 0, 40, span)
		w.SetEntries(1)
		Expect(w.SlackUses(now)).To(BeEmpty())
		for _, u := range []retry.SlackUse{{Repeats: 20, At: now.Add(-time.Second)}, {Repeats: 9, At: now.Add(-2 * time.Second)}, {Repeats: 10, At: now.Add(time.Millisecond)}} {
			u.Pool = "a"
			w.Restore(now.Add(time.Second), u)
		}
		spend := func(at time.Duration) (n int) {
			for w.TrySpend(now.Add(at), "a") {
				n++
			}
			return n
		}
		Expect(spend(time.Second)).To(Equal(10))
		Expect(w.SlackUses(now.Add(time.Second))).To(ConsistOf(retry.SlackUse{Pool: "a", Repeats: 30, At: now.Add(time.Second)}))
		Expect(spend(8900 * time.Millisecond)).To(Equal(0))
		Expect(spend(9 * time.Second)).To(Equal(20))
	})

	// A changed setting must take effect without a restart.
	It("applies a changed bound", func() {
		w := retry.NewSharedBudget(now, 0, 0, span)
		Expect(w.TrySpend(now, "a")).To(BeFalse())
		w.SetBounds(0, 100)
		Expect(w.TrySpend(now, "a")).To(BeTrue())
	})
})
