package dispatch

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

type phase uint8

const (
	// phaseConnecting waits for a session with the target.
	phaseConnecting phase = iota
	// phaseReserving waits for the answer to a Reserve.
	phaseReserving
	// phaseRunning waits for the answer to a Run.
	phaseRunning
	// phaseResuming waits for a new session after the loss of one.
	phaseResuming
)

// attempt is one try of a call at one target.
type attempt struct {
	call   *call
	number uint32
	target *target
	phase  phase
	hedge  bool
	// sent is true once Run has left, to the process with incarnation.
	sent        bool
	incarnation int64
	// loaded tells whether the adapter was believed to be loaded, so that
	// the latency is that of the target and not of an adapter load.
	loaded  bool
	started time.Time
	// wakeAt is when the phase ends by itself.
	wakeAt time.Time
	// paced counts chunks since pacedFrom, the start of a sample of the
	// pace.
	paced     int
	pacedFrom time.Time
}

// paceChunks is the number of chunks in a sample of the pace: enough to even
// out single steps of an engine, few enough for several samples in an answer.
const paceChunks = 8

// call is an open call. It has no attempt while it waits for a retry, one
// usually, and two while it is hedged.
type call struct {
	Call
	attempts []*attempt
	answer   *reassembly.Answer
	// number is the number of the last attempt, and failures counts those
	// that failed, overloads those refused for overload.
	number    uint32
	failures  int
	overloads int
	tried     []string
	target    string
	// home is the only target of a call that may not be repeated.
	home string
	// placementKey is the key of the adapter's ranks.
	placementKey string

	retryAt    time.Time
	hedgeAt    time.Time
	retryAfter time.Duration
	lastCode   result.Code
	// ranCode is the code of the last attempt that may have run. A later
	// attempt that did not run does not change that the request did.
	ranCode result.Code

	wakeAt    time.Time
	heapIndex int
}

func (c *call) firstTokenDeadline() time.Time { return c.Arrived.Add(c.Class.FirstTokenBudget()) }

func (c *call) totalDeadline() time.Time { return c.Arrived.Add(c.Class.TotalBudget()) }

// paceKind keeps the pace apart from the first-token times.
func (c *call) paceKind() retry.Kind {
	return retry.Kind{Class: "pace of " + c.Class.Name, Stream: c.Stream}
}

func (c *call) kind() retry.Kind { return retry.Kind{Class: c.Class.Name, Stream: c.Stream} }

func (c *call) residencyKey() string { return residencyKey(c.Route.Adapter, c.Route.Version) }

func residencyKey(adapter, version string) string {
	if adapter == "" {
		return ""
	}
	return adapter + "@" + version
}

// target is what the entry knows of one target.
type target struct {
	tables.Target
	pool *pool
	open []*attempt
	load picker.Load
	sent picker.Counter
	// rowSent is the hash of the pool row last sent on the open session, 0
	// for none.
	rowSent uint64
	report  wire.LoadReport
	latency picker.Latency
	// resident holds the adapters believed to be loaded or being loaded,
	// answering those that have answered since.
	resident  *picker.Hints[string]
	answering *picker.Hints[string]
	prefixes  *picker.Prefixes
	// restarted is when the process or its engine was seen to restart.
	restarted time.Time
	// wanted is true between Connect and Disconnect, counted while the
	// target is one of its pool's connected ones.
	wanted   bool
	counted  bool
	lastUsed time.Time
	// idle is the place in the list of idle sessions on demand.
	idle *list.Element
	// removed is true once no table names the target; its open attempts
	// still end there.
	removed bool
}

// forget drops what a restart makes invalid.
func (t *target) forget() {
	t.resident.Clear()
	t.answering.Clear()
	t.prefixes.Clear()
	t.latency = picker.Latency{}
	t.pool.others -= t.load.Others()
	t.load.Forget()
	t.pool.outliers.Forget(t.Name)
}

// pool is what the entry knows of one pool.
type pool struct {
	row    *tables.Pool
	ranker *placement.Ranker
	// keyHomes are the targets that may be homes of keys, keyRanker ranks
	// them.
	keyHomes  []placement.Target
	keyRanker *placement.Ranker
	homes     *placement.Directory
	targets   []*target
	buckets   []string
	retry     *retry.Policy
	hedger    *retry.Hedger
	outliers  *picker.Outliers
	// own and others are the sums over the targets, connected counts the
	// sessions. They give the mean load without a pass over the pool.
	own       int
	others    float64
	sent      picker.Counter
	connected int
	update    *wire.PoolUpdate
}

// prefixBuckets spreads requests without an adapter over the ranks of that
// many keys, so that equal prefixes meet the same few targets.
const prefixBuckets = 256

func (d *Dispatcher) newPool() *pool {
	p := &pool{
		retry:    retry.New(d.cfg.Retry, d.rng),
		hedger:   retry.NewHedger(d.cfg.Retry),
		outliers: picker.NewOutliers(),
		buckets:  make([]string, prefixBuckets),
	}
	for i := range p.buckets {
		p.buckets[i] = fmt.Sprintf("bucket-%d", i)
	}
	return p
}

// onDemand tells whether sessions of the pool are opened when they are used.
func (p *pool) onDemand() bool { return len(p.targets) > AllToAllTargets }

// meanOthers and meanLoad are means over the targets with a session.
func (p *pool) meanOthers() float64 { return max(0, p.others) / float64(max(1, p.connected)) }

func (p *pool) meanSent(now time.Time) float64 {
	return p.sent.Read(now) / float64(max(1, p.connected))
}

func (p *pool) meanLoad() float64 {
	return float64(p.own)/float64(max(1, p.connected)) + p.meanOthers()
}

// setTargets puts a row in force.
func (p *pool) setTargets(row *tables.Pool, targets []*target) {
	p.row, p.targets, p.update = row, targets, nil
	p.keyHomes = tables.HomeTargets(row)
	p.keyRanker = placement.NewRanker(p.keyHomes)
	list := tables.PlacementTargets(row)
	if p.ranker != nil && p.ranker.Same(list) {
		return
	}
	p.ranker = placement.NewRanker(list)
	if p.homes == nil {
		p.homes = placement.NewDirectory(p.ranker, placement.DefaultConfig())
	} else {
		p.homes.SetRanker(p.ranker)
	}
}

// moveTo makes the target a member of another pool. Its session and what is
// open there stay.
func (t *target) moveTo(p *pool) {
	t.pool.outliers.Forget(t.Name)
	t.pool.own -= t.load.Own()
	t.pool.others -= t.load.Others()
	p.own += t.load.Own()
	p.others += t.load.Others()
	if t.counted {
		t.pool.connected--
		p.connected++
	}
	t.pool = p
}

// addLoad changes the number of the entry's attempts at a target.
func (t *target) addLoad(now time.Time, n int) {
	t.load.Add(now, n)
	t.pool.own += n
	if n > 0 {
		t.sent.Add(now)
		t.pool.sent.Add(now)
	}
}

// limit returns how many requests the target runs at once.
func (t *target) limit() int {
	if t.report.Limit > 0 {
		return t.report.Limit
	}
	return t.pool.row.MaxRunning
}

// release takes an attempt off its target and its call.
func (d *Dispatcher) release(now time.Time, a *attempt) {
	t := a.target
	at := slices.Index(t.open, a)
	if at < 0 {
		return
	}
	t.open = slices.Delete(t.open, at, at+1)
	t.addLoad(now, -1)
	d.noteUse(now, t)
	a.call.attempts = slices.DeleteFunc(a.call.attempts, func(x *attempt) bool { return x == a })
	a.call.answer.Close(a.number)
	if t.removed && len(t.open) == 0 {
		d.retire(t)
	}
}
