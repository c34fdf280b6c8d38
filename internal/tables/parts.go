package tables

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// ManifestKey is the key of the manifest in the configuration service.
	ManifestKey = "agate/manifest"
	partPrefix  = "agate/part/"
	// MaxPart is the largest part in bytes. Small parts keep the cost of a
	// small change low: one manifest and one part.
	MaxPart = 32 << 10
	// MaxValue is the platform's limit for one value in bytes.
	MaxValue = 1 << 20
	// MaxTables is the limit in bytes for all parts of a snapshot.
	MaxTables = 16 << 20
)

// encode splits the tables into parts and fills manifest, parts and digest.
func (s *Snapshot) encode(routes *RouteTable, pools *PoolTable) []error {
	s.parts = make(map[string][]byte)
	manifest := Manifest{Revision: s.Revision}
	var err error
	if manifest.Routes, err = s.splitRoutes(routes.Routes); err != nil {
		return []error{err}
	}
	if manifest.Pools, err = s.addPart(pools); err != nil {
		return []error{err}
	}
	if s.manifest, err = json.Marshal(manifest); err != nil {
		return []error{result.Wrap(result.Internal, err)}
	}
	if len(s.manifest) > MaxValue {
		return []error{result.Newf(result.ValueTooLarge, "manifest of %d bytes", len(s.manifest))}
	}
	s.Digest = digestOf(s.manifest)
	return nil
}

// splitRoutes cuts the routes, sorted by match, into parts at boundaries that
// depend on a route's own name only, so that an insertion moves no other cut.
func (s *Snapshot) splitRoutes(routes []Route) ([]PartRef, error) {
	sorted := slices.Clone(routes)
	slices.SortFunc(sorted, func(a, b Route) int { return strings.Compare(a.match(), b.match()) })
	var refs []PartRef
	var current []Route
	size := 0
	flush := func() error {
		if len(current) == 0 {
			return nil
		}
		ref, err := s.addPart(RouteTable{Routes: current})
		refs = append(refs, ref...)
		current, size = nil, 0
		return err
	}
	for _, r := range sorted {
		length := r.encodedSize()
		if size+length > MaxPart || (size > MaxPart/4 && isCut(r.match())) {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		current = append(current, r)
		size += length
	}
	return refs, flush()
}

// isCut is true for about one name in 64.
func isCut(name string) bool {
	sum := sha256.Sum256([]byte(name))
	return sum[0]&63 == 0
}

func (r *Route) match() string {
	if r.Model != "" {
		return "m:" + r.Model
	}
	return "p:" + r.Path
}

func (r *Route) encodedSize() int {
	data, _ := json.Marshal(r)
	return len(data) + 1
}

func (s *Snapshot) addPart(v any) ([]PartRef, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	if len(data) > MaxValue {
		return nil, result.Newf(result.ValueTooLarge, "part of %d bytes, limit %d", len(data), MaxValue)
	}
	key := partKey(data)
	s.parts[key] = data
	return []PartRef{{Key: key, Size: len(data)}}, nil
}

func partKey(data []byte) string {
	sum := sha256.Sum256(data)
	return partPrefix + hex.EncodeToString(sum[:16])
}

func digestOf(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:])
}

// ParseManifest decodes a manifest and checks its sizes.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValue {
		return nil, result.Newf(result.ValueTooLarge, "manifest of %d bytes", len(data))
	}
	var m Manifest
	if err := DecodeStrict(data, &m); err != nil {
		return nil, err
	}
	if m.Revision == 0 {
		return nil, result.New(result.MalformedTable, "manifest without a revision")
	}
	total := 0
	for _, ref := range m.Refs() {
		if ref.Size <= 0 || ref.Size > MaxValue {
			return nil, result.Newf(result.ValueTooLarge, "part %s of %d bytes", ref.Key, ref.Size)
		}
		total += ref.Size
	}
	if total > MaxTables {
		return nil, result.Newf(result.ValueTooLarge, "tables of %d bytes, limit %d", total, MaxTables)
	}
	return &m, nil
}

// Refs returns all parts of the manifest.
func (m *Manifest) Refs() []PartRef {
	return append(slices.Clone(m.Routes), m.Pools...)
}

// Assemble builds a snapshot from a manifest and its parts. The snapshot is
// whole or not at all.
func Assemble(manifest []byte, parts map[string][]byte) (*Snapshot, []error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, []error{err}
	}
	for _, ref := range m.Refs() {
		data, ok := parts[ref.Key]
		if !ok || len(data) != ref.Size || partKey(data) != ref.Key {
			return nil, []error{result.Newf(result.PartMissing, "part %s", ref.Key)}
		}
	}
	var routes RouteTable
	for _, ref := range m.Routes {
		var part RouteTable
		if err := DecodeStrict(parts[ref.Key], &part); err != nil {
			return nil, []error{err}
		}
		routes.Routes = append(routes.Routes, part.Routes...)
	}
	var pools PoolTable
	for _, ref := range m.Pools {
		var part PoolTable
		if err := DecodeStrict(parts[ref.Key], &part); err != nil {
			return nil, []error{err}
		}
		pools.WeightStore = part.WeightStore
		pools.Pools = append(pools.Pools, part.Pools...)
	}
	return Build(m.Revision, &routes, &pools)
}

// CheckPart reports whether data is the part that key names.
func CheckPart(key string, data []byte) bool { return partKey(data) == key }
