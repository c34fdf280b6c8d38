package placement

import (
	"math"
	"time"
)

// Config holds the limits and time constants of a Directory.
type Config struct {
	// MaxAdapters is the largest number of placement keys (adapters or prefix
	// buckets) of which a record is kept.
	MaxAdapters int
	// MaxRanks is the number of targets, in the order of preference, that are
	// kept for each key, and the largest number of copies.
	MaxRanks int
	// MaxLoadPerCopy is the demand for an adapter at each home, that is, each
	// target that keeps a copy of it, relative to the
	// mean load of a target, above which another copy is considered.
	MaxLoadPerCopy float64
	// MinLoadPerCopy is the demand that each remaining home would have, relative
	// to the mean load of a target, below which a copy is removed. It is well
	// below MaxLoadPerCopy, so that a copy is not added and removed again at the
	// same demand.
	MinLoadPerCopy float64
	// MaxRequestsPerCopyRatio is the number of requests for an adapter at each
	// home, relative to the mean number at a target, above which another copy is
	// added even if no requests queue. MinRequestsPerCopyRatio is the number that
	// each remaining home would have, below which a copy is removed. With fewer
	// recent requests for the adapter than MinRatioSamples, its share is noise and
	// both are ignored.
	MaxRequestsPerCopyRatio float64
	MinRequestsPerCopyRatio float64
	MinRatioSamples         float64
	// MinGrowInterval is the least time between two additions of a copy. It covers
	// loading the adapter and the delay of the load reports that show its
	// effect.
	MinGrowInterval time.Duration
	// ShrinkDelay is how long demand must stay low before a copy is removed.
	ShrinkDelay time.Duration
	// CopyLifetime is how long a copy is expected to be useful. CopyCost is its
	// cost in request-seconds: loading the adapter there and later loading
	// the adapter that it evicts again, each with the wait for a load token,
	// the permission to load one adapter.
	CopyLifetime time.Duration
	CopyCost     time.Duration
	// DemandTimeConstant is the time constant of the counts of requests.
	DemandTimeConstant time.Duration
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		MaxAdapters:             16_384,
		MaxRanks:                16,
		MaxLoadPerCopy:          0.5,
		MinLoadPerCopy:          0.3,
		MaxRequestsPerCopyRatio: 0.4,
		MinRequestsPerCopyRatio: 0.25,
		MinRatioSamples:         10,
		MinGrowInterval:         2 * time.Second,
		ShrinkDelay:             30 * time.Second,
		CopyLifetime:            30 * time.Second,
		CopyCost:                time.Second,
		DemandTimeConstant:      60 * time.Second,
	}
}

// PoolLoad is the load of a pool and of the homes of one adapter.
type PoolLoad struct {
	// Total is the load of the pool in units of the mean load of a target,
	// which is the number of targets.
	Total float64
	// QueuedAtHome is the number of requests by which the least loaded home of the
	// adapter exceeds the mean of the pool: those that wait there and would
	// not wait elsewhere.
	QueuedAtHome float64
}

// Directory keeps the most preferred targets, the demand and the number of
// copies for the placement keys of one pool: its adapters and prefix buckets.
type Directory struct {
	cfg    Config
	ranker *Ranker
	index  map[string]int
	// records is the ring of the CLOCK replacement algorithm; hand is the
	// position in it.
	records []record
	hand    int
	// total counts the requests for all placement keys.
	total decayingCount
}

// record is the state of one placement key.
type record struct {
	key   string
	ranks []int
	// demand counts the requests for the key.
	demand decayingCount
	// copies is the number of homes.
	copies int
	// grownAt is when the last copy was added, neededAt when demand last
	// needed all copies or their number last changed.
	grownAt  time.Time
	neededAt time.Time
	// used protects the record from eviction for one pass of the hand.
	used bool
}

// decayingCount counts events with exponential decay.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) read(now time.Time, window time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp(-max(0, now.Sub(c.at).Seconds())/window.Seconds())
}

func (c *decayingCount) add(now time.Time, window time.Duration) {
	c.value = c.read(now, window) + 1
	c.at = now
}

// NewDirectory returns an empty directory over a ranker.
func NewDirectory(ranker *Ranker, cfg Config) *Directory {
	return &Directory{cfg: cfg, ranker: ranker, index: make(map[string]int)}
}

// SetRanker replaces the ranker, after a change of the targets. Demand and
// numbers of copies stay.
func (d *Directory) SetRanker(ranker *Ranker) {
	d.ranker = ranker
	for i := range d.records {
		d.records[i].ranks = nil
	}
}

// Len returns the number of placement keys of which a record is kept.
func (d *Directory) Len() int { return len(d.records) }

// Ranks returns the indexes of the most preferred targets for a placement key,
// in the order of preference: Config.MaxRanks of them, or all if there are
// fewer. The slice must not be changed.
func (d *Directory) Ranks(key string) []int { return d.lookup(key).ranks }

// AllRanks returns the indexes of all targets in the order of preference for a
// placement key. They are computed on each call.
func (d *Directory) AllRanks(key string) []int { return d.ranker.Rank(key, d.ranker.Len()) }

// lookup returns the record of a placement key, with its ranks.
func (d *Directory) lookup(key string) *record {
	i, ok := d.index[key]
	if !ok {
		i = d.insert(key)
	}
	rec := &d.records[i]
	// The first use does not protect a record. Otherwise a series of keys
	// that are used once would mark the whole ring, and the hand would evict
	// a frequent one.
	rec.used = ok
	if rec.ranks == nil {
		rec.ranks = d.ranker.Rank(key, d.cfg.MaxRanks)
	}
	return rec
}

// insert adds a record for a placement key and returns its index. In a full
// ring it replaces a record that was not used since the last pass of the hand,
// so that frequent keys stay.
func (d *Directory) insert(key string) int {
	added := record{key: key, copies: 1}
	if len(d.records) < d.cfg.MaxAdapters {
		d.records = append(d.records, added)
		d.index[key] = len(d.records) - 1
		return len(d.records) - 1
	}
	for d.records[d.hand].used {
		d.records[d.hand].used = false
		d.hand = (d.hand + 1) % len(d.records)
	}
	i := d.hand
	d.hand = (d.hand + 1) % len(d.records)
	delete(d.index, d.records[i].key)
	d.records[i] = added
	d.index[key] = i
	return i
}

// CountRequest counts a request for a placement key.
func (d *Directory) CountRequest(now time.Time, key string) {
	d.lookup(key).demand.add(now, d.cfg.DemandTimeConstant)
	d.total.add(now, d.cfg.DemandTimeConstant)
}

// UpdateCopies decides how many of the most preferred targets are homes of an
// adapter, and returns that number. The requests at one entry are a sample of
// all requests, so the adapter's share of them is also its share of the pool's
// load.
func (d *Directory) UpdateCopies(now time.Time, key string, load PoolLoad) int {
	rec := d.lookup(key)
	total := d.total.read(now, d.cfg.DemandTimeConstant)
	if total == 0 {
		return rec.copies
	}
	recent := rec.demand.read(now, d.cfg.DemandTimeConstant)
	demand := recent / total * load.Total
	skew := 0.0
	if recent >= d.cfg.MinRatioSamples {
		skew = recent / total * float64(d.ranker.Len())
	}
	d.grow(now, rec, demand, skew, load)
	d.shrink(now, rec, demand, skew)
	return rec.copies
}

// grow adds a copy if the adapter has a large share of the requests, or if the
// queueing that the copy avoids costs more than the copy.
func (d *Directory) grow(now time.Time, rec *record, demand, skew float64, load PoolLoad) {
	perCopy := demand / float64(rec.copies)
	if rec.copies >= len(rec.ranks) || now.Sub(rec.grownAt) < d.cfg.MinGrowInterval {
		return
	}
	if skew/float64(rec.copies) > d.cfg.MaxRequestsPerCopyRatio {
		rec.copies++
		rec.grownAt = now
		rec.neededAt = now
		return
	}
	if perCopy <= d.cfg.MaxLoadPerCopy {
		return
	}
	queueing := load.QueuedAtHome * min(perCopy, 1) * d.cfg.CopyLifetime.Seconds()
	if queueing <= d.cfg.CopyCost.Seconds() {
		return
	}
	rec.copies++
	rec.grownAt = now
	rec.neededAt = now
}

// shrink removes a copy after demand has been low for long enough.
func (d *Directory) shrink(now time.Time, rec *record, demand, skew float64) {
	if rec.copies == 1 || demand/float64(rec.copies-1) >= d.cfg.MinLoadPerCopy || skew/float64(rec.copies-1) >= d.cfg.MinRequestsPerCopyRatio {
		rec.neededAt = now
		return
	}
	if now.Sub(rec.neededAt) >= d.cfg.ShrinkDelay {
		rec.copies--
		rec.neededAt = now
	}
}

// Copies returns the number of copies of an adapter, which is the number of its
// homes, as UpdateCopies last decided. It is 1 before the first decision and
// after the record of the adapter was evicted.
func (d *Directory) Copies(key string) int { return d.lookup(key).copies }
