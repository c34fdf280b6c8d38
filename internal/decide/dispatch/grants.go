package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// maxLoadTokens is the largest number of unexpired load tokens that the entry
// keeps track of. The whole fleet mints 4.5 tokens a second, and each expires
// after about a second.
const maxLoadTokens = 64

// loadTokenID identifies one transfer of a load token. Each token may be used
// once in the fleet. A target that does not need a token sends it to an entry
// with a higher hop number, which distinguishes this transfer from a duplicate
// of an earlier message.
type loadTokenID struct {
	// minter is the target that created the token.
	minter string
	// period is the minting period of the token. It is unique for the
	// minter.
	period int64
	// hop counts how often a target has sent the token on.
	hop uint8
}

// loadTokens holds the load tokens that this entry forwards between targets.
type loadTokens struct {
	// unassigned holds the tokens that no target needs yet.
	unassigned []wire.LoadGrant
	// seen holds the expiry, in Unix milliseconds, of every token received
	// that has not expired, so that a duplicated message is not forwarded
	// twice.
	seen map[loadTokenID]int64
}

// handleLoadGrant accepts a load token from a target that does not need it and
// forwards it to one that does.
func (d *Dispatcher) handleLoadGrant(now time.Time, m *wire.LoadGrant) {
	g := &d.loadTokens
	id := loadTokenID{m.Minter, m.Period, m.Hop}
	if _, ok := g.seen[id]; ok {
		d.rec.Count("load_grants_duplicated")
		return
	}
	if m.ExpiresMS <= now.UnixMilli() {
		d.rec.Count("load_grants_expired")
		return
	}
	if len(g.seen) >= maxLoadTokens {
		d.rec.Count("load_grants_over_limit")
		return
	}
	if g.seen == nil {
		g.seen = make(map[loadTokenID]int64)
	}
	g.seen[id] = m.ExpiresMS
	g.unassigned = append(g.unassigned, *m)
	d.forwardLoadTokens(now)
}

// forwardLoadTokens drops expired load tokens and sends the others to the
// targets with the most urgent need.
func (d *Dispatcher) forwardLoadTokens(now time.Time) {
	g := &d.loadTokens
	if len(g.seen) == 0 {
		return
	}
	nowMS := now.UnixMilli()
	for id, expires := range g.seen {
		if expires <= nowMS {
			delete(g.seen, id)
		}
	}
	kept := g.unassigned[:0]
	for _, token := range g.unassigned {
		if token.ExpiresMS <= nowMS {
			d.rec.Count("load_grants_expired")
			continue
		}
		receiver := d.mostUrgentTarget(now, token.Minter)
		if receiver == nil {
			kept = append(kept, token)
			continue
		}
		// The next load report sets AdapterLoadsWaiting again. Until then,
		// the next token goes to another target if this one needed
		// only one.
		receiver.lastReport.AdapterLoadsWaiting--
		grant := token
		d.rec.Count("load_grants_forwarded")
		d.send(receiver, &grant)
	}
	g.unassigned = slices.Clip(kept)
}

// mostUrgentTarget returns the usable target with the highest load urgency
// that needs a load token and did not mint this one, or nil. Of equal ones it
// returns the first by name.
func (d *Dispatcher) mostUrgentTarget(now time.Time, minter string) *target {
	var best *target
	for _, t := range d.sortedTargets {
		if t.Name == minter || t.lastReport.AdapterLoadsWaiting <= 0 || !d.members.Usable(now, t.Name) {
			continue
		}
		if best == nil || t.lastReport.AdapterLoadUrgency > best.lastReport.AdapterLoadUrgency {
			best = t
		}
	}
	return best
}
