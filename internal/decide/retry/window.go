package retry

import (
	"sync"
	"time"
)

const (
	// windowShare is the part of the budget that entries use. The rest covers
	// requests that they count in different windows.
	windowShare = 0.75
	// windowParts is the number of parts of a window.
	windowParts = 10
)

// Window bounds the repeats of one entry to its part of a budget that all
// entries share: a ratio of the requests plus a slack in each window. Each
// entry takes the ratio of its own requests and an equal part of the slack, so
// that nobody has to hand it out. It may be used by any goroutine.
type Window struct {
	part time.Duration
	// start gives the parts their numbers. The time of day may jump.
	start time.Time

	mu           sync.Mutex
	ratio, slack float64
	entries      int
	pools        map[string]*windowCount
}

type windowCount struct {
	requests [windowParts]int
	repeats  [windowParts]int
	// at is the number of the newest part.
	at int64
}

// NewWindow returns a budget of ratio and slack in a window.
func NewWindow(ratio, slack float64, window time.Duration) *Window {
	return &Window{
		ratio: ratio, slack: slack, part: window / windowParts, start: time.Now(), entries: unknownEntries,
		pools: make(map[string]*windowCount),
	}
}

// unknownEntries is the number of entries that share the slack before any is
// known.
const unknownEntries = 8

// SetEntries sets the number of entries that share the slack.
func (w *Window) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(1, n)
}

// SetBounds changes the ratio and the slack.
func (w *Window) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

func (w *Window) count(now time.Time, pool string) *windowCount {
	c, ok := w.pools[pool]
	if !ok {
		c = &windowCount{}
		w.pools[pool] = c
	}
	number := int64(now.Sub(w.start) / w.part)
	if number < c.at || number-c.at >= windowParts {
		*c = windowCount{at: number}
	}
	for ; c.at < number; c.at++ {
		next := (c.at + 1) % windowParts
		c.requests[next], c.repeats[next] = 0, 0
	}
	return c
}

// Request counts a request for a pool.
func (w *Window) Request(now time.Time, pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(now, pool)
	c.requests[c.at%windowParts]++
}

// Spend takes one repeat from the budget of a pool. It returns false if the
// budget of the window is used up.
func (w *Window) Spend(now time.Time, pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(now, pool)
	requests, repeats := 0, 0
	for i := range windowParts {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if float64(repeats+1) > windowShare*(w.ratio*float64(requests)+w.slack/float64(w.entries)) {
		return false
	}
	c.repeats[c.at%windowParts]++
	return true
}
