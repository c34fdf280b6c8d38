package quota

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// maxAccounts bounds the workspaces in use, and maxPending the asks without a reply.
	maxAccounts = 16_384
	maxPending  = 16_384
)

// Outcome is what becomes of a request.
type Outcome struct {
	// Admitted is true if the request may run. Otherwise it fits after RetryAfter, unless
	// it waits.
	Admitted   bool
	RetryAfter time.Duration
	// Waits is the number of the ask for whose reply the request waits, 0 if for none.
	Waits uint64
	// FromShare is true if the request has used this entry's share of the rate.
	FromShare bool
}

// Done is the outcome of a request that waited for the reply to an ask.
type Done struct {
	Number  uint64
	Outcome Outcome
}

// Message goes to another entry. Either Ask, Grant or Fleet is not nil.
type Message struct {
	To    string
	Ask   *wire.QuotaAsk
	Grant *wire.QuotaGrant
	Fleet *wire.FleetSize
}

// pending is an ask of this entry without a reply.
type pending struct {
	account *account
	owner   string
	sentAt  time.Time
	// needed are the units of the request that waits, if waits is true. It may have ended
	// before the reply. expected are those for further requests.
	needed, expected float64
	waits            bool
	unanswered       bool
}

// Config is what an entry needs to know of itself.
type Config struct {
	// Self is the address of this entry.
	Self string
	// FirstNumber is higher than the numbers of all asks before the last start.
	FirstNumber uint64
	Bounds      Bounds
	// QuotaOf returns the quota of a workspace in the configuration in force, the zero
	// value if it has none.
	QuotaOf  func(workspace string) catalog.Quota
	Recorder Recorder
}

// Entry is the part of one entry in the quotas of workspaces.
type Entry struct {
	cfg       Config
	startedAt time.Time
	tickedAt  time.Time
	owner     *Owner
	accounts  map[string]*account
	pending   map[uint64]*pending
	last      uint64
	// view changes with the connections.
	view uint64
	out  []Message
}

// NewEntry returns the part of an entry that starts now.
func NewEntry(now time.Time, cfg Config) *Entry {
	if cfg.Bounds.Window <= 0 {
		cfg.Bounds = DefaultBounds
	}
	e := &Entry{
		cfg: cfg, startedAt: now, tickedAt: now, owner: newOwner(now, cfg.Self, cfg.Bounds, cfg.Recorder),
		accounts: make(map[string]*account), pending: make(map[uint64]*pending), last: cfg.FirstNumber, view: 1,
	}
	e.owner.nextNumber = func() uint64 {
		e.last++
		return e.last
	}
	return e
}

// SetBounds changes the bounds.
func (e *Entry) SetBounds(b Bounds) {
	if b.Window <= 0 {
		b = DefaultBounds
	}
	e.cfg.Bounds, e.owner.bounds = b, b
}

// Messages returns the messages to send since the last call.
func (e *Entry) Messages() []Message {
	out := append(e.out, e.owner.claimed...)
	e.out, e.owner.claimed = nil, nil
	return out
}

// Charge charges units to a workspace with a limited quota.
func (e *Entry) Charge(now time.Time, workspace string, q catalog.Quota, units float64) Outcome {
	e.wake(now)
	if !(units > 0) {
		return Outcome{Admitted: true}
	}
	if units > q.Burst+e.cfg.Bounds.maxDebt(q) {
		// It never fits, and counts toward no demand.
		return e.refuse(e.cfg.Bounds.Window)
	}
	a := e.accounts[workspace]
	if a == nil {
		if len(e.accounts) >= maxAccounts {
			return e.refuse(time.Second)
		}
		a = newAccount(now, e.startedAt, workspace)
		e.accounts[workspace] = a
	}
	a.quota = q
	a.note(now, units)
	e.endLease(now, a)
	_, hasOwner := e.ownerOf(a)
	if a.takeLease(now, units) {
		if hasOwner && !a.fellBack && a.isDue(now) {
			e.ask(now, a, 0)
		}
		return Outcome{Admitted: true}
	}
	sinceAsk := now.Sub(a.askedAt)
	if !hasOwner || a.fellBack && sinceAsk < retryInterval || len(e.pending) >= maxPending {
		if hasOwner && sinceAsk >= probeInterval {
			e.ask(now, a, 0)
			// If this entry is the owner, it has replied.
			if a.takeLease(now, units) {
				return Outcome{Admitted: true}
			}
		}
		return e.useShare(now, a, units)
	}
	if wait := a.refusedUntil.Sub(now); wait > 0 {
		return e.refuse(wait)
	}
	return e.ask(now, a, units)
}

// endLease returns what is left of a lease that has expired.
func (e *Entry) endLease(now time.Time, a *account) {
	if a.hasLease(now) {
		return
	}
	if owner, ok := e.ownerOf(a); ok && a.lease >= 1 {
		e.giveBack(now, a.name, owner, a.lease)
	}
	a.lease = 0
}

// giveBack returns units to an owner.
func (e *Entry) giveBack(now time.Time, workspace, owner string, units float64) {
	e.last++
	e.cfg.Recorder.Count("quota_refunds")
	e.send(now, owner, &wire.QuotaAsk{Number: e.last, Workspace: workspace, Returned: units})
}

// ownerOf returns the entry to ask for units of a workspace, if there is one.
func (e *Entry) ownerOf(a *account) (string, bool) {
	if a.view != e.view {
		owner, hasOwner := e.owner.owner(a.name)
		// Another owner may reply.
		a.fellBack = a.fellBack && owner == a.owner && hasOwner == a.hasOwner
		a.owner, a.hasOwner = owner, hasOwner
		a.view = e.view
	}
	return a.owner, a.hasOwner
}

// ask asks the owner for the units of a request, if needed is not 0, and for a lease.
func (e *Entry) ask(now time.Time, a *account, needed float64) Outcome {
	e.last++
	owner, _ := e.ownerOf(a)
	p := &pending{account: a, owner: owner, sentAt: now, needed: needed, waits: needed > 0}
	ask := &wire.QuotaAsk{Number: e.last, Workspace: a.name, Needed: needed, Held: a.expected}
	if a.hasLease(now) {
		ask.Held += a.lease
	}
	if a.expected == 0 {
		p.expected = a.want()
		ask.Expected, a.expected = p.expected, p.expected
	}
	a.askedAt = now
	e.pending[e.last] = p
	e.cfg.Recorder.Count("quota_asks")
	number := e.last
	if done := e.send(now, p.owner, ask); done != nil {
		return done.Outcome
	}
	return Outcome{Waits: number}
}

// send sends an ask. If this entry is the owner, it returns the outcome of the request.
func (e *Entry) send(now time.Time, owner string, ask *wire.QuotaAsk) *Done {
	if owner != e.cfg.Self {
		e.out = append(e.out, Message{To: owner, Ask: ask})
		return nil
	}
	if g, reply := e.owner.ask(now, owner, ask, e.cfg.QuotaOf(ask.Workspace)); reply {
		return e.ReceiveGrant(now, owner, &g)
	}
	return nil
}

// refuse refuses a request.
func (e *Entry) refuse(retryAfter time.Duration) Outcome {
	e.cfg.Recorder.Count("quota_refusals")
	return Outcome{RetryAfter: retryAfter}
}

// useShare decides a request without the owner.
func (e *Entry) useShare(now time.Time, a *account, units float64) Outcome {
	e.cfg.Recorder.Count("quota_fallbacks")
	retryAfter, ok := a.takeShare(now, e.owner.entries(), units)
	if !ok {
		if now.Sub(e.startedAt) < youngTime {
			return e.refuse(min(retryAfter, youngRetryAfter))
		}
		return e.refuse(retryAfter)
	}
	return Outcome{Admitted: true, FromShare: true}
}

// fallBack makes an entry spend its share, until a reply.
func (e *Entry) fallBack(a *account) {
	if !a.fellBack {
		a.fellBack = true
		e.cfg.Recorder.FellBack(a.name)
	}
}

// Abandon makes a request no longer wait for the reply to an ask. What is granted to it goes
// into the lease.
func (e *Entry) Abandon(number uint64) {
	if p := e.pending[number]; p != nil {
		p.waits = false
	}
}

// Refund gives back what was charged at a time, for a request that has not run. What this
// entry can't use itself any more goes back to the owner.
func (e *Entry) Refund(now, chargedAt time.Time, workspace string, units float64, fromShare bool) {
	e.wake(now)
	a := e.accounts[workspace]
	switch {
	case a == nil || !(units > 0):
	case fromShare:
		e.cfg.Recorder.Count("quota_refunds")
		perSecond := a.refillShare(now, e.owner.entries())
		a.share = min(a.share+units, perSecond*shareBurst.Seconds())
	case a.hasLease(now) && now.Sub(chargedAt) < LeaseTime:
		e.cfg.Recorder.Count("quota_refunds")
		a.lease += units
	default:
		if owner, ok := e.ownerOf(a); ok {
			e.giveBack(now, workspace, owner, units)
		}
	}
}

// SetMembers sets the entries that this one is connected with and that grant quotas,
// including itself, sorted, and the number of known entries.
func (e *Entry) SetMembers(now time.Time, connected []string, known int) {
	added, changed := e.owner.setMembers(now, connected, known)
	if changed {
		e.view++
	}
	for _, to := range added {
		f := e.owner.fleet
		e.out = append(e.out, Message{To: to, Fleet: &wire.FleetSize{
			Entries: f.entries, AgeMS: wire.AgeMS(now.Sub(f.at)), UptimeMS: wire.AgeMS(now.Sub(e.startedAt) + time.Millisecond),
		}})
	}
}

// wake notices that the process was suspended: another entry may own what this one did.
func (e *Entry) wake(now time.Time) {
	if now.Sub(e.tickedAt) > suspendedAfter {
		e.owner.restart(now)
		e.tickedAt = now
	}
}

// Tick is called each TickInterval. It ends leases and forgets what is no longer needed.
func (e *Entry) Tick(now time.Time) {
	e.wake(now)
	e.tickedAt = now
	for number, p := range e.pending {
		switch age := now.Sub(p.sentAt); {
		case age >= LeaseTime+time.Second:
			delete(e.pending, number)
		case age >= AnswerTimeout && !p.waits:
			e.missReply(p)
		}
	}
	for name, a := range e.accounts {
		e.endLease(now, a)
		if now.Sub(a.usedAt) > accountTTL {
			delete(e.accounts, name)
		}
	}
	e.owner.tick(now)
}
