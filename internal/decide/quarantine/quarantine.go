package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Quarantine holds the evidence and the verdicts of one entry.
type Quarantine struct {
	cfg      Config
	rules    rules
	evidence evidence
	verdicts map[Part]*verdict
	// suspected holds the parts in unexplained crashes.
	suspected map[Part]suspicion
	// untoldFurther holds the begins of further parts that other entries have to hear of.
	untoldFurther map[Part]time.Time
	// evaluateAt is when evidence that is not evaluated yet has settled; zero if
	// there is none.
	evaluateAt time.Time
	// forgottenAt is when forget last ran.
	forgottenAt time.Time
	// under and hits are the crashes under each request and its hits, as of hitsAt. It is
	// zero if the records have changed since.
	under, hits map[Part][]*Crash
	hitsAt      time.Time
}

// suspicion is what unexplained crashes hold against a part that is not quarantined.
type suspicion struct {
	// crashedAt is the time of the last of them.
	crashedAt time.Time
	// leading is true if the part is among the first ones of a prompt, and shared if it is in
	// more than one crash, of which record is the last.
	leading, shared bool
	record          *Crash
}

// New returns a Quarantine without evidence and verdicts.
func New(cfg Config) *Quarantine {
	if cfg.OwnsTrial == nil {
		cfg.OwnsTrial = func(Part) bool { return true }
	}
	r := rulesOf[cfg.Kind]
	q := &Quarantine{
		cfg: cfg, rules: r, verdicts: make(map[Part]*verdict), suspected: make(map[Part]suspicion), untoldFurther: make(map[Part]time.Time),
		evidence: evidence{rules: r, begins: begins{ttl: r.evidenceTTL, newer: make(map[Part]begin)}},
	}
	q.evidence.keep = q.quarantined
	return q
}

// RecordCrash merges a crash record of this or another entry and returns new
// verdicts. A verdict on the record itself follows from Tick, after settleTime.
func (q *Quarantine) RecordCrash(now time.Time, c Crash) []Verdict {
	changed := q.endTrials(now, c)
	if q.evidence.addCrash(now, c) {
		q.refresh()
		changed = append(changed, q.mergeRunsOf(now, c.Incarnation)...)
	}
	return append(changed, q.Tick(now)...)
}

// RecordBegan records that an engine began to answer a request of this entry with
// these parts at a time. It returns those parts that are suspected at present, which
// other entries should hear of, and new verdicts (a release after a trial).
func (q *Quarantine) RecordBegan(now, at time.Time, parts []Part) (suspected []Part, changed []Verdict) {
	for i, p := range sharedParts(parts) {
		// Long prompts must not drive out the begins of others.
		if !validPart(p) || i >= LeadingParts && !q.concerns(p) {
			continue
		}
		changed = append(changed, q.release(now, at, p)...)
		if x := q.begun(now, at, p); q.untold(p, x) {
			q.setBegin(now, p, begin{at: x.at, toldAt: x.at})
			if q.IsFurther(p) {
				q.untoldFurther[p] = x.at
				continue
			}
			suspected = append(suspected, p)
		}
	}
	return suspected, append(changed, q.Tick(now)...)
}

// concerns reports whether there is evidence against a part, or a verdict on it.
func (q *Quarantine) concerns(p Part) bool {
	_, suspected := q.suspected[p]
	return suspected || q.verdicts[p] != nil
}

// TakeDropped returns how many further parts were dropped for their bound since the last call.
func (q *Quarantine) TakeDropped() int {
	n := q.evidence.dropped
	q.evidence.dropped = 0
	return n
}

// IsFurther reports whether records hold a part only behind the leading ones.
func (q *Quarantine) IsFurther(p Part) bool {
	s, ok := q.suspected[p]
	return ok && !s.leading
}

// IsShared reports whether more than one unexplained crash holds a part.
func (q *Quarantine) IsShared(p Part) bool { return q.suspected[p].shared }

// Begins returns the last begins of suspected parts, for an entry that has connected.
// It should merge them before the crash records.
func (q *Quarantine) Begins() []Begin {
	var list []Begin
	for _, p := range slices.Sorted(maps.Keys(q.suspected)) {
		if x := q.evidence.begins.get(p); !x.at.IsZero() && !q.IsFurther(p) {
			list = append(list, Begin{Part: p, At: x.at})
		}
	}
	return list
}

// TakeBegins returns the begins at this entry that preceded the arrival of a crash
// record and show that a part in it is sound. Other entries should hear of each once.
func (q *Quarantine) TakeBegins(now time.Time) []Begin {
	var list []Begin
	for _, p := range slices.Sorted(maps.Keys(q.suspected)) {
		if x := q.evidence.begins.get(p); q.untold(p, x) {
			q.setBegin(now, p, begin{at: x.at, toldAt: x.at})
			if q.IsFurther(p) {
				q.untoldFurther[p] = x.at
				continue
			}
			list = append(list, Begin{Part: p, At: x.at})
		}
	}
	return list
}

// MergeBegins records begins that another entry has told to all entries, and
// returns new verdicts.
func (q *Quarantine) MergeBegins(now time.Time, list []Begin) []Verdict {
	var changed []Verdict
	for _, b := range list {
		if !validPart(b.Part) {
			continue
		}
		changed = append(changed, q.mergeBegin(now, b.At.Add(-maxTransit), b.Part)...)
	}
	return append(changed, q.Tick(now)...)
}

// mergeBegin records a begin that all entries know of.
func (q *Quarantine) mergeBegin(now, at time.Time, p Part) []Verdict {
	changed := q.release(now, at, p)
	if x := q.begun(now, at, p); at.After(x.toldAt) {
		q.setBegin(now, p, begin{at: x.at, toldAt: at})
	}
	return changed
}

// begun records a begin of a part and returns the last one.
func (q *Quarantine) begun(now, at time.Time, p Part) begin {
	x := q.evidence.begins.get(p)
	if at.After(now) {
		at = now
	}
	if at.After(x.at) && now.Sub(at) < q.rules.evidenceTTL {
		if s, ok := q.suspected[p]; ok && at.After(s.crashedAt) && !x.at.After(s.crashedAt) && q.evaluateAt.IsZero() {
			// The part explains no crash any more, so that another one may be the cause.
			q.evaluateAt = now.Add(settleTime)
		}
		x.at = at
		q.setBegin(now, p, x)
	}
	return x
}

func (q *Quarantine) setBegin(now time.Time, p Part, x begin) {
	q.evidence.begins.put(now, p, x, func(p Part) bool { _, ok := q.suspected[p]; return ok })
}

// untold reports whether other entries may suspect a part because they have not
// heard of its last begin.
func (q *Quarantine) untold(p Part, x begin) bool {
	s, ok := q.suspected[p]
	return ok && x.at.After(x.toldAt) && s.crashedAt.After(x.toldAt)
}

// Check returns the quarantined part of a request, if it has one, and whether the
// request is to be refused because of it. A part with blocked = false means that
// this request is the trial of the part: it has to be sent, once, and its outcome
// recorded.
func (q *Quarantine) Check(now time.Time, parts []Part) (part Part, blocked bool) {
	var trial *verdict
	for _, p := range sharedParts(parts) {
		v := q.verdicts[p]
		if v == nil || !v.Quarantined {
			continue
		}
		v.LastAskedAt = now
		// A request with two quarantined parts would not show which one crashes.
		if trial != nil && trial != v || !v.trialDue(now, q.rules) || !q.cfg.OwnsTrial(p) {
			return p, true
		}
		trial = v
	}
	if trial == nil {
		return "", false
	}
	trial.trialAt = now
	trial.trialSends++
	return trial.Part, false
}

// Tick evaluates evidence that has settled, deletes what is out of date and returns
// new verdicts. Calls every 100 ms keep a verdict from waiting for the next event.
func (q *Quarantine) Tick(now time.Time) []Verdict {
	if q.evidence.expire(now) {
		q.refresh()
	}
	q.forget(now)
	if q.evaluateAt.IsZero() || now.Before(q.evaluateAt) {
		return nil
	}
	return q.evaluate(now)
}

// refresh brings what is derived from the records up to date.
func (q *Quarantine) refresh() {
	q.under, q.hits, q.hitsAt = nil, nil, time.Time{}
	clear(q.suspected)
	for _, r := range q.unexplained() {
		for i := range r.Suspects {
			for at, p := range r.Suspects[i].shared() {
				s := q.suspected[p]
				q.suspected[p] = suspicion{
					crashedAt: r.At, leading: s.leading || at < LeadingParts, shared: s.shared || s.record != nil && s.record != r, record: r,
				}
			}
		}
	}
	if q.evaluateAt.IsZero() && len(q.evidence.records) > 0 {
		q.evaluateAt = q.evidence.records[0].At.Add(settleTime)
	}
}

// unexplained returns the records in which no suspect holds a quarantined part.
func (q *Quarantine) unexplained() []*Crash {
	return slices.DeleteFunc(slices.Clone(q.evidence.records), q.explains)
}

// explains reports whether a suspect of a record holds a quarantined part.
func (q *Quarantine) explains(r *Crash) bool {
	return slices.ContainsFunc(r.Suspects, func(s Suspect) bool {
		return slices.ContainsFunc(sharedParts(s.Parts), q.quarantined) ||
			slices.ContainsFunc(s.Further, func(f FurtherPart) bool { return q.quarantined(f.Part) })
	})
}

// evaluate quarantines one part after the other until the remaining crashes
// suffice for none.
func (q *Quarantine) evaluate(now time.Time) []Verdict {
	var changed []Verdict
	for {
		records := q.unexplained()
		settled := slices.IndexFunc(records, func(r *Crash) bool { return now.Sub(r.At) < settleTime })
		q.evaluateAt = time.Time{}
		if settled >= 0 {
			q.evaluateAt = records[settled].At.Add(settleTime)
			records = records[:settled]
		}
		if len(records) == 0 || q.countVerdicts(true) >= q.rules.maxQuarantined {
			return changed
		}
		begunAt := func(p Part) time.Time { return q.evidence.begins.get(p).at }
		all := q.settled(now)
		condensed := condense(all, begunAt, q.quarantined)
		records, all = condensed(records), condensed(all)
		var c candidate
		ok := false
		if len(records) >= minHits {
			c, ok = q.rules.find(records, begunAt)
		}
		if !ok && q.cfg.Kind == SharedParts {
			c, ok = coveringPart(all, records, begunAt, q.quarantined)
		}
		if !ok {
			return changed
		}
		changed = append(changed, q.conclude(now, c))
		q.refresh()
	}
}

// settled returns the records for which the evidence of all entries has arrived.
func (q *Quarantine) settled(now time.Time) []*Crash {
	i := slices.IndexFunc(q.evidence.records, func(r *Crash) bool { return now.Sub(r.At) < settleTime })
	if i < 0 {
		return q.evidence.records
	}
	return q.evidence.records[:i]
}

// Suspected reports whether a crash counts against a part.
func (q *Quarantine) Suspected(p Part) bool {
	s, ok := q.suspected[p]
	return ok && s.crashedAt.After(q.evidence.begins.get(p).at)
}

// Explained returns the incarnations whose crash is due to what is quarantined.
func (q *Quarantine) Explained() []Incarnation {
	var list []Incarnation
	for _, r := range q.evidence.records {
		if q.explains(r) {
			list = append(list, r.Incarnation)
		}
	}
	return list
}

// Discard deletes the crash records of incarnations, because something else than what this
// Quarantine looks for is their cause.
func (q *Quarantine) Discard(incarnations []Incarnation) {
	before := len(q.evidence.records)
	q.evidence.records = slices.DeleteFunc(q.evidence.records, func(r *Crash) bool { return slices.Contains(incarnations, r.Incarnation) })
	if len(q.evidence.records) < before {
		q.refresh()
	}
}

// SuspectedCount returns the number of parts that crash records hold.
func (q *Quarantine) SuspectedCount() int { return len(q.suspected) }

// Crashes returns the crash records in order of time, for other entries and for
// status pages.
func (q *Quarantine) Crashes(now time.Time) []Crash {
	if q.evidence.expire(now) {
		q.refresh()
	}
	list := make([]Crash, 0, len(q.evidence.records))
	for _, r := range q.evidence.records {
		c := *r
		c.Suspects = slices.Clone(r.Suspects)
		list = append(list, c)
	}
	return list
}
