package steering

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// directShare is the part of an engine's rate that entries without a session with its
	// target process share. The target process may be admitting requests of other
	// entries at the whole rate.
	directShare = 0.4
	// broadcastInterval is the shortest time between two messages about the rate of one
	// target, and resendInterval that between two to a target process that does not
	// bound a rate which this entry knows.
	broadcastInterval = 100 * time.Millisecond
	resendInterval    = time.Second
	// repeatJitter times the wait for room is the longest random delay of the next ask, so
	// that the entries do not all ask at the same moment. Room that nobody asks for is lost.
	repeatJitter = 0.1
)

// AskPermit asks for a permit to send a request to a target. The reply is passed to
// Permitted. Ask.From and Ask.Number are left empty.
type AskPermit struct {
	Number uint64
	Ask    ratelimit.Ask
}

// WithdrawAsk withdraws the ask for a permit of a request that does not need it any more.
type WithdrawAsk struct {
	Number uint64
	Target string
}

// BroadcastRateLimit passes on to the other entries what this one has learnt of a rate.
type BroadcastRateLimit struct{ Limit wire.RateLimit }

func (AskPermit) isAction()          {}
func (WithdrawAsk) isAction()        {}
func (BroadcastRateLimit) isAction() {}

// RateLimitStatus describes a target that names a rate.
type RateLimitStatus struct {
	Target    string           `json:"target"`
	PerSecond float64          `json:"per_second"`
	SinceMS   int64            `json:"since_ms"`
	Source    ratelimit.Source `json:"learnt_by"`
	// BoundedBy is who bounds the requests of this entry: the target process, or the
	// entries together.
	BoundedBy string `json:"bounded_by"`
	// Redirected counts the requests of this entry that the rate sent elsewhere, and
	// Refused those that were refused for it.
	Redirected int64 `json:"redirected"`
	Refused    int64 `json:"refused"`
}

// needsPermit reports whether requests to the target need a permit of the entries: it
// names a rate, and no target process bounds the requests.
func (t *target) needsPermit() bool {
	return t.notices.limit.Rate > 0 && !(t.engine != nil && t.sessionOpen && t.report.BoundsRate)
}

// rateWait returns the time until the target could take another request, as far as this
// entry knows.
func (t *target) rateWait(now time.Time) time.Duration {
	rate := t.notices.limit.Rate
	switch {
	case rate == 0:
		return 0
	case t.needsPermit():
		return max(0, t.permitAfter.Sub(now))
	}
	reported := time.Duration(t.report.RateWaitMS) * time.Millisecond
	own := time.Duration(float64(t.reservations) / rate * float64(time.Second))
	return max(0, reported+own-now.Sub(t.reportedAt))
}

// mayAsk reports whether the request may ask for a permit now.
func (t *target) mayAsk(now time.Time, r *request) bool {
	return !now.Before(t.permitAfter) && !slices.Contains(r.refusedPermits, t.ID)
}

// askPermit asks for a permit. Without mayWait the reply comes at once.
func (s *Steering) askPermit(now time.Time, r *request, t *target, mayWait bool) {
	r.state, r.target, r.mayWait = awaitingPermit, t, mayWait
	rate, deadline := t.notices.limit.Rate, now
	if t.engine != nil && t.report.BoundsRate {
		rate *= directShare
	}
	if mayWait {
		deadline = r.Deadline
	}
	s.emit(AskPermit{Number: r.Number, Ask: ratelimit.Ask{
		Key: ratelimit.Key{Target: t.ID, StartedAtMS: t.StartedAtMS}, Rate: rate, Priority: r.Priority, Deadline: deadline,
	}})
}

// withdrawAsk withdraws the ask of a request that waits for a permit.
func (s *Steering) withdrawAsk(r *request) {
	r.state = reserving
	s.emit(WithdrawAsk{Number: r.Number, Target: r.target.ID})
}

// placeAwaitingPermit places the requests anew that wait for a permit which they do not
// need any more: their target takes no requests, needs no permits, or another target
// needs none.
func (s *Steering) placeAwaitingPermit(now time.Time) {
	for _, r := range s.openRequests() {
		if r.state != awaitingPermit {
			continue
		}
		t := r.target
		if s.targets[t.ID] != t || !t.accepts(now) || !t.needsPermit() || r.mayWait && s.anyUnlimited(now, r) {
			s.withdrawAsk(r)
			s.place(now, r)
		}
	}
}

// Permitted handles the reply to an AskPermit. Without a permit, retryAfter is when there
// would be one.
func (s *Steering) Permitted(now time.Time, number uint64, targetID string, granted bool, retryAfter time.Duration) []Action {
	r, ok := s.requests[number]
	if !ok || r.state != awaitingPermit || r.target.ID != targetID {
		if granted {
			s.rec.Count("permits_unused")
		}
		return s.takeActions()
	}
	t := r.target
	switch {
	case !granted:
		t.permitAfter = now.Add(time.Duration((1 + repeatJitter*s.random()) * float64(retryAfter)))
		if r.mayWait {
			r.refusedPermits = append(r.refusedPermits, t.ID)
		}
		s.recordPermitRefusal(r, retryAfter)
		s.place(now, r)
	case s.targets[t.ID] != t || !t.accepts(now):
		s.rec.Count("permits_unused")
		s.retryElsewhere(now, r, result.TargetLeaving)
	case t.engine != nil:
		s.reserveAt(now, r, t, false)
	default:
		s.grantService(now, r)
	}
	return s.takeActions()
}

// recordPermitRefusal records that the rate of its target sends a request elsewhere.
func (s *Steering) recordPermitRefusal(r *request, retryAfter time.Duration) {
	r.target.notices.redirected++
	s.rec.Retried(result.TargetsLimited)
	r.code = result.TargetsLimited
	if r.retryAfter == 0 || retryAfter < r.retryAfter {
		r.retryAfter = retryAfter
	}
}

// recordRateRefusal handles a reservation that was refused because of the rate. Other
// requests need not learn it by a refusal too, and it is no failed attempt.
func (s *Steering) recordRateRefusal(now time.Time, t *target, r *request, m *wire.Refused) {
	t.notices.redirected++
	t.report.RateWaitMS = m.RetryAfterMS + now.Sub(t.reportedAt).Milliseconds()
	r.attempts--
}

// notifiedRate handles what an answer says of the rate of a target, and reports whether
// that is new.
func (s *Steering) notifiedRate(now time.Time, key incarnationKey, x *incarnation, n Notice) bool {
	changed := false
	switch {
	case n.MalformedRateLimit:
		s.rec.Count("rate_limits_malformed")
	case n.RateLimit > 0:
		s.rec.Count("rate_limits_named")
		changed = x.limit.Named(now, n.RateLimit, ratelimit.FromAnswer)
	case !n.NoRateLimitSentAt.IsZero():
		changed = x.limit.Unnamed(n.NoRateLimitSentAt, now)
	}
	if changed {
		if !slices.Contains(s.unsentLimits, key) {
			s.unsentLimits = append(s.unsentLimits, key)
		}
		s.broadcastRateLimits(now)
		s.rateChanged(now, key)
	}
	return changed
}

// rateChanged applies a changed rate to the requests that wait.
func (s *Steering) rateChanged(now time.Time, key incarnationKey) {
	if t, ok := s.targets[key.id]; ok && keyOf(t.Target) == key {
		t.permitAfter = time.Time{}
		s.placeAwaitingPermit(now)
		s.serveQueue(now)
	}
}

// broadcastRateLimits passes on what this entry has learnt from answers, at intervals.
func (s *Steering) broadcastRateLimits(now time.Time) {
	waiting := s.unsentLimits[:0]
	for _, key := range s.unsentLimits {
		x, ok := s.incarnations[key]
		switch {
		case !ok:
			continue
		case now.Sub(x.broadcastAt) < broadcastInterval:
			waiting = append(waiting, key)
			continue
		}
		x.broadcastAt = now
		l := x.limit.Message(now)
		l.Target, l.StartedAtMS = key.id, key.startedAtMS
		s.emit(BroadcastRateLimit{Limit: *l})
		if t, ok := s.targets[key.id]; ok && t.notices == x && t.engine != nil && t.sessionOpen {
			s.sendEngineSettings(now, t)
		}
	}
	s.unsentLimits = waiting
}

// ReceiveRateLimits handles what another entry has learnt of the rates of targets.
func (s *Steering) ReceiveRateLimits(now time.Time, list []wire.RateLimit) []Action {
	for i := range list {
		key := incarnationKey{id: list[i].Target, startedAtMS: list[i].StartedAtMS}
		x, ok := s.incarnations[key]
		if !ok {
			if len(s.incarnations) >= maxIncarnations {
				continue
			}
			x = &incarnation{listedAt: now}
			s.incarnations[key] = x
		}
		if x.limit.Receive(now, &list[i], ratelimit.FromEntry) {
			s.rec.Count("rate_limits_received")
			s.rateChanged(now, key)
		}
	}
	return s.takeActions()
}

// reportedRate handles what the target process of an engine knows of its rate. One that
// does not know what this entry knows, as after a restart, is told.
func (s *Steering) reportedRate(now time.Time, t *target, m *wire.EngineReport) {
	t.reservations = 0
	if t.StartedAtMS != 0 && m.StartedAtMS != t.StartedAtMS {
		return
	}
	if t.notices.limit.Receive(now, m.RateLimit, ratelimit.FromProcess) {
		s.rec.Count("rate_limits_received")
	}
	if unbounded := m.RateLimit == nil || m.RateLimit.PerSecond == 0; unbounded && m.BoundsRate && t.notices.limit.Rate > 0 && now.Sub(t.rateSentAt) >= resendInterval {
		t.rateSentAt = now
		s.sendEngineSettings(now, t)
	}
}

// shortestRateWait returns the shortest wait for a target of the pool that only its rate keeps
// from taking the request, or false if there is none.
func (s *Steering) shortestRateWait(now time.Time, r *request) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, listed := range s.view.Pools[r.Pool] {
		t, ok := s.targets[listed.ID]
		if !ok || !s.isUsable(now, t, r) {
			continue
		}
		if wait := t.rateWait(now); wait > 0 && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// countRefusedForRate counts a request that is refused for the rate of its last target.
func countRefusedForRate(r *request, code result.Code) {
	if code == result.TargetsLimited && r.target != nil {
		r.target.notices.refused++
	}
}

// RateLimits returns the listed targets that name a rate.
func (s *Steering) RateLimits(now time.Time) []RateLimitStatus {
	var list []RateLimitStatus
	for _, t := range s.targets {
		x := t.notices
		if x.limit.Rate == 0 {
			continue
		}
		status := RateLimitStatus{
			Target: t.ID, PerSecond: x.limit.Rate, SinceMS: now.Sub(x.limit.Since).Milliseconds(), Source: x.limit.Source, BoundedBy: "target process",
			Redirected: x.redirected, Refused: x.refused,
		}
		if t.needsPermit() {
			status.BoundedBy = "entries"
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b RateLimitStatus) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
