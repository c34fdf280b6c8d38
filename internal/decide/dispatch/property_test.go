package dispatch_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// callState is what was observed of one call outside of the dispatcher.
type callState struct {
	call *dispatch.Call
	// delivered is the part of the answer that reached the caller.
	delivered []byte
	finished  bool
	// runsSent counts the Run messages sent, executions those that a target
	// executed.
	runsSent   int
	executions int
	// lastTarget is the target of the last Reserve.
	lastTarget string
}

// randomRun drives a dispatcher and fake targets with random events and checks
// the guarantees of the entry on each action: a call that may not be repeated
// is run at most once and at one target, an answer consists of the chunks of
// one execution, a call ends once and gets no data afterwards, and a call that
// was run does not end as not run.
type randomRun struct {
	t               *rapid.T
	d               *dispatch.Dispatcher
	now             time.Time
	snap            *tables.Snapshot
	fakes           map[string]*fakeTarget
	names           []string
	calls           []*callState
	executionsByKey map[string]int
	rec             recorder
	// rng chooses the events. The generators of rapid prefer small numbers,
	// with which a run hardly ever completes a call.
	rng *rand.Rand
	// extraTargets is the number of targets added to the pool so that its
	// sessions are on demand, or 0. faultFree is true while every session
	// opens at once and no target refuses a request.
	extraTargets int
	faultFree    bool
}

func newRandomRun(t *rapid.T, rec recorder) *randomRun {
	r := &randomRun{t: t, now: start, fakes: make(map[string]*fakeTarget), executionsByKey: make(map[string]int), rec: rec, faultFree: true,
		rng: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))}
	cfg := retry.DefaultConfig()
	cfg.Unlimited = rapid.Bool().Draw(t, "unlimited")
	if r.rng.Intn(3) == 0 {
		r.extraTargets = dispatch.MaxFullMeshTargets
	}
	r.d = dispatch.New(dispatch.Config{Entry: entryName, Incarnation: incarnation, Retry: cfg, MaxOnDemandSessions: 3,
		PickStrategy: []picker.Strategy{picker.Affinity, picker.Affinity, picker.Random}[r.rng.Intn(3)]}, rec)
	r.snap = snapshot(1, 4+r.extraTargets, 2)
	r.perform(r.d.SetSnapshot(r.now, r.snap))
	r.warmUp()
	return r
}

// warmUp runs enough calls that the hedger starts a hedge after about 11 ms.
func (r *randomRun) warmUp() {
	for range 128 {
		r.submit([]string{"a0", "a1", "base"}[len(r.calls)%3], len(r.calls)%2 == 0)
		r.deliverAll()
		r.now = r.now.Add(10 * time.Millisecond)
		for _, name := range r.names {
			for _, id := range r.fakes[name].attemptOrder {
				if j := r.fakes[name].jobs[id]; j.running {
					r.fakes[name].chunk(id, j)
					r.fakes[name].finish(j, result.OK)
				}
			}
		}
		r.deliverAll()
	}
	r.faultFree = false
}

// deliverAll delivers messages in both directions until none is in flight.
func (r *randomRun) deliverAll() {
	for progress := true; progress; {
		progress = false
		for _, name := range r.names {
			for r.deliverToTarget(name) || r.deliverToEntry(name, false) {
				progress = true
			}
		}
	}
}

func (r *randomRun) submit(model string, stream bool) *callState {
	number := uint64(len(r.calls) + 1)
	c := &callState{call: newCall(r.snap, r.now, number, model, stream)}
	if model == "" && r.rng.Intn(4) == 0 {
		c.call.IdempotencyKey = fmt.Sprint("key-", number-uint64(r.rng.Intn(6)))
	}
	r.calls = append(r.calls, c)
	r.perform(r.d.Submit(r.now, c.call))
	return c
}

func (r *randomRun) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			r.recordSend(a)
		case dispatch.Deliver:
			c := r.calls[a.Number-1]
			if c.finished {
				r.t.Fatalf("call %d: data delivered after its end", a.Number)
			}
			c.delivered = append(c.delivered, a.Data...)
		case dispatch.Discard:
			c := r.calls[a.Number-1]
			if c.call.Stream {
				r.t.Fatalf("call %d: streamed data discarded", a.Number)
			}
			c.delivered = nil
		case dispatch.Finish:
			r.finish(r.calls[a.Number-1], a.Outcome)
		case dispatch.Connect:
			if r.fakes[a.Target] == nil {
				r.fakes[a.Target] = newFakeTarget(a.Target, r.recordExecution)
				r.names = append(r.names, a.Target)
			}
			if r.faultFree || r.rng.Intn(2) == 0 {
				r.sessionUp(a.Target)
			}
		case dispatch.Disconnect:
			r.fakes[a.Target].endSession()
		}
	}
}

// recordExecution checks that a key is executed at most once.
func (r *randomRun) recordExecution(m *wire.Reserve) {
	r.calls[m.ID.Request.Number-1].executions++
	if m.Repeatable {
		return
	}
	if r.executionsByKey[m.Key]++; r.executionsByKey[m.Key] > 1 {
		r.t.Fatalf("requests with key %s were executed twice", m.Key)
	}
}

func (r *randomRun) recordSend(a dispatch.Send) {
	f := r.fakes[a.Target]
	switch m := a.Message.(type) {
	case *wire.Run:
		c := r.calls[m.ID.Request.Number-1]
		if c.runsSent++; c.runsSent > 1 && !c.call.Route.Repeatable {
			r.t.Fatalf("call %d may not be repeated, but Run was sent twice", m.ID.Request.Number)
		}
	case *wire.Reserve:
		c := r.calls[m.ID.Request.Number-1]
		if !m.Repeatable && c.lastTarget != "" && c.lastTarget != a.Target {
			r.t.Fatalf("call %d may not be repeated, but was sent to both %s and %s", m.ID.Request.Number, c.lastTarget, a.Target)
		}
		c.lastTarget = a.Target
	}
	if f.connected {
		f.toTarget = append(f.toTarget, a.Message)
	}
}

func (r *randomRun) finish(c *callState, o dispatch.Outcome) {
	if c.finished {
		r.t.Fatalf("call %d finished twice", c.call.Number)
	}
	c.finished = true
	r.rec["finished_"+o.Code.String()]++
	if o.Code.Info().Execution == result.NotRun && c.executions > 0 {
		r.t.Fatalf("call %d ended as %s, which means not run, but was run", c.call.Number, o.Code)
	}
	if len(c.delivered) == 0 && o.Code != result.OK {
		return
	}
	if !r.matches(c, o.Code == result.OK) {
		r.t.Fatalf("call %d ended as %s with data that is no answer of one execution: %q", c.call.Number, o.Code, c.delivered)
	}
}

// matches reports whether the delivered bytes are a prefix of the answer of one
// execution, or with whole, all of it.
func (r *randomRun) matches(c *callState, whole bool) bool {
	for _, f := range r.fakes {
		for id, j := range f.jobs {
			own := id.Request.Number == c.call.Number || !c.call.Route.Repeatable && j.reserve.Key == c.call.IdempotencyKey
			answer := bytes.Join(j.chunks, nil)
			if own && (!whole && bytes.HasPrefix(answer, c.delivered) || whole && j.end != nil && j.end.Code == result.OK && bytes.Equal(answer, c.delivered)) {
				return true
			}
		}
	}
	return false
}

func (r *randomRun) sessionUp(name string) {
	f := r.fakes[name]
	if f.connected {
		f.endSession()
	}
	f.connected, f.faultFree = true, r.faultFree
	r.perform(r.d.SessionUp(r.now, name, &wire.Hello{Incarnation: f.incarnation, State: wire.StateServing}))
}

// deliverToTarget delivers the next message to a target, if there is one.
func (r *randomRun) deliverToTarget(name string) bool {
	f := r.fakes[name]
	f.faultFree = r.faultFree
	if len(f.toTarget) == 0 {
		return false
	}
	m := f.toTarget[0]
	f.toTarget = f.toTarget[1:]
	f.handle(r.rng, m)
	return true
}

// deliverToEntry delivers the next message of a target to the entry, if there
// is one. With twice, the message stays in flight and is delivered again
// later.
func (r *randomRun) deliverToEntry(name string, twice bool) bool {
	f := r.fakes[name]
	if len(f.toEntry) == 0 {
		return false
	}
	m := f.toEntry[0]
	if !twice {
		f.toEntry = f.toEntry[1:]
	}
	r.perform(r.d.HandleMessage(r.now, name, m))
	return true
}

// restart restarts a target. It keeps the old jobs under another name, so that
// matches finds their answers.
func (r *randomRun) restart(name string) {
	f := r.fakes[name]
	archive := newFakeTarget(name+"'", nil)
	archive.jobs = maps.Clone(f.jobs)
	r.fakes[fmt.Sprint(name, "-", f.incarnation)] = archive
	f.restart()
}

// step performs one random event.
func (r *randomRun) step() {
	name := r.names[r.rng.Intn(len(r.names))]
	f := r.fakes[name]
	switch event := r.rng.Intn(100); {
	case event < 25:
		for r.deliverToEntry(name, false) {
		}
	case event < 50:
		for r.deliverToTarget(name) {
		}
	case event < 72:
		f.advance(r.rng)
	case event < 79:
		r.submit([]string{"a0", "", "a1", "base"}[r.rng.Intn(4)], r.rng.Intn(2) == 0)
	case event < 87:
		r.now = r.now.Add(time.Duration([]int{1, 5, 12, 12, 12, 12, 12, 12, 12, 25, 25, 25, 40, 40, 40, 100, 100, 500, 1100, 3000}[r.rng.Intn(20)]) * time.Millisecond)
		r.perform(r.d.Tick(r.now))
	case event < 90:
		r.deliverToEntry(name, true)
	case event < 92:
		r.sessionUp(name)
	case event < 95:
		if len(f.lateMessages) > 0 {
			m := f.lateMessages[r.rng.Intn(len(f.lateMessages))]
			r.perform(r.d.HandleMessage(r.now, name, m))
		}
	case event < 96:
		r.perform(r.d.Abort(r.now, uint64(len(r.calls)-r.rng.Intn(4))))
	case event < 98:
		r.perform(r.d.SessionLost(r.now, name))
		f.endSession()
	case event == 98 && r.rng.Intn(2) == 0:
		r.restart(name)
		if r.rng.Intn(2) == 0 {
			r.perform(r.d.SessionLost(r.now, name))
		}
		r.sessionUp(name)
	case event == 98 && r.rng.Intn(3) == 0:
		r.perform(r.d.SetTargetLeaving(name))
	case event == 98:
		r.snap = snapshot(r.snap.Revision+1, 3+r.extraTargets+r.rng.Intn(3), 2)
		r.perform(r.d.SetSnapshot(r.now, r.snap))
	}
}

var _ = Describe("The dispatcher", func() {
	// Besides the checks of randomRun, every call must end, no attempt may
	// stay open, and the sessions on demand must stay within MaxOnDemandSessions.
	It("keeps its guarantees through any sequence of events", func() {
		rec := recorder{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := newRandomRun(t, rec)
			for range 400 - rapid.IntRange(0, 399).Draw(t, "steps left out") {
				r.step()
			}
			for range 60 {
				r.now = r.now.Add(500 * time.Millisecond)
				r.perform(r.d.Tick(r.now))
			}
			if r.d.OpenCalls() != 0 || slices.ContainsFunc(r.calls, func(c *callState) bool { return !c.finished }) {
				t.Fatalf("%d calls are still open", r.d.OpenCalls())
			}
			onDemand := 0
			for _, view := range r.d.Targets(r.now) {
				if view.Connected && r.extraTargets > 0 && view.Pool == "e" {
					onDemand++
				}
				if view.OpenAttempts != 0 {
					t.Fatalf("target %s has %d attempts in flight", view.Name, view.OpenAttempts)
				}
			}
			if onDemand > 3 {
				t.Fatalf("%d sessions on demand, more than MaxOnDemandSessions", onDemand)
			}
		})
		// The random runs must reach the rare paths, or the test
		// checks little.
		for _, name := range []string{"hedged", "hedges_won", "hedges_lost", "parallel_attempts_failed", "resumed_answers",
			"target_restarts_seen", "late_chunks_dropped", "late_ends_dropped", "refused_outcome_unknown", "refused_answer_cut",
			"refused_session_lost", "retried_wrong_adapter", "retried_session_lost", "not_retried_sent", "not_retried_delivered"} {
			Expect(rec).To(HaveKey(name))
		}
	})
})
