// Package outage decides whether registrations of targets may have expired because the store was
// away for all. Such targets are alive and register again once the store is back, so that their
// removals must not take effect at once; every other removal must.
//
// A call that fails says little of the store: it may refuse one entry, cut a watch or drop its
// history while it serves targets and the operator. What tells the two apart is how many changes
// the store has accepted meanwhile, because every target registers at an interval and each change
// raises the revision. An entry that was suspended or cut off learns so, too, that the store was
// up. A registration expires after three intervals without a renewal, and the last renewal may be
// one interval older than the outage: a shorter time than two cannot have ended any.
//
// It answers the load of an outage after which all targets would be removed at once.
package outage

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
)

const (
	// DefaultInterval is the interval of registrations if it is not known.
	DefaultInterval = time.Second
	// minSilence is the shortest time without an answer, in intervals, after which registrations
	// may have expired. Of that time at least minIdle intervals, and the share minIdleShare, must be
	// more than the changes account for: there are also fewer changes if targets have crashed.
	minSilence   = 2
	minIdle      = 1
	minIdleShare = 1.0 / 3
	// maxIntervalRatio allows for registrations that are rarer than their interval, which is
	// approximate.
	maxIntervalRatio = 1.25
)

// Answer is an answer of the store, to this entry or to one that has passed it on.
type Answer struct {
	// Answered is when the store answered. For an answer that another entry has passed on it is when
	// that entry sent it, which may be long before it was received.
	Answered time.Duration
	// Asked is when the store was asked, 0 if that is not known.
	Asked time.Duration
	// At is up to where changes are known with the answer.
	At catalog.Position
	// Targets is the number of targets that were registered before, Removals that of their removals
	// among the changes.
	Targets, Removals int
}

// Outage describes an outage of the store after which registrations may be missing.
type Outage struct {
	// Silence is the time between two answers, Idle the part of it for which no changes account,
	// and Changes the number of changes.
	Silence, Idle time.Duration
	Changes       uint64
}

// Detector finds outages of the store. Times are those of one clock that does not step. It is not
// safe for concurrent use.
type Detector struct {
	interval time.Duration
	// asked is when the question of the newest answer was sent, at the position of that answer, and
	// removals the number of removals since.
	asked    time.Duration
	at       catalog.Position
	removals int
}

// New returns a Detector for targets that register at an interval, 0 if it is not known.
func New(interval time.Duration) *Detector {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Detector{interval: interval}
}

// Silent reports whether the last answer is so old that registrations may be expiring because
// the store is away.
func (d *Detector) Silent(now time.Duration) bool {
	return d.at.Revision > 0 && now-d.asked >= minSilence*d.interval
}

// Observe records an answer before its changes are applied, and reports whether the store was away
// since the one before for so long that registrations may have expired.
func (d *Detector) Observe(a Answer) (Outage, bool) {
	if d.at.After(a.At) || a.Asked == 0 && a.At == d.at {
		// An earlier state, or the known one at an unknown time, says nothing of the present.
		return Outage{}, false
	}
	o, away := d.compare(a)
	switch {
	case a.Asked > 0:
		d.asked, d.at, d.removals = max(d.asked, a.Asked), a.At, 0
	default:
		d.removals += a.Removals
	}
	return o, away
}

func (d *Detector) compare(a Answer) (Outage, bool) {
	o := Outage{Silence: a.Answered - d.asked}
	o.Idle = o.Silence
	switch {
	case d.at.Revision == 0 || a.Targets == 0:
		return o, false
	case a.At.Era != d.at.Era:
		// The store comes back from a copy only after it was away.
		return o, true
	}
	o.Changes = a.At.Revision - d.at.Revision
	if registrations := int64(o.Changes) - int64(d.removals+a.Removals); registrations > 0 {
		o.Idle -= time.Duration(maxIntervalRatio * float64(registrations) / float64(a.Targets) * float64(d.interval))
	}
	return o, d.Silent(a.Answered) && o.Idle >= max(minIdle*d.interval, time.Duration(minIdleShare*float64(o.Silence)))
}
