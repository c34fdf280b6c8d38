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

// pump ends what has waited too long and starts what can start: adapter loads
// and requests.
func (s *Scheduler) pump(now time.Time) {
	s.endOverdue(now)
	if !s.holdsAuthority() {
		return
	}
	s.startLoads(now)
	for {
		item, ok := s.parts.queue.Next(now, s.canStart)
		if !ok {
			return
		}
		s.execute(item)
	}
}

// canStart reports whether an item's adapter is resident. Items without a Run
// are held by the queue; the phase is checked as well, because only a queued
// job has a body to execute.
func (s *Scheduler) canStart(item *admission.Item) bool {
	j, ok := s.jobs[item.ID]
	if !ok || j.phase != phaseQueued {
		return false
	}
	return !j.usesAdapter() || s.parts.slots.State(j.adapter) == slots.Resident
}

func (s *Scheduler) execute(item *admission.Item) {
	j := s.jobs[item.ID]
	j.phase = phaseRunning
	j.streams = s.isEngine() && j.run.Stream
	priority := shortPriority
	if item.Long {
		priority = longPriority
	}
	s.act(Execute{
		ID: j.id, Adapter: j.adapter, Run: j.run, Key: j.reserve.Key,
		Priority: priority, Fence: s.parts.guard.Fence(), Limit: j.limit,
	})
}

// demand is the need of one absent adapter.
type demand struct {
	key      slots.Key
	waiters  int
	long     bool
	deadline time.Time
}

// demands returns the adapters that waiting requests need and that are not
// loaded, most urgent first: short before long, then more waiters, then the
// earlier deadline.
func (s *Scheduler) demands() []demand {
	byKey := make(map[slots.Key]*demand)
	s.parts.queue.Each(func(item *admission.Item) {
		if item.Adapter.Adapter == "" || s.parts.slots.State(item.Adapter) != slots.Absent {
			return
		}
		d, ok := byKey[item.Adapter]
		if !ok {
			d = &demand{key: item.Adapter, long: true, deadline: item.Deadline}
			byKey[item.Adapter] = d
		}
		d.waiters++
		d.long = d.long && item.Long
		if item.Deadline.Before(d.deadline) {
			d.deadline = item.Deadline
		}
	})
	list := make([]demand, 0, len(byKey))
	for _, d := range byKey {
		list = append(list, *d)
	}
	slices.SortFunc(list, compareDemand)
	return list
}

func compareDemand(a, b demand) int {
	if a.long != b.long {
		if b.long {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.waiters, a.waiters), a.deadline.Compare(b.deadline),
		cmp.Compare(a.key.Adapter, b.key.Adapter), cmp.Compare(a.key.Version, b.key.Version))
}

// startLoads starts loads while there are tokens and slots.
func (s *Scheduler) startLoads(now time.Time) {
	for _, d := range s.demands() {
		if s.parts.budget.Available(now) == 0 {
			return
		}
		plan := s.parts.slots.Plan(now, d.key)
		switch {
		case !plan.RetryAt.IsZero():
			s.refuseWaiters(now, d.key, "the last load failed")
		case plan.Evict != nil:
			if s.parts.slots.BeginUnload(*plan.Evict) {
				s.rec.Count("evictions")
				s.act(UnloadAdapter{Key: *plan.Evict, Fence: s.parts.guard.Fence()})
			}
			return
		case plan.Load:
			s.parts.budget.Take(now)
			s.parts.slots.BeginLoad(d.key)
			s.rec.Count("loads_started")
			s.act(LoadAdapter{Key: d.key, Fence: s.parts.guard.Fence()})
		}
	}
}

// refuseWaiters ends the requests that wait for an adapter.
func (s *Scheduler) refuseWaiters(now time.Time, key slots.Key, detail string) {
	var ids []wire.AttemptID
	s.parts.queue.Each(func(item *admission.Item) {
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

// AdapterLoaded takes the result of a load.
func (s *Scheduler) AdapterLoaded(now time.Time, key slots.Key, failure error) []Action {
	if s.parts.slots.State(key) != slots.Loading {
		return s.take()
	}
	if failure != nil {
		s.rec.Count("loads_failed")
		s.parts.slots.LoadFailed(now, key)
		s.refuseWaiters(now, key, failure.Error())
	} else {
		s.parts.slots.Loaded(key)
		s.parts.queue.AdapterReady(key)
		s.learnLoadWait(now, key)
	}
	s.pump(now)
	return s.take()
}

// AdapterUnloaded takes the result of an unload.
func (s *Scheduler) AdapterUnloaded(now time.Time, key slots.Key, failure error) []Action {
	if s.parts.slots.State(key) != slots.Unloading {
		return s.take()
	}
	if failure != nil {
		s.parts.slots.UnloadFailed(key)
	} else {
		s.parts.slots.Unloaded(key)
	}
	s.pump(now)
	return s.take()
}

// OrderRefused records that the engine refused an order for its fence.
func (s *Scheduler) OrderRefused(now time.Time) []Action {
	s.rec.Count("orders_fenced")
	s.parts.guard.Lost()
	return s.take()
}

func (s *Scheduler) learnLoadWait(now time.Time, key slots.Key) {
	var oldest time.Duration
	s.parts.queue.Each(func(item *admission.Item) {
		if item.Adapter == key {
			oldest = max(oldest, now.Sub(item.Enqueued))
		}
	})
	if oldest > 0 {
		s.loadWait += (oldest - s.loadWait) / 8
	}
}

// adapterDelay predicts when an adapter is resident.
func (s *Scheduler) adapterDelay(key slots.Key) time.Duration {
	if key.Adapter == "" {
		return 0
	}
	switch s.parts.slots.State(key) {
	case slots.Resident:
		return 0
	case slots.Loading:
		return s.loadTime()
	default:
		return s.loadWait + time.Duration(s.loadsWaiting())*s.loadTime()
	}
}

func (s *Scheduler) loadTime() time.Duration {
	return time.Duration(s.row.WeightStore.LoadMS) * time.Millisecond
}

func (s *Scheduler) loadsWaiting() int {
	_, n := s.loadUrgency()
	return n
}

// loadUrgency returns the urgency of the most urgent load and the number of
// adapters that wait for one.
func (s *Scheduler) loadUrgency() (float64, int) {
	list := s.demands()
	if len(list) == 0 {
		return 0, 0
	}
	urgency := float64(list[0].waiters)
	if !list[0].long {
		urgency += 1000
	}
	return urgency, len(list)
}
