// Package viewtrust decides how old the view of the store is that an entry acts on, where
// acting on an old one is not allowed: a key that was withdrawn may be used for a bounded
// time only, at every entry, also at one that is cut off, was suspended or gets messages
// late.
//
// A time is therefore counted from when a question was sent, on a clock that goes on while
// the VM is suspended. The questions are reads of the store, and the stamps that entries
// exchange with their keep-alive messages: a stamp carries the time at its sender, which the
// peer sends back with the age of its own view. A view that is as old as that age, counted
// from the own time in the echo, is never older in fact, however long the messages were on
// their way. So every entry's view stays as fresh as that of the entry which read the store
// last, plus the time for one exchange.
//
// It answers the load of many entries before one store whose reads are limited: all of them
// stay current by the reads of one.
package viewtrust

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
)

// Trust is what an entry knows of the age of its view. The zero value has no view. It is not
// safe for concurrent use.
type Trust struct {
	confirmed time.Duration
	known     bool
	// notBefore is the time from which on answers count again after the store was restored
	// from a copy, which may lack the last changes.
	notBefore time.Duration
}

// Restored records that a state of another era of the store became known at a time. Answers
// to questions that are sent within grace say nothing of what the copy lacks.
func (t *Trust) Restored(now, grace time.Duration) { t.notBefore = now + grace }

// Confirm records that the view is that of the store at a time or later: when a question was
// sent that the store has answered, and whose answer is part of the view.
func (t *Trust) Confirm(asked time.Duration) {
	if asked >= t.notBefore && (!t.known || asked > t.confirmed) {
		t.confirmed, t.known = asked, true
	}
}

// ConfirmByPeer records a peer's stamp. at is up to where the view of this entry has all
// changes. It reports whether the stamp says anything of that view.
func (t *Trust) ConfirmByPeer(s Stamp, at catalog.Position) bool {
	if !s.valid() || s.At.Era != at.Era || s.At.After(at) {
		return false
	}
	t.Confirm(s.Echo - s.Age)
	return true
}

// ConfirmedAt returns when the view was last known to be that of the store, and false if it
// never was.
func (t *Trust) ConfirmedAt() (time.Duration, bool) { return t.confirmed, t.known }

// Stamp is what a peer says of its view in reply to a time that it was sent.
type Stamp struct {
	// Echo is the time of the receiver that the peer had got last when it sent the stamp,
	// and Age the age of the peer's view then.
	Echo, Age time.Duration
	// At is up to where the peer's view has all changes.
	At catalog.Position
}

// valid reports whether the stamp can be one of a running peer.
func (s Stamp) valid() bool { return s.Echo > 0 && s.Age >= 0 && s.At.Revision > 0 }
