package dispatch

import (
	"container/list"
	"hash/fnv"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/decide/membership"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// Dispatcher holds the targets and open calls of one entry and decides what to
// do on each event.
type Dispatcher struct {
	cfg     Config
	rec     Recorder
	rng     *rand.Rand
	picker  *picker.Picker
	members *membership.Tracker

	snapshot *tables.Snapshot
	pools    map[string]*pool
	targets  map[string]*target
	// sortedTargets holds the targets sorted by name, so that decisions
	// over all targets do not depend on the order of a map.
	sortedTargets []*target
	calls         map[uint64]*call
	timers        timers
	// onDemandSessions counts the sessions on demand that are open or
	// requested.
	onDemandSessions int
	// idleSessions lists the targets (*target) whose session on demand is
	// unused, the one used longest ago first.
	idleSessions *list.List
	loadTokens   loadTokens
	// lastRefreshRevision is the revision of the last RefreshConfiguration, and
	// lastRefreshAt when it was requested.
	lastRefreshRevision uint64
	lastRefreshAt       time.Time
	// candidates and candidateTargets are the buffers that
	// collectCandidates fills. They are valid for one decision and have the
	// same order.
	candidates       []picker.Candidate
	candidateTargets []*target
	// actions holds the actions that the current event returns.
	actions []Action
}

// New returns a Dispatcher that refuses all calls until SetSnapshot is called.
func New(cfg Config, rec Recorder) *Dispatcher {
	if cfg.MaxOnDemandSessions == 0 {
		cfg.MaxOnDemandSessions = DefaultMaxOnDemandSessions
	}
	rng := rand.New(rand.NewSource(cfg.Seed))
	return &Dispatcher{
		cfg: cfg, rec: rec, rng: rng,
		picker:       picker.New(cfg.PickStrategy, rng),
		members:      membership.New(),
		pools:        make(map[string]*pool),
		targets:      make(map[string]*target),
		calls:        make(map[uint64]*call),
		idleSessions: list.New(),
	}
}

// takeActions returns the actions of the current event and clears them.
func (d *Dispatcher) takeActions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// emit adds an action to those that the current event returns.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) send(t *target, message any) { d.emit(Send{Target: t.Name, Message: message}) }

// OpenCalls returns the number of open calls.
func (d *Dispatcher) OpenCalls() int { return len(d.calls) }

// Targets returns the state of all targets, sorted by name.
func (d *Dispatcher) Targets(now time.Time) []TargetStatus {
	views := make([]TargetStatus, 0, len(d.sortedTargets))
	for _, t := range d.sortedTargets {
		views = append(views, TargetStatus{
			Name: t.Name, Pool: t.pool.row.Name, Connected: d.connected(t), Usable: d.members.Usable(now, t.Name),
			Ejected: t.pool.outliers.Ejected(t.Name), OpenAttempts: len(t.openAttempts), ResidentAdapters: t.residentAdapters.Len(),
			Latency: t.latency.Read(now),
		})
	}
	return views
}

// SetSnapshot puts a configuration in force. A target that it no longer names
// gets no new work, and its session stays until its open attempts have ended.
func (d *Dispatcher) SetSnapshot(now time.Time, s *tables.Snapshot) []Action {
	d.snapshot = s
	inSnapshot := make(map[string]bool)
	var addressChanged []*target
	for _, name := range slices.Sorted(maps.Keys(s.Pools())) {
		row, _ := s.Pool(name)
		p, ok := d.pools[name]
		if !ok {
			p = d.newPool()
			d.pools[name] = p
		}
		poolTargets := make([]*target, len(row.Targets))
		for i, t := range row.Targets {
			inSnapshot[t.Name] = true
			if old, ok := d.targets[t.Name]; ok && old.Address != t.Address {
				addressChanged = append(addressChanged, old)
				d.closeReplacedTarget(old)
			}
			poolTargets[i] = d.setTarget(p, row, t)
		}
		p.setTargets(row, poolTargets)
	}
	maps.DeleteFunc(d.pools, func(name string, _ *pool) bool { _, ok := s.Pool(name); return !ok })
	d.removeMissing(inSnapshot)
	d.sortTargets()
	d.members.Retain(func(name string) bool { return d.targets[name] != nil })
	d.recountOnDemand()
	for _, t := range d.sortedTargets {
		if !t.removed && !t.pool.onDemand() {
			d.connect(now, t)
		}
		if d.connected(t) {
			d.sendPoolUpdate(t)
		}
	}
	for _, t := range addressChanged {
		d.failAllAttempts(now, t, "the address of the target changed")
	}
	return d.takeActions()
}

// setTarget creates or updates the target of a table row.
func (d *Dispatcher) setTarget(p *pool, poolRow *tables.Pool, row tables.Target) *target {
	t, ok := d.targets[row.Name]
	if ok && t.pool != p {
		t.changePool(p)
	}
	if !ok {
		t = &target{
			pool:             p,
			residentAdapters: picker.NewHints[string](poolRow.Slots),
			answeredAdapters: picker.NewHints[string](poolRow.Slots),
			cachedPrefixes:   picker.NewPrefixHints(),
		}
		d.targets[row.Name] = t
	}
	t.Target = row
	t.removed = false
	return t
}

// removeMissing removes the targets that are not in the new snapshot. Those
// with open attempts are only marked as removed until the attempts have ended.
func (d *Dispatcher) removeMissing(inSnapshot map[string]bool) {
	for _, t := range d.sortedTargets {
		if inSnapshot[t.Name] || d.targets[t.Name] != t {
			continue
		}
		if d.connected(t) && d.pools[t.pool.row.Name] == t.pool {
			// The new row does not name the target, so the target
			// refuses calls for which it was the key home. Without
			// the row it would still run them for entries that use
			// the old tables.
			d.sendPoolUpdate(t)
		}
		t.removed = true
		if len(t.openAttempts) == 0 {
			d.removeTarget(t)
		}
	}
}

// recountOnDemand rebuilds the count and the idle list of the sessions on
// demand. A pool that grows beyond MaxFullMeshTargets or shrinks to it changes
// which sessions are on demand.
func (d *Dispatcher) recountOnDemand() {
	d.onDemandSessions = 0
	d.idleSessions.Init()
	byLastUse := slices.Clone(d.sortedTargets)
	slices.SortStableFunc(byLastUse, func(a, b *target) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, t := range byLastUse {
		t.idleElement = nil
		if t.sessionWanted && t.pool.onDemand() {
			d.onDemandSessions++
			d.recordUse(t.lastUsed, t)
		}
	}
}

func (d *Dispatcher) sortTargets() {
	d.sortedTargets = d.sortedTargets[:0]
	for _, t := range d.targets {
		d.sortedTargets = append(d.sortedTargets, t)
	}
	slices.SortFunc(d.sortedTargets, func(a, b *target) int { return strings.Compare(a.Name, b.Name) })
}

// sendPoolUpdate sends a target the row of its pool, which is the record of the
// pool in the pool table. If the session already
// carried the same row, only its hash is sent.
func (d *Dispatcher) sendPoolUpdate(t *target) {
	p := t.pool
	if t.removed {
		return
	}
	if p.poolUpdate == nil || p.poolUpdate.Revision != d.snapshot.Revision {
		row, err := d.snapshot.PoolRowJSON(p.row.Name)
		if err != nil {
			return
		}
		p.poolUpdate = &wire.PoolUpdate{
			Revision: d.snapshot.Revision, Digest: d.snapshot.TargetListDigest(p.row.Name),
			Row: row, EngineTargets: d.snapshot.EngineTargets(),
		}
		p.poolUpdate.RowHash = rowHash(p.poolUpdate)
	}
	if t.rowSent == p.poolUpdate.RowHash {
		d.send(t, &wire.PoolUpdate{Revision: p.poolUpdate.Revision, Digest: p.poolUpdate.Digest, RowHash: p.poolUpdate.RowHash})
		return
	}
	t.rowSent = p.poolUpdate.RowHash
	d.send(t, p.poolUpdate)
}

// rowHash returns the hash of the fields that a PoolUpdate omits if they are
// the same as before: the pool row and the names of all engine targets that
// share the weight store.
func rowHash(m *wire.PoolUpdate) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(m.Row)
	for _, name := range m.EngineTargets {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// refreshIfNewer emits a RefreshConfiguration if a target holds a newer
// revision. Load reports carry the revision and are frequent, so the same
// revision is requested at most once a second.
func (d *Dispatcher) refreshIfNewer(now time.Time, revision uint64) {
	if d.snapshot == nil || revision <= d.snapshot.Revision {
		return
	}
	if revision <= d.lastRefreshRevision && now.Sub(d.lastRefreshAt) < time.Second {
		return
	}
	d.lastRefreshRevision, d.lastRefreshAt = revision, now
	d.emit(RefreshConfiguration{Revision: revision})
}

// Submit starts a new call.
func (d *Dispatcher) Submit(now time.Time, in *Call) []Action {
	if _, ok := d.calls[in.Number]; ok {
		d.rec.Count("duplicate_submits")
		return d.takeActions()
	}
	c := &call{Call: *in, heapIndex: -1}
	d.calls[c.Number] = c
	if p := d.poolOf(c); p != nil {
		p.retry.CountRequest()
		p.hedger.CountRequest()
		c.placementKey = d.placementKey(p, c)
		p.adapterHomes.CountRequest(now, c.placementKey)
	}
	d.startNextAttempt(now, c)
	return d.takeActions()
}

// Abort ends a call whose caller no longer waits for the answer.
func (d *Dispatcher) Abort(now time.Time, number uint64) []Action {
	if c, ok := d.calls[number]; ok {
		d.finish(now, c, Outcome{Code: callerGone})
	}
	return d.takeActions()
}

// poolOf returns the pool of a call, nil if the snapshot in force lacks it.
func (d *Dispatcher) poolOf(c *call) *pool { return d.pools[c.Pool.Name] }
