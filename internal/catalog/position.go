package catalog

import "cmp"

// Position is a place in the history of the store. When the store is restored
// from a copy, its revisions go back and are given out again with other contents,
// and a new era begins. A revision is therefore comparable within its era only.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// registration describes the newest registration of a target that was merged. It is
// kept after the removal of the target.
type registration struct {
	startedAtMS int64
	sequence    uint64
	draining    bool
}

// supersedes reports whether the registration in item was written before l. A copy
// from which the store was restored contains such registrations: of an earlier
// incarnation, or written earlier by the same one.
func (l registration) supersedes(item Item) bool {
	startedAtMS := item.Target.StartedAtMS
	switch {
	case startedAtMS != l.startedAtMS:
		return startedAtMS != 0 && startedAtMS < l.startedAtMS
	case l.sequence > 0:
		return item.Sequence <= l.sequence
	}
	// Without a sequence only the state shows the order: a draining incarnation
	// does not become ready again.
	return l.draining && !item.Target.Draining
}
