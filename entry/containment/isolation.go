package containment

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/relay"
)

// Isolate returns the targets at which another suspected request of this entry is under
// way, if the request itself is suspected: one at a time at a target, the next crash or
// answer tells them apart.
func (g *Guard) Isolate(r relay.Identity) (avoided []string) {
	if g.suspectedRequests.Load() == 0 {
		return nil
	}
	digest := digestParts(r)[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.requests.Suspected(digest) {
		return nil
	}
	for target := range g.suspectsAt {
		if g.hasOtherSuspect(target, digest) {
			avoided = append(avoided, target)
		}
	}
	return avoided
}

// hasOtherSuspect reports whether another suspected request of this entry is under way at a
// target. The caller holds mu.
func (g *Guard) hasOtherSuspect(targetID string, digest quarantine.Part) bool {
	suspects := g.suspectsAt[targetID]
	return len(suspects) > 1 || len(suspects) == 1 && suspects[digest] == 0
}

// Turn returns how a request that may have crashed targets may be sent now. It waits while
// a suspect with an earlier turn is still under way at its target: a crash there would count
// against both.
func (g *Guard) Turn(r relay.Identity, pool string) quarantine.Turn {
	if g.suspectedRequests.Load()+g.quarantinedRequests.Load() == 0 {
		return quarantine.Turn{}
	}
	var listed []quarantine.Incarnation
	for _, t := range g.cfg.Targets(pool) {
		if !g.leaving(t) {
			listed = append(listed, incarnationOf(t))
		}
	}
	digest := digestParts(r)[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	turn := g.requests.Turn(g.cfg.Now(), digest, pool, listed)
	if g.hasOtherSuspect(turn.Target, digest) {
		turn.Target, turn.Wait = "", true
	}
	return turn
}

// Permit asks the entries for a permit to send a request that may have crashed targets.
func (g *Guard) Permit(r relay.Identity, deadline time.Time) (granted bool, retryAfter time.Duration) {
	type reply struct {
		granted    bool
		retryAfter time.Duration
	}
	replied := make(chan reply, 1)
	g.cfg.AskPermit(g.lastAsk.Add(1), ratelimit.Ask{
		Key: ratelimit.Key{Target: string(digestParts(r)[0])}, Rate: quarantine.TrialRate, Deadline: deadline,
	}, func(granted bool, retryAfter time.Duration) { replied <- reply{granted, retryAfter} })
	// The exchange of permits replies soon after the deadline at the latest.
	x := <-replied
	return x.granted, x.retryAfter
}

// Sent records that a request is under way at a target until done is called. Only
// suspected requests are counted.
func (g *Guard) Sent(r relay.Identity, targetID string) (done func()) {
	if g.suspectedRequests.Load() == 0 {
		return func() {}
	}
	digest := digestParts(r)[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.requests.Suspected(digest) {
		return func() {}
	}
	if g.suspectsAt[targetID] == nil {
		g.suspectsAt[targetID] = make(map[quarantine.Part]int)
	}
	g.suspectsAt[targetID][digest]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		suspects := g.suspectsAt[targetID]
		if suspects[digest]--; suspects[digest] <= 0 {
			delete(suspects, digest)
		}
		if len(suspects) == 0 {
			delete(g.suspectsAt, targetID)
		}
	}
}
