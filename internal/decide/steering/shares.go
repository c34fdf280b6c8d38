package steering

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/serviceshare"
)

const (
	// shareCost is added if this entry uses its whole share of a plain service, and
	// proportionally if it uses less or more.
	shareCost = 100.0
	// A request that has waited waitedTime goes before new ones of the same priority. It
	// is a small part of the deadlines of 1 to 3 s.
	waitedTime = 200 * time.Millisecond
	// waitTolerance is how many times the time left the expected wait of a request must be
	// before it is refused, if it was less than the time left when the request arrived.
	// The expected wait varies with the time that requests spend at the targets.
	waitTolerance = 2
	// Package relay tells a caller to come back after minDelayFactor to maxDelayFactor times
	// the delay of a refusal, but at most after a share of the time that the caller has
	// left. For a whole answer that is callerDelayShare of the time until the Deadline.
	minDelayFactor   = 1.5
	maxDelayFactor   = 3.5
	callerDelayShare = 1 / (3 * 0.7)
	// minRoomAfter is the shortest retry delay of a request that cannot start before its
	// deadline.
	minRoomAfter = 20 * time.Millisecond
)

// ReportDemands passes the demand of this entry for plain services on to the others.
type ReportDemands struct{ Demands []serviceshare.Demand }

func (ReportDemands) isAction() {}

// shareOf returns this entry's share of a pool of plain services.
func (s *Steering) shareOf(now time.Time, pool string) *serviceshare.Pool {
	share := s.shares.Pool(now, pool, s.random)
	if !share.IsCurrent(now) {
		var list []serviceshare.Target
		for _, listed := range s.view.Pools[pool] {
			if t, ok := s.targets[listed.ID]; ok && t.accepts(now) && !t.isReplaced() && !now.Before(t.avoidUntil) {
				list = append(list, serviceshare.Target{ID: t.ID, Slots: t.MaxRunning, Bound: t.requestLimit()})
			}
		}
		slices.SortFunc(list, func(a, b serviceshare.Target) int { return cmp.Compare(a.ID, b.ID) })
		share.SetTargets(now, list)
	}
	return share
}

// isGoverned reports whether the share of this entry bounds its requests at the service of
// a request.
func (s *Steering) isGoverned(now time.Time, r *request) bool {
	return r.isService && s.shareOf(now, r.Pool).Governed(now)
}

// sharedCost returns the cost of a request at a plain service while the share of this entry
// bounds its requests. The failure domain does not count: the shares of the entries of one
// domain are distributed over all targets.
func (t *target) sharedCost(now time.Time, share *serviceshare.Pool) float64 {
	return shareCost*share.Load(now, t.ID) + failureCost*t.failureRate(now)
}

// grantService assigns its plain service to a request.
func (s *Steering) grantService(now time.Time, r *request) {
	r.grantedAt = now
	s.shareOf(now, r.Pool).Started(now, r.target.ID)
	s.grant(r, 0)
}

// endService records the end of a request at a plain service.
func (s *Steering) endService(now time.Time, r *request, outcome Outcome) {
	if !r.isService {
		return
	}
	if outcome == Declined {
		s.rec.Count("service_rejections")
	}
	s.shareOf(now, r.Pool).Ended(now, r.target.ID, now.Sub(r.grantedAt), outcome == Declined, outcome == Answered)
}

// enqueue lets a request wait for a plain service.
func (s *Steering) enqueue(now time.Time, r *request) {
	r.state = queued
	s.queue = append(s.queue, r)
	share := s.shareOf(now, r.Pool)
	share.AddQueued(now, 1)
	if share.Governed(now) {
		s.rec.Count("service_share_waits")
	}
}

// dequeue removes a request from the queue, if it is in it.
func (s *Steering) dequeue(now time.Time, r *request) {
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.shareOf(now, r.Pool).AddQueued(now, -1)
	}
}

// anyQueued reports whether a request waits for the services of a pool.
func (s *Steering) anyQueued(pool string) bool {
	return slices.ContainsFunc(s.queue, func(r *request) bool { return r.Pool == pool })
}

// sortQueue sorts the queue by priority. Of the same priority, requests that a target has
// rejected or that have waited come first, and then those with the earlier deadline, as
// callers have that come back.
func (s *Steering) sortQueue(now time.Time) {
	rank := func(r *request) int {
		if len(r.ExcludedTargets) > 0 || now.Sub(r.requestedAt) >= waitedTime {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(s.queue, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(rank(a), rank(b)), a.Deadline.Compare(b.Deadline), cmp.Compare(a.Number, b.Number))
	})
}

// isHopeless reports whether a request with an expected wait is not expected to start
// before its deadline.
func (r *request) isHopeless(now time.Time, wait time.Duration) bool {
	if r.mayLapse {
		wait /= waitTolerance
	}
	return now.Add(wait).After(r.Deadline)
}

// roomAfter returns the retry delay of a request whose expected wait exceeds the time that
// it has left. The excess has been worked off when its caller comes back. A longer delay
// than the caller would follow is cut so that the random factor of package relay still
// spreads the callers.
func (s *Steering) roomAfter(now time.Time, r *request, wait time.Duration) time.Duration {
	left := r.Deadline.Sub(now)
	excess := wait - left + s.shareOf(now, r.Pool).Holding()
	longest := callerDelayShare * float64(left)
	return max(minRoomAfter, time.Duration(min(float64(excess)/minDelayFactor, longest/maxDelayFactor)))
}

// SetEntries sets the addresses of the connected entries that report their demand for plain
// services, with this one, and the number of known entries.
func (s *Steering) SetEntries(now time.Time, connected []string, known int) {
	s.shares.SetMembers(now, connected, known)
}

// ReceiveDemands takes the demand of another entry for plain services.
func (s *Steering) ReceiveDemands(now time.Time, from string, demands []serviceshare.Demand) []Action {
	s.shares.Receive(now, from, demands)
	s.serveQueue(now)
	return s.takeActions()
}

func (s *Steering) reportDemands(now time.Time) {
	if list := s.shares.Report(now); len(list) > 0 {
		s.emit(ReportDemands{Demands: list})
	}
}

// NextService returns the time until a share allows a further request although none has
// ended, or false if none does while requests wait.
func (s *Steering) NextService(now time.Time) (time.Duration, bool) {
	if s.nextService.IsZero() || len(s.queue) == 0 {
		return 0, false
	}
	return max(0, s.nextService.Sub(now)), true
}

// ServiceShares returns the share and the use of each plain service.
func (s *Steering) ServiceShares(now time.Time) []serviceshare.Status { return s.shares.Status(now) }
