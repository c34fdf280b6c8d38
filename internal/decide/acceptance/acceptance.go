// Package acceptance decides whether a process puts a configuration snapshot
// in force. Revisions only go up, also across a restart.
//
// A Gate is a pure state machine used by one goroutine.
package acceptance

import "agatelanding.example/agatelanding/internal/result"

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

// Gate holds the version in force and the highest one heard of.
type Gate struct {
	current   Version
	floor     uint64
	conflicts int
}

// Current returns the version in force; revision 0 means none.
func (g *Gate) Current() Version { return g.current }

// Floor returns the highest revision heard of from any process.
func (g *Gate) Floor() uint64 { return max(g.floor, g.current.Revision) }

// Heard records the revision that a peer holds.
func (g *Gate) Heard(revision uint64) { g.floor = max(g.floor, revision) }

// Behind reports whether a peer holds a newer revision.
func (g *Gate) Behind() bool { return g.floor > g.current.Revision }

// Conflicts counts snapshots that carried a revision in force with other
// content.
func (g *Gate) Conflicts() int { return g.conflicts }

// Offer puts a snapshot in force or refuses it with a code. Offering the
// snapshot in force again changes nothing and succeeds.
func (g *Gate) Offer(v Version) result.Code {
	if v == g.current {
		return result.OK
	}
	if v.Revision < g.Floor() {
		return result.RevisionTooLow
	}
	if v.Revision == g.current.Revision {
		g.conflicts++
		if v.Less(g.current) {
			return result.RevisionConflict
		}
	}
	g.current = v
	return result.OK
}
