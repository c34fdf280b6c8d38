package picker

import "container/list"

// Hints is a bounded set of keys that a target is assumed to hold, such as
// adapters or prompt prefixes. When it is full, a new key replaces the least
// recently confirmed one.
type Hints[K comparable] struct {
	limit int
	order *list.List
	items map[K]*list.Element
}

// NewHints returns an empty set of at most limit keys.
func NewHints[K comparable](limit int) *Hints[K] {
	return &Hints[K]{limit: max(limit, 1), order: list.New(), items: make(map[K]*list.Element)}
}

// Confirm adds a key or marks it as the most recently confirmed one. It is also
// called when the target is only assumed to hold the key, for example while it
// loads an adapter.
func (h *Hints[K]) Confirm(key K) {
	if e, ok := h.items[key]; ok {
		h.order.MoveToFront(e)
		return
	}
	if h.order.Len() >= h.limit {
		oldest := h.order.Back()
		h.order.Remove(oldest)
		delete(h.items, oldest.Value.(K))
	}
	h.items[key] = h.order.PushFront(key)
}

// Has reports whether the key is in the set.
func (h *Hints[K]) Has(key K) bool {
	_, ok := h.items[key]
	return ok
}

// Remove removes a key.
func (h *Hints[K]) Remove(key K) {
	if e, ok := h.items[key]; ok {
		h.order.Remove(e)
		delete(h.items, key)
	}
}

// Clear removes all keys.
func (h *Hints[K]) Clear() {
	h.order.Init()
	clear(h.items)
}

// Len returns the number of keys.
func (h *Hints[K]) Len() int { return len(h.items) }

// maxPrefixes bounds the prefix hints of one target.
const maxPrefixes = 128

// PrefixHints holds the hashes of the prompt prefixes that a target is assumed
// to have cached. They come from answers and from the target's cache events.
type PrefixHints struct {
	hints *Hints[uint64]
	// last is the sequence number of the latest cache event, 0 before one.
	last uint64
}

// NewPrefixHints returns an empty set.
func NewPrefixHints() *PrefixHints { return &PrefixHints{hints: NewHints[uint64](maxPrefixes)} }

// RecordAnswered records that a request with the prefix was answered.
func (p *PrefixHints) RecordAnswered(hash uint64) { p.hints.Confirm(hash) }

// Has reports whether the prefix is assumed to be cached. Hash 0 stands for no
// prefix.
func (p *PrefixHints) Has(hash uint64) bool { return hash != 0 && p.hints.Has(hash) }

// Clear removes all hints, for example after a restart of the engine.
func (p *PrefixHints) Clear() {
	p.hints.Clear()
	p.last = 0
}

// ApplyCacheEvent processes a cache event. After a gap in the sequence numbers,
// evictions may have been missed, so older hints are dropped. Of a late event
// only the evictions count, because what it stored may have been evicted since.
func (p *PrefixHints) ApplyCacheEvent(sequence uint64, stored, evicted []uint64) {
	late := p.last != 0 && sequence <= p.last
	if p.last != 0 && sequence > p.last+1 {
		p.hints.Clear()
	}
	for _, hash := range evicted {
		p.hints.Remove(hash)
	}
	if late {
		return
	}
	p.last = sequence
	for _, hash := range stored {
		p.hints.Confirm(hash)
	}
}
