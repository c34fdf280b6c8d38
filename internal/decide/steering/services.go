package steering

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

// placeAtService grants a plain service that is below its request limit or queues
// the request.
func (s *Steering) placeAtService(now time.Time, r *request) {
	r.isService, r.mayReturn = true, s.shareOf(now, r.Pool).Governed(now)
	if !s.anyQueued(r.Pool) {
		if t := s.bestService(now, r); t != nil {
			s.assignService(now, r, t)
			return
		}
	}
	if !s.anyUsable(now, r) {
		code, after := s.refusalFor(now, r)
		s.refuse(r, code, after)
		return
	}
	s.enqueue(now, r)
	s.serveQueue(now)
}

// assignService grants a service, or asks for a permit if it names a rate. The ask may
// wait if no other service can take the request.
func (s *Steering) assignService(now time.Time, r *request, t *target) {
	if t.needsPermit() {
		s.askPermit(now, r, t, !s.anyUnlimited(now, r))
		return
	}
	r.target = t
	s.grantService(now, r)
}

// anyUsable reports whether any target of the pool is usable for the request.
func (s *Steering) anyUsable(now time.Time, r *request) bool {
	return s.containsUsable(now, r, func(t *target) bool {
		return !t.needsPermit() || !slices.Contains(r.refusedPermits, t.ID)
	})
}

// anyUnlimited reports whether any usable target of the pool names no rate.
func (s *Steering) anyUnlimited(now time.Time, r *request) bool {
	return s.containsUsable(now, r, func(t *target) bool { return !t.needsPermit() })
}

// containsUsable reports whether a target of the pool is usable for the request and
// satisfies a condition.
func (s *Steering) containsUsable(now time.Time, r *request, condition func(t *target) bool) bool {
	return slices.ContainsFunc(s.view.Pools[r.Pool], func(listed *catalog.Target) bool {
		t, ok := s.targets[listed.ID]
		return ok && s.isUsable(now, t, r) && condition(t)
	})
}

// bestService returns the service with the lowest cost below its request limit,
// or nil. If the share of this entry bounds its requests, the cost is that of
// sharedCost, and a target of which it has no share gets only requests that may go to no
// other.
func (s *Steering) bestService(now time.Time, r *request) *target {
	share := s.shareOf(now, r.Pool)
	if ok, next := share.MayStart(now); !ok {
		if !next.IsZero() && (s.nextService.IsZero() || next.Before(s.nextService)) {
			s.nextService = next
		}
		return nil
	}
	governed := share.Governed(now)
	sharesOnly := governed && s.containsUsable(now, r, func(t *target) bool { return share.HasShare(t.ID) })
	// Only if no other service can take the request, it asks before permitAfter: its
	// priority may place it before those that wait.
	onlyLimited := !s.anyUnlimited(now, r)
	best, _ := s.best(now, r, func(t *target) (candidate, bool) {
		cost := serviceRunningCost*float64(t.granted) + t.commonCost(now, s.cfg.FailureDomain)
		if governed {
			if now.Before(share.FullUntil(t.ID)) || sharesOnly && !share.HasShare(t.ID) {
				return candidate{}, false
			}
			cost = t.sharedCost(now, share)
		}
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
// deadline, those that no target can take any more, and those that are not expected to
// start before their deadline.
func (s *Steering) serveQueue(now time.Time) {
	s.nextService = time.Time{}
	s.sortQueue(now)
	ahead := make(map[string]int)
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		t := s.bestService(now, r)
		wait := s.shareOf(now, r.Pool).Wait(ahead[r.Pool])
		switch {
		case !now.Before(r.Deadline):
			s.dequeue(now, r)
			s.refuse(r, result.DeadlinePassed, minRetryAfter)
		case t != nil:
			s.dequeue(now, r)
			s.assignService(now, r, t)
		case !s.anyUsable(now, r):
			s.dequeue(now, r)
			code, after := s.refusalFor(now, r)
			s.refuse(r, code, after)
		case r.isHopeless(now, wait):
			s.dequeue(now, r)
			s.rec.Count("service_share_refusals")
			s.refuseAfter(r, r.codeOr(result.BudgetExceeded), s.roomAfter(now, r, wait))
		default:
			r.mayLapse = true
			ahead[r.Pool]++
			i++
		}
	}
}
