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
	// MaxPartBytes is the largest size of a part. Small parts keep a small
	// change cheap: processes fetch the manifest and one part.
	MaxPartBytes = 32 << 10
	// MaxValueBytes is the limit of the configuration service for one value.
	MaxValueBytes = 1 << 20
	// MaxManifestBytes is the largest size of a manifest. Such a manifest fits
	// into one message between processes and lists about 3,600 parts.
	MaxManifestBytes = 256 << 10
	// MaxTablesBytes limits the total size of all parts of a snapshot.
	MaxTablesBytes = 16 << 20

	// partDigestBytes is the length of the digest in the key of a part.
	partDigestBytes = 16
)

func partKey(data []byte) string {
	sum := sha256.Sum256(data)
	return partPrefix + hex.EncodeToString(sum[:partDigestBytes])
}

// digestOf returns the first 8 bytes of the SHA-256 of data.
func digestOf(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:])
}

// ParseManifest decodes a manifest and checks its keys and sizes.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, result.Newf(result.ValueTooLarge, "manifest of %d bytes, limit %d", len(data), MaxManifestBytes)
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
		if ref.Size <= 0 || ref.Size > MaxPartBytes {
			return nil, result.Newf(result.ValueTooLarge, "part %s of %d bytes, limit %d", ref.Key, ref.Size, MaxPartBytes)
		}
		total += ref.Size
	}
	if total > MaxTablesBytes {
		return nil, result.Newf(result.ValueTooLarge, "tables of %d bytes, limit %d", total, MaxTablesBytes)
	}
	return &m, nil
}

// isPartKey reports whether key has the form that partKey returns. Other keys are
// refused because a process fetches every key of a manifest from the configuration
// service.
func isPartKey(key string) bool {
	digest, ok := strings.CutPrefix(key, partPrefix)
	raw, err := hex.DecodeString(digest)
	return ok && err == nil && len(raw) == partDigestBytes && strings.ToLower(digest) == digest
}

// Refs returns the references to all parts: those of the routes, then those of
// the pools.
func (m *Manifest) Refs() []PartRef {
	return append(slices.Clone(m.Routes), m.Pools...)
}

// Assemble builds a snapshot from a manifest and its parts, and returns no
// snapshot if there is any fault. The snapshot keeps the bytes of the manifest and
// the parts as they were published, so that its digest is the same in all versions
// of the programs.
func Assemble(manifest []byte, parts map[string][]byte) (*Snapshot, []error) {
	return AssembleAfter(nil, manifest, parts)
}

// AssembleAfter is Assemble for a process that has a previous snapshot, which may
// be nil. The map parts need not contain parts of the previous snapshot, and their
// routes are not decoded again: most changes affect one part in a hundred.
func AssembleAfter(previous *Snapshot, manifest []byte, parts map[string][]byte) (*Snapshot, []error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, []error{err}
	}
	if previous == nil {
		previous = &Snapshot{}
	}
	kept, faults := previous.collectParts(m, parts)
	if len(faults) > 0 {
		return nil, faults
	}
	routes, routeRanges, faults := previous.decodeRoutes(m, kept)
	pools, poolFaults := decodePools(m, kept)
	if faults = append(faults, poolFaults...); len(faults) > 0 {
		return nil, faults
	}
	if faults := Validate(routes, pools); len(faults) > 0 {
		return nil, faults
	}
	s := newSnapshot(m.Revision, routes, pools)
	s.manifest, s.parts, s.Digest = bytes.Clone(manifest), kept, digestOf(manifest)
	if slices.IsSortedFunc(routes.Routes, compareRoutes) {
		s.routeRanges = routeRanges
	}
	return s, nil
}

// collectParts returns the parts that the manifest lists, from the snapshot or
// else from parts. It checks the presence, size and digest of each.
func (s *Snapshot) collectParts(m *Manifest, parts map[string][]byte) (map[string][]byte, []error) {
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
			faults = append(faults, result.Newf(result.PartMissing, "part %s does not match its size or digest", ref.Key))
		}
		kept[ref.Key] = data
	}
	return kept, faults
}

// routeRange is the half-open range of the routes of one part within the sorted
// routes of a snapshot.
type routeRange struct{ from, to int }

// decodeRoutes concatenates the routes of all parts. It copies those of a part that
// the snapshot already has and decodes the others. The second result holds the
// range of each part by its key.
func (s *Snapshot) decodeRoutes(m *Manifest, parts map[string][]byte) (*RouteTable, map[string]routeRange, []error) {
	var table RouteTable
	var faults []error
	routeRanges := make(map[string]routeRange, len(m.Routes))
	for _, ref := range m.Routes {
		from := len(table.Routes)
		if previousRange, ok := s.routeRanges[ref.Key]; ok {
			table.Routes = append(table.Routes, s.routes[previousRange.from:previousRange.to]...)
		} else {
			var part RouteTable
			_, found := decode(ref.Key, parts[ref.Key], &part)
			faults = append(faults, found...)
			table.Routes = append(table.Routes, part.Routes...)
		}
		routeRanges[ref.Key] = routeRange{from, len(table.Routes)}
	}
	return &table, routeRanges, faults
}

// decodePools decodes the parts of the pool table and adds the targets to their
// pools.
func decodePools(m *Manifest, parts map[string][]byte) (*PoolTable, []error) {
	var table PoolTable
	var faults []error
	var targets []poolTargets
	weightStores := 0
	for _, ref := range m.Pools {
		var part poolPart
		_, found := decode(ref.Key, parts[ref.Key], &part)
		faults = append(faults, found...)
		table.Pools = append(table.Pools, part.Pools...)
		targets = append(targets, part.Targets...)
		if part.WeightStore != nil {
			table.WeightStore = *part.WeightStore
			weightStores++
		}
	}
	if weightStores > 1 {
		faults = append(faults, result.New(result.DuplicateName, "weight_store occurs in two parts"))
	}
	return &table, append(faults, addTargets(&table, targets)...)
}

func addTargets(table *PoolTable, targets []poolTargets) []error {
	var faults []error
	poolsByName := make(map[string]*Pool, len(table.Pools))
	for i := range table.Pools {
		poolsByName[table.Pools[i].Name] = &table.Pools[i]
	}
	for _, group := range targets {
		pool, ok := poolsByName[group.Pool]
		if !ok {
			faults = append(faults, result.Newf(result.DanglingName, "targets of pool %q, which is in no part", group.Pool))
			continue
		}
		pool.Targets = append(pool.Targets, group.Targets...)
	}
	return faults
}

// CheckPart reports whether key contains the digest of data.
func CheckPart(key string, data []byte) bool { return partKey(data) == key }
