package wire

import "math"

// Bounds of the fields of Items about rate limits. What exceeds them is dropped on
// receipt.
const (
	MaxRateLimits = 512
	MaxPermitAsks = 64
	maxRate       = 1e6
)

// RateLimit is what a process knows of the rate that an incarnation of a target names.
// Times are ages in milliseconds, because the clocks of processes differ.
type RateLimit struct {
	Target      string `msgpack:"t,omitempty"`
	StartedAtMS int64  `msgpack:"b,omitempty"`
	// PerSecond is the number of requests a second that the target takes from all
	// entries together, 0 if it names none any more.
	PerSecond float64 `msgpack:"r,omitempty"`
	// AgeMS is the time since the newest answer that names the rate or, if PerSecond is
	// 0, since the answer that ended the need. SinceMS is the time since the target
	// first named a rate.
	AgeMS   int64 `msgpack:"a"`
	SinceMS int64 `msgpack:"s,omitempty"`
}

// PermitAsk asks the entry that grants the permits of a target for one.
type PermitAsk struct {
	Number      uint64  `msgpack:"n"`
	Target      string  `msgpack:"t"`
	StartedAtMS int64   `msgpack:"b,omitempty"`
	PerSecond   float64 `msgpack:"r"`
	Priority    int     `msgpack:"p,omitempty"`
	// WaitMS is how long the ask may wait.
	WaitMS int64 `msgpack:"w,omitempty"`
	// Withdrawn is true if the ask with this number is withdrawn. PerSecond, Priority and
	// WaitMS are then empty.
	Withdrawn bool `msgpack:"x,omitempty"`
}

// Permit is the reply to a PermitAsk.
type Permit struct {
	Number  uint64 `msgpack:"n"`
	Granted bool   `msgpack:"g,omitempty"`
	// RetryAfterMS is when there would be a permit.
	RetryAfterMS int64 `msgpack:"a,omitempty"`
}

// HasRateLimits reports whether the message is about rate limits.
func (x *Items) HasRateLimits() bool {
	return len(x.RateLimits) > 0 || len(x.PermitAsks) > 0 || len(x.Permits) > 0
}

// BoundRateLimits drops what exceeds the bounds or is malformed.
func (x *Items) BoundRateLimits() {
	x.RateLimits = keep(x.RateLimits, MaxRateLimits, func(l *RateLimit) bool {
		return validName(l.Target) && l.Valid()
	})
	x.PermitAsks = keep(x.PermitAsks, MaxPermitAsks, func(a *PermitAsk) bool {
		return validName(a.Target) && (a.PerSecond > 0 || a.Withdrawn) && validRate(a.PerSecond) && a.Priority >= 0 && validAge(a.WaitMS)
	})
	x.Permits = keep(x.Permits, MaxPermitAsks, func(p *Permit) bool { return validAge(p.RetryAfterMS) })
}

// Valid reports whether the rate and the ages are in range.
func (l *RateLimit) Valid() bool {
	return validRate(l.PerSecond) && validAge(l.AgeMS) && validAge(l.SinceMS)
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func validRate(r float64) bool { return !math.IsNaN(r) && r >= 0 && r <= maxRate }
