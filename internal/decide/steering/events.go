package steering

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// SessionUp records that a session with a target process has opened.
func (s *Steering) SessionUp(now time.Time, id string) []Action {
	t, ok := s.targets[id]
	if !ok || !t.sessionRequested {
		s.emit(Disconnect{Target: id})
		return s.takeActions()
	}
	t.sessionOpen, t.lastMessageAt = true, time.Time{}
	if t.engine != nil && s.view != nil && s.view.Config != nil {
		s.sendEngineSettings(now, t)
	}
	for _, r := range s.openRequests() {
		if r.target == t && r.state == granted {
			s.emit(Send{Target: id, Message: &wire.Attach{ID: s.attemptID(r), Model: r.Model, Adapter: r.Adapter}})
		}
	}
	return s.takeActions()
}

// SessionLost records the loss of a session. Requests that wait for a reply of
// the target process try another target; requests at the engine continue.
func (s *Steering) SessionLost(now time.Time, id string) []Action {
	if t, ok := s.targets[id]; ok {
		t.sessionOpen, t.reservedTokens = false, 0
		t.heldPrefixes.Clear()
		s.reroute(now, t)
	}
	return s.takeActions()
}

// Message handles a message from a target process.
func (s *Steering) Message(now time.Time, id string, message any) []Action {
	t, ok := s.targets[id]
	if !ok {
		return s.takeActions()
	}
	t.lastMessageAt = now
	switch m := message.(type) {
	case *wire.Reserved:
		s.reservationAccepted(t, m)
	case *wire.Refused:
		s.reservationRefused(now, t, m)
	case *wire.EngineReport:
		s.updateReport(now, t, m)
	}
	return s.takeActions()
}

// findReserving returns the request that waits for the reply of this target
// process to the reservation, or nil.
func (s *Steering) findReserving(t *target, id wire.AttemptID) *request {
	if id.Request.Entry != s.cfg.Entry || id.Request.Incarnation != s.cfg.Incarnation {
		return nil
	}
	r, ok := s.requests[id.Request.Number]
	if !ok || r.target != t || r.state != reserving {
		return nil
	}
	return r
}

// isSharedReservation reports whether a reservation is held for another incarnation at the
// address of t: both have one target process, whose messages reach both.
func (s *Steering) isSharedReservation(t *target, id wire.AttemptID) bool {
	r, ok := s.requests[id.Request.Number]
	return ok && s.attemptID(r) == id && r.target != nil && r.target != t && r.target.Address == t.Address
}

func (s *Steering) reservationAccepted(t *target, m *wire.Reserved) {
	r := s.findReserving(t, m.ID)
	if r == nil {
		if s.isSharedReservation(t, m.ID) {
			return
		}
		// The request has ended or has tried another target.
		s.emit(Send{Target: t.ID, Message: &wire.Release{ID: m.ID}})
		return
	}
	if r.Adapter != "" {
		t.held[adapterName(&r.Request)] = true
	}
	s.grant(r, m.Version)
}

func (s *Steering) reservationRefused(now time.Time, t *target, m *wire.Refused) {
	r := s.findReserving(t, m.ID)
	if r == nil {
		return
	}
	if m.Load.Running+m.Load.Queued > 0 {
		t.report.Running, t.report.Waiting = m.Load.Running, m.Load.Queued
	}
	after := time.Duration(m.RetryAfterMS) * time.Millisecond
	if r.retryAfter == 0 || after > 0 && after < r.retryAfter {
		r.retryAfter = after
	}
	s.rec.Retried(m.Code)
	if r.relied && m.Code == result.BudgetExceeded {
		t.waitExceedsSaving = true
	}
	if m.Code == result.TargetsLimited {
		s.recordRateRefusal(now, t, r, m)
	}
	s.retryElsewhere(now, r, m.Code)
}

// retryElsewhere tries another target for a request that was not admitted.
func (s *Steering) retryElsewhere(now time.Time, r *request, code result.Code) {
	r.ExcludedTargets = append(slices.Clone(r.ExcludedTargets), r.target.ID)
	r.code = code
	if !now.Before(r.Deadline) {
		s.refuse(r, code, r.retryAfter)
		return
	}
	s.place(now, r)
}

func (s *Steering) updateReport(now time.Time, t *target, m *wire.EngineReport) {
	t.reservedTokens = 0
	t.updatePrefixes(m)
	switch c := m.Changes; {
	case m.HasAdapterLists:
		t.held, t.cached = setOf(m.Held), setOf(m.Cached)
	case c != nil:
		change(t.held, c.HeldAdded, c.HeldRemoved)
		change(t.cached, c.CachedAdded, c.CachedRemoved)
	}
	t.report, t.reportedAt = *m, now
	s.updateSpeeds(now, t.Pool)
	s.reportedLeaving(now, t, m)
	s.reportedRate(now, t, m)
	s.placeAwaiting(now)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// change adds names to a set and removes others.
func change(set map[string]bool, added, removed []string) {
	for _, n := range removed {
		delete(set, n)
	}
	for _, n := range added {
		set[n] = true
	}
}

// FirstEvent records that the target sent the first event of a stream.
func (s *Steering) FirstEvent(number uint64) []Action {
	if r, ok := s.requests[number]; ok && r.state == granted && !r.firstEvent {
		r.firstEvent = true
		s.sendToTargetProcess(r, &wire.Started{ID: s.attemptID(r)})
	}
	return s.takeActions()
}

// sendToTargetProcess sends a message to the target process of a request while a
// session is requested, which outlasts the service in the configuration. It
// does not check for an open session: a new session may be open before SessionUp
// is called, and a request that was attached on it must be released on it.
// Without a session the message is dropped, and the target process detects the
// loss of the session itself.
func (s *Steering) sendToTargetProcess(r *request, message any) {
	if t := r.target; t.sessionRequested && s.targets[t.ID] == t {
		s.emit(Send{Target: t.ID, Message: message})
	}
}

// Done ends a request, whether or not it was granted a target.
func (s *Steering) Done(now time.Time, number uint64, outcome Outcome) []Action {
	r, ok := s.requests[number]
	if !ok {
		return s.takeActions()
	}
	delete(s.requests, number)
	switch r.state {
	case queued:
		s.dequeue(now, r)
		s.awaitingEngine = slices.DeleteFunc(s.awaitingEngine, func(x *request) bool { return x == r })
	case awaitingPermit:
		s.withdrawAsk(r)
	case reserving:
		s.sendToTargetProcess(r, &wire.Release{ID: s.attemptID(r)})
	case granted:
		r.target.granted--
		s.sendToTargetProcess(r, &wire.Release{ID: s.attemptID(r)})
		s.endService(now, r, outcome)
		s.recordOutcome(now, r, outcome)
		s.serveQueue(now)
	}
	return s.takeActions()
}

func (s *Steering) recordOutcome(now time.Time, r *request, outcome Outcome) {
	t := r.target
	switch outcome {
	case Answered:
		t.updateFailureRate(now, false)
		t.timesAvoided, t.avoidUntil = 0, time.Time{}
	case Declined, ResponseBroken:
		if outcome == Declined && s.isGoverned(now, r) {
			// The target is sound, but full.
			return
		}
		t.updateFailureRate(now, true)
	case Unreachable, WrongIncarnation:
		t.updateFailureRate(now, true)
		t.avoid(now)
	}
	if outcome == WrongIncarnation && r.Adapter != "" {
		// This outdated record may be why the target was selected.
		delete(t.held, adapterName(&r.Request))
	}
}

// Tick handles expired deadlines and timeouts and retries the queued requests.
func (s *Steering) Tick(now time.Time) []Action {
	s.broadcastRateLimits(now)
	for _, r := range s.openRequests() {
		if r.state == awaitingPermit && !now.Before(r.Deadline) {
			s.withdrawAsk(r)
			s.refuse(r, result.TargetsLimited, r.target.rateWait(now))
		}
		if r.state != reserving {
			continue
		}
		switch {
		case !now.Before(r.Deadline):
			s.sendToTargetProcess(r, &wire.Release{ID: s.attemptID(r)})
			s.refuse(r, r.codeOr(result.DeadlinePassed), r.retryAfter)
		case now.Sub(r.selectedAt) > replyTimeout && now.Sub(r.target.lastMessageAt) > livenessTimeout:
			// The target process has stopped or is unreachable; its engine
			// may still be running.
			s.rec.Count("silent_target_processes")
			s.sendToTargetProcess(r, &wire.Release{ID: s.attemptID(r)})
			r.target.avoid(now)
			s.rec.Retried(result.SessionLost)
			s.retryElsewhere(now, r, result.SessionLost)
		}
	}
	s.placeAwaiting(now)
	s.serveQueue(now)
	s.reportDemands(now)
	return s.takeActions()
}
