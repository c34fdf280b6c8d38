package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// reserveAdapter reserves a request for an adapter that no other request uses.
func (f *queueFixture) reserveAdapter(n uint64, budget time.Duration) {
	f.collect(f.Reserve(f.at, 1, &wire.Reserve{
		ID: queueID(n), Pool: "orders", Class: "short", BudgetMS: budget.Milliseconds(), Repeatable: true, Revision: 1,
		Adapter: fmt.Sprintf("a%d", n), Version: "1",
	}))
}

// advance moves the time forward with regular ticks and probe results.
func (f *queueFixture) advance(d time.Duration) {
	for end := f.at.Add(d); f.at.Before(end); {
		f.at = f.at.Add(50 * time.Millisecond)
		f.collect(f.Tick(f.at))
		f.collect(f.EngineProbed(f.at, scheduler.ProbeResult{Fence: authority.FenceState{Incarnation: 1}}))
	}
}

// The weight store of the fixture allows one load every 2 s. A request whose
// adapter cannot be loaded within its budget must be refused when it arrives, not
// when its budget ends. The most urgent adapter is admitted all the same, so that
// loads go on.
func TestRequestWhoseLoadExceedsTheBudgetIsRefusedOnArrival(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindEngine, 4)
	for n := uint64(1); n <= 3; n++ {
		f.reserveAdapter(n, time.Minute)
		f.run(n)
	}
	f.advance(8 * time.Second)
	g.Expect(f.loads).To(gomega.Equal(3))
	// The time without requests before the fourth load must not count as a sample.
	f.advance(time.Minute)
	f.reserveAdapter(4, time.Minute)
	f.run(4)
	f.advance(2 * time.Second)
	g.Expect(f.loads).To(gomega.Equal(4))
	f.reserveAdapter(10, 1500*time.Millisecond)
	f.reserveAdapter(11, 1500*time.Millisecond)
	f.reserveAdapter(12, 4500*time.Millisecond)
	g.Expect(f.refused).To(gomega.Equal(map[uint64]result.Code{11: result.BudgetExceeded}))
}
