// Package membership tracks for one entry which targets can be used. Its
// sources are the VM list, the entry's sessions with targets, and their
// messages.
//
// A Tracker is a pure state machine used by one goroutine. Events of one
// target must arrive in the order in which its sessions began and ended.
package membership

import "time"

const (
	// MaxListDelay is the largest expected delay of the VM list. For this time
	// after a restart of the target process, the list may still show the old
	// process as leaving, which is ignored. After it, the list applies to the
	// new process.
	MaxListDelay = 15 * time.Second
	// UnresponsiveTimeout is how long an unresponsive target is avoided.
	UnresponsiveTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay before the next attempt to
	// connect, which doubles with each failed one.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Status is the state of one target.
type Status struct {
	// Connected is true while a session is open.
	Connected bool
	// ConnectedSince is when the latest session opened.
	ConnectedSince time.Time
	// AnnouncedLeaving is true if the target process itself announced that it
	// takes no new requests because it will stop. ListedLeaving has the same
	// meaning, but from the VM list. Usable and MayConnect combine the two.
	AnnouncedLeaving bool
	// ListedLeaving is true if the VM list shows the target as leaving. A
	// target that is not in the list counts as live, because the list is
	// delayed.
	ListedLeaving bool
	// Incarnation is the start time of the target process, which changes with
	// each restart; 0 before the first session.
	Incarnation int64
	// RestartedAt is when the latest restart of the target process was
	// detected; zero if there was none.
	RestartedAt time.Time

	// unresponsiveUntil is the end of the time in which the target is avoided
	// because it did not answer; zero if it is responsive.
	unresponsiveUntil time.Time
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

// SessionUp records the opening of a session. A new incarnation resets
// AnnouncedLeaving, which an earlier process announced. SessionUp reports
// whether the target process has restarted since the previous session.
func (t *Tracker) SessionUp(now time.Time, name string, incarnation int64) bool {
	s := t.get(name)
	restarted := s.Incarnation != 0 && incarnation != s.Incarnation
	if incarnation != s.Incarnation {
		s.AnnouncedLeaving = false
		s.Incarnation = incarnation
	}
	if restarted {
		s.RestartedAt = now
	}
	s.Connected = true
	s.ConnectedSince = now
	s.unresponsiveUntil, s.retryAt, s.backoff = time.Time{}, time.Time{}, 0
	return restarted
}

// SessionLost records the end of a session.
func (t *Tracker) SessionLost(name string) { t.get(name).Connected = false }

// ConnectFailed records that a session could not be opened, and doubles the
// delay before the next attempt.
func (t *Tracker) ConnectFailed(now time.Time, name string) {
	s := t.get(name)
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now.Add(s.backoff)
}

// SetLeaving records that the target process announced that it will stop, which
// sets Status.AnnouncedLeaving.
func (t *Tracker) SetLeaving(name string) { t.get(name).AnnouncedLeaving = true }

// SetListedLeaving records whether the VM list shows the target as leaving, in
// Status.ListedLeaving.
func (t *Tracker) SetListedLeaving(name string, leaving bool) { t.get(name).ListedLeaving = leaving }

// MessageUnanswered records that the target did not answer in time. It counts
// as unresponsive for UnresponsiveTimeout, and requests avoid it if they can.
func (t *Tracker) MessageUnanswered(now time.Time, name string) {
	t.get(name).unresponsiveUntil = now.Add(UnresponsiveTimeout)
}

// MessageReceived records that a message from the target arrived. The target is
// responsive again.
func (t *Tracker) MessageReceived(name string) {
	if s, ok := t.targets[name]; ok {
		s.unresponsiveUntil = time.Time{}
	}
}

// Unresponsive reports whether the target is unresponsive: it did not answer in
// time within the last UnresponsiveTimeout, and has sent no message since.
func (t *Tracker) Unresponsive(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && now.Before(s.unresponsiveUntil)
}

// Usable reports whether the target may get new requests on an open session: it
// is connected and not leaving. An unresponsive target is usable.
func (t *Tracker) Usable(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return ok && s.Connected && !s.isLeaving(now)
}

// MayConnect reports whether the entry may connect to the target for new
// requests: it is not leaving, and the delay after the last failed attempt to
// connect has passed. The state of the network is not checked.
func (t *Tracker) MayConnect(now time.Time, name string) bool {
	s, ok := t.targets[name]
	return !ok || !s.isLeaving(now) && !now.Before(s.retryAt)
}

// isLeaving reports whether the target is leaving, by its own announcement or
// by the VM list. An announcement of the running process applies at once,
// whatever is in the list. After a restart the list may still concern the old
// process, so it applies only after MaxListDelay.
func (s *Status) isLeaving(now time.Time) bool {
	if s.AnnouncedLeaving {
		return true
	}
	return s.ListedLeaving && (s.RestartedAt.IsZero() || now.Sub(s.RestartedAt) >= MaxListDelay)
}

// Status returns the status of a target.
func (t *Tracker) Status(name string) Status {
	if s, ok := t.targets[name]; ok {
		return *s
	}
	return Status{}
}

// Retain removes the status of every target for which keep returns false. keep
// reports whether the target with a name is to be kept.
func (t *Tracker) Retain(keep func(name string) bool) {
	for name := range t.targets {
		if !keep(name) {
			delete(t.targets, name)
		}
	}
}
