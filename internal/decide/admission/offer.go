package admission

import (
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// Refusal says why an item is not admitted.
type Refusal uint8

// Reasons of a refusal.
const (
	Admitted Refusal = iota
	RefusedQueueFull
	RefusedBudget
)

// Decision is the answer to Offer.
type Decision struct {
	Refusal Refusal
	// Start is the predicted delay until the item starts.
	Start time.Duration
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

const (
	// reservedBudget is the part of a budget that only underserved adapters
	// may wait for. It is also the slack that grouping uses.
	reservedBudget = 0.2
	// adapterHeadroom bounds one adapter to this many times the places that
	// are still free, so that a hot adapter cannot fill the queue.
	adapterHeadroom = 8
	// maxLongQueue is the share of the places that long work may take.
	maxLongQueue = 0.5
)

// Offer admits or refuses an item. adapterDelay is the predicted delay until
// the item's adapter is resident. An item that already waits or runs is not
// added again.
func (q *Queue) Offer(now time.Time, item Item, adapterDelay time.Duration) Decision {
	q.now = now
	k := kind(item.Long)
	l := q.lane[k]
	e := &entry{item: item, seq: q.seq + 1, lane: l, class: l.class(item.Class)}
	wait, late := l.accept(now, e, func(position int) time.Duration {
		return q.predict(now, k, position)
	})
	start := max(wait, adapterDelay)
	late = max(late, start-e.latest.Sub(now))
	switch {
	case q.known(item.ID):
		return Decision{Start: start}
	case !q.hasRoom(&item):
		return Decision{Refusal: RefusedQueueFull, Start: start, RetryAfter: q.retryAfter(now, k, start/2)}
	case late > 0 && !q.cfg.FIFO:
		return Decision{Refusal: RefusedBudget, Start: start, RetryAfter: q.retryAfter(now, k, late)}
	}
	e.item.Enqueued = now
	q.insert(e)
	return Decision{Start: start}
}

func (q *Queue) known(id wire.AttemptID) bool {
	_, runs := q.running[id]
	return runs || q.waiting[id] != nil
}

// hasRoom reports whether the queue has a place for the item.
func (q *Queue) hasRoom(item *Item) bool {
	free := q.cfg.QueueLimit - len(q.waiting)
	if free <= 0 || q.cfg.FIFO {
		return free > 0
	}
	l := q.lane[kind(item.Long)]
	if item.Long && l.count >= max(1, int(maxLongQueue*float64(q.cfg.QueueLimit))) {
		return false
	}
	f := l.flows[item.Adapter]
	return f == nil || item.Adapter.Adapter == "" || f.waiting < adapterHeadroom*free
}

func (q *Queue) insert(e *entry) {
	q.seq = e.seq
	e.prev = q.tail
	if q.tail == nil {
		q.head = e
	} else {
		q.tail.next = e
	}
	q.tail = e
	q.waiting[e.item.ID] = e
	q.due.push(e)
	e.lane.add(e)
	if !e.item.Held {
		e.lane.enable(e)
	}
}

// accept reports by how much the predicted wait of an item is too long; it is
// not above 0 if the item can be admitted. It sets the times that the item is
// served by.
func (l *lane) accept(now time.Time, e *entry, predict func(position int) time.Duration) (wait, late time.Duration) {
	e.latest = e.item.Deadline.Add(-e.class.first.mean)
	budget := e.latest.Sub(now)
	reserved := time.Duration(reservedBudget * float64(budget))
	e.urgent = e.latest
	cautious := budget - time.Duration(l.caution*float64(budget))
	usable := cautious - reserved
	if l.isUnderserved(e.item.Adapter) {
		// The items of other adapters have their own reserve to give way.
		e.urgent = e.latest.Add(-reserved)
		// Caution is learned from the deadlines that all adapters together
		// missed. A hot one would take the reserve of the others away by it.
		usable = max(cautious, budget-reserved/2)
	}
	if wait = predict(l.order.rank(e)); wait == 0 {
		usable = budget
	}
	return wait, wait - usable
}
