package scheduler_test

import (
	"encoding/json"
	"math/rand"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

type silentRecorder struct{}

func (silentRecorder) Refused(result.Code) {}
func (silentRecorder) Count(string)        {}

// queueFixture drives a scheduler, reports every adapter load as done at once and
// collects the results of the requests by request number.
type queueFixture struct {
	*scheduler.Scheduler
	at      time.Time
	started []scheduler.Execute
	ended   map[uint64]result.Code
	refused map[uint64]result.Code
	// retryAfter counts the End messages by RetryAfterMS.
	retryAfter map[int64]int
	loads      int
}

func newQueueFixture(t *testing.T, kind string, maxRunning int) *queueFixture {
	row, err := json.Marshal(tables.PoolRow{WeightStore: tables.WeightStore{LoadsPerSecond: 0.5, LoadMS: 250}, Pool: tables.Pool{
		Name: "orders", Kind: kind, Slots: 8, MaxRunning: maxRunning, QueueLimit: 100, LongShare: 0.5,
		Classes: []tables.Class{{Name: "short", TotalMS: 1000}, {Name: "long", TotalMS: 1000, Long: true}},
		Targets: []tables.Target{{Name: "t1"}},
	}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	f := &queueFixture{at: time.Unix(1_700_000_000, 0), ended: make(map[uint64]result.Code), refused: make(map[uint64]result.Code), retryAfter: make(map[int64]int)}
	f.Scheduler = scheduler.New(f.at, scheduler.Config{Name: "t1", Rand: rand.New(rand.NewSource(1))}, silentRecorder{})
	f.collect(f.PoolUpdate(f.at, 1, &wire.PoolUpdate{Revision: 1, Row: row, EngineTargets: []string{"t1"}}))
	f.collect(f.SessionUp(f.at, 1))
	state := scheduler.ProbeResult{Fence: authority.FenceState{Incarnation: 1}}
	f.collect(f.EngineProbed(f.at, state))
	f.collect(f.FenceSet(f.at, state, 1))
	return f
}

func (f *queueFixture) collect(actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.LoadAdapter:
			f.loads++
			f.collect(f.AdapterLoaded(f.at, a.Adapter, nil))
		case scheduler.Execute:
			f.started = append(f.started, a)
		case scheduler.ToSession:
			switch m := a.Message.(type) {
			case *wire.End:
				f.ended[m.ID.Request.Number] = m.Code
				f.retryAfter[m.RetryAfterMS]++
			case *wire.Refused:
				f.refused[m.ID.Request.Number] = m.Code
			}
		}
	}
}

func queueID(n uint64) wire.AttemptID { return wire.AttemptID{Request: wire.RequestID{Number: n}} }

func (f *queueFixture) reserve(n uint64, class string, budget time.Duration) {
	f.collect(f.Reserve(f.at, 1, &wire.Reserve{
		ID: queueID(n), Pool: "orders", Class: class, BudgetMS: budget.Milliseconds(), Repeatable: true, Revision: 1,
	}))
}

func (f *queueFixture) run(n uint64) {
	f.collect(f.Run(f.at, 1, &wire.Run{ID: queueID(n), Stream: true}))
}

func (f *queueFixture) end(n uint64, code result.Code) {
	f.collect(f.ExecutionEnded(f.at, scheduler.Completion{ID: queueID(n), Code: code}))
}

// A reservation whose Run is late must not use up the limit on running requests
// while another request could start.
func TestReservationWithoutRunBlocksNoOtherRequest(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindService, 1)
	f.reserve(1, "short", time.Second)
	f.reserve(2, "short", 5*time.Second)
	g.Expect(f.started).To(gomega.BeEmpty())
	f.run(2)
	g.Expect(f.started).To(gomega.HaveLen(1))
	g.Expect(f.started[0].ID).To(gomega.Equal(queueID(2)))
	f.run(1)
	f.end(2, result.OK)
	g.Expect(f.started).To(gomega.HaveLen(2))
}

// The caller of an overdue request must not wait for the next Tick.
func TestOverdueRequestEndsWithTheNextEvent(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindService, 1)
	f.reserve(1, "short", time.Minute)
	f.run(1)
	f.reserve(2, "short", time.Second)
	f.run(2)
	g.Expect(f.refused).To(gomega.BeEmpty())
	f.at = f.at.Add(1100 * time.Millisecond)
	f.reserve(3, "short", time.Minute)
	g.Expect(f.ended).To(gomega.HaveKeyWithValue(uint64(2), result.DeadlinePassed))
	f.end(1, result.OK)
	g.Expect(f.started).To(gomega.HaveLen(1))
}

// The callers of requests that end together must not retry together.
func TestOverdueRequestsGetSpreadRetryAfter(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindService, 1)
	for n := uint64(1); n <= 50; n++ {
		f.reserve(n, "short", time.Minute)
	}
	f.at = f.at.Add(2 * time.Minute)
	f.collect(f.Tick(f.at))
	g.Expect(len(f.ended)).To(gomega.BeNumerically(">=", 40))
	g.Expect(len(f.retryAfter)).To(gomega.BeNumerically(">=", 30))
}

// Requests that fail at once must not shorten the predicted start delay.
func TestFailedExecutionsDoNotChangeThePrediction(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindService, 1)
	for n := uint64(1); n <= 20; n++ {
		f.reserve(n, "short", time.Minute)
		f.run(n)
		f.end(n, result.EngineFailed)
	}
	f.reserve(30, "short", time.Minute)
	f.run(30)
	g.Expect(f.LoadReport().StartDelayMS).To(gomega.Equal(500))
}

// Engines run requests with lower priority numbers first. Long requests must not
// delay short ones.
func TestLongRequestHasLowerPriority(t *testing.T) {
	g, f := gomega.NewWithT(t), newQueueFixture(t, tables.KindEngine, 4)
	f.reserve(1, "short", time.Minute)
	f.run(1)
	f.reserve(2, "long", time.Minute)
	f.run(2)
	g.Expect(f.started).To(gomega.HaveLen(2))
	g.Expect(f.started[1].Priority).To(gomega.BeNumerically(">", f.started[0].Priority))
}

// The budget of a request covers the time until the first token of an engine, or
// until the whole answer of a plain service. A request is refused if the time
// that the first request took does not fit into its budget.
func TestBudgetCoversFirstTokenOrWholeAnswer(t *testing.T) {
	for kind, code := range map[string]result.Code{tables.KindService: result.BudgetExceeded, tables.KindEngine: result.OK} {
		g, f := gomega.NewWithT(t), newQueueFixture(t, kind, 1)
		f.reserve(1, "short", time.Minute)
		f.run(1)
		f.at = f.at.Add(100 * time.Millisecond)
		f.collect(f.ExecutionChunk(f.at, queueID(1), []byte("x")))
		f.at = f.at.Add(400 * time.Millisecond)
		f.collect(f.ExecutionChunk(f.at, queueID(1), []byte("x")))
		f.end(1, result.OK)
		f.reserve(2, "short", 99*time.Millisecond)
		g.Expect(f.refused).To(gomega.HaveKeyWithValue(uint64(2), result.BudgetExceeded), kind)
		f.reserve(3, "short", 499*time.Millisecond)
		g.Expect(f.refused[3]).To(gomega.Equal(code), kind)
	}
}
