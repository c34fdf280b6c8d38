package catalog_test

import (
	"fmt"
	"maps"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
)

var _ = Describe("A catalog with limited memory", func() {
	// The smallest VM of the published deployments has 144 MB, an eighth of which is for the
	// state.
	const smallest = 144 << 20 / 8
	var c *catalog.Catalog
	var forgotten []string
	limit := func(bytes int64) {
		c, forgotten = catalog.New(), nil
		c.LimitMemory(bytes, func(key string) { forgotten = append(forgotten, key) })
	}
	revision := uint64(0)
	apply := func(item catalog.Item, valueBytes int) catalog.Admission {
		revision++
		item.Revision = revision
		admission := c.Admit(item, valueBytes)
		if admission == catalog.Refused {
			return admission
		}
		c.Apply(start, item)
		if admission == catalog.AdmittedWithoutValue {
			valueBytes = 0
		}
		c.KeepsValue(item.Key, valueBytes)
		return admission
	}
	targetItem := func(n int) catalog.Item {
		id := fmt.Sprintf("i-%08x", n)
		return catalog.Item{Key: "servers/" + id, Target: target(id)}
	}
	removal := func(n int) catalog.Item {
		return catalog.Item{Key: targetItem(n).Key, Removed: true}
	}
	adapterItem := func(n int) catalog.Item {
		key := catalog.AdapterKey{Model: "daka510000", Adapter: fmt.Sprintf("adapter%07d", n)}
		return catalog.Item{Key: "op/version/" + key.Model + "." + key.Adapter, Adapter: &catalog.AdapterVersion{AdapterKey: key, Version: 1}}
	}

	// A target or a version that is not kept gets no requests, or is served outdated.
	It("keeps the largest fleet on the smallest VM while all its targets are replaced", func() {
		limit(smallest)
		const targets = 1100
		Expect(apply(catalog.Item{Key: "op/config", Config: config(1)}, 1<<20)).To(Equal(catalog.Admitted))
		for n := range 2 * targets {
			Expect(apply(targetItem(n), 250)).To(Equal(catalog.Admitted), "target %d", n)
		}
		for n := range 14_000 {
			Expect(c.Admit(adapterItem(n), 70)).To(Equal(catalog.Admitted), "adapter %d", n)
		}
	})

	It("keeps all targets of a fleet whose targets are replaced again and again", func() {
		limit(smallest / 10)
		const targets = 110
		for n := range 30 * targets {
			Expect(apply(targetItem(n), 250)).To(Equal(catalog.Admitted), "target %d", n)
			if n >= targets {
				Expect(apply(removal(n-targets), 0)).To(Equal(catalog.Admitted))
			}
		}
		Expect(c.View().Targets).To(HaveLen(targets))
		Expect(forgotten).NotTo(BeEmpty())
	})

	It("forgets the oldest keys without a target for new ones, and no target", func() {
		limit(3 * 20_000)
		Expect(apply(targetItem(0), 200)).To(Equal(catalog.Admitted))
		for n := range 1000 {
			Expect(apply(catalog.Item{Key: fmt.Sprintf("servers/x%04d", n)}, 200)).To(Equal(catalog.Admitted))
		}
		Expect(forgotten).To(HaveLen(1000 - held(c, "servers/x%04d", 1000)))
		Expect(held(c, "servers/x%04d", 1000)).To(BeNumerically("<", 20_000/200))
		Expect(forgotten[0]).To(Equal("servers/x0000"))
		Expect(c.Position("servers/x0999").Revision).To(Equal(revision))
		Expect(c.View().Targets).To(HaveKey("i-00000000"))
		Expect(c.Forgotten().Revision).To(BeNumerically(">", 1))
	})

	It("refuses new targets beyond it, updates known ones, and takes new ones once others have left", func() {
		limit(3 * 20_000)
		admitted := 0
		for apply(targetItem(admitted), 200) == catalog.Admitted {
			admitted++
		}
		Expect(admitted).To(BeNumerically("<=", 20_000/2048))
		Expect(admitted).To(BeNumerically(">", 3))
		draining := targetItem(1)
		draining.Target.Draining = true
		Expect(apply(draining, 200)).To(Equal(catalog.Admitted))
		Expect(c.View().Targets["i-00000001"].Draining).To(BeTrue())
		long := targetItem(2)
		long.Target.Pool = "q"
		Expect(apply(long, 20_000)).To(Equal(catalog.AdmittedWithoutValue))
		Expect(c.View().Targets["i-00000002"].Pool).To(Equal("q"))

		Expect(apply(removal(0), 0)).To(Equal(catalog.Admitted))
		Expect(apply(removal(1), 0)).To(Equal(catalog.Admitted))
		c.BeginUpdate()
		Expect(apply(targetItem(1000), 200)).To(Equal(catalog.Admitted))
	})

	It("keeps the operator's items and targets from taking each other's room", func() {
		limit(3 * 20_000)
		for n := range 1000 {
			apply(targetItem(n), 200)
		}
		targets := maps.Clone(c.View().Targets)
		Expect(apply(adapterItem(0), 70)).To(Equal(catalog.Admitted))
		for n := range 1000 {
			apply(adapterItem(n), 70)
		}
		Expect(len(c.View().Versions)).To(And(BeNumerically(">", 40), BeNumerically("<", 40_000/400)))
		Expect(c.View().Targets).To(Equal(targets))
		Expect(apply(catalog.Item{Key: "op/config", Config: config(2)}, 100_000)).To(Equal(catalog.Admitted))
		Expect(c.View().Config.Version).To(Equal(int64(2)))
	})

	It("refuses ever new adapters under one known key", func() {
		limit(3 * 20_000)
		for n := range 1000 {
			item := adapterItem(n)
			item.Key = "op/version/x"
			item.Adapter.Adapter += strings.Repeat("x", 100)
			apply(item, 150)
		}
		Expect(len(c.View().Versions)).To(And(BeNumerically(">", 0), BeNumerically("<", 40_000/200)))
	})
})

// held returns how many of n keys a catalog has.
func held(c *catalog.Catalog, format string, n int) int {
	count := 0
	for i := range n {
		if c.Position(fmt.Sprintf(format, i)).Revision > 0 {
			count++
		}
	}
	return count
}
