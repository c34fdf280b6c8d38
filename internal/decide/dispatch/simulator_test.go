package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// simConfig describes a run of one entry in front of a pool of engines, in
// virtual time. Each engine runs 8 requests and holds 8 adapters. The weight
// store starts 4.5 loads a second, and each load takes 0.25 s. Load reports
// are 2 s late.
type simConfig struct {
	dispatch          dispatch.Config
	seed              int64
	targets           int
	adapters          int
	zipfExponent      float64
	requestsPerSecond float64
	// firstTokenTime is the mean time until the first token, decodeTime
	// that from the first token to the end of the answer.
	decodeTime     time.Duration
	firstTokenTime time.Duration
	// slowdown returns the factor by which a target is slower at a time;
	// nil means that no target is slow.
	slowdown   func(target int, at time.Duration) float64
	warmup     time.Duration
	duration   time.Duration
	queueLimit int
	// instantLoads makes adapter loads take no time.
	instantLoads bool
}

// simResult counts what happened after the warm-up, except for rec, targets and
// actions, which cover the whole run.
type simResult struct {
	served    []int
	latencies []time.Duration
	requests  int
	reserves  int
	loads     int
	codes     map[result.Code]int
	rec       recorder
	targets   []dispatch.TargetStatus
	actions   int
}

// busiestToMean returns the requests served by the busiest target relative to
// the mean of all targets.
func (r *simResult) busiestToMean() float64 {
	total := 0
	for _, n := range r.served {
		total += n
	}
	return float64(slices.Max(r.served)) * float64(len(r.served)) / float64(total)
}

// quantile returns a quantile of the first-token latencies, in which a failed
// call counts with the time until its end.
func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// simEvent is a function to run at a virtual time. Events at the same time run
// in the order of seq, in which they were scheduled.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simQueue is a heap of events, ordered by time and seq.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simJob is a reserved request at an engine.
type simJob struct {
	id      wire.AttemptID
	adapter string
	state   int // 0 reserved, 1 queued, 2 running, 3 ended
}

// simEngine is a simulated target with its engine.
type simEngine struct {
	index   int
	name    string
	queue   []*simJob
	jobs    map[wire.AttemptID]*simJob
	running int
	// resident holds the time of last use of each resident adapter.
	resident map[string]time.Duration
	loading  map[string]bool
	// loadSamples holds the number of queued and running jobs at each
	// simSampleInterval.
	loadSamples []int
}

// sim is a run in virtual time.
type sim struct {
	cfg     simConfig
	d       *dispatch.Dispatcher
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  simQueue
	engines map[string]*simEngine
	res     *simResult
	snap    *tables.Snapshot
	// arrived and firstTokenSeen are kept by number for each open call.
	arrived        map[uint64]time.Duration
	firstTokenSeen map[uint64]bool
	// nextLoadAt is when the weight store starts the load that was
	// requested last.
	nextLoadAt time.Duration
	// adapterCDF is the cumulative request rate of the adapters, which is
	// not normalized.
	adapterCDF []float64
}

const (
	simNetworkDelay   = time.Millisecond
	simSampleInterval = 100 * time.Millisecond
	simReportLag      = 2 * time.Second
	simLoadTime       = 250 * time.Millisecond
	simAdapterSlots   = 8
	simMaxRunning     = 8
)

func runSim(cfg simConfig) *simResult {
	cfg.dispatch.Entry, cfg.dispatch.Incarnation, cfg.dispatch.Seed = entryName, incarnation, cfg.seed
	s := &sim{cfg: cfg, rng: rand.New(rand.NewSource(cfg.seed)), engines: make(map[string]*simEngine),
		res:     &simResult{codes: make(map[result.Code]int), rec: recorder{}, served: make([]int, cfg.targets)},
		arrived: make(map[uint64]time.Duration), firstTokenSeen: make(map[uint64]bool)}
	s.d = dispatch.New(cfg.dispatch, s.res.rec)
	sum := 0.0
	for i := range cfg.adapters {
		sum += math.Pow(float64(i+1), -cfg.zipfExponent)
		s.adapterCDF = append(s.adapterCDF, sum)
	}
	s.snap = snapshot(1, cfg.targets, cfg.adapters)
	s.perform(s.d.SetSnapshot(s.time(), s.snap))
	s.scheduleArrival(1)
	s.every(simSampleInterval, func() {
		for _, e := range s.engines {
			e.loadSamples = append(e.loadSamples, len(e.queue)+e.running)
		}
	})
	s.every(10*time.Millisecond, func() { s.perform(s.d.Tick(s.time())) })
	for len(s.events) > 0 && s.now < cfg.warmup+cfg.duration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.res.targets = s.d.Targets(s.time())
	return s.res
}

func (s *sim) time() time.Time { return start.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, run: do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

// measuring reports whether the warm-up is over.
func (s *sim) measuring() bool { return s.now >= s.cfg.warmup }

// scheduleArrival schedules the arrival of a call, after which the next one is
// scheduled.
func (s *sim) scheduleArrival(number uint64) {
	s.after(time.Duration(s.rng.ExpFloat64()/s.cfg.requestsPerSecond*float64(time.Second)), func() {
		model := "base"
		if len(s.adapterCDF) > 0 {
			at, _ := slices.BinarySearch(s.adapterCDF, s.rng.Float64()*s.adapterCDF[len(s.adapterCDF)-1])
			model = fmt.Sprint("a", at)
		}
		s.arrived[number] = s.now
		if s.measuring() {
			s.res.requests++
		}
		s.perform(s.d.Submit(s.time(), newCall(s.snap, s.time(), number, model, true)))
		s.scheduleArrival(number + 1)
	})
}

func (s *sim) perform(actions []dispatch.Action) {
	s.res.actions += len(actions)
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Connect:
			s.connect(a.Target)
		case dispatch.Send:
			if e := s.engines[a.Target]; e != nil {
				s.after(simNetworkDelay, func() { s.handle(e, a.Message) })
			}
		case dispatch.Deliver:
			if !s.firstTokenSeen[a.Number] && s.measuring() {
				s.res.latencies = append(s.res.latencies, s.now-s.arrived[a.Number])
			}
			s.firstTokenSeen[a.Number] = true
		case dispatch.Finish:
			if s.measuring() {
				s.res.codes[a.Outcome.Code]++
			}
			if s.measuring() && a.Outcome.Code != result.OK {
				s.res.latencies = append(s.res.latencies, s.now-s.arrived[a.Number])
			}
			delete(s.arrived, a.Number)
			delete(s.firstTokenSeen, a.Number)
		}
	}
}

func (s *sim) connect(name string) {
	if name[0] != 'e' {
		return
	}
	e := &simEngine{name: name, jobs: make(map[wire.AttemptID]*simJob),
		resident: make(map[string]time.Duration), loading: make(map[string]bool)}
	_, _ = fmt.Sscanf(name, "e%d", &e.index)
	s.engines[name] = e
	s.after(simNetworkDelay, func() {
		s.perform(s.d.SessionUp(s.time(), name, &wire.Hello{Incarnation: 1, State: wire.StateServing}))
	})
}

func (s *sim) reply(e *simEngine, message any) {
	s.after(simNetworkDelay, func() { s.perform(s.d.HandleMessage(s.time(), e.name, message)) })
}

// report returns the load of the engine as it was simReportLag ago.
func (e *simEngine) report() wire.LoadReport {
	old := len(e.loadSamples) - int(simReportLag/simSampleInterval)
	if old < 0 {
		return wire.LoadReport{Limit: simMaxRunning, Incarnation: 1}
	}
	return wire.LoadReport{Running: min(simMaxRunning, e.loadSamples[old]), Queued: max(0, e.loadSamples[old]-simMaxRunning), Limit: simMaxRunning, Incarnation: 1}
}

func (s *sim) handle(e *simEngine, message any) {
	switch m := message.(type) {
	case *wire.Reserve:
		if s.measuring() {
			s.res.reserves++
		}
		if len(e.queue) >= s.cfg.queueLimit {
			s.reply(e, &wire.Refused{ID: m.ID, Code: result.QueueFull, Load: e.report()})
			return
		}
		e.jobs[m.ID] = &simJob{id: m.ID, adapter: m.Adapter}
		s.reply(e, &wire.Reserved{ID: m.ID, Load: e.report()})
	case *wire.Run:
		if j := e.jobs[m.ID]; j != nil {
			j.state = 1
			e.queue = append(e.queue, j)
			s.startQueued(e)
		}
	case *wire.Cancel:
		if j := e.jobs[m.ID]; j != nil {
			e.queue = slices.DeleteFunc(e.queue, func(x *simJob) bool { return x == j })
			s.endJob(e, j)
		}
	}
}

// endJob removes a job and starts queued ones.
func (s *sim) endJob(e *simEngine, j *simJob) {
	if j.state == 2 {
		e.running--
	}
	j.state = 3
	delete(e.jobs, j.id)
	s.startQueued(e)
}

// startQueued starts queued jobs while the engine has capacity. A job whose
// adapter is not resident waits for its load.
func (s *sim) startQueued(e *simEngine) {
	for i := 0; i < len(e.queue) && e.running < simMaxRunning; {
		j := e.queue[i]
		if _, ok := e.resident[j.adapter]; !ok && j.adapter != "" {
			s.loadAdapter(e, j.adapter)
			i++
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		s.execute(e, j)
	}
}

func (s *sim) loadAdapter(e *simEngine, adapter string) {
	if e.loading[adapter] || len(e.loading) >= simAdapterSlots/2 {
		return
	}
	e.loading[adapter] = true
	wait := time.Duration(0)
	if !s.cfg.instantLoads {
		s.nextLoadAt = max(s.nextLoadAt, s.now) + time.Second*10/45
		wait = s.nextLoadAt - s.now + simLoadTime
	}
	if s.measuring() {
		s.res.loads++
	}
	s.after(wait, func() {
		delete(e.loading, adapter)
		e.evict()
		e.resident[adapter] = s.now
		s.startQueued(e)
	})
}

// evict frees a slot for an adapter if none is free. It evicts the least
// recently used adapter that no running job uses.
func (e *simEngine) evict() {
	used := make(map[string]bool)
	for _, j := range e.jobs {
		used[j.adapter] = used[j.adapter] || j.state == 2
	}
	for len(e.resident) >= simAdapterSlots {
		oldest := ""
		for name, at := range e.resident {
			if !used[name] && (oldest == "" || at < e.resident[oldest] || at == e.resident[oldest] && name < oldest) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		delete(e.resident, oldest)
	}
}

func (s *sim) execute(e *simEngine, j *simJob) {
	j.state = 2
	e.running++
	if j.adapter != "" {
		e.resident[j.adapter] = s.now
	}
	factor := 1.0
	if s.cfg.slowdown != nil {
		factor = s.cfg.slowdown(e.index, s.now)
	}
	spread := func(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x * factor) }
	first := spread(s.cfg.firstTokenTime, 0.7+0.6*s.rng.Float64())
	data := []byte("x")
	s.after(first, func() {
		if j.state == 2 {
			s.reply(e, &wire.Chunk{ID: j.id, Data: data})
		}
	})
	s.after(first+spread(s.cfg.decodeTime, 0.5+s.rng.Float64()), func() {
		if j.state != 2 {
			return
		}
		if s.measuring() {
			s.res.served[e.index]++
		}
		version := ""
		if j.adapter != "" {
			version = "1"
		}
		s.reply(e, &wire.End{ID: j.id, Chunks: 1, Checksum: reassembly.Checksum(0, data), Adapter: j.adapter, Version: version, Load: e.report()})
		s.endJob(e, j)
	})
}
