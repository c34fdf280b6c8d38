package dispatch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// A draining target of a plain service must get no new calls. This includes
// calls that may not be repeated, which go to their key home only.
var _ = Describe("Calls that may not be repeated", func() {
	drain := func(names ...string) func(*tables.RouteTable, *tables.PoolTable) {
		return func(_ *tables.RouteTable, p *tables.PoolTable) {
			for i := range p.Pools[1].Targets {
				for _, name := range names {
					p.Pools[1].Targets[i].Draining = p.Pools[1].Targets[i].Draining || p.Pools[1].Targets[i].Name == name
				}
			}
		}
	}

	DescribeTable("have their key home at targets that are not draining", func(draining []string, keyHomes []string) {
		h := newHarness(snapshot(1, 4, 1, drain(draining...)), noHedges())
		seen := make(map[string]bool)
		for i := range 40 {
			call := newCall(h.snap, h.now, uint64(i+1), "", false)
			call.IdempotencyKey = fmt.Sprint("key-", i)
			for _, a := range h.d.Submit(h.now, call) {
				if send, ok := a.(dispatch.Send); ok {
					if _, ok := send.Message.(*wire.Reserve); ok {
						seen[send.Target] = true
					}
				}
			}
		}
		Expect(seen).To(HaveLen(len(keyHomes)))
		for _, keyHome := range keyHomes {
			Expect(seen).To(HaveKey(keyHome))
		}
	},
		Entry("no target is draining", nil, []string{"s0", "s1"}),
		Entry("one target is draining", []string{"s0"}, []string{"s1"}),
		Entry("all targets are draining", []string{"s0", "s1"}, []string{"s0", "s1"}),
	)
})
