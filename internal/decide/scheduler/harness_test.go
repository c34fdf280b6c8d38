package scheduler_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// call is a request and the messages that its entry received for it.
type call struct {
	reserve        *wire.Reserve
	session        scheduler.SessionID
	reserved, lost bool
	cancelled      int
	replies        []any
	ends           []*wire.End
	chunks         int
}

func (c *call) key() slots.Key {
	return slots.Key{Adapter: c.reserve.Adapter, Version: c.reserve.Version}
}

// code returns the code of the last reply, OK for Reserved.
func (c *call) code() result.Code {
	switch m := c.replies[len(c.replies)-1].(type) {
	case *wire.End:
		return m.Code
	case *wire.Refused:
		return m.Code
	}
	return result.OK
}

// order is a load or unload that the engine has not finished.
type order struct {
	key         slots.Key
	unload      bool
	sentAt      time.Time
	incarnation int64
	// refused is true if the engine refuses the order for its fencing number.
	refused bool
}

// harness connects a scheduler with a simulated engine and simulated entries. It
// performs the actions and reports violated invariants through fail.
type harness struct {
	s      *scheduler.Scheduler
	now    time.Time
	row    tables.PoolRow
	update wire.PoolUpdate
	fail   func(format string, args ...any)

	calls map[wire.AttemptID]*call
	// attempts lists the keys of calls in order of arrival.
	attempts []wire.AttemptID
	sessions []scheduler.SessionID

	// view is the present state of the engine, fencedIncarnation the
	// incarnation at the last FenceSet.
	view              authority.FenceState
	fencedIncarnation int64
	resident          []slots.Key
	orders            []order
	running           []scheduler.Execute
	// inEngine holds the adapters of the runs inside the engine, by attempt.
	// A cancelled run stays until the engine has ended it, which endCall and
	// answerFence simulate.
	inEngine map[wire.AttemptID]slots.Key
	// probes holds the results of probes that are not yet reported.
	probes    []scheduler.ProbeResult
	lastProbe uint64
	fences    []scheduler.SetFence
	// awaitsProbe is true between a pause and the result of a probe with a
	// number above pauseProbe, the last probe before the pause.
	awaitsProbe bool
	pauseProbe  uint64
	// executed counts the executions by idempotency key.
	executed map[string]int
	counts   map[string]int
	log      []string
}

func (h *harness) Refused(code result.Code) { h.counts[code.String()]++ }
func (h *harness) Count(name string)        { h.counts[name]++ }

// newHarness returns a harness whose scheduler serves requests: two slots, one
// session, fencing number taken, and running for long enough to execute keys
// that were created at freshKeyTime.
func newHarness(kind string, grace time.Duration, fail func(string, ...any)) *harness {
	h := &harness{
		now: time.Unix(1_700_000_000, 0), fail: fail, calls: map[wire.AttemptID]*call{},
		executed: map[string]int{}, counts: map[string]int{}, inEngine: map[wire.AttemptID]slots.Key{},
		view: authority.FenceState{Incarnation: 1, ChecksFence: true},
		row: tables.PoolRow{
			Pool: tables.Pool{
				Name: "pool", Kind: kind, Slots: 2, MaxRunning: 2, QueueLimit: 20, LongShare: 0.5,
				Classes: []tables.Class{{Name: "short", FirstTokenMS: 4000, TotalMS: 20_000}, {Name: "long", FirstTokenMS: 8000, TotalMS: 60_000, Long: true}},
				Targets: []tables.Target{{Name: "t1"}},
			},
			WeightStore: tables.WeightStore{LoadsPerSecond: 20, LoadMS: 250},
		},
	}
	h.s = scheduler.New(h.now, scheduler.Config{Name: "t1", HomeGracePeriod: grace}, h)
	h.openSession(1)
	h.configure(func(*tables.PoolRow) {})
	h.advance(10 * time.Second)
	return h
}

func (h *harness) openSession(id scheduler.SessionID) {
	h.sessions = append(h.sessions, id)
	h.perform("up", h.s.SessionUp(h.now, id))
}

// configure puts a changed pool row in force.
func (h *harness) configure(change func(*tables.PoolRow)) {
	change(&h.row)
	row, _ := json.Marshal(h.row)
	h.update = wire.PoolUpdate{Revision: h.update.Revision + 1, Digest: uint64(len(h.row.Pool.Targets)), Row: row, EngineTargets: []string{"t1"}}
	h.perform("pool", h.s.PoolUpdate(h.now, 1, &h.update))
}

// advance moves the time forward in regular ticks; the engine answers probes,
// fencing numbers and orders at once.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.tick(1)
		for len(h.probes)+len(h.fences)+len(h.orders) > 0 {
			h.answerProbe()
			h.answerFence()
			h.answerOrder(true)
		}
	}
}

// tick runs ticks without an answer of the engine.
func (h *harness) tick(count int) {
	for range count {
		h.now = h.now.Add(50 * time.Millisecond)
		h.perform("tick", h.s.Tick(h.now))
	}
}

// pause moves the time forward without ticks, as if the process were paused.
func (h *harness) pause(d time.Duration) {
	h.now = h.now.Add(d)
	if d > authority.MaxTickGap {
		h.awaitsProbe, h.pauseProbe = true, h.lastProbe
	}
}

func (h *harness) reserve(adapter, version string, change func(*wire.Reserve)) *call {
	id := wire.AttemptID{Request: wire.RequestID{Entry: "e", Number: uint64(len(h.attempts) + 1)}, Attempt: 1}
	m := &wire.Reserve{
		ID: id, Pool: "pool", Adapter: adapter, Version: version, Class: "short", BudgetMS: 4000, Repeatable: true,
		Revision: h.update.Revision, TargetListDigest: h.update.Digest,
	}
	if change != nil {
		change(m)
	}
	c := &call{reserve: m, session: h.sessions[len(h.sessions)-1]}
	h.calls[id] = c
	h.attempts = append(h.attempts, id)
	h.perform("reserve", h.s.Reserve(h.now, c.session, m))
	return c
}

func (h *harness) run(c *call) {
	h.perform("run", h.s.Run(h.now, c.session, &wire.Run{ID: c.reserve.ID}))
}

// serve reserves and runs a request and gives it a second to start.
func (h *harness) serve(adapter, version string, change func(*wire.Reserve)) *call {
	c := h.reserve(adapter, version, change)
	h.run(c)
	h.advance(time.Second)
	return c
}

// notRepeatable returns a change that makes a request not repeatable.
func notRepeatable(key string, created time.Time) func(*wire.Reserve) {
	return func(m *wire.Reserve) {
		m.Repeatable, m.Key, m.KeyTimeMS, m.BodyDigest = false, key, created.UnixMilli(), 7
	}
}

// endCall ends the execution of a request.
func (h *harness) endCall(c *call, code result.Code) {
	h.running = slices.DeleteFunc(h.running, func(e scheduler.Execute) bool { return e.ID == c.reserve.ID })
	delete(h.inEngine, c.reserve.ID)
	if code == result.EngineUnavailable && !c.reserve.Repeatable {
		// The request did not reach the engine.
		h.executed[c.reserve.Key]--
	}
	h.perform("ended", h.s.ExecutionEnded(h.now, scheduler.Completion{
		ID: c.reserve.ID, Code: code, Status: 200, Adapter: c.reserve.Adapter, Version: c.reserve.Version,
	}))
}

func (h *harness) chunk(c *call, data []byte) {
	h.perform("chunk", h.s.ExecutionChunk(h.now, c.reserve.ID, data))
}

func (h *harness) loseSession(id scheduler.SessionID) {
	h.sessions = slices.DeleteFunc(h.sessions, func(x scheduler.SessionID) bool { return x == id })
	for _, c := range h.calls {
		c.lost = c.lost || c.session == id
	}
	h.perform("lost", h.s.SessionLost(h.now, id))
}

// restartEngine restarts the engine. The ends of its runs are not reported.
func (h *harness) restartEngine() {
	h.running = nil
	clear(h.inEngine)
	h.view.Incarnation++
	h.view.Fence = 0
	h.resident = nil
}

func (h *harness) engineState() scheduler.ProbeResult {
	return scheduler.ProbeResult{Fence: h.view, Resident: append([]slots.Key{}, h.resident...)}
}

func (h *harness) answerProbe() {
	if len(h.probes) == 0 {
		return
	}
	state := h.probes[0]
	h.probes = h.probes[1:]
	h.awaitsProbe = h.awaitsProbe && state.ProbeNumber <= h.pauseProbe
	h.perform("probed", h.s.EngineProbed(h.now, state))
}

func (h *harness) answerFence() {
	if len(h.fences) == 0 {
		return
	}
	fence := h.fences[0]
	h.fences = h.fences[1:]
	if fence.Fence > h.view.Fence {
		if fence.EndRuns {
			clear(h.inEngine)
		}
		h.view.Fence = fence.Fence
		h.fencedIncarnation = h.view.Incarnation
		h.perform("fence", h.s.FenceSet(h.now, h.engineState(), fence.Fence))
	}
}

var errFault = errors.New("injected fault")

// answerOrder reports the result of the oldest order. An order to an engine that
// has restarted since, or under an old fencing number, fails.
func (h *harness) answerOrder(success bool) {
	if len(h.orders) == 0 {
		return
	}
	o := h.orders[0]
	h.orders = h.orders[1:]
	failure := errFault
	if success && !o.refused && o.incarnation == h.view.Incarnation {
		failure = nil
		h.resident = slices.DeleteFunc(h.resident, func(k slots.Key) bool { return k == o.key })
		if !o.unload {
			h.resident = append(h.resident, o.key)
		}
	}
	if o.refused {
		h.perform("order refused", h.s.OrderFenced(h.now))
	}
	if o.unload {
		h.perform("unloaded", h.s.AdapterUnloaded(h.now, o.key, failure))
	} else {
		h.perform("loaded", h.s.AdapterLoaded(h.now, o.key, failure))
	}
}

// perform performs actions and checks the invariants.
func (h *harness) perform(event string, actions []scheduler.Action) {
	h.log = append(h.log, event)
	for _, action := range actions {
		entry := fmt.Sprintf("%T %v", action, action)
		switch a := action.(type) {
		case scheduler.ToSession:
			if m, ok := a.Message.(*wire.Chunk); ok {
				entry = fmt.Sprint("Chunk ", m.ID, m.Sequence, len(m.Data))
			} else {
				entry = fmt.Sprintf("%T to %d %v", a.Message, a.Session, a.Message)
			}
			h.receive(a)
		case scheduler.ProbeEngine:
			h.lastProbe = a.ProbeNumber
			h.probes = append(h.probes, h.engineState())
			h.probes[len(h.probes)-1].ProbeNumber = a.ProbeNumber
		case scheduler.SetFence:
			h.fences = append(h.fences, a)
		case scheduler.LoadAdapter:
			h.sendOrder(order{key: a.Adapter, incarnation: h.view.Incarnation, refused: a.Fence < h.view.Fence})
		case scheduler.UnloadAdapter:
			h.checkUnload(a.Adapter)
			h.sendOrder(order{key: a.Adapter, unload: true, incarnation: h.view.Incarnation, refused: a.Fence < h.view.Fence})
		case scheduler.CancelExecution:
			h.calls[a.ID].cancelled++
		case scheduler.Execute:
			entry = fmt.Sprint("Execute ", a.ID, a.Adapter, a.Fence)
			h.execute(a)
		}
		h.log = append(h.log, entry)
	}
}

func (h *harness) sendOrder(o order) {
	if h.awaitsProbe {
		h.fail("order for %v between a pause and the next probe result", o.key)
	}
	if i := slices.IndexFunc(h.orders, func(x order) bool { return x.key == o.key }); i >= 0 {
		h.fail("two orders for %v at once", o.key)
	}
	o.sentAt = h.now
	h.orders = append(h.orders, o)
}

// orderTimeout is the time limit of an order; after it the driver reports a
// failure.
const orderTimeout = slots.OrderResultTimeout - 5*time.Second

// failOverdueOrders fails the orders that exceed orderTimeout.
func (h *harness) failOverdueOrders() {
	for len(h.orders) > 0 && h.now.Sub(h.orders[0].sentAt) >= orderTimeout {
		h.answerOrder(false)
	}
}

func (h *harness) checkUnload(key slots.Key) {
	for _, c := range h.calls {
		if c.reserved && !c.lost && len(c.ends) == 0 && c.key() == key {
			h.fail("unload of %v, which %v uses", key, c.reserve.ID)
		}
	}
	for _, e := range h.running {
		if e.Adapter == key && h.calls[e.ID].cancelled == 0 && h.fencedIncarnation == h.view.Incarnation {
			h.fail("unload of %v during an execution", key)
		}
	}
	for id, used := range h.inEngine {
		if used == key {
			h.fail("unload of %v, which the engine uses for %v", key, id)
		}
	}
}

func (h *harness) execute(a scheduler.Execute) {
	if a.Adapter.Adapter != "" {
		if h.awaitsProbe {
			h.fail("execution of %v between a pause and the next probe result", a.ID)
		}
		if h.fencedIncarnation == h.view.Incarnation && !slices.Contains(h.resident, a.Adapter) {
			h.fail("execution with %v, which is not resident", a.Adapter)
		}
	}
	if !h.calls[a.ID].reserve.Repeatable {
		h.executed[a.IdempotencyKey]++
	}
	h.running = append(h.running, a)
	if slices.Contains(h.resident, a.Adapter) {
		h.inEngine[a.ID] = a.Adapter
	}
}

func (h *harness) receive(a scheduler.ToSession) {
	if !slices.Contains(h.sessions, a.Session) {
		h.fail("%T to session %d, which has ended", a.Message, a.Session)
	}
	var id wire.AttemptID
	switch m := a.Message.(type) {
	case *wire.Reserved:
		id = m.ID
		h.calls[id].reserved = true
	case *wire.Refused:
		id = m.ID
	case *wire.Chunk:
		h.calls[m.ID].chunks = max(h.calls[m.ID].chunks, int(m.Sequence)+1)
		return
	case *wire.End:
		id = m.ID
		if c := h.calls[id]; c != nil && !slices.Contains(c.ends, m) {
			c.ends = append(c.ends, m)
		}
	default:
		return
	}
	if c := h.calls[id]; c != nil {
		c.replies = append(c.replies, a.Message)
	}
}

func (h *harness) cancel(c *call) {
	h.perform("cancel", h.s.Cancel(h.now, c.session, &wire.Cancel{ID: c.reserve.ID}))
}

func (h *harness) resume(c *call, from uint32) {
	c.session = h.sessions[len(h.sessions)-1]
	h.perform("resume", h.s.Resume(h.now, c.session, &wire.Resume{ID: c.reserve.ID, From: from}))
}

// fillKeptAnswers serves answers until they exceed MaxKeptBytes.
func (h *harness) fillKeptAnswers() {
	if len(h.sessions) == 0 {
		h.openSession(9)
	}
	h.endCall(h.serve("a", "1", nil), result.OK)
	for range 12 {
		c := h.reserve("a", "1", nil)
		h.run(c)
		h.chunk(c, make([]byte, scheduler.MaxKeptBytes/10))
		h.endCall(c, result.OK)
	}
}

// drainTarget puts a pool row in force in which this target drains and another
// target is listed.
func (h *harness) drainTarget() {
	h.configure(func(row *tables.PoolRow) {
		row.Pool.Targets = append(row.Pool.Targets, tables.Target{Name: "t2"})
		row.Pool.Targets[0].Draining = true
	})
}
