package ratelimit

import (
	"fmt"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// SettleTime is how long an entry must have the same connections with other entries
// before it grants permits that another one may have granted until then. It exceeds the
// time in which entries find each other.
const SettleTime = 2 * time.Second

// Ownership tells which entry grants the permits of a target: the first by rendezvous
// hashing among the entries that are connected with this one. Entries whose views differ
// may name different owners. An owner therefore waits SettleTime before it takes over, and
// one that is connected with half of the known entries or fewer grants an equal part of
// the rate, to itself only.
type Ownership struct {
	self      string
	members   []string
	known     int
	ranker    *placement.Ranker
	changedAt time.Time
	// settle is the time after changedAt from which on this entry grants.
	settle time.Duration
	// owned holds the targets whose permits this entry grants.
	owned map[Key]bool
}

// NewOwnership returns the ownership of an entry without connections that starts now.
func NewOwnership(now time.Time, self string) *Ownership {
	o := &Ownership{self: self, settle: SettleTime, owned: make(map[Key]bool)}
	o.setMembers(now, []string{self})
	o.known = 1
	return o
}

// SetMembers sets the entries that this one is connected with, including itself, sorted,
// and the number of known entries. It returns the targets that this entry owns no longer.
func (o *Ownership) SetMembers(now time.Time, connected []string, known int) (lost []Key) {
	alone := o.alone()
	o.known = known
	if slices.Equal(connected, o.members) && alone == o.alone() {
		return nil
	}
	o.setMembers(now, connected)
	for k := range o.owned {
		if alone != o.alone() || o.Owner(k) != o.self {
			delete(o.owned, k)
			lost = append(lost, k)
		}
	}
	return lost
}

func (o *Ownership) setMembers(now time.Time, members []string) {
	o.members, o.changedAt = slices.Clone(members), now
	list := make([]placement.Target, 0, len(members))
	for _, m := range members {
		list = append(list, placement.Target{Name: m})
	}
	o.ranker = placement.NewRanker(list)
}

// alone reports whether this entry is connected with too few entries to have an owner in
// common with them.
func (o *Ownership) alone() bool { return 2*len(o.members) <= o.known }

// Owner returns the entry that grants the permits of a target.
func (o *Ownership) Owner(k Key) string {
	if o.alone() {
		return o.self
	}
	return o.members[o.ranker.Rank(fmt.Sprintf("%s/%d", k.Target, k.StartedAtMS), 1)[0]]
}

// Candidates returns the first entries in the order in which they own a target while those
// before them are gone.
func (o *Ownership) Candidates(k Key, n int) []string {
	var list []string
	for _, i := range o.ranker.Rank(fmt.Sprintf("%s/%d", k.Target, k.StartedAtMS), min(n, len(o.members))) {
		list = append(list, o.members[i])
	}
	return list
}

// Grants reports whether this entry grants permits of a target now, and otherwise after
// what time an ask is worth repeating.
func (o *Ownership) Grants(now time.Time, k Key) (bool, time.Duration) {
	switch {
	case o.Owner(k) != o.self:
		return false, SettleTime / 8
	case o.owned[k]:
		return true, 0
	}
	if wait := o.settle - now.Sub(o.changedAt); wait > 0 {
		return false, wait
	}
	if len(o.owned) >= maxBuckets {
		clear(o.owned)
	}
	o.owned[k] = true
	return true, 0
}

// Alone reports whether this entry is connected with half of the known entries or fewer.
func (o *Ownership) Alone() bool { return o.alone() }

// SettledAt returns when this entry may grant what no other entry may have granted since.
func (o *Ownership) SettledAt() time.Time { return o.changedAt.Add(o.settle) }

// SetSettleTime replaces SettleTime, where it is known that no other entry grants.
func (o *Ownership) SetSettleTime(d time.Duration) { o.settle = d }

// Restart makes this entry wait SettleTime before it grants anything, like one that has
// just started. It is for an entry that was suspended, in whose place another one may grant.
func (o *Ownership) Restart(now time.Time) {
	o.changedAt = now
	clear(o.owned)
}

// Share returns the part of a rate that this entry may grant.
func (o *Ownership) Share() float64 {
	if o.alone() {
		return 1 / float64(max(1, o.known))
	}
	return 1
}
