package slots_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/slots"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}

var (
	start = time.Unix(1_700_000_000, 0)
	a1    = slots.Key{Adapter: "a", Version: "1"}
	a2    = slots.Key{Adapter: "a", Version: "2"}
	b1    = slots.Key{Adapter: "b", Version: "1"}
	c1    = slots.Key{Adapter: "c", Version: "1"}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// table returns a table with size slots in which keys are resident, each with
// one request.
func table(size int, keys ...slots.Key) *slots.Table {
	t := slots.New(size, slots.Frequency)
	for _, k := range keys {
		t.RecordRequest(start, k, 1)
		t.BeginLoad(k)
		t.Loaded(k)
	}
	return t
}

var _ = Describe("Table", func() {
	DescribeTable("plans the next step to load an adapter",
		func(size int, prepare func(*slots.Table), want slots.LoadPlan) {
			t := table(size, a1, b1)
			prepare(t)
			Expect(t.Plan(start, c1)).To(Equal(want))
		},
		Entry("a free slot", 3, func(*slots.Table) {}, slots.LoadPlan{Load: true}),
		Entry("the less requested adapter is evicted", 2, func(t *slots.Table) { t.RecordRequest(start, a1, 1) }, slots.LoadPlan{Evict: &b1}),
		Entry("a pinned adapter stays although it is less requested", 2, func(t *slots.Table) { t.RecordRequest(start, a1, 1); t.Pin(b1) }, slots.LoadPlan{Evict: &a1}),
		Entry("all slots pinned", 2, func(t *slots.Table) { t.Pin(a1); t.Pin(b1) }, slots.LoadPlan{Blocked: true}),
		Entry("one pinned, one unloading", 2, func(t *slots.Table) { t.Pin(a1); t.BeginUnload(b1) }, slots.LoadPlan{Blocked: true}),
		// An engine that refuses an unload must not get the same order in a loop.
		Entry("an unload that failed is not repeated at once", 2,
			func(t *slots.Table) { t.Pin(a1); t.BeginUnload(b1); t.UnloadFailed(start, b1) }, slots.LoadPlan{Blocked: true}),
		// A second load of the same adapter would occupy a second slot.
		Entry("the adapter is already loading", 3, func(t *slots.Table) { t.BeginLoad(c1) }, slots.LoadPlan{Blocked: true}),
		Entry("its last load failed", 3, func(t *slots.Table) { t.BeginLoad(c1); t.LoadFailed(start, c1) }, slots.LoadPlan{NotBefore: at(0.5)}),
		// The late result of the old order would be taken for that of a new one.
		Entry("the result of an order from before a reset is pending", 3, func(t *slots.Table) { t.BeginLoad(c1); t.Reset(start, nil) }, slots.LoadPlan{Blocked: true}),
		Entry("the result of an order from before a reset has arrived", 3,
			func(t *slots.Table) { t.BeginLoad(c1); t.Reset(start, nil); t.ResolvePending(c1) }, slots.LoadPlan{Load: true}),
		Entry("the result of an order from before a reset is overdue", 3,
			func(t *slots.Table) { t.BeginLoad(c1); t.Reset(start.Add(-slots.OrderResultTimeout), nil) }, slots.LoadPlan{Load: true}),
		Entry("a lower capacity", 3, func(t *slots.Table) { t.SetCapacity(1) }, slots.LoadPlan{Evict: &a1}),
	)

	DescribeTable("refuses changes that the state does not allow",
		func(change func(*slots.Table) bool) {
			t := table(2, a1, b1)
			t.Pin(b1)
			Expect([]any{change(t), t.Resident(), t.OccupiedCount()}).To(Equal([]any{false, []slots.Key{a1, b1}, 2}))
		},
		Entry("load without a slot", func(t *slots.Table) bool { return t.BeginLoad(c1) }),
		Entry("load of a resident adapter", func(t *slots.Table) bool { return t.BeginLoad(a1) }),
		Entry("result of a load that was not begun", func(t *slots.Table) bool { return t.Loaded(c1) || t.LoadFailed(start, a1) }),
		Entry("unload of a pinned adapter", func(t *slots.Table) bool { return t.BeginUnload(b1) }),
		Entry("end of an unload that was not begun", func(t *slots.Table) bool { return t.Unloaded(a1) || t.UnloadFailed(start, a1) }),
		Entry("settling an order without a reset", func(t *slots.Table) bool { return t.ResolvePending(a1) }),
	)

	// Without growth an adapter that cannot be loaded would use up the load
	// budget; without a bound it would stay absent after its repair.
	It("doubles the backoff up to its bound and resets it after a load", func() {
		t := table(1)
		for _, want := range []float64{0.5, 1, 2, 4, 8, 16, 30, 30} {
			t.BeginLoad(a1)
			t.LoadFailed(start, a1)
			Expect(t.NotBefore(a1)).To(Equal(at(want)))
		}
		Expect([]any{t.BeginLoad(a1), t.Loaded(a1), t.NotBefore(a1)}).To(Equal([]any{true, true, time.Time{}}))
	})

	DescribeTable("unloads a version that a newer configuration replaced",
		func(prepare func(*slots.Table), after float64, want []slots.Key) {
			t := table(3, a1, a2)
			prepare(t)
			Expect(t.Obsolete(at(after))).To(Equal(want))
		},
		Entry("replaced and unused", func(t *slots.Table) { t.RecordRequest(at(1), a2, 2) }, 11.0, []slots.Key{a1}),
		Entry("replaced and in use", func(t *slots.Table) { t.RecordRequest(at(1), a2, 2); t.Pin(a1) }, 11.0, nil),
		Entry("replaced shortly before", func(t *slots.Table) { t.RecordRequest(at(1), a2, 2) }, 2.0, nil),
		// Two routes may use two versions permanently.
		Entry("both in the newest configuration", func(t *slots.Table) { t.RecordRequest(at(1), a2, 2); t.RecordRequest(at(1), a1, 2) }, 20.0, nil),
		Entry("the new version is not loaded yet", func(t *slots.Table) { t.BeginUnload(a2); t.Unloaded(a2); t.RecordRequest(at(1), a2, 2) }, 11.0, nil),
		Entry("another adapter is newer", func(t *slots.Table) { t.BeginLoad(b1); t.Loaded(b1); t.RecordRequest(at(1), b1, 9) }, 11.0, nil),
	)

	// A report that was requested before a change must not undo the change.
	DescribeTable("is corrected by a report of the engine",
		func(later func(*slots.Table), report, want []slots.Key) {
			t := table(3, a1, b1)
			mark := t.ChangeCount()
			later(t)
			t.Reconcile(mark, report)
			Expect(t.Resident()).To(Equal(want))
		},
		Entry("an adapter is no longer reported", func(*slots.Table) {}, []slots.Key{b1}, []slots.Key{b1}),
		Entry("an adapter is reported that was absent", func(*slots.Table) {}, []slots.Key{a1, b1, c1}, []slots.Key{a1, b1, c1}),
		Entry("loaded since", func(t *slots.Table) { t.BeginLoad(c1); t.Loaded(c1) }, []slots.Key{a1, b1}, []slots.Key{a1, b1, c1}),
		Entry("unloaded since", func(t *slots.Table) { t.BeginUnload(a1); t.Unloaded(a1) }, []slots.Key{a1, b1}, []slots.Key{b1}),
		Entry("unloading", func(t *slots.Table) { t.BeginUnload(a1) }, []slots.Key{b1}, []slots.Key{b1}),
	)

	// An unload in progress can take effect after the report.
	It("does not treat an adapter as resident that an order in progress may still unload", func() {
		t := table(2, a1, b1)
		t.BeginUnload(a1)
		t.Reset(start, []slots.Key{a1, b1})
		Expect([]any{t.State(a1), t.State(b1), t.OccupiedCount(), t.ResolvePending(a1), t.Unloaded(a1)}).To(Equal([]any{slots.Unloading, slots.Resident, 2, false, true}))
	})

	It("keeps pins and backoffs over an engine restart", func() {
		t := table(2, a1)
		t.Pin(a1)
		t.BeginLoad(b1)
		t.LoadFailed(start, b1)
		t.Reset(start, []slots.Key{c1})
		Expect([]any{t.Resident(), t.Pins(a1), t.State(a1), t.NotBefore(b1)}).To(Equal([]any{[]slots.Key{c1}, 1, slots.Absent, at(0.5)}))
	})

	// Requests of long ago must not delay the adjustment to a change in
	// popularity.
	It("gives old requests little weight", func() {
		t := table(2, a1, b1)
		for i := range 103 {
			t.RecordRequest(at(float64(i/100*600)), []slots.Key{a1, b1}[i/100], 1)
		}
		Expect(*t.Plan(at(600), c1).Evict).To(Equal(a1))
	})

	It("bounds the tracked adapters and keeps the most requested ones", func() {
		warm, recent := slots.Key{Adapter: "warm"}, slots.Key{Adapter: "recent"}
		t := table(8, a1)
		t.Pin(b1)
		t.BeginLoad(c1)
		t.LoadFailed(at(140), c1)
		for i := range 14_000 * 2 {
			t.RecordRequest(at(float64(i)/200), slots.Key{Adapter: fmt.Sprint(i % 14_000)}, 1)
			if i%20 == 0 {
				t.RecordRequest(at(float64(i)/200), warm, 1)
			}
			Expect(t.RecordCount()).To(BeNumerically("<=", slots.PruneThreshold+1))
		}
		for range 100 {
			t.RecordRequest(at(140), recent, 1)
		}
		for _, k := range []slots.Key{recent, warm} {
			t.BeginLoad(k)
			t.Loaded(k)
		}
		t.Pin(a1)
		t.SetCapacity(3)
		Expect([]any{*t.Plan(at(140), b1).Evict, t.Pins(b1), t.State(a1), t.NotBefore(c1)}).To(Equal([]any{recent, 1, slots.Resident, at(140.5)}))
	})

	It("never evicts a pinned adapter and never exceeds its slots", func() { rapid.Check(GinkgoT(), pinsAndCapacityProperty) })

	// A policy that evicts frequently requested adapters would load them again and
	// again from the weight store.
	DescribeTable("loads less often than LRU and at most 15% more often than the best fixed set",
		func(exponent float64) {
			trace := zipfTrace(exponent, 40_000)
			frequency, lru, fixed := replay(trace, slots.Frequency), replay(trace, slots.LRU), bestFixed(trace)
			AddReportEntry(fmt.Sprintf("loads per request: frequency %.3f, LRU %.3f, best fixed %.3f", frequency, lru, fixed))
			Expect(frequency).To(BeNumerically("<=", min(1.15*fixed, 0.85*lru)))
		},
		Entry("Zipf 1.0", 1.0), Entry("Zipf 1.2", 1.2))
})

// pinsAndCapacityProperty calls a table in random order and compares its pins
// with a reference count.
func pinsAndCapacityProperty(t *rapid.T) {
	const size = 3
	table := slots.New(size, slots.Policy(rapid.IntRange(0, 1).Draw(t, "policy")))
	pins := map[slots.Key]int{}
	now := start
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		k := slots.Key{Adapter: rapid.StringMatching("[a-d]").Draw(t, "adapter"), Version: rapid.StringMatching("[12]").Draw(t, "version")}
		now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		unload := func(old slots.Key) {
			if pins[old] > 0 || !table.BeginUnload(old) {
				t.Fatalf("unloads %v with %d pins", old, pins[old])
			}
		}
		switch rapid.IntRange(0, 8).Draw(t, "step") {
		case 0:
			table.RecordRequest(now, k, uint64(rapid.IntRange(0, 3).Draw(t, "revision")))
			table.Pin(k)
			pins[k]++
		case 1:
			table.Unpin(k)
			pins[k] = max(0, pins[k]-1)
		case 2:
			plan := table.Plan(now, k)
			if plan.Evict != nil {
				unload(*plan.Evict)
			}
			if plan.Load && !table.BeginLoad(k) {
				t.Fatalf("plans a load of %v that cannot begin", k)
			}
		case 3:
			table.Loaded(k)
		case 4:
			table.LoadFailed(now, k)
		case 5:
			table.Unloaded(k)
		case 6:
			table.UnloadFailed(now, k)
		case 7:
			for _, old := range table.Obsolete(now) {
				unload(old)
			}
		case 8:
			table.Reset(now, []slots.Key{k})
		}
		if table.OccupiedCount() > size || table.Pins(k) != pins[k] {
			t.Fatalf("%d slots in use, %d pins on %v, want %d", table.OccupiedCount(), table.Pins(k), k, pins[k])
		}
	}
}

const adapters, targets, capacity = 3000, 12, 8

// zipfTrace draws requests for adapters from a Zipf distribution. Each adapter is
// served by one target here: its number modulo targets. Numbers are assigned to the
// popularity ranks at random.
func zipfTrace(exponent float64, n int) []int {
	rng := rand.New(rand.NewSource(1))
	numbers := rng.Perm(adapters)
	cumulative := make([]float64, adapters)
	for i := range cumulative {
		cumulative[i] = cumulative[max(i-1, 0)] + math.Pow(float64(i+1), -exponent)
	}
	trace := make([]int, n)
	for i := range trace {
		rank, _ := slices.BinarySearch(cumulative, rng.Float64()*cumulative[adapters-1])
		trace[i] = numbers[rank]
	}
	return trace
}

// replay returns the loads per request of a policy at 20 requests per second.
func replay(trace []int, policy slots.Policy) float64 {
	tables := map[int]*slots.Table{}
	loads := 0
	for i, adapter := range trace {
		t, ok := tables[adapter%targets]
		if !ok {
			t = slots.New(capacity, policy)
			tables[adapter%targets] = t
		}
		now, k := at(float64(i)/20), slots.Key{Adapter: fmt.Sprint(adapter)}
		t.RecordRequest(now, k, 1)
		if t.State(k) == slots.Resident {
			continue
		}
		loads++
		if plan := t.Plan(now, k); plan.Evict != nil {
			t.BeginUnload(*plan.Evict)
			t.Unloaded(*plan.Evict)
		}
		t.BeginLoad(k)
		t.Loaded(k)
	}
	return float64(loads) / float64(len(trace))
}

// bestFixed returns the loads per request if the most requested adapters of
// each target stay resident and every other request causes a load.
func bestFixed(trace []int) float64 {
	var counts [targets][adapters/targets + 1]int
	for _, adapter := range trace {
		counts[adapter%targets][adapter/targets]++
	}
	misses := 0
	for _, list := range counts {
		slices.Sort(list[:])
		for _, n := range list[:len(list)-capacity] {
			misses += n
		}
	}
	return float64(misses) / float64(len(trace))
}
