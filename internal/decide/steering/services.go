package steering

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// placeAtService grants a place at a plain service or queues the request.
func (s *Steering) placeAtService(now time.Time, r *request) {
	if t := s.service(now, r); t != nil {
		r.target = t
		s.grant(r, 0)
		return
	}
	if !s.anyUsable(r) {
		s.refuse(r, result.NoTarget, leastRetryAfter)
		return
	}
	r.state = queued
	at, _ := slices.BinarySearchFunc(s.queue, r, func(x, y *request) int { return cmp.Or(cmp.Compare(x.Rank, y.Rank), -1) })
	s.queue = slices.Insert(s.queue, at, r)
}

func (s *Steering) anyUsable(r *request) bool {
	for _, listed := range s.view.Pools[r.Pool] {
		if t, ok := s.targets[listed.ID]; ok && s.usable(t, r) {
			return true
		}
	}
	return false
}

func (s *Steering) service(now time.Time, r *request) *target {
	return s.best(now, r, func(t *target) (float64, bool) {
		return serviceRunning*float64(t.open) + t.commonCost(now, s.cfg.FailureDomain), t.open < t.limit()
	})
}

// serveQueue grants places to queued requests.
func (s *Steering) serveQueue(now time.Time) {
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		t := s.service(now, r)
		switch {
		case !now.Before(r.Deadline):
			s.queue = slices.Delete(s.queue, i, i+1)
			s.refuse(r, result.DeadlinePassed, leastRetryAfter)
		case t != nil:
			s.queue = slices.Delete(s.queue, i, i+1)
			r.target = t
			s.grant(r, 0)
		default:
			i++
		}
	}
}
