package retry

import (
	"sync"
	"time"
)

const (
	// usableBudgetShare is the share of the budget that entries use. The rest
	// is a margin, because the windows of the entries do not start and end at
	// the same time and so count different requests.
	usableBudgetShare = 0.75
	// windowParts is the number of parts of a sliding window.
	windowParts = 10
)

// SharedBudget limits the repeats of one entry to its part of a budget that all
// entries share. A repeat is any further attempt at a request after the first
// one. For each pool and sliding window of time, the budget is a ratio of the
// requests plus a slack. Each entry uses the ratio of its own requests and an
// equal part of the slack, so that the entries need not communicate. It may be
// used by any goroutine.
type SharedBudget struct {
	// partDuration is the length of one part of the window.
	partDuration time.Duration
	// start is the time from which parts are numbered. It holds a monotonic
	// clock reading, because the time of day may jump.
	start time.Time

	mu           sync.Mutex
	ratio, slack float64
	entries      int
	pools        map[string]*poolCounts
}

// poolCounts is a ring of counts for one pool.
type poolCounts struct {
	requests [windowParts]int
	repeats  [windowParts]int
	// newest is the number of the newest part.
	newest int64
}

// NewSharedBudget returns a budget with a ratio and a slack for each window of
// time.
func NewSharedBudget(ratio, slack float64, window time.Duration) *SharedBudget {
	return &SharedBudget{
		ratio: ratio, slack: slack, partDuration: window / windowParts, start: time.Now(), entries: defaultEntries,
		pools: make(map[string]*poolCounts),
	}
}

// defaultEntries is the number of entries that share the slack until SetEntries
// is called.
const defaultEntries = 8

// SetEntries sets the number of entries that share the slack.
func (w *SharedBudget) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(1, n)
}

// SetBounds changes the ratio and the slack that bound the repeats.
func (w *SharedBudget) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// countsOf returns the counts of a pool, after it cleared the parts that have
// left the window since the last call.
func (w *SharedBudget) countsOf(now time.Time, pool string) *poolCounts {
	c, ok := w.pools[pool]
	if !ok {
		c = &poolCounts{}
		w.pools[pool] = c
	}
	number := int64(now.Sub(w.start) / w.partDuration)
	if number < c.newest || number-c.newest >= windowParts {
		*c = poolCounts{newest: number}
	}
	for ; c.newest < number; c.newest++ {
		next := (c.newest + 1) % windowParts
		c.requests[next], c.repeats[next] = 0, 0
	}
	return c
}

// CountRequest counts a request for a pool.
func (w *SharedBudget) CountRequest(now time.Time, pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(now, pool)
	c.requests[c.newest%windowParts]++
}

// CanSpend reports whether the budget of a pool has a repeat left.
func (w *SharedBudget) CanSpend(now time.Time, pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasRepeat(w.countsOf(now, pool))
}

// TrySpend takes one repeat from the budget of a pool. It reports false if the
// budget of the current window is used up.
func (w *SharedBudget) TrySpend(now time.Time, pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(now, pool)
	if !w.hasRepeat(c) {
		return false
	}
	c.repeats[c.newest%windowParts]++
	return true
}

// hasRepeat reports whether the counts of a pool allow another repeat.
func (w *SharedBudget) hasRepeat(c *poolCounts) bool {
	requests, repeats := 0, 0
	for i := range windowParts {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	return float64(repeats+1) <= usableBudgetShare*(w.ratio*float64(requests)+w.slack/float64(w.entries))
}
