package edge

import (
	"context"
	"errors"
	"time"

	"agatelanding.example/agatelanding/entry/streams"
	"agatelanding.example/agatelanding/internal/decide/softwareversion"
	"agatelanding.example/agatelanding/platform"
)

const (
	// registrationsPerTarget is about what a target registers in the time that the store
	// keeps, minHistory and maxHistory bound the revisions that are read of the history, and
	// historyTries is how often it is read to find out how many are kept.
	registrationsPerTarget = 20
	minHistory             = 64
	maxHistory             = 4000
	historyTries           = 6
)

// readHistory reads the last changes of targets before the first list, for what the targets
// were that have left since. The store may keep less than what is asked for first.
func (w *stateWatcher) readHistory(ctx context.Context, u update) {
	listed := 0
	for _, item := range u.items {
		if platform.IsTarget(item.Key) {
			listed++
		}
	}
	asked := uint64(min(listed*registrationsPerTarget+minHistory, maxHistory))
	// The store keeps revisions or more, and less than tooMany.
	revisions, tooMany := uint64(0), asked+1
	var items []platform.StoreItem
	for try := 0; try < historyTries && asked > revisions; try++ {
		found, err := w.store.TargetHistory(ctx, u.complete, asked)
		switch {
		case err == nil:
			items, revisions = found, asked
		case errors.Is(err, platform.ErrCompacted):
			tooMany = asked
		default:
			w.log.With("revisions", asked).With("reason", err).Info("the history of the store is not to be had")
			return
		}
		asked = (revisions + tooMany) / 2
	}
	changes := make([]streams.Change, 0, len(items))
	registrations := make(map[string]int)
	most := 0
	for _, item := range items {
		decoded, err := platform.Decode(item)
		changes = append(changes, streams.Change{ID: platform.TargetID(item.Key), Target: decoded.Target})
		if err == nil && decoded.Target != nil {
			registrations[item.Key]++
			most = max(most, registrations[item.Key])
		}
	}
	// Targets register at an interval, so that their registrations tell the time.
	span := time.Duration(max(0, most-1)) * w.registrationInterval
	if revisions >= u.complete.Revision {
		// That is all that ever was.
		span = softwareversion.Needed
	}
	w.log.With("revisions", revisions).With("registrations", len(changes)).With("span_ms", span.Milliseconds()).Info("the history of the store was read")
	w.addHistory(changes, span, w.registrationInterval)
}
