package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// ReregistrationGrace is how long after an outage of the store a target whose
	// removal was deferred may take to register again.
	ReregistrationGrace = 2500 * time.Millisecond
	// postOutageWindow is how long after an outage of the store a removal may
	// still be an effect of the outage.
	postOutageWindow = 3 * time.Second
)

// Item is one change of a key in the published state. Exactly one of Config,
// Target and Adapter is set, unless the key was Removed or its value could not
// be decoded.
type Item struct {
	Key      string
	Revision uint64
	Removed  bool
	Config   *Config
	Target   *Target
	Adapter  *AdapterVersion
}

// AdapterVersion announces a version of an adapter.
type AdapterVersion struct {
	AdapterKey
	Version int
}

// View is the published state at one moment. It does not change.
type View struct {
	Config *Config
	// Targets holds the targets by ID, Pools those of each pool, sorted by ID.
	Targets map[string]*Target
	Pools   map[string][]*Target
	// Versions holds the newest announced version of each adapter.
	Versions map[AdapterKey]int
}

// record holds the newest change of one key.
type record struct {
	revision uint64
	target   *Target
	// keptSince is when a removal during an outage of the store was deferred, or
	// the end of the outage if the removal came shortly after it; otherwise zero.
	// ReregistrationGrace counts from the later of keptSince and the end of the
	// outage.
	keptSince time.Time
}

// Catalog merges changes. It may be used by one goroutine only, its views by
// any.
type Catalog struct {
	records  map[string]*record
	config   *Config
	versions map[AdapterKey]int
	view     *View
	// storeLost is true while the store does not answer. storeBackAt is when
	// it last answered again.
	storeLost   bool
	storeBackAt time.Time
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		records: make(map[string]*record), versions: make(map[AdapterKey]int),
		view: &View{Targets: map[string]*Target{}, Pools: map[string][]*Target{}, Versions: map[AdapterKey]int{}},
	}
}

// View returns the state after the last change.
func (c *Catalog) View() *View { return c.view }

// StoreLost records that the store does not answer.
func (c *Catalog) StoreLost() { c.storeLost = true }

// StoreReached records that the store answers again.
func (c *Catalog) StoreReached(now time.Time) {
	if c.storeLost {
		c.storeLost = false
		c.storeBackAt = now
	}
}

// Apply merges a change. It reports whether the change is newer than the known
// state of its key and led to a new view.
func (c *Catalog) Apply(now time.Time, item Item) bool {
	known, ok := c.records[item.Key]
	if ok && item.Revision <= known.revision {
		return false
	}
	if !ok {
		known = &record{}
		c.records[item.Key] = known
	}
	known.revision = item.Revision
	changed := false
	switch {
	case item.Removed:
		changed = c.remove(now, known)
	case item.Config != nil:
		changed = c.config == nil || item.Config.Version > c.config.Version
		if changed {
			c.config = item.Config
		}
	case item.Target != nil:
		changed = known.target == nil || *known.target != *item.Target || !known.keptSince.IsZero()
		known.target, known.keptSince = item.Target, time.Time{}
	case item.Adapter != nil:
		changed = item.Adapter.Version > c.versions[item.Adapter.AdapterKey]
		if changed {
			c.versions[item.Adapter.AdapterKey] = item.Adapter.Version
		}
	default:
		// The value could not be decoded, so that its target cannot be used.
		changed = known.target != nil
		known.target = nil
	}
	if changed {
		c.publish()
	}
	return changed
}

// remove merges the removal of a target and reports whether the target is
// dropped. During or shortly after an outage of the store the target may have
// been removed only because it could not renew its registration. It is then
// kept until it had time to register again, unless it was draining.
func (c *Catalog) remove(now time.Time, r *record) bool {
	if r.target == nil || !r.keptSince.IsZero() {
		return false
	}
	outageSuspected := c.storeLost || !c.storeBackAt.IsZero() && now.Sub(c.storeBackAt) < postOutageWindow
	if outageSuspected && !r.target.Draining {
		keptSince := now
		if !c.storeLost {
			keptSince = c.storeBackAt
		}
		r.keptSince = keptSince
		return false
	}
	r.target = nil
	return true
}

// RemoveUnregistered drops the targets that did not register again within
// ReregistrationGrace. It reports whether any was dropped.
func (c *Catalog) RemoveUnregistered(now time.Time) bool {
	dropped := false
	for _, r := range c.records {
		if r.target == nil || r.keptSince.IsZero() || c.storeLost {
			continue
		}
		graceStart := r.keptSince
		if graceStart.Before(c.storeBackAt) {
			graceStart = c.storeBackAt
		}
		if now.Sub(graceStart) >= ReregistrationGrace {
			r.target, r.keptSince = nil, time.Time{}
			dropped = true
		}
	}
	if dropped {
		c.publish()
	}
	return dropped
}

// RemovalsFor returns removals for the targets that a complete list of keys
// does not contain. The list was read at a revision and covers the keys for
// which covered returns true.
func (c *Catalog) RemovalsFor(revision uint64, listed map[string]bool, covered func(key string) bool) []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[key]
		if covered(key) && !listed[key] && r.target != nil && r.revision < revision {
			items = append(items, Item{Key: key, Revision: revision, Removed: true})
		}
	}
	return items
}

// publish replaces the view by one of the current state.
func (c *Catalog) publish() {
	v := &View{
		Config: c.config, Targets: make(map[string]*Target), Pools: make(map[string][]*Target),
		Versions: maps.Clone(c.versions),
	}
	for _, r := range c.records {
		if r.target == nil {
			continue
		}
		v.Targets[r.target.ID] = r.target
		v.Pools[r.target.Pool] = append(v.Pools[r.target.Pool], r.target)
	}
	for _, list := range v.Pools {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	c.view = v
}
