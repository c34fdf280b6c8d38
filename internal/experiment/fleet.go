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

// fleet is one run.
type fleet struct {
	cfg          Config
	loop         *loop
	store        *store
	snapshot     *tables.Snapshot
	entries      []*entryNode
	targets      []*targetNode
	targetByName map[string]*targetNode
	// records holds a record for each request; the request's number is its
	// index plus one.
	records []Record
	open    int
	// waiting holds the requests whose last attempt waits for an adapter.
	waiting  map[uint64]wait
	counters map[string]int
	// duplicateLoads counts loads of adapters that another target held.
	duplicateLoads int
	// ejected counts, once a second at each entry, slow and other targets
	// that the entry treats as stragglers; sampled counts all of both kinds.
	ejected, sampled [2]int
	faults           []string
}

type wait struct {
	target *targetNode
	key    slots.Key
	since  time.Time
}

// startUp is the time for sessions and fences before the first arrival.
const startUp = 100 * time.Millisecond

func newFleet(cfg Config, policy Policy) (*fleet, error) {
	snapshot, err := cfg.snapshot()
	if err != nil {
		return nil, err
	}
	l := newLoop()
	f := &fleet{
		cfg: cfg, loop: l, store: newStore(l), snapshot: snapshot,
		targetByName: make(map[string]*targetNode),
		waiting:      make(map[uint64]wait), counters: make(map[string]int),
	}
	for i := range cfg.Targets {
		f.addTarget(i, policy)
	}
	for i := range cfg.Entries {
		f.addEntry(i, policy)
	}
	if cfg.RestartAt > 0 {
		l.after(cfg.RestartAt, f.targets[0].engine.restart)
	}
	return f, nil
}

func (f *fleet) addTarget(i int, policy Policy) {
	t := &targetNode{fleet: f, name: targetName(i)}
	t.engine = newEngine(f.loop, f.store, f.cfg.Slots, f.slowness(i))
	t.engine.events = t
	t.core = scheduler.New(f.loop.now, scheduler.Config{
		Name: t.name, FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains),
		SlotPolicy: policy.Slots, FIFO: policy.FIFO, StaticLoadShare: policy.StaticLoadShare,
	}, f)
	f.targets = append(f.targets, t)
	f.targetByName[t.name] = t
	// Ticks of different processes do not coincide.
	offset := tickPeriod * time.Duration(i) / time.Duration(f.cfg.Targets)
	f.loop.every(offset, tickPeriod, func() { t.perform(t.core.Tick(f.loop.now)) })
	f.loop.every(startUp+offset, pongPeriod, t.pong)
}

// slowness returns the factor on the step time of one target.
func (f *fleet) slowness(i int) func(time.Time) float64 {
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
		Entry: fmt.Sprintf("entry-%d", i), Incarnation: 1, Retry: policy.Retry, Pick: policy.Pick,
		Seed: f.cfg.Seed*1000 + int64(i),
	}, f)
	f.entries = append(f.entries, n)
	n.perform(n.core.SetSnapshot(f.loop.now, f.snapshot))
	offset := tickPeriod * time.Duration(2*i+1) / time.Duration(2*f.cfg.Entries)
	f.loop.every(offset, tickPeriod, func() { n.perform(n.core.Tick(f.loop.now)) })
	f.loop.every(startUp+time.Second, time.Second, func() { f.sampleEjected(n) })
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

// submit schedules the arrivals one after the other.
func (f *fleet) submit(trace []Request) {
	f.records = make([]Record, len(trace))
	f.open = len(trace)
	for i, r := range trace {
		f.records[i].Request = r
	}
	var next func(i int)
	next = func(i int) {
		if i >= len(trace) {
			return
		}
		f.loop.at(epoch.Add(startUp+trace[i].At), func() {
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
		PoolDigest: f.snapshot.PoolDigest(pool.Name), Class: class, Method: "POST", Path: "/v1/completions",
		Stream: true, Tokens: r.Output, Arrived: f.loop.now,
	}))
}

func (f *fleet) record(number uint64) *Record { return &f.records[number-1] }

func (f *fleet) measured(t time.Time) bool {
	since := t.Sub(epoch.Add(startUp))
	return since >= f.cfg.From && since < f.cfg.To
}

// reserveArrived notes whether the attempt has to wait for its adapter.
func (f *fleet) reserveArrived(t *targetNode, m *wire.Reserve) {
	r := f.record(m.ID.Request.Number)
	r.attempts = append(r.attempts, attempt{target: t.name, at: f.loop.now})
	f.endWait(m.ID.Request.Number)
	key := slots.Key{Adapter: m.Adapter, Version: m.Version}
	if !t.engine.resident[key] {
		f.waiting[m.ID.Request.Number] = wait{target: t, key: key, since: f.loop.now}
	}
}

// endWait adds a wait for an adapter to its request.
func (f *fleet) endWait(number uint64) {
	if w, ok := f.waiting[number]; ok {
		f.record(number).stall += f.loop.now.Sub(w.since)
		delete(f.waiting, number)
	}
}

// loadStarted notes whether another target holds or loads the same adapter.
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

// adapterLoaded ends the wait of all attempts for that adapter.
func (f *fleet) adapterLoaded(t *targetNode, key slots.Key) {
	for number, w := range f.waiting {
		if w.target == t && w.key == key {
			f.endWait(number)
		}
	}
}

// executing notes the start of an execution.
func (f *fleet) executing(t *targetNode, id wire.AttemptID) *Record {
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
		// A hedge may still wait for its adapter, but the caller does not.
		f.endWait(number)
		r.firstToken = f.loop.now.Sub(r.arrived)
	}
	r.answer = append(r.answer, data...)
}

func (f *fleet) discard(number uint64) { f.record(number).answer = nil }

// finish closes a request and verifies its answer.
func (f *fleet) finish(number uint64, o dispatch.Outcome) {
	r := f.record(number)
	if r.done {
		f.fault("request %d ended twice", number)
		return
	}
	r.done = true
	r.code = o.Code
	r.total = f.loop.now.Sub(r.arrived)
	f.open--
	f.endWait(number)
	if o.Code != result.OK {
		return
	}
	key := slots.Key{Adapter: adapterName(r.Adapter), Version: version}
	want := answer(key, number, r.Output)
	if string(r.answer) != want || o.Adapter != key.Adapter || o.Version != key.Version {
		f.fault("request %d got the answer %q, want %q", number, r.answer, want)
	}
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// Refused, Retried, NotRetried and Count record decisions.
func (f *fleet) Refused(code result.Code) { f.counters["refused "+code.Info().Name]++ }

// Retried counts a further attempt after a code.
func (f *fleet) Retried(code result.Code) { f.counters["retried "+code.Info().Name]++ }

// NotRetried counts a failed attempt that ended the call.
func (f *fleet) NotRetried(stop retry.Stop) { f.counters[fmt.Sprintf("not retried %d", stop)]++ }

// Count adds one to a named counter.
func (f *fleet) Count(name string) { f.counters[name]++ }
