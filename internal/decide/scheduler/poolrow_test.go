package scheduler_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

var _ = Describe("A pool update without its row", func() {
	now := time.Unix(1_800_000_000, 0)
	ask := scheduler.ToSession{Session: 7, Message: &wire.PartQuery{Key: wire.PoolRowKey}}

	update := func(revision, hash uint64, whole bool) *wire.PoolUpdate {
		m := &wire.PoolUpdate{Revision: revision, Digest: 5, RowHash: hash}
		if whole {
			m.Row, _ = json.Marshal(tables.PoolRow{Pool: tables.Pool{
				Name: "p", Kind: tables.KindService, MaxRunning: 2, QueueLimit: int(hash), Targets: []tables.Target{{Name: "t1"}},
			}})
		}
		return m
	}

	// Another entry may have sent a different row since. The revision must not
	// be put in force with a row that it does not belong to.
	DescribeTable("puts its revision in force only if the target holds the row of its hash",
		func(revision uint64, asks bool, before ...*wire.PoolUpdate) {
			s := scheduler.New(now, scheduler.Config{Name: "t1"}, silentRecorder{})
			var held uint64
			for _, m := range before {
				s.PoolUpdate(now, 7, m)
				held = m.Revision
			}
			actions := s.PoolUpdate(now, 7, update(revision, 1, false))
			if asks {
				Expect(actions).To(Equal([]scheduler.Action{ask}))
				Expect(s.Status(now).Revision).To(Equal(held))
				return
			}
			Expect(actions).NotTo(ContainElement(ask))
			Expect(s.Status(now).Revision).To(Equal(max(held, revision)))
		},
		Entry("same row", uint64(4), false, update(3, 1, true)),
		Entry("older revision", uint64(2), false, update(3, 1, true)),
		Entry("no row yet", uint64(4), true),
		Entry("a different row from another entry since", uint64(4), true, update(2, 1, true), update(3, 2, true)),
		Entry("a different row from another entry at the same revision", uint64(3), true, update(3, 2, true)),
	)
})
