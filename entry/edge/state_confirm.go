package edge

import (
	"context"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/platform"
)

const (
	// confirmTimeout bounds the wait for a read of the store by confirmNow, and
	// failedConfirmTime is how long no other read is tried after one that failed.
	confirmTimeout    = 500 * time.Millisecond
	failedConfirmTime = time.Second
)

// isUnseenRemoval reports whether an item removes a target that came and went since the known
// position.
func (w *stateWatcher) isUnseenRemoval(e platform.StoreItem) bool {
	return e.Removed && platform.IsTarget(e.Key) && e.Position().After(w.complete) && w.catalog.Position(e.Key).Revision == 0
}

// confirmView records up to when the published view is that of the store, and what it does not
// show of the time since the one before.
func (w *stateWatcher) confirmView(view *catalog.View, registered []*catalog.Target, missed bool) {
	passing := slices.DeleteFunc(registered, func(t *catalog.Target) bool {
		listed := view.Targets[t.ID]
		return listed != nil && listed.Pool == t.Pool && listed.SoftwareVersion == t.SoftwareVersion && listed.StartedAtMS == t.StartedAtMS
	})
	if len(passing) > 0 {
		w.addPassing(passing)
	}
	if missed {
		w.changesMissed()
	}
	w.viewConfirmedAt.Store(int64(w.toConfirm))
}

// confirmNow makes the published view that of the store at the time of the call or later, and
// reports whether it could. Calls that wait while a read is under way share the next one. After one that failed, calls
// fail at once for failedConfirmTime.
func (w *stateWatcher) confirmNow(ctx context.Context) bool {
	called := time.Since(w.started)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case w.confirming <- struct{}{}:
		defer func() { <-w.confirming }()
	case <-ctx.Done():
		return false
	}
	position := w.completeCopy.Load()
	switch {
	case time.Duration(w.viewConfirmedAt.Load()) >= called:
		return true
	case position == nil || time.Since(w.confirmFailedAt) < failedConfirmTime:
		return false
	}
	u := update{confirmedAt: time.Since(w.started), applied: make(chan struct{})}
	var err error
	if u.items, u.complete, err = w.store.Watch(ctx, "", *position, 0); err != nil {
		w.confirmFailedAt = time.Now()
		w.log.With("reason", err).Info("the state could not be confirmed")
		return false
	}
	select {
	case w.updates <- u:
	case <-ctx.Done():
		return false
	}
	select {
	case <-u.applied:
		return time.Duration(w.viewConfirmedAt.Load()) >= called
	case <-ctx.Done():
		return false
	}
}

// malformedKeys are the keys whose last item could not be read, up to maxMalformedKeys. Another
// writer may write such an item at an interval.
type malformedKeys map[string]bool

const maxMalformedKeys = 1024

// changed records whether the last item of a key can be read, and reports whether that is new.
// Beyond maxMalformedKeys nothing is.
func (m *malformedKeys) changed(key string, malformed bool) bool {
	if (*m)[key] == malformed {
		return false
	}
	if !malformed {
		delete(*m, key)
		return true
	}
	if len(*m) >= maxMalformedKeys {
		return false
	}
	if *m == nil {
		*m = make(malformedKeys)
	}
	(*m)[key] = true
	return true
}
