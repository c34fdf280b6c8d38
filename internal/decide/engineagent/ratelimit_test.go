package engineagent_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// limitedAgent is an Agent in front of an engine that names a rate, with base model
// requests of many entries.
type limitedAgent struct {
	*engineagent.Agent
	e       *engine
	now     time.Time
	next    uint64
	granted map[uint64]time.Time
	refused map[uint64]engineagent.Refuse
	// order holds the admitted requests, of which the first released ones have ended.
	order    []uint64
	released int
}

func newLimitedAgent() *limitedAgent {
	a := &limitedAgent{e: newEngine(2), now: time.Unix(1_800_000_000, 0), granted: map[uint64]time.Time{}, refused: map[uint64]engineagent.Refuse{}}
	a.Agent = engineagent.New(a.now, &recorder{})
	a.do(a.SetSettings(a.now, a.settings(nil)))
	return a
}

func (a *limitedAgent) settings(l *wire.RateLimit) *wire.EngineSettings {
	return &wire.EngineSettings{Revision: 1, MaxRunning: 1000, MemoryMB: 100, Models: []wire.EngineModel{{Name: "m", WeightsMB: 50}}, StartedAtMS: a.e.incarnation, Instance: "i", RateLimit: l}
}

func (a *limitedAgent) do(actions []engineagent.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case engineagent.Grant:
			a.granted[x.ID.Request.Number] = a.now
			a.order = append(a.order, x.ID.Request.Number)
		case engineagent.PollEngine:
			a.do(a.PollSucceeded(a.now, a.e.status()))
		case engineagent.Refuse:
			a.refused[x.ID.Request.Number] = x
		}
	}
}

// reserve reserves for a request that ends as soon as it is admitted.
func (a *limitedAgent) reserve(priority int, budget time.Duration) uint64 {
	a.next++
	id := wire.AttemptID{Request: wire.RequestID{Entry: "e", Number: a.next}, Attempt: 1}
	a.do(a.Reserve(a.now, engineagent.SessionID(1+a.next%68), &wire.Reserve{
		ID: id, Model: "m", Priority: priority, BudgetMS: budget.Milliseconds(), FirstEventBudgetMS: budget.Milliseconds(),
	}))
	return a.next
}

func (a *limitedAgent) advance(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		a.now = a.now.Add(10 * time.Millisecond)
		for ; a.released < len(a.order); a.released++ {
			a.do(a.Release(a.now, wire.AttemptID{Request: wire.RequestID{Entry: "e", Number: a.order[a.released]}, Attempt: 1}))
		}
		a.do(a.Tick(a.now))
	}
}

var _ = Describe("An engine that names the requests a second that it takes", func() {
	// Guards against admissions that add up to more than the rate, and an engine without work.
	DescribeTable("gets that from all entries together, and most of it", func(rate float64) {
		a := newLimitedAgent()
		a.Notified(a.now, engineagent.Notice{RateLimit: rate})
		began := a.now
		for range 1200 {
			for range 1 + int(rate/80) {
				a.reserve(1, time.Second)
			}
			a.advance(10 * time.Millisecond)
		}
		var times []time.Time
		for _, at := range a.granted {
			times = append(times, at)
		}
		slices.SortFunc(times, time.Time.Compare)
		most := 0
		for i, first := range times {
			n, _ := slices.BinarySearchFunc(times[i:], first.Add(4*time.Second), time.Time.Compare)
			most = max(most, n)
		}
		Expect(most).To(BeNumerically("<=", int(1.5*4*rate)+5))
		Expect(len(times)).To(BeNumerically(">=", int(0.8*rate*a.now.Sub(began).Seconds())))
		for _, x := range a.refused {
			Expect(x.Code).To(BeElementOf(result.TargetsLimited, result.DeadlinePassed))
		}
	},
		Entry("0.3", 0.3), Entry("1.2", 1.2), Entry("20", 20.0), Entry("400", 400.0),
	)

	It("admits by priority, and refuses at once what has no room before its deadline", func() {
		a := newLimitedAgent()
		a.Notified(a.now, engineagent.Notice{RateLimit: 1})
		late, first := a.reserve(3, 2500*time.Millisecond), a.reserve(1, 2500*time.Millisecond)
		Expect(a.refused).To(BeEmpty())
		last := a.reserve(3, 2500*time.Millisecond)
		Expect(a.refused[last].Code).To(Equal(result.TargetsLimited))
		Expect(a.refused[last].RetryAfter).To(BeNumerically("~", 3*time.Second, 10*time.Millisecond))
		a.advance(2100 * time.Millisecond)
		Expect(a.order).To(Equal([]uint64{first, late}))
	})

	It("is known to a target process that has restarted as soon as an entry tells it", func() {
		a := newLimitedAgent()
		a.do(a.SetSettings(a.now, a.settings(&wire.RateLimit{PerSecond: 1, AgeMS: 60_000, SinceMS: 60_000})))
		for range 10 {
			a.reserve(1, 5*time.Second)
		}
		Expect(a.granted).To(BeEmpty())
		r := a.Report(a.now, false)
		Expect(r.BoundsRate).To(BeTrue())
		Expect(r.RateLimit.PerSecond).To(Equal(1.0))
		Expect(r.RateLimit.AgeMS).To(BeEquivalentTo(60_000))
		Expect(r.RateWaitMS).To(BeNumerically(">", 4000))
	})

	// Guards against a rate that is dropped because the registration of the engine lacks its start.
	It("is bounded also if entries do not know when it started", func() {
		a := newLimitedAgent()
		settings := a.settings(&wire.RateLimit{PerSecond: 1})
		settings.StartedAtMS = 0
		a.do(a.SetSettings(a.now, settings))
		for range 10 {
			a.reserve(1, 5*time.Second)
		}
		Expect(a.granted).To(BeEmpty())
	})

	It("is not bounded in another incarnation, nor by what is said of an earlier one", func() {
		a := newLimitedAgent()
		a.Notified(a.now, engineagent.Notice{RateLimit: 1})
		old := a.settings(&wire.RateLimit{PerSecond: 1})
		a.e.incarnation = 2
		a.advance(300 * time.Millisecond)
		a.do(a.SetSettings(a.now, old))
		for range 10 {
			a.reserve(1, 5*time.Second)
		}
		a.advance(100 * time.Millisecond)
		Expect(a.granted).To(HaveLen(10))
	})

	It("is not bounded any more once an answer shows that it names no rate", func() {
		a := newLimitedAgent()
		a.do(a.SetSettings(a.now, a.settings(&wire.RateLimit{PerSecond: 1, AgeMS: 10})))
		Expect(a.PollNamedNoRate(a.now.Add(time.Second), a.now.Add(time.Second))).To(BeFalse(), "polls have never named it")
		a.now = a.now.Add(2 * time.Second)
		a.do(a.SetSettings(a.now, a.settings(&wire.RateLimit{AgeMS: 5})))
		for range 10 {
			a.reserve(1, 5*time.Second)
		}
		a.advance(100 * time.Millisecond)
		Expect(a.granted).To(HaveLen(10))

		a.Notified(a.now, engineagent.Notice{RateLimit: 1})
		Expect(a.PollNamedNoRate(a.now, a.now.Add(-time.Millisecond))).To(BeFalse(), "sent before the naming")
		Expect(a.PollNamedNoRate(a.now.Add(2*time.Millisecond), a.now.Add(time.Millisecond))).To(BeTrue())
	})
})
