package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a part that crash records hold, with what speaks against it.
type candidate struct {
	part Part
	// crashes is the number of records that hold it, and suspects the number of
	// requests in them that do.
	crashes, suspects int
	// position is its last position in a prompt.
	position int
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

// worstPart returns the candidate that is to be quarantined next.
func worstPart(records []*Crash, begunAt func(Part) time.Time) (candidate, bool) {
	list := candidates(records, begunAt)
	for len(list) > 0 && list[0].crashes >= minHits {
		c := list[0]
		hits, others := countHits(records, c.part, begunAt(c.part))
		if hits >= minHits+others/othersPerHit && (len(list) <= maxRivals+1 || list[maxRivals+1].crashes < c.crashes-1) {
			return c, true
		}
		// The part that is in the most records may be the cause of them, even if the
		// evidence does not suffice yet. Others are judged by the remaining records.
		records = slices.DeleteFunc(slices.Clone(records), func(r *Crash) bool {
			return r.At.After(begunAt(c.part).Add(acquitInterval)) && r.holds(c.part)
		})
		list = candidates(records, begunAt)
	}
	return candidate{}, false
}

// candidates returns the parts that no begin acquits, the most suspect one first.
func candidates(records []*Crash, begunAt func(Part) time.Time) []candidate {
	found := make(map[Part]*candidate)
	for _, r := range records {
		counted := make(map[Part]bool)
		for _, s := range r.Suspects {
			for i, p := range sharedParts(s.Parts) {
				if !r.At.After(begunAt(p).Add(acquitInterval)) {
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

// countHits counts the groups of crashes since the first crash under a part: those
// with a suspect that holds the part, and the others. Crashes before a begin, or
// shortly after it, were not due to the part.
func countHits(records []*Crash, part Part, begunAt time.Time) (hits, others int) {
	first := slices.IndexFunc(records, func(r *Crash) bool {
		return r.At.After(begunAt.Add(acquitInterval)) && r.holds(part)
	})
	if first < 0 {
		return 0, 0
	}
	hitsOf := make(map[Part]int)
	for rest := records[first:]; len(rest) > 0; {
		size := 1
		for size < len(rest) && rest[size].At.Sub(rest[0].At) < groupInterval {
			size++
		}
		held, hit := countGroup(rest[:size], part, hitsOf)
		switch {
		case hit:
			hits++
		case !held:
			others++
		}
		rest = rest[size:]
	}
	return hits, others
}

// countGroup reports whether a group of crashes holds a part, and whether it is a
// hit: one of the requests with the part has not counted too often. hitsOf holds
// the hits of each request, by its own part.
func countGroup(group []*Crash, part Part, hitsOf map[Part]int) (held, hit bool) {
	requests := make(map[Part]bool)
	for _, r := range group {
		for _, s := range r.Suspects {
			if slices.Contains(sharedParts(s.Parts), part) {
				requests[s.Parts[len(s.Parts)-1]] = true
			}
		}
	}
	for own := range requests {
		hit = hit || hitsOf[own] < maxHitsPerRequest
		hitsOf[own]++
	}
	return len(requests) > 0, hit
}
