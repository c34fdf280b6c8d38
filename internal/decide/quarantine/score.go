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
	// trialsLeftOut is the number of trials that are not made.
	trialsLeftOut int
}

// compareCandidates orders the part that explains the most crashes first. Among
// equals, it is the part whose quarantine refuses the fewest requests: the one with
// the fewest suspects, then the one further back in prompts.
func compareCandidates(x, y candidate) int {
	return cmp.Or(
		cmp.Compare(y.crashes, x.crashes), cmp.Compare(x.suspects, y.suspects),
		cmp.Compare(y.position, x.position), cmp.Compare(x.part, y.part),
	)
}

// mostSuspectPart returns the candidate that is to be quarantined next.
func mostSuspectPart(records []*Crash, begunAt func(Part) time.Time) (candidate, bool) {
	left, ahead := records, 0
	list := candidates(left, begunAt)
	for len(list) > 0 && list[0].crashes >= minHits {
		c := list[0]
		hits, others := countHits(left, c.part, begunAt(c.part))
		rivals := ahead
		for _, other := range list[1:] {
			if other.crashes < c.crashes-1 {
				break
			}
			rivals++
		}
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
		for _, s := range r.Suspects {
			for i, p := range sharedParts(s.Parts) {
				if !r.At.After(begunAt(p)) {
					continue
				}
				c := found[p]
				if c == nil {
					c = &candidate{part: p}
					found[p] = c
				}
				if !counted[p] {
					counted[p] = true
					c.crashes++
				}
				c.suspects++
				c.position = max(c.position, i)
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
			if id := s.Parts[len(s.Parts)-1]; slices.Contains(sharedParts(s.Parts), part) && !requests[id] {
				requests[id], hit = true, true
			}
		}
	}
	return held, hit
}
