// Package slots decides which adapters occupy the adapter slots of one engine.
// An adapter is a LoRA adapter; the engine can serve requests for it only while
// it is resident, that is, loaded into one of the engine's slots. Different
// versions of an adapter occupy different slots.
//
// A Table is a state machine without I/O or a clock of its own: the code that
// uses it passes the time, orders the planned loads and unloads from the engine
// and passes the result of each order to the table exactly once. An order is a load
// or an unload that was requested from the engine. A Table is not
// safe for concurrent use.
package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Key identifies one version of an adapter.
type Key struct {
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// Compare orders keys by adapter, then by version.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Adapter, other.Adapter), cmp.Compare(k.Version, other.Version))
}

// State is the state of one adapter version in the engine.
type State uint8

// States of an adapter version.
const (
	Absent State = iota
	Loading
	Resident
	Unloading
)

const (
	// MinBackoff and MaxBackoff bound the delay after a failed load. The delay
	// doubles with each consecutive failure.
	MinBackoff = 500 * time.Millisecond
	MaxBackoff = 30 * time.Second
	// OrderResultTimeout is the maximum time after a Reset for which the table
	// waits for the result of an order that was sent before it. OrderResultTimeout
	// is longer than the timeout of an order.
	OrderResultTimeout = 35 * time.Second
)

// versionRecord is the state of one adapter version that the table tracks.
type versionRecord struct {
	key      Key
	state    State
	pins     int
	failures int
	retryAt  time.Time
	// noEvictionUntil excludes the version from eviction after a failed unload.
	noEvictionUntil time.Time
	lastUse         time.Time
	// revision is the newest configuration revision that routed a request to
	// this version.
	revision uint64
	// decayedCount is the exponentially decayed number of requests as of
	// decayedAt.
	decayedCount float64
	decayedAt    time.Time
	// lastChange is the value of Table.changeCount after the last change of
	// state.
	lastChange uint64
	// resultPendingUntil is set while the result of an order from before the
	// last Reset may still arrive.
	resultPendingUntil time.Time
}

// Table holds the slots of one engine.
type Table struct {
	capacity int
	policy   Policy
	records  map[Key]*versionRecord
	// occupying lists the versions that occupy a slot, in order of their keys.
	occupying   []*versionRecord
	changeCount uint64
}

// New returns an empty table.
func New(capacity int, policy Policy) *Table {
	return &Table{capacity: capacity, policy: policy, records: make(map[Key]*versionRecord)}
}

// SetCapacity changes the number of slots. If more adapters than that are
// loaded, they stay until they are evicted.
func (t *Table) SetCapacity(capacity int) { t.capacity = capacity }

// Capacity returns the number of slots.
func (t *Table) Capacity() int { return t.capacity }

// State returns the state of key.
func (t *Table) State(key Key) State {
	if r, ok := t.records[key]; ok {
		return r.state
	}
	return Absent
}

// NotBefore returns the earliest time at which key may be loaded again after a
// failed load. It is zero if the last load did not fail.
func (t *Table) NotBefore(key Key) time.Time {
	if r, ok := t.records[key]; ok {
		return r.retryAt
	}
	return time.Time{}
}

// Pin protects key from eviction until Unpin.
func (t *Table) Pin(key Key) { t.getOrCreate(key).pins++ }

// Unpin releases one pin.
func (t *Table) Unpin(key Key) {
	r, ok := t.records[key]
	if !ok || r.pins == 0 {
		return
	}
	r.pins--
	if r.pins == 0 && r.state == Absent && r.decayedCount == 0 && r.failures == 0 && r.resultPendingUntil.IsZero() {
		delete(t.records, key)
	}
}

// Pins returns the number of pins on key.
func (t *Table) Pins(key Key) int {
	if r, ok := t.records[key]; ok {
		return r.pins
	}
	return 0
}

// TotalPins returns the number of pins on all adapters.
func (t *Table) TotalPins() int {
	n := 0
	for _, r := range t.records {
		n += r.pins
	}
	return n
}

// LoadPlan is the next step to load an adapter version.
type LoadPlan struct {
	// Load is set if a slot is free and the load may start.
	Load bool
	// Evict is the adapter version to unload first, if any.
	Evict *Key
	// Blocked is set if no slot can be freed now, because each is loading,
	// unloading, pinned or otherwise protected from eviction, or if key itself
	// occupies a slot or waits for the result of an order from before a Reset.
	Blocked bool
	// NotBefore is set if the last load failed and the backoff has not ended.
	NotBefore time.Time
}

// Plan returns the next step to load key. It does not change the table.
func (t *Table) Plan(now time.Time, key Key) LoadPlan {
	if r, ok := t.records[key]; ok {
		if now.Before(r.retryAt) {
			return LoadPlan{NotBefore: r.retryAt}
		}
		if r.state != Absent || now.Before(r.resultPendingUntil) {
			return LoadPlan{Blocked: true}
		}
	}
	if len(t.occupying) < t.capacity {
		return LoadPlan{Load: true}
	}
	if victim := t.selectVictim(now); victim != nil {
		k := victim.key
		return LoadPlan{Evict: &k}
	}
	return LoadPlan{Blocked: true}
}

// BeginLoad assigns a slot to key and marks it as loading. It returns false if
// key already occupies a slot or none is free.
func (t *Table) BeginLoad(key Key) bool {
	if len(t.occupying) >= t.capacity || t.State(key) != Absent {
		return false
	}
	r := t.getOrCreate(key)
	r.resultPendingUntil = time.Time{}
	t.setState(r, Loading)
	return true
}

// Loaded records that a load succeeded. It returns false if none is in progress.
func (t *Table) Loaded(key Key) bool {
	r, ok := t.records[key]
	if !ok || r.state != Loading {
		return false
	}
	t.setState(r, Resident)
	r.failures = 0
	r.retryAt = time.Time{}
	return true
}

// LoadFailed records that a load failed, frees the slot and starts a backoff.
// It returns false if no load is in progress.
func (t *Table) LoadFailed(now time.Time, key Key) bool {
	r, ok := t.records[key]
	if !ok || r.state != Loading {
		return false
	}
	t.setState(r, Absent)
	backoff := float64(MinBackoff) * math.Exp2(float64(r.failures))
	r.failures++
	r.retryAt = now.Add(time.Duration(min(backoff, float64(MaxBackoff))))
	return true
}

// BeginUnload marks key as unloading. It returns false if key is pinned or not
// resident.
func (t *Table) BeginUnload(key Key) bool {
	r, ok := t.records[key]
	if !ok || r.pins > 0 || r.state != Resident {
		return false
	}
	r.resultPendingUntil = time.Time{}
	t.setState(r, Unloading)
	return true
}

// Unloaded frees the slot of key. It returns false if key is not unloading.
func (t *Table) Unloaded(key Key) bool {
	r, ok := t.records[key]
	if !ok || r.state != Unloading {
		return false
	}
	t.setState(r, Absent)
	return true
}

// UnloadFailed marks key as resident again. It returns false if key is not
// unloading. Key is not evicted for MinBackoff, so that an engine that cannot
// unload it does not get the same order in a loop.
func (t *Table) UnloadFailed(now time.Time, key Key) bool {
	r, ok := t.records[key]
	if !ok || r.state != Unloading {
		return false
	}
	t.setState(r, Resident)
	r.noEvictionUntil = now.Add(MinBackoff)
	return true
}

// Reset replaces the occupied slots by the adapters that the engine reports to
// occupy one, which then count as resident, for example after a restart of the engine or of this process. Pins
// stay. The result of an order in progress can still arrive and must not be
// taken for that of a new order. If the engine reports the adapter, the order
// stays in progress, because it can take effect after the report. If not, the
// adapter is not loaded again before ResolvePending is called or
// OrderResultTimeout has passed.
func (t *Table) Reset(now time.Time, resident []Key) {
	for _, r := range slices.Clone(t.occupying) {
		switch {
		case r.state == Resident:
			t.setState(r, Absent)
		case !slices.Contains(resident, r.key):
			r.resultPendingUntil = now.Add(OrderResultTimeout)
			t.setState(r, Absent)
		}
	}
	for _, key := range resident {
		if r := t.getOrCreate(key); r.state == Absent {
			t.setState(r, Resident)
		}
	}
}

// ResolvePending records that the result of an order from before the last Reset
// has arrived. It returns false if none is pending for key.
func (t *Table) ResolvePending(key Key) bool {
	r, ok := t.records[key]
	if !ok || r.resultPendingUntil.IsZero() {
		return false
	}
	r.resultPendingUntil = time.Time{}
	return true
}

// ChangeCount returns the number of state changes so far. Reconcile uses it to
// detect changes after a report was requested.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// Reconcile corrects the table by the resident adapters that the engine
// reports. mark is the result of ChangeCount when the report was requested:
// adapters that changed later and those with an order in progress stay as they
// are. It returns the number of corrections.
func (t *Table) Reconcile(mark uint64, resident []Key) int {
	corrected := 0
	for _, r := range slices.Clone(t.occupying) {
		if r.state == Resident && r.lastChange <= mark && !slices.Contains(resident, r.key) {
			t.setState(r, Absent)
			corrected++
		}
	}
	for _, key := range resident {
		if r := t.getOrCreate(key); r.state == Absent && r.lastChange <= mark {
			t.setState(r, Resident)
			corrected++
		}
	}
	return corrected
}

// Resident returns the resident adapter versions in order of their keys.
func (t *Table) Resident() []Key {
	var keys []Key
	for _, r := range t.occupying {
		if r.state == Resident {
			keys = append(keys, r.key)
		}
	}
	return keys
}

// OccupiedCount returns the number of slots in use.
func (t *Table) OccupiedCount() int { return len(t.occupying) }

// UnloadingCount returns the number of slots with an unload in progress.
func (t *Table) UnloadingCount() int {
	n := 0
	for _, r := range t.occupying {
		if r.state == Unloading {
			n++
		}
	}
	return n
}

// RecordCount returns the number of adapter versions for which the table keeps
// a record.
func (t *Table) RecordCount() int { return len(t.records) }

// setState changes the state of a record and updates occupying.
func (t *Table) setState(r *versionRecord, state State) {
	if r.state == state {
		return
	}
	t.changeCount++
	r.lastChange = t.changeCount
	i, found := slices.BinarySearchFunc(t.occupying, r.key, func(x *versionRecord, k Key) int { return x.key.Compare(k) })
	switch {
	case state == Absent && found:
		t.occupying = slices.Delete(t.occupying, i, i+1)
	case state != Absent && !found:
		t.occupying = slices.Insert(t.occupying, i, r)
	}
	r.state = state
}

func (t *Table) getOrCreate(key Key) *versionRecord {
	r, ok := t.records[key]
	if !ok {
		r = &versionRecord{key: key}
		t.records[key] = r
	}
	return r
}
