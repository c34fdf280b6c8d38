package dispatch

import (
	"fmt"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

// loadDelayFactor is the time from the first request for an absent adapter
// until it is loaded, as a multiple of WeightStore.LoadMS: the load itself and
// the wait for a load token.
const loadDelayFactor = 2

// placementKey returns the key for which placement orders the targets of a
// call: that of its adapter, or of a prefix bucket if it has none.
func (d *Dispatcher) placementKey(p *pool, c *call) string {
	switch {
	case c.Route.Adapter != "":
		return tables.PlacementKey(p.row, c.Route.Adapter)
	case c.PrefixHash != 0:
		return p.prefixKeys[c.PrefixHash%prefixBucketCount]
	default:
		return p.prefixKeys[d.rng.Intn(prefixBucketCount)]
	}
}

// pickTarget chooses a target for the next attempt. If there is none, it
// returns nil and the reason as a code.
func (d *Dispatcher) pickTarget(now time.Time, c *call) (*target, result.Code) {
	p := d.poolOf(c)
	if p == nil && d.snapshot == nil {
		return nil, result.NoConfiguration
	}
	if p == nil {
		return nil, result.NoTarget
	}
	if !c.Route.Repeatable {
		return d.pickKeyHome(now, p, c)
	}
	if !d.gatherCandidates(now, p, c) {
		return nil, result.NoTarget
	}
	i, ok := d.picker.Pick(&picker.PoolMeans{Load: p.meanLoad(), RecentAttempts: p.meanRecentAttempts(now)}, d.candidates)
	if !ok {
		return nil, result.NoTarget
	}
	return d.candidateTargets[i], result.OK
}

// pickKeyHome returns the key home of a call that may not be repeated. It is
// chosen once for each call and does not change with later tables.
func (d *Dispatcher) pickKeyHome(now time.Time, p *pool, c *call) (*target, result.Code) {
	if c.keyHome == "" {
		c.keyHome = p.keyHomeTargets[p.keyHomeRanker.Rank(c.IdempotencyKey, 1)[0]].Name
	}
	t, ok := d.targets[c.keyHome]
	switch {
	case !ok || t.removed:
		return nil, result.NoTarget
	case d.members.Usable(now, t.Name):
		return t, result.OK
	case d.members.Status(t.Name).AnnouncedLeaving:
		return nil, result.TargetLeaving
	case p.onDemand() && d.mayConnect(now, t):
		return t, result.OK
	}
	return nil, result.NoTarget
}

// mayConnect reports whether a session on demand with a target may be opened,
// or has been requested, so that a call may go to the target before the session
// is open.
func (d *Dispatcher) mayConnect(now time.Time, t *target) bool {
	return t.pool.onDemand() && d.members.MayConnect(now, t.Name) && (t.sessionWanted || d.canConnect())
}

// gatherCandidates collects the first targets, in the order of preference for
// the call, that may take it. It reports whether there are any.
func (d *Dispatcher) gatherCandidates(now time.Time, p *pool, c *call) bool {
	if d.cfg.PickStrategy == picker.Random {
		d.collectCandidates(now, p, c, p.ranker.Rank(fmt.Sprint(d.rng.Uint64()), len(p.targets)), candidateCount)
		return len(d.candidates) > 0
	}
	copies := p.adapterHomes.Copies(c.placementKey)
	want := max(candidateCount, copies+minSpareCandidates)
	d.collectCandidates(now, p, c, p.adapterHomes.Ranks(c.placementKey), want)
	if len(d.candidates) == 0 {
		// None of the most preferred targets may take the call, for
		// example in a network partition.
		d.collectCandidates(now, p, c, p.adapterHomes.AllRanks(c.placementKey), want)
	}
	if c.Route.Adapter == "" {
		return len(d.candidates) > 0
	}
	copies = p.adapterHomes.UpdateCopies(now, c.placementKey, p.placementLoad(d.candidates, copies))
	for i := range min(copies, len(d.candidates)) {
		d.candidates[i].Home = true
	}
	return len(d.candidates) > 0
}

// placementLoad returns the load from which placement derives the number of
// copies of an adapter: the size of the pool and the excess load of the adapter
// homes, which are the first candidates, as many as there are copies.
func (p *pool) placementLoad(candidates []picker.Candidate, copies int) placement.PoolLoad {
	mean := p.meanLoad()
	excess := 0.0
	for i := range min(copies, len(candidates)) {
		if e := candidates[i].RecentLoad - mean; i == 0 || e < excess {
			excess = e
		}
	}
	return placement.PoolLoad{Total: float64(len(p.targets)), QueuedAtHome: max(0, excess)}
}

// collectCandidates fills candidates and candidateTargets with up to want
// targets that may take the call, in the order of ranks, which holds indexes of
// p.targets. A target may take the call if it is usable or may be connected to,
// is not draining and was not tried yet.
func (d *Dispatcher) collectCandidates(now time.Time, p *pool, c *call, ranks []int, want int) {
	d.candidates, d.candidateTargets = d.candidates[:0], d.candidateTargets[:0]
	key, meanOthers := c.residencyKey(), p.meanOthersLoad()
	for _, index := range ranks {
		t := p.targets[index]
		if t.Draining || slices.Contains(c.triedTargets, t.Name) {
			continue
		}
		if !d.members.Usable(now, t.Name) && (d.connected(t) || !d.mayConnect(now, t)) {
			continue
		}
		current, recent := t.load.Estimate(now, meanOthers)
		slowness := p.outliers.LatencyRatio(now, t.latency.Read(now))
		resident := key == "" || t.residentAdapters.Has(key)
		d.candidateTargets = append(d.candidateTargets, t)
		d.candidates = append(d.candidates, picker.Candidate{
			Name: t.Name, Usable: true, Home: key == "",
			Ejected:      p.outliers.Ejected(t.Name) && !(key != "" && resident && d.fasterThanAdapterLoad(p, c, slowness)),
			Unresponsive: d.members.Unresponsive(now, t.Name),
			Load:         current, RecentLoad: recent,
			RecentAttempts: t.recentAttempts.Read(now),
			MaxRunning:     t.maxRunning(),
			LatencyRatio:   slowness,
			SlowStartShare: picker.SlowStartShare(now, t.restartedAt),
			Resident:       resident,
			PrefixHit:      t.cachedPrefixes.Has(c.PrefixHash),
		})
		if len(d.candidates) == want {
			return
		}
	}
}

// fasterThanAdapterLoad reports whether a straggler that holds the adapter is
// expected to end its answer earlier than another target that has to load the
// adapter first. When the weight store is at its limit, loading the adapters of
// a briefly slow target elsewhere delays more requests than the slow target
// does. A long answer, however, loses more time at a straggler than a load
// takes.
func (d *Dispatcher) fasterThanAdapterLoad(p *pool, c *call, slowness float64) bool {
	answer, ok := d.medianAnswerTime(p, c)
	load := time.Duration(d.snapshot.WeightStore().LoadMS) * time.Millisecond
	return ok && time.Duration((slowness-1)*float64(answer)) < loadDelayFactor*load
}

// medianAnswerTime estimates the time of a whole answer at a target of median
// speed. For a stream, the hedger's median covers the first token only; the
// rest is estimated from the samples of the inter-chunk time, with one chunk
// for each token. A sample covers chunksPerSample+1 intervals but counts as
// chunksPerSample, so the rest is overestimated by an eighth. It returns false
// while there are too few samples.
func (d *Dispatcher) medianAnswerTime(p *pool, c *call) (time.Duration, bool) {
	answer, ok := p.hedger.Median(c.firstTokenKind())
	if sampleTime, measured := p.hedger.Median(c.interChunkKind()); measured && c.Stream {
		answer += sampleTime * time.Duration(c.EstimatedTokens) / chunksPerSample
	}
	return answer, ok
}

// probe starts a second attempt at the call, at an ejected candidate that holds
// the adapter and is due for a probe. The first attempt runs at another target,
// so the probe does not delay the call.
func (d *Dispatcher) probe(now time.Time, c *call) {
	p := d.poolOf(c)
	if p.outliers.EjectedCount() == 0 || !c.Route.Repeatable || d.cfg.PickStrategy == picker.Random {
		return
	}
	for i, t := range d.candidateTargets {
		if !d.candidates[i].Resident || slices.Contains(c.triedTargets, t.Name) || !p.outliers.ProbeDue(now, t.Name) {
			continue
		}
		if d.connected(t) && p.hedger.Spend() {
			d.rec.Count("probed")
			d.launchAttempt(now, c, t, true)
		}
		return
	}
}

// hedge starts a second attempt in parallel to a slow one. It does not go to a
// target that lacks the adapter unless the first target is a straggler, because
// adapter loads are scarcer than capacity to run requests.
func (d *Dispatcher) hedge(now time.Time, c *call) {
	p := d.poolOf(c)
	if p == nil || len(c.attempts) != 1 || c.answer.Started() {
		return
	}
	first := c.attempts[0]
	if first.phase != phaseReserving && first.phase != phaseRunning {
		return
	}
	d.observeOverdue(now, first)
	switch {
	case p.retry.Overloaded() || p.meanLoad() >= float64(first.target.maxRunning()):
		d.rec.Count("not_hedged_overload")
		return
	case !d.gatherCandidates(now, p, c):
		d.rec.Count("not_hedged_no_target")
		return
	}
	i, ok := d.picker.Pick(&picker.PoolMeans{Load: p.meanLoad(), RecentAttempts: p.meanRecentAttempts(now)}, d.candidates)
	switch {
	case !ok:
		d.rec.Count("not_hedged_no_target")
	case !d.candidates[i].Resident && !p.outliers.Ejected(first.target.Name):
		d.rec.Count("not_hedged_adapter_absent")
	case !p.hedger.Spend():
		d.rec.Count("not_hedged_budget")
	default:
		d.rec.Count("hedged")
		d.launchAttempt(now, c, d.candidateTargets[i], true)
	}
}
