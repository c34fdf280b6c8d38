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

// callState is what the outside of the dispatcher saw of one call.
type callState struct {
	call     *dispatch.Call
	got      []byte
	finished bool
	runs     int
	executed int
	home     string
}

// world drives a dispatcher and fake targets with random events and checks
// the promises of the entry with each action.
type world struct {
	t     *rapid.T
	d     *dispatch.Dispatcher
	now   time.Time
	snap  *tables.Snapshot
	fakes map[string]*fakeTarget
	names []string
	calls []*callState
	byKey map[string]int
	rec   recorder
	// rng draws the events. Draws of rapid itself prefer small numbers, and
	// runs made of them hardly ever complete a call.
	rng *rand.Rand
	// extra is the number of targets that make the pool one with sessions
	// on demand, and calm the time in which every session opens at once.
	extra int
	calm  bool
}

func newWorld(t *rapid.T, rec recorder) *world {
	w := &world{t: t, now: start, fakes: make(map[string]*fakeTarget), byKey: make(map[string]int), rec: rec, calm: true,
		rng: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))}
	cfg := retry.DefaultConfig()
	cfg.Unlimited = rapid.Bool().Draw(t, "unlimited")
	if w.rng.Intn(3) == 0 {
		w.extra = dispatch.AllToAllTargets
	}
	w.d = dispatch.New(dispatch.Config{Entry: entryName, Incarnation: incarnation, Retry: cfg, MaxSessions: 3,
		Pick: []picker.Policy{picker.Affinity, picker.Affinity, picker.Random}[w.rng.Intn(3)]}, rec)
	w.snap = snapshot(1, 4+w.extra, 2)
	w.take(w.d.SetSnapshot(w.now, w.snap))
	w.warm()
	return w
}

// warm gives the hedger enough answers to hedge after about 11 ms.
func (w *world) warm() {
	for range 128 {
		w.submit([]string{"a0", "a1", "base"}[len(w.calls)%3], len(w.calls)%2 == 0)
		w.drain()
		w.now = w.now.Add(10 * time.Millisecond)
		for _, name := range w.names {
			for _, id := range w.fakes[name].order {
				if j := w.fakes[name].jobs[id]; j.running {
					w.fakes[name].chunk(id, j)
					w.fakes[name].finish(j, result.OK)
				}
			}
		}
		w.drain()
	}
	w.calm = false
}

func (w *world) drain() {
	for again := true; again; {
		again = false
		for _, name := range w.names {
			for w.toTarget(name) || w.toEntry(name, false) {
				again = true
			}
		}
	}
}

func (w *world) submit(model string, stream bool) *callState {
	number := uint64(len(w.calls) + 1)
	c := &callState{call: newCall(w.snap, w.now, number, model, stream)}
	if model == "" && w.rng.Intn(4) == 0 {
		c.call.Key = fmt.Sprint("key-", number-uint64(w.rng.Intn(6)))
	}
	w.calls = append(w.calls, c)
	w.take(w.d.Submit(w.now, c.call))
	return c
}

func (w *world) take(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			w.send(a)
		case dispatch.Deliver:
			c := w.calls[a.Number-1]
			if c.finished {
				w.t.Fatalf("call %d: bytes after its end", a.Number)
			}
			c.got = append(c.got, a.Data...)
		case dispatch.Discard:
			c := w.calls[a.Number-1]
			if c.call.Stream {
				w.t.Fatalf("call %d: streamed bytes taken back", a.Number)
			}
			c.got = nil
		case dispatch.Finish:
			w.finish(w.calls[a.Number-1], a.Outcome)
		case dispatch.Connect:
			if w.fakes[a.Target] == nil {
				w.fakes[a.Target] = newFake(a.Target, w.executed)
				w.names = append(w.names, a.Target)
			}
			if w.calm || w.rng.Intn(2) == 0 {
				w.sessionUp(a.Target)
			}
		case dispatch.Disconnect:
			w.fakes[a.Target].sessionEnds()
		}
	}
}

func (w *world) executed(m *wire.Reserve) {
	w.calls[m.ID.Request.Number-1].executed++
	if m.Repeatable {
		return
	}
	if w.byKey[m.Key]++; w.byKey[m.Key] > 1 {
		w.t.Fatalf("key %s ran twice", m.Key)
	}
}

func (w *world) send(a dispatch.Send) {
	f := w.fakes[a.Target]
	switch m := a.Message.(type) {
	case *wire.Run:
		c := w.calls[m.ID.Request.Number-1]
		if c.runs++; c.runs > 1 && !c.call.Route.Repeatable {
			w.t.Fatalf("call %d was sent twice", m.ID.Request.Number)
		}
	case *wire.Reserve:
		c := w.calls[m.ID.Request.Number-1]
		if !m.Repeatable && c.home != "" && c.home != a.Target {
			w.t.Fatalf("call %d went to %s and %s", m.ID.Request.Number, c.home, a.Target)
		}
		c.home = a.Target
	}
	if f.up {
		f.toTarget = append(f.toTarget, a.Message)
	}
}

func (w *world) finish(c *callState, o dispatch.Outcome) {
	if c.finished {
		w.t.Fatalf("call %d finished twice", c.call.Number)
	}
	c.finished = true
	w.rec["finished_"+o.Code.String()]++
	if o.Code.Info().Execution == result.NotRun && c.executed > 0 {
		w.t.Fatalf("call %d ended as %s and was run", c.call.Number, o.Code)
	}
	if len(c.got) == 0 && o.Code != result.OK {
		return
	}
	if !w.matches(c, o.Code == result.OK) {
		w.t.Fatalf("call %d ended as %s with %q", c.call.Number, o.Code, c.got)
	}
}

// matches reports whether the bytes are a prefix of one execution's answer,
// or all of it.
func (w *world) matches(c *callState, whole bool) bool {
	for _, f := range w.fakes {
		for id, j := range f.jobs {
			own := id.Request.Number == c.call.Number || !c.call.Route.Repeatable && j.reserve.Key == c.call.Key
			answer := bytes.Join(j.chunks, nil)
			if own && (!whole && bytes.HasPrefix(answer, c.got) || whole && j.end != nil && j.end.Code == result.OK && bytes.Equal(answer, c.got)) {
				return true
			}
		}
	}
	return false
}

func (w *world) sessionUp(name string) {
	f := w.fakes[name]
	if f.up {
		f.sessionEnds()
	}
	f.up, f.calm = true, w.calm
	w.take(w.d.SessionUp(w.now, name, &wire.Hello{Incarnation: f.incarnation, State: wire.StateServing}))
}

func (w *world) toTarget(name string) bool {
	f := w.fakes[name]
	f.calm = w.calm
	if len(f.toTarget) == 0 {
		return false
	}
	m := f.toTarget[0]
	f.toTarget = f.toTarget[1:]
	f.take(w.rng, m)
	return true
}

func (w *world) toEntry(name string, twice bool) bool {
	f := w.fakes[name]
	if len(f.toEntry) == 0 {
		return false
	}
	m := f.toEntry[0]
	if !twice {
		f.toEntry = f.toEntry[1:]
	}
	w.take(w.d.Message(w.now, name, m))
	return true
}

// restart keeps the finished answers for the check of delivered bytes.
func (w *world) restart(name string) {
	f := w.fakes[name]
	archive := newFake(name+"'", nil)
	archive.jobs = maps.Clone(f.jobs)
	w.fakes[fmt.Sprint(name, "-", f.incarnation)] = archive
	f.restarts()
}

func (w *world) step() {
	name := w.names[w.rng.Intn(len(w.names))]
	f := w.fakes[name]
	switch event := w.rng.Intn(100); {
	case event < 25:
		for w.toEntry(name, false) {
		}
	case event < 50:
		for w.toTarget(name) {
		}
	case event < 72:
		f.work(w.rng)
	case event < 79:
		w.submit([]string{"a0", "", "a1", "base"}[w.rng.Intn(4)], w.rng.Intn(2) == 0)
	case event < 87:
		w.now = w.now.Add(time.Duration([]int{1, 5, 12, 12, 12, 12, 12, 12, 12, 25, 25, 25, 40, 40, 40, 100, 100, 500, 1100, 3000}[w.rng.Intn(20)]) * time.Millisecond)
		w.take(w.d.Tick(w.now))
	case event < 90:
		w.toEntry(name, true)
	case event < 92:
		w.sessionUp(name)
	case event < 95:
		if len(f.old) > 0 {
			m := f.old[w.rng.Intn(len(f.old))]
			w.take(w.d.Message(w.now, name, m))
		}
	case event < 96:
		w.take(w.d.Abort(w.now, uint64(len(w.calls)-w.rng.Intn(4))))
	case event < 98:
		w.take(w.d.SessionDown(w.now, name))
		f.sessionEnds()
	case event == 98 && w.rng.Intn(2) == 0:
		w.restart(name)
		if w.rng.Intn(2) == 0 {
			w.take(w.d.SessionDown(w.now, name))
		}
		w.sessionUp(name)
	case event == 98 && w.rng.Intn(3) == 0:
		w.take(w.d.TargetLeaving(name))
	case event == 98:
		w.snap = snapshot(w.snap.Revision+1, 3+w.extra+w.rng.Intn(3), 2)
		w.take(w.d.SetSnapshot(w.now, w.snap))
	}
}

var _ = Describe("The dispatcher", func() {
	It("keeps its promises through any sequence of events", func() {
		rec := recorder{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t, rec)
			for range 400 - rapid.IntRange(0, 399).Draw(t, "steps left out") {
				w.step()
			}
			for range 60 {
				w.now = w.now.Add(500 * time.Millisecond)
				w.take(w.d.Tick(w.now))
			}
			if w.d.InFlight() != 0 || slices.ContainsFunc(w.calls, func(c *callState) bool { return !c.finished }) {
				t.Fatalf("%d calls are still open", w.d.InFlight())
			}
			onDemand := 0
			for _, view := range w.d.Targets(w.now) {
				if view.Connected && w.extra > 0 && view.Pool == "e" {
					onDemand++
				}
				if view.InFlight != 0 {
					t.Fatalf("%s has %d in flight", view.Name, view.InFlight)
				}
			}
			if onDemand > 3 {
				t.Fatalf("%d sessions on demand", onDemand)
			}
		})
		// A generator that misses the rare paths would check little.
		for _, name := range []string{"hedged", "hedges_won", "hedges_lost", "parallel_attempts_failed", "resumed_answers",
			"target_restarts_seen", "late_chunks_dropped", "late_ends_dropped", "refused_outcome_unknown", "refused_answer_cut",
			"refused_session_lost", "retried_wrong_adapter", "retried_session_lost", "not_retried_sent", "not_retried_delivered"} {
			Expect(rec).To(HaveKey(name))
		}
	})
})
