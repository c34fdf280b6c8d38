package containment

import (
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// PartStatus describes a quarantined part on status pages.
type PartStatus struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	// SinceMS is the age of the verdict in milliseconds, and Entry the entry that
	// concluded it.
	SinceMS int64  `json:"since_ms"`
	Entry   string `json:"entry"`
	Trials  int    `json:"trials"`
	// Refused counts the requests that this entry refused because of the part.
	Refused int64 `json:"refused"`
}

// Status returns the quarantined parts, sorted, and the number of crash records.
func (g *Guard) Status() (parts []PartStatus, crashRecords int) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.quarantine.Verdicts() {
		if v.Quarantined {
			parts = append(parts, PartStatus{
				Part: string(v.Part), Crashes: v.Crashes, SinceMS: now.Sub(v.Since).Milliseconds(), Entry: v.Entry, Trials: v.Trials, Refused: g.refusals[v.Part],
			})
		}
	}
	slices.SortFunc(parts, func(a, b PartStatus) int { return strings.Compare(a.Part, b.Part) })
	return parts, len(g.quarantine.Crashes(now))
}

// TrialOwner returns a function that reports whether the entry at an address sends the
// trials of a part: it comes first among the connected entries by rendezvous hashing.
// An entry that reaches half or fewer of the known entries owns no trial, so that both
// sides of a partition do not send one each.
func TrialOwner(address string, connected func() []string, known func() int) func(part string) bool {
	return func(part string) bool {
		list := connected()
		if 2*len(list) <= known() {
			return false
		}
		entries := make([]placement.Target, 0, len(list))
		for _, a := range list {
			entries = append(entries, placement.Target{Name: a})
		}
		return list[placement.NewRanker(entries).Rank(part, 1)[0]] == address
	}
}
