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

// phase is the state of an attempt.
type phase uint8

const (
	// phaseConnecting waits for a session with the target.
	phaseConnecting phase = iota
	// phaseReserving waits for the answer to a Reserve.
	phaseReserving
	// phaseRunning waits for the answer to a Run.
	phaseRunning
	// phaseResuming waits for a new session after the session of a running
	// attempt was lost.
	phaseResuming
)

// attempt is one try of a call at one target.
type attempt struct {
	call   *call
	number uint32
	target *target
	phase  phase
	// hedge is true if the attempt was started in parallel to another one,
	// as a hedge or a probe.
	hedge bool
	// runSent is true once Run was sent, and processIncarnation is the
	// incarnation of the target process that it was sent to.
	runSent            bool
	processIncarnation int64
	// adapterLoaded is true if the adapter was assumed to be resident before
	// the attempt started. Otherwise the latency includes an adapter load
	// and does not measure the speed of the target.
	adapterLoaded bool
	started       time.Time
	// phaseDeadline is when the current phase times out.
	phaseDeadline time.Time
	// sampleStart is the time of the chunk at which the current sample of
	// the inter-chunk time started. sampleChunks counts the chunks since.
	sampleChunks int
	sampleStart  time.Time
}

// chunksPerSample is the number of chunks within one sample of the inter-chunk
// time, between the chunk that starts it and the one that ends it. The value of
// a sample is its duration, which covers chunksPerSample+1 intervals. This is
// enough to average out single steps of an engine, and few enough for several
// samples in one answer.
const chunksPerSample = 8

// call is an open call. It usually has one open attempt, none while it waits
// for a retry, and a second one while a hedge or a probe runs.
type call struct {
	Call
	attempts []*attempt
	answer   *reassembly.Answer
	// lastAttempt is the number of the last attempt. failedAttempts counts
	// the attempts that failed, overloadRefusals those of them that were
	// refused for overload.
	lastAttempt      uint32
	failedAttempts   int
	overloadRefusals int
	triedTargets     []string
	// outcomeTarget is the target that Outcome reports.
	outcomeTarget string
	// keyHome is the only target of a call that may not be repeated, empty
	// until the first attempt.
	keyHome string
	// placementKey is the adapter or prefix bucket for which placement
	// orders the targets.
	placementKey string

	retryAt    time.Time
	hedgeAt    time.Time
	retryAfter time.Duration
	lastCode   result.Code
	// mayHaveRunCode is the code of the last failed attempt that may have
	// run the request. A later attempt that certainly did not run it must
	// not make the call appear as not run.
	mayHaveRunCode result.Code

	wakeAt    time.Time
	heapIndex int
}

func (c *call) firstTokenDeadline() time.Time { return c.ArrivedAt.Add(c.Class.FirstTokenBudget()) }

func (c *call) totalDeadline() time.Time { return c.ArrivedAt.Add(c.Class.TotalBudget()) }

// interChunkKind is the kind under which the hedger holds inter-chunk times,
// apart from the first-token latencies of the same class.
func (c *call) interChunkKind() retry.Kind {
	return retry.Kind{Class: "pace of " + c.Class.Name, Stream: c.Stream}
}

// firstTokenKind is the kind under which the hedger holds first-token
// latencies.
func (c *call) firstTokenKind() retry.Kind { return retry.Kind{Class: c.Class.Name, Stream: c.Stream} }

// residencyKey identifies the adapter and version that the call needs on a
// target; it is empty if it needs none.
func (c *call) residencyKey() string { return residencyKey(c.Route.Adapter, c.Route.Version) }

func residencyKey(adapter, version string) string {
	if adapter == "" {
		return ""
	}
	return adapter + "@" + version
}

// target is the state of one target as the entry sees it.
type target struct {
	tables.Target
	pool         *pool
	openAttempts []*attempt
	load         picker.LoadEstimator
	// recentAttempts counts the attempts that this entry started at the
	// target a short time ago.
	recentAttempts picker.DecayingCounter
	// rowSent is the hash of the pool row last sent on the open session, 0
	// for none.
	rowSent uint64
	// lastReport is the last load report. Its Incarnation is that of the
	// engine.
	lastReport wire.LoadReport
	latency    picker.PeakLatency
	// residentAdapters holds the adapters assumed to be loaded or being
	// loaded, answeredAdapters those of which an answer has begun, so that
	// their load is over.
	residentAdapters *picker.Hints[string]
	answeredAdapters *picker.Hints[string]
	cachedPrefixes   *picker.PrefixHints
	// restartedAt is when a restart of the target process or its engine was
	// last noticed.
	restartedAt time.Time
	// sessionWanted is true between Connect and Disconnect, also while
	// the session is open. countedAsConnected is true while the sessions of
	// the pool include that of the target.
	sessionWanted      bool
	countedAsConnected bool
	lastUsed           time.Time
	// idleElement is the element in Dispatcher.idleSessions, nil if the
	// session is in use or not on demand.
	idleElement *list.Element
	// removed is true once the snapshot in force does not name the target.
	// The target is kept until its open attempts have ended.
	removed bool
}

// resetObservations drops all that was learned of a target and no longer holds
// after a restart.
func (t *target) resetObservations() {
	t.residentAdapters.Clear()
	t.answeredAdapters.Clear()
	t.cachedPrefixes.Clear()
	t.latency = picker.PeakLatency{}
	t.pool.othersLoad -= t.load.Others()
	t.load.ResetReports()
	t.pool.outliers.Forget(t.Name)
}

// pool is the state of one pool as the entry sees it.
type pool struct {
	row    *tables.Pool
	ranker *placement.Ranker
	// keyHomeTargets are the targets that may be key homes, and
	// keyHomeRanker ranks them.
	keyHomeTargets []placement.Target
	keyHomeRanker  *placement.Ranker
	adapterHomes   *placement.Directory
	targets        []*target
	prefixKeys     []string
	retry          *retry.Policy
	hedger         *retry.Hedger
	outliers       *picker.OutlierDetector
	// ownAttempts is the number of this entry's open attempts at all
	// targets, othersLoad the estimated number of requests of other entries
	// there, and sessions the number of open sessions. They give the mean
	// load without a loop over the pool.
	ownAttempts int
	othersLoad  float64
	// recentAttempts counts the attempts that this entry started at all
	// targets a short time ago.
	recentAttempts picker.DecayingCounter
	sessions       int
	// poolUpdate is the cached message for the snapshot in force, nil or of
	// an older revision until it is needed.
	poolUpdate *wire.PoolUpdate
}

// prefixBucketCount is the number of placement keys over which requests without
// an adapter are spread by the hash of their prompt prefix, so that requests
// with the same prefix go to the same few targets.
const prefixBucketCount = 256

func (d *Dispatcher) newPool() *pool {
	p := &pool{
		retry:      retry.New(d.cfg.Retry, d.rng),
		hedger:     retry.NewHedger(d.cfg.Retry),
		outliers:   picker.NewOutlierDetector(),
		prefixKeys: make([]string, prefixBucketCount),
	}
	for i := range p.prefixKeys {
		p.prefixKeys[i] = fmt.Sprintf("bucket-%d", i)
	}
	return p
}

// onDemand reports whether the sessions of the pool are opened only when an
// attempt needs them.
func (p *pool) onDemand() bool { return len(p.targets) > MaxFullMeshTargets }

// meanOthersLoad returns the estimated requests of other entries at a target,
// as the mean over the targets with a session.
func (p *pool) meanOthersLoad() float64 { return max(0, p.othersLoad) / float64(max(1, p.sessions)) }

// meanRecentAttempts returns the recent attempts of this entry at a target, as
// the mean over the targets with a session.
func (p *pool) meanRecentAttempts(now time.Time) float64 {
	return p.recentAttempts.Read(now) / float64(max(1, p.sessions))
}

// meanLoad returns the estimated requests of all entries at a target, as the
// mean over the targets with a session.
func (p *pool) meanLoad() float64 {
	return float64(p.ownAttempts)/float64(max(1, p.sessions)) + p.meanOthersLoad()
}

// setTargets puts a pool row and its targets in force.
func (p *pool) setTargets(row *tables.Pool, targets []*target) {
	p.row, p.targets, p.poolUpdate = row, targets, nil
	p.keyHomeTargets = tables.HomeTargets(row)
	p.keyHomeRanker = placement.NewRanker(p.keyHomeTargets)
	list := tables.PlacementTargets(row)
	if p.ranker != nil && p.ranker.HasTargets(list) {
		return
	}
	p.ranker = placement.NewRanker(list)
	if p.adapterHomes == nil {
		p.adapterHomes = placement.NewDirectory(p.ranker, placement.DefaultConfig())
	} else {
		p.adapterHomes.SetRanker(p.ranker)
	}
}

// changePool makes the target a member of another pool. Its session and its
// open attempts stay.
func (t *target) changePool(p *pool) {
	t.pool.outliers.Forget(t.Name)
	t.pool.ownAttempts -= t.load.Own()
	t.pool.othersLoad -= t.load.Others()
	p.ownAttempts += t.load.Own()
	p.othersLoad += t.load.Others()
	if t.countedAsConnected {
		t.pool.sessions--
		p.sessions++
	}
	t.pool = p
}

// addLoad changes the number of the entry's attempts at the target by n.
func (t *target) addLoad(now time.Time, n int) {
	t.load.Add(now, n)
	t.pool.ownAttempts += n
	if n > 0 {
		t.recentAttempts.Add(now)
		t.pool.recentAttempts.Add(now)
	}
}

// maxRunning returns how many requests the target runs at once: the reported
// limit, or that of the pool if none was reported.
func (t *target) maxRunning() int {
	if t.lastReport.Limit > 0 {
		return t.lastReport.Limit
	}
	return t.pool.row.MaxRunning
}

// release removes an attempt from its target and its call. A removed target is
// dropped with its last attempt.
func (d *Dispatcher) release(now time.Time, a *attempt) {
	t := a.target
	at := slices.Index(t.openAttempts, a)
	if at < 0 {
		return
	}
	t.openAttempts = slices.Delete(t.openAttempts, at, at+1)
	t.addLoad(now, -1)
	d.recordUse(now, t)
	a.call.attempts = slices.DeleteFunc(a.call.attempts, func(x *attempt) bool { return x == a })
	a.call.answer.RemoveAttempt(a.number)
	if t.removed && len(t.openAttempts) == 0 {
		d.removeTarget(t)
	}
}
