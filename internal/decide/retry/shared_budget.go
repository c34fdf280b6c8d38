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
// equal part of the slack, so that the entries need not communicate. What an entry
// has used of its part counts also after it has started again, if Restore is told
// of it. It may be used by any goroutine.
type SharedBudget struct {
	// window is the length of the window.
	window time.Duration
	// partDuration is the length of one part of the window.
	partDuration time.Duration
	// start is when the entry started, from which parts are numbered. It holds a
	// monotonic clock reading, because the time of day may jump.
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
	// earlier is what the entry used before it started.
	earlier SlackUse
}

// SlackUse is how many repeats beyond the ratio an entry has sent to a pool in the
// window up to a time.
type SlackUse struct {
	Pool    string
	Repeats float64
	At      time.Time
}

// NewSharedBudget returns a budget with a ratio and a slack for each window of
// time, of an entry that starts now.
func NewSharedBudget(now time.Time, ratio, slack float64, window time.Duration) *SharedBudget {
	return &SharedBudget{
		ratio: ratio, slack: slack, window: window, partDuration: window / windowParts, start: now, entries: defaultEntries,
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
		*c = poolCounts{newest: number, earlier: c.earlier}
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
	return w.hasRepeat(now, w.countsOf(now, pool))
}

// TrySpend takes one repeat from the budget of a pool. It reports false if the
// budget of the current window is used up.
func (w *SharedBudget) TrySpend(now time.Time, pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(now, pool)
	if !w.hasRepeat(now, c) {
		return false
	}
	c.repeats[c.newest%windowParts]++
	return true
}

// hasRepeat reports whether the counts of a pool allow another repeat.
func (w *SharedBudget) hasRepeat(now time.Time, c *poolCounts) bool {
	return w.slackUsed(now, c)+1 <= usableBudgetShare*w.slack/float64(w.entries)
}

// slackUsed returns the repeats in the window that the ratio of the requests does
// not cover. It is negative if the ratio covers more.
func (w *SharedBudget) slackUsed(now time.Time, c *poolCounts) float64 {
	requests, repeats := 0, 0
	for i := range windowParts {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	used := float64(repeats) - usableBudgetShare*w.ratio*float64(requests)
	if now.Sub(c.earlier.At) < w.window {
		used += c.earlier.Repeats
	}
	return used
}

// SlackUses returns what this entry has used of the slack in the window up to now.
func (w *SharedBudget) SlackUses(now time.Time) (uses []SlackUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for pool := range w.pools {
		if used := w.slackUsed(now, w.countsOf(now, pool)); used > 0 {
			uses = append(uses, SlackUse{Pool: pool, Repeats: used, At: now})
		}
	}
	return uses
}

// Restore counts what this entry used before it started. Of several uses of a pool
// the newest holds. What was used since the start is counted already.
func (w *SharedBudget) Restore(now time.Time, u SlackUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.countsOf(now, u.Pool); u.At.Before(w.start) && u.At.After(c.earlier.At) {
		c.earlier = u
	}
}
