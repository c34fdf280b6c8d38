// Package acceptance decides whether a process puts a configuration snapshot
// in force. Revisions only go up, also across a restart.
//
// A process in force moves only to a higher version, whatever its peers say.
// A process that starts holds nothing, so a stale configuration service could
// give it an old snapshot. It therefore asks its peers first, and their claims
// set a floor for its first snapshot. A wrong claim is bounded in three ways:
//
//   - A claim more than MaxAhead above the snapshot on offer is ignored.
//   - A claim of a single peer counts for ClaimWait after the first offer.
//   - A claim of two peers counts until they withdraw it. Publishing a
//     revision at or above it ends the wait.
//
// A peer claims the revision that it holds, never a floor that it has heard
// of; otherwise a wrong claim would find a second witness by itself.
//
// A Gate is a pure state machine used by one goroutine.
package acceptance

import (
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// MaxAhead is the largest plausible distance between a claim and the
	// snapshot on offer: 500 days of 2,000 changes.
	MaxAhead = 1_000_000
	// ClaimWait is how long the claim of a single peer holds back the first
	// snapshot. A peer that holds a snapshot passes it on within seconds.
	ClaimWait = 10 * time.Second
	// MaxClaims bounds the peers whose claims are kept before the first
	// snapshot; the largest fleet has 1,440 processes.
	MaxClaims = 4096
	// maxRivals bounds the digests kept to count each conflict once.
	maxRivals = 64
)

// Version orders snapshots.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Less reports whether v is older than o. Of two snapshots with one revision
// the higher digest wins, so that all processes end with the same one.
func (v Version) Less(o Version) bool {
	if v.Revision != o.Revision {
		return v.Revision < o.Revision
	}
	return v.Digest < o.Digest
}

// Gate holds the version in force and what peers claim. The zero Gate holds
// nothing and is ready for use.
type Gate struct {
	current    Version
	claims     map[string]uint64
	firstOffer time.Time
	ahead      uint64
	rivals     map[uint64]bool
	conflicts  int
	ignored    int
}

// Current returns the version in force; revision 0 means none.
func (g *Gate) Current() Version { return g.current }

// Conflicts counts the snapshots that carried the revision in force with
// other content. Each counts once.
func (g *Gate) Conflicts() int { return g.conflicts }

// Ignored counts claims that were implausibly high.
func (g *Gate) Ignored() int { return g.ignored }

// Behind reports whether a peer claims a plausible higher revision.
func (g *Gate) Behind() bool { return g.ahead > g.current.Revision }

// Heard records the revision that a peer holds. It reports whether the
// process should look for a newer snapshot, once for each higher claim.
func (g *Gate) Heard(peer string, revision uint64) bool {
	if g.current.Revision == 0 {
		if g.claims == nil {
			g.claims = make(map[string]uint64)
		}
		if _, known := g.claims[peer]; known || len(g.claims) < MaxClaims {
			g.claims[peer] = revision
		}
	} else if revision > limitFor(g.current.Revision) {
		g.ignored++
		return false
	}
	if revision <= g.ahead || revision <= g.current.Revision {
		return false
	}
	g.ahead = revision
	return true
}

// Forget drops the claim of a peer that is gone.
func (g *Gate) Forget(peer string) { delete(g.claims, peer) }

// Floor returns the lowest revision that Offer would accept now if a snapshot
// with the given revision were on offer.
func (g *Gate) Floor(now time.Time, offered uint64) uint64 {
	if g.current.Revision > 0 {
		return g.current.Revision
	}
	highest, second := uint64(0), uint64(0)
	for _, claim := range g.claims {
		switch {
		case claim > limitFor(offered):
		case claim > highest:
			highest, second = claim, highest
		case claim > second:
			second = claim
		}
	}
	if g.firstOffer.IsZero() || now.Sub(g.firstOffer) < ClaimWait {
		return highest
	}
	return second
}

// limitFor is the highest plausible claim next to a snapshot.
func limitFor(revision uint64) uint64 {
	if revision > ^uint64(0)-MaxAhead {
		return ^uint64(0)
	}
	return revision + MaxAhead
}

// RetryAt returns when the claim of a single peer stops counting, so that a
// first snapshot that Offer refused should be offered again. It returns the
// zero time before the first offer and once a snapshot is in force.
func (g *Gate) RetryAt() time.Time {
	if g.current.Revision > 0 || g.firstOffer.IsZero() {
		return time.Time{}
	}
	return g.firstOffer.Add(ClaimWait)
}

// Offer puts a snapshot in force or refuses it with a code. Offering the
// snapshot in force again changes nothing and succeeds.
func (g *Gate) Offer(now time.Time, v Version) result.Code {
	if v == g.current && v.Revision > 0 {
		return result.OK
	}
	if g.firstOffer.IsZero() {
		g.firstOffer = now
	}
	if v.Revision == 0 || v.Revision < g.Floor(now, v.Revision) {
		return result.RevisionTooLow
	}
	if v.Revision == g.current.Revision {
		g.countRival(v)
		if v.Less(g.current) {
			return result.RevisionConflict
		}
	}
	g.accept(v)
	return result.OK
}

// countRival counts a conflict once, however often the snapshot is offered.
func (g *Gate) countRival(v Version) {
	if g.rivals[v.Digest] || len(g.rivals) >= maxRivals {
		return
	}
	if g.rivals == nil {
		g.rivals = make(map[uint64]bool)
	}
	g.rivals[v.Digest], g.rivals[g.current.Digest] = true, true
	g.conflicts++
}

func (g *Gate) accept(v Version) {
	if v.Revision > g.current.Revision {
		g.rivals = nil
	}
	if g.ahead > limitFor(v.Revision) {
		g.ahead = 0
		g.ignored++
	}
	g.current = v
	g.claims = nil
}
