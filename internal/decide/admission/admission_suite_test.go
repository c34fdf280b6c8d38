package admission_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/slots"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// harness drives a queue by hand; seconds count from epoch.
type harness struct {
	*admission.Queue
	at     time.Duration
	next   int
	absent map[slots.Key]bool
}

func newHarness(cfg admission.Config) *harness {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 1000
	}
	return &harness{Queue: admission.New(cfg, rand.New(rand.NewSource(1))), absent: make(map[slots.Key]bool)}
}

// offer offers a short item of an adapter and returns its number.
func (h *harness) offer(a int, budget time.Duration, change ...func(*admission.Item)) (int, admission.Decision) {
	h.next++
	item := admission.Item{ID: id(h.next), Adapter: adapter(a), Class: "short", Deadline: epoch.Add(h.at + budget)}
	for _, f := range change {
		f(&item)
	}
	return h.next, h.Offer(epoch.Add(h.at), item, 0)
}

func (h *harness) offers(n, a int, budget time.Duration, change ...func(*admission.Item)) {
	for range n {
		h.offer(a, budget, change...)
	}
}

// start returns the number of the next item to start, 0 for none.
func (h *harness) start() int {
	item, ok := h.Next(epoch.Add(h.at), func(i *admission.Item) bool { return !h.absent[i.Adapter] })
	if !ok {
		return 0
	}
	return int(item.ID.Request.Number)
}

func (h *harness) starts() (list []int) {
	for n := h.start(); n != 0; n = h.start() {
		list = append(list, n)
	}
	return list
}

func (h *harness) finish(n, tokens int) {
	h.Finished(epoch.Add(h.at), id(n), admission.Outcome{Tokens: tokens})
}

// serve lets n items of adapter 0 run one after the other.
func (h *harness) serve(n int, service time.Duration, tokens int) {
	for range n {
		h.offer(0, time.Hour)
		started := h.start()
		h.at += service
		h.finish(started, tokens)
	}
}

func isLong(i *admission.Item) { i.Long, i.Class = true, "long" }
func isHeld(i *admission.Item) { i.Held = true }

var _ = DescribeTable("Contract",
	func(cfg admission.Config, check func(*harness)) { check(newHarness(cfg)) },

	// A request that cannot start in time must be told so now, not after
	// its budget.
	Entry("refuses a predicted start past the budget", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offers(1, 1, time.Second)
		h.start()
		h.offers(1, 3, 1200*time.Millisecond)
		h.offers(1, 4, 2200*time.Millisecond)
		_, d := h.offer(2, 2950*time.Millisecond)
		Expect(d.Refusal).To(Equal(admission.RefusedBudget))
		Expect(d.Start).To(Equal(3 * time.Second))
		Expect(d.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(h.Waiting()).To(Equal(2))
	}),
	Entry("never refuses by prediction in FIFO mode", admission.Config{MaxRunning: 1, FIFO: true}, func(h *harness) {
		h.offers(3, 1, time.Minute)
		_, d := h.offer(2, time.Millisecond)
		Expect(d.Refusal).To(Equal(admission.Admitted))
		Expect(h.starts()).To(Equal([]int{1}))
	}),
	Entry("refuses when the adapter loads too late", admission.Config{MaxRunning: 1}, func(h *harness) {
		item := admission.Item{ID: id(1), Adapter: adapter(1), Deadline: epoch.Add(time.Second)}
		Expect(h.Offer(epoch, item, 2*time.Second).Refusal).To(Equal(admission.RefusedBudget))
		Expect(h.Offer(epoch, item, time.Second).Refusal).To(Equal(admission.Admitted))
	}),
	// An answer that starts at the end of the budget gives its first token
	// after it.
	Entry("keeps the time to the first token out of the budget", admission.Config{MaxRunning: 1}, func(h *harness) {
		n, _ := h.offer(1, time.Second)
		h.start()
		h.at += 200 * time.Millisecond
		h.FirstToken(epoch.Add(h.at), id(n))
		h.finish(n, 1)
		_, d := h.offer(1, 199*time.Millisecond)
		Expect(d.Refusal).To(Equal(admission.RefusedBudget))
		h.offer(1, time.Second)
		h.at += 801 * time.Millisecond
		Expect(h.start()).To(BeZero())
		Expect(h.Expired(epoch.Add(h.at))).To(HaveLen(1))
	}),
	// A retry with little budget left goes ahead of the queue, so the whole
	// queue must not count against it.
	Entry("predicts by deadline, not by arrival", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offers(20, 1, time.Minute)
		h.starts()
		_, d := h.offer(2, 5*time.Second)
		Expect(d.Refusal).To(Equal(admission.Admitted))
		Expect(d.Start).To(BeNumerically("<=", time.Second))
	}),
	// Items start together after a pause; all slots stay busy for a whole
	// service time.
	Entry("predicts from the age of running items", admission.Config{MaxRunning: 4}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offers(4, 1, time.Minute)
		h.starts()
		h.at += 100 * time.Millisecond
		Expect(h.Next(epoch.Add(h.at), always)).Error().To(BeFalse())
		Expect(h.PredictStart(false)).To(BeNumerically("~", 900*time.Millisecond, 10*time.Millisecond))
	}),
	Entry("predicts behind long work that holds every slot", admission.Config{MaxRunning: 1, LongShare: 1}, func(h *harness) {
		h.offers(1, 1, time.Hour, isLong)
		h.start()
		_, d := h.offer(1, 2*time.Second)
		Expect(d.Refusal).To(Equal(admission.RefusedBudget))
		Expect(d.Start).To(Equal(5 * time.Second))
	}),
	// Executions that fail at once must not make the target look fast.
	Entry("learns nothing from a failed execution", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, time.Second, 0)
		for range 20 {
			n, _ := h.offer(1, time.Hour)
			h.start()
			h.Finished(epoch.Add(h.at), id(n), admission.Outcome{Failed: true})
		}
		h.offer(1, time.Hour)
		h.start()
		_, d := h.offer(1, 100*time.Millisecond)
		Expect(d.Start).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	}),
	Entry("ends an admitted item at its deadline", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offers(1, 1, 3*time.Second)
		h.offers(1, 1, 2*time.Second)
		h.offers(1, 1, time.Minute, isHeld)
		h.at = 4 * time.Second
		Expect(h.start()).To(BeZero())
		Expect(h.Waiting()).To(Equal(3))
		expired := h.Expired(epoch.Add(h.at))
		Expect(expired).To(HaveLen(2))
		Expect(expired[0].ID).To(Equal(id(2)))
		Expect(h.Expired(epoch.Add(h.at))).To(BeEmpty())
		Expect(h.Remove(id(1))).To(BeFalse())
	}),
	Entry("removes an overdue item before Expired", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offers(2, 1, time.Second)
		h.at = 2 * time.Second
		h.start()
		Expect(h.Remove(id(1))).To(BeTrue())
		h.Release(id(2))
		Expect(h.start()).To(BeZero())
		Expect(h.Expired(epoch.Add(h.at))).To(HaveLen(1))
	}),
	// A reservation without a Run must not block the work behind it.
	Entry("starts others before a held item", admission.Config{MaxRunning: 3}, func(h *harness) {
		h.offers(1, 1, time.Second, isHeld)
		h.offers(1, 1, time.Minute)
		Expect(h.starts()).To(Equal([]int{2}))
		h.Release(id(1))
		h.Release(id(1))
		Expect(h.starts()).To(Equal([]int{1}))
	}),
	Entry("starts others before an absent adapter and finds it loaded", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.absent[adapter(1)] = true
		h.offers(1, 1, time.Second)
		h.offers(1, 2, time.Minute)
		Expect(h.starts()).To(Equal([]int{2}))
		delete(h.absent, adapter(1))
		Expect(h.starts()).To(Equal([]int{1}))
	}),
	// A driver that does not call AdapterReady must not lose starts.
	Entry("finds the one loaded adapter among many", admission.Config{MaxRunning: 100}, func(h *harness) {
		for a := 1; a <= 20; a++ {
			h.absent[adapter(a)] = true
			h.offers(1, a, time.Hour)
		}
		Expect(h.starts()).To(BeEmpty())
		delete(h.absent, adapter(9))
		Expect(h.starts()).To(Equal([]int{9}))
		delete(h.absent, adapter(20))
		h.offers(60, 30, 2*time.Hour)
		Expect(h.starts()[:50]).To(ContainElement(20))
	}),
	// Without AdapterReady the loaded adapter would wait for its turn among
	// the parked ones.
	Entry("takes a loaded adapter at once when told", admission.Config{MaxRunning: 50}, func(h *harness) {
		for a := 1; a <= 20; a++ {
			h.absent[adapter(a)] = true
			h.offers(1, a, time.Second)
		}
		h.starts()
		delete(h.absent, adapter(20))
		h.AdapterReady(adapter(20))
		h.offers(1, 30, time.Minute)
		Expect(h.starts()).To(Equal([]int{20, 21}))
	}),
	Entry("starts the earliest deadline first", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.offers(1, 1, 900*time.Millisecond)
		h.offers(1, 2, 300*time.Millisecond)
		h.offers(1, 3, 600*time.Millisecond)
		Expect(h.starts()).To(Equal([]int{2, 3, 1}))
	}),
	Entry("groups by adapter while no deadline is at risk", admission.Config{MaxRunning: 9}, func(h *harness) {
		for a := range 6 {
			h.offers(1, a%2, time.Minute)
		}
		Expect(h.starts()).To(Equal([]int{1, 3, 5, 2, 4, 6}))
	}),
	Entry("leaves the group for a deadline at risk", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.offers(3, 1, time.Minute)
		h.start()
		h.offers(1, 2, 50*time.Millisecond)
		Expect(h.starts()).To(Equal([]int{4, 2, 3}))
	}),
	// A hot adapter in the batch would otherwise hold back the rest for as
	// long as their budgets last.
	Entry("bounds how often an item is passed over", admission.Config{MaxRunning: 1000}, func(h *harness) {
		h.offers(1, 1, time.Hour)
		h.start()
		h.offers(1, 2, time.Hour)
		h.offers(200, 1, 2*time.Hour)
		order := h.starts()
		Expect(order).To(HaveLen(201))
		Expect(order[:40]).To(ContainElement(2))
		Expect(order[:20]).NotTo(ContainElement(2))
	}),
	// Without a reserve the hot adapter fills every budget to its end.
	Entry("keeps a part of the budget for underserved adapters", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, 100*time.Millisecond, 0)
		h.offers(100, 1, 2*time.Second)
		hot, cold := 0, 0
		_, d := h.offer(1, 2*time.Second)
		if d.Refusal == admission.Admitted {
			hot++
		}
		for a := 2; a < 5; a++ {
			if _, d = h.offer(a, 2*time.Second); d.Refusal == admission.Admitted {
				cold++
			}
		}
		Expect([]int{hot, cold}).To(Equal([]int{0, 3}))
	}),
	Entry("keeps places for short work and other adapters", admission.Config{MaxRunning: 1, QueueLimit: 100}, func(h *harness) {
		h.offers(100, 1, time.Hour, isLong)
		Expect(h.Waiting()).To(Equal(50))
		h.offers(100, 1, time.Hour)
		Expect(h.Waiting()).To(BeNumerically("<", 100))
		_, d := h.offer(2, time.Hour)
		Expect(d.Refusal).To(Equal(admission.Admitted))
		for a := range 100 {
			_, d = h.offer(100+a, time.Hour)
		}
		Expect(h.Waiting()).To(Equal(100))
		Expect(d.Refusal).To(Equal(admission.RefusedQueueFull))
		Expect(d.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
	}),
	// All callers of a rota change are refused at about the same time; they
	// must not return at the same time.
	Entry("spreads the return of refused callers", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, 100*time.Millisecond, 0)
		h.offers(20, 1, 2*time.Second)
		var last time.Duration
		seen := make(map[time.Duration]int)
		for range 50 {
			_, d := h.offer(1, 500*time.Millisecond)
			Expect(d.RetryAfter).To(BeNumerically(">=", d.Start-500*time.Millisecond))
			seen[d.RetryAfter/(200*time.Millisecond)]++
			last = max(last, d.RetryAfter)
		}
		Expect(len(seen)).To(BeNumerically(">=", 10))
		Expect(last).To(BeNumerically("<=", 12*time.Second))
		h.at += time.Minute
		h.Expired(epoch.Add(h.at))
		h.offers(1, 1, time.Second)
		h.start()
		_, d := h.offer(1, 50*time.Millisecond)
		Expect(d.RetryAfter).To(BeNumerically("<=", 200*time.Millisecond))
	}),
	Entry("bounds long work by its share", admission.Config{MaxRunning: 8, LongShare: 0.25}, func(h *harness) {
		h.offers(5, 1, time.Hour, isLong)
		Expect(h.starts()).To(HaveLen(2))
		h.offers(7, 1, time.Hour)
		Expect(h.starts()).To(HaveLen(6))
	}),
	Entry("runs long work with share 0 only while no short work waits", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.offers(2, 1, time.Hour, isLong)
		h.absent[adapter(2)] = true
		h.offers(1, 2, time.Hour)
		Expect(h.start()).To(BeZero())
		h.Remove(id(3))
		Expect(h.starts()).To(Equal([]int{1}))
		h.offers(1, 1, time.Hour)
		Expect(h.starts()).To(Equal([]int{4}))
	}),
	// A steady short load would otherwise use up the share of long work.
	Entry("gives long work at risk its share", admission.Config{MaxRunning: 4, LongShare: 0.5}, func(h *harness) {
		h.offers(10, 1, time.Hour)
		h.offers(1, 1, 6*time.Second, isLong)
		Expect(h.start()).To(Equal(1))
		h.at += 5900 * time.Millisecond
		Expect(h.start()).To(Equal(11))
	}),
	// 14,000 adapters pass through a target that is never idle.
	Entry("forgets idle adapters", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offers(1, 0, time.Hour)
		for a := range 5000 {
			n, _ := h.offer(a+1, time.Hour)
			h.Remove(id(n))
		}
		Expect(h.Flows()).To(BeNumerically("<", 200))
	}),
	Entry("ignores what it does not know", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.finish(7, 1)
		h.Release(id(7))
		h.AdapterReady(adapter(7))
		Expect(h.Remove(id(7))).To(BeFalse())
		n, _ := h.offer(1, time.Hour)
		again := admission.Item{ID: id(n), Adapter: adapter(1), Deadline: epoch.Add(time.Hour)}
		h.Offer(epoch, again, 0)
		Expect(h.Waiting()).To(Equal(1))
		h.start()
		h.Offer(epoch, again, 0)
		Expect([]int{h.Waiting(), h.Running()}).To(Equal([]int{0, 1}))
		Expect(h.Remove(id(n))).To(BeFalse())
	}),
	Entry("learns nothing from a clock that goes back", admission.Config{MaxRunning: 1}, func(h *harness) {
		n, _ := h.offer(1, time.Hour)
		h.start()
		h.at = -time.Hour
		h.finish(n, 1)
		h.offer(1, 2*time.Hour)
		h.start()
		Expect(h.PredictStart(false)).To(Equal(500 * time.Millisecond))
	}),
)
