package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// timers is a heap of open calls by wake time. Equal times are ordered by
// call number, so that a run is repeatable.
type timers []*call

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	if c := h[i].wakeAt.Compare(h[j].wakeAt); c != 0 {
		return c < 0
	}
	return h[i].Number < h[j].Number
}

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.heapIndex = -1
	return c
}

// schedule sets the wake time of an open call from its state.
func (d *Dispatcher) schedule(c *call) {
	if d.calls[c.Number] != c {
		return
	}
	c.wakeAt = c.nextWake()
	if c.heapIndex < 0 {
		heap.Push(&d.timers, c)
		return
	}
	heap.Fix(&d.timers, c.heapIndex)
}

func (d *Dispatcher) unschedule(c *call) {
	if c.heapIndex >= 0 {
		heap.Remove(&d.timers, c.heapIndex)
	}
}

// nextWake returns the earliest time at which something happens by itself.
func (c *call) nextWake() time.Time {
	wake := c.totalDeadline()
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(wake) {
			wake = t
		}
	}
	if len(c.attempts) == 0 {
		earlier(c.retryAt)
		return wake
	}
	for _, a := range c.attempts {
		earlier(a.wakeAt)
	}
	if !c.answer.Started() {
		earlier(c.hedgeAt)
	}
	if c.givesUpEarly() {
		earlier(c.firstTokenDeadline().Add(FirstTokenGrace))
	}
	return wake
}

// givesUpEarly tells whether the call ends at its first-token deadline. A
// call that may not be repeated is left to run, because a late outcome is
// better than an unknown one; an answer that is not streamed shows no first
// token.
func (c *call) givesUpEarly() bool {
	return c.Stream && c.Route.Repeatable && !c.answer.Started()
}

// Tick runs everything that depends on time.
func (d *Dispatcher) Tick(now time.Time) []Action {
	for len(d.timers) > 0 && !now.Before(d.timers[0].wakeAt) {
		c := d.timers[0]
		d.wake(now, c)
		if d.calls[c.Number] == c && !now.Before(c.wakeAt) {
			// The call is due again at once; the next Tick runs it, so that
			// a fault in the wake times cannot keep this one from ending.
			c.wakeAt = now.Add(time.Millisecond)
			heap.Fix(&d.timers, c.heapIndex)
		}
	}
	d.closeIdle(now)
	d.forwardGrants(now)
	return d.take()
}

// wake runs what is due for a call.
func (d *Dispatcher) wake(now time.Time, c *call) {
	if len(c.attempts) == 0 {
		d.start(now, c)
		return
	}
	if !now.Before(c.totalDeadline()) || c.givesUpEarly() && !now.Before(c.firstTokenDeadline().Add(FirstTokenGrace)) {
		d.giveUp(now, c)
		return
	}
	for _, a := range slices.Clone(c.attempts) {
		if !now.Before(a.wakeAt) && slices.Contains(c.attempts, a) {
			d.timeout(now, a)
		}
	}
	if d.calls[c.Number] != c {
		return
	}
	if !c.hedgeAt.IsZero() && !now.Before(c.hedgeAt) {
		c.hedgeAt = time.Time{}
		d.hedge(now, c)
	}
	d.schedule(c)
}
