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
	// shareWindowEvents is the time constant of the decaying counts by which
	// shares are compared, in events. An event is an admission or a start.
	shareWindowEvents = 128
	// underservedFraction is the fraction of an equal share below which a
	// flow counts as underserved.
	underservedFraction = 0.5
	// maxPollsPerNext is the maximum number of flows without a ready adapter that each
	// selection from a lane checks, so that a flow also becomes startable
	// without a call of AdapterReady.
	maxPollsPerNext = 2
	// maxIdleChecksPerRemove is the maximum number of idle flows that each
	// remove checks.
	maxIdleChecksPerRemove = 2
)

// lane is the queue of one kind of work, short or long.
type lane struct {
	flows map[slots.Key]*flow
	// idle lists flows without items, kept for their recent admissions. A
	// flow that has items again stays listed until its next check.
	idle []*flow
	// startable holds the flows with a startable item that are not listed in
	// notReady. An item is startable if it is neither held nor overdue.
	startable heap[*flow]
	// notReady lists flows with a startable item whose adapter was not
	// resident at the last check.
	notReady []*flow
	nextPoll int
	// lastStarted is the flow of the last start.
	lastStarted *flow
	// bypasses is the number of consecutive starts that bypassed the most
	// urgent item.
	bypasses int
	// safetyFraction is the fraction of a budget that admission leaves unused
	// because predicted waits may be too short. It adapts to missed and met
	// deadlines.
	safetyFraction float64
	// events counts admissions and starts. recentAdmissions and recentStarts
	// count them separately, decayed over shareWindowEvents.
	events                         int
	recentAdmissions, recentStarts float64
	// waiting is the number of waiting items, activeFlows the number of flows
	// that have any.
	waiting, activeFlows int
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

// flow holds the waiting items of one adapter in one lane.
type flow struct {
	key slots.Key
	// items holds the startable items.
	items heap[*waitingItem]
	// waiting counts all waiting items, held ones included.
	waiting int
	// recentAdmissions counts admissions, decayed over shareWindowEvents of
	// the lane. It was last updated at event number lastAdmission.
	recentAdmissions float64
	lastAdmission    int

	startablePos, notReadyPos int
	isIdle                    bool
}

func newLane(serviceTime time.Duration) *lane {
	return &lane{
		flows:       make(map[slots.Key]*flow),
		startable:   heap[*flow]{less: byMostUrgent, pos: func(f *flow) *int { return &f.startablePos }},
		serviceTime: average{mean: serviceTime},
	}
}

// byMostUrgent orders flows by their most urgent startable item.
func byMostUrgent(a, b *flow) bool { return byEffectiveDeadline(a.items.top(), b.items.top()) }

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
	f, ok := l.flows[w.item.Adapter]
	if !ok {
		f = &flow{key: w.item.Adapter}
		f.items = heap[*waitingItem]{less: byEffectiveDeadline, pos: func(w *waitingItem) *int { return &w.flowPos }}
		l.flows[f.key] = f
	}
	l.countEvent()
	l.recentAdmissions++
	f.recentAdmissions = f.decayedAdmissions(l.events) + 1
	f.lastAdmission = l.events
	w.flow = f
	if f.waiting++; f.waiting == 1 {
		l.activeFlows++
	}
	l.waiting++
	w.class.waiting++
	l.ranks.insert(w)
}

// enable makes an item startable.
func (l *lane) enable(w *waitingItem) {
	f := w.flow
	f.items.push(w)
	if f.items.len() == 1 {
		l.startable.push(f)
		return
	}
	l.startable.fix(f)
}

// disable removes an item from the startable ones; it still counts as waiting.
func (l *lane) disable(w *waitingItem) {
	f := w.flow
	if !f.items.has(w) {
		return
	}
	f.items.remove(w)
	if f.items.len() > 0 {
		l.startable.fix(f)
		return
	}
	l.startable.remove(f)
	l.removeFromNotReady(f)
}

// remove removes an item from the lane.
func (l *lane) remove(w *waitingItem) {
	l.disable(w)
	l.ranks.remove(w)
	f := w.flow
	l.waiting--
	w.class.waiting--
	if f.waiting--; f.waiting == 0 {
		l.activeFlows--
		if !f.isIdle {
			f.isIdle = true
			l.idle = append(l.idle, f)
		}
	}
	l.forgetIdleFlows()
}

// forgetIdleFlows deletes idle flows without recent admissions. It checks a few
// flows per call to bound its cost. In a lane without waiting items it deletes
// all flows and resets the share counts.
func (l *lane) forgetIdleFlows() {
	if l.waiting == 0 {
		clear(l.flows)
		l.idle, l.events, l.bypasses = nil, 0, 0
		l.recentAdmissions, l.recentStarts = 0, 0
		l.lastStarted = nil
		return
	}
	for range min(maxIdleChecksPerRemove, len(l.idle)) {
		f := l.idle[0]
		l.idle = l.idle[1:]
		switch {
		case f.waiting > 0:
			f.isIdle = false
		case f.decayedAdmissions(l.events) < 0.5:
			delete(l.flows, f.key)
		default:
			l.idle = append(l.idle, f)
		}
	}
}

func (l *lane) moveToNotReady(f *flow) {
	l.startable.remove(f)
	l.notReady = append(l.notReady, f)
	f.notReadyPos = len(l.notReady)
}

func (l *lane) removeFromNotReady(f *flow) bool {
	if f.notReadyPos == 0 {
		return false
	}
	i, last := f.notReadyPos-1, len(l.notReady)-1
	l.notReady[i] = l.notReady[last]
	l.notReady[i].notReadyPos = i + 1
	l.notReady[last] = nil
	l.notReady = l.notReady[:last]
	f.notReadyPos = 0
	return true
}

// markReady makes a flow startable again if its adapter was not ready.
func (l *lane) markReady(f *flow) {
	if l.removeFromNotReady(f) {
		l.startable.push(f)
	}
}

// pollNotReady checks the next n flows of notReady and makes those startable
// whose adapter is resident. It reports whether there was any.
func (l *lane) pollNotReady(n int, isReady func(*Item) bool) bool {
	anyReady := false
	for range min(n, len(l.notReady)) {
		if l.nextPoll >= len(l.notReady) {
			l.nextPoll = 0
		}
		f := l.notReady[l.nextPoll]
		if isReady(&f.items.top().item) {
			l.markReady(f)
			anyReady = true
		} else {
			l.nextPoll++
		}
	}
	return anyReady
}

// selectNext returns the item to start, or nil. The item with the earliest
// effective deadline starts first. While that deadline is further away than
// margin, the adapter of the last start and then the other adapters of the
// running batch may bypass it.
func (l *lane) selectNext(now time.Time, margin time.Duration, batch []batchAdapter, isReady func(*Item) bool) *waitingItem {
	l.pollNotReady(maxPollsPerNext, isReady)
	for {
		if l.startable.len() == 0 {
			if l.pollNotReady(len(l.notReady), isReady) {
				continue
			}
			return nil
		}
		first := l.startable.top()
		f := first
		if l.bypasses < maxBypasses && first.items.top().effectiveDeadline.Sub(now) > margin {
			f = l.preferredFlow(batch, first)
		}
		if !isReady(&f.items.top().item) {
			l.moveToNotReady(f)
			continue
		}
		l.lastStarted = f
		if l.bypasses++; f == first {
			l.bypasses = 0
		}
		return f.items.top()
	}
}

// preferredFlow returns a startable flow whose adapter is likely to be in the
// running batch already: the flow of the last start or else one of the batch.
// Without such a flow it returns first. Fewer distinct adapters make each step
// of the engine shorter.
func (l *lane) preferredFlow(batch []batchAdapter, first *flow) *flow {
	if l.lastStarted != nil && l.startable.has(l.lastStarted) {
		return l.lastStarted
	}
	return l.mostUrgentInBatch(batch, first)
}

// mostUrgentInBatch returns the startable flow of the batch with the most
// urgent item, or fallback if there is none.
func (l *lane) mostUrgentInBatch(batch []batchAdapter, fallback *flow) *flow {
	var best *flow
	for _, b := range batch {
		f, ok := l.flows[b.key]
		if ok && l.startable.has(f) && (best == nil || byMostUrgent(f, best)) {
			best = f
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
// underservedFraction of an equal share of the lane's recent work. Recent work
// is the larger of admissions and starts: while a backlog drains, few items are
// admitted, and a few of one adapter would look like a large share.
func (l *lane) isUnderserved(key slots.Key) bool {
	f, ok := l.flows[key]
	if !ok {
		return true
	}
	equalShare := 1 / float64(max(l.activeFlows, 1))
	return f.decayedAdmissions(l.events) < underservedFraction*equalShare*max(l.recentAdmissions, l.recentStarts)
}

// decayPerEvent is the factor by which a count decays with each event.
var decayPerEvent = math.Exp(-1.0 / shareWindowEvents)

// decayedAdmissions returns recentAdmissions decayed to the given event number.
func (f *flow) decayedAdmissions(events int) float64 {
	return f.recentAdmissions * math.Exp(-float64(events-f.lastAdmission)/shareWindowEvents)
}
