package placement

import (
	"math"
	"time"
)

// Config holds the limits of a Directory.
type Config struct {
	// MaxAdapters bounds the adapters that are remembered.
	MaxAdapters int
	// Ranks is the number of ranks kept for each adapter and the most
	// copies it can have.
	Ranks int
	// GrowShare is the share of one target's part of the load that an
	// adapter may use at each copy before another one is considered.
	GrowShare float64
	// ShrinkShare is the share that the remaining copies may reach when one
	// is given up. It is well below GrowShare, so that a copy is not made
	// and given up again at the same demand.
	ShrinkShare float64
	// GrowSkew is the number of requests for an adapter at each copy, relative
	// to the mean of all targets, above which another copy is made also
	// without queueing; ShrinkSkew is that of the remaining copies when one
	// is given up. SkewSamples is the number of recent requests for the
	// adapter below which its share is chance.
	GrowSkew    float64
	ShrinkSkew  float64
	SkewSamples float64
	// GrowHold is the least time between two further copies. It covers an
	// adapter load and the lag of the load reports that show its effect.
	GrowHold time.Duration
	// ShrinkAfter is how long demand must stay low.
	ShrinkAfter time.Duration
	// CopyLife is how long a copy is expected to be of use, and CopyCost
	// what it costs in request-seconds: its own load and the load that
	// brings the evicted adapter back, each with its wait for a load token.
	CopyLife time.Duration
	CopyCost time.Duration
	// Window is the time constant of the measured demand.
	Window time.Duration
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		MaxAdapters: 16_384,
		Ranks:       16,
		GrowShare:   0.5,
		ShrinkShare: 0.3,
		GrowSkew:    0.4,
		ShrinkSkew:  0.25,
		SkewSamples: 10,
		GrowHold:    2 * time.Second,
		ShrinkAfter: 30 * time.Second,
		CopyLife:    30 * time.Second,
		CopyCost:    time.Second,
		Window:      60 * time.Second,
	}
}

// Load is the load of a pool and of the homes of one adapter.
type Load struct {
	// Busy is the work in the pool in units of what one target may carry
	// beside the others: the mean load of a target.
	Busy float64
	// Excess is the number of requests at the least loaded home of the
	// adapter above the mean of the pool: those that wait there and would
	// not wait elsewhere.
	Excess float64
}

// Directory remembers the ranks, the demand and the number of copies of the
// adapters of one pool.
type Directory struct {
	cfg    Config
	ranker *Ranker
	index  map[string]int
	// records is a ring for the clock algorithm; hand is its position.
	records []record
	hand    int
	total   rate
}

type record struct {
	key    string
	ranks  []int
	demand rate
	copies int
	// grown is when the last copy was added and busy when demand last
	// needed all copies.
	grown time.Time
	busy  time.Time
	// used protects a record from one pass of the clock's hand.
	used bool
}

// rate counts events with exponential decay.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) read(now time.Time, window time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/window.Seconds())
}

func (r *rate) add(now time.Time, window time.Duration) {
	r.value = r.read(now, window) + 1
	r.at = now
}

// NewDirectory returns an empty directory over a ranker.
func NewDirectory(ranker *Ranker, cfg Config) *Directory {
	return &Directory{cfg: cfg, ranker: ranker, index: make(map[string]int)}
}

// SetRanker puts another list of targets in force. Demand and copies stay.
func (d *Directory) SetRanker(ranker *Ranker) {
	d.ranker = ranker
	for i := range d.records {
		d.records[i].ranks = nil
	}
}

// Len returns the number of remembered adapters.
func (d *Directory) Len() int { return len(d.records) }

// Ranks returns the first ranks of an adapter: at least Config.Ranks of them
// or all targets. The caller must not change the list.
func (d *Directory) Ranks(key string) []int { return d.lookup(key).ranks }

// AllRanks returns the full ranking, which is not remembered.
func (d *Directory) AllRanks(key string) []int { return d.ranker.Rank(key, d.ranker.Len()) }

func (d *Directory) lookup(key string) *record {
	i, ok := d.index[key]
	if !ok {
		i = d.place(key)
	}
	rec := &d.records[i]
	// The first use does not protect a record: otherwise a run of one-off
	// adapters marks the whole ring, and the hand evicts a frequent one.
	rec.used = ok
	if rec.ranks == nil {
		rec.ranks = d.ranker.Rank(key, d.cfg.Ranks)
	}
	return rec
}

// place finds room for a new record. A record that was not used since the
// hand's last pass makes way, which keeps frequent adapters.
func (d *Directory) place(key string) int {
	fresh := record{key: key, copies: 1}
	if len(d.records) < d.cfg.MaxAdapters {
		d.records = append(d.records, fresh)
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
	d.records[i] = fresh
	d.index[key] = i
	return i
}

// Arrived counts a request for an adapter.
func (d *Directory) Arrived(now time.Time, key string) {
	d.lookup(key).demand.add(now, d.cfg.Window)
	d.total.add(now, d.cfg.Window)
}

// Copies decides how many of the first ranks are homes of an adapter. The
// requests that one entry sees are a sample of all requests, so the adapter's
// share of them is also its share of the pool's load.
func (d *Directory) Copies(now time.Time, key string, load Load) int {
	rec := d.lookup(key)
	total := d.total.read(now, d.cfg.Window)
	if total == 0 {
		return rec.copies
	}
	recent := rec.demand.read(now, d.cfg.Window)
	demand := recent / total * load.Busy
	skew := 0.0
	if recent >= d.cfg.SkewSamples {
		skew = recent / total * float64(d.ranker.Len())
	}
	d.grow(now, rec, demand, skew, load)
	d.shrink(now, rec, demand, skew)
	return rec.copies
}

func (d *Directory) grow(now time.Time, rec *record, demand, skew float64, load Load) {
	perCopy := demand / float64(rec.copies)
	if rec.copies >= len(rec.ranks) || now.Sub(rec.grown) < d.cfg.GrowHold {
		return
	}
	if skew/float64(rec.copies) > d.cfg.GrowSkew {
		rec.copies++
		rec.grown = now
		rec.busy = now
		return
	}
	if perCopy <= d.cfg.GrowShare {
		return
	}
	queueing := load.Excess * min(perCopy, 1) * d.cfg.CopyLife.Seconds()
	if queueing <= d.cfg.CopyCost.Seconds() {
		return
	}
	rec.copies++
	rec.grown = now
	rec.busy = now
}

func (d *Directory) shrink(now time.Time, rec *record, demand, skew float64) {
	if rec.copies == 1 || demand/float64(rec.copies-1) >= d.cfg.ShrinkShare || skew/float64(rec.copies-1) >= d.cfg.ShrinkSkew {
		rec.busy = now
		return
	}
	if now.Sub(rec.busy) >= d.cfg.ShrinkAfter {
		rec.copies--
		rec.busy = now
	}
}

// Homes returns how many of the first ranks are homes of an adapter now.
func (d *Directory) Homes(key string) int { return d.lookup(key).copies }
