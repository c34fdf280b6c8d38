package quota

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// maxBuckets bounds the workspaces with a bucket.
	maxBuckets = 16_384
	// maxHolders bounds the entries that an owner remembers for a workspace.
	maxHolders = 1024
	// fleetSizeTTL is how long an entry remembers how many entries there were. The smaller
	// part of a divided fleet does not take itself for all of it before.
	fleetSizeTTL = time.Hour
)

// fleetSize is the largest number of entries that was known within fleetSizeTTL.
type fleetSize struct {
	entries int
	at      time.Time
}

// set records that a number of entries was known at a time.
func (f *fleetSize) set(now, at time.Time, entries int) {
	switch {
	case now.Sub(at) > fleetSizeTTL:
	case now.Sub(f.at) > fleetSizeTTL || entries > f.entries:
		f.entries, f.at = entries, at
	case entries == f.entries && at.After(f.at):
		f.at = at
	}
}

// Owner grants the units of the workspaces that one entry owns.
type Owner struct {
	self      string
	bounds    Bounds
	ownership *ratelimit.Ownership
	connected []string
	// wasConnected is true if this entry has been connected with another since its start.
	wasConnected bool
	fleet        fleetSize
	buckets      map[string]*bucket
	prunedAt     time.Time
	recorder     Recorder
	// startedAt holds when the entries started, as far as they have been running for less
	// than youngTime; that of this entry is there for good.
	startedAt map[string]time.Time
	// claims holds the workspaces of the claims without a reply. claimed are those to send.
	claims  map[uint64]string
	claimed []Message
	// nextNumber returns the number of the next claim.
	nextNumber func() uint64
}

func newOwner(now time.Time, self string, bounds Bounds, r Recorder) *Owner {
	return &Owner{
		self: self, bounds: bounds, ownership: ratelimit.NewOwnership(now, self), connected: []string{self},
		fleet: fleetSize{1, now}, buckets: make(map[string]*bucket), prunedAt: now, recorder: r,
		claims: make(map[uint64]string), startedAt: map[string]time.Time{self: now},
	}
}

// settleTime returns how long this entry waits before it grants what another one may have
// granted. After the loss of all entries nobody has granted anything: most of the fleet is
// connected, and has started a moment ago.
func (o *Owner) settleTime(now time.Time) time.Duration {
	for _, c := range o.connected {
		if started, ok := o.startedAt[c]; !ok || now.Sub(started) > youngTime {
			return ratelimit.SettleTime
		}
	}
	return 0
}

func key(workspace string) ratelimit.Key { return ratelimit.Key{Target: workspace} }

// setMembers sets the entries that this one is connected with and that grant quotas,
// including itself, sorted, and the number of known entries. It returns the entries that it
// was not connected with, and whether owners may have changed.
func (o *Owner) setMembers(now time.Time, connected []string, known int) (added []string, changed bool) {
	alone := o.ownership.Alone()
	o.fleet.set(now, now, known)
	o.ownership.SetMembers(now, connected, max(known, o.fleet.entries))
	changed = alone != o.ownership.Alone()
	if !slices.Equal(connected, o.connected) {
		changed = true
		for _, c := range connected {
			if _, found := slices.BinarySearch(o.connected, c); !found && c != o.self {
				added = append(added, c)
				o.wasConnected = true
			}
		}
		o.connected = slices.Clone(connected)
	}
	if changed {
		for name := range o.buckets {
			if owner, ok := o.owner(name); !ok || owner != o.self {
				o.drop(name)
			}
		}
	}
	return added, changed
}

func (o *Owner) drop(workspace string) {
	delete(o.buckets, workspace)
	o.recorder.Owns(workspace, false)
}

// restart makes this entry grant nothing until its view has settled again.
func (o *Owner) restart(now time.Time) {
	o.ownership.Restart(now)
	// Others may have granted meanwhile.
	delete(o.startedAt, o.self)
	for name := range o.buckets {
		o.drop(name)
	}
}

// owner returns the entry to ask for units of a workspace, or false if this entry is
// connected with too few others to have an owner in common with them.
func (o *Owner) owner(workspace string) (string, bool) {
	if o.ownership.Alone() {
		return "", false
	}
	return o.ownership.Owner(key(workspace)), true
}

// entries returns the number of entries that have a share of the rate.
func (o *Owner) entries() int {
	if !o.wasConnected && o.fleet.entries > 1 {
		return max(unknownFleet, o.fleet.entries)
	}
	return max(1, o.fleet.entries)
}

// missing returns the part of the entries that this one is not connected with.
func (o *Owner) missing() float64 {
	entries := o.entries()
	return float64(max(0, entries-len(o.connected))) / float64(entries)
}

// ask handles an ask of an entry. q is the quota in this entry's configuration. It returns
// false if there is no reply.
func (o *Owner) ask(now time.Time, from string, a *wire.QuotaAsk, q catalog.Quota) (wire.QuotaGrant, bool) {
	b := o.buckets[a.Workspace]
	if b == nil {
		if a.Returned > 0 {
			return wire.QuotaGrant{}, false
		}
		grants := false
		if !o.ownership.Alone() && q.Limited() && len(o.buckets) < maxBuckets {
			o.ownership.SetSettleTime(o.settleTime(now))
			grants, _ = o.ownership.Grants(now, key(a.Workspace))
		}
		if !grants {
			return wire.QuotaGrant{Number: a.Number, NotOwner: true}, true
		}
		b = newBucket(o.ownership.SettledAt(), q)
		b.claim.trustedUntil = now.Add(AnswerTimeout)
		o.buckets[a.Workspace] = b
		o.recorder.Owns(a.Workspace, true)
	}
	if !q.Limited() || b.holders[from] == nil && len(b.holders) >= maxHolders {
		return wire.QuotaGrant{Number: a.Number, NotOwner: true}, a.Returned == 0
	}
	if q != b.quota {
		b.setQuota(now, q)
	}
	b.extraBurst = o.bounds.extraBurst(q)
	if shared := shareOfRate * o.missing(); shared != b.sharedPart {
		b.refill(now)
		b.sharedPart = shared
	}
	if a.Returned == 0 && !o.isTrusted(now, a.Workspace, b) {
		return wire.QuotaGrant{Number: a.Number, NotOwner: true}, true
	}
	g, reply := b.ask(now, o.bounds, from, a)
	if g.Units > 0 {
		o.recorder.Count("quota_grants")
	}
	return g, reply
}

// tick repeats claims, and forgets once a second what is no longer needed.
func (o *Owner) tick(now time.Time) {
	for name, b := range o.buckets {
		if now.Sub(b.askedAt) < idleAfter {
			o.renew(now, name, b)
		}
	}
	if now.Sub(o.prunedAt) < time.Second {
		return
	}
	o.prunedAt = now
	for number, name := range o.claims {
		if b := o.buckets[name]; b == nil || b.claim.number != number {
			delete(o.claims, number)
		}
	}
	for name, b := range o.buckets {
		b.prune(now)
		if b.isUnused(now) && now.Sub(b.askedAt) > time.Minute {
			delete(o.buckets, name)
		}
	}
}
