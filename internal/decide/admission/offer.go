package admission

import (
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// Result is Admitted or the reason why an item is refused.
type Result uint8

// Admitted is no refusal. RefusedQueueFull means that no place in the queue is
// free for the item; RefusedTooLate, that it is predicted to start too late.
const (
	Admitted Result = iota
	RefusedQueueFull
	RefusedTooLate
)

// Decision is the result of Admit.
type Decision struct {
	Result Result
	// StartDelay is the predicted delay until the item starts.
	StartDelay time.Duration
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

const (
	// reservedFraction is the fraction of a budget that is reserved: only an
	// item of an underserved adapter may be admitted if its predicted wait
	// extends into the reserved part. The other items can therefore start later
	// than predicted, which also allows grouping by adapter.
	reservedFraction = 0.2
	// maxWaitingPerFreePlace bounds the waiting items of one adapter, as a
	// multiple of the free places, so that one adapter cannot fill the queue.
	maxWaitingPerFreePlace = 8
	// maxLongQueueFraction is the fraction of the places that long items may
	// take.
	maxLongQueueFraction = 0.5
)

// Admit admits or refuses an item. adapterDelay is the predicted delay until
// the item's adapter is resident. An item that already waits or runs counts as
// admitted and is not added again.
func (q *Queue) Admit(now time.Time, item Item, adapterDelay time.Duration) Decision {
	q.lastCall = now
	k := kind(item.Long)
	l := q.lanes[k]
	w := &waitingItem{item: item, seq: q.seq + 1, lane: l, class: l.class(item.Class)}
	wait, excess := l.evaluate(now, w, func(position int) time.Duration {
		return q.predictDelay(now, k, position)
	})
	start := max(wait, adapterDelay)
	excess = max(excess, start-w.latestStart.Sub(now))
	switch {
	case q.contains(item.ID):
		return Decision{StartDelay: start}
	case !q.hasRoom(&item):
		return Decision{Result: RefusedQueueFull, StartDelay: start, RetryAfter: q.retryAfter(now, k, start/2)}
	case excess > 0 && !q.cfg.FIFO:
		return Decision{Result: RefusedTooLate, StartDelay: start, RetryAfter: q.retryAfter(now, k, excess)}
	}
	w.item.EnqueuedAt = now
	q.insert(w)
	return Decision{StartDelay: start}
}

func (q *Queue) contains(id wire.AttemptID) bool {
	_, runs := q.running[id]
	return runs || q.waiting[id] != nil
}

// hasRoom reports whether the queue has a place for the item.
func (q *Queue) hasRoom(item *Item) bool {
	free := q.cfg.MaxWaiting - len(q.waiting)
	if free <= 0 || q.cfg.FIFO {
		return free > 0
	}
	l := q.lanes[kind(item.Long)]
	if item.Long && l.waiting >= max(1, int(maxLongQueueFraction*float64(q.cfg.MaxWaiting))) {
		return false
	}
	aq := l.queues[item.Adapter]
	return aq == nil || item.Adapter.Adapter == "" || aq.waiting < maxWaitingPerFreePlace*free
}

func (q *Queue) insert(w *waitingItem) {
	q.seq = w.seq
	w.prev = q.tail
	if q.tail == nil {
		q.head = w
	} else {
		q.tail.next = w
	}
	q.tail = w
	q.waiting[w.item.ID] = w
	q.onTime.push(w)
	w.lane.add(w)
	if !w.item.AwaitsRun {
		w.lane.enable(w)
	}
}

// evaluate sets latestStart and effectiveDeadline of an item. It returns the
// predicted wait and by how much that exceeds the usable part of the budget;
// the item can be admitted if excess is not above 0.
func (l *lane) evaluate(now time.Time, w *waitingItem, predictDelay func(position int) time.Duration) (wait, excess time.Duration) {
	w.latestStart = w.item.FirstTokenDeadline.Add(-w.class.firstTokenTime.mean)
	budget := w.latestStart.Sub(now)
	reserved := time.Duration(reservedFraction * float64(budget))
	w.effectiveDeadline = w.latestStart
	safeBudget := budget - time.Duration(l.safetyFraction*float64(budget))
	usable := safeBudget - reserved
	if l.isUnderserved(w.item.Adapter) {
		// This item sorts ahead of items of other adapters. They tolerate the
		// delay, because they were admitted without the reserved part of their
		// budgets.
		w.effectiveDeadline = w.latestStart.Add(-reserved)
		// The safety fraction is learned from the missed deadlines of all
		// adapters. One adapter with many misses must not use up the reserve
		// of the others, so half of the reserve always remains usable.
		usable = max(safeBudget, budget-reserved/2)
	}
	if wait = predictDelay(l.ranks.rank(w)); wait == 0 {
		usable = budget
	}
	return wait, wait - usable
}
