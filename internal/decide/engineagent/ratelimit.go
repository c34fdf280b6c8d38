package engineagent

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// rateLimiter bounds the admissions to the rate that the engine names.
type rateLimiter struct {
	// startedAtMS is the start time of the incarnation that limit belongs to, 0 if it is
	// unknown.
	startedAtMS int64
	limit       ratelimit.Limit
	bucket      ratelimit.Bucket
	// polled is true if a poll has named the rate since the need began. Otherwise the
	// reports of the engine may never name it, so that one without it says nothing.
	polled bool
}

// changed applies a change of the limit to the bucket, which begins empty with each need.
func (l *rateLimiter) changed(now time.Time, before float64) {
	if before == 0 {
		l.bucket, l.polled = ratelimit.Bucket{}, false
	}
	l.bucket.SetRate(now, l.limit.Rate)
}

// namedByPoll records that an answer to a poll or an order names a rate, and reports
// whether that changes the rate.
func (l *rateLimiter) namedByPoll(now time.Time, rate float64) bool {
	before := l.limit.Rate
	changed := l.limit.Named(now, rate, ratelimit.FromPoll)
	if changed {
		l.changed(now, before)
	}
	l.polled = true
	return changed
}

// receive takes what an entry knows of the rate of an incarnation. An entry that does not
// know when the engine started means the present incarnation.
func (l *rateLimiter) receive(now time.Time, startedAtMS int64, x *wire.RateLimit) {
	if x == nil || startedAtMS != 0 && startedAtMS < l.startedAtMS {
		return
	}
	if startedAtMS > l.startedAtMS {
		*l = rateLimiter{startedAtMS: startedAtMS}
	}
	if before := l.limit.Rate; l.limit.Receive(now, x, ratelimit.FromEntry) {
		l.changed(now, before)
	}
}

// startIncarnation drops what is known of another incarnation than the one that started
// at a time.
func (l *rateLimiter) startIncarnation(startedAtMS int64) {
	if l.startedAtMS != startedAtMS {
		*l = rateLimiter{startedAtMS: startedAtMS}
	}
}

// wait returns the time until a request behind others could be admitted.
func (l *rateLimiter) wait(now time.Time, ahead int) time.Duration {
	if l.limit.Rate == 0 {
		return 0
	}
	return l.bucket.Wait(now, ahead)
}

// take takes the place of one request. It returns false if there is none.
func (l *rateLimiter) take(now time.Time) bool {
	return l.limit.Rate == 0 || l.bucket.Take(now)
}

// notifiedRate handles the rate in an answer to a poll or an order, and reports whether it
// is new.
func (a *Agent) notifiedRate(now time.Time, n Notice) bool {
	switch {
	case n.MalformedRateLimit:
		a.rec.Count("rate_limits_malformed")
	case n.RateLimit > 0:
		a.rec.Count("rate_limits_named")
		return a.limiter.namedByPoll(now, n.RateLimit)
	}
	return false
}

// PollNamedNoRate handles the answer to a poll that names no rate, and reports whether
// the engine's need has ended with it. An answer on a kept connection may be a copy of one
// from before the need.
func (a *Agent) PollNamedNoRate(now, sentAt time.Time) bool {
	if a.status.KeptConnection && a.mayUseNewConnection(now) && a.limiter.polled && a.limiter.limit.Rate > 0 {
		a.confirmNoRate, a.needsPoll = true, true
		return false
	}
	return a.limiter.polled && a.limiter.limit.Unnamed(sentAt, now)
}

// refuseLimited refuses the waiting requests that the engine's rate keeps waiting beyond
// their deadlines.
func (a *Agent) refuseLimited(now time.Time) {
	ahead := 0
	for _, r := range slices.Clone(a.queue) {
		if wait := a.limiter.wait(now, ahead); wait > 0 && now.Add(wait).After(r.deadline) {
			a.refuse(r, result.TargetsLimited, wait)
			a.removeReservation(now, r)
			continue
		}
		ahead++
	}
}

// RateLimit returns what is known of the rate that the engine names.
func (a *Agent) RateLimit() ratelimit.Limit { return a.limiter.limit }
