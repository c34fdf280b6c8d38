package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// verdict is a Verdict with the state of the trial that this entry makes.
type verdict struct {
	Verdict
	// trialAt is when the trial was sent whose outcome is awaited. trialSends counts the
	// trials like Trials, and those without an outcome.
	trialAt    time.Time
	trialSends int
}

// trialDue reports whether a request may be sent to find out whether the part still
// crashes engines.
func (v *verdict) trialDue(now time.Time, r rules) bool {
	return v.Trials < r.maxTrials && v.trialSends < r.maxTrialSends &&
		now.Sub(v.Since) >= r.trialDelay(v.Trials) &&
		(v.trialAt.IsZero() || now.Sub(v.trialAt) >= trialTimeout)
}

// conclude quarantines a part. Trials of an earlier quarantine count on, because the
// number of requests that may reach engines is bounded for good.
func (q *Quarantine) conclude(now time.Time, c candidate) Verdict {
	v := q.verdicts[c.part]
	if v == nil {
		v = &verdict{Verdict: Verdict{Part: Part(strings.Clone(string(c.part)))}}
		q.verdicts[v.Part] = v
	}
	v.Crashes, v.LastAskedAt = c.crashes, now
	v.Trials = max(v.Trials, c.trialsLeftOut)
	v.trialSends = max(v.trialSends, v.Trials)
	q.advance(now, v, true)
	return v.Verdict
}

// advance begins the next generation of a verdict.
func (q *Quarantine) advance(now time.Time, v *verdict, quarantined bool) {
	v.Generation++
	v.Quarantined, v.Since, v.Entry, v.trialAt = quarantined, now, q.cfg.Entry, time.Time{}
}

// endTrials extends the quarantine of parts whose trial crashed an engine.
func (q *Quarantine) endTrials(now time.Time, c Crash) (changed []Verdict) {
	for _, s := range c.Suspects {
		for _, p := range s.shared() {
			v := q.verdicts[p]
			if v == nil || !v.Quarantined || v.trialAt.IsZero() || s.SentAt.Before(v.trialAt) {
				continue
			}
			v.Trials++
			v.Crashes++
			q.advance(now, v, true)
			changed = append(changed, v.Verdict)
		}
	}
	return changed
}

// release ends the quarantine of a part whose trial an engine began to answer.
func (q *Quarantine) release(now, at time.Time, p Part) []Verdict {
	v := q.verdicts[p]
	if v == nil || !v.Quarantined || v.trialAt.IsZero() || at.Before(v.trialAt) {
		return nil
	}
	q.advance(now, v, false)
	q.limitReleased()
	q.refresh()
	return []Verdict{v.Verdict}
}

// Merge adopts verdicts of other entries and returns those that are new here.
func (q *Quarantine) Merge(now time.Time, list []Verdict) []Verdict {
	var changed []Verdict
	for _, n := range list {
		if n.LastAskedAt.IsZero() || n.LastAskedAt.After(now) {
			n.LastAskedAt = now
		}
		if !validPart(n.Part) || now.Sub(n.LastAskedAt) >= q.rules.forgetTime {
			continue
		}
		if n.Since.After(now) {
			n.Since = now
		}
		n.Trials = min(max(n.Trials, 0), q.rules.maxTrials)
		if q.adopt(n) {
			changed = append(changed, n)
			if !n.Quarantined {
				// It was released because it was answered then.
				q.begun(now, n.Since, n.Part)
			}
		}
	}
	if len(changed) > 0 {
		q.limitReleased()
		q.refresh()
	}
	return append(changed, q.Tick(now)...)
}

// adopt replaces a verdict by one of another entry if that one is newer. Of two
// verdicts of one generation, the quarantine holds.
func (q *Quarantine) adopt(n Verdict) bool {
	v := q.verdicts[n.Part]
	if v != nil {
		if n.LastAskedAt.After(v.LastAskedAt) {
			v.LastAskedAt = n.LastAskedAt
		}
		if n.Generation < v.Generation || n.Generation == v.Generation && (v.Quarantined || !n.Quarantined) {
			return false
		}
		n.LastAskedAt = v.LastAskedAt
	}
	if n.Quarantined && !q.quarantined(n.Part) && q.countVerdicts(true) >= q.rules.maxQuarantined {
		return false
	}
	n.Part = Part(strings.Clone(string(n.Part)))
	n.Entry = strings.Clone(n.Entry[:min(len(n.Entry), maxNameBytes)])
	if v == nil {
		v = &verdict{}
		q.verdicts[n.Part] = v
	}
	v.Verdict, v.trialAt, v.trialSends = n, time.Time{}, max(v.trialSends, n.Trials)
	return true
}

// Verdicts returns all verdicts in order of part, for other entries and for status
// pages.
func (q *Quarantine) Verdicts() []Verdict {
	list := make([]Verdict, 0, len(q.verdicts))
	for _, v := range q.verdicts {
		list = append(list, v.Verdict)
	}
	slices.SortFunc(list, func(x, y Verdict) int { return cmp.Compare(x.Part, y.Part) })
	return list
}

func (q *Quarantine) quarantined(p Part) bool {
	v := q.verdicts[p]
	return v != nil && v.Quarantined
}

func (q *Quarantine) countVerdicts(quarantined bool) (n int) {
	for _, v := range q.verdicts {
		if v.Quarantined == quarantined {
			n++
		}
	}
	return n
}

// forget deletes the verdicts on parts that no request has asked for in a long time.
func (q *Quarantine) forget(now time.Time) {
	if now.Sub(q.forgottenAt) < time.Minute {
		return
	}
	q.forgottenAt = now
	forgotten := false
	for p, v := range q.verdicts {
		if now.Sub(v.LastAskedAt) >= q.rules.forgetTime {
			forgotten = true
			delete(q.verdicts, p)
		}
	}
	if forgotten {
		q.refresh()
	}
}

// limitReleased deletes the oldest releases beyond their bound.
func (q *Quarantine) limitReleased() {
	for q.countVerdicts(false) > maxReleased {
		var oldest *verdict
		for _, v := range q.verdicts {
			if !v.Quarantined && (oldest == nil || v.Since.Before(oldest.Since)) {
				oldest = v
			}
		}
		delete(q.verdicts, oldest.Part)
	}
}
