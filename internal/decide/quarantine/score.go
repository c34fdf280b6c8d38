package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a part that crash records hold, with the evidence against it.
type candidate struct {
	part Part
	// crashes is the number of records that hold it, and suspects the number of
	// requests in them that do.
	crashes, suspects int
	// position is its last position in a prompt.
	position int
	// served is true if an engine is known to have begun to answer it before the first of
	// these crashes, and sessions holds the sessions whose requests held it.
	served   bool
	sessions map[Part]bool
	// last is the last suspect that was counted.
	last *Suspect
	// trialsLeftOut is the number of trials that are not made.
	trialsLeftOut int
}

// compareCandidates orders the part that explains the most crashes first. Among
// equals, it is one that no engine has served, then one that did not come with a single
// session, and then the part whose quarantine refuses the fewest requests: the one with
// the fewest suspects, then the one further back in prompts.
func compareCandidates(x, y candidate) int {
	return cmp.Or(
		cmp.Compare(y.crashes, x.crashes), compareBools(x.served, y.served),
		compareBools(len(x.sessions) == 1, len(y.sessions) == 1), cmp.Compare(x.suspects, y.suspects),
		cmp.Compare(y.position, x.position), cmp.Compare(x.part, y.part),
	)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// mostSuspectPart returns the candidate that is to be quarantined next.
func mostSuspectPart(records []*Crash, begunAt func(Part) time.Time) (candidate, bool) {
	left, ahead := records, 0
	list := candidates(left, begunAt)
	for len(list) > 0 && list[0].crashes >= minHits {
		c := list[0]
		hits, others := countHits(left, c.part, begunAt(c.part))
		rivals := ahead + countRivals(left, list, begunAt)
		needed := minHits + others/othersPerHit
		if c.crashes >= others {
			needed = min(needed, minHitsInMost)
		}
		if hits >= needed+rivals*hitsPerRival && !explainedByAnother(records, c.part, begunAt) {
			return c, true
		}
		// The part that is in the most records may be the cause of them, even if the
		// evidence does not suffice yet. Others are judged by the remaining records.
		left = slices.DeleteFunc(slices.Clone(left), func(r *Crash) bool {
			return r.At.After(begunAt(c.part)) && r.holds(c.part)
		})
		list = candidates(left, begunAt)
		ahead++
	}
	return candidate{}, false
}

// countRivals returns the number of other parts in as many crashes as the first candidate,
// or in one less. Of parts that always come together one counts: whichever is the cause,
// the hits are due to it.
func countRivals(records []*Crash, list []candidate, begunAt func(Part) time.Time) int {
	distinct := list[:1:1]
	for _, c := range list[1:] {
		if c.crashes < list[0].crashes-1 {
			break
		}
		if !slices.ContainsFunc(distinct, func(x candidate) bool { return inseparable(records, x, c, begunAt) }) {
			distinct = append(distinct, c)
		}
	}
	return len(distinct) - 1
}

// inseparable reports whether two parts are in the same suspects of the records.
func inseparable(records []*Crash, x, y candidate, begunAt func(Part) time.Time) bool {
	if x.crashes != y.crashes || x.suspects != y.suspects {
		return false
	}
	return !slices.ContainsFunc(records, func(r *Crash) bool {
		return r.At.After(begunAt(x.part)) && slices.ContainsFunc(r.Suspects, func(s Suspect) bool {
			return s.has(x.part) != s.has(y.part)
		})
	})
}

// coveringPart returns a part without a verdict that is in every suspect with a certain
// quarantined part, and in a crash which no quarantine explains. The two came together,
// and the other one was quarantined in its place.
func coveringPart(all, unexplained []*Crash, begunAt func(Part) time.Time, quarantined func(Part) bool) (candidate, bool) {
	companions := make(map[Part]map[Part]bool)
	for _, r := range all {
		for _, s := range r.Suspects {
			for _, p := range s.shared() {
				if quarantined(p) {
					companions[p] = intersect(companions[p], s)
				}
			}
		}
	}
	if len(companions) == 0 {
		return candidate{}, false
	}
	for _, c := range candidates(unexplained, begunAt) {
		for _, parts := range companions {
			if !parts[c.part] {
				continue
			}
			if hits, _ := countHits(all, c.part, begunAt(c.part)); hits > minHits {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// intersect returns the parts of a suspect that are also in a set. A nil set holds all parts.
func intersect(set map[Part]bool, s Suspect) map[Part]bool {
	both := make(map[Part]bool)
	for _, p := range s.shared() {
		if set == nil || set[p] {
			both[p] = true
		}
	}
	return both
}

// explainedByAnother reports whether the records that hold a part, but at most one of
// them, also hold another part that is in more records and that no engine has
// begun to answer since the last of them.
func explainedByAnother(records []*Crash, part Part, begunAt func(Part) time.Time) bool {
	total, shared := make(map[Part]int), make(map[Part]int)
	var count int
	var last time.Time
	for _, r := range records {
		counts := r.At.After(begunAt(part)) && r.holds(part)
		if counts {
			count++
			last = r.At
		}
		for p := range r.parts() {
			total[p]++
			if counts {
				shared[p]++
			}
		}
	}
	for p, n := range shared {
		if p != part && n >= count-1 && total[p] > count && !begunAt(p).After(last) {
			return true
		}
	}
	return false
}

// candidates returns the parts with a crash since their last begin, the most suspect
// one first.
func candidates(records []*Crash, begunAt func(Part) time.Time) []candidate {
	found := make(map[Part]*candidate)
	for _, r := range records {
		counted := make(map[Part]bool)
		for j := range r.Suspects {
			s := &r.Suspects[j]
			for i, p := range s.shared() {
				if !r.At.After(begunAt(p)) {
					continue
				}
				c := found[p]
				if c == nil {
					c = &candidate{part: p, served: !begunAt(p).IsZero(), sessions: make(map[Part]bool)}
					found[p] = c
				}
				c.position = max(c.position, i)
				if c.last == s {
					// The prompt has the part more than once.
					continue
				}
				c.last = s
				c.sessions[sessionOf(*s)] = true
				if !counted[p] {
					counted[p] = true
					c.crashes++
				}
				c.suspects++
			}
		}
	}
	list := make([]candidate, 0, len(found))
	for _, c := range found {
		list = append(list, *c)
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// countHits counts the groups of crashes with a request that holds a part, and the
// other crashes in that time or, if it is shorter than noiseWindow, in that window.
// Crashes before a begin were not due to the part.
func countHits(records []*Crash, part Part, begunAt time.Time) (hits, others int) {
	counts := func(r *Crash) bool { return r.At.After(begunAt) && r.holds(part) }
	var first, last time.Time
	for _, r := range records {
		if counts(r) {
			if first.IsZero() {
				first = r.At
			}
			last = r.At
		}
	}
	if from := last.Add(-noiseWindow); from.Before(first) {
		first = from
	}
	rest := records[slices.IndexFunc(records, func(r *Crash) bool { return !r.At.Before(first) }):]
	requests := make(map[Part]bool)
	for len(rest) > 0 {
		size := 1
		for size < len(rest) && rest[size].At.Sub(rest[0].At) < groupInterval {
			size++
		}
		held, hit := countGroup(rest[:size], part, counts, requests)
		switch {
		case hit && held == size && size >= minMassCrash:
			hits += 2
		case hit:
			hits++
		}
		others += min(size-held, maxOthersPerGroup)
		rest = rest[size:]
	}
	return hits, others
}

// countGroup returns how many crashes of a group hold a part, and whether a
// request with the part is in none of the groups before. It adds the IDs of these
// requests to requests.
func countGroup(group []*Crash, part Part, counts func(*Crash) bool, requests map[Part]bool) (held int, hit bool) {
	for _, r := range group {
		if !counts(r) {
			continue
		}
		held++
		for _, s := range r.Suspects {
			if id := s.Parts[len(s.Parts)-1]; s.has(part) && !requests[id] {
				requests[id], hit = true, true
			}
		}
	}
	return held, hit
}
