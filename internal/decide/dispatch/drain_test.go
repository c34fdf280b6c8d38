package dispatch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// A draining plain service must get no new calls, also those that run once and
// go to the home of their key only.
var _ = Describe("Calls that run once", func() {
	drain := func(names ...string) func(*tables.RouteTable, *tables.PoolTable) {
		return func(_ *tables.RouteTable, p *tables.PoolTable) {
			for i := range p.Pools[1].Targets {
				for _, name := range names {
					p.Pools[1].Targets[i].Draining = p.Pools[1].Targets[i].Draining || p.Pools[1].Targets[i].Name == name
				}
			}
		}
	}

	DescribeTable("have their home at targets that do not drain", func(draining []string, homes []string) {
		b := newBed(snapshot(1, 4, 1, drain(draining...)), noHedges())
		seen := make(map[string]bool)
		for i := range 40 {
			call := newCall(b.snap, b.now, uint64(i+1), "", false)
			call.Key = fmt.Sprint("key-", i)
			for _, a := range b.d.Submit(b.now, call) {
				if send, ok := a.(dispatch.Send); ok {
					if _, ok := send.Message.(*wire.Reserve); ok {
						seen[send.Target] = true
					}
				}
			}
		}
		Expect(seen).To(HaveLen(len(homes)))
		for _, home := range homes {
			Expect(seen).To(HaveKey(home))
		}
	},
		Entry("none drains", nil, []string{"s0", "s1"}),
		Entry("one drains", []string{"s0"}, []string{"s1"}),
		Entry("all drain", []string{"s0", "s1"}, []string{"s0", "s1"}),
	)
})
