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

// Dispatcher holds the state of one entry.
type Dispatcher struct {
	cfg     Config
	rec     Recorder
	rng     *rand.Rand
	picker  *picker.Picker
	members *membership.Tracker

	snapshot *tables.Snapshot
	pools    map[string]*pool
	targets  map[string]*target
	// order holds the targets sorted by name, for decisions over all.
	order  []*target
	calls  map[uint64]*call
	timers timers
	// onDemand counts the sessions on demand that are open or wanted.
	onDemand int
	// idle lists the targets whose session on demand is unused.
	idle   *list.List
	grants grants
	// refreshed is the revision that was last asked for, and when.
	refreshed   uint64
	refreshedAt time.Time
	candidates  []picker.Candidate
	ranked      []*target
	actions     []Action
}

// New returns a dispatcher without a configuration.
func New(cfg Config, rec Recorder) *Dispatcher {
	if cfg.MaxSessions == 0 {
		cfg.MaxSessions = DefaultMaxSessions
	}
	rng := rand.New(rand.NewSource(cfg.Seed))
	return &Dispatcher{
		cfg: cfg, rec: rec, rng: rng,
		picker:  picker.New(cfg.Pick, rng),
		members: membership.New(),
		pools:   make(map[string]*pool),
		targets: make(map[string]*target),
		calls:   make(map[uint64]*call),
		idle:    list.New(),
	}
}

func (d *Dispatcher) take() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) send(t *target, message any) { d.act(Send{Target: t.Name, Message: message}) }

// InFlight returns the number of open calls.
func (d *Dispatcher) InFlight() int { return len(d.calls) }

// Targets returns what the entry believes of its targets, by name.
func (d *Dispatcher) Targets(now time.Time) []TargetView {
	views := make([]TargetView, 0, len(d.order))
	for _, t := range d.order {
		views = append(views, TargetView{
			Name: t.Name, Pool: t.pool.row.Name, Connected: d.connected(t), Usable: d.members.Usable(now, t.Name),
			Ejected: t.pool.outliers.Ejected(t.Name), InFlight: len(t.open), Resident: t.resident.Len(),
			Latency: t.latency.Read(now),
		})
	}
	return views
}

// SetSnapshot puts a configuration in force. Targets that are no longer named
// get no new work; their open attempts end first.
func (d *Dispatcher) SetSnapshot(now time.Time, s *tables.Snapshot) []Action {
	d.snapshot = s
	seen := make(map[string]bool)
	var moved []*target
	for _, name := range slices.Sorted(maps.Keys(s.Pools())) {
		row, _ := s.Pool(name)
		p, ok := d.pools[name]
		if !ok {
			p = d.newPool()
			d.pools[name] = p
		}
		list := make([]*target, len(row.Targets))
		for i, t := range row.Targets {
			seen[t.Name] = true
			if old, ok := d.targets[t.Name]; ok && old.Address != t.Address {
				moved = append(moved, old)
				d.detach(old)
			}
			list[i] = d.setTarget(p, row, t)
		}
		p.setTargets(row, list)
	}
	maps.DeleteFunc(d.pools, func(name string, _ *pool) bool { _, ok := s.Pool(name); return !ok })
	d.removeUnseen(seen)
	d.setOrder()
	d.members.Forget(func(name string) bool { return d.targets[name] != nil })
	d.countOnDemand()
	for _, t := range d.order {
		if !t.removed && !t.pool.onDemand() {
			d.connect(now, t)
		}
		if d.connected(t) {
			d.sendPool(t)
		}
	}
	for _, t := range moved {
		d.failAll(now, t, "the target moved")
	}
	return d.take()
}

func (d *Dispatcher) setTarget(p *pool, poolRow *tables.Pool, row tables.Target) *target {
	t, ok := d.targets[row.Name]
	if ok && t.pool != p {
		t.moveTo(p)
	}
	if !ok {
		t = &target{
			pool:      p,
			resident:  picker.NewHints[string](poolRow.Slots),
			answering: picker.NewHints[string](poolRow.Slots),
			prefixes:  picker.NewPrefixes(),
		}
		d.targets[row.Name] = t
	}
	t.Target = row
	t.removed = false
	return t
}

func (d *Dispatcher) removeUnseen(seen map[string]bool) {
	for _, t := range d.order {
		if seen[t.Name] || d.targets[t.Name] != t {
			continue
		}
		if d.connected(t) && d.pools[t.pool.row.Name] == t.pool {
			// With the row that lacks it, the target is no home of keys any
			// more and refuses calls of entries that follow the old row.
			d.sendPool(t)
		}
		t.removed = true
		if len(t.open) == 0 {
			d.retire(t)
		}
	}
}

// countOnDemand counts the sessions on demand again, because a pool that
// crossed AllToAllTargets changes which sessions these are.
func (d *Dispatcher) countOnDemand() {
	d.onDemand = 0
	d.idle.Init()
	byUse := slices.Clone(d.order)
	slices.SortStableFunc(byUse, func(a, b *target) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, t := range byUse {
		t.idle = nil
		if t.wanted && t.pool.onDemand() {
			d.onDemand++
			d.noteUse(t.lastUsed, t)
		}
	}
}

func (d *Dispatcher) setOrder() {
	d.order = d.order[:0]
	for _, t := range d.targets {
		d.order = append(d.order, t)
	}
	slices.SortFunc(d.order, func(a, b *target) int { return strings.Compare(a.Name, b.Name) })
}

// sendPool gives a target its pool's row.
func (d *Dispatcher) sendPool(t *target) {
	p := t.pool
	if t.removed {
		return
	}
	if p.update == nil || p.update.Revision != d.snapshot.Revision {
		row, err := d.snapshot.PoolRowJSON(p.row.Name)
		if err != nil {
			return
		}
		p.update = &wire.PoolUpdate{
			Revision: d.snapshot.Revision, Digest: d.snapshot.PoolDigest(p.row.Name),
			Row: row, LoadMembers: d.snapshot.LoadMembers(),
		}
		p.update.RowHash = rowHash(p.update)
	}
	if t.rowSent == p.update.RowHash {
		d.send(t, &wire.PoolUpdate{Revision: p.update.Revision, Digest: p.update.Digest, RowHash: p.update.RowHash})
		return
	}
	t.rowSent = p.update.RowHash
	d.send(t, p.update)
}

// rowHash covers all that a PoolUpdate leaves out when it is unchanged.
func rowHash(m *wire.PoolUpdate) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(m.Row)
	for _, name := range m.LoadMembers {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// heard notes the revision that a target holds. Every reply carries one, so
// the configuration is asked for once a second at most.
func (d *Dispatcher) heard(now time.Time, revision uint64) {
	if d.snapshot == nil || revision <= d.snapshot.Revision {
		return
	}
	if revision <= d.refreshed && now.Sub(d.refreshedAt) < time.Second {
		return
	}
	d.refreshed, d.refreshedAt = revision, now
	d.act(Refresh{Revision: revision})
}

// Submit takes a new call.
func (d *Dispatcher) Submit(now time.Time, in *Call) []Action {
	if _, ok := d.calls[in.Number]; ok {
		d.rec.Count("duplicate_submits")
		return d.take()
	}
	c := &call{Call: *in, heapIndex: -1}
	d.calls[c.Number] = c
	if p := d.poolOf(c); p != nil {
		p.retry.Admit()
		p.hedger.Admit()
		c.placementKey = d.placementKey(p, c)
		p.homes.Arrived(now, c.placementKey)
	}
	d.start(now, c)
	return d.take()
}

// Abort ends a call whose caller is gone.
func (d *Dispatcher) Abort(now time.Time, number uint64) []Action {
	if c, ok := d.calls[number]; ok {
		d.finish(now, c, Outcome{Code: callerGone})
	}
	return d.take()
}

func (d *Dispatcher) poolOf(c *call) *pool { return d.pools[c.Pool.Name] }
