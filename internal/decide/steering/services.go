package steering

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// placeAtService grants a plain service that is below its request limit or queues
// the request.
func (s *Steering) placeAtService(now time.Time, r *request) {
	if t := s.bestService(now, r); t != nil {
		s.assignService(now, r, t)
		return
	}
	if !s.anyUsable(now, r) {
		code, after := s.refusalFor(now, r)
		s.refuse(r, code, after)
		return
	}
	r.state = queued
	at, _ := slices.BinarySearchFunc(s.queue, r, func(x, y *request) int { return cmp.Or(cmp.Compare(x.Priority, y.Priority), -1) })
	s.queue = slices.Insert(s.queue, at, r)
}

// assignService grants a service, or asks for a permit if it names a rate. The ask may
// wait if no other service can take the request.
func (s *Steering) assignService(now time.Time, r *request, t *target) {
	if t.needsPermit() {
		s.askPermit(now, r, t, !s.anyUnlimited(now, r))
		return
	}
	r.target = t
	s.grant(r, 0)
}

// anyUsable reports whether any target of the pool is usable for the request.
func (s *Steering) anyUsable(now time.Time, r *request) bool {
	return slices.ContainsFunc(s.usable(now, r), func(t *target) bool {
		return !t.needsPermit() || !slices.Contains(r.refusedPermits, t.ID)
	})
}

// anyUnlimited reports whether any usable target of the pool names no rate.
func (s *Steering) anyUnlimited(now time.Time, r *request) bool {
	return slices.ContainsFunc(s.usable(now, r), func(t *target) bool { return !t.needsPermit() })
}

// usable returns the targets of the pool that are usable for the request.
func (s *Steering) usable(now time.Time, r *request) []*target {
	var list []*target
	for _, listed := range s.view.Pools[r.Pool] {
		if t, ok := s.targets[listed.ID]; ok && s.isUsable(now, t, r) {
			list = append(list, t)
		}
	}
	return list
}

// bestService returns the service with the lowest cost below its request limit,
// or nil.
func (s *Steering) bestService(now time.Time, r *request) *target {
	// Only if no other service can take the request, it asks before permitAfter: its
	// priority may place it before those that wait.
	onlyLimited := !s.anyUnlimited(now, r)
	best, _ := s.best(now, r, func(t *target) (candidate, bool) {
		cost := serviceRunningCost*float64(t.granted) + t.commonCost(now, s.cfg.FailureDomain)
		if t.needsPermit() {
			cost += millis(t.rateWait(now))
			if slices.Contains(r.refusedPermits, t.ID) || !onlyLimited && now.Before(t.permitAfter) {
				return candidate{}, false
			}
		}
		return candidate{t: t, cost: cost}, t.granted < t.requestLimit()
	})
	if best == nil {
		return nil
	}
	return best.t
}

// serveQueue grants services to queued requests. It refuses those past their
// deadline and those that no target can take any more.
func (s *Steering) serveQueue(now time.Time) {
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		t := s.bestService(now, r)
		switch {
		case !now.Before(r.Deadline):
			s.queue = slices.Delete(s.queue, i, i+1)
			s.refuse(r, result.DeadlinePassed, minRetryAfter)
		case t != nil:
			s.queue = slices.Delete(s.queue, i, i+1)
			s.assignService(now, r, t)
		case !s.anyUsable(now, r):
			s.queue = slices.Delete(s.queue, i, i+1)
			code, after := s.refusalFor(now, r)
			s.refuse(r, code, after)
		default:
			i++
		}
	}
}
