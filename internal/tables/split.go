package tables

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
)

// poolPart is one part of the pool table. Its Pools have no targets; Targets lists
// those of pools in this or another part.
type poolPart struct {
	WeightStore *WeightStore  `json:"weight_store,omitempty"`
	Pools       []Pool        `json:"pools,omitempty"`
	Targets     []poolTargets `json:"targets,omitempty"`
}

// poolTargets lists targets of one pool.
type poolTargets struct {
	Pool    string   `json:"pool"`
	Targets []Target `json:"targets"`
}

// partOverheadBytes is reserved in a part for the JSON around its elements.
const partOverheadBytes = 256

// element is a route, pool or target, which is never split between parts.
type element struct {
	name string
	// size is the size of the encoded element in bytes.
	size int
}

// encode splits the tables into parts and fills manifest, parts and digest.
func (s *Snapshot) encode(routes []Route, pools *PoolTable) error {
	s.parts = make(map[string][]byte)
	manifest := Manifest{Revision: s.Revision}
	var err error
	if manifest.Routes, err = s.splitRoutes(routes); err != nil {
		return err
	}
	if manifest.Pools, err = s.splitPools(pools); err != nil {
		return err
	}
	if s.manifest, err = json.Marshal(manifest); err != nil {
		return result.Wrap(result.Internal, err)
	}
	s.Digest = digestOf(s.manifest)
	_, err = ParseManifest(s.manifest)
	return err
}

func (s *Snapshot) splitRoutes(routes []Route) ([]PartRef, error) {
	elements := make([]element, len(routes))
	for i := range routes {
		elements[i] = element{name: routes[i].Match(), size: encodedSize(routes[i])}
	}
	return s.addParts(elements, func(from, to int) any { return RouteTable{Routes: routes[from:to]} })
}

func (s *Snapshot) splitPools(table *PoolTable) ([]PartRef, error) {
	pools := make([]Pool, len(table.Pools))
	elements := make([]element, len(pools))
	for i, p := range table.Pools {
		p.Targets = []Target{}
		pools[i] = p
		elements[i] = element{name: p.Name, size: encodedSize(p)}
	}
	refs, err := s.addParts(elements, func(from, to int) any {
		part := poolPart{Pools: pools[from:to]}
		if from == 0 {
			part.WeightStore = &table.WeightStore
		}
		return part
	})
	if err != nil {
		return nil, err
	}
	targets, err := s.splitTargets(table.Pools)
	return append(refs, targets...), err
}

func (s *Snapshot) splitTargets(pools []Pool) ([]PartRef, error) {
	type poolTarget struct {
		pool   string
		target Target
	}
	var allTargets []poolTarget
	var elements []element
	for _, p := range pools {
		for i, t := range p.Targets {
			size := encodedSize(t)
			if i == 0 {
				size += partOverheadBytes + len(p.Name)
			}
			allTargets = append(allTargets, poolTarget{p.Name, t})
			elements = append(elements, element{name: p.Name + "\n" + t.Name, size: size})
		}
	}
	return s.addParts(elements, func(from, to int) any {
		var part poolPart
		for _, m := range allTargets[from:to] {
			last := len(part.Targets) - 1
			if last < 0 || part.Targets[last].Pool != m.pool {
				part.Targets = append(part.Targets, poolTargets{Pool: m.pool})
				last++
			}
			part.Targets[last].Targets = append(part.Targets[last].Targets, m.target)
		}
		return part
	})
}

// addParts splits sorted elements into parts and adds the parts to the snapshot.
// part returns the part of the elements in the half-open range. Boundaries depend
// on the names of the elements (content-defined chunking), so that an insertion or
// removal changes few parts.
func (s *Snapshot) addParts(elements []element, part func(from, to int) any) ([]PartRef, error) {
	var refs []PartRef
	from, size := 0, 0
	flush := func(to int) error {
		if from == to {
			return nil
		}
		ref, err := s.addPart(part(from, to))
		refs = append(refs, ref)
		from, size = to, 0
		return err
	}
	for i, e := range elements {
		if size+e.size > MaxPartBytes-2*partOverheadBytes || (size > MaxPartBytes/4 && isBoundary(e.name)) {
			if err := flush(i); err != nil {
				return nil, err
			}
		}
		size += e.size
	}
	return refs, flush(len(elements))
}

// isBoundary reports whether a part that is more than a quarter full ends before
// the element with that name. It is true for about one name in 64.
func isBoundary(name string) bool {
	h := fnv.New64a()
	h.Write([]byte(name))
	sum := h.Sum64()
	return (sum^sum>>32)&63 == 0
}

// encodedSize returns the size in bytes of v as JSON with a comma after it.
func encodedSize(v any) int {
	data, _ := json.Marshal(v)
	return len(data) + 1
}

func (s *Snapshot) addPart(v any) (PartRef, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return PartRef{}, result.Wrap(result.Internal, err)
	}
	if len(data) > MaxPartBytes {
		return PartRef{}, result.Newf(result.ValueTooLarge, "part of %d bytes, limit %d", len(data), MaxPartBytes)
	}
	key := partKey(data)
	s.parts[key] = data
	return PartRef{Key: key, Size: len(data)}, nil
}

// normalize returns copies of the tables, sorted as in parts: routes by match,
// pools and targets by name. The order in a file has no meaning.
func normalize(routes *RouteTable, pools *PoolTable) ([]Route, *PoolTable) {
	sorted := slices.Clone(routes.Routes)
	if !slices.IsSortedFunc(sorted, compareRoutes) {
		slices.SortFunc(sorted, compareRoutes)
	}
	shared := make(map[string]string)
	for i := range sorted {
		r := &sorted[i]
		r.Pool, r.Class, r.Version = intern(shared, r.Pool), intern(shared, r.Class), intern(shared, r.Version)
	}
	table := &PoolTable{WeightStore: pools.WeightStore, Pools: slices.Clone(pools.Pools)}
	slices.SortFunc(table.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for i := range table.Pools {
		p := &table.Pools[i]
		p.Classes, p.Targets = slices.Clone(p.Classes), slices.Clone(p.Targets)
		slices.SortFunc(p.Targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	}
	return sorted, table
}

// compareRoutes compares routes by Match without allocating the strings.
func compareRoutes(a, b Route) int {
	if (a.Model == "") != (b.Model == "") {
		return boolToInt(a.Model == "") - boolToInt(b.Model == "")
	}
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Path, b.Path))
}

// intern returns the same string value for equal strings, to save memory:
// thousands of routes share a few pools, classes and versions.
func intern(shared map[string]string, s string) string {
	if first, ok := shared[s]; ok {
		return first
	}
	shared[s] = s
	return s
}
