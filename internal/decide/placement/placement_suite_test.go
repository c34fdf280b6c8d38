package placement_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/placement"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Unix(1_000_000, 0)

func targets(n, domains int) []placement.Target {
	list := make([]placement.Target, n)
	for i := range list {
		list[i] = placement.Target{Name: fmt.Sprintf("target-%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return list
}

// referenceRank is the reference for Rank. It sorts all targets for a key and
// takes one of each failure domain in turn.
func referenceRank(list []placement.Target, key string, n int) []int {
	hash := func(s string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(s))
		return mix(h.Sum64())
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(mix(hash(list[b].Name)^hash(key)), mix(hash(list[a].Name)^hash(key)))
	})
	var ranks []int
	for len(ranks) < min(n, len(list)) {
		used := make(map[string]bool)
		for i := 0; i < len(order); i++ {
			if domain := list[order[i]].FailureDomain; !used[domain] {
				used[domain] = true
				ranks = append(ranks, order[i])
				order = slices.Delete(order, i, i+1)
				i--
			}
		}
	}
	return ranks[:min(n, len(ranks))]
}

func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

var _ = Describe("Ranker", func() {
	// The ranks decide where an adapter is loaded and which target is the key
	// home: the one that holds the record of an idempotency key. If the
	// selection differed from the full sort, both would move.
	It("agrees with a full sort", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := targets(rapid.IntRange(1, 150).Draw(t, "targets"), rapid.IntRange(1, 20).Draw(t, "domains"))
			key := rapid.StringN(1, 12, -1).Draw(t, "key")
			n := rapid.IntRange(1, len(list)).Draw(t, "n")
			if got, want := placement.NewRanker(list).Rank(key, n), referenceRank(list, key, n); !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		})
	})

	// A removed or added target must not move adapters between the others.
	// Each moved adapter costs a load, and the fleet is allowed 4.5 loads a
	// second.
	DescribeTable("moves only the adapters of a changed target",
		func(size int) {
			before, after := targets(size+1, 4), targets(size, 4)
			big, small := placement.NewRanker(before), placement.NewRanker(after)
			moved := 0
			for k := range 5000 {
				key := fmt.Sprintf("adapter-%d", k)
				was, is := big.Rank(key, 1)[0], small.Rank(key, 1)[0]
				if was == size {
					moved++
					continue
				}
				Expect(is).To(Equal(was))
			}
			Expect(float64(moved)).To(BeNumerically("~", 5000/float64(size+1), 4*float64(5000)/float64(size+1)/5))
		},
		Entry("12 targets", 12), Entry("120 targets", 120), Entry("1,100 targets", 1100),
	)

	// Two copies in one failure domain are lost together.
	It("spreads consecutive ranks over the failure domains", func() {
		list := targets(12, 4)
		for k := range 200 {
			domains := make(map[string]bool)
			for _, i := range placement.NewRanker(list).Rank(fmt.Sprint(k), 4) {
				domains[list[i].FailureDomain] = true
			}
			Expect(domains).To(HaveLen(4))
		}
	})

	// A caller may ask for more targets than a pool has, or for none.
	DescribeTable("returns as many ranks as there are, for any count", func(size, n, want int) {
		Expect(placement.NewRanker(targets(size, 2)).Rank("k", n)).To(HaveLen(want))
	}, Entry("none", 3, 0, 0), Entry("more than there are", 3, 9, 3), Entry("empty pool", 0, 2, 0))
})

var _ = Describe("Directory", func() {
	cfg := placement.DefaultConfig()
	cfg.MaxAdapters, cfg.MaxRanks = 100, 8

	// With 14,000 adapters and a bound on memory, rarely used adapters must
	// not evict the frequent ones.
	It("bounds its memory and keeps frequent adapters", func() {
		d := placement.NewDirectory(placement.NewRanker(targets(12, 4)), cfg)
		for range 30 {
			d.CountRequest(start, "hot")
		}
		d.UpdateCopies(start, "hot", placement.PoolLoad{Total: 8, QueuedAtHome: 5})
		for k := range 10_000 {
			d.Ranks(fmt.Sprint(k))
			d.Ranks("hot")
		}
		Expect(d.Len()).To(Equal(100))
		Expect(d.UpdateCopies(start, "hot", placement.PoolLoad{})).To(Equal(2), "the number of copies of a frequent adapter was lost")
	})

	// Ranks kept from the old list would be indexes of other targets.
	It("gives the ranks of a new list of targets", func() {
		d := placement.NewDirectory(placement.NewRanker(targets(12, 4)), cfg)
		d.Ranks("a")
		small := placement.NewRanker(targets(11, 4))
		d.SetRanker(small)
		Expect(d.Ranks("a")).To(Equal(small.Rank("a", cfg.MaxRanks)))
	})

	type step struct {
		after  time.Duration
		load   placement.PoolLoad
		copies int
	}
	busy := placement.PoolLoad{Total: 8, QueuedAtHome: 4}
	idle := placement.PoolLoad{Total: 0.1}
	// Guards against copies that are added and removed again, each of which
	// costs an adapter load, and against a popular adapter that stays at one
	// target. One adapter has half of the requests, so its demand is half of
	// Total. The rule for skewed shares is off, because it adds copies without
	// queueing.
	DescribeTable("follows demand with hysteresis", func(steps ...step) {
		cfg := cfg
		cfg.MinRatioSamples = math.Inf(1)
		d := placement.NewDirectory(placement.NewRanker(targets(12, 4)), cfg)
		now := start
		for i, s := range steps {
			for range 10 {
				now = now.Add(s.after / 10)
				d.CountRequest(now, "hot")
				d.CountRequest(now, "rest")
			}
			Expect(d.UpdateCopies(now, "hot", s.load)).To(Equal(s.copies), "step %d", i)
		}
	},
		Entry("adds one copy at a time", step{time.Second, busy, 2}, step{time.Second, busy, 2}, step{2 * time.Second, busy, 3}),
		Entry("adds no copy below the bound", step{time.Second, placement.PoolLoad{Total: 0.9, QueuedAtHome: 50}, 1}),
		Entry("adds no copy that costs more than the queueing",
			step{time.Second, placement.PoolLoad{Total: 8, QueuedAtHome: 0.01}, 1}),
		Entry("removes no copy after a short quiet period",
			step{time.Second, busy, 2}, step{20 * time.Second, idle, 2}, step{time.Second, busy, 3}, step{20 * time.Second, idle, 3}),
		Entry("removes one copy at a time after long quiet periods",
			step{time.Second, busy, 2}, step{3 * time.Second, busy, 3}, step{31 * time.Second, idle, 2},
			step{10 * time.Second, idle, 2}, step{21 * time.Second, idle, 1}),
		Entry("keeps its copies between the two bounds",
			step{time.Second, busy, 2}, step{60 * time.Second, placement.PoolLoad{Total: 0.8, QueuedAtHome: 9}, 2},
			step{60 * time.Second, placement.PoolLoad{Total: 0.8, QueuedAtHome: 9}, 2}),
	)

	// With one home for each adapter and Zipf 1.0, the busiest target would
	// have 1.9 times the mean load. share is the adapter's share of the
	// requests, of which there are 20 a second.
	DescribeTable("spreads an adapter with a skewed share without queueing", func(share float64, copies int) {
		d := placement.NewDirectory(placement.NewRanker(targets(12, 4)), cfg)
		now, sum := start, 0.0
		for range 4000 {
			now = now.Add(50 * time.Millisecond)
			if sum += share; sum >= 1 {
				sum--
				d.CountRequest(now, "hot")
				d.UpdateCopies(now, "hot", idle)
			} else {
				d.CountRequest(now, "rest")
			}
		}
		Expect(d.Copies("hot")).To(Equal(copies))
	},
		Entry("a twelfth of the pool's mean", 0.007, 1), Entry("0.3 of the mean", 0.025, 1),
		Entry("1.4 times the mean", 0.116, 4), Entry("2.64 times the mean", 0.22, 7),
	)

	// Copies that are no longer needed take slots from other adapters.
	It("removes the copies of an adapter whose share has fallen", func() {
		d := placement.NewDirectory(placement.NewRanker(targets(12, 4)), cfg)
		now := start
		for range 600 {
			now = now.Add(50 * time.Millisecond)
			d.CountRequest(now, "hot")
			d.UpdateCopies(now, "hot", idle)
		}
		Expect(d.Copies("hot")).To(BeNumerically(">", 1))
		for range 1200 {
			now = now.Add(time.Second)
			d.CountRequest(now, "rest")
			d.UpdateCopies(now, "hot", idle)
		}
		Expect(d.Copies("hot")).To(Equal(1))
	})
})
