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

var _ = Describe("New work", func() {
	number := uint64(100)
	// goesTo submits a call and returns its target; the call stays open.
	goesTo := func(b *bed, model string, prefix uint64) (string, *wire.Reserve) {
		number++
		call := newCall(b.snap, b.now, number, model, true)
		call.PrefixHash = prefix
		for _, action := range b.d.Submit(b.now, call) {
			if send, ok := action.(dispatch.Send); ok {
				return send.Target, send.Message.(*wire.Reserve)
			}
		}
		return "", nil
	}
	// pong sends a load report of a target.
	pong := func(b *bed, name string, load wire.LoadReport) {
		b.take(b.d.Message(b.now, name, &wire.Pong{Load: load}))
	}
	// Each event happens at the home of an adapter, away from which the next
	// call must then go; with nothing it goes there again.
	DescribeTable("of an adapter", func(stays bool, event func(b *bed, home string)) {
		b := newBed(snapshot(1, 12, 1), noHedges())
		home, _ := goesTo(b, "a0", 0)
		b.take(b.d.Abort(b.now, number))
		event(b, home)
		next, _ := goesTo(b, "a0", 0)
		Expect(next).NotTo(BeEmpty())
		Expect(next == home).To(Equal(stays), "home %s, next %s", home, next)
	},
		Entry("goes to its home", true, func(*bed, string) {}),
		Entry("not to one that announced leaving", false, func(b *bed, home string) { b.take(b.d.TargetLeaving(home)) }),
		Entry("not to one that says so in a message", false, func(b *bed, home string) {
			b.take(b.d.Message(b.now, home, &wire.Leaving{Process: home}))
		}),
		Entry("not to one that says so in a report", false, func(b *bed, home string) {
			pong(b, home, wire.LoadReport{State: wire.StateLeaving})
		}),
		Entry("not to one that says so in its hello", false, func(b *bed, home string) {
			b.take(b.d.SessionUp(b.now, home, &wire.Hello{Incarnation: 1, State: wire.StateLeaving}))
		}),
		Entry("not to one that the list shows leaving", false, func(b *bed, home string) { b.d.ListLeaving(home, true) }),
		Entry("to one that restarted since the list showed it leaving", true, func(b *bed, home string) {
			b.d.ListLeaving(home, true)
			b.incarnations[home]++
			b.up(home)
			b.now = b.now.Add(picker.SlowStart)
		}),
		Entry("not to one without a session", false, func(b *bed, home string) { b.take(b.d.SessionDown(b.now, home)) }),
		Entry("not to one that the table drains", false, func(b *bed, home string) {
			b.take(b.d.SetSnapshot(b.now, snapshot(2, 12, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
				for i := range p.Pools[0].Targets {
					p.Pools[0].Targets[i].Draining = p.Pools[0].Targets[i].Name == home
				}
			})))
		}),
		Entry("not to one that did not answer a reservation", false, func(b *bed, home string) {
			goesTo(b, "a0", 0)
			b.now = b.now.Add(dispatch.ReserveTimeout)
			b.take(b.d.Tick(b.now))
		}),
		Entry("to one that holds it and answers again", true, func(b *bed, home string) {
			_, reserve := goesTo(b, "a0", 0)
			b.take(b.d.Message(b.now, home, &wire.Reserved{ID: reserve.ID}))
			b.take(b.d.Abort(b.now, number))
			goesTo(b, "a0", 0)
			b.now = b.now.Add(dispatch.ReserveTimeout)
			b.take(b.d.Tick(b.now))
			b.take(b.d.Abort(b.now, number))
			pong(b, home, wire.LoadReport{})
		}),
		Entry("not to one that reports much more load than the rest", false, func(b *bed, home string) {
			pong(b, home, wire.LoadReport{Running: 8, Queued: 30, Limit: 8})
		}),
	)

	// Requests that arrive while the adapter is being loaded must share that
	// load; at another target they would cause a second one.
	It("stays where the adapter is being loaded", func() {
		b := newBed(snapshot(1, 12, 1), noHedges())
		home, reserve := goesTo(b, "a0", 0)
		second, _ := goesTo(b, "a0", 0)
		Expect(second).To(Equal(home), "before the reservation is answered")
		b.take(b.d.Message(b.now, home, &wire.Reserved{ID: reserve.ID}))
		third, _ := goesTo(b, "a0", 0)
		Expect(third).To(Equal(home))
	})

	It("forgets what was resident when the engine restarts", func() {
		b := newBed(snapshot(1, 12, 1), noHedges())
		home, reserve := goesTo(b, "a0", 0)
		b.take(b.d.Message(b.now, home, &wire.Reserved{ID: reserve.ID, Load: wire.LoadReport{Incarnation: 1}}))
		resident := func() (n int) {
			for _, t := range b.d.Targets(b.now) {
				n += t.Resident
			}
			return n
		}
		Expect(resident()).To(Equal(1))
		pong(b, home, wire.LoadReport{Incarnation: 2})
		Expect(resident()).To(BeZero())
	})

	It("of the base model goes where its prefix is cached", func() {
		b := newBed(snapshot(1, 12, 1), noHedges())
		first, _ := goesTo(b, "base", 77)
		b.take(b.d.Abort(b.now, number))
		for _, t := range b.d.Targets(b.now) {
			if t.Name != first {
				b.d.CacheEvent(t.Name, 1, []uint64{77}, nil)
			}
		}
		cached, _ := goesTo(b, "base", 77)
		Expect(cached).NotTo(Equal(first))
	})

	// A restarted engine has empty slots; its usual share at once would be as
	// many loads.
	It("reaches a restarted target slowly", func() {
		b := newBed(snapshot(1, 12, 1), noHedges())
		b.incarnations["e0"]++
		b.up("e0")
		share := func() (n int) {
			for range 240 {
				if name, _ := goesTo(b, "base", 0); name == "e0" {
					n++
				}
				b.now = b.now.Add(time.Millisecond)
			}
			for i := range uint64(240) {
				b.take(b.d.Abort(b.now, number-i))
			}
			return n
		}
		Expect(share()).To(BeNumerically("<", 10))
		b.now = b.now.Add(time.Minute)
		Expect(share()).To(BeNumerically(">=", 15))
	})
})
