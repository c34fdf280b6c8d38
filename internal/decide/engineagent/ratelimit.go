package engineagent

import (
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

// named records that an answer of the engine names a rate.
func (l *rateLimiter) named(now, at time.Time, rate float64, source ratelimit.Source) bool {
	unlimited := l.limit.Rate == 0
	changed := l.limit.Named(at, rate, source)
	if changed {
		if unlimited {
			l.bucket, l.polled = ratelimit.Bucket{}, false
		}
		l.bucket.SetRate(now, l.limit.Rate)
	}
	l.polled = l.polled || source == ratelimit.FromPoll
	return changed
}

// hear takes what an entry knows of the rate of an incarnation. An entry that does not
// know when the engine started means the present incarnation.
func (l *rateLimiter) hear(now time.Time, startedAtMS int64, x *wire.RateLimit) {
	if x == nil || !x.Valid() || startedAtMS != 0 && startedAtMS < l.startedAtMS {
		return
	}
	if startedAtMS > l.startedAtMS {
		*l = rateLimiter{startedAtMS: startedAtMS}
	}
	at := now.Add(-wire.Age(x.AgeMS))
	if x.PerSecond > 0 {
		l.named(now, at, x.PerSecond, ratelimit.FromEntry)
	} else {
		l.limit.Ended(at)
	}
}

// begin drops what is known of another incarnation than the one that started at a time.
func (l *rateLimiter) begin(startedAtMS int64) {
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

// report returns what is known of the rate, nil if the engine has named none.
func (l *rateLimiter) report(now time.Time) *wire.RateLimit {
	if l.limit.NamedAt.IsZero() {
		return nil
	}
	x := &wire.RateLimit{PerSecond: l.limit.Rate, AgeMS: wire.AgeMS(now.Sub(l.limit.NamedAt)), SinceMS: wire.AgeMS(now.Sub(l.limit.Since))}
	if x.PerSecond == 0 {
		x.AgeMS = wire.AgeMS(now.Sub(l.limit.EndedAt))
	}
	return x
}

// notifiedRate handles the rate in an answer to a poll or an order, and reports whether it
// is new.
func (a *Agent) notifiedRate(now time.Time, n Notice) bool {
	switch {
	case n.MalformedRateLimit:
		a.rec.Count("rate_limits_malformed")
	case n.RateLimit > 0:
		a.rec.Count("rate_limits_named")
		return a.limiter.named(now, now, n.RateLimit, ratelimit.FromPoll)
	}
	return false
}

// PollNamedNoRate handles the answer to a poll that names no rate, and reports whether
// the engine's need has ended with it.
func (a *Agent) PollNamedNoRate(now, sentAt time.Time) bool {
	return a.limiter.polled && a.limiter.limit.Unnamed(sentAt, now)
}

// refuseLimited refuses the waiting requests that the engine's rate keeps waiting beyond
// their deadlines.
func (a *Agent) refuseLimited(now time.Time) {
	ahead := 0
	for _, r := range append([]*reservation(nil), a.queue...) {
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
