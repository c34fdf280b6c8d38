package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy selects the victim of an eviction.
type Policy uint8

const (
	// Frequency evicts the adapter with the lowest aged request frequency.
	Frequency Policy = iota
	// LRU evicts the least recently used adapter. It is the naive policy
	// that measurements compare with.
	LRU
)

const (
	// HalfLife is the time in which an adapter's request count loses half
	// its weight. It must be long against the time between requests of a
	// warm adapter and short against a shift in popularity.
	HalfLife = 60 * time.Second
	// VersionGrace is how long an old version stays after its last request
	// once a newer configuration asks for another version. Two versions
	// that routes use side by side are both asked for within it.
	VersionGrace = 10 * time.Second
	// MaxTracked bounds the adapters whose frequency is remembered.
	MaxTracked = 4096
	// pruneShare is the share of the tracked adapters that one prune
	// forgets. A prune sorts all of them, so that its cost per new adapter
	// is that of sorting a few.
	pruneShare = 4
)

// Touch records a request for key that was routed by a configuration revision.
func (t *Table) Touch(now time.Time, key Key, revision uint64) {
	if _, ok := t.entries[key]; !ok && len(t.entries) >= MaxTracked {
		t.prune(now)
	}
	e := t.get(key)
	e.score = e.aged(now) + 1
	e.scoredAt = now
	e.lastUse = now
	e.revision = max(e.revision, revision)
}

// Obsolete returns the resident versions that a newer configuration has
// replaced by another resident version and that no request uses.
func (t *Table) Obsolete(now time.Time) []Key {
	var keys []Key
	for i, e := range t.held {
		if e.evictable(now) && now.Sub(e.lastUse) >= VersionGrace && t.replaced(i) {
			keys = append(keys, e.key)
		}
	}
	return keys
}

// replaced reports whether a neighbour of held[i] is a newer version of the
// same adapter. Versions of one adapter are adjacent.
func (t *Table) replaced(i int) bool {
	e := t.held[i]
	newer := func(x *entry) bool { return x.state == Resident && x.revision > e.revision }
	for j := i - 1; j >= 0 && t.held[j].key.Adapter == e.key.Adapter; j-- {
		if newer(t.held[j]) {
			return true
		}
	}
	for j := i + 1; j < len(t.held) && t.held[j].key.Adapter == e.key.Adapter; j++ {
		if newer(t.held[j]) {
			return true
		}
	}
	return false
}

func (t *Table) victim(now time.Time) *entry {
	var best *entry
	for _, e := range t.held {
		if e.evictable(now) && (best == nil || t.before(now, e, best)) {
			best = e
		}
	}
	return best
}

// evictable reports whether an unload may be ordered.
func (e *entry) evictable(now time.Time) bool {
	return e.state == Resident && e.pins == 0 && !now.Before(e.keepUntil) && !now.Before(e.owedUntil)
}

// before reports whether a is evicted before b. Names break ties, so that the
// result does not depend on the order of the map.
func (t *Table) before(now time.Time, a, b *entry) bool {
	if t.policy == Frequency {
		if x, y := a.aged(now), b.aged(now); x != y {
			return x < y
		}
	}
	if !a.lastUse.Equal(b.lastUse) {
		return a.lastUse.Before(b.lastUse)
	}
	return a.key.Compare(b.key) < 0
}

func (e *entry) aged(now time.Time) float64 {
	if e.score == 0 {
		return 0
	}
	return e.score * math.Exp2(-float64(max(now.Sub(e.scoredAt), 0))/float64(HalfLife))
}

// prune forgets the coldest absent adapters. Adapters in a backoff go last,
// because forgetting them would repeat a load that fails. The aged counts are
// computed once, because the comparisons would compute each some ten times.
func (t *Table) prune(now time.Time) {
	type candidate struct {
		e     *entry
		score float64
	}
	idle := make([]candidate, 0, len(t.entries))
	for _, e := range t.entries {
		if e.state != Absent || e.pins > 0 || now.Before(e.owedUntil) {
			continue
		}
		score := e.aged(now)
		if now.Before(e.retryAt) {
			score = math.Inf(1)
		}
		idle = append(idle, candidate{e, score})
	}
	slices.SortFunc(idle, func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(a.score, b.score)
		}
		return cmp.Or(a.e.lastUse.Compare(b.e.lastUse), a.e.key.Compare(b.e.key))
	})
	for _, c := range idle[:min(len(idle), MaxTracked/pruneShare)] {
		delete(t.entries, c.e.key)
	}
}
