package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// timers is a heap of open calls, ordered by wake time. Equal times are ordered
// by call number, so that the same events give the same actions.
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

// schedule computes the wake time of an open call and updates the heap.
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

// unschedule removes a call from the heap.
func (d *Dispatcher) unschedule(c *call) {
	if c.heapIndex >= 0 {
		heap.Remove(&d.timers, c.heapIndex)
	}
}

// nextWake returns the earliest time at which the call is due without a
// message.
func (c *call) nextWake() time.Time {
	wake := c.totalDeadline()
	consider := func(t time.Time) {
		if !t.IsZero() && t.Before(wake) {
			wake = t
		}
	}
	if len(c.attempts) == 0 {
		consider(c.retryAt)
		return wake
	}
	for _, a := range c.attempts {
		consider(a.phaseDeadline)
	}
	if !c.answer.Started() {
		consider(c.hedgeAt)
	}
	if c.endsWithoutFirstToken() {
		consider(c.firstTokenDeadline().Add(FirstTokenGracePeriod))
	}
	return wake
}

// endsWithoutFirstToken reports whether the call ends if it has no first token
// FirstTokenGracePeriod after its first-token deadline. A call that may not be
// repeated is left to run, because a late outcome is better than an unknown
// one. An answer that is not streamed may have no chunk before its end, so the
// deadline does not apply to it.
func (c *call) endsWithoutFirstToken() bool {
	return c.Stream && c.Route.Repeatable && !c.answer.Started()
}

// Tick performs all that is due at a time: timeouts, retries, hedges, the
// closing of idle sessions and the forwarding of load tokens.
func (d *Dispatcher) Tick(now time.Time) []Action {
	for len(d.timers) > 0 && !now.Before(d.timers[0].wakeAt) {
		c := d.timers[0]
		d.runDue(now, c)
		if d.calls[c.Number] == c && !now.Before(c.wakeAt) {
			// The call is due again at once. It is left to the
			// next Tick, so that a fault in the wake times cannot
			// cause an endless loop.
			c.wakeAt = now.Add(time.Millisecond)
			heap.Fix(&d.timers, c.heapIndex)
		}
	}
	d.closeIdleSessions(now)
	d.forwardLoadTokens(now)
	return d.takeActions()
}

// runDue performs what is due for a call: a retry, a deadline, the timeouts of
// its attempts and a hedge.
func (d *Dispatcher) runDue(now time.Time, c *call) {
	if len(c.attempts) == 0 {
		d.startNextAttempt(now, c)
		return
	}
	if !now.Before(c.totalDeadline()) || c.endsWithoutFirstToken() && !now.Before(c.firstTokenDeadline().Add(FirstTokenGracePeriod)) {
		d.endAtDeadline(now, c)
		return
	}
	for _, a := range slices.Clone(c.attempts) {
		if !now.Before(a.phaseDeadline) && slices.Contains(c.attempts, a) {
			d.attemptTimedOut(now, a)
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
