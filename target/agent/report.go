package agent

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// minReportInterval is the shortest time between two reports of the load to
	// the entries.
	minReportInterval = 60 * time.Millisecond
	// minReportIntervalPerEntry times the number of entries is the shortest time
	// if that is longer, because each report goes to every entry. A report with
	// changed lists of adapters waits for minReportInterval only.
	minReportIntervalPerEntry = 8 * time.Millisecond
	// unchangedReportInterval is the time between two reports while the load
	// does not change.
	unchangedReportInterval = 300 * time.Millisecond
	// In a fleet of more than manyEntries, the reports to entries of other failure domains,
	// which use this engine less, have distantFactor times these intervals, because they are a
	// large part of the bytes between failure domains. A report that shows that the process is
	// alive must come before an entry takes it for silent.
	manyEntries              = 16
	distantFactor            = 2
	distantUnchangedInterval = 450 * time.Millisecond
	// wholeListsInterval is how often entries get the whole adapter lists instead of their
	// changes. An entry adds to its copy what it concludes from answers, which may be wrong.
	wholeListsInterval = 20 * time.Second
)

// audience is a group of entries that get the same reports.
type audience struct {
	sentAt time.Time
	last   wire.EngineReport
	// listsVersion is that of the adapter lists that were sent, and wholeListsAt when they
	// were sent as a whole.
	listsVersion int
	lists        engineagent.ReportedLists
	wholeListsAt time.Time
}

// reports tells what the entries have been sent.
type reports struct {
	failureDomain string
	// near gets the reports to entries of this failure domain, distant the others.
	near, distant audience
	audienceOf    map[engineagent.SessionID]*audience
	// takesChanges holds the sessions whose entries take changes of the adapter lists.
	takesChanges map[engineagent.SessionID]bool
	// held and cached are the newest adapter lists, and listsVersion counts them.
	held, cached []string
	listsVersion int
	// prefixes are the changes of the held prompt prefixes in the present report.
	prefixes []byte
}

// takesPrefixes reports whether an audience gets the held prompt prefixes. In a large fleet
// an engine of another failure domain is not chosen for the few milliseconds that a held
// prefix saves.
func (r *reports) takesPrefixes(a *audience) bool {
	return a == &r.near || len(r.audienceOf) <= manyEntries
}

// prefixEntries returns the number of entries that get the held prompt prefixes.
func (r *reports) prefixEntries() int {
	n := 0
	for _, a := range r.audienceOf {
		if r.takesPrefixes(a) {
			n++
		}
	}
	return n
}

func newReports(failureDomain string) *reports {
	return &reports{failureDomain: failureDomain, audienceOf: make(map[engineagent.SessionID]*audience), takesChanges: make(map[engineagent.SessionID]bool)}
}

func (r *reports) add(id engineagent.SessionID, failureDomain string) {
	r.audienceOf[id] = &r.distant
	if failureDomain == r.failureDomain {
		r.audienceOf[id] = &r.near
	}
}

func (r *reports) remove(id engineagent.SessionID) {
	delete(r.audienceOf, id)
	delete(r.takesChanges, id)
}

// update keeps the adapter lists of a report that has them.
func (r *reports) update(report *wire.EngineReport) {
	if report.HasAdapterLists {
		r.held, r.cached = report.Held, report.Cached
		r.listsVersion++
	}
	r.prefixes = report.HeldPrefixes
}

// next returns the report that an audience gets now, for entries that take changes of the
// adapter lists and for the others, or nil if none is due. An unchanged load is sent after
// unchangedReportInterval, which shows that the process is alive.
func (r *reports) next(now time.Time, a *audience, load *wire.EngineReport) (withChanges, withLists *wire.EngineReport) {
	factor, unchangedInterval := time.Duration(1), unchangedReportInterval
	if a == &r.distant && len(r.audienceOf) > manyEntries {
		factor, unchangedInterval = distantFactor, distantUnchangedInterval
	}
	elapsed, listsChanged, urgent := now.Sub(a.sentAt), a.listsVersion != r.listsVersion, isUrgent(load, &a.last)
	// Changes of the prefixes are made for the present report only.
	prefixes := len(r.prefixes) > 0 && r.takesPrefixes(a)
	interval := factor * max(minReportInterval, minReportIntervalPerEntry*time.Duration(len(r.audienceOf)))
	if urgent || listsChanged && factor == 1 {
		interval = minReportInterval
	}
	if !prefixes && (elapsed < interval || !urgent && !listsChanged && isUnchanged(load, &a.last) && elapsed < unchangedInterval) {
		return nil, nil
	}
	a.sentAt, a.last = now, *load
	changed, whole := *load, *load
	changed.Held, changed.Cached, changed.HasAdapterLists = nil, nil, false
	whole.Held, whole.Cached, whole.HasAdapterLists = nil, nil, false
	if !prefixes {
		changed.HeldPrefixes, changed.Entries, whole.HeldPrefixes, whole.Entries = nil, 0, nil, 0
	}
	if listsChanged {
		a.listsVersion = r.listsVersion
		changed.Changes = a.lists.Next(r.held, r.cached)
		whole.Held, whole.Cached, whole.HasAdapterLists = r.held, r.cached, true
	}
	if listsChanged && now.Sub(a.wholeListsAt) > wholeListsInterval {
		a.wholeListsAt = now
		return &whole, &whole
	}
	return &changed, &whole
}

// isUrgent reports whether entries must learn at once what a report says beyond the last.
func isUrgent(r, last *wire.EngineReport) bool {
	return r.Leaving != last.Leaving || r.EngineLeaving != last.EngineLeaving || r.NotReady != last.NotReady || perSecond(r) != perSecond(last)
}

func isUnchanged(r, last *wire.EngineReport) bool {
	return r.Running == last.Running && r.Waiting == last.Waiting && r.Backlog == last.Backlog && r.Slow == last.Slow
}

// perSecond returns the rate in a report, 0 if there is none.
func perSecond(r *wire.EngineReport) float64 {
	if r.RateLimit == nil {
		return 0
	}
	return r.RateLimit.PerSecond
}

// report sends the load and the adapter lists to the entries as far as they are due.
func (c *core) report(ctx actor.Context, now time.Time) {
	if now.Sub(c.reports.near.sentAt) < minReportInterval && now.Sub(c.reports.distant.sentAt) < minReportInterval {
		return
	}
	load := c.stateMachine.Report(now, false)
	c.reports.update(load)
	for _, a := range []*audience{&c.reports.near, &c.reports.distant} {
		if withChanges, withLists := c.reports.next(now, a, load); withChanges != nil {
			c.sendReport(ctx, a, withChanges, withLists)
		}
	}
}

// sendLists sends the adapter lists to all entries that lack changes, so that the changes
// which a new session gets follow the lists that it has got at its begin.
func (c *core) sendLists(ctx actor.Context, now time.Time) {
	load := c.stateMachine.Report(now, false)
	c.reports.update(load)
	for _, a := range []*audience{&c.reports.near, &c.reports.distant} {
		if a.listsVersion != c.reports.listsVersion || len(c.reports.prefixes) > 0 {
			a.sentAt = time.Time{}
			withChanges, withLists := c.reports.next(now, a, load)
			c.sendReport(ctx, a, withChanges, withLists)
		}
	}
}

func (c *core) sendReport(ctx actor.Context, a *audience, withChanges, withLists *wire.EngineReport) {
	for id, writer := range c.writers {
		switch {
		case c.reports.audienceOf[id] != a:
		case c.reports.takesChanges[id]:
			ctx.Send(writer, withChanges)
		default:
			ctx.Send(writer, withLists)
		}
	}
}
