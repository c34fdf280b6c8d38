// Package acceptance decides whether a process puts a configuration snapshot
// in force, that is, uses it from then on. Revisions only go up, also across a
// restart.
//
// A process with a snapshot in force accepts only a higher version, whatever
// its peers claim. A process that starts has no snapshot, so a stale
// configuration service could give it an old one. It therefore asks its peers
// first for the revisions that they hold. These claims set the lowest revision
// (floor) of its first snapshot. The effect of a wrong claim is limited in
// three ways:
//
//   - A claim more than MaxClaimDistance above the offered snapshot is ignored.
//   - The highest plausible claim counts until SingleClaimTimeout after the
//     first offer.
//   - After that, the second-highest plausible claim counts, because two peers
//     then hold at least that revision. It counts until one of the peers makes
//     a lower claim or leaves.
//
// Offer refuses a first snapshot below the floor. A snapshot at or above the
// floor is put in force at once.
//
// A peer claims only the revision that it holds, never a claim that it
// received; otherwise a single wrong claim could come back from a second peer
// and count as confirmed.
//
// A Gate is a pure state machine used by one goroutine.
package acceptance

import (
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// MaxClaimDistance is the largest plausible number of revisions between the
	// offered snapshot and a claim: 500 days with 2,000 changes a day.
	MaxClaimDistance = 1_000_000
	// SingleClaimTimeout is how long after the first offer the claim of a single
	// peer can delay the first snapshot. A peer that holds a snapshot sends it
	// within seconds.
	SingleClaimTimeout = 10 * time.Second
	// MaxClaims is the largest number of peers whose claims are kept before
	// the first snapshot; the largest fleet has 1,440 processes.
	MaxClaims = 4096
	// maxConflictDigests is the largest number of digests that are kept to
	// count each conflict once.
	maxConflictDigests = 64
)

// Version identifies a snapshot and defines the order of snapshots. Digest
// identifies the content.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Less reports whether v precedes o. Of two snapshots with the same revision,
// the one with the higher digest is used, so that all processes end with the
// same one.
func (v Version) Less(o Version) bool {
	if v.Revision != o.Revision {
		return v.Revision < o.Revision
	}
	return v.Digest < o.Digest
}

// Gate holds the version in force and the claims of peers. The zero value holds
// neither and is ready for use.
type Gate struct {
	current Version
	// claims maps peers to the revisions that they claim. It is used until
	// the first snapshot is in force.
	claims map[string]uint64
	// firstOffer is when a snapshot was first offered.
	firstOffer time.Time
	// highestClaim is the highest revision that a peer claimed. It is 0 again
	// if it turned out to be implausible when a snapshot was put in force.
	highestClaim uint64
	// conflictDigests holds the digests of the snapshots with the revision in
	// force, as soon as there are two. conflicts counts the conflicts of all
	// revisions since the start.
	conflictDigests map[uint64]bool
	conflicts       int
	// ignored counts the claims found to be implausible.
	ignored int
}

// Current returns the version in force; revision 0 means none.
func (g *Gate) Current() Version { return g.current }

// Conflicts returns the number of snapshots, since the start and over all
// revisions, that were offered with the revision in force at that time but with
// different content. Each counts once.
func (g *Gate) Conflicts() int { return g.conflicts }

// IgnoredClaims returns the number of claims that were found to be implausibly
// high. Before the first snapshot is in force, claims are not checked. Of those
// claims, only the highest one is counted, when the snapshot is put in force.
func (g *Gate) IgnoredClaims() int { return g.ignored }

// NewerClaimed reports whether a peer claimed a higher revision than that in
// force. Claims are checked for plausibility only once a snapshot is in force,
// so before that NewerClaimed is also true for an implausible claim.
func (g *Gate) NewerClaimed() bool { return g.highestClaim > g.current.Revision }

// RecordClaim records the claim of a peer: the revision that it holds. It
// reports whether the process should request a newer snapshot, which is true
// once for each higher claim.
func (g *Gate) RecordClaim(peer string, revision uint64) bool {
	if g.current.Revision == 0 {
		if g.claims == nil {
			g.claims = make(map[string]uint64)
		}
		if _, known := g.claims[peer]; known || len(g.claims) < MaxClaims {
			g.claims[peer] = revision
		}
	} else if revision > maxClaimFor(g.current.Revision) {
		g.ignored++
		return false
	}
	if revision <= g.highestClaim || revision <= g.current.Revision {
		return false
	}
	g.highestClaim = revision
	return true
}

// RemoveClaim removes the claim of a peer that has left.
func (g *Gate) RemoveClaim(peer string) { delete(g.claims, peer) }

// MinRevision returns the revision below which Offer refuses a snapshot. A
// snapshot with this revision may still be refused, if it has revision 0 or
// conflicts with the one in force. offered is the revision of the offered
// snapshot, which decides which claims are plausible.
func (g *Gate) MinRevision(now time.Time, offered uint64) uint64 {
	if g.current.Revision > 0 {
		return g.current.Revision
	}
	highest, second := uint64(0), uint64(0)
	for _, claim := range g.claims {
		switch {
		case claim > maxClaimFor(offered):
		case claim > highest:
			highest, second = claim, highest
		case claim > second:
			second = claim
		}
	}
	if g.firstOffer.IsZero() || now.Sub(g.firstOffer) < SingleClaimTimeout {
		return highest
	}
	return second
}

// maxClaimFor returns the highest plausible claim, given the revision of a
// snapshot.
func maxClaimFor(revision uint64) uint64 {
	if revision > ^uint64(0)-MaxClaimDistance {
		return ^uint64(0)
	}
	return revision + MaxClaimDistance
}

// OfferAgainAt returns when the claim of a single peer stops counting. A first
// snapshot that Offer refused should be offered again at that time.
// OfferAgainAt returns the zero time before the first offer and once a snapshot
// is in force.
func (g *Gate) OfferAgainAt() time.Time {
	if g.current.Revision > 0 || g.firstOffer.IsZero() {
		return time.Time{}
	}
	return g.firstOffer.Add(SingleClaimTimeout)
}

// Offer puts a snapshot in force or refuses it with a code. If the snapshot is
// already in force, Offer succeeds without a change.
func (g *Gate) Offer(now time.Time, v Version) result.Code {
	if v == g.current && v.Revision > 0 {
		return result.OK
	}
	if g.firstOffer.IsZero() {
		g.firstOffer = now
	}
	if v.Revision == 0 || v.Revision < g.MinRevision(now, v.Revision) {
		return result.RevisionTooLow
	}
	if v.Revision == g.current.Revision {
		g.countConflict(v)
		if v.Less(g.current) {
			return result.RevisionConflict
		}
	}
	g.accept(v)
	return result.OK
}

// countConflict counts a conflict once, however often the snapshot is offered.
func (g *Gate) countConflict(v Version) {
	if g.conflictDigests[v.Digest] || len(g.conflictDigests) >= maxConflictDigests {
		return
	}
	if g.conflictDigests == nil {
		g.conflictDigests = make(map[uint64]bool)
	}
	g.conflictDigests[v.Digest], g.conflictDigests[g.current.Digest] = true, true
	g.conflicts++
}

func (g *Gate) accept(v Version) {
	if v.Revision > g.current.Revision {
		g.conflictDigests = nil
	}
	if g.highestClaim > maxClaimFor(v.Revision) {
		g.highestClaim = 0
		g.ignored++
	}
	g.current = v
	g.claims = nil
}
