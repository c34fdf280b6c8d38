// Package permits lets the entries share the rate of a target that names the requests a
// second which it takes from all of them, and that has no process beside it which bounds
// them. An entry asks the owner of the target for a permit before it sends a request.
// Package ratelimit decides who owns a target and which asks are granted.
package permits

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// replyTimeout is how long after the wait of an ask its reply may arrive. An entry
	// that has stopped or is cut off must not hold requests for long.
	replyTimeout = 300 * time.Millisecond
	// lostRetryAfter is when an ask without a reply is worth repeating.
	lostRetryAfter = 250 * time.Millisecond
	// minTimer bounds how often the waiting asks are served.
	minTimer = 2 * time.Millisecond
	// maxLimits bounds the rates that are passed on to entries that connect.
	maxLimits = wire.MaxRateLimits
)

// Mesh is the set of connections with other entries.
type Mesh interface {
	// PermitPeers returns the addresses of this entry and of the connected entries that
	// grant permits, sorted, and the number of known entries.
	PermitPeers() (connected []string, known int)
	// SendTo sends a message to one entry, and SendToAll to all.
	SendTo(address string, x *wire.Items)
	SendToAll(x *wire.Items)
}

// Exchange asks for permits, grants those of the targets that this entry owns, and passes
// on rates. It is safe for concurrent use.
type Exchange struct {
	// Address is the address at which other entries reach this one.
	Address string
	Mesh    Mesh
	// ReceiveRateLimits takes the rates that other entries have learnt.
	ReceiveRateLimits func([]wire.RateLimit)
	Metrics           *telemetry.Metrics

	mu      sync.Mutex
	sharing *ratelimit.Sharing
	// pending holds the asks of this entry without a reply, by their numbers.
	pending map[uint64]*pendingAsk
	// lastNumber begins at random, so that a permit for an ask of an earlier process of this
	// entry matches none.
	lastNumber uint64
	// askOf holds the number of the pending ask of each request.
	askOf map[uint64]uint64
	timer *time.Timer
	// limits holds the rates that this entry knows, with the times they were learnt at.
	limits map[ratelimit.Key]knownLimit
}

type pendingAsk struct {
	requestNumber uint64
	key           ratelimit.Key
	// owner is the entry that was asked.
	owner string
	reply func(granted bool, retryAfter time.Duration)
	timer *time.Timer
}

type knownLimit struct {
	limit wire.RateLimit
	at    time.Time
}

// Start prepares the exchange. It must be called before the other methods.
func (e *Exchange) Start() {
	e.sharing = ratelimit.NewSharing(time.Now(), e.Address)
	e.lastNumber = rand.Uint64()
	e.pending, e.askOf, e.limits = make(map[uint64]*pendingAsk), make(map[uint64]uint64), make(map[ratelimit.Key]knownLimit)
}

// Ask asks the owner of a target for a permit for a request of this entry, which has no
// other pending ask. reply is called once, in any goroutine, unless the ask is withdrawn.
func (e *Exchange) Ask(requestNumber uint64, a ratelimit.Ask, reply func(granted bool, retryAfter time.Duration)) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateMembers(now)
	e.lastNumber++
	a.Number, a.From = e.lastNumber, ""
	if a.Deadline.Before(now) {
		// An ask that may not wait is made a moment after its deadline was set.
		a.Deadline = now
	}
	owner := e.sharing.Owner(a.Key)
	e.askOf[requestNumber] = a.Number
	e.pending[a.Number] = &pendingAsk{requestNumber: requestNumber, key: a.Key, owner: owner, reply: reply, timer: time.AfterFunc(a.Deadline.Sub(now)+replyTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.finish(a.Number, false, lostRetryAfter) {
			e.Metrics.Count("permit_asks_unanswered")
		}
	})}
	e.Metrics.Count("permit_asks")
	if owner != e.Address {
		e.Mesh.SendTo(owner, &wire.Items{PermitAsks: []wire.PermitAsk{{
			Number: a.Number, Target: a.Key.Target, StartedAtMS: a.Key.StartedAtMS, PerSecond: a.Rate, Priority: a.Priority, WaitMS: wire.AgeMS(a.Deadline.Sub(now)),
		}}})
		return
	}
	e.handleAsk(now, a)
}

// Withdraw withdraws the pending ask of a request, if there is one.
func (e *Exchange) Withdraw(requestNumber uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, ok := e.askOf[requestNumber]
	if !ok {
		return
	}
	p := e.pending[number]
	e.remove(number)
	if p.owner == e.Address {
		e.sharing.Withdraw(p.key, "", number)
		return
	}
	e.Mesh.SendTo(p.owner, &wire.Items{PermitAsks: []wire.PermitAsk{{Number: number, Target: p.key.Target, StartedAtMS: p.key.StartedAtMS, Withdrawn: true}}})
}

// remove ends a pending ask. The caller holds mu.
func (e *Exchange) remove(number uint64) {
	p := e.pending[number]
	p.timer.Stop()
	delete(e.pending, number)
	delete(e.askOf, p.requestNumber)
}

// handleAsk answers an ask or lets it wait. The caller holds mu, as for the methods below.
func (e *Exchange) handleAsk(now time.Time, a ratelimit.Ask) {
	e.replyAll(e.sharing.Ask(now, a, a.From == ""))
	e.schedule(now)
}

// updateMembers takes the present connections into account.
func (e *Exchange) updateMembers(now time.Time) {
	connected, known := e.Mesh.PermitPeers()
	e.replyAll(e.sharing.SetMembers(now, connected, known))
}

// schedule serves the waiting asks once there is a permit.
func (e *Exchange) schedule(now time.Time) {
	next, waiting := e.sharing.Next(now)
	if !waiting || e.timer != nil {
		return
	}
	e.timer = time.AfterFunc(max(next, minTimer), func() {
		now := time.Now()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.timer = nil
		e.updateMembers(now)
		e.replyAll(e.sharing.Tick(now))
		e.schedule(now)
	})
}

func (e *Exchange) replyAll(replies []ratelimit.Reply) {
	for _, r := range replies {
		e.reply(r)
	}
}

func (e *Exchange) reply(r ratelimit.Reply) {
	if r.Granted {
		e.Metrics.Count("permits_granted")
	} else {
		e.Metrics.Count("permits_refused")
	}
	if r.Ask.From == "" {
		e.finish(r.Ask.Number, r.Granted, r.RetryAfter)
		return
	}
	e.Mesh.SendTo(r.Ask.From, &wire.Items{Permits: []wire.Permit{{Number: r.Ask.Number, Granted: r.Granted, RetryAfterMS: wire.AgeMS(r.RetryAfter)}}})
}

// finish passes on the reply to an ask of this entry. It returns false if there was one
// already.
func (e *Exchange) finish(number uint64, granted bool, retryAfter time.Duration) bool {
	p, ok := e.pending[number]
	if !ok {
		return false
	}
	e.remove(number)
	p.reply(granted, retryAfter)
	return true
}

// Receive handles a message from the entry at an address.
func (e *Exchange) Receive(from string, x *wire.Items) {
	x.BoundRateLimits()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateMembers(now)
	for _, a := range x.PermitAsks {
		key := ratelimit.Key{Target: a.Target, StartedAtMS: a.StartedAtMS}
		if a.Withdrawn {
			e.sharing.Withdraw(key, from, a.Number)
			continue
		}
		e.handleAsk(now, ratelimit.Ask{
			Key: key, Rate: a.PerSecond, From: from, Number: a.Number, Priority: a.Priority,
			Deadline: now.Add(wire.Age(a.WaitMS)),
		})
	}
	for _, p := range x.Permits {
		if ask, ok := e.pending[p.Number]; ok && ask.owner != from {
			e.Metrics.Count("permits_of_other_owners")
			continue
		}
		if !e.finish(p.Number, p.Granted, wire.Age(p.RetryAfterMS)) && p.Granted {
			e.Metrics.Count("permits_unused")
		}
	}
	for _, l := range x.RateLimits {
		e.remember(now, l)
	}
	if len(x.RateLimits) > 0 {
		e.ReceiveRateLimits(x.RateLimits)
	}
}

// Broadcast passes on a rate that this entry has learnt.
func (e *Exchange) Broadcast(l wire.RateLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remember(time.Now(), l)
	e.Mesh.SendToAll(&wire.Items{RateLimits: []wire.RateLimit{l}})
}

// remember keeps a rate for entries that connect later.
func (e *Exchange) remember(now time.Time, l wire.RateLimit) {
	k := ratelimit.Key{Target: l.Target, StartedAtMS: l.StartedAtMS}
	at := now.Add(-wire.Age(l.AgeMS))
	if known, ok := e.limits[k]; ok && at.Before(known.at.Add(-wire.Age(known.limit.AgeMS))) {
		return
	}
	if _, ok := e.limits[k]; !ok && len(e.limits) >= maxLimits {
		e.forgetOldest()
	}
	e.limits[k] = knownLimit{limit: l, at: now}
}

// forgetOldest drops the rate that was named longest ago.
func (e *Exchange) forgetOldest() {
	var oldest ratelimit.Key
	var at time.Time
	for k, known := range e.limits {
		if named := known.at.Add(-wire.Age(known.limit.AgeMS)); at.IsZero() || named.Before(at) {
			oldest, at = k, named
		}
	}
	delete(e.limits, oldest)
}

// Limits returns the rates that this entry knows, for an entry that has just connected.
// Those of targets that isListed does not report are dropped.
func (e *Exchange) Limits(isListed func(ratelimit.Key) bool) []wire.RateLimit {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.limits, func(k ratelimit.Key, _ knownLimit) bool { return !isListed(k) })
	var list []wire.RateLimit
	for _, known := range e.limits {
		l := known.limit
		l.AgeMS, l.SinceMS = wire.AgeMS(wire.Age(l.AgeMS)+now.Sub(known.at)), wire.AgeMS(wire.Age(l.SinceMS)+now.Sub(known.at))
		list = append(list, l)
	}
	return list
}
