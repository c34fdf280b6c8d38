// Package membership tracks for one entry which targets can be used. Its
// sources are the VM list, the entry's sessions with targets, and their
// messages.
//
// A Tracker is a pure state machine used by one goroutine. Events of one
// target must arrive in the order in which its sessions began and ended.
package membership

import "time"

const (
	// ListLag is the largest expected delay of the VM list. If the list still
	// has a target as leaving that long after the target process restarted,
	// that applies to the new process.
	ListLag = 15 * time.Second
	// SilenceWait is how long a target that did not answer is avoided.
	SilenceWait = 2 * time.Second
	// minBackoff and maxBackoff bound the delay before the next attempt to
	// connect, which doubles with each failed one.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Status is the state of one target.
type Status struct {
	// Connected is true while a session is open.
	Connected bool
	// Since is when the latest session opened.
	Since time.Time
	// Leaving is true if the target process announced that it accepts no new
	// requests.
	Leaving bool
	// ListedLeaving is true if the VM list has the target as leaving. A target
	// that is not in the list counts as live, because the list is delayed.
	ListedLeaving bool
	// Incarnation identifies the start of the target process; 0 before the
	// first session.
	Incarnation int64
	// Restarted is when the latest restart of the target process was
	// detected; zero if there was none.
	Restarted time.Time

	// silentUntil is the end of the time in which the target is avoided.
	silentUntil time.Time
	// retryAt is when the next attempt to connect may start.
	retryAt time.Time
	backoff time.Duration
}

// Tracker holds the status of every target.
type Tracker struct {
	targets map[string]*Status
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{targets: make(map[string]*Status)} }

// get returns the status of a target, which it adds if necessary.
func (t *Tracker) get(name string) *Status {
	s, ok := t.targets[name]
	if !ok {
		s = &Status{}
		t.targets[name] = s
	}
	return s
}

// SessionUp records the opening of a session. A new incarnation resets Leaving,
// which an earlier process announced. SessionUp reports whether the target
// process has restarted since the previous session.
func (t *Tracker) SessionUp(now time.Time, name string, incarnation int64) bool {
	s := t.get(name)
	restarted := s.Incarnation != 0 && incarnation != s.Incarnation
	if incarnation != s.Incarnation {
		s.Leaving = false
		s.Incarnation = incarnation
	}
	if restarted {
		s.Restarted = now
	}
	s.Connected = true
	s.Since = now
	s.silentUntil, s.retryAt, s.backoff = time.Time{}, time.Time{}, 0
	return restarted
}

// SessionDown records the end of a session.
func (t *Tracker) SessionDown(name string) { t.get(name).Connected = false }

// ConnectFailed records that a session could not be opened, and doubles the
// delay before the next attempt.
func (t *Tracker) ConnectFailed(now time.Time, name string) {
	s := t.get(name)
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now.Add(s.backoff)
}

// Leaving records that the target process announced its stop.
func (t *Tracker) Leaving(name string) { t.get(name).Leaving = true }

// ListLeaving records whether the VM list has the target as leaving.
func (t *Tracker) ListLeaving(name string, leaving bool) { t.get(name).ListedLeaving = leaving }

// Unanswered records that the target did not answer in time. It is then avoided
// for SilenceWait.
func (t *Tracker) Unanswered(now time.Time, name string) {
	t.get(name).silentUntil = now.Add(SilenceWait)
}

// Heard records a message from the target, which ends the time of avoidance.
func (t *Tracker) Heard(name string) {
	if s, ok := t.targets[name]; ok {
		s.silentUntil = time.Time{}
	}
}

// Silent reports whether the target is avoided because it did not answer in
// time.
func (t *Tracker) Silent(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && now.Before(s.silentUntil)
}

// Usable reports whether the target has a session and accepts new requests. A
// silent target is usable.
func (t *Tracker) Usable(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && s.Connected && !s.leaving(now)
}

// Reachable reports whether the entry may connect to the target for new
// requests.
func (t *Tracker) Reachable(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return !ok || !s.leaving(now) && !now.Before(s.retryAt)
}

// leaving combines the target's announcement with the VM list. An announcement
// of the present incarnation applies at once, whatever is in the list. After a
// restart the list may still mean the old process, so it applies only after
// ListLag.
func (s *Status) leaving(now time.Time) bool {
	if s.Leaving {
		return true
	}
	return s.ListedLeaving && (s.Restarted.IsZero() || now.Sub(s.Restarted) >= ListLag)
}

// Status returns the status of a target.
func (t *Tracker) Status(name string) Status {
	if s, ok := t.targets[name]; ok {
		return *s
	}
	return Status{}
}

// Forget removes the targets for which keep returns false, such as those that
// are no longer in any pool.
func (t *Tracker) Forget(keep func(name string) bool) {
	for name := range t.targets {
		if !keep(name) {
			delete(t.targets, name)
		}
	}
}
