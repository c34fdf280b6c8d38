// Package admission holds the request queue of one target. It decides which
// request is admitted, which is refused at once and which starts next. A target
// is a model engine or a plain service; an adapter is a LoRA adapter that an
// engine loads into one of its slots.
//
// A request has a budget: the time from its arrival to its deadline. Short and
// long requests wait in separate lanes. Within a lane the item with the
// earliest deadline starts first. While that deadline is not at risk, items
// whose adapter is already in the running batch start before it. A part of
// every budget is reserved for adapters that had much less than an equal part of
// the recent work, so that a hot adapter, that is, one with most of the requests,
// does not starve them. Items that start later because of this can still start in
// time, because they were admitted without the reserved part of their budgets.
//
// A Queue is a state machine without I/O or a clock of its own. It is not safe
// for concurrent use.
package admission

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/wire"
)

// Config holds the limits of one target.
type Config struct {
	// MaxRunning is the maximum number of requests that run at once.
	MaxRunning int
	// MinRunning is the lower bound of the adaptive limit; 0 means a quarter
	// of MaxRunning.
	MinRunning int
	// StaticLimit disables the adaptive limit: MaxRunning applies.
	StaticLimit bool
	// MaxWaiting is the maximum number of requests that wait. Long requests
	// take at most half of the places, and the number of places that one
	// adapter may take shrinks with the number of free ones.
	MaxWaiting int
	// MaxLongShare is the maximum share, 0 to 1, of the concurrency limit that
	// long requests may use. A share above 0 allows at least one. With a share
	// of 0 one long request runs at a time, and it starts only while no short
	// one waits.
	MaxLongShare float64
	// FIFO selects the baseline for measurements: one queue in order of
	// arrival, no refusal by predicted start, no removal at the deadline, a
	// static limit.
	FIFO bool
}

// Item is a request in the queue.
type Item struct {
	ID      wire.AttemptID
	Adapter slots.Key
	Class   string
	Long    bool
	// FirstTokenDeadline is the time by which the first token is due, or the whole
	// answer of a plain service. The latest useful start is earlier by the mean
	// time to the first token, which the queue measures by the calls of
	// FirstToken.
	FirstTokenDeadline time.Time
	// EstimatedTokens estimates the length of the answer. Predictions use the
	// measured service time of the class instead, because callers give upper
	// bounds.
	EstimatedTokens int
	EnqueuedAt      time.Time
	// AwaitsRun prevents the item from starting until Release.
	AwaitsRun bool
}

// Outcome describes how a running item ended.
type Outcome struct {
	// Tokens is the length of the answer; 0 means unknown.
	Tokens int
	// Failed marks an item that did not complete. It is not a sample of the
	// service time.
	Failed bool
}

// waitingItem is an Item that waits, with its places in the queue's indexes.
type waitingItem struct {
	item         Item
	seq          uint64
	lane         *lane
	adapterQueue *adapterQueue
	class        *class
	// latestStart is the latest start after which the first token is still
	// expected by the deadline. effectiveDeadline is the time by which its
	// lane orders the item. It is latestStart, or earlier for an item of an
	// underserved adapter.
	latestStart, effectiveDeadline time.Time

	prev, next                   *waitingItem
	deadlinePos, adapterQueuePos int
	isOverdue                    bool
}

// runningItem is an Item that has started.
type runningItem struct {
	item         *Item
	seq          uint64
	class        *class
	startedAt    time.Time
	predictedEnd time.Time
}

// batchAdapter is an adapter with the number of its running items.
type batchAdapter struct {
	key   slots.Key
	count int
}

// Queue holds the waiting and running items of one target.
type Queue struct {
	cfg     Config
	rng     *rand.Rand
	limiter limiter
	// lastCall is the time passed to the last call that took one.
	lastCall time.Time
	seq      uint64

	waiting    map[wire.AttemptID]*waitingItem
	head, tail *waitingItem
	// onTime and overdue order the waiting items by latest start. Overdue
	// items can no longer start; RemoveExpired removes them.
	onTime, overdue heap[*waitingItem]
	lanes           [2]*lane

	running map[wire.AttemptID]*runningItem
	// runningByEnd holds the running items of each kind by predicted end.
	runningByEnd [2][]*runningItem
	// batch lists the adapters of the running items.
	batch []batchAdapter
}

// New returns an empty queue. rng adds jitter to the retry delays; nil adds
// none.
func New(cfg Config, rng *rand.Rand) *Queue {
	q := &Queue{
		rng:     rng,
		waiting: make(map[wire.AttemptID]*waitingItem),
		running: make(map[wire.AttemptID]*runningItem),
		onTime:  heap[*waitingItem]{less: byLatestStart, pos: func(w *waitingItem) *int { return &w.deadlinePos }},
		overdue: heap[*waitingItem]{less: byLatestStart, pos: func(w *waitingItem) *int { return &w.deadlinePos }},
		lanes:   [2]*lane{newLane(initialServiceTime), newLane(initialLongServiceTime)},
	}
	q.Configure(cfg)
	return q
}

// Configure changes the limits.
func (q *Queue) Configure(cfg Config) {
	q.cfg = cfg
	q.limiter.configure(cfg)
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Limit returns the number of items that may run at once.
func (q *Queue) Limit() int { return q.limiter.limit }

// Release lets a held item start.
func (q *Queue) Release(id wire.AttemptID) {
	w := q.waiting[id]
	if w == nil || !w.item.AwaitsRun {
		return
	}
	w.item.AwaitsRun = false
	if !w.isOverdue {
		w.lane.enable(w)
	}
}

// AdapterReady reports to the queue that an adapter is resident, so that its
// items can start. Next also detects this, but checks only a few absent
// adapters per call while other items can start.
func (q *Queue) AdapterReady(key slots.Key) {
	for _, l := range q.lanes {
		if aq, ok := l.queues[key]; ok {
			l.markReady(aq)
		}
	}
}

// Next removes the item to start now from the waiting ones, counts it as
// running and returns it. isReady reports whether the item's adapter is
// resident; the result must be the same for all items of an adapter that are
// not held.
func (q *Queue) Next(now time.Time, isReady func(*Item) bool) (*Item, bool) {
	q.lastCall = now
	if len(q.running) >= q.limiter.limit {
		q.limiter.limitReached = q.limiter.limitReached || len(q.waiting) > 0
		return nil, false
	}
	w := q.selectNext(now, isReady)
	if w == nil {
		return nil, false
	}
	w.lane.recordStart()
	q.unlink(w)
	q.addRunning(now, w)
	return &w.item, true
}

func (q *Queue) selectNext(now time.Time, isReady func(*Item) bool) *waitingItem {
	if q.cfg.FIFO {
		w := q.head
		if w == nil || w.item.AwaitsRun || !isReady(&w.item) {
			return nil
		}
		return w
	}
	q.moveOverdue(now)
	if q.longFirst(now) {
		if w := q.selectFromLane(now, long, isReady); w != nil {
			return w
		}
	}
	if w := q.selectFromLane(now, short, isReady); w != nil {
		return w
	}
	if !q.mayStartLong() {
		return nil
	}
	return q.selectFromLane(now, long, isReady)
}

func (q *Queue) selectFromLane(now time.Time, k int, isReady func(*Item) bool) *waitingItem {
	return q.lanes[k].selectNext(now, q.riskMargin(k), q.batch, isReady)
}

// moveOverdue takes items past their latest start out of the startable ones.
func (q *Queue) moveOverdue(now time.Time) {
	for q.onTime.len() > 0 && now.After(q.onTime.top().latestStart) {
		w := q.onTime.top()
		q.onTime.remove(w)
		w.isOverdue = true
		if w.adapterQueuePos > 0 && w.adapterQueue.notReadyPos == 0 {
			w.lane.recordMiss()
		}
		q.overdue.push(w)
		w.lane.disable(w)
	}
}

func (q *Queue) unlink(w *waitingItem) {
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	delete(q.waiting, w.item.ID)
	if w.isOverdue {
		q.overdue.remove(w)
	} else {
		q.onTime.remove(w)
	}
	w.lane.remove(w)
}

// Remove removes a waiting item. It returns false if the item does not wait.
func (q *Queue) Remove(id wire.AttemptID) bool {
	w := q.waiting[id]
	if w == nil {
		return false
	}
	q.unlink(w)
	return true
}

// RemoveExpired removes and returns the items whose latest start has passed,
// the earliest first.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	q.lastCall = now
	if q.cfg.FIFO {
		return nil
	}
	q.moveOverdue(now)
	var expired []*Item
	for q.overdue.len() > 0 {
		w := q.overdue.top()
		q.unlink(w)
		expired = append(expired, &w.item)
	}
	return expired
}

// EachWaiting calls f for every waiting item, in order of arrival. f must not
// change the queue.
func (q *Queue) EachWaiting(f func(*Item)) {
	for w := q.head; w != nil; w = w.next {
		f(&w.item)
	}
}
