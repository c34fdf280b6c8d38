package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy determines which adapter is evicted.
type Policy uint8

const (
	// Frequency evicts the adapter with the lowest decayed request count.
	Frequency Policy = iota
	// LRU evicts the least recently used adapter. It is the baseline for
	// measurements.
	LRU
)

const (
	// RequestCountHalfLife is the half-life of an adapter's request count. It must
	// be much longer than the time between requests for a frequently used adapter
	// and much shorter than the time in which the popularity of adapters changes.
	RequestCountHalfLife = 60 * time.Second
	// MinVersionIdleTime is the minimum time without requests after which a
	// version is unloaded once a newer configuration uses another one. It is long
	// enough that two versions in use at the same time both get requests within
	// it.
	MinVersionIdleTime = 10 * time.Second
	// PruneThreshold is the number of records at which a new adapter version
	// causes the least used ones to be deleted.
	PruneThreshold = 4096
	// pruneDivisor sets how many records one prune deletes: up to PruneThreshold
	// divided by pruneDivisor. A prune sorts all of them, so it deletes many
	// at once to keep the cost per new adapter low.
	pruneDivisor = 4
)

// RecordRequest records a request for key that was routed by a configuration
// revision.
func (t *Table) RecordRequest(now time.Time, key Key, revision uint64) {
	if _, ok := t.records[key]; !ok && len(t.records) >= PruneThreshold {
		t.prune(now)
	}
	r := t.getOrCreate(key)
	r.decayedCount = r.countAt(now) + 1
	r.decayedAt = now
	r.lastUse = now
	r.revision = max(r.revision, revision)
}

// Obsolete returns the resident versions that a newer configuration has
// replaced by another resident version, that are not pinned and that had no
// request for MinVersionIdleTime.
func (t *Table) Obsolete(now time.Time) []Key {
	var keys []Key
	for i, r := range t.occupying {
		if r.evictable(now) && now.Sub(r.lastUse) >= MinVersionIdleTime && t.hasNewerVersion(i) {
			keys = append(keys, r.key)
		}
	}
	return keys
}

// hasNewerVersion reports whether another resident version of the adapter of
// occupying[i] was requested by a newer configuration revision. Versions of one
// adapter are adjacent in occupying.
func (t *Table) hasNewerVersion(i int) bool {
	r := t.occupying[i]
	newer := func(x *versionRecord) bool { return x.state == Resident && x.revision > r.revision }
	for j := i - 1; j >= 0 && t.occupying[j].key.Adapter == r.key.Adapter; j-- {
		if newer(t.occupying[j]) {
			return true
		}
	}
	for j := i + 1; j < len(t.occupying) && t.occupying[j].key.Adapter == r.key.Adapter; j++ {
		if newer(t.occupying[j]) {
			return true
		}
	}
	return false
}

// selectVictim returns the adapter version to evict, nil if none may be evicted.
func (t *Table) selectVictim(now time.Time) *versionRecord {
	var best *versionRecord
	for _, r := range t.occupying {
		if r.evictable(now) && (best == nil || t.evictedBefore(now, r, best)) {
			best = r
		}
	}
	return best
}

// evictable reports whether an unload may be ordered.
func (r *versionRecord) evictable(now time.Time) bool {
	return r.state == Resident && r.pins == 0 && !now.Before(r.noEvictionUntil) && !now.Before(r.resultPendingUntil)
}

// evictedBefore reports whether a is evicted before b. Keys break ties, so that
// the result does not depend on the iteration order of a map.
func (t *Table) evictedBefore(now time.Time, a, b *versionRecord) bool {
	if t.policy == Frequency {
		if x, y := a.countAt(now), b.countAt(now); x != y {
			return x < y
		}
	}
	if !a.lastUse.Equal(b.lastUse) {
		return a.lastUse.Before(b.lastUse)
	}
	return a.key.Compare(b.key) < 0
}

// countAt returns the request count decayed to now.
func (r *versionRecord) countAt(now time.Time) float64 {
	if r.decayedCount == 0 {
		return 0
	}
	return r.decayedCount * math.Exp2(-float64(max(now.Sub(r.decayedAt), 0))/float64(RequestCountHalfLife))
}

// prune deletes the records of the absent adapters with the lowest decayed
// request counts. Adapters in a backoff are deleted last, because without the
// record a load that fails would be repeated at once. The counts are computed
// before sorting, because the comparisons would compute each about ten times.
func (t *Table) prune(now time.Time) {
	type candidate struct {
		r    *versionRecord
		rank float64
	}
	candidates := make([]candidate, 0, len(t.records))
	for _, r := range t.records {
		if r.state != Absent || r.pins > 0 || now.Before(r.resultPendingUntil) {
			continue
		}
		rank := r.countAt(now)
		if now.Before(r.retryAt) {
			rank = math.Inf(1)
		}
		candidates = append(candidates, candidate{r, rank})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Or(a.r.lastUse.Compare(b.r.lastUse), a.r.key.Compare(b.r.key))
	})
	for _, c := range candidates[:min(len(candidates), PruneThreshold/pruneDivisor)] {
		delete(t.records, c.r.key)
	}
}
