package edge

import (
	"cmp"
	"time"

	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
)

// revokeMargin is how long before the end of RevokeTimeout the keys of a view are used no
// more. It covers the differences in speed of two clocks.
const revokeMargin = 100 * time.Millisecond

// revokeWatchDivisor divides RevokeTimeout into the time for which the store holds a watch
// open: while nothing changes, the view is as old as the watch when it is answered, here and
// at every entry that relies on this read.
const revokeWatchDivisor = 10

// watchWait returns how long the store holds a watch open while nothing changes. It is no longer
// than the time between two watches: one that gets no answer delays the next by its timeout.
func (w *stateWatcher) watchWait() time.Duration {
	wait := min(maxWatchWait, cmp.Or(w.minWatchInterval(), maxWatchWait))
	if timeout := w.bounds.Load().RevokeTimeout; timeout > 0 {
		return min(wait, timeout/revokeWatchDivisor)
	}
	return wait
}

// trustedView is the published view's age: it has all changes up to a position, and was that
// of the store at confirmedAt on the clock of boottime.
type trustedView struct {
	at          catalog.Position
	confirmedAt time.Duration
}

// confirmTrust records that the published view has what the store answered. It runs after
// the view is published. While the newest configuration cannot be read, the keys grow older,
// and after RevokeTimeout they are used no more.
func (w *stateWatcher) confirmTrust(u update) {
	if u.asked > 0 && u.complete.Era == w.complete.Era && w.viewConfirms() {
		w.trust.Confirm(u.asked)
		w.publishTrust()
	}
}

// confirmByPeer records what a peer said of the age of its view.
func (w *stateWatcher) confirmByPeer(s viewtrust.Stamp) {
	if w.viewConfirms() && w.trust.ConfirmByPeer(s, w.complete) {
		w.publishTrust()
	}
}

func (w *stateWatcher) publishTrust() {
	if confirmed, known := w.trust.ConfirmedAt(); known {
		w.trusted.Store(&trustedView{at: w.complete, confirmedAt: confirmed})
	}
}

// viewAge returns how old the published view is at most, and up to where it has all changes.
func (w *stateWatcher) viewAge() (age time.Duration, at catalog.Position, known bool) {
	t := w.trusted.Load()
	if t == nil {
		return 0, catalog.Position{}, false
	}
	return boottime.Now() - t.confirmedAt, t.at, true
}

// receiveViewAge passes a peer's word on the age of its view to run. It is dropped if run is
// busy: the next one is as good.
func (w *stateWatcher) receiveViewAge(s viewtrust.Stamp) {
	select {
	case w.updates <- update{peerStamp: &s}:
	default:
	}
}

// keysTrusted reports whether no key of the published view has been withdrawn for
// RevokeTimeout, as far as a bound is set.
func (w *stateWatcher) keysTrusted() bool {
	timeout := w.bounds.Load().RevokeTimeout
	if timeout == 0 {
		return true
	}
	age, _, known := w.viewAge()
	return known && age < timeout-revokeMargin
}
