package tables

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
)

// Snapshot is a valid route table and pool table of one revision. It is immutable
// and safe for concurrent use.
type Snapshot struct {
	// Revision is the operators' number of the snapshot, 1 or higher.
	Revision uint64
	// Digest is a digest of the manifest. It differs between snapshots with
	// the same revision and different content.
	Digest uint64

	manifest    []byte
	parts       map[string][]byte
	routes      []Route
	sortedPools []Pool
	// routeRanges locates the routes of a part by the part's key; it is nil if
	// the snapshot was not assembled from parts, or the routes in the parts
	// were not sorted.
	routeRanges map[string]routeRange
	byModel     map[string]*Route
	// byPath holds the longest paths first.
	byPath []*Route
	pools  map[string]*Pool
	// digests holds the targetListDigest of each pool by name.
	digests map[string]uint64
	store   WeightStore
	// engineTargets holds the sorted names of the targets of all engine pools.
	engineTargets []string
}

// Build validates the two tables and returns a snapshot of copies of them, or the
// faults, each with a result code.
func Build(revision uint64, routes *RouteTable, pools *PoolTable) (*Snapshot, []error) {
	if revision == 0 {
		return nil, []error{result.New(result.MalformedTable, "revision 0 means no snapshot; revisions start at 1")}
	}
	if faults := Validate(routes, pools); len(faults) > 0 {
		return nil, faults
	}
	s := newSnapshot(revision, routes, pools)
	if err := s.encode(s.routes, &PoolTable{WeightStore: s.store, Pools: s.sortedPools}); err != nil {
		return nil, []error{err}
	}
	return s, nil
}

// newSnapshot copies valid tables and builds the lookup maps. It leaves manifest,
// parts and digest unset.
func newSnapshot(revision uint64, routes *RouteTable, pools *PoolTable) *Snapshot {
	sorted, table := normalize(routes, pools)
	s := &Snapshot{
		Revision:    revision,
		routes:      sorted,
		sortedPools: table.Pools,
		byModel:     make(map[string]*Route, len(sorted)),
		pools:       make(map[string]*Pool, len(table.Pools)),
		digests:     make(map[string]uint64, len(table.Pools)),
		store:       table.WeightStore,
	}
	for i := range s.sortedPools {
		s.addPool(&s.sortedPools[i])
	}
	slices.Sort(s.engineTargets)
	for i := range s.routes {
		route := &s.routes[i]
		if route.Model != "" {
			s.byModel[route.Model] = route
		} else {
			s.byPath = append(s.byPath, route)
		}
	}
	// Longest path first, so that a lookup takes the first match.
	slices.SortStableFunc(s.byPath, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
	return s
}

func (s *Snapshot) addPool(pool *Pool) {
	s.pools[pool.Name] = pool
	s.digests[pool.Name] = targetListDigest(pool)
	if pool.Kind != KindEngine {
		return
	}
	for _, t := range pool.Targets {
		s.engineTargets = append(s.engineTargets, t.Name)
	}
}

// targetListDigest covers what determines the home of an idempotency key: the
// sorted names of the targets and which of them are draining.
func targetListDigest(pool *Pool) uint64 {
	h := sha256.New()
	for _, t := range pool.Targets {
		fmt.Fprintf(h, "%q %t\n", t.Name, t.Draining)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// RouteModel returns the route for the "model" field of a completion request.
func (s *Snapshot) RouteModel(model string) (*Route, bool) {
	r, ok := s.byModel[model]
	return r, ok
}

// RoutePath returns the route with the longest path that matches.
func (s *Snapshot) RoutePath(path string) (*Route, bool) {
	for _, r := range s.byPath {
		rest, ok := strings.CutPrefix(path, r.Path)
		if ok && (rest == "" || strings.HasSuffix(r.Path, "/") || rest[0] == '/') {
			return r, true
		}
	}
	return nil, false
}

// Pool returns the pool with that name.
func (s *Snapshot) Pool(name string) (*Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns the pools by name. The map must not be changed.
func (s *Snapshot) Pools() map[string]*Pool { return s.pools }

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int { return len(s.routes) }

// Tables returns the two tables, sorted by match and by name. They must not be
// changed.
func (s *Snapshot) Tables() (*RouteTable, *PoolTable) {
	return &RouteTable{Routes: s.routes}, &PoolTable{WeightStore: s.store, Pools: s.sortedPools}
}

// TargetListDigest returns a digest of the names of a pool's targets and of
// which of them are draining. It changes when the home of an idempotency key
// can change.
func (s *Snapshot) TargetListDigest(name string) uint64 { return s.digests[name] }

// EngineTargets returns the sorted names of all engine targets, which share the
// weight store's limits.
func (s *Snapshot) EngineTargets() []string { return s.engineTargets }

// WeightStore returns the limits of the weight store.
func (s *Snapshot) WeightStore() WeightStore { return s.store }

// Manifest returns the encoded manifest.
func (s *Snapshot) Manifest() []byte { return s.manifest }

// Part returns an encoded part by its key.
func (s *Snapshot) Part(key string) ([]byte, bool) {
	data, ok := s.parts[key]
	return data, ok
}

// Parts returns all encoded parts by key. The map must not be changed.
func (s *Snapshot) Parts() map[string][]byte { return s.parts }

// PoolRowJSON returns the PoolRow of a pool as a PoolUpdate message contains it.
func (s *Snapshot) PoolRowJSON(name string) ([]byte, error) {
	pool, ok := s.pools[name]
	if !ok {
		return nil, result.Newf(result.DanglingName, "no pool %q", name)
	}
	return json.Marshal(PoolRow{Pool: *pool, WeightStore: s.store})
}
