package edge

import (
	"context"
	"errors"
	"math"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/entry/streams"
	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/outage"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
)

const (
	// maxWatchWait bounds how long the store holds a watch open while nothing
	// changes. It is short because a dead connection shows only by a missing
	// answer.
	maxWatchWait = time.Second
	// minWatchInterval is the shorter of the bounds DrainTimeout and
	// ConfigApplyTimeout divided by watchIntervalDivisor. It limits the calls to
	// the store, each of which has a price, because every heartbeat of a target
	// ends a watch.
	watchIntervalDivisor = 4
	// minBackoff and maxBackoff bound the delay after a failed call to the
	// store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// listBackoff replaces the growing delay while the whole state has yet to
	// be listed: before the first list this entry can serve no request.
	listBackoff = 150 * time.Millisecond
	// checkInterval is the time between two checks for a silent store and for
	// targets that did not register again.
	checkInterval = 200 * time.Millisecond
	// peerQueryDelay is how much longer than minWatchInterval the store may stay
	// silent before other entries are queried.
	peerQueryDelay = 250 * time.Millisecond
	// peerQueryInterval is the time between two queries to other entries, and
	// maxQueriedPeers the number of entries that get each query.
	peerQueryInterval = 300 * time.Millisecond
	maxQueriedPeers   = 2
	// formerConfigInterval is the time between two queries for a former configuration, which are
	// answered with the whole state.
	formerConfigInterval = time.Second
	// minReadAge is the age of the state, as a share of minWatchInterval, from which
	// an entry may read the store. Each entry draws its own share up to 1 after every
	// confirmation, so that one entry reads first and the others get its broadcast.
	// Shares near minReadAge are rare, by readAgeExponent: otherwise several entries
	// of a large fleet would read before the broadcast of the first arrives.
	minReadAge      = 0.5
	readAgeExponent = 1.0 / 3
	// maxBroadcastBytes bounds the items of a broadcast. After a larger change, such
	// as a new configuration, every entry reads the store itself.
	maxBroadcastBytes = 8 << 10
)

// stateWatcher keeps the published state up to date: the configuration, the
// targets and the adapter versions. It reads the store and, while that is
// silent, queries other entries. Its log lines have the prefix "keeper", which
// operators' tools match.
type stateWatcher struct {
	store   *platform.Store
	bounds  atomic.Pointer[platform.Bounds]
	metrics *telemetry.Metrics
	log     *telemetry.Logger
	// publish puts a view in force. queryPeers queries up to count other
	// entries for the changes after a position and returns how many it queried.
	// broadcast sends what was read to other entries, and entries returns the number
	// of known entries.
	publish    func(*catalog.View)
	queryPeers func(count int, after catalog.Position) int
	// registrationInterval is about the time between two registrations of a target, 0 if it is not
	// known.
	registrationInterval time.Duration
	// addHistory takes the changes of targets in the history of the store, which is complete
	// for a span of the past, and the interval at which targets register.
	addHistory func(changes []streams.Change, span, interval time.Duration)
	// addPassing takes targets that were listed between two views and are in neither, and
	// changesMissed is called if there may have been some that are not known.
	addPassing    func([]*catalog.Target)
	changesMissed func()
	broadcast     func(peers.State)
	entries       func() int

	updates chan update
	queries chan itemsQuery
	// confirmedAt is the last time at which the state was known to be that of the
	// store, by an answer of the store or through another entry, as the time since
	// started.
	started     time.Time
	confirmedAt atomic.Int64
	// viewConfirmedAt is the same for the published view, which follows a little later.
	viewConfirmedAt atomic.Int64
	// era is the newest known era of the store, and eraBeganAt when it replaced
	// another one, as the time since started; 0 if it did not.
	era        atomic.Uint64
	eraBeganAt atomic.Int64
	// completeCopy is a copy of complete for other goroutines.
	completeCopy atomic.Pointer[catalog.Position]
	// storedVersion is the version of the newest known configuration of the store, which was
	// written at storedConfigAt, and 0 if that cannot be read.
	storedVersion atomic.Int64
	// unreadableSince is since when the store has a configuration that cannot be read, as the
	// time since started; 0 if it has none.
	unreadableSince atomic.Int64
	// confirming is held by the call of confirmNow that reads the store. It protects
	// confirmFailedAt, when the last such read failed.
	confirming      chan struct{}
	confirmFailedAt time.Time

	// trusted is what others know of trust: the view and up to when it is that of the store.
	trusted atomic.Pointer[trustedView]

	// Only the goroutine of run uses the fields below.
	trust   viewtrust.Trust
	outages *outage.Detector
	catalog *catalog.Catalog
	items   map[string]platform.StoreItem
	// complete is the position up to which all changes are known.
	complete      catalog.Position
	lastPeerQuery time.Time
	malformed     malformedKeys
	// storedConfigAt belongs to storedVersion.
	storedConfigAt catalog.Position
	// formerConfig is the last configuration that could be read while the newest one cannot, for
	// entries that start meanwhile; nil otherwise.
	formerConfig *platform.StoreItem
	kept         keptItems
	// toConfirm is the time for which the next view is confirmed.
	toConfirm time.Duration
	// recent holds the positions that were complete within the last two intervals,
	// the oldest first.
	recent []timedPosition
	// peerQueryPending is set when an era begins, until another entry was queried:
	// other entries may have a configuration that the copy lacks.
	peerQueryPending bool
}

// timedPosition is a position that was complete at a time.
type timedPosition struct {
	catalog.Position
	at time.Time
}

// itemsQuery asks run for the items that changed after a position.
type itemsQuery struct {
	after catalog.Position
	reply chan peers.State
}

// update carries changes of the published state, or of the reachability of the
// store, to run.
type update struct {
	items []platform.StoreItem
	// fullList is set if items is a list of the whole store.
	fullList bool
	// complete is the position up to which all changes are known after this
	// update, or zero if the update does not determine it.
	complete catalog.Position
	// fromPeer is set if the items come from another entry.
	fromPeer bool
	// since is the position that the items follow, zero if that is one that this
	// entry had.
	since catalog.Position
	// confirmedAt is a time since started at which complete was the position of the
	// store, or 0.
	confirmedAt time.Duration
	// answeredAt is when another entry sent the update, as a time since started, and 0 for an update
	// whose sender is not known to be late.
	answeredAt time.Duration
	// asked is when the question was sent that the store has answered by this update, on
	// the clock of boottime, 0 if it is no answer of the store. peerStamp is what a peer said
	// of the age of its view, nil if the update is nothing else.
	asked     time.Duration
	peerStamp *viewtrust.Stamp
	// applied is closed once the update is applied, if it is not nil.
	applied chan struct{}
}

// source returns where the items of an update come from, for logs.
func (u update) source() string {
	switch {
	case u.fromPeer:
		return "peer"
	case u.fullList:
		return "list"
	}
	return "watch"
}

func newStateWatcher(store *platform.Store, bounds platform.Bounds, metrics *telemetry.Metrics) *stateWatcher {
	w := &stateWatcher{
		store: store, metrics: metrics, log: telemetry.For("keeper"), started: time.Now(),
		updates: make(chan update, 64), confirming: make(chan struct{}, 1), queries: make(chan itemsQuery),
		outages: outage.New(0), catalog: catalog.New(), items: make(map[string]platform.StoreItem),
	}
	w.bounds.Store(&bounds)
	w.limitMemory(maxItemBytes)
	return w
}

// age returns how long ago the state was known to be that of the store.
func (w *stateWatcher) age() time.Duration {
	return time.Since(w.started) - time.Duration(w.confirmedAt.Load())
}

// storeCurrent reports whether the state was that of the store within the last
// ConfigApplyTimeout, the time in which a new configuration must be in force.
// While that is true, the configuration in force counts as the newest. It does not
// for a while after the store was restored from a copy: a configuration that the
// store acknowledged before may be lost until the operator writes it again.
func (w *stateWatcher) storeCurrent() bool {
	now := time.Since(w.started)
	if began := time.Duration(w.eraBeganAt.Load()); began > 0 && now-began < catalog.ReregistrationGrace {
		return false
	}
	return w.age() < w.bounds.Load().ConfigApplyTimeout
}

// stateAfter returns the items that changed after a position. It returns nothing if
// run does not answer in time.
func (w *stateWatcher) stateAfter(after catalog.Position) peers.State {
	q := itemsQuery{after: after, reply: make(chan peers.State, 1)}
	select {
	case w.queries <- q:
		return <-q.reply
	case <-time.After(time.Second):
		w.log.Warn("no reply to a peer: the published state was not available in time")
		return peers.State{}
	}
}

// receiveFromPeer passes a part of another entry's state to run.
func (w *stateWatcher) receiveFromPeer(s peers.State) {
	if !s.HasUnreadable {
		// A former build leaves out a configuration that it cannot decode.
		s.Complete = catalog.Position{}
	}
	storeItems := make([]platform.StoreItem, 0, len(s.Items))
	for _, i := range s.Items {
		storeItems = append(storeItems, platform.StoreItem{Key: i.Key, Era: i.Era, Revision: i.Revision, Removed: i.Removed, Value: i.Value})
	}
	u := update{items: storeItems, complete: s.Complete, since: s.Since, fromPeer: true}
	if s.Since.Revision > 0 {
		now := time.Since(w.started)
		u.confirmedAt, u.answeredAt = now-s.Age, now-s.Late
	}
	w.updates <- u
}

// run applies updates to the catalog and answers queries until ctx ends. It is the
// only goroutine that uses the catalog.
func (w *stateWatcher) run(ctx context.Context) {
	w.outages = outage.New(w.registrationInterval)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-w.updates:
			if u.peerStamp != nil {
				w.confirmByPeer(*u.peerStamp)
				continue
			}
			w.applyUpdate(u)
			if u.applied != nil {
				close(u.applied)
			}
		case q := <-w.queries:
			q.reply <- w.stateFor(q.after)
		case <-ticker.C:
			w.queryPeersIfNeeded()
			w.endDeferrals(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// queryPeersIfNeeded queries other entries while the store is silent, once after the begin of an
// era, and while only they may have a configuration that can be read.
func (w *stateWatcher) queryPeersIfNeeded() {
	silent := w.age() > w.minWatchInterval()+peerQueryDelay
	after, interval := w.complete, peerQueryInterval
	if w.needsFormerConfig() {
		// It was written before what is known.
		after, interval = catalog.Position{}, formerConfigInterval
	} else if !silent && !w.peerQueryPending {
		return
	}
	if time.Since(w.lastPeerQuery) < interval {
		return
	}
	w.lastPeerQuery = time.Now()
	if w.queryPeers(maxQueriedPeers, after) > 0 {
		w.peerQueryPending = false
	}
}

// advance sets the position up to which all changes are known.
func (w *stateWatcher) advance(now time.Time, to catalog.Position) {
	w.complete = to
	w.completeCopy.Store(&to)
	isOld := func(p timedPosition) bool { return p.Era != to.Era || now.Sub(p.at) > 2*w.minWatchInterval() }
	w.recent = append(slices.DeleteFunc(w.recent, isOld), timedPosition{Position: to, at: now})
}

// shareRead sends other entries what the store answered, with the changes of the last
// two intervals, or of as much of that time as a broadcast holds, so that an entry which
// missed a broadcast can use the next one.
func (w *stateWatcher) shareRead() {
	for _, since := range w.recent[:len(w.recent)-1] {
		if !w.hasAllAfter(since.Position) {
			continue
		}
		items, size := w.collectItems(since.Position), 0
		for _, i := range items {
			size += len(i.Key) + len(i.Value)
		}
		if size <= maxBroadcastBytes {
			w.broadcast(peers.State{Items: items, Complete: w.complete, Since: since.Position, Age: w.age(), HasUnreadable: true})
			return
		}
	}
}

// confirm records that complete was the position of the store at a time. A position
// before the known one confirms nothing: the clock of its sender may have stood still.
func (w *stateWatcher) confirm(complete catalog.Position, at time.Duration) {
	if w.complete.After(complete) {
		return
	}
	w.toConfirm = max(w.toConfirm, at)
	if at > time.Duration(w.confirmedAt.Load()) {
		w.confirmedAt.Store(int64(at))
	}
}

// collectItems returns the known items that changed after a position, and the
// configuration and adapter versions that the copy lacked from which the store was
// restored.
func (w *stateWatcher) collectItems(after catalog.Position) []wire.Item {
	var items []wire.Item
	for _, e := range w.items {
		carriedOver := e.Era < w.complete.Era && !platform.IsTarget(e.Key)
		if carriedOver || e.Position().After(after) {
			items = append(items, wireItem(e))
		}
	}
	return items
}

func wireItem(e platform.StoreItem) wire.Item {
	return wire.Item{Key: e.Key, Era: e.Era, Revision: e.Revision, Removed: e.Removed, Value: e.Value}
}

// applyUpdate applies an update and publishes the view if it has changed.
func (w *stateWatcher) applyUpdate(u update) {
	now := time.Now()
	if u.since.Revision > 0 && (u.since.Era != w.complete.Era || u.since.After(w.complete)) {
		// Changes before these are missing.
		u.complete, u.confirmedAt = catalog.Position{}, 0
	}
	w.observeStore(now, u)
	previous := w.catalog.View()
	newEra := u.complete.Era > w.complete.Era
	if newEra && u.fullList {
		w.beginEra(now, u.complete)
	}
	missed := u.fullList && w.complete.Revision > 0
	var registered []*catalog.Target
	w.beginItems()
	for _, e := range u.items {
		missed = missed || w.isUnseenRemoval(e)
		if u.fromPeer && w.mayBeForgotten(e) {
			continue
		}
		if t := w.applyItem(now, e, u.source()); t != nil && !t.Draining {
			registered = append(registered, t)
		}
	}
	missed = missed || w.kept.refusedTarget
	w.endItems(u)
	if newEra && !u.fullList {
		w.beginEra(now, u.complete)
		w.applyRemovals(now, w.catalog.RemovalsForEra(u.complete), "era")
	}
	w.confirm(u.complete, u.confirmedAt)
	if u.applied != nil && u.complete.Era == w.complete.Era {
		// A view that is ahead of the read holds what it has returned.
		w.toConfirm = max(w.toConfirm, u.confirmedAt)
	}
	if u.complete.After(w.complete) {
		w.advance(now, u.complete)
	}
	if u.fullList {
		w.applyRemovals(now, w.unlisted(u), "list")
	}
	if !u.fromPeer && len(w.recent) > 0 {
		// Last, because the broadcast says how old the published view is.
		defer w.shareRead()
	}
	view := w.catalog.View()
	defer w.confirmTrust(u)
	defer w.confirmView(view, registered, missed)
	if view == previous {
		return
	}
	w.reportConfig(view, previous, u.fromPeer)
	w.publish(view)
}

// beginEra records the first complete state of a newer era.
func (w *stateWatcher) beginEra(now time.Time, at catalog.Position) {
	w.era.Store(at.Era)
	w.catalog.BeginEra(now, at)
	w.peerQueryPending = true
	if w.complete.Revision == 0 {
		return
	}
	w.eraBeganAt.Store(int64(time.Since(w.started)))
	w.trust.Restored(boottime.Now(), catalog.ReregistrationGrace)
	w.metrics.Count("store_eras_changed")
	w.log.With("era", at.Era).With("revision", at.Revision).With("previous_era", w.complete.Era).With("previous_revision", w.complete.Revision).
		Warn("the store was restored from a copy")
}

// applyItem applies one item. An item that cannot be decoded removes the target
// that its key described before. It returns the target that the item describes, if any.
func (w *stateWatcher) applyItem(now time.Time, e platform.StoreItem, source string) *catalog.Target {
	item, err := platform.Decode(e)
	if err != nil {
		w.metrics.Count("published_items_malformed")
	}
	admission := w.catalog.Admit(item, len(e.Value))
	if admission != catalog.Admitted {
		w.itemNotKept(e)
	}
	if admission == catalog.Refused {
		return nil
	}
	if w.malformed.changed(e.Key, err != nil) && err != nil {
		w.log.With("key", e.Key).With("era", e.Era).With("revision", e.Revision).Error(err, "an item cannot be read")
	}
	w.recordStoredConfig(item)
	listed, before := w.catalog.HasTarget(e.Key), w.catalog.Position(e.Key)
	changed := w.catalog.Apply(now, item)
	if e.Removed && listed && w.catalog.Position(e.Key) != before {
		w.logRemoval(now, e.Key, source)
	}
	// An unchanged registration is kept only where it is the first of its key in an
	// era, so that other entries do not get every heartbeat of the targets. A removal
	// is kept also if it is deferred: other entries must not miss it.
	accepted := w.catalog.Position(e.Key) == e.Position()
	switch keeps := changed || accepted && (e.Removed || w.items[e.Key].Era < e.Era); {
	case keeps && platform.IsConfig(e.Key):
		w.keepConfig(e, item, admission)
	case keeps:
		w.keep(e, admission)
	}
	// A draining target must get no new requests.
	if changed && item.Target != nil && item.Target.Draining {
		w.log.With("target", item.Target.ID).With("era", e.Era).With("revision", e.Revision).With("source", source).With("view_age_ms", w.age().Milliseconds()).Info("target is leaving")
	}
	return item.Target
}

// followStore lists the store and watches it until ctx ends.
func (w *stateWatcher) followStore(ctx context.Context) {
	backoff := minBackoff
	lost := false
	position := catalog.Position{}
	historyRead := false
	for ctx.Err() == nil {
		w.listAgain(ctx, &position)
		began, asked := time.Now(), boottime.Now()
		u, err := w.read(ctx, &position)
		switch {
		case errors.Is(err, platform.ErrCompacted), errors.Is(err, platform.ErrEraChanged):
			w.log.With("era", position.Era).With("revision", position.Revision).With("reason", err).Info("the store cannot continue from this revision; listing the whole state")
			if position.Revision == 0 {
				// The era changed between two pages of a list.
				sleep(ctx, listBackoff)
			}
			position = catalog.Position{}
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			w.metrics.Count("store_failures")
			if !lost {
				w.log.With("list", position.Revision == 0).With("revision", position.Revision).With("ms", time.Since(began).Milliseconds()).Error(err, "the store does not answer")
				lost = true
				w.log.Warn("store lost")
			}
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			if position.Revision == 0 {
				backoff = listBackoff
			} else {
				// Other entries may still reach the store.
				position = w.awaitNextRead(ctx, position)
			}
			continue
		}
		if lost {
			w.log.With("view_age_ms", w.age().Milliseconds()).Info("store reached")
		}
		lost, backoff = false, minBackoff
		u.asked = asked
		u.confirmedAt = began.Sub(w.started)
		w.confirmedAt.Store(int64(u.confirmedAt))
		w.updates <- u
		if u.fullList && !historyRead {
			historyRead = true
			w.readHistory(ctx, u)
		}
		position = w.awaitNextRead(ctx, position)
	}
}

// awaitNextRead waits until it is this entry's turn to read the store. It returns the
// position to continue from, which other entries may have advanced.
func (w *stateWatcher) awaitNextRead(ctx context.Context, position catalog.Position) catalog.Position {
	for confirmed := int64(-1); confirmed != w.confirmedAt.Load() && ctx.Err() == nil; {
		confirmed = w.confirmedAt.Load()
		share := 1.0
		if w.entries() > 1 {
			share = minReadAge + (1-minReadAge)*math.Pow(rand.Float64(), readAgeExponent)
		}
		sleep(ctx, time.Duration(share*float64(w.minWatchInterval()))-w.age())
	}
	if p := w.completeCopy.Load(); p != nil && p.Era == position.Era && p.After(position) {
		return *p
	}
	return position
}

// minWatchInterval returns the shortest time between the starts of two watches.
func (w *stateWatcher) minWatchInterval() time.Duration {
	b := w.bounds.Load()
	return min(b.DrainTimeout, b.ConfigApplyTimeout) / watchIntervalDivisor
}

// read lists the whole store if the revision of *position is 0, and otherwise waits
// for the changes after *position. It sets *position to the one to continue from. An
// answer of an era that was replaced is an error: it is late, or comes from a part of
// the store that was not restored. So is one of before a position that was known when the
// question was sent.
func (w *stateWatcher) read(ctx context.Context, position *catalog.Position) (update, error) {
	u := update{fullList: position.Revision == 0}
	known := w.completeCopy.Load()
	var err error
	if u.fullList {
		u.items, u.complete, err = w.store.List(ctx, "")
	} else {
		u.items, u.complete, err = w.store.Watch(ctx, "", *position, w.watchWait())
	}
	if err != nil {
		return update{}, err
	}
	if era := w.era.Load(); u.complete.Era < era {
		w.metrics.Count("store_answers_outdated")
		return update{}, result.Newf(result.PlatformUnreached, "the store answered with era %d, the newest known one is %d", u.complete.Era, era)
	}
	if known != nil && known.Era > 0 && known.Era == u.complete.Era && known.After(u.complete) {
		w.metrics.Count("store_answers_outdated")
		return update{}, result.Newf(result.PlatformUnreached, "the store answered with revision %d, the newest known one is %d", u.complete.Revision, known.Revision)
	}
	*position = u.complete
	return u, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
