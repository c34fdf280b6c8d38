package containment

import (
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
)

// PartStatus describes a quarantined part, or the digest of a quarantined request, on
// status pages.
type PartStatus struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	// SinceMS is the age of the verdict in milliseconds, and Entry the entry that
	// concluded it.
	SinceMS int64  `json:"since_ms"`
	Entry   string `json:"entry"`
	Trials  int    `json:"trials"`
	// Refused counts the requests that this entry refused because of it.
	Refused int64 `json:"refused"`
}

// Status returns the quarantined parts and requests, sorted, and the number of targets with
// crash records.
func (g *Guard) Status() (parts, requests []PartStatus, crashRecords int) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := func(q *quarantine.Quarantine) (list []PartStatus) {
		for _, v := range q.Verdicts() {
			if v.Quarantined {
				cause := causeOf(v.Part)
				list = append(list, PartStatus{
					Part: cause.Part + cause.Digest, Crashes: v.Crashes, SinceMS: now.Sub(v.Since).Milliseconds(), Entry: v.Entry, Trials: v.Trials, Refused: g.refusals[v.Part],
				})
			}
		}
		slices.SortFunc(list, func(a, b PartStatus) int { return strings.Compare(a.Part, b.Part) })
		return list
	}
	incarnations := make(map[quarantine.Incarnation]bool)
	for _, c := range append(g.parts.Crashes(now), g.requests.Crashes(now)...) {
		incarnations[c.Incarnation] = true
	}
	return list(g.parts), list(g.requests), len(incarnations)
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
