package engineagent

import (
	"maps"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
)

// maxFailedPolls is the number of consecutive failed polls after which the engine
// counts as gone.
const maxFailedPolls = 2

const (
	// minRepeatInterval is the minimum time before the same order is sent
	// again. An engine can accept an order without immediate effect: for
	// example, a replacement waits until no request uses the old version. The
	// order would otherwise be repeated without end.
	minRepeatInterval = 500 * time.Millisecond
	// minOrderBackoff is the delay after an order that was not accepted. It
	// doubles with each further one, up to maxOrderBackoff.
	minOrderBackoff = 30 * time.Millisecond
	maxOrderBackoff = time.Second
)

// startPoll polls the engine unless a poll or an order is under way. The result of
// a poll that was started during an order can show the status before the order
// and still arrive after the outcome of the order.
func (a *Agent) startPoll(now time.Time) {
	if a.pollStartedAt.IsZero() && !a.orderPending && !now.Before(a.pausedUntil) {
		a.pollStartedAt = now
		a.pollIsNew = a.needsNewConnection(now, a.confirmNoRate)
		a.confirmNoRate = false
		a.emit(PollEngine{NewConnection: a.pollIsNew})
	}
}

// PollSucceeded handles the result of a poll.
func (a *Agent) PollSucceeded(now time.Time, status EngineStatus) []Action {
	pollStartedAt := a.pollStartedAt
	a.pollStartedAt, a.polledAt = time.Time{}, now
	if pollStartedAt.IsZero() {
		// The poll has already timed out.
		return a.takeActions()
	}
	if !a.Believes(status) {
		a.rec.Count("engine_reports_outdated")
		a.doubtAnswers(now)
		a.needsPoll = true
		if a.mayUseNewConnection(now) {
			a.startPoll(now)
		}
		return a.takeActions()
	}
	if a.hasStatus && status.StartedAtMS != a.status.StartedAtMS {
		a.handleRestart(now)
	}
	a.settleOrder(now, status)
	if !a.hasStatus || !maps.Equal(status.Held, a.status.Held) || !maps.Equal(status.Loading, a.status.Loading) {
		a.adaptersReported = false
	}
	a.limiter.startIncarnation(status.StartedAtMS)
	a.unloading = Adapter{}
	a.loadLimiter.update(now, status, a.cached)
	a.updateCached(status)
	a.stepTimer.addSample(pollStartedAt, a.status, status)
	a.dropUnloadedPrefixes(status)
	a.heldPrompts.SetUsage(pollStartedAt, status.PromptMemoryUsed, status.PromptMemoryTotal)
	a.status, a.hasStatus, a.needsPoll, a.failedPolls = status, true, false, 0
	a.slots.Reset(now, occupied(status))
	a.releaseEnded(now, pollStartedAt)
	a.advance(now)
	return a.takeActions()
}

// instance returns the ID of the engine's present incarnation, which is its target
// ID in the store. It is empty while no entry has sent it. The engine itself does not report it.
func (a *Agent) instance() string { return a.instances[a.status.StartedAtMS] }

// handleRestart drops the state of the engine before its restart. The entries
// detect the broken connections and release their requests.
func (a *Agent) handleRestart(now time.Time) {
	a.rec.Count("engine_restarts")
	a.answered = nil
	a.engineLeaving, a.pausedUntil = false, time.Time{}
	a.cached, a.adaptersReported, a.stepTimer, a.loadLimiter = nil, false, stepTimer{}, newLoadLimiter()
	clear(a.sentAt)
	for _, r := range a.sortedReservations() {
		if r.phase != waiting {
			a.removeReservation(now, r)
		}
	}
	a.heldPrompts.Restarted()
	a.refuseWaiting(now, result.EngineUnavailable, IdlePollInterval)
}

// updateCached adds the adapters that have left the engine's slots to cached.
func (a *Agent) updateCached(status EngineStatus) {
	for x := range a.status.Held {
		if _, resident := status.Held[x]; resident {
			continue
		}
		a.cached = slices.DeleteFunc(a.cached, func(y Adapter) bool { return x == y })
		a.cached = append(a.cached, x)
		if len(a.cached) > maxCached {
			a.cached = a.cached[1:]
		}
	}
}

// occupied returns the adapters that occupy a slot of the engine: those that are
// resident or being loaded.
func occupied(status EngineStatus) []slots.Key {
	var keys []slots.Key
	for x := range status.Held {
		keys = append(keys, slotKey(x))
	}
	for x := range status.Loading {
		if _, resident := status.Held[x]; !resident {
			keys = append(keys, slotKey(x))
		}
	}
	slices.SortFunc(keys, slots.Key.Compare)
	return keys
}

// PollFailed records a failed poll.
func (a *Agent) PollFailed(now time.Time) []Action {
	a.pollStartedAt, a.polledAt, a.needsPoll = time.Time{}, now, true
	if a.pollIsNew {
		a.newConnectionFailed(now)
		return a.takeActions()
	}
	a.failedPolls++
	if a.failedPolls >= maxFailedPolls {
		a.refuseWaiting(now, result.EngineUnavailable, IdlePollInterval)
	}
	return a.takeActions()
}

// OrderCompleted handles the answer to the last order. A report settles the outcome.
func (a *Agent) OrderCompleted(now time.Time, outcome OrderOutcome) []Action {
	a.orderPending = false
	if a.orderIsNew && outcome == OrderUnanswered {
		a.newConnectionFailed(now)
	}
	// Each order is followed by a poll, whatever its outcome: the status shows
	// which adapters the engine holds and how many orders it has accepted.
	a.needsPoll = true
	a.rec.Count("orders_" + outcome.String())
	a.answered = &answeredOrder{order: a.lastOrder, outcome: outcome, at: now}
	a.advance(now)
	return a.takeActions()
}

// refuseWaitingFor refuses the requests that wait for an adapter which the engine
// cannot load.
func (a *Agent) refuseWaitingFor(now time.Time, adapter Adapter) {
	for _, r := range slices.Clone(a.queue) {
		if r.adapter == adapter {
			a.refuse(r, result.AdapterLoadFailed, minRetryAfter)
			a.removeReservation(now, r)
		}
	}
}

// sendOrder sends the next order if one is needed and allowed.
func (a *Agent) sendOrder(now time.Time) {
	if a.orderPending || a.settings == nil || a.leaving || a.engineLeaving || now.Before(a.pausedUntil) {
		return
	}
	if a.needsPoll || !a.hasStatus {
		a.startPoll(now)
		return
	}
	if !a.pollStartedAt.IsZero() || a.status.Busy || now.Before(a.nextOrderAt) {
		return
	}
	if order, ok := a.nextOrder(now); ok {
		a.sentAt[orderKey{order.Kind, order.Adapter, order.Version}] = now
		order.ExpectedOrders, order.Fence = a.status.AcceptedOrders, a.fence()
		order.IncarnationID = a.instance()
		a.lastOrder, a.orderPending = order, true
		if order.Kind == Unload {
			a.unloading = order.Adapter
			a.dropPrefixesOf(order.Adapter)
		}
		// The reason why an order is refused again and again has to be that of its own answer.
		a.orderIsNew = a.needsNewConnection(now, a.consecutiveRejections > 0)
		a.emit(SendOrder{Order: order, NewConnection: a.orderIsNew})
	}
}

// fence returns the fencing number of the next order. It is derived from the
// engine's status, so that it never decreases while the incarnation lasts, even if
// the target process restarts or the clock is set back. The exception is a restart
// of the target process after a fenced order: it resets fenceOffset, and the
// engine may refuse orders as fenced until the offset is high enough again. The
// time of day is not used, because engines that ignore fencing report no number to
// start from.
func (a *Agent) fence() uint64 {
	return uint64(max(0, a.status.StartedAtMS)) + a.status.AcceptedOrders + 1 + a.fenceOffset
}

// nextOrder selects the next order: missing base models first, then the adapters
// that waiting requests need.
func (a *Agent) nextOrder(now time.Time) (Order, bool) {
	if model, ok := a.missingModel(); ok {
		return a.unlessRecentlySent(now, Order{Kind: Load, Adapter: Adapter{Model: model}})
	}
	if len(a.status.Loading) >= a.loadLimiter.maxLoads() {
		return Order{}, false
	}
	for _, d := range a.demands(now) {
		if version, loading := a.status.Loading[d.adapter]; loading && (version >= d.minVersion || d.minVersion == 0) {
			continue
		}
		if _, resident := a.status.Held[d.adapter]; resident {
			// A newer version replaces the resident one.
			if order, ok := a.unlessRecentlySent(now, Order{Kind: Load, Adapter: d.adapter, Version: d.minVersion}); ok {
				return order, true
			}
			continue
		}
		plan := a.slots.Plan(now, slotKey(d.adapter))
		switch {
		case plan.Load:
			if order, ok := a.unlessRecentlySent(now, Order{Kind: Load, Adapter: d.adapter, Version: d.minVersion}); ok {
				a.rec.Count("adapter_loads")
				return order, true
			}
		case plan.Evict != nil:
			if victim, ok := a.residentAdapter(*plan.Evict); ok {
				return a.unlessRecentlySent(now, Order{Kind: Unload, Adapter: victim})
			}
		}
	}
	return Order{}, false
}

// orderKey identifies orders with the same effect.
type orderKey struct {
	kind    OrderKind
	adapter Adapter
	version int
}

// unlessRecentlySent returns the order, and false if the same order was sent
// within minRepeatInterval.
func (a *Agent) unlessRecentlySent(now time.Time, o Order) (Order, bool) {
	for k, at := range a.sentAt {
		if now.Sub(at) >= minRepeatInterval {
			delete(a.sentAt, k)
		}
	}
	_, recentlySent := a.sentAt[orderKey{o.Kind, o.Adapter, o.Version}]
	return o, !recentlySent
}

// delayNextOrder sets the time of the next order after one that was not accepted.
func (a *Agent) delayNextOrder(now time.Time, outcome OrderOutcome) {
	if outcome == OrderAccepted {
		a.consecutiveRejections = 0
		return
	}
	delete(a.sentAt, orderKey{a.lastOrder.Kind, a.lastOrder.Adapter, a.lastOrder.Version})
	a.nextOrderAt = now.Add(min(minOrderBackoff<<min(a.consecutiveRejections, 6), maxOrderBackoff))
	a.consecutiveRejections++
}

// residentAdapter returns the adapter in a slot, or false if the adapter is still
// being loaded: it cannot be unloaded yet.
func (a *Agent) residentAdapter(k slots.Key) (Adapter, bool) {
	for x := range a.status.Held {
		if slotKey(x) == k {
			return x, true
		}
	}
	return Adapter{}, false
}

// missingModel returns a base model that the engine does not hold and that fits
// into its memory: one that a waiting request needs or, if the engine holds none,
// as after a restart, the first configured one.
func (a *Agent) missingModel() (string, bool) {
	used := 0.0
	for _, m := range a.settings.Models {
		if a.holdsModel(m.Name) {
			used += m.WeightsMB
		}
	}
	fits := func(m float64) bool { return used+m <= a.settings.MemoryMB }
	for _, r := range a.queue {
		for _, m := range a.settings.Models {
			if m.Name == r.adapter.Model && !a.holdsModel(m.Name) && fits(m.WeightsMB) {
				return m.Name, true
			}
		}
	}
	if len(a.status.Models) == 0 && len(a.settings.Models) > 0 && fits(a.settings.Models[0].WeightsMB) {
		return a.settings.Models[0].Name, true
	}
	return "", false
}
