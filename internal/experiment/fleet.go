package experiment

import (
	"fmt"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// fleet holds the processes and the records of one run.
type fleet struct {
	cfg          Config
	loop         *loop
	store        *store
	snapshot     *tables.Snapshot
	entries      []*entryNode
	targets      []*targetNode
	targetByName map[string]*targetNode
	// records holds a record for each request. The number of a request is
	// its index plus one.
	records    []Record
	unfinished int
	// adapterWaits holds, by request number, the requests whose last attempt
	// waits for its adapter to be loaded.
	adapterWaits map[uint64]adapterWait
	counters     map[string]int
	// duplicateLoads counts loads of adapters that another target held or
	// was loading.
	duplicateLoads int
	// Once a second, each entry's targets are sampled. sampled counts the
	// samples, ejected those in which the entry treats the target as a
	// straggler (a slow target). Index 0 is for the slow targets, 1 for the others.
	ejected, sampled [2]int
	violations       []string
}

// adapterWait is the wait of an attempt until its adapter is loaded.
type adapterWait struct {
	target *targetNode
	key    slots.Key
	since  time.Time
}

// startupTime precedes the arrivals, so that sessions are open and target
// processes have set their fencing numbers.
const startupTime = 100 * time.Millisecond

func newFleet(cfg Config, policy Policy) (*fleet, error) {
	snapshot, err := cfg.snapshot()
	if err != nil {
		return nil, err
	}
	l := newLoop()
	f := &fleet{
		cfg: cfg, loop: l, store: newStore(l), snapshot: snapshot,
		targetByName: make(map[string]*targetNode),
		adapterWaits: make(map[uint64]adapterWait), counters: make(map[string]int),
	}
	for i := range cfg.Targets {
		f.addTarget(i, policy)
	}
	for i := range cfg.Entries {
		f.addEntry(i, policy)
	}
	if cfg.EngineRestartAt > 0 {
		l.after(cfg.EngineRestartAt, f.targets[0].engine.restart)
	}
	return f, nil
}

func (f *fleet) addTarget(i int, policy Policy) {
	t := &targetNode{fleet: f, name: targetName(i)}
	t.engine = newEngine(f.loop, f.store, f.cfg.Slots, f.slowdown(i))
	t.engine.events = t
	t.core = scheduler.New(f.loop.now, scheduler.Config{
		Name: t.name, FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains),
		SlotPolicy: policy.Slots, FIFO: policy.FIFO, StaticLoadShare: policy.StaticLoadShare,
	}, f)
	f.targets = append(f.targets, t)
	f.targetByName[t.name] = t
	// The offset keeps ticks of different processes apart.
	offset := tickInterval * time.Duration(i) / time.Duration(f.cfg.Targets)
	f.loop.every(offset, tickInterval, func() { t.perform(t.core.Tick(f.loop.now)) })
	f.loop.every(startupTime+offset, pongInterval, t.sendPong)
}

// slowdown returns a function that gives the factor on the step time of target i.
func (f *fleet) slowdown(i int) func(time.Time) float64 {
	if i >= f.cfg.SlowTargets {
		return func(time.Time) float64 { return 1 }
	}
	from := epoch.Add(f.cfg.SlowFrom)
	return func(now time.Time) float64 {
		if now.Before(from) {
			return 1
		}
		return f.cfg.SlowFactor
	}
}

func (f *fleet) addEntry(i int, policy Policy) {
	n := &entryNode{fleet: f, index: i}
	n.core = dispatch.New(dispatch.Config{
		Entry: fmt.Sprintf("entry-%d", i), Incarnation: 1, Retry: policy.Retry, PickStrategy: policy.Pick,
		Seed: f.cfg.Seed*1000 + int64(i),
	}, f)
	f.entries = append(f.entries, n)
	n.perform(n.core.SetSnapshot(f.loop.now, f.snapshot))
	offset := tickInterval * time.Duration(2*i+1) / time.Duration(2*f.cfg.Entries)
	f.loop.every(offset, tickInterval, func() { n.perform(n.core.Tick(f.loop.now)) })
	f.loop.every(startupTime+time.Second, time.Second, func() { f.sampleEjected(n) })
}

func (f *fleet) sampleEjected(n *entryNode) {
	if !f.measured(f.loop.now) {
		return
	}
	for _, v := range n.core.Targets(f.loop.now) {
		kind := 0
		if slices.Index(f.targets, f.targetByName[v.Name]) >= f.cfg.SlowTargets {
			kind = 1
		}
		f.sampled[kind]++
		if v.Ejected {
			f.ejected[kind]++
		}
	}
}

// scheduleArrivals schedules the requests of a trace. Each arrival schedules the
// next, so that the event heap stays small.
func (f *fleet) scheduleArrivals(trace []Request) {
	f.records = make([]Record, len(trace))
	f.unfinished = len(trace)
	for i, r := range trace {
		f.records[i].Request = r
	}
	var next func(i int)
	next = func(i int) {
		if i >= len(trace) {
			return
		}
		f.loop.at(epoch.Add(startupTime+trace[i].At), func() {
			next(i + 1)
			f.arrive(i)
		})
	}
	next(0)
}

func (f *fleet) arrive(i int) {
	r := &f.records[i]
	route, _ := f.snapshot.RouteModel(modelName(r.Adapter, r.Long))
	pool, _ := f.snapshot.Pool(route.Pool)
	class, _ := pool.ClassByName(route.Class)
	entry := f.entries[r.Entry%len(f.entries)]
	r.arrived = f.loop.now
	entry.perform(entry.core.Submit(f.loop.now, &dispatch.Call{
		Number: uint64(i + 1), Revision: f.snapshot.Revision, Route: route, Pool: pool,
		TargetListDigest: f.snapshot.TargetListDigest(pool.Name), Class: class, Method: "POST", Path: "/v1/completions",
		Stream: true, EstimatedTokens: r.Output, ArrivedAt: f.loop.now,
	}))
}

func (f *fleet) record(number uint64) *Record { return &f.records[number-1] }

// measured reports whether t is in the measured window.
func (f *fleet) measured(t time.Time) bool {
	since := t.Sub(epoch.Add(startupTime))
	return since >= f.cfg.From && since < f.cfg.To
}

// reserveReceived records an attempt and whether it has to wait for its adapter.
func (f *fleet) reserveReceived(t *targetNode, m *wire.Reserve) {
	r := f.record(m.ID.Request.Number)
	r.attempts = append(r.attempts, attempt{target: t.name, at: f.loop.now})
	f.endAdapterWait(m.ID.Request.Number)
	key := slots.Key{Adapter: m.Adapter, Version: m.Version}
	if !t.engine.resident[key] {
		f.adapterWaits[m.ID.Request.Number] = adapterWait{target: t, key: key, since: f.loop.now}
	}
}

// endAdapterWait ends the request's wait for an adapter, if any, and adds its
// duration to the record.
func (f *fleet) endAdapterWait(number uint64) {
	if w, ok := f.adapterWaits[number]; ok {
		f.record(number).adapterWaitTime += f.loop.now.Sub(w.since)
		delete(f.adapterWaits, number)
	}
}

// loadStarted counts the load as a duplicate if another target holds or loads
// the same adapter.
func (f *fleet) loadStarted(t *targetNode, key slots.Key) {
	if !f.measured(f.loop.now) {
		return
	}
	for _, other := range f.targets {
		if other != t && (other.engine.resident[key] || other.engine.loading[key]) {
			f.duplicateLoads++
			return
		}
	}
}

// adapterLoaded ends the waits of all attempts for the adapter at target t.
func (f *fleet) adapterLoaded(t *targetNode, key slots.Key) {
	for number, w := range f.adapterWaits {
		if w.target == t && w.key == key {
			f.endAdapterWait(number)
		}
	}
}

// executionStarted records the start of an execution and returns the record of
// its request.
func (f *fleet) executionStarted(t *targetNode, id wire.AttemptID) *Record {
	r := f.record(id.Request.Number)
	r.attempts[len(r.attempts)-1].started = f.loop.now
	if f.measured(r.arrived) {
		t.executed++
	}
	return r
}

func (f *fleet) deliver(number uint64, data []byte) {
	r := f.record(number)
	if len(r.answer) == 0 {
		// A hedged second attempt may still wait for its adapter, but the
		// caller no longer waits.
		f.endAdapterWait(number)
		r.firstToken = f.loop.now.Sub(r.arrived)
	}
	r.answer = append(r.answer, data...)
}

func (f *fleet) discard(number uint64) { f.record(number).answer = nil }

// finish records the end of a request and verifies its answer.
func (f *fleet) finish(number uint64, o dispatch.Outcome) {
	r := f.record(number)
	if r.done {
		f.violation("request %d ended twice", number)
		return
	}
	r.done = true
	r.code = o.Code
	r.total = f.loop.now.Sub(r.arrived)
	f.unfinished--
	f.endAdapterWait(number)
	if o.Code != result.OK {
		return
	}
	key := slots.Key{Adapter: adapterName(r.Adapter), Version: version}
	want := answer(key, number, r.Output)
	if string(r.answer) != want || o.Adapter != key.Adapter || o.Version != key.Version {
		f.violation("request %d: got answer %q, want %q", number, r.answer, want)
	}
}

func (f *fleet) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Refused counts, by result code, a call that ended with a code other than OK.
func (f *fleet) Refused(code result.Code) { f.counters["refused "+code.Info().Name]++ }

// Retried counts, by result code, a failed attempt that another attempt follows.
func (f *fleet) Retried(code result.Code) { f.counters["retried "+code.Info().Name]++ }

// NotRetried counts, by reason, a failed attempt that ended the call.
func (f *fleet) NotRetried(stop retry.StopReason) { f.counters[fmt.Sprintf("not retried %d", stop)]++ }

// Count adds one to a named counter.
func (f *fleet) Count(name string) { f.counters[name]++ }
