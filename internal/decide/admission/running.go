package admission

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/wire"
)

// addRunning adds an item that starts now to the running ones.
func (q *Queue) addRunning(now time.Time, w *waitingItem) {
	r := &runningItem{
		item: &w.item, seq: w.seq, class: w.class,
		startedAt: now, predictedEnd: now.Add(w.class.serviceTime.mean),
	}
	q.running[w.item.ID] = r
	byEnd := &q.runningByEnd[kind(w.item.Long)]
	i, _ := slices.BinarySearchFunc(*byEnd, r, byPredictedEnd)
	*byEnd = slices.Insert(*byEnd, i, r)
	q.joinBatch(w.item.Adapter)
}

func byPredictedEnd(a, b *runningItem) int {
	if c := a.predictedEnd.Compare(b.predictedEnd); c != 0 {
		return c
	}
	return int(a.seq) - int(b.seq)
}

// Finished removes a running item. If it completed, its service time updates
// the predictions and the adaptive limit.
func (q *Queue) Finished(now time.Time, id wire.AttemptID, outcome Outcome) {
	q.lastCall = now
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	byEnd := &q.runningByEnd[kind(r.item.Long)]
	if i, found := slices.BinarySearchFunc(*byEnd, r, byPredictedEnd); found {
		*byEnd = slices.Delete(*byEnd, i, i+1)
	}
	q.leaveBatch(r.item.Adapter)
	sample := now.Sub(r.startedAt)
	if outcome.Failed || sample < 0 {
		return
	}
	r.class.serviceTime.add(sample)
	q.lanes[kind(r.item.Long)].serviceTime.add(sample)
	q.limiter.observe(now, r.startedAt, sample, outcome.Tokens)
}

// FirstToken records that a running item has returned its first token or, for a
// plain service, its whole answer.
func (q *Queue) FirstToken(now time.Time, id wire.AttemptID) {
	q.lastCall = now
	if r, ok := q.running[id]; ok && !now.Before(r.startedAt) {
		r.class.firstTokenTime.add(now.Sub(r.startedAt))
	}
}

func (q *Queue) joinBatch(key slots.Key) {
	if i := q.batchIndex(key); i >= 0 {
		q.batch[i].count++
		return
	}
	q.batch = append(q.batch, batchAdapter{key: key, count: 1})
}

func (q *Queue) leaveBatch(key slots.Key) {
	i := q.batchIndex(key)
	if q.batch[i].count--; q.batch[i].count == 0 {
		q.batch = slices.Delete(q.batch, i, i+1)
	}
}

// batchIndex is linear in the number of distinct running adapters, which is at
// most the number of adapter slots of the engine.
func (q *Queue) batchIndex(key slots.Key) int {
	return slices.IndexFunc(q.batch, func(b batchAdapter) bool { return b.key == key })
}
