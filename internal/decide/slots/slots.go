// Package slots decides which adapters occupy the adapter slots of one engine.
//
// A Table is a pure state machine: the caller passes the time, performs the
// loads and unloads that the table asks for and reports their results. It is
// used by one goroutine.
package slots

import (
	"math"
	"time"
)

// Key names one version of an adapter.
type Key struct {
	Adapter string
	Version string
}

// State is the state of one adapter version.
type State uint8

// States of an adapter version.
const (
	Absent State = iota
	Loading
	Resident
	Unloading
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
	// MinBackoff and MaxBackoff bound the delay after failed loads.
	MinBackoff = 500 * time.Millisecond
	MaxBackoff = 30 * time.Second
	// maxTracked bounds the adapters whose frequency is remembered.
	maxTracked = 4096
)

type entry struct {
	key      Key
	state    State
	pins     int
	failures int
	retryAt  time.Time
	lastUse  time.Time
	// score is the aged request count at scoredAt.
	score    float64
	scoredAt time.Time
}

// Table holds the slots of one engine.
type Table struct {
	capacity int
	policy   Policy
	entries  map[Key]*entry
	occupied int
}

// New returns an empty table.
func New(capacity int, policy Policy) *Table {
	return &Table{capacity: capacity, policy: policy, entries: make(map[Key]*entry)}
}

// SetCapacity changes the number of slots. Adapters above a lower capacity
// stay until they are evicted.
func (t *Table) SetCapacity(capacity int) { t.capacity = capacity }

// Capacity returns the number of slots.
func (t *Table) Capacity() int { return t.capacity }

// State returns the state of key.
func (t *Table) State(key Key) State {
	if e, ok := t.entries[key]; ok {
		return e.state
	}
	return Absent
}

// RetryAt returns the time before which key is not loaded again after a
// failure; it is zero without a failure.
func (t *Table) RetryAt(key Key) time.Time {
	if e, ok := t.entries[key]; ok {
		return e.retryAt
	}
	return time.Time{}
}

// Touch records a request for key.
func (t *Table) Touch(now time.Time, key Key) {
	e := t.get(key)
	e.score = e.aged(now) + 1
	e.scoredAt = now
	e.lastUse = now
	t.prune(now)
}

// Pin protects key from eviction until Unpin.
func (t *Table) Pin(key Key) { t.get(key).pins++ }

// Unpin releases one pin.
func (t *Table) Unpin(key Key) {
	if e, ok := t.entries[key]; ok && e.pins > 0 {
		e.pins--
	}
}

// Pins returns the number of pins on key.
func (t *Table) Pins(key Key) int {
	if e, ok := t.entries[key]; ok {
		return e.pins
	}
	return 0
}

// Plan says what must happen before key can be loaded.
type Plan struct {
	// Load is true if a slot is free and the load may start.
	Load bool
	// Evict names an adapter to unload first.
	Evict *Key
	// Blocked is true if every slot is pinned, loading or unloading.
	Blocked bool
	// RetryAt is set if the last load failed and the delay is not over.
	RetryAt time.Time
}

// Plan decides how to make room for key. It changes nothing.
func (t *Table) Plan(now time.Time, key Key) Plan {
	if e, ok := t.entries[key]; ok && now.Before(e.retryAt) {
		return Plan{RetryAt: e.retryAt}
	}
	if t.occupied < t.capacity {
		return Plan{Load: true}
	}
	if victim := t.victim(now); victim != nil {
		k := victim.key
		return Plan{Evict: &k}
	}
	return Plan{Blocked: true}
}

// BeginLoad takes a slot for key.
func (t *Table) BeginLoad(key Key) {
	e := t.get(key)
	if e.state == Absent {
		t.occupied++
	}
	e.state = Loading
}

// Loaded ends a load that succeeded.
func (t *Table) Loaded(key Key) {
	e := t.get(key)
	e.state = Resident
	e.failures = 0
	e.retryAt = time.Time{}
}

// LoadFailed ends a load that failed, frees the slot and starts a backoff.
func (t *Table) LoadFailed(now time.Time, key Key) {
	e := t.get(key)
	t.vacate(e)
	backoff := time.Duration(float64(MinBackoff) * math.Pow(2, float64(e.failures)))
	e.failures++
	e.retryAt = now.Add(min(backoff, MaxBackoff))
}

// BeginUnload marks key as leaving its slot. It returns false if key is
// pinned or not resident.
func (t *Table) BeginUnload(key Key) bool {
	e, ok := t.entries[key]
	if !ok || e.pins > 0 || e.state != Resident {
		return false
	}
	e.state = Unloading
	return true
}

// Unloaded frees the slot of key.
func (t *Table) Unloaded(key Key) {
	if e, ok := t.entries[key]; ok {
		t.vacate(e)
	}
}

// UnloadFailed returns key to Resident.
func (t *Table) UnloadFailed(key Key) {
	if e, ok := t.entries[key]; ok && e.state == Unloading {
		e.state = Resident
	}
}

// Reset replaces the occupation by what the engine reports, for example after
// a restart of the engine or of this process. Pins stay.
func (t *Table) Reset(resident []Key) {
	for _, e := range t.entries {
		e.state = Absent
	}
	t.occupied = 0
	for _, key := range resident {
		e := t.get(key)
		if e.state == Absent {
			e.state = Resident
			t.occupied++
		}
	}
}

// Resident returns the resident adapters in no particular order.
func (t *Table) Resident() []Key {
	var keys []Key
	for _, e := range t.entries {
		if e.state == Resident {
			keys = append(keys, e.key)
		}
	}
	return keys
}

// Occupied returns the number of slots in use.
func (t *Table) Occupied() int { return t.occupied }

func (t *Table) vacate(e *entry) {
	if e.state != Absent {
		t.occupied--
	}
	e.state = Absent
}

func (t *Table) get(key Key) *entry {
	e, ok := t.entries[key]
	if !ok {
		e = &entry{key: key}
		t.entries[key] = e
	}
	return e
}

func (t *Table) victim(now time.Time) *entry {
	var best *entry
	for _, e := range t.entries {
		if e.state != Resident || e.pins > 0 {
			continue
		}
		if best == nil || t.before(now, e, best) {
			best = e
		}
	}
	return best
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
	if a.key.Adapter != b.key.Adapter {
		return a.key.Adapter < b.key.Adapter
	}
	return a.key.Version < b.key.Version
}

func (e *entry) aged(now time.Time) float64 {
	if e.score == 0 {
		return 0
	}
	return e.score * math.Exp2(-float64(now.Sub(e.scoredAt))/float64(HalfLife))
}

// prune forgets the coldest absent adapters above maxTracked, a quarter at a
// time so that the cost is spread over many requests.
func (t *Table) prune(now time.Time) {
	if len(t.entries) <= maxTracked {
		return
	}
	horizon := now.Add(-4 * HalfLife)
	for key, e := range t.entries {
		if e.state == Absent && e.pins == 0 && (e.lastUse.Before(horizon) || e.aged(now) < 1) {
			delete(t.entries, key)
		}
	}
}
