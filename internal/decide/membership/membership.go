// Package membership tracks the state of targets as one entry sees it, from
// the pool table, the VM list, its sessions and what targets say of
// themselves.
//
// A Tracker is a pure state machine used by one goroutine.
package membership

import "time"

// Status is what the entry knows of one target.
type Status struct {
	// Connected tells whether a session is open.
	Connected bool
	// Since is when the session opened.
	Since time.Time
	// Leaving tells whether the target said that it takes no new work.
	Leaving bool
	// Listed tells whether the VM list has the target as live; a missing
	// entry counts for nothing because the list lags.
	ListedLeaving bool
	// Incarnation is the start of the target process.
	Incarnation int64
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
// that an earlier process announced.
func (t *Tracker) SessionUp(now time.Time, name string, incarnation int64) {
	s := t.get(name)
	s.Connected = true
	s.Since = now
	if incarnation != s.Incarnation {
		s.Leaving = false
		s.Incarnation = incarnation
	}
}

// SessionDown records the end of a session.
func (t *Tracker) SessionDown(name string) { t.get(name).Connected = false }

// Leaving records that the target announced its stop.
func (t *Tracker) Leaving(name string) { t.get(name).Leaving = true }

// ListLeaving records what the VM list says.
func (t *Tracker) ListLeaving(name string, leaving bool) { t.get(name).ListedLeaving = leaving }

// Usable reports whether new work may go to the target.
func (t *Tracker) Usable(name string) bool {
	s, ok := t.targets[name]
	return ok && s.Connected && !s.Leaving && !s.ListedLeaving
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
