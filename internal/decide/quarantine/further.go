package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// FormatFurther returns the text by which entries exchange further parts: runs of adjacent
// parts, each the first position, a colon and the IDs separated by commas, separated by
// semicolons.
func FormatFurther(list []FurtherPart) string {
	var b strings.Builder
	for i, f := range list {
		switch {
		case i > 0 && f.Position == list[i-1].Position+1:
			b.WriteByte(',')
		case i > 0:
			b.WriteByte(';')
			fallthrough
		default:
			b.WriteString(strconv.Itoa(f.Position))
			b.WriteByte(':')
		}
		b.WriteString(string(f.Part))
	}
	return b.String()
}

// ParseFurther returns the parts in a text of FormatFurther. It leaves out what is malformed.
func ParseFurther(text string) (list []FurtherPart) {
	for run := range strings.SplitSeq(text, ";") {
		first, ids, ok := strings.Cut(run, ":")
		position, err := strconv.Atoi(first)
		if !ok || err != nil || position < LeadingParts || position >= maxPosition {
			continue
		}
		for id := range strings.SplitSeq(ids, ",") {
			if p := Part(id); validPart(p) {
				list = append(list, FurtherPart{Position: position, Part: p})
			}
			position++
		}
	}
	return list
}

// Exchanged returns a record as other entries get it, without further parts. A suspect that holds a
// quarantined one is named by that part alone: its first parts are sound, and an entry that lacks
// the further parts, or takes none, would suspect them.
func (q *Quarantine) Exchanged(c Crash) Crash {
	suspects := make([]Suspect, 0, len(c.Suspects))
	for _, s := range c.Suspects {
		named := s.Leading()
		for _, f := range furtherParts(s) {
			if q.quarantined(f.Part) {
				named.Parts = []Part{f.Part, named.Parts[len(named.Parts)-1]}
				break
			}
		}
		suspects = append(suspects, named)
	}
	c.Suspects = suspects
	return c
}

// ExplainedBy returns the records that a quarantined further part explains, as other entries get
// them.
func (q *Quarantine) ExplainedBy(p Part) (list []Crash) {
	for _, r := range q.evidence.records {
		holds := func(s Suspect) bool {
			return slices.ContainsFunc(s.Further, func(f FurtherPart) bool { return f.Part == p })
		}
		if q.quarantined(p) && slices.ContainsFunc(r.Suspects, holds) {
			list = append(list, q.Exchanged(*r))
		}
	}
	return list
}

// Leading returns the suspect without its further parts.
func (s Suspect) Leading() Suspect {
	return Suspect{Parts: boundedParts(s.Parts), SentAt: s.SentAt}
}

// AllFurther returns the further parts of the suspect, in order of position.
func (s Suspect) AllFurther() []FurtherPart { return furtherParts(s) }

// Begins of further parts are exchanged as positions in a suspect: prompts that share a thousand
// parts would fill the messages with their IDs.

// mergedRun is what another entry has said of begins of further parts: of those with positions
// from first to last, at a time.
type mergedRun struct {
	first, last int
	at          time.Time
}

// TakeRuns returns the begins of further parts that other entries have to hear of. They name
// suspects of crashes before the begin.
func (q *Quarantine) TakeRuns() []BegunRuns {
	if len(q.untoldFurther) == 0 {
		return nil
	}
	list := q.runsOf(q.untoldFurther)
	clear(q.untoldFurther)
	return list
}

// Runs returns the last begins of further parts that are suspected, for an entry that has
// connected.
func (q *Quarantine) Runs() []BegunRuns {
	begun := make(map[Part]time.Time)
	for p, s := range q.suspected {
		if x := q.evidence.begins.get(p); !s.leading && !x.at.IsZero() {
			begun[p] = x.at
		}
	}
	return q.runsOf(begun)
}

// runsOf returns the begins of further parts, by the newest crash before each. Of the begins of
// one suspect the earliest counts.
func (q *Quarantine) runsOf(begun map[Part]time.Time) (list []BegunRuns) {
	named := make(map[Part]bool)
	for _, r := range slices.Backward(q.evidence.records) {
		for _, s := range r.Suspects {
			var positions []int
			var earliest time.Time
			for _, f := range s.Further {
				at, ok := begun[f.Part]
				if !ok || named[f.Part] || !at.After(r.At) {
					continue
				}
				named[f.Part] = true
				positions = append(positions, f.Position)
				if earliest.IsZero() || at.Before(earliest) {
					earliest = at
				}
			}
			for _, runs := range formatRuns(positions) {
				list = append(list, BegunRuns{Incarnation: r.Incarnation, Suspect: s.Parts[len(s.Parts)-1], Runs: runs, At: earliest})
			}
		}
	}
	return list
}

// MergeRuns records begins of further parts that another entry has told to all entries, and
// returns new verdicts. They also count for parts of the suspect that arrive later.
func (q *Quarantine) MergeRuns(now time.Time, list []BegunRuns) []Verdict {
	var changed []Verdict
	for _, b := range list {
		i := slices.IndexFunc(q.evidence.records, func(r *Crash) bool { return r.Incarnation == b.Incarnation })
		if i < 0 {
			continue
		}
		r := q.evidence.records[i]
		j := slices.IndexFunc(r.Suspects, func(s Suspect) bool { return s.Parts[len(s.Parts)-1] == b.Suspect })
		if j < 0 {
			continue
		}
		s := &r.Suspects[j]
		s.begun = append(s.begun, parseRuns(b.Runs, b.At.Add(-maxTransit))...)
		s.begun = slices.Clone(s.begun[max(0, len(s.begun)-maxBegunRuns):])
		changed = append(changed, q.mergeRunsOf(now, b.Incarnation)...)
	}
	return append(changed, q.Tick(now)...)
}

// mergeRunsOf records the begins of further parts that other entries have told of the suspects
// of a crash.
func (q *Quarantine) mergeRunsOf(now time.Time, incarnation Incarnation) (changed []Verdict) {
	for _, r := range q.evidence.records {
		if r.Incarnation != incarnation {
			continue
		}
		for _, s := range r.Suspects {
			for _, run := range s.begun {
				for _, f := range s.Further {
					if f.Position >= run.first && f.Position <= run.last {
						changed = append(changed, q.mergeBegin(now, run.at, f.Part)...)
					}
				}
			}
		}
	}
	return changed
}

// formatRuns returns texts of up to maxBegunRuns runs for positions in ascending order.
func formatRuns(positions []int) (texts []string) {
	var runs []string
	for i := 0; i < len(positions); {
		end := i
		for end+1 < len(positions) && positions[end+1] == positions[end]+1 {
			end++
		}
		run := strconv.Itoa(positions[i])
		if end > i {
			run += "-" + strconv.Itoa(positions[end])
		}
		runs = append(runs, run)
		i = end + 1
	}
	for chunk := range slices.Chunk(runs, maxBegunRuns) {
		texts = append(texts, strings.Join(chunk, ","))
	}
	return texts
}

// parseRuns returns the first maxBegunRuns runs in a text of formatRuns. It leaves out what is
// malformed.
func parseRuns(text string, at time.Time) (list []mergedRun) {
	for run := range strings.SplitSeq(text, ",") {
		from, to, isRange := strings.Cut(run, "-")
		first, err := strconv.Atoi(from)
		last := first
		if err == nil && isRange {
			last, err = strconv.Atoi(to)
		}
		if err == nil && first >= LeadingParts && first <= last && len(list) < maxBegunRuns {
			list = append(list, mergedRun{first: first, last: last, at: at})
		}
	}
	return list
}
