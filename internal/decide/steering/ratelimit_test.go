package steering_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// names delivers an answer of a target that names a rate, or none if rate is 0, to a
// request that was sent a while ago.
func (e *entry) names(id string, rate float64, sentAgo time.Duration) {
	n := steering.Notice{RateLimit: rate}
	if rate == 0 {
		n.NoRateLimitSentAt = e.now.Add(-sentAgo)
	}
	actions, _ := e.s.Notified(e.now, e.view.Targets[id], n)
	e.do(actions)
}

func (e *entry) permit(number uint64, id string, granted bool, retryAfter time.Duration) {
	e.do(e.s.Permitted(e.now, number, id, granted, retryAfter))
}

func (e *entry) pass(d time.Duration) { e.now = e.now.Add(d) }

// asks returns the asks for permits among the actions of an Acquire.
func (e *entry) acquire(number uint64) []ratelimit.Ask {
	var asks []ratelimit.Ask
	actions := e.s.Acquire(e.now, steering.Request{Number: number, Pool: "p", Deadline: e.now.Add(time.Second)})
	for _, a := range actions {
		if ask, ok := a.(steering.AskPermit); ok {
			asks = append(asks, ask.Ask)
		}
	}
	e.do(actions)
	return asks
}

var _ = Describe("A plain service that names a rate", func() {
	It("is asked for a permit, and gives way to others while there is none", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(2)...)
		first := e.view.Pools["p"][0].ID
		e.names(first, 2, 0)
		asks := e.acquire(1)
		Expect(asks).To(ConsistOf(ratelimit.Ask{Key: ratelimit.Key{Target: first}, Rate: 2, Deadline: e.now}))
		e.permit(1, first, false, 400*time.Millisecond)
		Expect(e.granted[1].Target.ID).NotTo(Equal(first))
		Expect(e.acquire(2)).To(BeEmpty())
		Expect(e.granted).To(HaveKey(uint64(2)))
		e.pass(700 * time.Millisecond)
		Expect(e.acquire(3)).To(HaveLen(1))
		e.permit(3, first, true, 0)
		Expect(e.granted[3].Target.ID).To(Equal(first))
		Expect(e.granted[3].RateLimited).To(BeTrue())
		Expect(e.s.RateLimits(e.now)).To(ConsistOf(steering.RateLimitStatus{
			Target: first, PerSecond: 2, SinceMS: 700, Source: ratelimit.FromAnswer, BoundedBy: "entries", Redirected: 1,
		}))
	})

	It("lets a request wait if all services name one, and refuses it at once without room", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(2)...)
		for id := range e.view.Targets {
			e.names(id, 1, 0)
		}
		asks := e.acquire(1)
		Expect(asks).To(HaveLen(1))
		Expect(asks[0].Deadline).To(Equal(e.now.Add(time.Second)))
		e.permit(1, asks[0].Key.Target, false, 5*time.Second)
		Expect(e.refused).To(BeEmpty())
		other := e.view.Pools["p"][0].ID
		if other == asks[0].Key.Target {
			other = e.view.Pools["p"][1].ID
		}
		e.permit(1, other, false, 3*time.Second)
		Expect(e.refused[1].Code).To(Equal(result.TargetsLimited))
		Expect(e.refused[1].RetryAfter).To(BeNumerically("~", 3*time.Second, 100*time.Millisecond))
	})

	It("gets no request with a permit after it has asked for time", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.names(id, 1, 0)
		e.acquire(1)
		actions, _ := e.s.Notified(e.now, e.view.Targets[id], steering.Notice{RetryAfter: time.Minute})
		e.do(actions)
		Expect(e.refused[1].Code).To(Equal(result.TargetsPaused))
		Expect(e.refused[1].RetryAfter).To(Equal(time.Minute))
		e.permit(1, id, true, 0)
		Expect(e.granted).To(BeEmpty())
	})

	// Guards against requests that wait for a permit of a target that takes no requests any more.
	DescribeTable("keeps no request waiting for a permit that it does not need any more", func(change func(e *entry, waitsAt, other string)) {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(2)...)
		for id := range e.view.Targets {
			e.names(id, 1, 0)
		}
		waitsAt := e.acquire(1)[0].Key.Target
		other := "t0"
		if waitsAt == other {
			other = "t1"
		}
		e.pass(time.Second / 2)
		change(e, waitsAt, other)
		if len(e.granted) == 0 {
			Expect(e.asked).To(HaveLen(2))
			Expect(e.asked[1].Key.Target).To(Equal(other))
		}
		Expect(e.withdrawn).To(Equal([]string{waitsAt}))
		e.permit(1, waitsAt, true, 0)
		Expect(len(e.granted)).To(BeNumerically("<=", 1))
	},
		Entry("because the target leaves", func(e *entry, waitsAt, _ string) {
			actions, _ := e.s.Notified(e.now, e.view.Targets[waitsAt], steering.Notice{Leaving: true})
			e.do(actions)
		}),
		Entry("because the target is listed no longer", func(e *entry, waitsAt, other string) {
			delete(e.view.Targets, waitsAt)
			e.view.Pools["p"] = []*catalog.Target{e.view.Targets[other]}
			e.do(e.s.SetView(e.now, e.view))
		}),
		Entry("because the target names no rate any more", func(e *entry, waitsAt, _ string) {
			e.names(waitsAt, 0, time.Millisecond)
			Expect(e.granted[1].Target.ID).To(Equal(waitsAt))
		}),
		Entry("because another target names no rate any more", func(e *entry, waitsAt, other string) {
			e.names(other, 0, time.Millisecond)
			if len(e.granted) == 0 {
				// It may ask once more, without waiting.
				Expect(e.asked[1].Deadline).To(Equal(e.now))
				e.permit(1, waitsAt, false, time.Second)
			}
			Expect(e.granted[1].Target.ID).To(Equal(other))
		}),
	)

	// Guards against permits that are used up by requests which have ended.
	It("withdraws the ask of a request that ends", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(1)...)
		e.names("t0", 1, 0)
		e.acquire(1)
		e.do(e.s.Done(e.now, 1, steering.Abandoned))
		Expect(e.withdrawn).To(Equal([]string{"t0"}))
	})

	// Guards against callers that come back later than the first target has room.
	It("is compared with targets that have asked for time", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(2)...)
		e.names("t0", 1, 0)
		actions, _ := e.s.Notified(e.now, e.view.Targets["t1"], steering.Notice{RetryAfter: 300 * time.Millisecond})
		e.do(actions)
		e.acquire(1)
		e.permit(1, "t0", false, 5*time.Second)
		Expect(e.refused[1].Code).To(Equal(result.TargetsPaused))
		Expect(e.refused[1].RetryAfter).To(Equal(300 * time.Millisecond))
	})

	It("is unbounded again only after an answer to a request that was sent since", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.names(id, 1, 0)
		e.pass(time.Second)
		e.names(id, 0, 2*time.Second)
		Expect(e.acquire(1)).To(HaveLen(1))
		e.names(id, 0, 500*time.Millisecond)
		Expect(e.acquire(2)).To(BeEmpty())
		Expect(e.granted).To(HaveKey(uint64(2)))
	})

	It("is known from other entries, by its incarnation", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.do(e.s.ReceiveRateLimits(e.now, []wire.RateLimit{{Target: id, StartedAtMS: 99, PerSecond: 1}}))
		Expect(e.acquire(1)).To(BeEmpty())
		e.do(e.s.ReceiveRateLimits(e.now, []wire.RateLimit{{Target: id, PerSecond: 1, AgeMS: 50, SinceMS: 9000}}))
		Expect(e.acquire(2)).To(HaveLen(1))
		Expect(e.s.RateLimits(e.now)[0].SinceMS).To(BeEquivalentTo(9000))
		e.do(e.s.ReceiveRateLimits(e.now, []wire.RateLimit{{Target: id, AgeMS: 10}}))
		Expect(e.acquire(3)).To(BeEmpty())
	})

	// Guards against state that grows with what other entries send.
	It("adds bounded state", func() {
		e := newEntry(&catalog.Pool{Name: "p"}, targets(1)...)
		for i := range 20_000 {
			e.do(e.s.ReceiveRateLimits(e.now, []wire.RateLimit{{Target: "x", StartedAtMS: int64(i), PerSecond: 1}}))
		}
		Expect(e.s.RateLimits(e.now)).To(BeEmpty())
	})
})

var _ = Describe("An engine that names a rate", func() {
	report := func(perSecond float64, waitMS int64) *wire.EngineReport {
		r := &wire.EngineReport{HasAdapterLists: true, Held: []string{"m/a1"}, BoundsRate: true, RateWaitMS: waitMS}
		if perSecond > 0 {
			r.RateLimit = &wire.RateLimit{PerSecond: perSecond}
		}
		return r
	}
	pool := &catalog.Pool{Name: "p", Engine: &catalog.Engine{MaxRunning: 8}}

	It("gives way to a second home while its target process has no room, and gets its work back", func() {
		e := newEntry(pool, targets(2)...)
		first, second := e.view.Pools["p"][0].ID, e.view.Pools["p"][1].ID
		e.connect(first, second)
		e.report(first, report(0, 0))
		e.want(1, "a1")
		Expect(e.reserves(1)).To(Equal([]string{first}))
		e.report(first, report(1, 900))
		e.report(second, &wire.EngineReport{HasAdapterLists: true, Cached: []string{"m/a1"}, BoundsRate: true})
		e.want(2, "a1")
		Expect(e.reserves(2)).To(Equal([]string{second}))
		e.pass(10 * time.Millisecond)
		e.report(first, &wire.EngineReport{BoundsRate: true, RateLimit: &wire.RateLimit{AgeMS: 1}})
		e.want(3, "a1")
		Expect(e.reserves(3)).To(Equal([]string{first}))
	})

	It("is refused at once with the time until there is room, if there is no other", func() {
		e := newEntry(pool, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.connect(id)
		e.report(id, report(0.3, 3300))
		e.want(1, "a1")
		Expect(e.refused[1].Code).To(Equal(result.TargetsLimited))
		Expect(e.refused[1].RetryAfter).To(Equal(3300 * time.Millisecond))
	})

	// Guards against engines that name a rate and use up the attempts of a request.
	It("is passed over after a refusal, which is no attempt", func() {
		e := newEntry(pool, targets(6)...)
		for _, t := range e.view.Pools["p"] {
			e.connect(t.ID)
			e.report(t.ID, report(1, 0))
		}
		e.want(1, "a1")
		for range 5 {
			tried := e.reserves(1)
			e.do(e.s.Message(e.now, tried[len(tried)-1], &wire.Refused{ID: e.reservation(1), Code: result.TargetsLimited, RetryAfterMS: 800}))
		}
		Expect(e.reserves(1)).To(HaveLen(6))
		e.want(2, "a1")
		Expect(e.reserves(2)).To(Equal(e.reserves(1)[5:]))
	})

	It("tells a target process that does not know the rate, and needs permits of a former build", func() {
		e := newEntry(pool, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.connect(id)
		e.report(id, report(0, 0))
		e.names(id, 2, 0)
		settings := e.sent[len(e.sent)-1].Message.(*wire.EngineSettings)
		Expect(settings.RateLimit.PerSecond).To(Equal(2.0))
		e.want(1, "a1")
		Expect(e.reserves(1)).To(HaveLen(1))

		former := &wire.EngineReport{HasAdapterLists: true, Held: []string{"m/a1"}}
		e.report(id, former)
		e.want(2, "a1")
		Expect(e.reserves(2)).To(BeEmpty())
		e.permit(2, id, true, 0)
		Expect(e.reserves(2)).To(HaveLen(1))
	})

	It("needs permits for a part of its rate while its target process is gone", func() {
		e := newEntry(pool, targets(1)...)
		id := e.view.Pools["p"][0].ID
		e.connect(id)
		e.report(id, report(10, 0))
		e.do(e.s.SessionLost(e.now, id))
		var asks []ratelimit.Ask
		for _, a := range e.s.Acquire(e.now, steering.Request{Number: 1, Pool: "p", Model: "m", Adapter: "a1", Deadline: e.now.Add(time.Second)}) {
			asks = append(asks, a.(steering.AskPermit).Ask)
		}
		Expect(asks).To(HaveLen(1))
		Expect(asks[0].Rate).To(BeNumerically("~", 4, 0.01))
		e.permit(1, id, true, 0)
		Expect(e.granted[1].Unreserved).To(BeTrue())
	})
})
