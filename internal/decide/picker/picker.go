// Package picker chooses one target for an attempt in three stages: filter,
// score, pick.
//
// The functions are pure; the caller passes what it knows of each candidate.
package picker

import "time"

// Candidate is a target as the entry sees it at the time of the choice.
type Candidate struct {
	Name string
	// Rank is the target's place in the adapter's ranking, 0 first.
	Rank int
	// Usable is false without a session or when the target is leaving.
	Usable bool
	// Ejected is true while the target is treated as a straggler.
	Ejected bool
	// Tried is true if an earlier attempt of the request went there.
	Tried bool
	// InFlight counts this entry's requests at the target.
	InFlight int
	// Queued and Running come from the last load report.
	Queued  int
	Running int
	// Limit is the number of requests that the target runs at once.
	Limit int
	// Latency is the entry's own peak-EWMA of first-token time.
	Latency time.Duration
	// Resident tells whether the adapter is believed to be loaded there.
	Resident bool
	// PrefixHit tells whether the prompt prefix is believed to be cached.
	PrefixHit bool
}

// Policy selects how a target is picked.
type Policy uint8

const (
	// Affinity prefers homes that hold the adapter and are not overloaded.
	Affinity Policy = iota
	// Random picks any usable target. It is the naive policy that
	// measurements compare with.
	Random
)

// Pick returns the index of the chosen candidate, or false if none is usable.
// Ejected targets are used only when nothing else is left.
func Pick(candidates []Candidate) (int, bool) {
	best := -1
	for pass := 0; pass < 2 && best < 0; pass++ {
		for i, c := range candidates {
			if !c.Usable || c.Tried || (c.Ejected && pass == 0) {
				continue
			}
			if best < 0 || score(c) < score(candidates[best]) {
				best = i
			}
		}
	}
	return best, best >= 0
}

// score is the expected cost of a candidate in units of one queued request.
func score(c Candidate) float64 {
	load := float64(max(c.InFlight, c.Queued+c.Running)) / float64(max(c.Limit, 1))
	cost := load + float64(c.Rank)*0.05
	if !c.Resident {
		cost += 0.5
	}
	if c.PrefixHit {
		cost -= 0.02
	}
	return cost
}
