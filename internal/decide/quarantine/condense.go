package quarantine

import "time"

// partClass holds what the decision depends on of a part: parts that are in the same suspects and
// began at the same time are equal to it but for their place.
type partClass struct {
	suspects uint64
	begunAt  time.Time
}

// occurrence is where a part occurs.
type occurrence struct {
	class partClass
	// record and suspect are the last ones that hold it.
	record, suspect int
	// several is true if it is in more than one record, and leading if it is a leading part.
	several, leading bool
	position         int
}

// condense returns a function that leaves out the further parts of records which cannot change
// a decision: those that only one record holds, and of parts that always come together all but
// the one furthest back. What is left is small even where prompts share thousands of parts.
func condense(all []*Crash, begunAt func(Part) time.Time, keep func(Part) bool) func([]*Crash) []*Crash {
	long := false
	for _, r := range all {
		long = long || r.furtherCount() > 0
	}
	if !long {
		return func(records []*Crash) []*Crash { return records }
	}
	occurrences := make(map[Part]*occurrence)
	for i, r := range all {
		for j := range r.Suspects {
			for at, p := range r.Suspects[j].shared() {
				o := occurrences[p]
				if o == nil {
					o = &occurrence{record: i, suspect: -1, class: partClass{begunAt: begunAt(p)}}
					occurrences[p] = o
				}
				o.leading = o.leading || at < LeadingParts
				if r.At.After(o.class.begunAt) {
					o.position = max(o.position, at)
				}
				if o.record != i || o.suspect != j {
					o.class.suspects += mixed(i, j)
				}
				o.several = o.several || o.record != i
				o.record, o.suspect = i, j
			}
		}
	}
	last := make(map[partClass]Part)
	for p, o := range occurrences {
		if other, ok := last[o.class]; !ok || o.position > occurrences[other].position || o.position == occurrences[other].position && p < other {
			last[o.class] = p
		}
	}
	kept := func(p Part) bool {
		o := occurrences[p]
		return o.leading || keep(p) || o.several && last[o.class] == p
	}
	copies := make(map[*Crash]*Crash, len(all))
	for _, r := range all {
		c := *r
		c.Suspects = append([]Suspect(nil), r.Suspects...)
		c.dropFurther(kept)
		copies[r] = &c
	}
	return func(records []*Crash) []*Crash {
		list := make([]*Crash, 0, len(records))
		for _, r := range records {
			list = append(list, copies[r])
		}
		return list
	}
}

// mixed returns a number for a suspect, so that the sums of different sets of suspects differ.
func mixed(record, suspect int) uint64 {
	x := (uint64(record)<<32 | uint64(suspect)) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
