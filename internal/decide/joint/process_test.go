package joint_test

import (
	"container/heap"
	"time"
)

// event is a function call that is due at a point in simulated time.
type event struct {
	at time.Duration
	// seq keeps the order of events that are due at the same time.
	seq  int
	call func()
}

// events is a heap of events, the next one first.
type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock is the simulated time with the queue of due calls.
type clock struct {
	elapsed time.Duration
	seq     int
	queue   events
}

var epoch = time.UnixMilli(1_800_000_000_000)

func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

func (c *clock) after(d time.Duration, call func()) {
	c.seq++
	heap.Push(&c.queue, &event{at: c.elapsed + d, seq: c.seq, call: call})
}

// run makes the calls that are due within d.
func (c *clock) run(d time.Duration) {
	end := c.elapsed + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(*event)
		c.elapsed = e.at
		e.call()
	}
	c.elapsed = end
}

// process is the common part of entries and target processes. It can be killed,
// started again as a new incarnation, and paused. Calls arrive in order, and
// none while it is paused.
type process struct {
	clock *clock
	// incarnation is the number of the current start, 0 while the process does
	// not run; starts is the number of starts.
	incarnation, starts int
	pausedUntil         time.Duration
	// inbox holds the calls that arrived during a pause.
	inbox []func()
}

// start begins a new incarnation. tick is called every interval.
func (p *process) start(interval time.Duration, tick func()) {
	p.starts++
	p.incarnation, p.inbox, p.pausedUntil = p.starts, nil, 0
	incarnation := p.incarnation
	var runTick func()
	runTick = func() {
		if p.incarnation != incarnation {
			return
		}
		// Ticks that fall into a pause are skipped.
		if p.pausedUntil <= p.clock.elapsed {
			tick()
		}
		p.clock.after(interval, runTick)
	}
	p.clock.after(0, runTick)
}

func (p *process) kill() { p.incarnation, p.inbox = 0, nil }

// do makes a call in the process, after the pause if it is paused. The call is
// dropped if the incarnation has ended.
func (p *process) do(incarnation int, call func()) {
	switch {
	case p.incarnation != incarnation || incarnation == 0:
	case p.pausedUntil <= p.clock.elapsed:
		call()
	default:
		p.inbox = append(p.inbox, call)
	}
}

// pause pauses the process for d. Calls that arrive in that time are made
// afterwards.
func (p *process) pause(d time.Duration) {
	if p.incarnation == 0 {
		return
	}
	p.pausedUntil = p.clock.elapsed + d
	incarnation, until := p.incarnation, p.pausedUntil
	p.clock.after(d, func() {
		if p.incarnation != incarnation || p.pausedUntil != until {
			return
		}
		p.pausedUntil = 0
		inbox := p.inbox
		p.inbox = nil
		for _, call := range inbox {
			p.do(incarnation, call)
		}
	})
}
