// Package admission holds the queues of one target: which request is admitted,
// which is refused at once, and which starts next.
//
// A Queue is a pure state machine used by one goroutine.
package admission

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/wire"
)

// Config holds the limits of one target.
type Config struct {
	// MaxRunning is the most requests that run at once.
	MaxRunning int
	// QueueLimit is the most requests that wait.
	QueueLimit int
	// LongShare is the largest share of MaxRunning for long work, 0 to 1.
	LongShare float64
	// FIFO selects the naive queue that measurements compare with: one
	// queue in order of arrival, no refusal by predicted start.
	FIFO bool
}

// Item is a request in the queue.
type Item struct {
	ID      wire.AttemptID
	Adapter slots.Key
	Class   string
	Long    bool
	// Deadline is the latest useful start.
	Deadline time.Time
	// Tokens estimates the length of the answer.
	Tokens   int
	Enqueued time.Time
}

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
	// initialServiceTime is assumed before the first request has finished.
	initialServiceTime = 500 * time.Millisecond
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// Queue holds waiting and running items.
type Queue struct {
	cfg     Config
	waiting []*Item
	running map[wire.AttemptID]*running
	long    int
	// service is the moving average of the service time by kind of work.
	service [2]time.Duration
}

type running struct {
	item    *Item
	started time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:     cfg,
		running: make(map[wire.AttemptID]*running),
		service: [2]time.Duration{initialServiceTime, 10 * initialServiceTime},
	}
}

// Configure changes the limits.
func (q *Queue) Configure(cfg Config) { q.cfg = cfg }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Limit returns the number of items that may run at once.
func (q *Queue) Limit() int { return q.cfg.MaxRunning }

// Offer admits or refuses an item. adapterDelay is the predicted delay until
// the item's adapter is resident.
func (q *Queue) Offer(now time.Time, item Item, adapterDelay time.Duration) Decision {
	start := max(q.PredictStart(item.Long), adapterDelay)
	if len(q.waiting) >= q.cfg.QueueLimit {
		return Decision{Refusal: RefusedQueueFull, Start: start, RetryAfter: max(start/2, minRetryAfter)}
	}
	late := now.Add(start).Sub(item.Deadline)
	if late > 0 && !q.cfg.FIFO {
		return Decision{Refusal: RefusedBudget, Start: start, RetryAfter: max(late, minRetryAfter)}
	}
	item.Enqueued = now
	q.waiting = append(q.waiting, &item)
	return Decision{Start: start}
}

// PredictStart returns the predicted delay before a new item starts.
func (q *Queue) PredictStart(long bool) time.Duration {
	free := q.cfg.MaxRunning - len(q.running)
	ahead := 0
	for _, item := range q.waiting {
		if q.cfg.FIFO || item.Long == long || !item.Long {
			ahead++
		}
	}
	if ahead < free {
		return 0
	}
	perSlot := q.service[kind(long)] / time.Duration(max(q.cfg.MaxRunning, 1))
	return perSlot * time.Duration(ahead-free+1)
}

// Next removes and returns the item to start now. ready tells whether the
// item's adapter is resident.
func (q *Queue) Next(now time.Time, ready func(*Item) bool) (*Item, bool) {
	if len(q.running) >= q.cfg.MaxRunning {
		return nil, false
	}
	best := -1
	for i, item := range q.waiting {
		if !q.mayStart(item) || !ready(item) {
			if q.cfg.FIFO {
				break
			}
			continue
		}
		if best < 0 || (!q.cfg.FIFO && before(item, q.waiting[best])) {
			best = i
		}
		if q.cfg.FIFO {
			break
		}
	}
	if best < 0 {
		return nil, false
	}
	item := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	q.running[item.ID] = &running{item: item, started: now}
	if item.Long {
		q.long++
	}
	return item, true
}

func before(a, b *Item) bool {
	if a.Long != b.Long {
		return b.Long
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *Queue) mayStart(item *Item) bool {
	if !item.Long || q.cfg.FIFO {
		return true
	}
	return q.long < max(1, int(q.cfg.LongShare*float64(q.cfg.MaxRunning)))
}

// Remove takes a waiting item out. It returns false if it does not wait.
func (q *Queue) Remove(id wire.AttemptID) bool {
	for i, item := range q.waiting {
		if item.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Finished ends a running item and learns its service time.
func (q *Queue) Finished(now time.Time, id wire.AttemptID) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	if r.item.Long {
		q.long--
	}
	sample := now.Sub(r.started)
	k := kind(r.item.Long)
	q.service[k] += time.Duration(smoothing * float64(sample-q.service[k]))
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	kept := q.waiting[:0]
	for _, item := range q.waiting {
		if now.After(item.Deadline) && !q.cfg.FIFO {
			expired = append(expired, item)
		} else {
			kept = append(kept, item)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return expired
}

// Each calls f for every waiting item, in order of arrival.
func (q *Queue) Each(f func(*Item)) {
	for _, item := range q.waiting {
		f(item)
	}
}

func kind(long bool) int {
	if long {
		return 1
	}
	return 0
}
