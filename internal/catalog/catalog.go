package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// ReturnTime is how long after the store is back a target whose entry
	// lapsed meanwhile may take to register again.
	ReturnTime = 2500 * time.Millisecond
	// settleTime is how long after an outage a removal may still be the
	// effect of the outage.
	settleTime = 3 * time.Second
)

// Item is one change of the published state. Exactly one of Config, Target
// and Adapter is set, unless the item is Removed or could not be decoded.
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
	// Targets holds the targets by ID, Pools those of each pool by ID order.
	Targets map[string]*Target
	Pools   map[string][]*Target
	// Versions holds the newest announced version of each adapter.
	Versions map[AdapterKey]int
}

// record is the newest change of one key.
type record struct {
	revision uint64
	target   *Target
	// lapsed is set while a removed target may still register again.
	lapsed time.Time
}

// Catalog merges changes. It is used by one goroutine; views may be used by
// any.
type Catalog struct {
	records  map[string]*record
	config   *Config
	versions map[AdapterKey]int
	view     *View
	// lostAt is when the store was last lost, backAt when it came back.
	lost   bool
	backAt time.Time
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
func (c *Catalog) StoreLost() { c.lost = true }

// StoreBack records that the store answers.
func (c *Catalog) StoreBack(now time.Time) {
	if c.lost {
		c.lost = false
		c.backAt = now
	}
}

// Apply takes a change. It reports whether the change is newer than what was
// known and differs from it in more than its revision.
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
		changed = known.target == nil || *known.target != *item.Target || !known.lapsed.IsZero()
		known.target, known.lapsed = item.Target, time.Time{}
	case item.Adapter != nil:
		changed = item.Adapter.Version > c.versions[item.Adapter.AdapterKey]
		if changed {
			c.versions[item.Adapter.AdapterKey] = item.Adapter.Version
		}
	default:
		// The value could not be read. It names no target to use.
		changed = known.target != nil
		known.target = nil
	}
	if changed {
		c.publish()
	}
	return changed
}

// remove takes the removal of a target. After an outage of the store the
// target may only have lapsed, so that it is kept until it had time to
// register again.
func (c *Catalog) remove(now time.Time, r *record) bool {
	if r.target == nil || !r.lapsed.IsZero() {
		return false
	}
	outage := c.lost || !c.backAt.IsZero() && now.Sub(c.backAt) < settleTime
	if outage && !r.target.Draining {
		since := now
		if !c.lost {
			since = c.backAt
		}
		r.lapsed = since
		return false
	}
	r.target = nil
	return true
}

// Expire removes the targets that did not register again in time. It reports
// whether any was removed.
func (c *Catalog) Expire(now time.Time) bool {
	removed := false
	for _, r := range c.records {
		if r.target == nil || r.lapsed.IsZero() || c.lost {
			continue
		}
		from := r.lapsed
		if from.Before(c.backAt) {
			from = c.backAt
		}
		if now.Sub(from) >= ReturnTime {
			r.target, r.lapsed = nil, time.Time{}
			removed = true
		}
	}
	if removed {
		c.publish()
	}
	return removed
}

// Missing returns the removals that follow from a complete list of the keys
// that are left below a prefix, read at a revision.
func (c *Catalog) Missing(revision uint64, listed map[string]bool, below func(key string) bool) []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[key]
		if below(key) && !listed[key] && r.target != nil && r.revision < revision {
			items = append(items, Item{Key: key, Revision: revision, Removed: true})
		}
	}
	return items
}

// publish builds a view of the present state.
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
