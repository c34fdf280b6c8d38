package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// evidence holds the crash records and begins that count.
type evidence struct {
	rules rules
	// records are in order of time.
	records []*Crash
	begins  begins
	// keep reports whether a further part must not be dropped: a record without the quarantined
	// part that explains it would count against its other parts.
	keep func(Part) bool
	// dropped is the number of further parts that were dropped since it was last taken.
	dropped int
}

// addCrash merges a crash record and reports whether it added anything.
func (e *evidence) addCrash(now time.Time, c Crash) bool {
	if c.At.After(now) {
		c.At = now
	}
	if now.Sub(c.At) >= e.rules.evidenceTTL || len(c.Target) > maxNameBytes {
		return false
	}
	i := slices.IndexFunc(e.records, func(r *Crash) bool { return r.Incarnation == c.Incarnation })
	if i < 0 {
		r := &Crash{Incarnation: c.Incarnation, At: c.At}
		r.Target = strings.Clone(r.Target)
		r.addPlace(c)
		r.addSuspects(c.Suspects, e.rules.maxSuspects)
		kept := e.insert(r)
		e.limitFurther()
		return kept
	}
	r := e.records[i]
	r.addPlace(c)
	changed := r.addSuspects(c.Suspects, e.rules.maxSuspects)
	// Times of other entries are late by the time that their messages took, so the
	// earliest is the most exact.
	if c.At.Before(r.At) {
		e.records = slices.Delete(e.records, i, i+1)
		r.At = c.At
		changed = e.insert(r)
	}
	e.limitFurther()
	return changed
}

// limitFurther drops further parts beyond maxFurtherParts, but no quarantined ones: first those
// that only one record holds, then all, each from the oldest records on. A part that several
// crashes share is more likely to be their cause.
func (e *evidence) limitFurther() {
	total := 0
	for _, r := range e.records {
		total += r.furtherCount()
	}
	if total <= maxFurtherParts {
		return
	}
	held := e.holders()
	for _, keep := range []func(Part) bool{func(p Part) bool { return held[p].shared || e.keep(p) }, e.keep} {
		for _, r := range e.records {
			// More than necessary is dropped, so that this is rare.
			if total <= maxFurtherParts*3/4 {
				return
			}
			n := r.dropFurther(keep)
			total -= n
			e.dropped += n
		}
	}
}

// holder tells which record holds a part. shared is true if others do, too.
type holder struct {
	record *Crash
	shared bool
}

// holders returns the holders of all parts.
func (e *evidence) holders() map[Part]holder {
	held := make(map[Part]holder)
	for _, r := range e.records {
		for i := range r.Suspects {
			for _, p := range r.Suspects[i].shared() {
				h := held[p]
				held[p] = holder{record: r, shared: h.shared || h.record != nil && h.record != r}
			}
		}
	}
	return held
}

// furtherCount returns the number of further parts in a record.
func (c *Crash) furtherCount() (n int) {
	for _, s := range c.Suspects {
		n += len(s.Further)
	}
	return n
}

// dropFurther drops the further parts for which keep returns false, and returns their number.
func (c *Crash) dropFurther(keep func(Part) bool) (dropped int) {
	for i, s := range c.Suspects {
		// The list may be in use elsewhere.
		var kept []FurtherPart
		for _, f := range s.Further {
			if keep(f.Part) {
				kept = append(kept, f)
			}
		}
		dropped += len(s.Further) - len(kept)
		c.Suspects[i].Further = kept
	}
	return dropped
}

// insert inserts a record in order of time and drops the oldest one if there are
// too many. It reports whether the new one is kept.
func (e *evidence) insert(r *Crash) bool {
	i, _ := slices.BinarySearchFunc(e.records, r, func(x, y *Crash) int { return x.At.Compare(y.At) })
	if len(e.records) >= e.rules.maxRecords {
		if i == 0 {
			return false
		}
		e.records = slices.Delete(e.records, 0, 1)
		i--
	}
	e.records = slices.Insert(e.records, i, r)
	return true
}

// expire deletes old records and reports whether there were any.
func (e *evidence) expire(now time.Time) bool {
	n := 0
	for n < len(e.records) && now.Sub(e.records[n].At) >= e.rules.evidenceTTL {
		n++
	}
	e.records = slices.Delete(e.records, 0, n)
	return n > 0
}

// addPlace adds what the record lacks of the place of its target.
func (c *Crash) addPlace(from Crash) {
	if c.Pool == "" {
		c.Pool = strings.Clone(from.Pool[:min(len(from.Pool), maxNameBytes)])
	}
	if c.FailureDomain == "" {
		c.FailureDomain = strings.Clone(from.FailureDomain[:min(len(from.FailureDomain), maxNameBytes)])
	}
}

// addSuspects adds the suspects that the record lacks, and their further parts. Requests with
// the same ID and leading parts are one suspect, because a record may arrive several times, and
// in pieces.
func (c *Crash) addSuspects(list []Suspect, maxSuspects int) (changed bool) {
	for _, s := range list {
		parts := boundedParts(s.Parts)
		further := furtherParts(s)
		if len(parts) < 2 && len(further) == 0 {
			continue
		}
		i := slices.IndexFunc(c.Suspects, func(x Suspect) bool { return slices.Equal(x.Parts, parts) })
		switch {
		case i >= 0:
			if s.SentAt.Before(c.Suspects[i].SentAt) {
				c.Suspects[i].SentAt = s.SentAt
			}
		case len(c.Suspects) < maxSuspects:
			i = len(c.Suspects)
			c.Suspects = append(c.Suspects, Suspect{Parts: clonedParts(parts), SentAt: s.SentAt})
			changed = true
		default:
			continue
		}
		merged := mergeFurther(c.Suspects[i].Further, further)
		changed = changed || len(merged) > len(c.Suspects[i].Further)
		c.Suspects[i].Further = merged
	}
	return changed
}

// furtherParts returns the valid further parts of a suspect, in order of position: those that it
// names as such, and what is behind the leading ones in a whole list.
func furtherParts(s Suspect) []FurtherPart {
	var list []FurtherPart
	for i, p := range sharedParts(s.Parts) {
		if i >= LeadingParts && i < maxPosition && validPart(p) {
			list = append(list, FurtherPart{Position: i, Part: p})
		}
	}
	for _, f := range s.Further {
		if f.Position >= LeadingParts && f.Position < maxPosition && validPart(f.Part) {
			list = append(list, f)
		}
	}
	slices.SortStableFunc(list, func(x, y FurtherPart) int { return cmp.Compare(x.Position, y.Position) })
	return list
}

// mergeFurther returns the parts of two lists in order of position, of each position the first
// one. What is added is copied.
func mergeFurther(known, added []FurtherPart) []FurtherPart {
	if len(added) == 0 {
		return known
	}
	merged := make([]FurtherPart, 0, len(known)+len(added))
	for len(known) > 0 || len(added) > 0 {
		if len(added) == 0 || len(known) > 0 && known[0].Position <= added[0].Position {
			merged, known = append(merged, known[0]), known[1:]
		} else {
			merged = append(merged, FurtherPart{Position: added[0].Position, Part: Part(strings.Clone(string(added[0].Part)))})
			added = added[1:]
		}
		for last := merged[len(merged)-1].Position; len(added) > 0 && added[0].Position == last; {
			added = added[1:]
		}
	}
	return slices.Clip(merged)
}

// holds reports whether a suspect of the record holds a part.
func (c *Crash) holds(part Part) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.has(part) })
}

// parts returns the shared parts of all suspects.
func (c *Crash) parts() map[Part]bool {
	set := make(map[Part]bool)
	for _, s := range c.Suspects {
		for _, p := range s.shared() {
			set[p] = true
		}
	}
	return set
}

// boundedParts returns the leading parts of a suspect that are valid, and the last one, cut if
// it is too long.
func boundedParts(parts []Part) []Part {
	if len(parts) == 0 {
		return nil
	}
	own := parts[len(parts)-1]
	kept := make([]Part, 0, LeadingParts+1)
	for _, p := range parts[:min(len(parts)-1, LeadingParts)] {
		if validPart(p) {
			kept = append(kept, p)
		}
	}
	return append(kept, own[:min(len(own), MaxPartBytes)])
}

func clonedParts(parts []Part) []Part {
	cloned := make([]Part, len(parts))
	for i, p := range parts {
		cloned[i] = Part(strings.Clone(string(p)))
	}
	return cloned
}

func validPart(p Part) bool { return p != "" && len(p) <= MaxPartBytes }

// begin is when engines last began to answer a request with a part. Other entries
// know of it up to toldAt.
type begin struct{ at, toldAt time.Time }

// begins holds the last begin of each part in two maps. The older one is dropped
// when the newer one is full or as old as evidence may become.
type begins struct {
	ttl          time.Duration
	newer, older map[Part]begin
	rotatedAt    time.Time
}

func (b *begins) get(p Part) begin {
	if x, ok := b.newer[p]; ok {
		return x
	}
	return b.older[p]
}

// put sets the begin of a part. Parts for which keep returns true outlive the map
// that they are in.
func (b *begins) put(now time.Time, p Part, x begin, keep func(Part) bool) {
	if _, ok := b.newer[p]; !ok {
		if now.Sub(b.rotatedAt) >= b.ttl || len(b.newer) >= maxBegins {
			b.rotate(now, keep)
		}
		p = Part(strings.Clone(string(p)))
	}
	b.newer[p] = x
}

func (b *begins) rotate(now time.Time, keep func(Part) bool) {
	kept := make(map[Part]begin)
	for p, x := range b.older {
		// The next rotation finds a part of the newer map in the older one.
		if _, ok := b.newer[p]; !ok && keep(p) && now.Sub(x.at) < b.ttl && len(kept) < maxBegins/2 {
			kept[p] = x
		}
	}
	b.older, b.newer, b.rotatedAt = b.newer, kept, now
}
