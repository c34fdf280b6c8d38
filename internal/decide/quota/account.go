package quota

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
)

const (
	// demandTime is the time over which the demand of a workspace is averaged.
	demandTime = 2 * time.Second
	// leaseMargin is the part by which an entry asks for more than its average demand of a
	// second, because demand varies.
	leaseMargin = 1.25
	// renewBefore is the time before the end of a lease at which the entry asks again, and
	// the time of demand that is left in a lease when it does.
	renewBefore = 300 * time.Millisecond
	// minAskInterval is the shortest time between two asks for a lease, and probeInterval
	// that between two asks of an entry that spends its share. After retryInterval without
	// an ask, a request waits for the owner again.
	minAskInterval = 250 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	retryInterval  = 2 * time.Second
	// minRefusal is the shortest time for which an entry refuses requests after the owner
	// has refused one. It bounds the asks of a workspace that is over its quota.
	minRefusal = 20 * time.Millisecond
	// accountTTL is how long the account of a workspace without requests is kept.
	accountTTL = 30 * time.Second
)

// account is what one entry knows of the quota of one workspace.
type account struct {
	name  string
	quota catalog.Quota
	// lease are units that the owner has granted in advance, valid until leasedUntil.
	lease       float64
	leasedUntil time.Time
	// demand is the average cost of the requests of a second, and mean that of a request.
	demand, mean     float64
	demandAt, usedAt time.Time
	// refusedUntil is when the owner would grant another request.
	refusedUntil time.Time
	// expected are the units that a pending ask expects to need. askedAt is when the last
	// ask was sent.
	expected float64
	askedAt  time.Time
	// fellBack is true after an ask without a reply, until there is one.
	fellBack bool
	// share is what is left of the entry's share of the rate.
	share   float64
	shareAt time.Time
	// owner is the entry to ask, if hasOwner is true, as of a view of the connections.
	owner    string
	hasOwner bool
	view     uint64
}

// newAccount returns the account of a workspace at an entry that was started at a time. What
// it has of its share is what an unused share would have saved.
func newAccount(now, startedAt time.Time, name string) *account {
	shareAt := now.Add(-shareBurst)
	if earliest := startedAt.Add(shareDelay); shareAt.Before(earliest) {
		shareAt = earliest
	}
	return &account{name: name, demandAt: now, shareAt: shareAt}
}

// note records the demand of a request.
func (a *account) note(now time.Time, units float64) {
	a.decay(now)
	a.usedAt = now
	a.demand += units / demandTime.Seconds()
	if a.mean == 0 {
		a.mean = units
	}
	a.mean += (units - a.mean) / 8
}

// decay brings the demand to the present time.
func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
}

// hasLease reports whether the lease is valid.
func (a *account) hasLease(now time.Time) bool { return now.Before(a.leasedUntil) }

// takeLease takes units from the lease.
func (a *account) takeLease(now time.Time, units float64) bool {
	if !a.hasLease(now) || a.lease < units {
		return false
	}
	a.lease -= units
	return true
}

// addLease adds units that the owner has granted to an ask.
func (a *account) addLease(now, sentAt time.Time, units float64) {
	if units > 0 {
		a.lease += units
	}
	if until := sentAt.Add(LeaseTime); until.After(a.leasedUntil) {
		a.leasedUntil = until
	}
}

// want returns the units to ask for in advance. A workspace with less than one request a
// second gets none, because they would often expire unused. One with a burst of a few
// requests gets none, because a lease would keep one of them from other entries.
func (a *account) want() float64 {
	if a.demand < a.mean || 10*a.mean > max(a.quota.Burst, a.quota.RatePerSecond) {
		return 0
	}
	return max(0, leaseMargin*a.demand+a.mean-a.lease)
}

// isDue reports whether it is time to ask for the next lease.
func (a *account) isDue(now time.Time) bool {
	if a.expected > 0 || now.Sub(a.askedAt) < minAskInterval || now.Before(a.refusedUntil) {
		return false
	}
	return a.lease < a.demand*renewBefore.Seconds()+a.mean || a.leasedUntil.Sub(now) < renewBefore
}

// refillShare adds to the share what the time has brought, for a fleet of some entries.
func (a *account) refillShare(now time.Time, entries int) (perSecond float64) {
	perSecond = shareOfRate * a.quota.RatePerSecond / float64(entries)
	if elapsed := now.Sub(a.shareAt); elapsed > 0 {
		a.share = min(a.share+perSecond*elapsed.Seconds(), perSecond*shareBurst.Seconds())
		a.shareAt = now
	}
	return perSecond
}

// takeShare takes units from the share, or returns when there would be enough. Another owner
// may answer after the settle time; a share that never suffices is worth no longer wait.
func (a *account) takeShare(now time.Time, entries int, units float64) (time.Duration, bool) {
	perSecond := a.refillShare(now, entries)
	if a.share >= units {
		a.share -= units
		return 0, true
	}
	return min(seconds((units-a.share)/perSecond), shareBurst), false
}
