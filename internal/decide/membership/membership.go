// Package membership tracks the state of targets as one entry sees it, from
// the VM list, its sessions and what targets say of themselves.
//
// A Tracker is a pure state machine used by one goroutine. Events of one
// target must arrive in the order in which its sessions began and ended.
package membership

import "time"

const (
	// ListLag is how late the VM list may be. A mark that the list shows
	// for longer after a restart is about the new process.
	ListLag = 15 * time.Second
	// SilenceWait is how long a target that did not answer is avoided
	// before it is tried again.
	SilenceWait = 2 * time.Second
	// firstBackoff and longestBackoff bound the doubling pause between two
	// attempts to connect.
	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 10 * time.Second
)

// Status is what the entry knows of one target.
type Status struct {
	// Connected tells whether a session is open.
	Connected bool
	// Since is when the session opened.
	Since time.Time
	// Leaving tells whether the target said that it takes no new work.
	Leaving bool
	// ListedLeaving tells whether the VM list has the target as leaving. A
	// target that the list does not have counts as live, because the list
	// lags.
	ListedLeaving bool
	// Incarnation is the start of the target process.
	Incarnation int64
	// Restarted is when a further incarnation was first seen.
	Restarted time.Time

	silentUntil time.Time
	retryAt     time.Time
	backoff     time.Duration
}

// Tracker holds the status of every target.
type Tracker struct {
	targets map[string]*Status
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{targets: make(map[string]*Status)} }

func (t *Tracker) get(name string) *Status {
	s, ok := t.targets[name]
	if !ok {
		s = &Status{}
		t.targets[name] = s
	}
	return s
}

// SessionUp records an open session. A new incarnation takes back a Leaving
// that an earlier process announced. It reports whether the target process
// restarted since the entry saw it last.
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

// ConnectFailed records that a session could not be opened.
func (t *Tracker) ConnectFailed(now time.Time, name string) {
	s := t.get(name)
	s.backoff = min(max(2*s.backoff, firstBackoff), longestBackoff)
	s.retryAt = now.Add(s.backoff)
}

// Leaving records that the target announced its stop.
func (t *Tracker) Leaving(name string) { t.get(name).Leaving = true }

// ListLeaving records what the VM list says.
func (t *Tracker) ListLeaving(name string, leaving bool) { t.get(name).ListedLeaving = leaving }

// Unanswered records that the target did not answer in time.
func (t *Tracker) Unanswered(now time.Time, name string) {
	t.get(name).silentUntil = now.Add(SilenceWait)
}

// Heard records a message of the target.
func (t *Tracker) Heard(name string) {
	if s, ok := t.targets[name]; ok {
		s.silentUntil = time.Time{}
	}
}

// Silent reports whether the target is avoided because it did not answer.
func (t *Tracker) Silent(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && now.Before(s.silentUntil)
}

// Usable reports whether new work may go to the target.
func (t *Tracker) Usable(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && s.Connected && !s.leaving(now)
}

// Reachable reports whether the target may be connected to for new work.
func (t *Tracker) Reachable(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return !ok || !s.leaving(now) && !now.Before(s.retryAt)
}

// leaving joins the target's word and the list's. The target's own word for
// this incarnation counts at once, whatever the list says. The list's mark of
// a process that has restarted since counts only once it outlasts the lag.
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

// Forget drops targets that are no longer in any pool.
func (t *Tracker) Forget(keep func(name string) bool) {
	for name := range t.targets {
		if !keep(name) {
			delete(t.targets, name)
		}
	}
}
