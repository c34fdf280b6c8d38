package tables

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
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
	// MaxManifest is the largest manifest in bytes. It fits into one message
	// between processes and names about 3,600 parts.
	MaxManifest = 256 << 10
	// MaxTables is the limit in bytes for all parts of a snapshot.
	MaxTables = 16 << 20

	partKeyBytes = 16
)

func partKey(data []byte) string {
	sum := sha256.Sum256(data)
	return partPrefix + hex.EncodeToString(sum[:partKeyBytes])
}

func digestOf(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:])
}

// ParseManifest decodes a manifest and checks its keys and sizes.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxManifest {
		return nil, result.Newf(result.ValueTooLarge, "manifest of %d bytes, limit %d", len(data), MaxManifest)
	}
	var m Manifest
	if _, faults := decode(ManifestKey, data, &m); len(faults) > 0 {
		return nil, faults[0]
	}
	if m.Revision == 0 {
		return nil, result.New(result.MalformedTable, "manifest without a revision")
	}
	total := 0
	seen := make(map[string]bool)
	for _, ref := range m.Refs() {
		if !isPartKey(ref.Key) {
			return nil, result.Newf(result.MalformedTable, "%q is not the key of a part", ref.Key)
		}
		if seen[ref.Key] {
			return nil, result.Newf(result.DuplicateName, "part %s occurs twice", ref.Key)
		}
		seen[ref.Key] = true
		if ref.Size <= 0 || ref.Size > MaxPart {
			return nil, result.Newf(result.ValueTooLarge, "part %s of %d bytes, limit %d", ref.Key, ref.Size, MaxPart)
		}
		total += ref.Size
	}
	if total > MaxTables {
		return nil, result.Newf(result.ValueTooLarge, "tables of %d bytes, limit %d", total, MaxTables)
	}
	return &m, nil
}

// isPartKey accepts only the form that partKey returns, because a process
// asks the configuration service for any key that a manifest names.
func isPartKey(key string) bool {
	digest, ok := strings.CutPrefix(key, partPrefix)
	raw, err := hex.DecodeString(digest)
	return ok && err == nil && len(raw) == partKeyBytes && strings.ToLower(digest) == digest
}

// Refs returns all parts of the manifest.
func (m *Manifest) Refs() []PartRef {
	return append(slices.Clone(m.Routes), m.Pools...)
}

// Assemble builds a snapshot from a manifest and its parts. The snapshot is
// whole or not at all. It keeps manifest and parts as they were published, so
// that its digest is the same in all versions of the programs.
func Assemble(manifest []byte, parts map[string][]byte) (*Snapshot, []error) {
	return AssembleAfter(nil, manifest, parts)
}

// AssembleAfter is Assemble for a process that has a snapshot already, or nil.
// Parts that the previous snapshot holds may be absent from parts and are not
// decoded again: most changes touch one part in a hundred.
func AssembleAfter(previous *Snapshot, manifest []byte, parts map[string][]byte) (*Snapshot, []error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, []error{err}
	}
	if previous == nil {
		previous = &Snapshot{}
	}
	kept, faults := previous.pick(m, parts)
	if len(faults) > 0 {
		return nil, faults
	}
	routes, spans, faults := previous.joinRoutes(m, kept)
	pools, poolFaults := joinPools(m, kept)
	if faults = append(faults, poolFaults...); len(faults) > 0 {
		return nil, faults
	}
	if faults := Validate(routes, pools); len(faults) > 0 {
		return nil, faults
	}
	s := index(m.Revision, routes, pools)
	s.manifest, s.parts, s.Digest = bytes.Clone(manifest), kept, digestOf(manifest)
	if slices.IsSortedFunc(routes.Routes, compareRoutes) {
		s.spans = spans
	}
	return s, nil
}

// pick returns the parts that the manifest names, after checking each.
func (s *Snapshot) pick(m *Manifest, parts map[string][]byte) (map[string][]byte, []error) {
	var faults []error
	kept := make(map[string][]byte)
	for _, ref := range m.Refs() {
		data, ok := s.parts[ref.Key]
		if !ok {
			data, ok = parts[ref.Key]
		}
		switch {
		case !ok:
			faults = append(faults, result.Newf(result.PartMissing, "part %s is missing", ref.Key))
		case len(data) != ref.Size || !CheckPart(ref.Key, data):
			faults = append(faults, result.Newf(result.PartMissing, "part %s is damaged", ref.Key))
		}
		kept[ref.Key] = data
	}
	return kept, faults
}

// span is the place of a part's routes in a snapshot whose parts are sorted.
type span struct{ from, to int }

func (s *Snapshot) joinRoutes(m *Manifest, parts map[string][]byte) (*RouteTable, map[string]span, []error) {
	var table RouteTable
	var faults []error
	spans := make(map[string]span, len(m.Routes))
	for _, ref := range m.Routes {
		from := len(table.Routes)
		if known, ok := s.spans[ref.Key]; ok {
			table.Routes = append(table.Routes, s.routes[known.from:known.to]...)
		} else {
			var part RouteTable
			_, found := decode(ref.Key, parts[ref.Key], &part)
			faults = append(faults, found...)
			table.Routes = append(table.Routes, part.Routes...)
		}
		spans[ref.Key] = span{from, len(table.Routes)}
	}
	return &table, spans, faults
}

func joinPools(m *Manifest, parts map[string][]byte) (*PoolTable, []error) {
	var table PoolTable
	var faults []error
	var targets []poolTargets
	stores := 0
	for _, ref := range m.Pools {
		var part poolPart
		_, found := decode(ref.Key, parts[ref.Key], &part)
		faults = append(faults, found...)
		table.Pools = append(table.Pools, part.Pools...)
		targets = append(targets, part.Targets...)
		if part.WeightStore != nil {
			table.WeightStore = *part.WeightStore
			stores++
		}
	}
	if stores > 1 {
		faults = append(faults, result.New(result.DuplicateName, "weight_store occurs in two parts"))
	}
	return &table, append(faults, addTargets(&table, targets)...)
}

func addTargets(table *PoolTable, targets []poolTargets) []error {
	var faults []error
	rows := make(map[string]*Pool, len(table.Pools))
	for i := range table.Pools {
		rows[table.Pools[i].Name] = &table.Pools[i]
	}
	for _, group := range targets {
		row, ok := rows[group.Pool]
		if !ok {
			faults = append(faults, result.Newf(result.DanglingName, "targets of pool %q, which has no row", group.Pool))
			continue
		}
		row.Targets = append(row.Targets, group.Targets...)
	}
	return faults
}

// CheckPart reports whether data is the part that key names.
func CheckPart(key string, data []byte) bool { return partKey(data) == key }
