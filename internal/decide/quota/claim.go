package quota

import (
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// claimInterval is the time between two claims of an owner while there are asks. It is no
	// longer than the settle time, after which another entry may grant. claimTime is the time
	// for which the agreement of another entry lasts: some intervals, so that an entry which
	// does not reply takes nothing from the owner.
	claimInterval = 2 * time.Second
	claimTime     = 5 * time.Second
	// idleAfter is the time without asks after which an owner makes no claims.
	idleAfter = claimInterval
	// witnesses is the number of entries that are asked in turn until one replies.
	witnesses = 3
)

// claim is what an owner knows of whether others take it for the owner. Two entries that do
// not reach each other, but the same others, would otherwise both own what one of them does.
// The entry that would be the owner next sees the one before.
//
// Until the first reply an owner trusts itself for AnswerTimeout, because there is no doubt
// as long as all entries reach each other.
type claim struct {
	trustedUntil time.Time
	// number is the last claim, which was sent at sentAt; answered is true after its reply.
	number   uint64
	sentAt   time.Time
	answered bool
	// attempt counts the claims without a reply.
	attempt int
	// refused is true if another entry is the owner, as the last reply says.
	refused bool
}

// isTrusted reports whether this entry may grant from a bucket, and makes a claim if that is
// due.
func (o *Owner) isTrusted(now time.Time, workspace string, b *bucket) bool {
	c := &b.claim
	if len(o.connected) < 2 {
		return true
	}
	if !c.refused && now.Sub(b.askedAt) > idleAfter {
		// It made no claims without asks.
		if until := now.Add(AnswerTimeout); until.After(c.trustedUntil) {
			c.trustedUntil = until
		}
	}
	b.askedAt = now
	o.renew(now, workspace, b)
	return now.Before(c.trustedUntil)
}

// renew makes a claim if it is due.
func (o *Owner) renew(now time.Time, workspace string, b *bucket) {
	c := &b.claim
	interval := claimInterval
	if !c.answered || !now.Before(c.trustedUntil) {
		interval = AnswerTimeout
	}
	if c.number != 0 && now.Sub(c.sentAt) < interval {
		return
	}
	candidates := o.ownership.Candidates(key(workspace), 1+witnesses)
	if len(candidates) < 2 {
		return
	}
	if c.number != 0 && !c.answered {
		c.attempt++
		delete(o.claims, c.number)
	}
	// The first is this entry.
	to := candidates[1+c.attempt%(len(candidates)-1)]
	c.number, c.sentAt, c.answered = o.nextNumber(), now, false
	o.claims[c.number] = workspace
	o.claimed = append(o.claimed, Message{To: to, Ask: &wire.QuotaAsk{Number: c.number, Workspace: workspace, Claim: true}})
}

// judge replies to the claim of another entry.
func (o *Owner) judge(from string, a *wire.QuotaAsk) wire.QuotaGrant {
	owner, ok := o.owner(a.Workspace)
	return wire.QuotaGrant{Number: a.Number, Granted: ok && owner == from, NotOwner: !ok}
}

// judged handles the reply to a claim. It returns false if it is the reply to an ask.
func (o *Owner) judged(now time.Time, g *wire.QuotaGrant) bool {
	workspace, ok := o.claims[g.Number]
	if !ok {
		return false
	}
	delete(o.claims, g.Number)
	b := o.buckets[workspace]
	if b == nil || b.claim.number != g.Number || g.NotOwner {
		return true
	}
	c := &b.claim
	c.answered, c.attempt, c.refused = true, 0, !g.Granted
	switch {
	case c.refused:
		c.trustedUntil = time.Time{}
	case !now.Before(c.sentAt.Add(claimTime)):
	default:
		if !now.Before(c.trustedUntil) {
			// Another entry may have granted units until now.
			b.refill(now)
			b.level = min(b.level, 0)
		}
		c.trustedUntil = c.sentAt.Add(claimTime)
	}
	return true
}
