package admission

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
)

const (
	// maxBypasses is the maximum number of consecutive starts that may bypass
	// the most urgent item in favor of adapters of the running batch. It
	// bounds the wait behind a frequently requested adapter when budgets are
	// long.
	maxBypasses = 32
	// workWindowEvents is the time constant of the decaying counts of recent
	// work, in events. An event is an admission or a start.
	workWindowEvents = 128
	// underservedFraction is the fraction of an equal part of the recent work
	// below which an adapter counts as underserved.
	underservedFraction = 0.5
	// maxReadyChecksPerNext is the maximum number of adapter queues without a
	// ready adapter that each selection from a lane checks, so that an adapter
	// queue also becomes startable without a call of AdapterReady.
	maxReadyChecksPerNext = 2
	// maxIdleChecksPerRemove is the maximum number of idle adapter queues that
	// each remove checks.
	maxIdleChecksPerRemove = 2
)

// lane is the queue of one kind of work, short or long.
type lane struct {
	queues map[slots.Key]*adapterQueue
	// idle lists adapter queues without items, kept for their recent
	// admissions. An adapter queue that has items again stays listed until its
	// next check.
	idle []*adapterQueue
	// startable holds the adapter queues with a startable item that are not
	// listed in notReady. An item is startable if it does not await its
	// Run and its latest start has not passed.
	startable heap[*adapterQueue]
	// notReady lists adapter queues with a startable item whose adapter was not
	// resident at the last check.
	notReady       []*adapterQueue
	nextReadyCheck int
	// lastStarted is the adapter queue of the last start.
	lastStarted *adapterQueue
	// bypasses is the number of consecutive starts that bypassed the most
	// urgent item.
	bypasses int
	// safetyFraction is the fraction of a budget that admission leaves unused
	// because predicted waits may be too short. It adapts to missed and met
	// deadlines.
	safetyFraction float64
	// events counts admissions and starts. recentAdmissions and recentStarts
	// count them separately, decayed over workWindowEvents.
	events                         int
	recentAdmissions, recentStarts float64
	// waiting is the number of waiting items, activeAdapters the number of
	// adapter queues that have any.
	waiting, activeAdapters int
	// ranks orders all waiting items by effective deadline.
	ranks rankTree
	// refusedWork is the predicted time to serve the callers that were refused
	// recently, as of refusedWorkAt.
	refusedWork   time.Duration
	refusedWorkAt time.Time
	// classes holds the request classes in order of first use.
	classes []*class
	// serviceTime is the moving average over all classes.
	serviceTime average
}

// adapterQueue holds the waiting items of one adapter in one lane.
type adapterQueue struct {
	key slots.Key
	// items holds the startable items.
	items heap[*waitingItem]
	// waiting counts all waiting items, held ones included.
	waiting int
	// recentAdmissions counts admissions, decayed over workWindowEvents of
	// the lane. It was last updated at event number lastAdmission.
	recentAdmissions float64
	lastAdmission    int

	startablePos, notReadyPos int
	isIdle                    bool
}

func newLane(serviceTime time.Duration) *lane {
	return &lane{
		queues:      make(map[slots.Key]*adapterQueue),
		startable:   heap[*adapterQueue]{less: byMostUrgent, pos: func(aq *adapterQueue) *int { return &aq.startablePos }},
		serviceTime: average{mean: serviceTime},
	}
}

// byMostUrgent orders adapter queues by their most urgent startable item.
func byMostUrgent(a, b *adapterQueue) bool { return byEffectiveDeadline(a.items.top(), b.items.top()) }

// byEffectiveDeadline orders items by effective deadline, then by arrival.
func byEffectiveDeadline(a, b *waitingItem) bool {
	if c := a.effectiveDeadline.Compare(b.effectiveDeadline); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// byLatestStart orders items by latest start, then by arrival.
func byLatestStart(a, b *waitingItem) bool {
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// add adds a waiting item to the lane. The item is not startable until enable.
func (l *lane) add(w *waitingItem) {
	aq, ok := l.queues[w.item.Adapter]
	if !ok {
		aq = &adapterQueue{key: w.item.Adapter}
		aq.items = heap[*waitingItem]{less: byEffectiveDeadline, pos: func(w *waitingItem) *int { return &w.adapterQueuePos }}
		l.queues[aq.key] = aq
	}
	l.countEvent()
	l.recentAdmissions++
	aq.recentAdmissions = aq.decayedAdmissions(l.events) + 1
	aq.lastAdmission = l.events
	w.adapterQueue = aq
	if aq.waiting++; aq.waiting == 1 {
		l.activeAdapters++
	}
	l.waiting++
	w.class.waiting++
	l.ranks.insert(w)
}

// enable makes an item startable.
func (l *lane) enable(w *waitingItem) {
	aq := w.adapterQueue
	aq.items.push(w)
	if aq.items.len() == 1 {
		l.startable.push(aq)
		return
	}
	l.startable.fix(aq)
}

// disable removes an item from the startable ones; it still counts as waiting.
func (l *lane) disable(w *waitingItem) {
	aq := w.adapterQueue
	if !aq.items.has(w) {
		return
	}
	aq.items.remove(w)
	if aq.items.len() > 0 {
		l.startable.fix(aq)
		return
	}
	l.startable.remove(aq)
	l.removeFromNotReady(aq)
}

// remove removes an item from the lane.
func (l *lane) remove(w *waitingItem) {
	l.disable(w)
	l.ranks.remove(w)
	aq := w.adapterQueue
	l.waiting--
	w.class.waiting--
	if aq.waiting--; aq.waiting == 0 {
		l.activeAdapters--
		if !aq.isIdle {
			aq.isIdle = true
			l.idle = append(l.idle, aq)
		}
	}
	l.forgetIdleAdapters()
}

// forgetIdleAdapters deletes idle adapter queues without recent admissions. It
// checks a few adapter queues per call to bound its cost. In a lane without
// waiting items it deletes all adapter queues and resets the counts of recent
// work.
func (l *lane) forgetIdleAdapters() {
	if l.waiting == 0 {
		clear(l.queues)
		l.idle, l.events, l.bypasses = nil, 0, 0
		l.recentAdmissions, l.recentStarts = 0, 0
		l.lastStarted = nil
		return
	}
	for range min(maxIdleChecksPerRemove, len(l.idle)) {
		aq := l.idle[0]
		l.idle = l.idle[1:]
		switch {
		case aq.waiting > 0:
			aq.isIdle = false
		case aq.decayedAdmissions(l.events) < 0.5:
			delete(l.queues, aq.key)
		default:
			l.idle = append(l.idle, aq)
		}
	}
}

func (l *lane) moveToNotReady(aq *adapterQueue) {
	l.startable.remove(aq)
	l.notReady = append(l.notReady, aq)
	aq.notReadyPos = len(l.notReady)
}

func (l *lane) removeFromNotReady(aq *adapterQueue) bool {
	if aq.notReadyPos == 0 {
		return false
	}
	i, last := aq.notReadyPos-1, len(l.notReady)-1
	l.notReady[i] = l.notReady[last]
	l.notReady[i].notReadyPos = i + 1
	l.notReady[last] = nil
	l.notReady = l.notReady[:last]
	aq.notReadyPos = 0
	return true
}

// markReady makes an adapter queue startable again if its adapter was not ready.
func (l *lane) markReady(aq *adapterQueue) {
	if l.removeFromNotReady(aq) {
		l.startable.push(aq)
	}
}

// checkNotReady checks the next n adapter queues of notReady and makes those
// startable whose adapter is resident. It reports whether there was any.
func (l *lane) checkNotReady(n int, isReady func(*Item) bool) bool {
	anyReady := false
	for range min(n, len(l.notReady)) {
		if l.nextReadyCheck >= len(l.notReady) {
			l.nextReadyCheck = 0
		}
		aq := l.notReady[l.nextReadyCheck]
		if isReady(&aq.items.top().item) {
			l.markReady(aq)
			anyReady = true
		} else {
			l.nextReadyCheck++
		}
	}
	return anyReady
}

// selectNext returns the item to start, or nil. The item with the earliest
// effective deadline starts first. While that deadline is further away than
// margin, the adapter of the last start and then the other adapters of the
// running batch may bypass it.
func (l *lane) selectNext(now time.Time, margin time.Duration, batch []batchAdapter, isReady func(*Item) bool) *waitingItem {
	l.checkNotReady(maxReadyChecksPerNext, isReady)
	for {
		if l.startable.len() == 0 {
			if l.checkNotReady(len(l.notReady), isReady) {
				continue
			}
			return nil
		}
		first := l.startable.top()
		aq := first
		if l.bypasses < maxBypasses && first.items.top().effectiveDeadline.Sub(now) > margin {
			aq = l.preferredAdapter(batch, first)
		}
		if !isReady(&aq.items.top().item) {
			l.moveToNotReady(aq)
			continue
		}
		l.lastStarted = aq
		if l.bypasses++; aq == first {
			l.bypasses = 0
		}
		return aq.items.top()
	}
}

// preferredAdapter returns a startable adapter queue whose adapter is likely to
// be in the running batch already: the adapter queue of the last start or else
// one of the batch. Without such an adapter queue it returns first. Fewer
// distinct adapters make each step of the engine shorter.
func (l *lane) preferredAdapter(batch []batchAdapter, first *adapterQueue) *adapterQueue {
	if l.lastStarted != nil && l.startable.has(l.lastStarted) {
		return l.lastStarted
	}
	return l.mostUrgentInBatch(batch, first)
}

// mostUrgentInBatch returns the startable adapter queue of the batch with the
// most urgent item, or fallback if there is none.
func (l *lane) mostUrgentInBatch(batch []batchAdapter, fallback *adapterQueue) *adapterQueue {
	var best *adapterQueue
	for _, b := range batch {
		aq, ok := l.queues[b.key]
		if ok && l.startable.has(aq) && (best == nil || byMostUrgent(aq, best)) {
			best = aq
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// countEvent counts an admission or a start and decays the counts of the lane.
func (l *lane) countEvent() {
	l.events++
	l.recentAdmissions *= decayPerEvent
	l.recentStarts *= decayPerEvent
}

// recordStart records the start of an item, which is always in time.
func (l *lane) recordStart() {
	l.countEvent()
	l.recentStarts++
	l.recordOnTimeStart()
}

// isUnderserved reports whether an adapter was admitted less often than
// underservedFraction of an equal part of the lane's recent work. Recent work
// is the larger of admissions and starts: while a backlog drains, few items are
// admitted, and a few of one adapter would look like a large part.
func (l *lane) isUnderserved(key slots.Key) bool {
	aq, ok := l.queues[key]
	if !ok {
		return true
	}
	equalPart := 1 / float64(max(l.activeAdapters, 1))
	return aq.decayedAdmissions(l.events) < underservedFraction*equalPart*max(l.recentAdmissions, l.recentStarts)
}

// decayPerEvent is the factor by which a count decays with each event.
var decayPerEvent = math.Exp(-1.0 / workWindowEvents)

// decayedAdmissions returns recentAdmissions decayed to the given event number.
func (aq *adapterQueue) decayedAdmissions(events int) float64 {
	return aq.recentAdmissions * math.Exp(-float64(events-aq.lastAdmission)/workWindowEvents)
}
