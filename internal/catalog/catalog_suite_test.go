package catalog_test

import (
	"maps"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func config(version int64, routes ...*catalog.Route) *catalog.Config {
	return catalog.NewConfig(version, routes, map[string]*catalog.Pool{}, catalog.Limits{})
}

func target(id string) *catalog.Target {
	return &catalog.Target{ID: id, Pool: "p", Address: "10.0.0.1:80"}
}

var _ = Describe("Routes", func() {
	short := &catalog.Route{Name: "short", Host: "Rota.example", Prefix: "/a/"}
	long := &catalog.Route{Name: "long", Host: "rota.example", Prefix: "/a/b/"}
	c := config(1, short, long)

	// A request that matches the wrong route runs in the wrong pool.
	DescribeTable("match by host and longest prefix", func(host, path, want string) {
		r, ok := c.Match(host, path)
		Expect(ok).To(Equal(want != ""))
		if ok {
			Expect(r.Name).To(Equal(want))
		}
	},
		Entry("longest", "rota.example", "/a/b/c", "long"),
		Entry("shorter", "rota.example", "/a/c", "short"),
		Entry("host in upper case, with port", "ROTA.example:8080", "/a/c", "short"),
		Entry("no route for the path", "rota.example", "/ab/c", ""),
		Entry("no route for the host", "other.example", "/a/c", ""),
	)

	It("split requests by weight and send none to a pool of weight 0", func() {
		r := &catalog.Route{Split: []catalog.PoolWeight{{Pool: "x", Weight: 90}, {Pool: "y", Weight: 10}, {Pool: "z"}}}
		Expect(r.Pick(0)).To(Equal("x"))
		Expect(r.Pick(0.89)).To(Equal("x"))
		Expect(r.Pick(0.91)).To(Equal("y"))
		Expect(r.Pick(0.9999999)).To(Equal("y"))
	})
})

var _ = Describe("An engine", func() {
	// An engine that gets more adapters than its memory or slots can hold
	// crashes.
	It("holds what both its slots and its memory allow", func() {
		e := &catalog.Engine{MemoryMB: 75_800, AdapterSlots: 25}
		Expect(e.Capacity(catalog.Model{WeightsMB: 72_700, AdapterMB: 66})).To(Equal(25))
		Expect(e.Capacity(catalog.Model{WeightsMB: 75_000, AdapterMB: 66})).To(Equal(12))
		Expect(e.Capacity(catalog.Model{WeightsMB: 80_000, AdapterMB: 66})).To(Equal(0))
	})
})

var _ = Describe("A catalog", func() {
	var c *catalog.Catalog
	BeforeEach(func() { c = catalog.New() })

	// Entries receive changes from the store and from each other, in any
	// order. An older one must not undo a newer one.
	It("keeps the newest change of each key, whatever the order of arrival", func() {
		Expect(c.Apply(at(0), catalog.Item{Key: "t", Revision: 7, Target: target("a")})).To(BeTrue())
		drained := target("a")
		drained.Draining = true
		Expect(c.Apply(at(0), catalog.Item{Key: "t", Revision: 9, Target: drained})).To(BeTrue())
		Expect(c.Apply(at(0), catalog.Item{Key: "t", Revision: 8, Target: target("a")})).To(BeFalse())
		Expect(c.View().Targets["a"].Draining).To(BeTrue())
	})

	It("never goes back to an older configuration", func() {
		Expect(c.Apply(at(0), catalog.Item{Key: "c", Revision: 5, Config: config(12)})).To(BeTrue())
		Expect(c.Apply(at(0), catalog.Item{Key: "c", Revision: 6, Config: config(11)})).To(BeFalse())
		Expect(c.View().Config.Version).To(Equal(int64(12)))
	})

	It("does not publish a heartbeat that changes nothing", func() {
		c.Apply(at(0), catalog.Item{Key: "t", Revision: 1, Target: target("a")})
		before := c.View()
		Expect(c.Apply(at(1), catalog.Item{Key: "t", Revision: 2, Target: target("a")})).To(BeFalse())
		Expect(c.View()).To(BeIdenticalTo(before))
	})

	It("drops a target whose new value cannot be decoded", func() {
		c.Apply(at(0), catalog.Item{Key: "t", Revision: 1, Target: target("a")})
		Expect(c.Apply(at(1), catalog.Item{Key: "t", Revision: 2})).To(BeTrue())
		Expect(c.View().Targets).To(BeEmpty())
	})

	It("drops a removed target at once while the store answers", func() {
		c.Apply(at(0), catalog.Item{Key: "t", Revision: 1, Target: target("a")})
		Expect(c.Apply(at(1), catalog.Item{Key: "t", Revision: 2, Removed: true})).To(BeTrue())
		Expect(c.View().Targets).To(BeEmpty())
	})

	// The registrations of all targets expire together when the store is down
	// for longer than their leases. If the targets were dropped, every request
	// would be refused until they have registered again.
	It("keeps targets that were removed in an outage until they had time to register again", func() {
		c.Apply(at(0), catalog.Item{Key: "t", Revision: 1, Target: target("a")})
		c.Apply(at(0), catalog.Item{Key: "u", Revision: 2, Target: target("b")})
		c.OutageEnded(at(5))
		Expect(c.Apply(at(5), catalog.Item{Key: "t", Revision: 3, Removed: true})).To(BeFalse())
		c.OutageEnded(at(6))
		Expect(c.Apply(at(6.1), catalog.Item{Key: "u", Revision: 4, Removed: true})).To(BeFalse())
		Expect(c.RemoveUnregistered(at(7.9))).To(BeFalse())
		Expect(c.View().Targets).To(HaveLen(2))
		Expect(c.Apply(at(8), catalog.Item{Key: "t", Revision: 5, Target: target("a")})).To(BeTrue())
		Expect(c.RemoveUnregistered(at(8.6))).To(BeTrue())
		Expect(c.View().Targets).To(HaveKey("a"))
		Expect(c.View().Targets).NotTo(HaveKey("b"))
	})

	It("drops a removed target at once in an outage if it was draining", func() {
		t := target("a")
		t.Draining = true
		c.Apply(at(0), catalog.Item{Key: "t", Revision: 1, Target: t})
		c.OutageEnded(at(1))
		Expect(c.Apply(at(1), catalog.Item{Key: "t", Revision: 2, Removed: true})).To(BeTrue())
	})

	// After the store has discarded its history, a removed target shows only in
	// that a complete list does not contain it.
	It("finds the targets that a complete list does not contain", func() {
		c.Apply(at(0), catalog.Item{Key: "s/a", Revision: 1, Target: target("a")})
		c.Apply(at(0), catalog.Item{Key: "s/b", Revision: 2, Target: target("b")})
		c.Apply(at(0), catalog.Item{Key: "s/c", Revision: 9, Target: target("c")})
		items := c.RemovalsFor(catalog.Position{Revision: 8}, map[string]bool{"s/a": true}, func(string) bool { return true })
		Expect(items).To(Equal([]catalog.Item{{Key: "s/b", Revision: 8, Removed: true}}))
	})

	It("keeps the newest version of an adapter", func() {
		v := func(n int) *catalog.AdapterVersion {
			return &catalog.AdapterVersion{AdapterKey: catalog.AdapterKey{Model: "m", Adapter: "a1"}, Version: n}
		}
		c.Apply(at(0), catalog.Item{Key: "v", Revision: 1, Adapter: v(3)})
		c.Apply(at(0), catalog.Item{Key: "v", Revision: 2, Adapter: v(2)})
		Expect(c.View().Versions[catalog.AdapterKey{Model: "m", Adapter: "a1"}]).To(Equal(3))
	})
})

var _ = Describe("A catalog after a restore of the store from a copy", func() {
	registered := func(started int64, sequence uint64, draining bool) catalog.Item {
		return catalog.Item{Key: "s/a", Target: &catalog.Target{ID: "a", Pool: "p", StartedAtMS: started, Draining: draining}, Sequence: sequence}
	}
	at1 := func(i catalog.Item, era, revision uint64) catalog.Item {
		i.Era, i.Revision = era, revision
		return i
	}
	removed := catalog.Item{Key: "s/a", Removed: true}
	// The registration of the copy must not undo a later one of the same target that
	// was lost with the store.
	DescribeTable("compares a registration of the copy with the known one", func(known []catalog.Item, copied catalog.Item, wantListed, wantDraining bool) {
		c := catalog.New()
		for i, item := range known {
			c.Apply(at(0), at1(item, 1, uint64(900+i)))
		}
		c.BeginEra(at(1), catalog.Position{Era: 2, Revision: 850})
		if copied.Revision == 0 {
			copied.Revision = 840
		}
		c.Apply(at(1), at1(copied, 2, copied.Revision))
		t, listed := c.View().Targets["a"]
		Expect(listed).To(Equal(wantListed))
		if listed {
			Expect(t.Draining).To(Equal(wantDraining))
		}
	},
		Entry("unchanged", []catalog.Item{registered(5, 3, false)}, registered(5, 3, false), true, false),
		Entry("it drains since", []catalog.Item{registered(5, 3, false), registered(5, 4, true)}, registered(5, 3, false), true, true),
		Entry("it drains since and reports no sequence", []catalog.Item{registered(5, 0, true)}, registered(5, 0, false), true, true),
		Entry("it was removed since", []catalog.Item{registered(5, 4, true), removed}, registered(5, 3, false), false, false),
		Entry("it was removed since and other entries sent few of its registrations", []catalog.Item{registered(5, 4, false), removed}, registered(5, 7, false), false, false),
		Entry("it was removed and registers again", []catalog.Item{registered(5, 4, false), removed}, at1(registered(5, 8, false), 2, 851), true, false),
		Entry("it restarted since", []catalog.Item{registered(5, 9, true), registered(6, 1, false)}, registered(5, 8, true), true, false),
		Entry("a new incarnation registers after the restore", []catalog.Item{registered(5, 9, true)}, registered(6, 1, false), true, false),
	)

	It("ignores items of an older era and keeps the newest configuration and adapter version", func() {
		c := catalog.New()
		key := catalog.AdapterKey{Model: "m", Adapter: "a1"}
		c.Apply(at(0), catalog.Item{Key: "c", Era: 1, Revision: 900, Config: config(12)})
		c.BeginEra(at(1), catalog.Position{Era: 2, Revision: 840})
		Expect(c.Apply(at(1), catalog.Item{Key: "c", Era: 2, Revision: 850, Config: config(11)})).To(BeFalse())
		Expect(c.Apply(at(1), at1(registered(5, 3, false), 1, 950))).To(BeFalse(), "another entry is still in the old era")
		Expect(c.Apply(at(1), catalog.Item{Key: "v", Revision: 7, Adapter: &catalog.AdapterVersion{AdapterKey: key, Version: 3}})).To(BeTrue())
		Expect(c.Apply(at(2), catalog.Item{Key: "c", Era: 2, Revision: 851, Config: config(13)})).To(BeTrue())
		Expect(c.View().Config.Version).To(Equal(int64(13)))
		Expect(c.View().Versions[key]).To(Equal(3))
	})

	// Random writes, removals and restores. An entry that saw them all has the state of
	// the store after the targets registered again, and never takes a target that it
	// saw draining for one that is ready.
	It("converges to the store after random restores", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := catalog.New()
			era, revision, now := uint64(1), uint64(100), at(0)
			type written struct {
				item    catalog.Item
				started int64
			}
			live := map[string]*written{}
			store := map[string]catalog.Item{}
			copied, copiedAt := map[string]catalog.Item{}, revision
			drained := map[string]int64{}
			write := func(name string, w *written) {
				revision++
				w.item.Era, w.item.Revision = era, revision
				store[w.item.Key] = w.item
				c.Apply(now, w.item)
			}
			remove := func(key string) {
				revision++
				delete(store, key)
				c.Apply(now, catalog.Item{Key: key, Era: era, Revision: revision, Removed: true})
			}
			restore := func() {
				era++
				revision = copiedAt
				store = maps.Clone(copied)
				listed := map[string]bool{}
				c.BeginEra(now, catalog.Position{Era: era, Revision: revision})
				for key, item := range store {
					item.Era = era
					store[key], listed[key] = item, true
					c.Apply(now, item)
				}
				for _, item := range c.RemovalsFor(catalog.Position{Era: era, Revision: revision}, listed, func(string) bool { return true }) {
					c.Apply(now, item)
				}
			}
			names := rapid.SampledFrom([]string{"a", "b", "c"})
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(300 * time.Millisecond)
				name := names.Draw(t, "name")
				w := live[name]
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0, 1:
					if w == nil {
						w = &written{started: now.UnixMilli()}
						live[name] = w
					}
					x := target(name)
					x.StartedAtMS, x.Draining = w.started, w.item.Target != nil && w.item.Target.Draining
					w.item = catalog.Item{Key: "s/" + name, Target: x, Sequence: w.item.Sequence + 1}
					write(name, w)
				case 2:
					if w != nil {
						x := *w.item.Target
						x.Draining = true
						w.item = catalog.Item{Key: "s/" + name, Target: &x, Sequence: w.item.Sequence + 1}
						write(name, w)
						drained[name] = w.started
					}
				case 3:
					if w != nil {
						delete(live, name)
						remove("s/" + name)
					}
				case 4:
					copied, copiedAt = maps.Clone(store), revision
				case 5:
					restore()
				}
				for id, x := range c.View().Targets {
					if drained[id] == x.StartedAtMS && !x.Draining {
						t.Fatalf("%s drained and is listed as ready", id)
					}
				}
			}
			// All live targets register again and the others lapse.
			now = now.Add(time.Second)
			for name, w := range live {
				w.item.Sequence++
				write(name, w)
			}
			for key := range maps.Clone(store) {
				if live[strings.TrimPrefix(key, "s/")] == nil {
					remove(key)
				}
			}
			c.RemoveUnregistered(now.Add(2 * catalog.ReregistrationGrace))
			if len(c.View().Targets) != len(live) {
				t.Fatalf("targets %v, want %v", c.View().Targets, live)
			}
			for name, w := range live {
				if got := c.View().Targets[name]; got == nil || *got != *w.item.Target {
					t.Fatalf("target %s is %v, want %v", name, got, w.item.Target)
				}
			}
		})
	})
})
