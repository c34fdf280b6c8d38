// Package ratelimit decides how many requests may go to a target that names the requests
// a second which it takes from all entries together.
//
// A Limit is what is known of the rate of one incarnation of a target: which answer is
// the newest, and whether the target still names a rate. A Bucket bounds the requests. A
// model engine has one Bucket, at its target process, which admits every request. For a
// plain service, and for an engine whose target process is unreachable or does not bound
// requests, the entries share a Bucket at one of them: Ownership says at which, and its
// Granter answers the asks of all entries. Sharing joins the two for one entry.
//
// All types are pure state machines without clock and network. None is safe for
// concurrent use.
package ratelimit

import (
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// minRate and maxRate bound the rates that are obeyed.
	minRate = 0.01
	maxRate = 1e6
	// burstTime times the rate, but at least one request, is what a Bucket saves while
	// there is no demand.
	burstTime = 250 * time.Millisecond
)

// Limit is what is known of the rate that one incarnation of a target names. The zero
// value is a target that has named none.
type Limit struct {
	// Rate is the number of requests a second, 0 if the target names none.
	Rate float64
	// Since is when the target first named a rate, without a break. NamedAt is when the
	// newest answer that names one was received, and EndedAt when the last answer was that
	// ended a need.
	Since, NamedAt, EndedAt time.Time
	// Source is how the rate was learnt.
	Source Source
}

// Source is how a rate was learnt.
type Source string

// Sources of rates: an answer to a request of this entry, a poll of the target process,
// the target process of an engine, or another entry.
const (
	FromAnswer  Source = "answer"
	FromPoll    Source = "poll"
	FromProcess Source = "target process"
	FromEntry   Source = "entry"
)

// Named records that an answer which was received at a time names a rate. It reports
// whether that changes the rate. Of several answers the one that was received last
// counts.
func (l *Limit) Named(at time.Time, rate float64, source Source) bool {
	if !(rate > 0) || at.Before(l.NamedAt) || !at.After(l.EndedAt) {
		return false
	}
	l.NamedAt = at
	rate = min(max(rate, minRate), maxRate)
	if l.Rate == rate {
		return false
	}
	if l.Rate == 0 {
		l.Since = at
	}
	l.Rate, l.Source = rate, source
	return true
}

// Unnamed records that an answer which arrived at a time names no rate, and reports
// whether that ends the need. An answer of which the request was sent before the newest
// naming was received may be older than that.
func (l *Limit) Unnamed(sentAt, at time.Time) bool {
	return sentAt.After(l.NamedAt) && l.Ended(at)
}

// Ended records that the need had ended at a time, as another process has found.
func (l *Limit) Ended(at time.Time) bool {
	if l.Rate == 0 || !at.After(l.NamedAt) {
		return false
	}
	l.Rate, l.EndedAt = 0, at
	return true
}

// Message returns what is known of the rate for another process, nil if the target has
// named none.
func (l *Limit) Message(now time.Time) *wire.RateLimit {
	if l.NamedAt.IsZero() {
		return nil
	}
	x := &wire.RateLimit{PerSecond: l.Rate, AgeMS: wire.AgeMS(now.Sub(l.NamedAt)), SinceMS: wire.AgeMS(now.Sub(l.Since))}
	if l.Rate == 0 {
		x.AgeMS = wire.AgeMS(now.Sub(l.EndedAt))
	}
	return x
}

// Receive takes what another process knows of the rate, and reports whether that changes
// the rate.
func (l *Limit) Receive(now time.Time, x *wire.RateLimit, source Source) bool {
	if x == nil || !x.Valid() {
		return false
	}
	at := now.Add(-wire.Age(x.AgeMS))
	if x.PerSecond == 0 {
		return l.Ended(at)
	}
	begins := l.Rate == 0
	changed := l.Named(at, x.PerSecond, source)
	if changed && begins {
		l.Since = now.Add(-wire.Age(x.SinceMS))
	}
	return changed
}

// Bucket is a token bucket. It begins empty: what was sent before the rate became known
// is not known to it.
type Bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

// SetRate changes the rate. What the bucket holds stays, up to what the new rate allows.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.depth())
}

func (b *Bucket) depth() float64 { return max(1, b.rate*burstTime.Seconds()) }

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 && !b.at.IsZero() {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.depth())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// Take takes the token of one request. It returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	// A wait is rounded to whole nanoseconds.
	if b.tokens < 1-1e-6 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until there is a token for a request behind others.
func (b *Bucket) Wait(now time.Time, ahead int) time.Duration {
	b.refill(now)
	missing := float64(ahead+1) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / max(b.rate, minRate/1000) * float64(time.Second))
}
