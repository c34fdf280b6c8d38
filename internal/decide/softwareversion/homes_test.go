package softwareversion_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	sv "agatelanding.example/agatelanding/internal/decide/softwareversion"
)

func targets(version string, ids ...string) (list []sv.Target) {
	for _, id := range ids {
		list = append(list, sv.Target{ID: id, Version: version, StartedAtMS: 1})
	}
	return list
}

var _ = Describe("The home of a stream", func() {
	var homes *sv.Homes
	both := slices.Concat(targets("v1", "a", "b", "c"), targets("v2", "d"))
	update := func(after time.Duration, list []sv.Target) {
		homes.Update(start.Add(after), map[string][]sv.Target{pool: list})
	}
	BeforeEach(func() { homes = sv.NewHomes() })

	// Guards against a pool whose streams are bound although any target may serve them.
	It("is there only if the pool has several versions", func() {
		update(0, targets("v1", "a", "b"))
		_, several := homes.Home(pool, "k")
		Expect(several).To(BeFalse())
		_, several = homes.Home("other", "k")
		Expect(several).To(BeFalse())
	})

	// Guards against a version that gets more streams than its targets bear.
	It("gives versions streams by the number of their targets", func() {
		update(0, both)
		count := 0
		for i := range 4000 {
			if version, _ := homes.Home(pool, fmt.Sprint(i)); version == "v2" {
				count++
			}
		}
		Expect(count).To(BeNumerically("~", 1000, 150))
	})

	DescribeTable("is known after a loss", func(after time.Duration, change func(), known int) {
		update(0, both)
		change()
		found := 0
		for i := range 400 {
			if _, ok := homes.BegunAt(start.Add(after), pool, fmt.Sprint(i)); ok {
				found++
			}
		}
		Expect(found).To(BeNumerically("~", known, 40))
	},
		Entry("of all processes, as its targets have been there", sv.Needed, func() {}, 400),
		Entry("not before its targets have been seen for long enough", sv.Needed-time.Millisecond, func() {}, 0),
		Entry("but for a quarter, as a target of a new version came", sv.Needed, func() { update(sv.Needed/2, slices.Concat(both, targets("v3", "e"))) }, 320),
		Entry("but for a quarter, as a version has left", sv.Needed, func() { update(sv.Needed-time.Second, both[:3]) }, 300),
		Entry("again, some time after the version has left", 2*sv.Needed, func() { update(sv.Needed-time.Second, both[:3]) }, 400),
		Entry("also if a target of a version began anew beside others of it", sv.Needed, func() {
			update(sv.Needed/2, both[1:])
			update(sv.Needed/2, both)
		}, 400*11/12),
	)
})

// Guards against streams that are taken up at another version than their own after a loss of
// all processes, whatever came and went before, and however late entries saw it.
func TestRandomHomes(t *testing.T) {
	const maxDelay = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		type stream struct {
			key, version string
			began        time.Time
		}
		// pastTarget is the listing of a target, which goes on if gone is zero.
		type pastTarget struct {
			sv.Target
			since, gone time.Time
		}
		var listings []*pastTarget
		var streams []stream
		now := start
		listedAt := func(at time.Time) (list []sv.Target) {
			for _, p := range listings {
				if !p.since.After(at) && (p.gone.IsZero() || p.gone.After(at)) {
					list = append(list, p.Target)
				}
			}
			return list
		}
		join := func() {
			listings = append(listings, &pastTarget{
				Target: sv.Target{ID: fmt.Sprint("t", random.Intn(12)), Version: fmt.Sprint("v", random.Intn(3)), StartedAtMS: now.UnixMilli()}, since: now,
			})
		}
		for range 8 {
			join()
		}
		changes := random.Intn(30)
		for step := range 400 {
			now = start.Add(time.Duration(step) * 100 * time.Millisecond)
			if random.Intn(400) < changes {
				if listed := slices.DeleteFunc(slices.Clone(listings), func(p *pastTarget) bool { return !p.gone.IsZero() }); len(listed) > 0 && random.Intn(2) == 0 {
					listed[random.Intn(len(listed))].gone = now
				} else {
					join()
				}
			}
			// An entry lists what was listed some time ago.
			entry := sv.NewHomes()
			entry.Update(now, map[string][]sv.Target{pool: listedAt(now.Add(-time.Duration(random.Int63n(int64(maxDelay)))))})
			key := fmt.Sprint("k", step)
			if version, several := entry.Home(pool, key); several {
				streams = append(streams, stream{key, version, now})
			}
		}
		late := sv.NewHomes()
		var past []sv.Past
		for _, p := range listings {
			if p.gone.IsZero() || now.Sub(p.gone) < sv.Needed {
				past = append(past, sv.Past{Pool: pool, Target: p.Target, Since: p.since, Gone: !p.gone.IsZero()})
			}
		}
		late.AddPast(now, past)
		late.Update(now, map[string][]sv.Target{pool: listedAt(now)})
		for _, s := range streams {
			if now.Sub(s.began) >= sv.Needed-maxDelay {
				continue
			}
			switch version, known := late.BegunAt(now, pool, s.key); {
			case known && version != s.version:
				t.Fatalf("the stream %s of %s, begun %v ago, goes on at %s", s.key, s.version, now.Sub(s.began), version)
			case !known && changes == 0:
				t.Fatalf("the stream %s is not known, though nothing has changed", s.key)
			}
		}
	})
}
