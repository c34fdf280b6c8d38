package admission

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/wire"
)

// run records the start of an item.
func (q *Queue) run(now time.Time, e *entry) {
	r := &running{
		item: &e.item, seq: e.seq, class: e.class,
		started: now, finish: now.Add(e.class.service.mean),
	}
	q.running[e.item.ID] = r
	order := &q.order[kind(e.item.Long)]
	i, _ := slices.BinarySearchFunc(*order, r, byFinish)
	*order = slices.Insert(*order, i, r)
	q.joinBatch(e.item.Adapter)
}

func byFinish(a, b *running) int {
	if c := a.finish.Compare(b.finish); c != 0 {
		return c
	}
	return int(a.seq) - int(b.seq)
}

// Finished ends a running item and learns from it.
func (q *Queue) Finished(now time.Time, id wire.AttemptID, outcome Outcome) {
	q.now = now
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	order := &q.order[kind(r.item.Long)]
	if i, found := slices.BinarySearchFunc(*order, r, byFinish); found {
		*order = slices.Delete(*order, i, i+1)
	}
	q.leaveBatch(r.item.Adapter)
	sample := now.Sub(r.started)
	if outcome.Failed || sample < 0 {
		return
	}
	r.class.service.add(sample)
	q.lane[kind(r.item.Long)].service.add(sample)
	q.limit.observe(now, r.started, sample, outcome.Tokens)
}

// FirstToken says that a running item has given its first token.
func (q *Queue) FirstToken(now time.Time, id wire.AttemptID) {
	q.now = now
	if r, ok := q.running[id]; ok && !now.Before(r.started) {
		r.class.first.add(now.Sub(r.started))
	}
}

func (q *Queue) joinBatch(key slots.Key) {
	if i := q.batchIndex(key); i >= 0 {
		q.batch[i].n++
		return
	}
	q.batch = append(q.batch, batchAdapter{key: key, n: 1})
}

func (q *Queue) leaveBatch(key slots.Key) {
	i := q.batchIndex(key)
	if q.batch[i].n--; q.batch[i].n == 0 {
		q.batch = slices.Delete(q.batch, i, i+1)
	}
}

// batchIndex is linear in the distinct adapters that run, which the adapter
// slots of the engine bound.
func (q *Queue) batchIndex(key slots.Key) int {
	return slices.IndexFunc(q.batch, func(b batchAdapter) bool { return b.key == key })
}
