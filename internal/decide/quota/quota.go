// Package quota decides which requests of a workspace may run, so that the requests of all
// entries together keep to the quota of the workspace.
//
// One entry owns the quota of a workspace (ratelimit.Ownership says which). The Owner keeps
// a token bucket for each workspace that it owns and grants units from it. Every entry has
// an Account for each workspace that is in use at it: a lease of units that the owner has
// granted in advance, and the share of the rate that the entry may spend while no owner
// answers. Entry joins the two for one entry.
//
// It handles some hundred requests a second at hundreds of entries: a request that fits in
// the lease costs no message, and a workspace in use costs about one ask a second at each
// entry until its quota is nearly used up. Then each request asks, whatever its size, and
// an entry whose ask was refused refuses further requests itself for the time that the
// owner has named. State and messages grow with the workspaces in use at an entry.
//
// All types are pure state machines without clock and network. None is safe for concurrent
// use. Times must come from a clock that also runs while the process is suspended
// (internal/boottime).
package quota

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
)

const (
	// LeaseTime is how long after its ask was sent a lease is valid.
	LeaseTime = 1500 * time.Millisecond
	// AnswerTimeout is how long a request waits for the reply of an owner. A reply takes a
	// few milliseconds; an entry that is gone must not hold requests for long.
	AnswerTimeout = 300 * time.Millisecond
	// TickInterval is the time between two calls of Entry.Tick.
	TickInterval = 250 * time.Millisecond
	// suspendedAfter is the time without a call of Tick after which the entry counts as
	// having been suspended. It is shorter than ratelimit.SettleTime, after which another
	// entry may grant in its place, and longer than the stalls of a throttled process.
	suspendedAfter = 1500 * time.Millisecond

	// shareOfRate is the part of the rate that all entries together may spend without an
	// owner.
	shareOfRate = 0.2
	// shareDelay is the time after its start for which an entry has no share. In this time
	// it learns from other entries how many there are.
	shareDelay = time.Second
	// shareBurst is the time for which an unused share is saved.
	shareBurst = 2 * time.Second
	// youngTime is the time after its start for which an entry counts as just started. Where
	// all entries have just started, nobody has to settle. A request that is refused at an
	// entry which has no owner then fits after about youngRetryAfter, in which the entries find
	// each other.
	youngTime       = 5 * time.Second
	youngRetryAfter = 300 * time.Millisecond
	// unknownFleet is the number of entries that an entry assumes which has not been
	// connected with another one since its start: the number that the system is designed for.
	unknownFleet = 340
	// maxLeaseTime times the rate is the most that the leases of all entries hold together.
	maxLeaseTime = time.Second
	// extraBurstPart and debtPart are the parts of the overage that the bucket saves beyond the
	// burst, and into which one request may take it. The rest is for the shares that entries
	// spend before the owner notices that it has lost them.
	extraBurstPart = 0.8
	debtPart       = 0.05
	// tolerance is the part of a unit by which sums may be off.
	tolerance = 1e-6
)

// Bounds are the bounds on the sum of what all requests of a workspace may cost: in each
// Window (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultBounds apply where the settings do not name a window.
var DefaultBounds = Bounds{Window: 8 * time.Second, Overage: 0.25, Slack: 17_000}

// margin is what the requests in a window may cost beyond rate x Window + burst.
func (b Bounds) margin(q catalog.Quota) float64 {
	return b.overage(q) + b.Slack
}

// maxLeased returns the most that all leases hold together. What was leased before a window
// may be spent in it.
func (b Bounds) maxLeased(q catalog.Quota) float64 {
	return min(q.RatePerSecond*maxLeaseTime.Seconds(), 0.4*b.margin(q))
}

// extraBurst returns what a bucket saves beyond the burst, for the callers of a workspace that
// sends more than its rate for some seconds.
func (b Bounds) extraBurst(q catalog.Quota) float64 {
	return extraBurstPart * b.overage(q)
}

// maxDebt returns the debt into which one request may take the bucket.
func (b Bounds) maxDebt(q catalog.Quota) float64 { return b.Slack + debtPart*b.overage(q) }

// overage is the margin without the slack.
func (b Bounds) overage(q catalog.Quota) float64 {
	return b.Overage * (q.RatePerSecond*b.Window.Seconds() + q.Burst)
}

// Recorder takes counts and events. Package telemetry has the counters.
type Recorder interface {
	Count(name string)
	// Owns is called when this entry starts to own the quota of a workspace, and when it
	// ends.
	Owns(workspace string, owns bool)
	// FellBack is called when this entry begins to spend its share of a rate.
	FellBack(workspace string)
}
