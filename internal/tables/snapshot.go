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

// Snapshot is one accepted pair of tables. It is immutable and may be read
// by any goroutine.
type Snapshot struct {
	Revision uint64
	// Digest identifies the content, also between snapshots that carry the
	// same revision.
	Digest uint64

	manifest []byte
	parts    map[string][]byte
	routes   []Route
	rows     []Pool
	// spans finds the routes of a part; it is nil if parts were not sorted.
	spans   map[string]span
	byModel map[string]*Route
	byPath  []*Route
	pools   map[string]*Pool
	digests map[string]uint64
	store   WeightStore
	members []string
}

// Build joins a route table and a pool table, which it copies. It returns all
// faults that it finds, each with a code.
func Build(revision uint64, routes *RouteTable, pools *PoolTable) (*Snapshot, []error) {
	if revision == 0 {
		return nil, []error{result.New(result.MalformedTable, "revision 0 means no snapshot; revisions start at 1")}
	}
	if faults := Validate(routes, pools); len(faults) > 0 {
		return nil, faults
	}
	s := index(revision, routes, pools)
	if err := s.encode(s.routes, &PoolTable{WeightStore: s.store, Pools: s.rows}); err != nil {
		return nil, []error{err}
	}
	return s, nil
}

// index copies valid tables and prepares the lookups.
func index(revision uint64, routes *RouteTable, pools *PoolTable) *Snapshot {
	sorted, table := normalize(routes, pools)
	s := &Snapshot{
		Revision: revision,
		routes:   sorted,
		rows:     table.Pools,
		byModel:  make(map[string]*Route, len(sorted)),
		pools:    make(map[string]*Pool, len(table.Pools)),
		digests:  make(map[string]uint64, len(table.Pools)),
		store:    table.WeightStore,
	}
	for i := range s.rows {
		s.addPool(&s.rows[i])
	}
	slices.Sort(s.members)
	for i := range s.routes {
		route := &s.routes[i]
		if route.Model != "" {
			s.byModel[route.Model] = route
		} else {
			s.byPath = append(s.byPath, route)
		}
	}
	// The longest prefix goes first, so that a lookup takes the first match.
	slices.SortStableFunc(s.byPath, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
	return s
}

func (s *Snapshot) addPool(pool *Pool) {
	s.pools[pool.Name] = pool
	s.digests[pool.Name] = targetDigest(pool)
	if pool.Kind != KindEngine {
		return
	}
	for _, t := range pool.Targets {
		s.members = append(s.members, t.Name)
	}
}

// targetDigest covers what decides the home of a key: the names of the
// targets, sorted, and whether they drain.
func targetDigest(pool *Pool) uint64 {
	h := sha256.New()
	for _, t := range pool.Targets {
		fmt.Fprintf(h, "%q %t\n", t.Name, t.Draining)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// RouteModel returns the route of a completion request.
func (s *Snapshot) RouteModel(model string) (*Route, bool) {
	r, ok := s.byModel[model]
	return r, ok
}

// RoutePath returns the route with the longest matching path prefix.
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

// Routes returns the number of routes.
func (s *Snapshot) Routes() int { return len(s.routes) }

// Tables returns the two tables, sorted. They must not be changed.
func (s *Snapshot) Tables() (*RouteTable, *PoolTable) {
	return &RouteTable{Routes: s.routes}, &PoolTable{WeightStore: s.store, Pools: s.rows}
}

// PoolDigest identifies the target list of a pool.
func (s *Snapshot) PoolDigest(name string) uint64 { return s.digests[name] }

// LoadMembers returns the sorted names of all engine targets, which share the
// weight store's budget.
func (s *Snapshot) LoadMembers() []string { return s.members }

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

// PoolRowJSON returns the row of a pool as PoolUpdate carries it.
func (s *Snapshot) PoolRowJSON(name string) ([]byte, error) {
	pool, ok := s.pools[name]
	if !ok {
		return nil, result.Newf(result.DanglingName, "no pool %q", name)
	}
	return json.Marshal(PoolRow{Pool: *pool, WeightStore: s.store})
}
