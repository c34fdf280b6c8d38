package catalog

import "slices"

const (
	// itemOverhead is what an item takes in memory besides its key and value: its record and
	// its places in maps.
	itemOverhead = 320
	// targetOverhead is what a target takes besides: its description, and the records of those
	// who place requests at it.
	targetOverhead = 2048
	// adapterOverhead is what the version of an adapter takes besides its names, here and in
	// views.
	adapterOverhead = 128
	// targetsShare is the part of the memory for items that the operator did not write. The
	// rest is the operator's, so that neither can take the room of the other.
	targetsShare = 3
)

// Admission is whether an item may be merged and kept.
type Admission int

const (
	// Admitted items are merged and kept.
	Admitted Admission = iota
	// AdmittedWithoutValue is for items that are merged, but whose encoded value does not fit.
	AdmittedWithoutValue
	// Refused items are not merged.
	Refused
)

// share bounds what some of the items take in memory.
type share struct {
	// max is the bound, and used at least what the items take. It is exact after count.
	max, used int64
	// full is set while it is known that no room can be made.
	full bool
}

func (s *share) fits(bytes int64) bool { return s.used+bytes <= s.max }

// room bounds what the items of a catalog take in memory.
type room struct {
	limited             bool
	operators, ofTarget share
	// forgotten is the position of the newest change that was dropped to make room, and forget
	// is called with its key.
	forgotten Position
	forget    func(key string)
}

// shareOf returns the share of the operator's items or of the others.
func (r *room) shareOf(operators bool) *share {
	if operators {
		return &r.operators
	}
	return &r.ofTarget
}

// LimitMemory bounds what the items take in memory, about, with the encoded values that the
// caller keeps of them. To make room the catalog drops the records of keys without a target or a
// version, the oldest first, and calls forget with each key. It is called before the first
// change.
func (c *Catalog) LimitMemory(bytes int64, forget func(key string)) {
	targets := bytes / targetsShare
	c.room = room{limited: true, ofTarget: share{max: targets}, operators: share{max: bytes - targets}, forget: forget}
}

// Admit reports whether an item may be merged: one that replaces a target or a version that is
// known, a configuration, a removal of a known key, and of the others what there is room for.
func (c *Catalog) Admit(item Item, valueBytes int) Admission {
	if !c.room.limited {
		return Admitted
	}
	known := c.records[item.Key]
	isConfig := item.Config != nil || item.UnreadableConfig
	operators := isConfig || item.Adapter != nil || known != nil && known.operators
	growth, valueGrowth := c.growth(item, known), int64(valueBytes)
	if known != nil {
		valueGrowth = max(0, valueGrowth-known.valueBytes)
	}
	switch {
	case isConfig, growth+valueGrowth == 0, c.makeRoom(c.room.shareOf(operators), growth+valueGrowth):
		c.room.shareOf(operators).used += growth + valueGrowth
		return Admitted
	case growth == 0 && (known.target != nil || item.Adapter != nil):
		return AdmittedWithoutValue
	}
	return Refused
}

// growth returns by how much an item makes grow what the catalog holds, besides its value.
func (c *Catalog) growth(item Item, known *record) int64 {
	size := int64(0)
	if known == nil {
		size += itemOverhead + int64(len(item.Key))
	}
	if item.Target != nil && (known == nil || known.target == nil) {
		size += targetOverhead
	}
	if item.Adapter != nil {
		if _, ok := c.versions[item.Adapter.AdapterKey]; !ok {
			size += item.Adapter.AdapterKey.bytes()
		}
	}
	return size
}

// bytes returns what the version of an adapter takes in memory.
func (k AdapterKey) bytes() int64 { return int64(adapterOverhead + len(k.Model) + len(k.Adapter)) }

// bytes returns what the record of a key takes in memory.
func (r *record) bytes(key string) int64 {
	size := itemOverhead + int64(len(key)) + r.valueBytes
	if r.target != nil {
		size += targetOverhead
	}
	return size
}

// KeepsValue records the length of the encoded value that the caller keeps of a known key.
func (c *Catalog) KeepsValue(key string, valueBytes int) {
	if r, ok := c.records[key]; ok {
		r.valueBytes = int64(valueBytes)
	}
}

// Forgotten returns the position of the newest change that was dropped to make room. A key that
// is not known and whose change is not after it may have been removed since.
func (c *Catalog) Forgotten() Position { return c.room.forgotten }

// BeginUpdate is called before the items of an update are admitted: there may be room again.
func (c *Catalog) BeginUpdate() { c.room.operators.full, c.room.ofTarget.full = false, false }

// count sets what the items take.
func (c *Catalog) count() {
	for _, s := range []*share{&c.room.operators, &c.room.ofTarget} {
		s.used, s.full = 0, false
	}
	for key, known := range c.records {
		c.room.shareOf(known.operators).used += known.bytes(key)
	}
	for adapter := range c.versions {
		c.room.operators.used += adapter.bytes()
	}
}

// makeRoom reports whether bytes fit into a share. If they do not, it drops what is not needed
// until an eighth of the share is free besides, so that this is rare.
func (c *Catalog) makeRoom(s *share, bytes int64) bool {
	if s.fits(bytes) {
		return true
	}
	if s.full {
		return false
	}
	c.count()
	if s == &c.room.ofTarget {
		for _, key := range c.withoutTarget() {
			if s.fits(bytes + s.max/8) {
				break
			}
			c.drop(key)
		}
	}
	s.full = !s.fits(bytes)
	return !s.full
}

// withoutTarget returns the keys that are not the operator's and of which no target is known,
// the oldest first.
func (c *Catalog) withoutTarget() []string {
	var keys []string
	for key, known := range c.records {
		if known.target == nil && !known.operators {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return c.records[a].position.Compare(c.records[b].position) })
	return keys
}

// drop removes the record of a key.
func (c *Catalog) drop(key string) {
	known := c.records[key]
	if known.position.After(c.room.forgotten) {
		c.room.forgotten = known.position
	}
	c.room.ofTarget.used -= known.bytes(key)
	delete(c.records, key)
	c.room.forget(key)
}
