package tables

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// Change is one difference between two snapshots, in terms of the tables.
type Change struct {
	// Kind is a heading such as "route added" or "version changed".
	Kind string `json:"kind"`
	// Name is the model or path of a route, the name of a pool, or
	// "pool/target". It is "weight_store" for the weight store.
	Name string `json:"name"`
	// Before and After describe the old and the new value. Before is empty
	// for an addition, After for a removal.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Kinds of changes, in the order in which Diff sorts them.
const (
	RouteAdded          = "route added"
	RouteRemoved        = "route removed"
	RouteVersionChanged = "version changed"
	RoutePoolChanged    = "pool changed"
	RouteChanged        = "route changed"
	PoolAdded           = "pool added"
	PoolRemoved         = "pool removed"
	PoolSettingsChanged = "pool settings changed"
	TargetAdded         = "target added"
	TargetRemoved       = "target removed"
	TargetDraining      = "target draining"
	TargetServing       = "target serving again"
	TargetChanged       = "target changed"
	WeightStoreChanged  = "weight store changed"
)

// Changes is the difference between two snapshots.
type Changes struct {
	List []Change `json:"changes"`
	// Adapters counts the adapters that both snapshots route to the same pool.
	Adapters int `json:"adapters"`
	// FirstRankMoved counts the adapters of Adapters whose first-ranked target
	// that is not draining differs. Each costs one adapter load at its next
	// request.
	FirstRankMoved int `json:"first_rank_moved"`
}

// MovedShare returns FirstRankMoved as a share of Adapters.
func (c *Changes) MovedShare() float64 {
	if c.Adapters == 0 {
		return 0
	}
	return float64(c.FirstRankMoved) / float64(c.Adapters)
}

func (c *Changes) add(kind, name, before, after string) {
	c.List = append(c.List, Change{Kind: kind, Name: name, Before: before, After: after})
}

// addIfDifferent adds a change of a field if its two values differ as text.
func (c *Changes) addIfDifferent(kind, name, field string, before, after any) {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if b != a {
		c.add(kind, name, field+" "+b, field+" "+a)
	}
}

// Diff returns what changes from a to b, sorted by kind and name.
func Diff(a, b *Snapshot) *Changes {
	c := &Changes{}
	diffMaps(routesByMatch(a), routesByMatch(b),
		func(name string, r Route) { c.add(RouteAdded, name, "", describeRoute(r)) },
		func(name string, r Route) { c.add(RouteRemoved, name, describeRoute(r), "") },
		c.diffRoute)
	diffMaps(a.pools, b.pools,
		func(name string, p *Pool) { c.add(PoolAdded, name, "", fmt.Sprintf("%d targets", len(p.Targets))) },
		func(name string, p *Pool) { c.add(PoolRemoved, name, fmt.Sprintf("%d targets", len(p.Targets)), "") },
		c.diffPool)
	c.addIfDifferent(WeightStoreChanged, "weight_store", "loads_per_second", a.store.LoadsPerSecond, b.store.LoadsPerSecond)
	c.addIfDifferent(WeightStoreChanged, "weight_store", "max_in_flight", a.store.MaxInFlight, b.store.MaxInFlight)
	c.addIfDifferent(WeightStoreChanged, "weight_store", "load_ms", a.store.LoadMS, b.store.LoadMS)
	c.countMoved(a, b)
	order := []string{RouteAdded, RouteRemoved, RouteVersionChanged, RoutePoolChanged, RouteChanged, PoolAdded, PoolRemoved,
		PoolSettingsChanged, TargetAdded, TargetRemoved, TargetDraining, TargetServing, TargetChanged, WeightStoreChanged}
	slices.SortStableFunc(c.List, func(x, y Change) int {
		if x.Kind != y.Kind {
			return slices.Index(order, x.Kind) - slices.Index(order, y.Kind)
		}
		return strings.Compare(x.Name, y.Name)
	})
	return c
}

// routesByMatch returns the routes by model or path, without the prefix of
// Route.Match.
func routesByMatch(s *Snapshot) map[string]Route {
	m := make(map[string]Route, len(s.routes))
	for _, r := range s.routes {
		m[r.Match()[2:]] = r
	}
	return m
}

// diffMaps calls added for each key that only b has, removed for each that only a
// has, and both for each key that both have.
func diffMaps[V any](a, b map[string]V, added, removed func(string, V), both func(string, V, V)) {
	for name, after := range b {
		if before, ok := a[name]; ok {
			both(name, before, after)
		} else {
			added(name, after)
		}
	}
	for name, before := range a {
		if _, ok := b[name]; !ok {
			removed(name, before)
		}
	}
}

// describeRoute returns the adapter, pool and class of a route for Change.Before and
// Change.After.
func describeRoute(r Route) string {
	if r.Adapter == "" {
		return "pool " + r.Pool + ", class " + r.Class
	}
	return fmt.Sprintf("adapter %s@%s, pool %s, class %s", r.Adapter, r.Version, r.Pool, r.Class)
}

func (c *Changes) diffRoute(name string, a, b Route) {
	c.addIfDifferent(RouteVersionChanged, name, "version", a.Version, b.Version)
	c.addIfDifferent(RoutePoolChanged, name, "pool", a.Pool, b.Pool)
	c.addIfDifferent(RouteChanged, name, "adapter", a.Adapter, b.Adapter)
	c.addIfDifferent(RouteChanged, name, "class", a.Class, b.Class)
	c.addIfDifferent(RouteChanged, name, "repeatable", a.Repeatable, b.Repeatable)
}

func (c *Changes) diffPool(name string, a, b *Pool) {
	c.addIfDifferent(PoolSettingsChanged, name, "kind", a.Kind, b.Kind)
	c.addIfDifferent(PoolSettingsChanged, name, "base_model", a.BaseModel, b.BaseModel)
	c.addIfDifferent(PoolSettingsChanged, name, "slots", a.Slots, b.Slots)
	c.addIfDifferent(PoolSettingsChanged, name, "max_running", a.MaxRunning, b.MaxRunning)
	c.addIfDifferent(PoolSettingsChanged, name, "queue_limit", a.QueueLimit, b.QueueLimit)
	c.addIfDifferent(PoolSettingsChanged, name, "long_share", a.LongShare, b.LongShare)
	c.addIfDifferent(PoolSettingsChanged, name, "classes", a.Classes, b.Classes)
	diffMaps(targetsByName(a), targetsByName(b),
		func(id string, t Target) { c.add(TargetAdded, name+"/"+id, "", t.Address+" in "+t.FailureDomain) },
		func(id string, t Target) { c.add(TargetRemoved, name+"/"+id, t.Address+" in "+t.FailureDomain, "") },
		func(id string, before, after Target) { c.diffTarget(name+"/"+id, before, after) })
}

func targetsByName(p *Pool) map[string]Target {
	m := make(map[string]Target, len(p.Targets))
	for _, t := range p.Targets {
		m[t.Name] = t
	}
	return m
}

func (c *Changes) diffTarget(name string, a, b Target) {
	if b.Draining && !a.Draining {
		c.add(TargetDraining, name, "", "")
	}
	if a.Draining && !b.Draining {
		c.add(TargetServing, name, "", "")
	}
	c.addIfDifferent(TargetChanged, name, "address", a.Address, b.Address)
	c.addIfDifferent(TargetChanged, name, "failure_domain", a.FailureDomain, b.FailureDomain)
}

// countMoved counts the adapters of Changes.Adapters and of
// Changes.FirstRankMoved. It counts none as moved in a pool whose target list
// digest and base model are unchanged.
func (c *Changes) countMoved(a, b *Snapshot) {
	before, after := adaptersByPool(a), adaptersByPool(b)
	for name, adapters := range before {
		inBoth := maps.Clone(adapters)
		maps.DeleteFunc(inBoth, func(adapter string, _ bool) bool { return !after[name][adapter] })
		c.Adapters += len(inBoth)
		p, q := a.pools[name], b.pools[name]
		if q == nil || (a.digests[name] == b.digests[name] && p.BaseModel == q.BaseModel) {
			continue
		}
		oldRanks, newRanks := newFirstRankFinder(p), newFirstRankFinder(q)
		for adapter := range inBoth {
			if oldRanks.find(adapter) != newRanks.find(adapter) {
				c.FirstRankMoved++
			}
		}
	}
}

func adaptersByPool(s *Snapshot) map[string]map[string]bool {
	pools := make(map[string]map[string]bool)
	for _, r := range s.routes {
		if r.Adapter == "" {
			continue
		}
		if pools[r.Pool] == nil {
			pools[r.Pool] = make(map[string]bool)
		}
		pools[r.Pool][r.Adapter] = true
	}
	return pools
}

// firstRankFinder finds, for the adapters of a pool, the first-ranked target that
// is not draining.
type firstRankFinder struct {
	pool   *Pool
	ranker *placement.Ranker
	// depth is one more than the number of draining targets, so that the
	// first depth ranks hold a target that is not draining if there is one.
	depth int
}

func newFirstRankFinder(p *Pool) *firstRankFinder {
	f := &firstRankFinder{pool: p, ranker: placement.NewRanker(PlacementTargets(p)), depth: 1}
	for _, t := range p.Targets {
		if t.Draining {
			f.depth++
		}
	}
	return f
}

// find returns the name of the first target in rank order that is not
// draining, or an empty string if all drain.
func (f *firstRankFinder) find(adapter string) string {
	for _, i := range f.ranker.Rank(PlacementKey(f.pool, adapter), f.depth) {
		if !f.pool.Targets[i].Draining {
			return f.pool.Targets[i].Name
		}
	}
	return ""
}

// PlacementTargets returns the targets of a pool, in the same order, in the form
// that package placement ranks.
func PlacementTargets(p *Pool) []placement.Target {
	list := make([]placement.Target, len(p.Targets))
	for i, t := range p.Targets {
		list[i] = placement.Target{Name: t.Name, FailureDomain: t.FailureDomain}
	}
	return list
}

// HomeTargets returns the targets that can be the home of an idempotency key,
// which is the only target that runs calls with that key. They are the targets
// that are not draining, or all targets if every one is draining. Entries and
// target processes must use the same list.
func HomeTargets(p *Pool) []placement.Target {
	var list []placement.Target
	for i, t := range PlacementTargets(p) {
		if !p.Targets[i].Draining {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return PlacementTargets(p)
	}
	return list
}

// PlacementKey returns the hash key by which the targets of a pool are ranked for
// an adapter.
func PlacementKey(p *Pool, adapter string) string { return p.BaseModel + "/" + adapter }
