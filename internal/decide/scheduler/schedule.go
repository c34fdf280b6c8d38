package scheduler

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// schedule ends the queued requests whose deadline has passed and starts the
// adapter loads and requests that can start.
func (s *Scheduler) schedule(now time.Time) {
	s.endOverdue(now)
	if !s.hasAuthority() {
		return
	}
	if s.isEngine() {
		s.startLoads(now)
		s.unloadObsolete(now)
	}
	for {
		item, ok := s.components.queue.Next(now, s.canStart)
		if !ok {
			return
		}
		s.execute(item)
	}
}

// endOverdue ends admitted requests whose deadline passed in the queue. It runs
// on every event, so that callers do not wait for the next tick.
func (s *Scheduler) endOverdue(now time.Time) {
	for _, item := range s.components.queue.RemoveExpired(now) {
		if j, ok := s.jobs[item.ID]; ok {
			s.refuseJob(now, j, result.DeadlinePassed, "the budget ended in the queue")
		}
	}
}

// retryAfter returns the Retry-After value of an admitted request that did not
// run. The queue spreads the retries of callers whose requests end together, for
// example after a pause.
func (s *Scheduler) retryAfter(now time.Time) time.Duration {
	return max(defaultRetryAfter, s.components.queue.RetryAfter(now))
}

// canStart reports whether an item's adapter is resident. The queue does not
// start items without a Run; the phase is checked as well, because only a queued
// job has a body to execute.
func (s *Scheduler) canStart(item *admission.Item) bool {
	j, ok := s.jobs[item.ID]
	if !ok || j.phase != phaseQueued {
		return false
	}
	return !j.usesAdapter() || s.components.slots.State(j.adapter) == slots.Resident
}

func (s *Scheduler) execute(item *admission.Item) {
	j := s.jobs[item.ID]
	j.phase = phaseRunning
	j.awaitsFirstToken = s.isEngine() && j.run.Stream
	priority := shortPriority
	if item.Long {
		priority = longPriority
	}
	s.emit(Execute{
		ID: j.id, Adapter: j.adapter, Run: j.run, IdempotencyKey: j.idempotencyKey,
		Priority: priority, FencingStamp: s.components.guard.Stamp(), Timeout: j.timeLimit,
	})
	j.run = nil
}

// reportFirstToken reports to the queue that a running stream gave its first
// token.
func (s *Scheduler) reportFirstToken(now time.Time, j *job) {
	if j.awaitsFirstToken {
		j.awaitsFirstToken = false
		s.components.queue.FirstToken(now, j.id)
	}
}

// reportEnd reports the end of a running request to the queue. The budget of a
// plain service covers the whole answer, so its end counts as its first token.
func (s *Scheduler) reportEnd(now time.Time, j *job, c Completion) {
	failed := c.Code != result.OK
	if !s.isEngine() && !failed {
		s.components.queue.FirstToken(now, j.id)
	}
	s.components.queue.Finished(now, j.id, admission.Outcome{Tokens: c.AnswerTokens, Failed: failed})
}

// loadDemand describes the requests that wait for one absent adapter.
type loadDemand struct {
	key     slots.Key
	waiters int
	// allLong is true if every waiting request is of a long class.
	allLong bool
	// deadline is the earliest deadline of the waiting requests.
	deadline time.Time
}

// loadDemands returns the absent adapters that waiting requests need, most
// urgent first: short before long, then more waiters, then the earlier deadline.
func (s *Scheduler) loadDemands() []loadDemand {
	if s.components.queue.Waiting() == 0 {
		return nil
	}
	byKey := make(map[slots.Key]*loadDemand)
	s.components.queue.EachWaiting(func(item *admission.Item) {
		if item.Adapter.Adapter == "" || s.components.slots.State(item.Adapter) != slots.Absent {
			return
		}
		d, ok := byKey[item.Adapter]
		if !ok {
			d = &loadDemand{key: item.Adapter, allLong: true, deadline: item.FirstTokenDeadline}
			byKey[item.Adapter] = d
		}
		d.waiters++
		d.allLong = d.allLong && item.Long
		if item.FirstTokenDeadline.Before(d.deadline) {
			d.deadline = item.FirstTokenDeadline
		}
	})
	list := make([]loadDemand, 0, len(byKey))
	for _, d := range byKey {
		list = append(list, *d)
	}
	slices.SortFunc(list, compareLoadDemands)
	return list
}

func compareLoadDemands(a, b loadDemand) int {
	if a.allLong != b.allLong {
		if b.allLong {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.waiters, a.waiters), a.deadline.Compare(b.deadline),
		cmp.Compare(a.key.Adapter, b.key.Adapter), cmp.Compare(a.key.Version, b.key.Version))
}

// startLoads starts loads while there are load tokens and free slots. At most
// one unload is in progress for each adapter that waits for a slot: a slot that
// an earlier unload is about to free goes to the most urgent adapter.
func (s *Scheduler) startLoads(now time.Time) {
	list := s.loadDemands()
	s.loadInterval.setWaiting(now, len(list) > 0)
	if len(list) == 0 {
		return
	}
	tokens := s.components.loadBudget.Available(now)
	freeing := s.components.slots.UnloadingCount()
	for _, d := range list {
		plan := s.components.slots.Plan(now, d.key)
		switch {
		case !plan.NotBefore.IsZero():
			s.refuseWaiters(now, d.key, "the last load failed")
			continue
		case plan.Blocked || tokens == 0:
			continue
		case plan.Load:
			s.startLoad(now, d.key)
		case freeing > 0:
			freeing--
		default:
			s.counters.Count("evictions")
			s.startUnload(*plan.Evict)
		}
		tokens--
	}
}

func (s *Scheduler) startLoad(now time.Time, key slots.Key) {
	if s.components.slots.BeginLoad(key) && s.components.loadBudget.Take(now) {
		s.counters.Count("loads_started")
		s.loadInterval.loadStarted(now)
		s.emit(LoadAdapter{Adapter: key, FencingStamp: s.components.guard.Stamp()})
	}
}

func (s *Scheduler) startUnload(key slots.Key) {
	if s.components.slots.BeginUnload(key) {
		s.emit(UnloadAdapter{Adapter: key, FencingStamp: s.components.guard.Stamp()})
	}
}

// unloadObsolete unloads adapter versions that a newer version has replaced.
func (s *Scheduler) unloadObsolete(now time.Time) {
	for _, key := range s.components.slots.Obsolete(now) {
		s.counters.Count("old_versions_unloaded")
		s.startUnload(key)
	}
}

// refuseWaiters ends the requests that wait for an adapter.
func (s *Scheduler) refuseWaiters(now time.Time, key slots.Key, detail string) {
	var ids []wire.AttemptID
	s.components.queue.EachWaiting(func(item *admission.Item) {
		if item.Adapter == key {
			ids = append(ids, item.ID)
		}
	})
	for _, id := range ids {
		if j, ok := s.jobs[id]; ok {
			s.refuseJob(now, j, result.AdapterLoadFailed, detail)
		}
	}
}

// AdapterLoaded handles the result of a load. Each LoadAdapter has exactly one
// result, also if the engine refused the order.
func (s *Scheduler) AdapterLoaded(now time.Time, key slots.Key, failure error) []Action {
	s.beginEvent(now)
	switch {
	case s.components.slots.ResolvePending(key):
		// The order was sent before the last FenceSet, which has set the
		// state of the adapter since.
	case failure == nil && s.components.slots.Loaded(key):
		s.components.queue.AdapterReady(key)
	case failure != nil && s.components.slots.LoadFailed(now, key):
		s.counters.Count("loads_failed")
		s.refuseWaiters(now, key, failure.Error())
	}
	s.schedule(now)
	return s.takeActions()
}

// AdapterUnloaded handles the result of an unload. Each UnloadAdapter has
// exactly one result, also if the engine refused the order.
func (s *Scheduler) AdapterUnloaded(now time.Time, key slots.Key, failure error) []Action {
	s.beginEvent(now)
	switch {
	case s.components.slots.ResolvePending(key):
	case failure == nil:
		s.components.slots.Unloaded(key)
	default:
		s.components.slots.UnloadFailed(now, key)
	}
	s.schedule(now)
	return s.takeActions()
}

func (s *Scheduler) loadTime() time.Duration {
	return time.Duration(s.poolRow.WeightStore.LoadMS) * time.Millisecond
}

func (s *Scheduler) loadsWaiting() int {
	_, n := s.loadUrgency()
	return n
}

// loadUrgency returns the urgency of the most urgent load and the number of
// adapters that wait for a load. A load that a short request needs counts 1000
// more, to rank above loads that only long requests need.
func (s *Scheduler) loadUrgency() (float64, int) {
	list := s.loadDemands()
	if len(list) == 0 {
		return 0, 0
	}
	urgency := float64(list[0].waiters)
	if !list[0].allLong {
		urgency += 1000
	}
	return urgency, len(list)
}
