package quota

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// holderTTL is how long the owner remembers an entry after its last ask. Units that
	// are returned later are lost.
	holderTTL = 10 * time.Second
	// lowPart is the part of the burst, or of what a second refills if that is less, that
	// is granted only to requests that wait. Without it, leases would use up the bucket, and
	// the large requests, which fit in no rest of a lease, would be refused more often.
	lowPart = 0.1
	// leastBurst is the part of the burst, or of what a second refills if that is more,
	// that the bucket saves whatever the leases hold.
	leastBurst = 0.25
)

// bucket is the token bucket of one workspace at its owner. The units in the bucket and
// those in leases together do not exceed the burst, as long as they can't be spent at once
// in one window.
type bucket struct {
	quota catalog.Quota
	// level is what the bucket holds; below 0 it is in debt.
	level float64
	at    time.Time
	// extraBurst is what the bucket saves beyond the burst, and sharedPart the part of the rate
	// that entries which are not connected with the owner may spend.
	extraBurst, sharedPart float64
	// leased is what the holders' leases may hold together.
	leased  float64
	holders map[string]*holder
	askedAt time.Time
	claim   claim
}

// holder is what the owner knows of one entry.
type holder struct {
	// newest is the highest number of its asks, seen has a bit for each of the last 64.
	newest, seen uint64
	// leased is the most that its lease may hold, until leasedUntil.
	leased      float64
	leasedUntil time.Time
	// returnable is what it was granted and has not returned.
	returnable float64
	askedAt    time.Time
}

// newBucket returns a bucket that was empty at a time, from which on no other entry can have
// granted units.
func newBucket(emptyAt time.Time, q catalog.Quota) *bucket {
	return &bucket{quota: q, at: emptyAt, holders: make(map[string]*holder)}
}

// capacity returns how much the bucket holds.
func (b *bucket) capacity() float64 {
	q, burst := b.quota, b.quota.Burst+b.extraBurst
	return max(burst-b.leased, min(q.Burst, leastBurst*max(q.Burst, q.RatePerSecond)))
}

// add adds units, up to the capacity.
func (b *bucket) add(units float64) {
	b.level = min(b.level+units, max(b.level, b.capacity()))
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.add(b.quota.RatePerSecond * (1 - b.sharedPart) * elapsed)
		b.at = now
	}
}

// setQuota changes the quota. What the bucket holds or owes stays, up to the new burst.
func (b *bucket) setQuota(now time.Time, q catalog.Quota) {
	b.refill(now)
	b.quota = q
	b.level = min(b.level, q.Burst+b.extraBurst)
}

// isNew reports whether an ask with this number was not received before.
func (h *holder) isNew(number uint64) bool {
	switch {
	case number > h.newest:
		if shift := number - h.newest; shift < 64 {
			h.seen = h.seen<<shift | 1
		} else {
			h.seen = 1
		}
		h.newest = number
		return true
	case h.newest-number >= 64 || h.seen&(1<<(h.newest-number)) != 0:
		return false
	}
	h.seen |= 1 << (h.newest - number)
	return true
}

// setLeased sets the most that the lease of an entry may hold.
func (b *bucket) setLeased(h *holder, units float64) {
	b.leased = max(0, b.leased+units-h.leased)
	h.leased = units
}

// ask handles an ask. It returns false if there is no reply, because the ask returns units
// or was received before.
func (b *bucket) ask(now time.Time, bounds Bounds, from string, a *wire.QuotaAsk) (wire.QuotaGrant, bool) {
	b.refill(now)
	b.askedAt = now
	h := b.holders[from]
	if h == nil {
		h = &holder{}
		b.holders[from] = h
		// A lease from the previous owner.
		b.setLeased(h, min(a.Held, b.quota.RatePerSecond))
		h.leasedUntil = now.Add(LeaseTime)
	}
	if !h.isNew(a.Number) {
		return wire.QuotaGrant{}, false
	}
	h.askedAt = now
	if a.Returned > 0 {
		units := min(a.Returned, h.returnable)
		h.returnable -= units
		b.setLeased(h, max(0, h.leased-units))
		b.add(units)
		return wire.QuotaGrant{}, false
	}
	if a.Number == h.newest {
		b.setLeased(h, min(h.leased, a.Held))
	}
	g := wire.QuotaGrant{Number: a.Number}
	if a.Needed > 0 && !b.take(bounds, a.Needed, &g) {
		return g, true
	}
	if lease := b.lease(bounds, a.Expected); lease > 0 {
		b.level -= lease
		b.setLeased(h, h.leased+lease)
		g.Units += lease
	}
	if g.Units > 0 {
		h.leasedUntil = now.Add(LeaseTime)
		h.returnable += g.Units
	}
	return g, true
}

// take takes the units of one request. Without a debt it may take the bucket into one, so
// that large requests are refused no more often than small ones.
func (b *bucket) take(bounds Bounds, units float64, g *wire.QuotaGrant) bool {
	q := b.quota
	// missing is what the bucket must hold more before the request is granted.
	missing := -b.level
	g.Full = missing > tolerance
	if debt := bounds.maxDebt(q); units > q.Burst+debt {
		g.Full, g.RetryAfterMS = false, wire.AgeMS(bounds.Window)
		return false
	} else if more := units - debt - b.level; more > missing {
		missing = more
	}
	if missing > tolerance {
		g.RetryAfterMS = wire.AgeMS(seconds(missing/q.RatePerSecond) + time.Millisecond)
		return false
	}
	b.level -= units
	g.Granted, g.Units = true, units
	return true
}

// lease returns how much of what an entry expects to need it gets in advance.
func (b *bucket) lease(bounds Bounds, expected float64) float64 {
	low := lowPart * min(b.quota.Burst, b.quota.RatePerSecond)
	// Half of what there is leaves something to the other entries.
	return min(expected, (b.level-low)/2, bounds.maxLeased(b.quota)-b.leased)
}

// prune forgets the leases that have expired and the entries that no longer ask.
func (b *bucket) prune(now time.Time) {
	for name, h := range b.holders {
		if now.After(h.leasedUntil) {
			b.setLeased(h, 0)
		}
		if now.Sub(h.askedAt) > holderTTL {
			delete(b.holders, name)
		}
	}
	if len(b.holders) == 0 {
		b.leased = 0
	}
}

// isUnused reports whether the bucket is full and nobody asks, so that a new one at this
// owner would be the same.
func (b *bucket) isUnused(now time.Time) bool {
	b.refill(now)
	return len(b.holders) == 0 && b.level >= b.quota.Burst+b.extraBurst
}

// seconds returns a number of seconds as a duration of a day at most.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 86_400) * float64(time.Second))
}
