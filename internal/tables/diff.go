package tables

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// Change is one difference between two snapshots.
type Change struct {
	// Kind is a heading such as "route added" or "version changed".
	Kind string `json:"kind"`
	// Name is the match of a route, or pool/target, or a pool.
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Kinds of changes, in the order of a report.
const (
	RouteAdded       = "route added"
	RouteRemoved     = "route removed"
	VersionChanged   = "version changed"
	PoolChanged      = "pool changed"
	RouteChanged     = "route changed"
	PoolAdded        = "pool added"
	PoolRemoved      = "pool removed"
	PoolEdited       = "pool settings changed"
	TargetAdded      = "target added"
	TargetRemoved    = "target removed"
	TargetDraining   = "target draining"
	TargetServing    = "target serving again"
	TargetEdited     = "target changed"
	WeightStoreEdits = "weight store changed"
)

// Changes is the difference between two snapshots.
type Changes struct {
	List []Change `json:"changes"`
	// Adapters counts the adapters that both snapshots have in the same pool.
	Adapters int `json:"adapters"`
	// Moved counts those whose first rank that is not draining is another
	// target. Each costs one load when it is next used.
	Moved int `json:"first_rank_moved"`
}

// MovedShare returns Moved as a share of Adapters.
func (c *Changes) MovedShare() float64 {
	if c.Adapters == 0 {
		return 0
	}
	return float64(c.Moved) / float64(c.Adapters)
}

func (c *Changes) add(kind, name, before, after string) {
	c.List = append(c.List, Change{Kind: kind, Name: name, Before: before, After: after})
}

// edited adds a change of a field if its values differ.
func (c *Changes) edited(kind, name, field string, before, after any) {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if b != a {
		c.add(kind, name, field+" "+b, field+" "+a)
	}
}

// Diff returns what changes from a to b, sorted by kind and name.
func Diff(a, b *Snapshot) *Changes {
	c := &Changes{}
	compare(byMatch(a), byMatch(b),
		func(name string, r Route) { c.add(RouteAdded, name, "", describe(r)) },
		func(name string, r Route) { c.add(RouteRemoved, name, describe(r), "") },
		c.diffRoute)
	compare(a.pools, b.pools,
		func(name string, p *Pool) { c.add(PoolAdded, name, "", fmt.Sprintf("%d targets", len(p.Targets))) },
		func(name string, p *Pool) { c.add(PoolRemoved, name, fmt.Sprintf("%d targets", len(p.Targets)), "") },
		c.diffPool)
	c.edited(WeightStoreEdits, "weight_store", "loads_per_second", a.store.LoadsPerSecond, b.store.LoadsPerSecond)
	c.edited(WeightStoreEdits, "weight_store", "max_in_flight", a.store.MaxInFlight, b.store.MaxInFlight)
	c.edited(WeightStoreEdits, "weight_store", "load_ms", a.store.LoadMS, b.store.LoadMS)
	c.countMoved(a, b)
	order := []string{RouteAdded, RouteRemoved, VersionChanged, PoolChanged, RouteChanged, PoolAdded, PoolRemoved,
		PoolEdited, TargetAdded, TargetRemoved, TargetDraining, TargetServing, TargetEdited, WeightStoreEdits}
	slices.SortStableFunc(c.List, func(x, y Change) int {
		if x.Kind != y.Kind {
			return slices.Index(order, x.Kind) - slices.Index(order, y.Kind)
		}
		return strings.Compare(x.Name, y.Name)
	})
	return c
}

func byMatch(s *Snapshot) map[string]Route {
	m := make(map[string]Route, len(s.routes))
	for _, r := range s.routes {
		m[r.Match()[2:]] = r
	}
	return m
}

// compare calls one function for each name of either map.
func compare[V any](a, b map[string]V, added, removed func(string, V), both func(string, V, V)) {
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

func describe(r Route) string {
	if r.Adapter == "" {
		return "pool " + r.Pool + ", class " + r.Class
	}
	return fmt.Sprintf("adapter %s@%s, pool %s, class %s", r.Adapter, r.Version, r.Pool, r.Class)
}

func (c *Changes) diffRoute(name string, a, b Route) {
	c.edited(VersionChanged, name, "version", a.Version, b.Version)
	c.edited(PoolChanged, name, "pool", a.Pool, b.Pool)
	c.edited(RouteChanged, name, "adapter", a.Adapter, b.Adapter)
	c.edited(RouteChanged, name, "class", a.Class, b.Class)
	c.edited(RouteChanged, name, "repeatable", a.Repeatable, b.Repeatable)
}

func (c *Changes) diffPool(name string, a, b *Pool) {
	c.edited(PoolEdited, name, "kind", a.Kind, b.Kind)
	c.edited(PoolEdited, name, "base_model", a.BaseModel, b.BaseModel)
	c.edited(PoolEdited, name, "slots", a.Slots, b.Slots)
	c.edited(PoolEdited, name, "max_running", a.MaxRunning, b.MaxRunning)
	c.edited(PoolEdited, name, "queue_limit", a.QueueLimit, b.QueueLimit)
	c.edited(PoolEdited, name, "long_share", a.LongShare, b.LongShare)
	c.edited(PoolEdited, name, "classes", a.Classes, b.Classes)
	compare(targetsByName(a), targetsByName(b),
		func(t string, row Target) { c.add(TargetAdded, name+"/"+t, "", row.Address+" in "+row.FailureDomain) },
		func(t string, row Target) { c.add(TargetRemoved, name+"/"+t, row.Address+" in "+row.FailureDomain, "") },
		func(t string, before, after Target) { c.diffTarget(name+"/"+t, before, after) })
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
	c.edited(TargetEdited, name, "address", a.Address, b.Address)
	c.edited(TargetEdited, name, "failure_domain", a.FailureDomain, b.FailureDomain)
}

// countMoved compares the first rank of each adapter. A pool whose targets
// and base model are unchanged moves none.
func (c *Changes) countMoved(a, b *Snapshot) {
	before, after := adaptersByPool(a), adaptersByPool(b)
	for name, adapters := range before {
		kept := maps.Clone(adapters)
		maps.DeleteFunc(kept, func(adapter string, _ bool) bool { return !after[name][adapter] })
		c.Adapters += len(kept)
		p, q := a.pools[name], b.pools[name]
		if q == nil || (a.digests[name] == b.digests[name] && p.BaseModel == q.BaseModel) {
			continue
		}
		was, is := newFirstRanks(p), newFirstRanks(q)
		for adapter := range kept {
			if was.of(adapter) != is.of(adapter) {
				c.Moved++
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

type firstRanks struct {
	pool   *Pool
	ranker *placement.Ranker
	depth  int
}

func newFirstRanks(p *Pool) *firstRanks {
	f := &firstRanks{pool: p, ranker: placement.NewRanker(PlacementTargets(p)), depth: 1}
	for _, t := range p.Targets {
		if t.Draining {
			f.depth++
		}
	}
	return f
}

// of returns the first target in rank order that is not draining.
func (f *firstRanks) of(adapter string) string {
	for _, i := range f.ranker.Rank(PlacementKey(f.pool, adapter), f.depth) {
		if !f.pool.Targets[i].Draining {
			return f.pool.Targets[i].Name
		}
	}
	return ""
}

// PlacementTargets returns the targets of a pool as placement ranks them.
func PlacementTargets(p *Pool) []placement.Target {
	list := make([]placement.Target, len(p.Targets))
	for i, t := range p.Targets {
		list[i] = placement.Target{Name: t.Name, FailureDomain: t.FailureDomain}
	}
	return list
}

// HomeTargets returns the targets that are homes of idempotency keys: those
// that do not drain, or all if every one does. Entries and target processes
// must use the same list.
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

// PlacementKey is the key by which an adapter is ranked in a pool.
func PlacementKey(p *Pool, adapter string) string { return p.BaseModel + "/" + adapter }
