package steering

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// incarnationTTL is how long after an incarnation was last listed its notices are
// kept. A target whose registration lapses may serve on and register again.
const incarnationTTL = 10 * time.Minute

// maxIncarnations bounds the incarnations of which other entries make notices known.
const maxIncarnations = 8192

// Notice is what a target says of itself in an answer, besides the answer.
type Notice struct {
	// Leaving is true if the target ends and must get no new requests.
	Leaving bool
	// RetryAfter is how long the target must get no requests from this entry, 0 if
	// it did not ask for time.
	RetryAfter time.Duration
	// RateLimit is the number of requests a second that the target takes from all
	// entries together, from MinRateLimit to MaxRateLimit, 0 if it names none.
	RateLimit float64
	// MalformedRateLimit is true if the target names a rate that cannot be read.
	MalformedRateLimit bool
	// NoRateLimitSentAt is set if the answer shows that the target names no rate. It is
	// when the request was sent.
	NoRateLimitSentAt time.Time
}

const (
	// MinRateLimit is the smallest rate that a target can name. It takes that many
	// requests a second also if it names less, because only answers show whether it
	// still names a rate.
	MinRateLimit = 0.05
	// MaxRateLimit is the largest rate that a target can name.
	MaxRateLimit = 1e5
)

// incarnationKey identifies an incarnation of a target.
type incarnationKey struct {
	id          string
	startedAtMS int64
}

// incarnation holds the notices of one incarnation. It outlives the listing of the
// target: neither a lapsed registration nor a store that lists the target as ready
// takes a notice back.
type incarnation struct {
	leaving bool
	// pausedUntil is the end of the time for which the target asked.
	pausedUntil time.Time
	// limit is what is known of the rate that the target names. It was last passed on to
	// other processes at broadcastAt.
	limit       ratelimit.Limit
	broadcastAt time.Time
	// redirected counts the requests that the rate sent elsewhere, and refused those that
	// were refused for it.
	redirected, refused int64
	listedAt            time.Time
}

func keyOf(t *catalog.Target) incarnationKey {
	return incarnationKey{id: t.ID, startedAtMS: t.StartedAtMS}
}

// incarnationOf returns the notices of a listed target.
func (s *Steering) incarnationOf(now time.Time, t *catalog.Target) *incarnation {
	key := keyOf(t)
	x, ok := s.incarnations[key]
	if !ok {
		x = &incarnation{}
		s.incarnations[key] = x
	}
	x.listedAt = now
	return x
}

// pruneIncarnations drops the notices of incarnations that are no longer listed.
func (s *Steering) pruneIncarnations(now time.Time) {
	for key, x := range s.incarnations {
		if t, ok := s.view.Targets[key.id]; ok && keyOf(t) == key {
			x.listedAt = now
		} else if now.Sub(x.listedAt) > incarnationTTL {
			delete(s.incarnations, key)
		}
	}
}

// Notified handles a notice of a target. It reports whether the notice is new.
// Requests that wait for admission at the target are placed elsewhere.
func (s *Steering) Notified(now time.Time, at *catalog.Target, n Notice) ([]Action, bool) {
	x := s.incarnationOf(now, at)
	isNew := false
	if n.Leaving && !x.leaving {
		x.leaving, isNew = true, true
		s.rec.Count("targets_leaving_by_answer")
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(x.pausedUntil) {
		isNew = isNew || !now.Before(x.pausedUntil)
		x.pausedUntil = until
		s.rec.Count("targets_paused_by_answer")
	}
	isNew = s.notifiedRate(now, keyOf(at), x, n) || isNew
	if t, ok := s.targets[at.ID]; ok && t.notices == x && !t.accepts(now) {
		s.rerouteUnadmitted(now, []*target{t})
		s.placeAwaitingPermit(now)
		s.serveQueue(now)
	}
	return s.takeActions(), isNew
}

// reportedLeaving handles a report by which the engine's answers to its target
// process say that it leaves.
func (s *Steering) reportedLeaving(now time.Time, t *target, m *wire.EngineReport) {
	if m.EngineLeaving && (t.StartedAtMS == 0 || m.StartedAtMS == t.StartedAtMS) && !t.notices.leaving {
		t.notices.leaving = true
		s.rec.Count("targets_leaving_by_answer")
		s.rerouteUnadmitted(now, []*target{t})
	}
}

// accepts reports whether the target takes new requests from this entry, as far as
// it has said.
func (t *target) accepts(now time.Time) bool {
	return !t.Draining && !t.notices.leaving && !now.Before(t.notices.pausedUntil)
}

// refusalFor returns the code and the delay for a request that no target can take
// now. If all that could take it have asked for time or name a rate, the delay is the
// shortest one.
func (s *Steering) refusalFor(now time.Time, r *request) (result.Code, time.Duration) {
	var earliest time.Time
	for _, listed := range s.view.Pools[r.Pool] {
		t, ok := s.targets[listed.ID]
		if !ok || t.Draining || t.notices.leaving || !s.isEligible(t, r) {
			continue
		}
		if until := t.notices.pausedUntil; now.Before(until) && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	wait, limited := s.shortestRateWait(now, r)
	switch {
	case limited && (earliest.IsZero() || wait < earliest.Sub(now)):
		return result.TargetsLimited, wait
	case earliest.IsZero():
		return r.codeOr(result.NoTarget), r.retryAfter
	}
	return result.TargetsPaused, earliest.Sub(now)
}
