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

// loadWaits is the time from the first request for an absent adapter until it
// is loaded, in load times: the load itself and its wait for a token.
const loadWaits = 2

// placementKey names what is ranked: the adapter, or a bucket of prefixes for
// requests without one.
func (d *Dispatcher) placementKey(p *pool, c *call) string {
	switch {
	case c.Route.Adapter != "":
		return tables.PlacementKey(p.row, c.Route.Adapter)
	case c.PrefixHash != 0:
		return p.buckets[c.PrefixHash%prefixBuckets]
	default:
		return p.buckets[d.rng.Intn(prefixBuckets)]
	}
}

// pick chooses a target for the next attempt. Without one it returns the code
// that says why.
func (d *Dispatcher) pick(now time.Time, c *call) (*target, result.Code) {
	p := d.poolOf(c)
	if p == nil && d.snapshot == nil {
		return nil, result.NoConfiguration
	}
	if p == nil {
		return nil, result.NoTarget
	}
	if !c.Route.Repeatable {
		return d.homeOf(now, p, c)
	}
	if !d.gather(now, p, c) {
		return nil, result.NoTarget
	}
	i, ok := d.picker.Pick(&picker.Request{MeanLoad: p.meanLoad(), MeanSent: p.meanSent(now)}, d.candidates)
	if !ok {
		return nil, result.NoTarget
	}
	return d.ranked[i], result.OK
}

// homeOf returns the home of a call that may not be repeated. It stays the
// same for the life of the call, whatever the tables say later.
func (d *Dispatcher) homeOf(now time.Time, p *pool, c *call) (*target, result.Code) {
	if c.home == "" {
		c.home = p.keyHomes[p.keyRanker.Rank(c.Key, 1)[0]].Name
	}
	t, ok := d.targets[c.home]
	switch {
	case !ok || t.removed:
		return nil, result.NoTarget
	case d.members.Usable(now, t.Name):
		return t, result.OK
	case d.members.Status(t.Name).Leaving:
		return nil, result.TargetLeaving
	case p.onDemand() && d.reachable(now, t):
		return t, result.OK
	}
	return nil, result.NoTarget
}

// reachable tells whether a target without a session may be used, because a
// session is opened on demand.
func (d *Dispatcher) reachable(now time.Time, t *target) bool {
	return t.pool.onDemand() && d.members.Reachable(now, t.Name) && (t.wanted || d.canConnect())
}

// gather describes the first ranks that can take the call.
func (d *Dispatcher) gather(now time.Time, p *pool, c *call) bool {
	if d.cfg.Pick == picker.Random {
		d.collect(now, p, c, p.ranker.Rank(fmt.Sprint(d.rng.Uint64()), len(p.targets)), candidateCount)
		return len(d.candidates) > 0
	}
	homes := p.homes.Homes(c.placementKey)
	want := max(candidateCount, homes+spareCandidates)
	d.collect(now, p, c, p.homes.Ranks(c.placementKey), want)
	if len(d.candidates) == 0 {
		// All remembered ranks are unusable, for example in a partition.
		d.collect(now, p, c, p.homes.AllRanks(c.placementKey), want)
	}
	if c.Route.Adapter == "" {
		return len(d.candidates) > 0
	}
	homes = p.homes.Copies(now, c.placementKey, p.load(d.candidates, homes))
	for i := range min(homes, len(d.candidates)) {
		d.candidates[i].Home = true
	}
	return len(d.candidates) > 0
}

// load describes the pool and the homes of an adapter for placement.
func (p *pool) load(candidates []picker.Candidate, homes int) placement.Load {
	mean := p.meanLoad()
	excess := 0.0
	for i := range min(homes, len(candidates)) {
		if e := candidates[i].Recent - mean; i == 0 || e < excess {
			excess = e
		}
	}
	return placement.Load{Busy: float64(len(p.targets)), Excess: max(0, excess)}
}

func (d *Dispatcher) collect(now time.Time, p *pool, c *call, ranks []int, want int) {
	d.candidates, d.ranked = d.candidates[:0], d.ranked[:0]
	key, others := c.residencyKey(), p.meanOthers()
	for _, index := range ranks {
		t := p.targets[index]
		if t.Draining || slices.Contains(c.tried, t.Name) {
			continue
		}
		if !d.members.Usable(now, t.Name) && (d.connected(t) || !d.reachable(now, t)) {
			continue
		}
		current, recent := t.load.Estimate(now, others)
		slowness := p.outliers.Slowness(now, t.latency.Read(now))
		resident := key == "" || t.resident.Has(key)
		d.ranked = append(d.ranked, t)
		d.candidates = append(d.candidates, picker.Candidate{
			Name: t.Name, Usable: true, Home: key == "",
			Ejected: p.outliers.Ejected(t.Name) && !(key != "" && resident && d.fasterThanLoad(p, c, slowness)),
			Silent:  d.members.Silent(now, t.Name),
			Load:    current, Recent: recent,
			Sent:      t.sent.Read(now),
			Limit:     t.limit(),
			Slowness:  slowness,
			Warmth:    picker.Warmth(now, t.restarted),
			Resident:  resident,
			PrefixHit: t.prefixes.Has(c.PrefixHash),
		})
		if len(d.candidates) == want {
			return
		}
	}
}

// fasterThanLoad tells whether a straggler that holds the adapter ends its
// answer earlier than another target that has to load it first. At the limit
// of the weight store, moving the adapters of a target that is slow for a
// moment delays more requests than the target does; a long answer at the pace
// of a straggler loses more than a load takes.
func (d *Dispatcher) fasterThanLoad(p *pool, c *call, slowness float64) bool {
	answer, ok := d.medianAnswer(p, c)
	load := time.Duration(d.snapshot.WeightStore().LoadMS) * time.Millisecond
	return ok && time.Duration((slowness-1)*float64(answer)) < loadWaits*load
}

// medianAnswer estimates the time of a whole answer at a target of the pool's
// median. The median of a stream is that of its first token; the rest follows
// from the pace, with one chunk for each token.
func (d *Dispatcher) medianAnswer(p *pool, c *call) (time.Duration, bool) {
	answer, ok := p.hedger.Median(c.kind())
	if pace, known := p.hedger.Median(c.paceKind()); known && c.Stream {
		answer += pace * time.Duration(c.Tokens) / paceChunks
	}
	return answer, ok
}

// probe sends a copy of a call to an ejected target of its ranks whose probe is
// due. The call itself goes to another target, so a probe delays nobody.
func (d *Dispatcher) probe(now time.Time, c *call) {
	p := d.poolOf(c)
	if p.outliers.Count() == 0 || !c.Route.Repeatable || d.cfg.Pick == picker.Random {
		return
	}
	for i, t := range d.ranked {
		if !d.candidates[i].Resident || slices.Contains(c.tried, t.Name) || !p.outliers.ProbeDue(now, t.Name) {
			continue
		}
		if d.connected(t) && p.hedger.Spend() {
			d.rec.Count("probed")
			d.launch(now, c, t, true)
		}
		return
	}
}

// hedge starts a second attempt in parallel to one that is slow. It does not
// cause an adapter load unless the first target is a straggler, because loads
// are scarcer than running slots.
func (d *Dispatcher) hedge(now time.Time, c *call) {
	p := d.poolOf(c)
	if p == nil || len(c.attempts) != 1 || c.answer.Started() {
		return
	}
	first := c.attempts[0]
	if first.phase != phaseReserving && first.phase != phaseRunning {
		return
	}
	d.overdue(now, first)
	switch {
	case p.retry.Overloaded() || p.meanLoad() >= float64(first.target.limit()):
		d.rec.Count("not_hedged_overload")
		return
	case !d.gather(now, p, c):
		d.rec.Count("not_hedged_no_target")
		return
	}
	i, ok := d.picker.Pick(&picker.Request{MeanLoad: p.meanLoad(), MeanSent: p.meanSent(now)}, d.candidates)
	switch {
	case !ok:
		d.rec.Count("not_hedged_no_target")
	case !d.candidates[i].Resident && !p.outliers.Ejected(first.target.Name):
		d.rec.Count("not_hedged_adapter_absent")
	case !p.hedger.Spend():
		d.rec.Count("not_hedged_budget")
	default:
		d.rec.Count("hedged")
		d.launch(now, c, d.ranked[i], true)
	}
}
