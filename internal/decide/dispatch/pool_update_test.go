package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// At 2,000 configuration changes a day, sending the whole pool row on each
// session for each change would exceed the budget of 3 KB/s for control
// traffic. If a changed row is omitted, the target keeps an old one.
var _ = Describe("The pool row", func() {
	now := time.Unix(1_800_000_000, 0)
	var d *dispatch.Dispatcher

	// rowSentTo returns, for each PoolUpdate sent to the target, whether it
	// contains the row.
	rowSentTo := func(target string, actions []dispatch.Action) (containsRow []bool) {
		for _, a := range actions {
			if send, ok := a.(dispatch.Send); ok && send.Target == target {
				if m, ok := send.Message.(*wire.PoolUpdate); ok {
					Expect(m.RowHash).NotTo(BeZero())
					containsRow = append(containsRow, len(m.Row) > 0)
				}
			}
		}
		return containsRow
	}
	rowSent := func(actions []dispatch.Action) []bool { return rowSentTo("e0", actions) }
	// openSession opens a session with e0 and returns what rowSent does.
	openSession := func() []bool {
		return rowSent(d.SessionUp(now, "e0", &wire.Hello{Process: "e0", Incarnation: 1, State: wire.StateServing}))
	}

	BeforeEach(func() {
		d = dispatch.New(dispatch.Config{Entry: "entry", Incarnation: 1, Seed: 1, MaxOnDemandSessions: 8}, recorder{})
		d.SetSnapshot(now, snapshot(1, 2, 1))
		Expect(openSession()).To(Equal([]bool{true}))
	})

	It("is omitted while it stays the same", func() {
		Expect(rowSent(d.SetSnapshot(now, snapshot(2, 2, 5)))).To(Equal([]bool{false}))
	})

	It("is sent when the row or the list of all engine targets changes", func() {
		Expect(rowSent(d.SetSnapshot(now, snapshot(2, 2, 1, func(_ *tables.RouteTable, p *tables.PoolTable) {
			p.Pools[0].QueueLimit++
		})))).To(Equal([]bool{true}))
		Expect(rowSent(d.SetSnapshot(now, snapshot(3, 3, 1)))).To(Equal([]bool{true}))
	})

	// Without the new row, a removed target would continue to run calls by
	// idempotency key for entries that still use the old tables.
	It("is sent to a target that the tables no longer name, before its session ends", func() {
		d.SessionUp(now, "e1", &wire.Hello{Process: "e1", Incarnation: 1, State: wire.StateServing})
		actions := d.SetSnapshot(now, snapshot(2, 1, 1))
		Expect(rowSentTo("e1", actions)).To(Equal([]bool{true}))
		Expect(slices.IndexFunc(actions, func(a dispatch.Action) bool { _, ok := a.(dispatch.Disconnect); return ok })).
			To(BeNumerically(">", slices.IndexFunc(actions, func(a dispatch.Action) bool { s, ok := a.(dispatch.Send); return ok && s.Target == "e1" })))
	})

	It("is sent again on a new session and when the target requests it", func() {
		d.SessionLost(now, "e0")
		Expect(openSession()).To(Equal([]bool{true}))
		Expect(rowSent(d.HandleMessage(now, "e0", &wire.PartQuery{Key: wire.PoolRowKey}))).To(Equal([]bool{true}))
		Expect(rowSent(d.HandleMessage(now, "e0", &wire.PartQuery{Key: "other"}))).To(BeEmpty())
	})
})
