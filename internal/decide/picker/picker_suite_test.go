package picker_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/picker"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestPicker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "picker")
}

var start = time.Unix(1_000_000, 0)

// option changes one property of a candidate.
type option func(*picker.Candidate)

func load(n float64) option           { return func(c *picker.Candidate) { c.Load, c.RecentLoad = n, n } }
func recentLoad(n float64) option     { return func(c *picker.Candidate) { c.RecentLoad = n } }
func slow(factor float64) option      { return func(c *picker.Candidate) { c.LatencyRatio = factor } }
func slowStartShare(s float64) option { return func(c *picker.Candidate) { c.SlowStartShare = s } }
func resident(c *picker.Candidate) {
	c.Resident = true
}
func home(c *picker.Candidate)         { c.Home = true }
func unusable(c *picker.Candidate)     { c.Usable = false }
func tried(c *picker.Candidate)        { c.Tried = true }
func ejected(c *picker.Candidate)      { c.Ejected = true }
func unresponsive(c *picker.Candidate) { c.Unresponsive = true }
func prefix(c *picker.Candidate)       { c.PrefixHit = true }

func target(options ...option) picker.Candidate {
	c := picker.Candidate{Usable: true, MaxRunning: 8, LatencyRatio: 1, SlowStartShare: 1}
	for _, s := range options {
		s(&c)
	}
	return c
}

var _ = Describe("Affinity", func() {
	// Guards against a request that goes to a target which cannot take it, is
	// slow or is overloaded, and against needless adapter loads. Each entry
	// has the mean load, the expected index (-1 for none) and the
	// candidates in the order of preference.
	DescribeTable("picks", func(mean float64, want int, candidates ...picker.Candidate) {
		p := picker.New(picker.Affinity, nil)
		got, ok := p.Pick(&picker.PoolMeans{Load: mean}, candidates)
		Expect(ok).To(Equal(want >= 0))
		Expect(got).To(Equal(want))
	},
		Entry("nothing from an empty list", 4.0, -1),
		Entry("nothing when none is usable", 4.0, -1, target(unusable), target(tried)),
		Entry("the home for an absent adapter although the second target is less loaded", 4.0, 0,
			target(home, load(4)), target(load(2)), target()),
		Entry("the next target below the bound for an absent adapter when its home is overloaded", 4.0, 1,
			target(home, load(6)), target(load(2)), target()),
		Entry("the first of two equal targets", 4.0, 0, target(home), target()),
		Entry("the home that holds the adapter although another is idle", 4.0, 0,
			target(home, resident, load(4)), target(), target()),
		Entry("the home although another target is assumed to hold the adapter", 4.0, 0,
			target(home), target(), target(resident, load(3))),
		Entry("the home rather than another holder, so that a copy can be removed", 4.0, 0,
			target(home, resident, load(4)), target(resident)),
		Entry("the idle home without the adapter, once it is a home", 4.0, 1,
			target(home, resident, load(4)), target(home, load(1))),
		Entry("the holder when the other home is not much less loaded", 4.0, 0,
			target(home, resident, load(3)), target(home, load(2))),
		Entry("the next target below the bound when all holders are overloaded", 8.0, 2,
			target(home, resident, load(11)), target(load(10.1)), target(load(9))),
		Entry("another holder when the home is above 1.25 of the mean", 8.0, 2,
			target(home, resident, load(10.1)), target(), target(resident, load(5))),
		Entry("the home at 1.25 of the mean", 8.0, 0, target(home, resident, load(10)), target()),
		Entry("the home in an idle pool with a request there", 0.1, 0,
			target(home, resident, load(1), recentLoad(0.5)), target()),
		Entry("the home that is above the bound for a moment only", 8.0, 0,
			target(home, resident, load(12), recentLoad(7)), target()),
		Entry("the home of an absent adapter although another target was less loaded lately", 1.0, 0,
			target(home, recentLoad(1)), target(load(1), recentLoad(0.2))),
		Entry("the now less loaded of two holders", 4.0, 1,
			target(home, resident, load(4), recentLoad(2)), target(home, resident, load(1), recentLoad(2.2))),
		Entry("the cheapest when all are overloaded", 2.0, 1,
			target(home, load(9)), target(resident, load(8)), target(load(9))),
		Entry("not an ejected home", 4.0, 1, target(home, resident, ejected), target()),
		Entry("an ejected one rather than none", 4.0, 1, target(unusable), target(ejected)),
		Entry("not a home that does not answer", 4.0, 1, target(home, resident, unresponsive), target()),
		Entry("an ejected target rather than one that does not answer", 4.0, 0, target(ejected), target(unresponsive)),
		Entry("not a tried home", 4.0, 1, target(home, resident, tried), target()),
		Entry("the faster of two about equally loaded homes", 4.0, 1,
			target(home, resident, load(2), slow(2)), target(home, resident, load(3))),
		Entry("another target when the slow start of a restarted home bounds its load", 4.0, 1,
			target(home, resident, load(1.2), slowStartShare(0.2)), target(load(4))),
		Entry("the one of two homes that is not in slow start", 4.0, 1,
			target(home, resident, slowStartShare(0.4)), target(home, resident, load(1))),
		Entry("the cached prefix among about equal homes", 8.0, 1,
			target(home, resident, load(7)), target(home, resident, load(8), prefix)),
		Entry("not the cached prefix at a clearly busier home", 8.0, 0,
			target(home, resident, load(4)), target(home, resident, load(8), prefix)),
	)

	// A pool in which every target is ejected or unresponsive must still serve.
	It("picks a usable target whenever there is one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			candidates := make([]picker.Candidate, rapid.IntRange(0, 6).Draw(t, "n"))
			usable := false
			for i := range candidates {
				bit := func(name string) bool { return rapid.Bool().Draw(t, name) }
				candidates[i] = picker.Candidate{
					Home: bit("home"), Usable: bit("usable"), Ejected: bit("ejected"), Unresponsive: bit("silent"),
					Tried: bit("tried"), Resident: bit("resident"), PrefixHit: bit("prefix"),
					Load: rapid.Float64Range(0, 20).Draw(t, "load"), MaxRunning: rapid.IntRange(0, 16).Draw(t, "limit"),
				}
				usable = usable || candidates[i].Usable && !candidates[i].Tried
			}
			for _, policy := range []picker.Strategy{picker.Affinity, picker.Random} {
				i, ok := picker.New(policy, rand.New(rand.NewSource(1))).Pick(&picker.PoolMeans{Load: 4}, candidates)
				if ok != usable || ok && (!candidates[i].Usable || candidates[i].Tried) {
					t.Fatalf("policy %d returned candidate %d and %v, which does not match the usable candidates", policy, i, ok)
				}
			}
		})
	})

	// Random is for comparison in experiments, so it must not use load or
	// residency.
	It("ignores load and residency under Random", func() {
		p := picker.New(picker.Random, rand.New(rand.NewSource(1)))
		counts := make([]int, 3)
		for range 3000 {
			i, _ := p.Pick(&picker.PoolMeans{}, []picker.Candidate{target(home, resident), target(load(50)), target(ejected)})
			counts[i]++
		}
		Expect(counts).To(HaveEach(BeNumerically("~", 1000, 150)))
	})
})

var _ = Describe("Load", func() {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	// Reports are late, so a burst of own requests must raise the estimate
	// without them.
	It("counts own requests at once", func() {
		var l picker.LoadEstimator
		l.Report(at(0), 0)
		l.Add(at(0.1), 5)
		expect := func(when, current, recent float64) {
			gotCurrent, gotRecent := l.Estimate(at(when), 0)
			Expect([]float64{gotCurrent, gotRecent}).To(HaveExactElements(BeNumerically("~", current, 0.1), BeNumerically("~", recent, 0.1)))
		}
		expect(0.1, 5, 0)
		expect(60, 5, 5)
		l.Add(at(60), -5)
		expect(60, 0, 5)
		expect(120, 0, 0)
	})

	// A report that is 2 s late shows the entry's own requests of that time.
	// They must not count as requests of other entries.
	It("does not count its own requests in a late report as those of other entries", func() {
		var l picker.LoadEstimator
		own := func(s float64) int { return 4 + 3*(int(s)/2%2) }
		last := 0
		for s := 0.0; s < 30; s += 0.1 {
			l.Add(at(s), own(s)-last)
			last = own(s)
			if s > 2 {
				l.Report(at(s), own(s-2))
			}
		}
		Expect(l.Others()).To(BeNumerically("<", 1.5))
	})

	// Without the lower weight, a target whose reports stopped would keep its
	// last load.
	It("counts the requests of other entries and gives an old report less weight", func() {
		var l picker.LoadEstimator
		for s := 0.0; s < 10; s++ {
			l.Report(at(s), 6)
		}
		fresh, _ := l.Estimate(at(9), 1)
		old, _ := l.Estimate(at(60), 1)
		Expect(fresh).To(BeNumerically("~", 6, 0.1))
		Expect(old).To(BeNumerically("~", 1, 0.1))
	})

	// With its full share at once, a restarted target would have to load an
	// adapter for almost every request.
	It("gets its full share after the slow start", func() {
		Expect(picker.SlowStartShare(at(0), time.Time{})).To(BeNumerically("==", 1))
		Expect(picker.SlowStartShare(at(0), at(0))).To(BeNumerically("~", 0.1, 0.01))
		Expect(picker.SlowStartShare(at(5), at(0))).To(BeNumerically("~", 0.5, 0.01))
		Expect(picker.SlowStartShare(at(20), at(0))).To(BeNumerically("==", 1))
	})

	// A target that became slow must be avoided at once, but not for good: it
	// gets no requests that would show its recovery.
	It("follows a latency peak at once and lets it decay", func() {
		var l picker.PeakLatency
		l.Observe(at(0), 100*time.Millisecond)
		l.Observe(at(0), 500*time.Millisecond)
		Expect(l.Read(at(0))).To(Equal(500 * time.Millisecond))
		l.Observe(at(0), 100*time.Millisecond)
		Expect(l.Read(at(0))).To(Equal(400 * time.Millisecond))
		l.RaiseTo(at(0), 50*time.Millisecond)
		Expect(l.Read(at(0))).To(Equal(400*time.Millisecond), "a lower bound does not lower it")
		l.RaiseTo(at(0), 450*time.Millisecond)
		Expect(l.Read(at(0))).To(Equal(450 * time.Millisecond))
		Expect(l.Read(at(30))).To(BeNumerically("<", 30*time.Millisecond))
	})
})

var _ = Describe("Outliers", func() {
	const normalLatency, slowLatency = 100 * time.Millisecond, 500 * time.Millisecond
	var o *picker.OutlierDetector
	now := start
	name := func(i int) string { return fmt.Sprint("t", i) }
	// addSamples adds n samples for each target of a pool, of which the first
	// slowCount are slow.
	addSamples := func(n, pool, slowCount int) {
		for range n {
			now = now.Add(200 * time.Millisecond)
			for i := range pool {
				sample := normalLatency
				if i < slowCount {
					sample = slowLatency
				}
				o.Observe(now, name(i), sample)
			}
		}
	}
	ejectedCount := func(pool int) (n int) {
		for i := range pool {
			if o.Ejected(name(i)) {
				n++
			}
		}
		return n
	}
	BeforeEach(func() { o, now = picker.NewOutlierDetector(), start })

	// Guards against stragglers that are not ejected, and against the ejection
	// of so many targets that the others are overloaded.
	DescribeTable("ejects", func(pool, usable, slowCount, want int) {
		o.SetUsable(usable)
		addSamples(4, pool, slowCount)
		Expect(ejectedCount(pool)).To(Equal(want))
	},
		Entry("two stragglers of 12", 12, 12, 2, 2),
		Entry("at most a quarter", 12, 12, 5, 3),
		Entry("at most a quarter of the usable ones", 12, 4, 2, 1),
		Entry("none of a pool of three", 3, 3, 1, 0),
		Entry("none without a straggler", 12, 12, 0, 0),
		Entry("none when all are slow", 12, 12, 12, 0),
	)

	// A single slow request is no proof of a slow target.
	It("ejects no target after one sample", func() {
		o.SetUsable(12)
		addSamples(5, 12, 0)
		o.Observe(now, name(0), slowLatency)
		o.Observe(now, name(12), slowLatency)
		Expect(ejectedCount(13)).To(BeZero())
	})

	// If only answers counted, a straggler would get requests until its first
	// slow answers arrive.
	It("detects a straggler by the age of its open attempts", func() {
		o.SetUsable(12)
		addSamples(5, 12, 0)
		for range 4 {
			o.ObserveOpenAttempt(now, name(0), slowLatency)
			for range 5 {
				o.ObserveOpenAttempt(now, name(0), normalLatency/2)
			}
		}
		Expect(o.Ejected(name(0))).To(BeTrue(), "a short wait is no sample")
	})

	// Requests at a straggler are hedged. The hedge answers first and ends
	// them, so their own latency is never known.
	It("detects a straggler whose requests are all overtaken", func() {
		o.SetUsable(12)
		addSamples(5, 12, 0)
		o.ObserveHedgeWon(now, name(0), normalLatency*3/2)
		Expect(o.Ejected(name(0))).To(BeFalse(), "one overtaken attempt is not enough")
		o.ObserveHedgeWon(now, name(0), normalLatency*3/2)
		Expect(o.Ejected(name(0))).To(BeTrue())
	})

	// A recovered target must be readmitted, and a lasting straggler must get
	// fewer and fewer probes.
	It("readmits a target by a probe and doubles the delay after a failed one", func() {
		due := func() bool { return o.ProbeDue(now, name(0)) }
		o.SetUsable(12)
		addSamples(4, 12, 1)
		now = now.Add(time.Second)
		Expect(due()).To(BeTrue())
		o.RequestSent(now, name(0))
		Expect(due()).To(BeFalse(), "one probe at a time")
		o.Observe(now, name(0), slowLatency)
		now = now.Add(1500 * time.Millisecond)
		Expect(due()).To(BeFalse(), "the delay doubles")
		now = now.Add(time.Second)
		o.RequestSent(now, name(0))
		o.ObserveOpenAttempt(now, name(0), normalLatency)
		Expect(o.Ejected(name(0))).To(BeTrue(), "a lower bound does not pass a probe")
		o.ObserveHedgeWon(now, name(0), slowLatency)
		now = now.Add(3 * time.Second)
		Expect(due()).To(BeFalse(), "the delay doubles again")
		for i := range 12 {
			o.Observe(now, name(i), normalLatency)
		}
		Expect(o.EjectedCount()).To(BeZero())
		Expect(o.Ejected(name(0))).To(BeFalse())
	})

	// Otherwise ejected targets that were removed or restarted would count
	// toward the quarter, and no other target could be ejected.
	It("no longer counts a forgotten target as ejected", func() {
		o.SetUsable(4)
		addSamples(4, 4, 1)
		Expect(o.EjectedCount()).To(Equal(1))
		o.Forget(name(0))
		o.Forget(name(0))
		Expect(o.EjectedCount()).To(BeZero())
	})
})

var _ = Describe("Hints", func() {
	// Guards against dropping all hints of a target when their number reaches
	// the bound: every adapter there would then count as absent.
	It("drops only the oldest hint when full", func() {
		h := picker.NewHints[int](3)
		for i := range 3 {
			h.Confirm(i)
		}
		h.Confirm(0)
		h.Confirm(3)
		Expect([]bool{h.Has(0), h.Has(1), h.Has(2), h.Has(3)}).To(Equal([]bool{true, false, true, true}))
		h.Remove(0)
		h.Remove(0)
		Expect(h.Len()).To(Equal(2))
	})

	type event struct {
		sequence        uint64
		stored, evicted []uint64
	}
	// Guards against requests that are sent to a target for a prefix that it
	// has evicted.
	DescribeTable("follow cache events", func(want []uint64, events ...event) {
		p := picker.NewPrefixHints()
		p.RecordAnswered(1)
		for _, e := range events {
			p.ApplyCacheEvent(e.sequence, e.stored, e.evicted)
		}
		var got []uint64
		for hash := range uint64(10) {
			if p.Has(hash) {
				got = append(got, hash)
			}
		}
		Expect(got).To(Equal(want))
	},
		Entry("in order", []uint64{1, 3}, event{5, []uint64{2}, nil}, event{6, []uint64{3}, []uint64{2}}),
		Entry("a gap may hide evictions", []uint64{3}, event{5, []uint64{2}, nil}, event{7, []uint64{3}, nil}),
		Entry("a late store does not count", []uint64{1, 2}, event{5, []uint64{2}, nil}, event{4, []uint64{3}, nil}),
		Entry("a late eviction does", []uint64{1}, event{5, []uint64{2}, nil}, event{4, nil, []uint64{2}}),
		Entry("the same event twice", []uint64{1, 2}, event{5, []uint64{2}, nil}, event{5, []uint64{2}, nil}),
		Entry("hash 0 is not a prefix", []uint64{1}, event{5, []uint64{0}, nil}),
	)
})
