package ratelimit

import "time"

// minRepeatInterval is the shortest time after which an ask that was not granted is worth
// repeating, if its target is not known to have room before.
const minRepeatInterval = 250 * time.Millisecond

// Sharing is the part of one entry in sharing the rates of targets with the others.
type Sharing struct {
	granter   *Granter
	ownership *Ownership
}

// NewSharing returns the sharing of an entry that starts now.
func NewSharing(now time.Time, self string) *Sharing {
	return &Sharing{granter: NewGranter(), ownership: NewOwnership(now, self)}
}

// SetMembers sets the entries that this one is connected with, including itself, sorted,
// and the number of known entries.
func (s *Sharing) SetMembers(now time.Time, connected []string, known int) []Reply {
	var replies []Reply
	for _, k := range s.ownership.SetMembers(now, connected, known) {
		replies = append(replies, s.granter.Drop(k, minRepeatInterval)...)
	}
	return replies
}

// Owner returns the entry to ask for a permit.
func (s *Sharing) Owner(k Key) string { return s.ownership.Owner(k) }

// Ask handles an ask of this entry, if own is true, or of another one.
func (s *Sharing) Ask(now time.Time, a Ask, own bool) []Reply {
	grants, retryAfter := s.ownership.Grants(now, a.Key)
	if share := s.ownership.Share(); share < 1 {
		grants = grants && own
		a.Rate *= share
	}
	if !grants {
		return []Reply{{Ask: a, RetryAfter: max(retryAfter, minRepeatInterval)}}
	}
	return s.granter.Ask(now, a)
}

// Withdraw drops an ask that waits.
func (s *Sharing) Withdraw(k Key, from string, number uint64) { s.granter.Withdraw(k, from, number) }

// Tick grants what has become possible and refuses what has become impossible.
func (s *Sharing) Tick(now time.Time) []Reply { return s.granter.Tick(now) }

// Next returns the time until the next Tick is needed, or false if no ask waits.
func (s *Sharing) Next(now time.Time) (time.Duration, bool) { return s.granter.Next(now) }
