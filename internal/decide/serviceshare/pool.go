package serviceshare

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the average of the demand and of the requests at
	// a target.
	demandTime = time.Second
	// refreshInterval is how often the shares are computed anew from this entry's own
	// demand. Reports of others apply at once.
	refreshInterval = 100 * time.Millisecond
	// A target is assumed to queue as many requests beyond its slots as queuePart of them,
	// but at least minQueue. The number is not published.
	queuePart = 0.25
	minQueue  = 1
	// burstDeviations is how many standard deviations above the mean demand stay free at a
	// target before an entry may exceed its share there. The number of requests is assumed
	// to vary like a Poisson variable.
	burstDeviations = 2
	// minPart is the smallest part of the time for which an entry may use its only place,
	// and the smallest part of a further place that is used at all.
	minPart = 0.1
	// burstPart times the square root of its demand is what an entry may have beyond its
	// part while all demands fit. Without it, requests of an entry that arrive together wait
	// although the targets have room.
	burstPart = 0.5
	// maxPartWait bounds the time for which a part-time place stays unused.
	maxPartWait = 500 * time.Millisecond
	// After a rejection this entry sends no request to the target for a random time around
	// minFullTime. It doubles with each further rejection, up to maxFullTime, and halves
	// with each answer. With 100 ms, more than 2% were rejected while a target that has
	// stopped was still listed.
	minFullTime = 200 * time.Millisecond
	maxFullTime = 800 * time.Millisecond
	// A rejection lowers the part of its places that an entry uses by trustPerRejection, down
	// to minTrust, and trustPerSecond restores it. An entry that sends 10 requests a second
	// then settles at about 2% of them rejected where targets queue fewer requests than
	// assumed. At minTrust the entries together still fill the slots. Of the rejections
	// within rejectionInterval one counts, because the other entries adapt as well.
	minTrust          = 0.8
	trustPerRejection = 0.05
	trustPerSecond    = 0.01
	rejectionInterval = time.Second
	// holdingWeight is the weight of one request in the average time at a target.
	holdingWeight = 0.1
	// minShare is the smallest part of a target's places that counts as a share of it.
	minShare = 0.05
)

// Target is a target of a pool that accepts requests. Bound is the largest number of
// requests that this entry has there at once.
type Target struct {
	ID    string
	Slots int
	Bound int
}

// Pool is this entry's share of the targets of one pool.
type Pool struct {
	fleet   *Fleet
	name    string
	random  func() float64
	targets []Target
	// targetsAt is when the targets were last set.
	targetsAt time.Time
	states    map[string]*targetState
	running   int
	queued    int
	demand    average
	// holding is the average time of a request at a target, 0 before the first one.
	holding time.Duration
	// governed is false while the demand of all entries leaves room for as many requests
	// as this entry may have at all. places is then the sum of the bounds; otherwise it is
	// the number of requests that this entry may have at once. Its fraction is a place
	// that is used for that part of the time: partUsedSince is when it was last taken, and
	// it is free from partFreeAt.
	governed      bool
	places        float64
	partUsedSince time.Time
	partFreeAt    time.Time
	refreshedAt   time.Time
	// trust is the part of its places that this entry uses. A rejection lowers it.
	trust   float64
	trustAt time.Time
	// rejectedAt is when a rejection last lowered trust, and boundUntil when the shares bound
	// no longer.
	rejectedAt, boundUntil time.Time
	version                int
}

// targetState is the use of one target by this entry. share is its part of the target's
// places, and room what an entry may have beyond.
type targetState struct {
	running     int
	used        average
	share, room float64
	fullTime    time.Duration
	fullUntil   time.Time
}

// average is a decaying time average of a quantity.
type average struct {
	mean, value float64
	at          time.Time
}

func (a *average) read(now time.Time) float64 {
	if dt := now.Sub(a.at); dt > 0 {
		a.mean = a.value + (a.mean-a.value)*math.Exp(-dt.Seconds()/demandTime.Seconds())
		a.at = now
	}
	return a.mean
}

func (a *average) set(now time.Time, value float64) {
	a.read(now)
	a.value = value
}

// Pool returns the share of a pool, which is created at its first use. random returns a
// number in [0, 1).
func (f *Fleet) Pool(now time.Time, name string, random func() float64) *Pool {
	p, ok := f.pools[name]
	if !ok {
		p = &Pool{fleet: f, name: name, random: random, states: make(map[string]*targetState), trust: 1, trustAt: now, demand: average{at: now}}
		f.pools[name] = p
	}
	return p
}

// KeepPools drops the pools that keep does not report and that have no requests. The
// targets of the others may have changed.
func (f *Fleet) KeepPools(keep func(name string) bool) {
	for name, p := range f.pools {
		p.targetsAt = time.Time{}
		if !keep(name) && p.running == 0 && p.queued == 0 {
			delete(f.pools, name)
		}
	}
}

// SetTargets sets the targets that accept requests, in an order that is the same at all
// entries.
func (p *Pool) SetTargets(now time.Time, targets []Target) {
	p.targetsAt = now
	if slices.Equal(targets, p.targets) {
		return
	}
	p.targets = slices.Clone(targets)
	for _, t := range targets {
		p.state(now, t.ID)
	}
	for id, x := range p.states {
		if x.running == 0 && !slices.ContainsFunc(targets, func(t Target) bool { return t.ID == id }) {
			delete(p.states, id)
		}
	}
	p.refresh(now)
}

// IsCurrent reports whether the targets were set at this time and may not have changed.
func (p *Pool) IsCurrent(now time.Time) bool { return p.targetsAt.Equal(now) }

func (p *Pool) state(now time.Time, id string) *targetState {
	x, ok := p.states[id]
	if !ok {
		x = &targetState{used: average{at: now}}
		p.states[id] = x
	}
	return x
}

// AddQueued changes the number of requests in this entry's queue.
func (p *Pool) AddQueued(now time.Time, change int) {
	p.queued += change
	p.demand.set(now, float64(p.running+p.queued))
}

// Started records a request that is sent to a target.
func (p *Pool) Started(now time.Time, id string) {
	x := p.state(now, id)
	x.running++
	p.running++
	if p.partUsedSince.IsZero() && p.running > int(p.places) {
		p.partUsedSince = now
	}
	x.used.set(now, float64(x.running))
	p.demand.set(now, float64(p.running+p.queued))
}

// Ended records the end of a request that was at a target for a time. declined is true if
// the target rejected it, answered if it sent an answer.
func (p *Pool) Ended(now time.Time, id string, held time.Duration, declined, answered bool) {
	x := p.state(now, id)
	x.running = max(0, x.running-1)
	p.running = max(0, p.running-1)
	x.used.set(now, float64(x.running))
	p.demand.set(now, float64(p.running+p.queued))
	if !p.partUsedSince.IsZero() && p.running <= int(p.places) {
		part := max(minPart, p.places-math.Floor(p.places))
		pause := time.Duration(float64(now.Sub(p.partUsedSince)) * (1 - part) / part)
		p.partUsedSince, p.partFreeAt = time.Time{}, now.Add(min(pause, maxPartWait))
	}
	switch {
	case declined:
		p.boundUntil = now.Add(p.fleet.BindTime)
		if now.Sub(p.rejectedAt) >= rejectionInterval {
			p.trust, p.rejectedAt = max(minTrust, p.trust-trustPerRejection), now
		}
		x.fullTime = max(minFullTime, min(2*x.fullTime, maxFullTime))
		x.fullUntil = now.Add(time.Duration((0.5 + p.random()) * float64(x.fullTime)))
	case answered:
		x.fullTime /= 2
		if p.holding == 0 {
			p.holding = held
		}
		p.holding += time.Duration(holdingWeight * float64(held-p.holding))
	}
}

func (p *Pool) demandAt(now time.Time) float64 { return p.demand.read(now) }

// update computes the shares anew if they may have changed.
func (p *Pool) update(now time.Time) {
	if p.version != p.fleet.version || now.Sub(p.refreshedAt) >= refreshInterval {
		p.refresh(now)
	}
}

// refresh divides the places of the targets among the entries.
func (p *Pool) refresh(now time.Time) {
	p.version, p.refreshedAt = p.fleet.version, now
	p.governed = false
	bounds, total := 0, 0.0
	counted := p.fleet.counted()
	budgets := make([]float64, len(p.targets))
	for i, t := range p.targets {
		bounds += t.Bound
		if t.Slots <= 0 {
			p.places = math.Inf(1)
			return
		}
		budgets[i] = counted * (float64(t.Slots) + max(minQueue, queuePart*float64(t.Slots)))
		total += budgets[i]
	}
	p.places = float64(bounds)
	if len(p.targets) == 0 {
		p.places = math.Inf(1)
	}
	if p.fleet.known == 1 || len(p.targets) == 0 || p.fleet.BindTime > 0 && !now.Before(p.boundUntil) {
		return
	}
	own := p.demandAt(now)
	demands, self := p.fleet.demandsFor(p.name, own)
	sum := 0.0
	for _, d := range demands {
		sum += d
	}
	level := waterLevel(demands, total)
	used := min(sum, total)
	scale := 1.0
	if used > 0 {
		scale = total / used
	}
	p.assign(now, division{demands: demands, self: self, level: level, scale: scale, budgets: budgets, total: total})
	rooms := 0.0
	for i, t := range p.targets {
		x, mean := p.state(now, t.ID), used/total*budgets[i]
		x.room = max(0, budgets[i]-mean-burstDeviations*math.Sqrt(mean))
		rooms += x.room
		if min(own, level)*budgets[i]/total+x.room < float64(t.Bound) {
			p.governed = true
		}
	}
	if !p.governed {
		return
	}
	p.trust = min(1, p.trust+trustPerSecond*now.Sub(p.trustAt).Seconds())
	p.trustAt = now
	if own >= level {
		p.places = max(p.trust*level, minPart)
	} else {
		p.places = max(1, p.trust*scale*own+p.trust*burstPart*math.Sqrt(own), own+p.trust*rooms)
	}
	p.places = min(p.places, float64(bounds))
}

// Governed reports whether the share bounds this entry's requests.
func (p *Pool) Governed(now time.Time) bool {
	p.update(now)
	return p.governed
}

// MayStart reports whether this entry may send one more request. If not, next is when it
// may at the latest without a request having ended, zero if not before.
func (p *Pool) MayStart(now time.Time) (ok bool, next time.Time) {
	p.update(now)
	whole := math.Floor(p.places)
	part := p.places - whole
	switch {
	case !p.governed || float64(p.running) < whole:
		return true, time.Time{}
	case float64(p.running) > whole || part < minPart:
		return false, time.Time{}
	case now.Before(p.partFreeAt):
		return false, p.partFreeAt
	}
	return true, time.Time{}
}

// FullUntil returns the time until which the target gets no requests because it rejected
// one.
func (p *Pool) FullUntil(id string) time.Time {
	if x, ok := p.states[id]; ok && p.governed {
		return x.fullUntil
	}
	return time.Time{}
}

// HasShare reports whether this entry has a share of a target.
func (p *Pool) HasShare(id string) bool {
	x, ok := p.states[id]
	return ok && x.share+x.room/2 >= minShare
}

// Load returns the use of a target by this entry in relation to its share, to compare
// targets.
func (p *Pool) Load(now time.Time, id string) float64 {
	x := p.state(now, id)
	return (float64(x.running) + x.used.read(now)) / max(minShare, x.share+x.room/2)
}

// Wait returns the expected time until a request starts that has ahead others before it in
// the queue, 0 if it is not known.
func (p *Pool) Wait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(p.holding) / max(minPart, p.places))
}

// Holding returns the average time of a request at a target, 0 if it is not known.
func (p *Pool) Holding() time.Duration { return p.holding }

// Status describes the use of one target by this entry.
type Status struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// Bounded is true while the shares bound this entry's requests. Share is its part of
	// the places of the target, and Running the requests that it has there.
	Bounded bool    `json:"bounded"`
	Share   float64 `json:"share"`
	Running int     `json:"running"`
}

// Status returns the share and the use of each target.
func (f *Fleet) Status(now time.Time) []Status {
	var list []Status
	for name, p := range f.pools {
		p.update(now)
		for _, t := range p.targets {
			x := p.state(now, t.ID)
			share := float64(t.Bound)
			if p.governed {
				share = min(share, x.share)
			}
			list = append(list, Status{Pool: name, Target: t.ID, Bounded: p.governed, Share: math.Round(100*share) / 100, Running: x.running})
		}
	}
	return list
}
