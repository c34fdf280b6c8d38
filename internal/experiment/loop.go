package experiment

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time. It is fixed because the minting periods of
// load tokens (package loadbudget) follow the wall clock and must be the same in
// every run.
var epoch = time.Unix(1_800_000_000, 0)

// event is a function to run at a time. seq is its order of insertion.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// loop runs events in order of time. Events of the same time run in the order in
// which they were added.
type loop struct {
	now  time.Time
	seq  uint64
	heap eventHeap
}

func newLoop() *loop { return &loop{now: epoch} }

// at schedules run at time t.
func (l *loop) at(t time.Time, run func()) {
	l.seq++
	heap.Push(&l.heap, event{at: t, seq: l.seq, run: run})
}

// after schedules run when d has passed.
func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// every calls run after the offset and then once per period.
func (l *loop) every(offset, period time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		l.after(period, next)
	}
	l.after(offset, next)
}

// runUntil runs all events before end and sets the time to end.
func (l *loop) runUntil(end time.Time) {
	for len(l.heap) > 0 && l.heap[0].at.Before(end) {
		e := heap.Pop(&l.heap).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
