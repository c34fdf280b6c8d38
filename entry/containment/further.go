package containment

import (
	"slices"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
)

// Entries exchange the first parts of each suspect at once. The further parts of long prompts
// follow within a budget, those that another crash shares first: a part that crashes targets is
// among them from its second crash on, and they are few.

const (
	// furtherBurst is what an entry may send of further parts at once, and furtherRate the
	// bytes a second that all entries together may send for long, of which an entry has at least
	// minFurtherRate.
	furtherBurst   = 32 << 10
	furtherRate    = 256 << 10
	minFurtherRate = 1 << 10
	// maxPieceBytes bounds the further parts in one record, and minFreeBytes is the budget from
	// which on some are sent.
	maxPieceBytes = 4 << 10
	minFreeBytes  = 1 << 10
	// maxUntoldParts bounds the further parts that wait.
	maxUntoldParts = 1 << 15
)

// untoldParts are further parts of one suspect of a crash.
type untoldParts struct {
	crash   quarantine.Crash
	suspect quarantine.Suspect
}

// byteBudget is a number of bytes that grows with time. The zero value is full.
type byteBudget struct {
	used float64
	at   time.Time
}

// free returns the bytes that may be sent now.
func (b *byteBudget) free(now time.Time, entries int) int {
	rate := max(minFurtherRate, furtherRate/float64(max(1, entries)))
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.used, b.at = max(0, b.used-rate*elapsed.Seconds()), now
	}
	return furtherBurst - int(b.used)
}

// pieceOf returns a record with some of the further parts of a suspect.
func pieceOf(c quarantine.Crash, s quarantine.Suspect, further []quarantine.FurtherPart) quarantine.Crash {
	s = s.Leading()
	s.Further = further
	c.Suspects = []quarantine.Suspect{s}
	return c
}

// inPieces returns the further parts of a record in records of up to maxPieceBytes.
func inPieces(c quarantine.Crash) (pieces []quarantine.Crash) {
	for _, s := range c.Suspects {
		for rest := s.AllFurther(); len(rest) > 0; {
			n := fitting(rest, maxPieceBytes)
			pieces = append(pieces, pieceOf(c, s, rest[:n]))
			rest = rest[n:]
		}
	}
	return pieces
}

// fitting returns how many of the first parts take up to maxBytes, at least one.
func fitting(list []quarantine.FurtherPart, maxBytes int) int {
	size := 0
	for i, f := range list {
		if size += furtherSize(f); i > 0 && size > maxBytes {
			return i
		}
	}
	return len(list)
}

// furtherSize returns about how many bytes a further part takes in a message.
func furtherSize(f quarantine.FurtherPart) int { return len(f.Part) + 2 }

// addUntold adds the further parts of the suspects of a crash at this entry. The caller holds mu.
func (g *Guard) addUntold(c quarantine.Crash) {
	for _, s := range c.Suspects {
		further := s.AllFurther()
		if len(further) == 0 {
			continue
		}
		for i := range further {
			// The IDs are parts of the head of a request, which is not kept.
			further[i].Part = quarantine.Part(strings.Clone(string(further[i].Part)))
		}
		u := &untoldParts{crash: c, suspect: s.Leading()}
		u.crash.Suspects, u.suspect.Further = nil, further
		g.untold = append(g.untold, u)
	}
	total := 0
	for i, u := range slices.Backward(g.untold) {
		if total += len(u.suspect.Further); total > maxUntoldParts {
			g.furtherDropped(u.crash.Target, len(u.suspect.Further), "too many wait for other entries")
			g.untold = slices.Delete(g.untold, 0, i+1)
			return
		}
	}
}

// furtherDropped records that further parts of suspects are not considered, or not sent to
// other entries.
func (g *Guard) furtherDropped(target string, parts int, reason string) {
	g.cfg.Metrics.Count("further_parts_dropped")
	g.cfg.Log.With("target", target).With("parts", parts).With("reason", reason).Warn("parts of long prompts were dropped")
}

// takeUntold returns records of further parts for other entries, within the budget: first the
// parts that another crash shares. The caller holds mu.
func (g *Guard) takeUntold(now time.Time) (pieces []quarantine.Crash) {
	if len(g.untold) == 0 {
		return nil
	}
	explained := g.parts.Explained()
	g.untold = slices.DeleteFunc(g.untold, func(u *untoldParts) bool {
		return now.Sub(u.crash.At) >= quarantine.SharedParts.EvidenceTTL() || slices.Contains(explained, u.crash.Incarnation)
	})
	free := g.furtherBudget.free(now, g.cfg.EntryCount())
	if free < minFreeBytes {
		return nil
	}
	for _, first := range []func(quarantine.Part) bool{g.parts.IsShared, func(quarantine.Part) bool { return true }} {
		for _, u := range g.untold {
			wanted, rest := split(u.suspect.Further, func(f quarantine.FurtherPart) bool { return first(f.Part) })
			for len(wanted) > 0 && free > 0 {
				n := fitting(wanted, min(maxPieceBytes, free))
				piece := wanted[:n]
				wanted = wanted[n:]
				for _, f := range piece {
					free -= furtherSize(f)
					g.furtherBudget.used += float64(furtherSize(f))
				}
				pieces = append(pieces, pieceOf(u.crash, u.suspect, piece))
			}
			u.suspect.Further = inOrder(wanted, rest)
		}
	}
	g.untold = slices.DeleteFunc(g.untold, func(u *untoldParts) bool { return len(u.suspect.Further) == 0 })
	return pieces
}

// inOrder returns the parts of two lists in order of position.
func inOrder(x, y []quarantine.FurtherPart) []quarantine.FurtherPart {
	list := slices.Concat(x, y)
	slices.SortFunc(list, func(a, b quarantine.FurtherPart) int { return a.Position - b.Position })
	return list
}
