package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// A new call must avoid targets that will stop, do not answer or are
// overloaded, and must go where its adapter or prompt prefix is loaded.
var _ = Describe("A new call", func() {
	number := uint64(100)
	// submitCall submits a call and returns its target and Reserve. The
	// call stays open.
	submitCall := func(h *harness, model string, prefix uint64) (string, *wire.Reserve) {
		number++
		call := newCall(h.snap, h.now, number, model, true)
		call.PrefixHash = prefix
		for _, action := range h.d.Submit(h.now, call) {
			if send, ok := action.(dispatch.Send); ok {
				return send.Target, send.Message.(*wire.Reserve)
			}
		}
		return "", nil
	}
	// reportLoad delivers a load report from a target.
	reportLoad := func(h *harness, name string, load wire.LoadReport) {
		h.perform(h.d.HandleMessage(h.now, name, &wire.Pong{Load: load}))
	}
	// Each event concerns the first adapter home. The next call must go
	// there again if stays is true, because another target would have to
	// load the adapter, and to another target otherwise.
	DescribeTable("for an adapter", func(stays bool, event func(h *harness, adapterHome string)) {
		h := newHarness(snapshot(1, 12, 1), noHedges())
		adapterHome, _ := submitCall(h, "a0", 0)
		h.perform(h.d.Abort(h.now, number))
		event(h, adapterHome)
		next, _ := submitCall(h, "a0", 0)
		Expect(next).NotTo(BeEmpty())
		Expect(next == adapterHome).To(Equal(stays), "adapter home %s, next %s", adapterHome, next)
	},
		Entry("goes to the adapter home", true, func(*harness, string) {}),
		Entry("avoids an adapter home that announced that it is leaving", false, func(h *harness, adapterHome string) { h.perform(h.d.SetTargetLeaving(adapterHome)) }),
		Entry("avoids an adapter home that sent a Leaving message", false, func(h *harness, adapterHome string) {
			h.perform(h.d.HandleMessage(h.now, adapterHome, &wire.Leaving{Process: adapterHome}))
		}),
		Entry("avoids an adapter home that is leaving by its load report", false, func(h *harness, adapterHome string) {
			reportLoad(h, adapterHome, wire.LoadReport{State: wire.StateLeaving})
		}),
		Entry("avoids an adapter home that is leaving by its Hello", false, func(h *harness, adapterHome string) {
			h.perform(h.d.SessionUp(h.now, adapterHome, &wire.Hello{Incarnation: 1, State: wire.StateLeaving}))
		}),
		Entry("avoids an adapter home that the VM list shows as leaving", false, func(h *harness, adapterHome string) { h.d.SetListedLeaving(adapterHome, true) }),
		Entry("goes to an adapter home that restarted since the VM list showed it as leaving", true, func(h *harness, adapterHome string) {
			h.d.SetListedLeaving(adapterHome, true)
			h.incarnations[adapterHome]++
			h.openSession(adapterHome)
			h.now = h.now.Add(picker.SlowStartDuration)
		}),
		Entry("avoids an adapter home without a session", false, func(h *harness, adapterHome string) { h.perform(h.d.SessionLost(h.now, adapterHome)) }),
		Entry("avoids an adapter home that is draining in the tables", false, func(h *harness, adapterHome string) {
			h.perform(h.d.SetSnapshot(h.now, snapshot(2, 12, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
				for i := range p.Pools[0].Targets {
					p.Pools[0].Targets[i].Draining = p.Pools[0].Targets[i].Name == adapterHome
				}
			})))
		}),
		Entry("avoids an adapter home that did not answer a reservation", false, func(h *harness, adapterHome string) {
			submitCall(h, "a0", 0)
			h.now = h.now.Add(dispatch.ReserveTimeout)
			h.perform(h.d.Tick(h.now))
		}),
		Entry("goes to an adapter home that holds the adapter and answers again", true, func(h *harness, adapterHome string) {
			_, reserve := submitCall(h, "a0", 0)
			h.perform(h.d.HandleMessage(h.now, adapterHome, &wire.Reserved{ID: reserve.ID}))
			h.perform(h.d.Abort(h.now, number))
			submitCall(h, "a0", 0)
			h.now = h.now.Add(dispatch.ReserveTimeout)
			h.perform(h.d.Tick(h.now))
			h.perform(h.d.Abort(h.now, number))
			reportLoad(h, adapterHome, wire.LoadReport{})
		}),
		Entry("avoids an adapter home that reports much more load than the other targets", false, func(h *harness, adapterHome string) {
			reportLoad(h, adapterHome, wire.LoadReport{Running: 8, Queued: 30, Limit: 8})
		}),
	)

	// Calls that arrive while an adapter is being loaded must go to the
	// same target. At another one they would cause a second load.
	It("goes to the target that is loading the adapter", func() {
		h := newHarness(snapshot(1, 12, 1), noHedges())
		adapterHome, reserve := submitCall(h, "a0", 0)
		second, _ := submitCall(h, "a0", 0)
		Expect(second).To(Equal(adapterHome), "before the reservation is answered")
		h.perform(h.d.HandleMessage(h.now, adapterHome, &wire.Reserved{ID: reserve.ID}))
		third, _ := submitCall(h, "a0", 0)
		Expect(third).To(Equal(adapterHome))
	})

	// A restarted engine has empty adapter slots. Calls that go there for
	// an adapter that was loaded before would wait for a load.
	It("expects no resident adapters after a restart of the engine", func() {
		h := newHarness(snapshot(1, 12, 1), noHedges())
		adapterHome, reserve := submitCall(h, "a0", 0)
		h.perform(h.d.HandleMessage(h.now, adapterHome, &wire.Reserved{ID: reserve.ID, Load: wire.LoadReport{Incarnation: 1}}))
		resident := func() (n int) {
			for _, t := range h.d.Targets(h.now) {
				n += t.ResidentAdapters
			}
			return n
		}
		Expect(resident()).To(Equal(1))
		reportLoad(h, adapterHome, wire.LoadReport{Incarnation: 2})
		Expect(resident()).To(BeZero())
	})

	// Elsewhere the engine would compute the prefix again.
	It("for the base model goes to a target that caches its prefix", func() {
		h := newHarness(snapshot(1, 12, 1), noHedges())
		first, _ := submitCall(h, "base", 77)
		h.perform(h.d.Abort(h.now, number))
		for _, t := range h.d.Targets(h.now) {
			if t.Name != first {
				h.d.HandleCacheEvent(t.Name, 1, []uint64{77}, nil)
			}
		}
		cached, _ := submitCall(h, "base", 77)
		Expect(cached).NotTo(Equal(first))
	})

	// A restarted engine has empty adapter slots. With its usual share of
	// the calls at once, almost every call would cause an adapter load.
	It("goes to a restarted target at a low rate first", func() {
		h := newHarness(snapshot(1, 12, 1), noHedges())
		h.incarnations["e0"]++
		h.openSession("e0")
		share := func() (n int) {
			for range 240 {
				if name, _ := submitCall(h, "base", 0); name == "e0" {
					n++
				}
				h.now = h.now.Add(time.Millisecond)
			}
			for i := range uint64(240) {
				h.perform(h.d.Abort(h.now, number-i))
			}
			return n
		}
		Expect(share()).To(BeNumerically("<", 10))
		h.now = h.now.Add(time.Minute)
		Expect(share()).To(BeNumerically(">=", 15))
	})
})
