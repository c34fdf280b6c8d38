package quota

import (
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// ReceiveAsk handles an ask of another entry.
func (e *Entry) ReceiveAsk(now time.Time, from string, a *wire.QuotaAsk) {
	e.wake(now)
	if a.Claim {
		g := e.owner.judge(from, a)
		e.out = append(e.out, Message{To: from, Grant: &g})
		return
	}
	if g, reply := e.owner.ask(now, from, a, e.cfg.QuotaOf(a.Workspace)); reply {
		e.out = append(e.out, Message{To: from, Grant: &g})
	}
}

// ReceiveGrant handles the reply to an ask. It returns nil if no request waits for it.
func (e *Entry) ReceiveGrant(now time.Time, from string, g *wire.QuotaGrant) *Done {
	e.wake(now)
	if e.owner.judged(now, g) {
		return nil
	}
	p := e.pending[g.Number]
	if p == nil || p.owner != from {
		return nil
	}
	delete(e.pending, g.Number)
	a := p.account
	if p.expected > 0 && !p.unanswered {
		a.expected = 0
	}
	// A faulty owner grants no more than it was asked for.
	units := min(g.Units, p.needed+p.expected)
	if now.Sub(p.sentAt) >= LeaseTime {
		// The owner may have counted the lease as spent, or another one may grant.
		if units > 0 {
			e.giveBack(now, a.name, p.owner, units)
		}
		if p.waits {
			return &Done{g.Number, e.useShare(now, a, p.needed)}
		}
		return nil
	}
	if g.NotOwner {
		e.fallBack(a)
		if p.waits {
			return &Done{g.Number, e.useShare(now, a, p.needed)}
		}
		return nil
	}
	a.fellBack = false
	if g.Full {
		a.refusedUntil = now.Add(max(wire.Age(g.RetryAfterMS), minRefusal))
	}
	admitted := p.waits && g.Granted && units >= p.needed
	if admitted {
		units -= p.needed
	}
	if g.Units > 0 {
		e.endLease(now, a)
		a.addLease(now, p.sentAt, units)
	}
	switch {
	case admitted:
		return &Done{g.Number, Outcome{Admitted: true}}
	case p.waits:
		return &Done{g.Number, e.refuse(max(wire.Age(g.RetryAfterMS), time.Millisecond))}
	}
	return nil
}

// ReceiveFleetSize takes how many entries another one knew, and for how long that has run.
func (e *Entry) ReceiveFleetSize(now time.Time, from string, f *wire.FleetSize) {
	e.owner.fleet.set(now, now.Add(-wire.Age(f.AgeMS)), f.Entries)
	delete(e.owner.startedAt, from)
	if f.UptimeMS > 0 && wire.Age(f.UptimeMS) < youngTime {
		e.owner.startedAt[from] = now.Add(-wire.Age(f.UptimeMS))
	}
}

// Unanswered decides a request that has waited AnswerTimeout for the reply to an ask. It
// returns false if there was one.
func (e *Entry) Unanswered(now time.Time, number uint64) (Outcome, bool) {
	e.wake(now)
	p := e.pending[number]
	if p == nil || !p.waits {
		return Outcome{}, false
	}
	p.waits = false
	e.missReply(p)
	return e.useShare(now, p.account, p.needed), true
}

func (e *Entry) missReply(p *pending) {
	if !p.unanswered {
		p.unanswered = true
		if p.expected > 0 {
			p.account.expected = 0
		}
		e.cfg.Recorder.Count("quota_asks_unanswered")
		e.fallBack(p.account)
	}
}
