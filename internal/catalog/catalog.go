package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReregistrationGrace is how long after an outage of the store a target whose removal was
// deferred may take to register again. A removal that becomes known within that time may still
// be an effect of the outage.
const ReregistrationGrace = 2500 * time.Millisecond

// Item is one change of a key in the published state. Exactly one of Config,
// Target and Adapter is set, unless the key was Removed or its value could not
// be decoded.
type Item struct {
	Key      string
	Era      uint64
	Revision uint64
	Removed  bool
	Config   *Config
	// UnreadableConfig is true for a configuration that could not be decoded.
	UnreadableConfig bool
	Target           *Target
	// Sequence numbers the registrations of one incarnation of Target, 0 if the
	// target does not report it.
	Sequence uint64
	Adapter  *AdapterVersion
}

// Position returns the place of the change in the history of the store.
func (i Item) Position() Position { return Position{Era: i.Era, Revision: i.Revision} }

// AdapterVersion announces a version of an adapter.
type AdapterVersion struct {
	AdapterKey
	Version int
}

// View is the published state at one moment. It does not change.
type View struct {
	Config *Config
	// UnreadableConfig is the position of a configuration that is newer than Config and could
	// not be decoded, zero if there is none. What it adds and takes away is not known.
	UnreadableConfig Position
	// Targets holds the targets by ID, Pools those of each pool, sorted by ID.
	Targets map[string]*Target
	Pools   map[string][]*Target
	// Versions holds the newest announced version of each adapter.
	Versions map[AdapterKey]int
}

// record holds the newest change of one key.
type record struct {
	position Position
	target   *Target
	last     registration
	// deferredAt is when the removal of target was merged, if it is deferred; otherwise zero.
	deferredAt time.Time
	// operators is true if the operator wrote the key, and valueBytes is the length of the
	// encoded value that the owner of the catalog keeps.
	operators  bool
	valueBytes int64
}

// Catalog merges changes. It may be used by one goroutine only, its views by
// any.
type Catalog struct {
	records map[string]*record
	// config is the configuration in force, written at configAt. unreadableConfig is that of View.
	config           *Config
	configAt         Position
	unreadableConfig Position
	versions         map[AdapterKey]int
	view             *View
	// eraStart is the position at which the whole state of the newest era was known
	// first.
	eraStart Position
	// outageEndedAt is when the last outage of the store ended in which registrations may have
	// expired, zero if there was none.
	outageEndedAt time.Time
	room          room
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

// OutageEnded records that the store answers after an outage in which registrations of targets
// may have expired. Those of which the removal is known then, or shortly after, are kept for
// ReregistrationGrace.
func (c *Catalog) OutageEnded(now time.Time) { c.outageEndedAt = now }

// BeginEra records that the whole state at a position of a newer era is known. If the
// catalog has the state of another era, the store was away since, so that removals are
// deferred as after any outage.
func (c *Catalog) BeginEra(now time.Time, at Position) {
	c.eraStart = at
	if len(c.records) > 0 {
		c.OutageEnded(now)
	}
}

// Position returns the position of the newest change of a key that was merged.
func (c *Catalog) Position(key string) Position {
	if r, ok := c.records[key]; ok {
		return r.position
	}
	return Position{}
}

// HasTarget reports whether a key describes a target of the view.
func (c *Catalog) HasTarget(key string) bool {
	r, ok := c.records[key]
	return ok && r.target != nil
}

// Apply merges a change. It reports whether the change is newer than the known
// state of its key and led to a new view.
//
// Configurations and adapter versions are ordered by the version that the operator
// gave them, which a restore of the store does not change: an older one from the
// copy does not replace the one in force. Other items are ordered by their position.
func (c *Catalog) Apply(now time.Time, item Item) bool {
	known, ok := c.records[item.Key]
	if !ok {
		known = &record{}
		c.records[item.Key] = known
	}
	changed := false
	known.operators = known.operators || item.Config != nil || item.UnreadableConfig || item.Adapter != nil
	switch {
	case item.Config != nil:
		changed = c.applyConfig(known, item)
	case item.Adapter != nil:
		changed = c.applyAdapter(known, item)
	case item.Era < c.eraStart.Era || !item.Position().After(known.position):
		return false
	case item.UnreadableConfig:
		known.position = item.Position()
		c.unreadableConfig, changed = item.Position(), true
	case item.Target != nil:
		changed = c.applyTarget(known, item)
	case item.Removed:
		known.position = item.Position()
		changed = c.remove(now, known)
	default:
		// The value could not be decoded, so that its target cannot be used.
		known.position = item.Position()
		changed = known.target != nil
		known.target = nil
	}
	if changed {
		c.publish()
	}
	return changed
}

func (c *Catalog) applyConfig(known *record, item Item) bool {
	changed := c.config == nil || item.Config.Version > c.config.Version || c.isRewritten(item)
	if changed {
		c.config, c.configAt = item.Config, item.Position()
	}
	if changed || item.Config.Version == c.config.Version {
		known.advance(item.Position())
	}
	if c.unreadableConfig.Revision > 0 && item.Position().After(c.unreadableConfig) {
		c.unreadableConfig, changed = Position{}, true
	}
	return changed
}

// isRewritten reports whether an item is the configuration in force, written again since in the
// same era. Its content may differ: versions are compared without their fractions.
func (c *Catalog) isRewritten(item Item) bool {
	return item.Config.Version == c.config.Version && item.Era == c.configAt.Era && item.Position().After(c.configAt)
}

func (c *Catalog) applyAdapter(known *record, item Item) bool {
	version := c.versions[item.Adapter.AdapterKey]
	if item.Adapter.Version > version {
		c.versions[item.Adapter.AdapterKey] = item.Adapter.Version
	}
	if item.Adapter.Version >= version {
		known.advance(item.Position())
	}
	return item.Adapter.Version > version
}

// advance sets the position unless it is older than the known one.
func (r *record) advance(p Position) {
	if p.After(r.position) {
		r.position = p
	}
}

// applyTarget merges a registration that is newer by its position. One that a new
// era repeats from the copy does not undo what is known of the incarnation: a target
// that drained or was removed stays so until it registers again.
func (c *Catalog) applyTarget(known *record, item Item) bool {
	// Nothing newer than the removal of an incarnation is in the copy.
	copiedAfterRemoval := known.target == nil && known.last.startedAtMS == item.Target.StartedAtMS && !item.Position().After(c.eraStart)
	if item.Era > known.position.Era && known.position.Revision > 0 && (copiedAfterRemoval || known.last.supersedes(item)) {
		if known.target == nil || known.target.Draining {
			return false
		}
		known.position = item.Position()
		known.deferredAt = time.Time{}
		return false
	}
	changed := known.target == nil || *known.target != *item.Target || !known.deferredAt.IsZero()
	known.position, known.target, known.deferredAt = item.Position(), item.Target, time.Time{}
	known.last = registration{startedAtMS: item.Target.StartedAtMS, sequence: item.Sequence, draining: item.Target.Draining}
	return changed
}

// remove merges the removal of a target and reports whether the target is
// dropped. Shortly after an outage of the store the target may have been removed
// only because it could not renew its registration. It is then kept until it had
// time to register again, unless it was draining.
func (c *Catalog) remove(now time.Time, r *record) bool {
	if r.target == nil || !r.deferredAt.IsZero() {
		return false
	}
	if c.mayReregister(now) && !r.target.Draining {
		r.deferredAt = now
		return false
	}
	r.target = nil
	return true
}

// mayReregister reports whether targets whose registrations expired in an outage of the store
// may yet register again.
func (c *Catalog) mayReregister(now time.Time) bool {
	return !c.outageEndedAt.IsZero() && now.Sub(c.outageEndedAt) < ReregistrationGrace
}

// RemoveUnregistered drops the targets that did not register again within
// ReregistrationGrace. It reports whether any was dropped.
func (c *Catalog) RemoveUnregistered(now time.Time) bool {
	if c.mayReregister(now) {
		return false
	}
	dropped := false
	for _, r := range c.records {
		if r.target != nil && !r.deferredAt.IsZero() {
			r.target, r.deferredAt = nil, time.Time{}
			dropped = true
		}
	}
	if dropped {
		c.publish()
	}
	return dropped
}

// Deferral is a removal that is not in force yet.
type Deferral struct {
	Key      string
	Position Position
	// Since is when the removal was merged, and Until when it takes effect.
	Since, Until time.Time
}

// Deferral returns the deferred removal of a key, if there is one.
func (c *Catalog) Deferral(key string) (d Deferral, ok bool) {
	r, ok := c.records[key]
	if !ok || r.target == nil || r.deferredAt.IsZero() {
		return Deferral{}, false
	}
	return Deferral{Key: key, Position: r.position, Since: r.deferredAt, Until: c.outageEndedAt.Add(ReregistrationGrace)}, true
}

// Deferrals returns all deferred removals, sorted by key.
func (c *Catalog) Deferrals() []Deferral {
	var list []Deferral
	for key := range c.records {
		if d, ok := c.Deferral(key); ok {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b Deferral) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// RemovalsFor returns removals for the targets that a complete list of keys
// does not contain. The list was read at a position and covers the keys for
// which covered returns true.
func (c *Catalog) RemovalsFor(at Position, listed map[string]bool, covered func(key string) bool) []Item {
	return c.removals(at, func(key string, r *record) bool {
		return covered(key) && !listed[key] && at.After(r.position)
	})
}

// RemovalsForEra returns removals for the targets that were not registered in the
// era of a position at which the whole state is known.
func (c *Catalog) RemovalsForEra(at Position) []Item {
	return c.removals(at, func(_ string, r *record) bool { return r.position.Era < at.Era })
}

func (c *Catalog) removals(at Position, gone func(key string, r *record) bool) []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		if r := c.records[key]; r.target != nil && gone(key, r) {
			items = append(items, Item{Key: key, Era: at.Era, Revision: at.Revision, Removed: true})
		}
	}
	return items
}

// publish replaces the view by one of the current state.
func (c *Catalog) publish() {
	v := &View{
		Config: c.config, UnreadableConfig: c.unreadableConfig, Targets: make(map[string]*Target), Pools: make(map[string][]*Target),
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
