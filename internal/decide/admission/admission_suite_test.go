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

// harness calls a queue with simulated time: elapsed is the time since epoch.
// Items are numbered in the order of their offers.
type harness struct {
	*admission.Queue
	elapsed    time.Duration
	lastNumber int
	absent     map[slots.Key]bool
}

func newHarness(cfg admission.Config) *harness {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = 1000
	}
	return &harness{Queue: admission.New(cfg, rand.New(rand.NewSource(1))), absent: make(map[slots.Key]bool)}
}

// offer offers a short item of an adapter and returns its number.
func (h *harness) offer(a int, budget time.Duration, change ...func(*admission.Item)) (int, admission.Decision) {
	h.lastNumber++
	item := admission.Item{ID: id(h.lastNumber), Adapter: adapter(a), Class: "short", FirstTokenDeadline: epoch.Add(h.elapsed + budget)}
	for _, f := range change {
		f(&item)
	}
	return h.lastNumber, h.Admit(epoch.Add(h.elapsed), item, 0)
}

func (h *harness) offerN(n, a int, budget time.Duration, change ...func(*admission.Item)) {
	for range n {
		h.offer(a, budget, change...)
	}
}

// startNext starts the next item and returns its number, 0 for none.
func (h *harness) startNext() int {
	item, ok := h.Next(epoch.Add(h.elapsed), func(i *admission.Item) bool { return !h.absent[i.Adapter] })
	if !ok {
		return 0
	}
	return int(item.ID.Request.Number)
}

func (h *harness) startAll() (list []int) {
	for n := h.startNext(); n != 0; n = h.startNext() {
		list = append(list, n)
	}
	return list
}

func (h *harness) finish(n, tokens int) {
	h.Finished(epoch.Add(h.elapsed), id(n), admission.Outcome{Tokens: tokens})
}

// serve runs n items of adapter 0 one after the other.
func (h *harness) serve(n int, service time.Duration, tokens int) {
	for range n {
		h.offer(0, time.Hour)
		started := h.startNext()
		h.elapsed += service
		h.finish(started, tokens)
	}
}

func isLong(i *admission.Item) { i.Long, i.Class = true, "long" }
func isHeld(i *admission.Item) { i.AwaitsRun = true }

// Each entry checks one rule of the documented behavior of Queue.
var _ = DescribeTable("Contract",
	func(cfg admission.Config, check func(*harness)) { check(newHarness(cfg)) },

	// A request that cannot start in time is refused on arrival, not after
	// its budget has passed.
	Entry("refuses a predicted start past the budget", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offerN(1, 1, time.Second)
		h.startNext()
		h.offerN(1, 3, 1200*time.Millisecond)
		h.offerN(1, 4, 2200*time.Millisecond)
		_, d := h.offer(2, 2950*time.Millisecond)
		Expect(d.Result).To(Equal(admission.RefusedTooLate))
		Expect(d.StartDelay).To(Equal(3 * time.Second))
		Expect(d.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(h.Waiting()).To(Equal(2))
	}),
	Entry("never refuses by prediction in FIFO mode", admission.Config{MaxRunning: 1, FIFO: true}, func(h *harness) {
		h.offerN(3, 1, time.Minute)
		_, d := h.offer(2, time.Millisecond)
		Expect(d.Result).To(Equal(admission.Admitted))
		Expect(h.startAll()).To(Equal([]int{1}))
	}),
	Entry("refuses when the adapter is resident too late", admission.Config{MaxRunning: 1}, func(h *harness) {
		item := admission.Item{ID: id(1), Adapter: adapter(1), FirstTokenDeadline: epoch.Add(time.Second)}
		Expect(h.Admit(epoch, item, 2*time.Second).Result).To(Equal(admission.RefusedTooLate))
		Expect(h.Admit(epoch, item, time.Second).Result).To(Equal(admission.Admitted))
	}),
	// An item that starts at the end of its budget returns its first token
	// after the deadline.
	Entry("subtracts the time to the first token from the budget", admission.Config{MaxRunning: 1}, func(h *harness) {
		n, _ := h.offer(1, time.Second)
		h.startNext()
		h.elapsed += 200 * time.Millisecond
		h.FirstToken(epoch.Add(h.elapsed), id(n))
		h.finish(n, 1)
		_, d := h.offer(1, 199*time.Millisecond)
		Expect(d.Result).To(Equal(admission.RefusedTooLate))
		h.offer(1, time.Second)
		h.elapsed += 801 * time.Millisecond
		Expect(h.startNext()).To(BeZero())
		Expect(h.RemoveExpired(epoch.Add(h.elapsed))).To(HaveLen(1))
	}),
	// A retry with little budget left starts before the waiting items with
	// later deadlines, so its predicted start must not include them.
	Entry("predicts by deadline, not by arrival", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offerN(20, 1, time.Minute)
		h.startAll()
		_, d := h.offer(2, 5*time.Second)
		Expect(d.Result).To(Equal(admission.Admitted))
		Expect(d.StartDelay).To(BeNumerically("<=", time.Second))
	}),
	// Items that start together after a pause use up the limit for a whole
	// service time.
	Entry("predicts from the age of running items", admission.Config{MaxRunning: 4}, func(h *harness) {
		h.serve(10, time.Second, 0)
		h.offerN(4, 1, time.Minute)
		h.startAll()
		h.elapsed += 100 * time.Millisecond
		Expect(h.Next(epoch.Add(h.elapsed), always)).Error().To(BeFalse())
		Expect(h.PredictStartDelay(false)).To(BeNumerically("~", 900*time.Millisecond, 10*time.Millisecond))
	}),
	Entry("predicts a start after long work that uses up the limit", admission.Config{MaxRunning: 1, MaxLongShare: 1}, func(h *harness) {
		h.offerN(1, 1, time.Hour, isLong)
		h.startNext()
		_, d := h.offer(1, 2*time.Second)
		Expect(d.Result).To(Equal(admission.RefusedTooLate))
		Expect(d.StartDelay).To(Equal(5 * time.Second))
	}),
	// Executions that fail at once must not lower the predicted service time.
	Entry("ignores the service time of a failed execution", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, time.Second, 0)
		for range 20 {
			n, _ := h.offer(1, time.Hour)
			h.startNext()
			h.Finished(epoch.Add(h.elapsed), id(n), admission.Outcome{Failed: true})
		}
		h.offer(1, time.Hour)
		h.startNext()
		_, d := h.offer(1, 100*time.Millisecond)
		Expect(d.StartDelay).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	}),
	Entry("removes an admitted item at its deadline", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offerN(1, 1, 3*time.Second)
		h.offerN(1, 1, 2*time.Second)
		h.offerN(1, 1, time.Minute, isHeld)
		h.elapsed = 4 * time.Second
		Expect(h.startNext()).To(BeZero())
		Expect(h.Waiting()).To(Equal(3))
		expired := h.RemoveExpired(epoch.Add(h.elapsed))
		Expect(expired).To(HaveLen(2))
		Expect(expired[0].ID).To(Equal(id(2)))
		Expect(h.RemoveExpired(epoch.Add(h.elapsed))).To(BeEmpty())
		Expect(h.Remove(id(1))).To(BeFalse())
	}),
	// Next has found that the items are overdue, but RemoveExpired has not removed
	// them yet: Remove and Release must handle this state.
	Entry("removes an overdue item before Expired", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offerN(2, 1, time.Second)
		h.elapsed = 2 * time.Second
		h.startNext()
		Expect(h.Remove(id(1))).To(BeTrue())
		h.Release(id(2))
		Expect(h.startNext()).To(BeZero())
		Expect(h.RemoveExpired(epoch.Add(h.elapsed))).To(HaveLen(1))
	}),
	// A reservation is held until the Run message of its request arrives. One
	// without a Run must not block the items behind it.
	Entry("starts others before a held item", admission.Config{MaxRunning: 3}, func(h *harness) {
		h.offerN(1, 1, time.Second, isHeld)
		h.offerN(1, 1, time.Minute)
		Expect(h.startAll()).To(Equal([]int{2}))
		h.Release(id(1))
		h.Release(id(1))
		Expect(h.startAll()).To(Equal([]int{1}))
	}),
	Entry("starts others before an item of an absent adapter and detects its load", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.absent[adapter(1)] = true
		h.offerN(1, 1, time.Second)
		h.offerN(1, 2, time.Minute)
		Expect(h.startAll()).To(Equal([]int{2}))
		delete(h.absent, adapter(1))
		Expect(h.startAll()).To(Equal([]int{1}))
	}),
	// Without a call of AdapterReady no start may be lost.
	Entry("detects the one loaded adapter among many", admission.Config{MaxRunning: 100}, func(h *harness) {
		for a := 1; a <= 20; a++ {
			h.absent[adapter(a)] = true
			h.offerN(1, a, time.Hour)
		}
		Expect(h.startAll()).To(BeEmpty())
		delete(h.absent, adapter(9))
		Expect(h.startAll()).To(Equal([]int{9}))
		delete(h.absent, adapter(20))
		h.offerN(60, 30, 2*time.Hour)
		Expect(h.startAll()[:50]).To(ContainElement(20))
	}),
	// Without AdapterReady the loaded adapter would wait until Next checks it
	// in turn among the absent ones.
	Entry("starts the items of a loaded adapter at once after AdapterReady", admission.Config{MaxRunning: 50}, func(h *harness) {
		for a := 1; a <= 20; a++ {
			h.absent[adapter(a)] = true
			h.offerN(1, a, time.Second)
		}
		h.startAll()
		delete(h.absent, adapter(20))
		h.AdapterReady(adapter(20))
		h.offerN(1, 30, time.Minute)
		Expect(h.startAll()).To(Equal([]int{20, 21}))
	}),
	Entry("starts the earliest deadline first", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.offerN(1, 1, 900*time.Millisecond)
		h.offerN(1, 2, 300*time.Millisecond)
		h.offerN(1, 3, 600*time.Millisecond)
		Expect(h.startAll()).To(Equal([]int{2, 3, 1}))
	}),
	Entry("groups by adapter while no deadline is at risk", admission.Config{MaxRunning: 9}, func(h *harness) {
		for a := range 6 {
			h.offerN(1, a%2, time.Minute)
		}
		Expect(h.startAll()).To(Equal([]int{1, 3, 5, 2, 4, 6}))
	}),
	Entry("ends grouping for a deadline at risk", admission.Config{MaxRunning: 9}, func(h *harness) {
		h.offerN(3, 1, time.Minute)
		h.startNext()
		h.offerN(1, 2, 50*time.Millisecond)
		Expect(h.startAll()).To(Equal([]int{4, 2, 3}))
	}),
	// A hot adapter in the batch would otherwise delay the other items until
	// their deadlines are at risk.
	Entry("bounds how often an item is bypassed", admission.Config{MaxRunning: 1000}, func(h *harness) {
		h.offerN(1, 1, time.Hour)
		h.startNext()
		h.offerN(1, 2, time.Hour)
		h.offerN(200, 1, 2*time.Hour)
		order := h.startAll()
		Expect(order).To(HaveLen(201))
		Expect(order[:40]).To(ContainElement(2))
		Expect(order[:20]).NotTo(ContainElement(2))
	}),
	// Without a reserve the hot adapter is admitted until the predicted wait
	// fills the whole budget, and every other adapter is refused.
	Entry("reserves a part of the budget for underserved adapters", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, 100*time.Millisecond, 0)
		h.offerN(100, 1, 2*time.Second)
		hot, cold := 0, 0
		_, d := h.offer(1, 2*time.Second)
		if d.Result == admission.Admitted {
			hot++
		}
		for a := 2; a < 5; a++ {
			if _, d = h.offer(a, 2*time.Second); d.Result == admission.Admitted {
				cold++
			}
		}
		Expect([]int{hot, cold}).To(Equal([]int{0, 3}))
	}),
	Entry("reserves places for short work and other adapters", admission.Config{MaxRunning: 1, MaxWaiting: 100}, func(h *harness) {
		h.offerN(100, 1, time.Hour, isLong)
		Expect(h.Waiting()).To(Equal(50))
		h.offerN(100, 1, time.Hour)
		Expect(h.Waiting()).To(BeNumerically("<", 100))
		_, d := h.offer(2, time.Hour)
		Expect(d.Result).To(Equal(admission.Admitted))
		for a := range 100 {
			_, d = h.offer(100+a, time.Hour)
		}
		Expect(h.Waiting()).To(Equal(100))
		Expect(d.Result).To(Equal(admission.RefusedQueueFull))
		Expect(d.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
	}),
	// Callers that send their requests together, for example when a shift begins,
	// are refused together; they must not retry together.
	Entry("spreads the retries of refused callers", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.serve(10, 100*time.Millisecond, 0)
		h.offerN(20, 1, 2*time.Second)
		var last time.Duration
		seen := make(map[time.Duration]int)
		for range 50 {
			_, d := h.offer(1, 500*time.Millisecond)
			Expect(d.RetryAfter).To(BeNumerically(">=", d.StartDelay-500*time.Millisecond))
			seen[d.RetryAfter/(200*time.Millisecond)]++
			last = max(last, d.RetryAfter)
		}
		Expect(len(seen)).To(BeNumerically(">=", 10))
		Expect(last).To(BeNumerically("<=", 12*time.Second))
		h.elapsed += time.Minute
		h.RemoveExpired(epoch.Add(h.elapsed))
		h.offerN(1, 1, time.Second)
		h.startNext()
		_, d := h.offer(1, 50*time.Millisecond)
		Expect(d.RetryAfter).To(BeNumerically("<=", 200*time.Millisecond))
	}),
	Entry("bounds long work by its share", admission.Config{MaxRunning: 8, MaxLongShare: 0.25}, func(h *harness) {
		h.offerN(5, 1, time.Hour, isLong)
		Expect(h.startAll()).To(HaveLen(2))
		h.offerN(7, 1, time.Hour)
		Expect(h.startAll()).To(HaveLen(6))
	}),
	Entry("runs long work with share 0 only while no short work waits", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.offerN(2, 1, time.Hour, isLong)
		h.absent[adapter(2)] = true
		h.offerN(1, 2, time.Hour)
		Expect(h.startNext()).To(BeZero())
		h.Remove(id(3))
		Expect(h.startAll()).To(Equal([]int{1}))
		h.offerN(1, 1, time.Hour)
		Expect(h.startAll()).To(Equal([]int{4}))
	}),
	// A steady short load would otherwise use up the limit of long work as well.
	Entry("starts long work at risk within its share", admission.Config{MaxRunning: 4, MaxLongShare: 0.5}, func(h *harness) {
		h.offerN(10, 1, time.Hour)
		h.offerN(1, 1, 6*time.Second, isLong)
		Expect(h.startNext()).To(Equal(1))
		h.elapsed += 5900 * time.Millisecond
		Expect(h.startNext()).To(Equal(11))
	}),
	// A target that is never idle can serve 14,000 adapters over time; the
	// queue must not keep an adapter queue for each.
	Entry("deletes the adapter queues of idle adapters", admission.Config{MaxRunning: 1}, func(h *harness) {
		h.offerN(1, 0, time.Hour)
		for a := range 5000 {
			n, _ := h.offer(a+1, time.Hour)
			h.Remove(id(n))
		}
		Expect(h.AdapterQueues()).To(BeNumerically("<", 200))
	}),
	Entry("ignores unknown items and adapters and repeated offers", admission.Config{MaxRunning: 2}, func(h *harness) {
		h.finish(7, 1)
		h.Release(id(7))
		h.AdapterReady(adapter(7))
		Expect(h.Remove(id(7))).To(BeFalse())
		n, _ := h.offer(1, time.Hour)
		again := admission.Item{ID: id(n), Adapter: adapter(1), FirstTokenDeadline: epoch.Add(time.Hour)}
		h.Admit(epoch, again, 0)
		Expect(h.Waiting()).To(Equal(1))
		h.startNext()
		h.Admit(epoch, again, 0)
		Expect([]int{h.Waiting(), h.Running()}).To(Equal([]int{0, 1}))
		Expect(h.Remove(id(n))).To(BeFalse())
	}),
	Entry("ignores the service time when the clock goes back", admission.Config{MaxRunning: 1}, func(h *harness) {
		n, _ := h.offer(1, time.Hour)
		h.startNext()
		h.elapsed = -time.Hour
		h.finish(n, 1)
		h.offer(1, 2*time.Hour)
		h.startNext()
		Expect(h.PredictStartDelay(false)).To(Equal(500 * time.Millisecond))
	}),
)
