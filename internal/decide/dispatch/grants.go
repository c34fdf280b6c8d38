package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// maxGrants bounds the load tokens held. The whole fleet mints 4.5 a second
// and each lives about a second.
const maxGrants = 64

// grantID names a token on one hop. Each token may be used once in the fleet; a
// target that no longer needs it gives it back under the next hop.
type grantID struct {
	minter string
	period int64
	hop    uint8
}

// grants holds the load tokens that wait for a target that needs one.
type grants struct {
	waiting []wire.LoadGrant
	// seen holds every token of the recent past with its expiry, so that a
	// duplicated message does not spend it twice.
	seen map[grantID]int64
}

// grant takes a load token from a target that does not need it.
func (d *Dispatcher) grant(now time.Time, m *wire.LoadGrant) {
	g := &d.grants
	id := grantID{m.Minter, m.Period, m.Hop}
	if _, ok := g.seen[id]; ok {
		d.rec.Count("load_grants_duplicated")
		return
	}
	if m.ExpiresMS <= now.UnixMilli() {
		d.rec.Count("load_grants_expired")
		return
	}
	if len(g.seen) >= maxGrants {
		d.rec.Count("load_grants_over_limit")
		return
	}
	if g.seen == nil {
		g.seen = make(map[grantID]int64)
	}
	g.seen[id] = m.ExpiresMS
	g.waiting = append(g.waiting, *m)
	d.forwardGrants(now)
}

// forwardGrants passes load tokens to the targets with the most urgent need.
func (d *Dispatcher) forwardGrants(now time.Time) {
	g := &d.grants
	if len(g.seen) == 0 {
		return
	}
	ms := now.UnixMilli()
	for id, expires := range g.seen {
		if expires <= ms {
			delete(g.seen, id)
		}
	}
	kept := g.waiting[:0]
	for _, token := range g.waiting {
		if token.ExpiresMS <= ms {
			d.rec.Count("load_grants_expired")
			continue
		}
		needy := d.needy(now, token.Minter)
		if needy == nil {
			kept = append(kept, token)
			continue
		}
		// Counted off until the next report, so that the next token goes
		// to another target if this one wanted only one.
		needy.report.LoadsWaiting--
		grant := token
		d.rec.Count("load_grants_forwarded")
		d.send(needy, &grant)
	}
	g.waiting = slices.Clip(kept)
}

// needy returns the target with the most urgent need of a load; of equal
// ones, the first by name.
func (d *Dispatcher) needy(now time.Time, minter string) *target {
	var best *target
	for _, t := range d.order {
		if t.Name == minter || t.report.LoadsWaiting <= 0 || !d.members.Usable(now, t.Name) {
			continue
		}
		if best == nil || t.report.LoadUrgency > best.report.LoadUrgency {
			best = t
		}
	}
	return best
}
