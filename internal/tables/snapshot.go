package tables

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

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
	byModel  map[string]*Route
	byPath   []*Route
	pools    map[string]*Pool
	digests  map[string]uint64
	store    WeightStore
	members  []string
}

// Build joins a route table and a pool table. It returns all faults that it
// finds, each with a code.
func Build(revision uint64, routes *RouteTable, pools *PoolTable) (*Snapshot, []error) {
	if faults := Validate(routes, pools); len(faults) > 0 {
		return nil, faults
	}
	s := &Snapshot{
		Revision: revision,
		byModel:  make(map[string]*Route, len(routes.Routes)),
		pools:    make(map[string]*Pool, len(pools.Pools)),
		digests:  make(map[string]uint64, len(pools.Pools)),
		store:    pools.WeightStore,
	}
	for i := range pools.Pools {
		s.addPool(&pools.Pools[i])
	}
	slices.Sort(s.members)
	for i := range routes.Routes {
		route := &routes.Routes[i]
		if route.Model != "" {
			s.byModel[route.Model] = route
		} else {
			s.byPath = append(s.byPath, route)
		}
	}
	// The longest prefix goes first, so that a lookup takes the first match.
	slices.SortFunc(s.byPath, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
	return s, s.encode(routes, pools)
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
// targets and whether they drain.
func targetDigest(pool *Pool) uint64 {
	h := sha256.New()
	for _, t := range pool.Targets {
		h.Write([]byte(t.Name))
		if t.Draining {
			h.Write([]byte{1})
		}
		h.Write([]byte{0})
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
func (s *Snapshot) Routes() int { return len(s.byModel) + len(s.byPath) }

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

// DecodeStrict parses JSON with comments into v and refuses unknown fields.
func DecodeStrict(data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return result.Wrap(result.MalformedTable, err)
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return result.Wrap(result.MalformedTable, err)
	}
	return nil
}
