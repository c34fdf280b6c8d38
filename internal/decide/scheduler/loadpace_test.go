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

// reserveAdapter reserves a request of an adapter of its own.
func (f *queueFixture) reserveAdapter(n uint64, budget time.Duration) {
	f.collect(f.Reserve(f.at, 1, &wire.Reserve{
		ID: queueID(n), Pool: "orders", Class: "short", BudgetMS: budget.Milliseconds(), Repeatable: true, Revision: 1,
		Adapter: fmt.Sprintf("a%d", n), Version: "1",
	}))
}

// pass lets time pass with ticks and looks at the engine.
func (f *queueFixture) pass(d time.Duration) {
	for end := f.at.Add(d); f.at.Before(end); {
		f.at = f.at.Add(50 * time.Millisecond)
		f.collect(f.Tick(f.at))
		f.collect(f.EngineProbed(f.at, scheduler.EngineState{View: authority.EngineView{Incarnation: 1}}))
	}
}

// The weight store of the fixture allows a load every 2 s. Requests for
// adapters further down the line must be told so when they arrive, not when
// their budget ends; the first one keeps the line moving.
func TestLinePastTheBudgetIsRefusedAtOnce(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindEngine, 4)
	for n := uint64(1); n <= 3; n++ {
		f.reserveAdapter(n, time.Minute)
		f.run(n)
	}
	f.pass(8 * time.Second)
	g.Expect(f.loads).To(gomega.Equal(3))
	// The quiet time before the fourth load says nothing about the pace.
	f.pass(time.Minute)
	f.reserveAdapter(4, time.Minute)
	f.run(4)
	f.pass(2 * time.Second)
	g.Expect(f.loads).To(gomega.Equal(4))
	f.reserveAdapter(10, 1500*time.Millisecond)
	f.reserveAdapter(11, 1500*time.Millisecond)
	f.reserveAdapter(12, 4500*time.Millisecond)
	g.Expect(f.refused).To(gomega.Equal(map[uint64]result.Code{11: result.BudgetExceeded}))
}
