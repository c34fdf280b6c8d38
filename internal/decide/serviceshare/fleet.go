// Package serviceshare decides how many requests one entry may have at the targets of a
// plain service at once, so that all entries together do not exceed what the targets run
// and queue.
//
// Entries report their demand for each pool to each other: the time average of the
// requests that they have at its targets or in their queues. Each entry divides the places
// of the pool by the reported demands, in the same way as the others, and assigns its part
// of them to particular targets, so that the entries with less than one place for each
// target do not all choose the same one.
//
// The package is designed for tens to hundreds of entries with unequal load that share a
// few targets with few slots, at loads up to several times the capacity. Under light load
// it imposes no limit.
//
// A Fleet is a pure state machine used by one goroutine.
package serviceshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lostTTL is how long the demand of an entry counts after the connection to it is
	// lost. An entry that hears from no others uses the last known demands for that time.
	lostTTL = 10 * time.Second
	// minReportInterval is the shortest time between two reports of this entry's demand, and
	// reportIntervalPerEntry the time for each entry that gets them: 340 entries report every
	// 3.4 s, which keeps an entry below 3 KB per second. A demand that is not zero is reported
	// after maxReportAge although it has changed little, and is dropped demandTTL after its
	// last report, as that of an entry which has restarted without one.
	minReportInterval      = time.Second
	reportIntervalPerEntry = 10 * time.Millisecond
	maxReportAge           = 10 * time.Second
	demandTTL              = 25 * time.Second
	// A change of the demand by less than minChange and less than minRelativeChange of it
	// is not reported. It would change the shares by less than their effect on the targets.
	minChange         = 0.1
	minRelativeChange = 0.15
	// maxDemand bounds the demand that one entry can report.
	maxDemand = 1e4
	// MaxPools bounds the pools in one report, and maxPeers the entries whose demand is kept.
	MaxPools = 64
	maxPeers = 4096
)

// Demand is the demand of an entry for one pool, in requests at once.
type Demand struct {
	Pool     string
	Requests float64
}

// reportedDemand is the demand of another entry and the time of its last report.
type reportedDemand struct {
	requests float64
	at       time.Time
}

// Fleet is what an entry knows of the demand of all entries for plain services.
type Fleet struct {
	// BindTime is how long after a rejection the shares bound this entry's requests, 0 for
	// always. While no target rejects any, they would only make requests wait for which the
	// targets' queues, of unknown length, have room.
	BindTime time.Duration

	self string
	// members holds the addresses of the entries that are counted, with this one, sorted:
	// those that are connected and report their demand, and those in lost.
	members []string
	known   int
	// lost holds the entries whose connection was lost within lostTTL, and the time of
	// the loss.
	lost    map[string]time.Time
	demands map[string]map[string]reportedDemand
	pools   map[string]*Pool
	// reported holds the demands in the last report, which was made at reportedAt.
	reported   map[string]float64
	reportedAt time.Time
	// allReportedAt is when all demands were last reported.
	allReportedAt time.Time
	// version changes whenever members or demands do.
	version int
}

// New returns the state of an entry that knows no others.
func New(self string) *Fleet {
	return &Fleet{
		self: self, members: []string{self}, known: 1, lost: make(map[string]time.Time), demands: make(map[string]map[string]reportedDemand),
		pools: make(map[string]*Pool), reported: make(map[string]float64),
	}
}

// SetMembers sets the addresses of the connected entries that report their demand and the
// number of known entries, including this one.
func (f *Fleet) SetMembers(now time.Time, connected []string, known int) {
	for _, m := range f.members {
		if _, isLost := f.lost[m]; m != f.self && !isLost && !slices.Contains(connected, m) {
			f.lost[m] = now
		}
	}
	members := []string{f.self}
	for _, m := range connected {
		delete(f.lost, m)
		if m != f.self && len(members) < maxPeers {
			members = append(members, m)
		}
	}
	for m, at := range f.lost {
		if now.Sub(at) > lostTTL {
			delete(f.lost, m)
			delete(f.demands, m)
			continue
		}
		members = append(members, m)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	f.dropOldDemands(now)
	if known = max(known, len(members)); known != f.known || !slices.Equal(members, f.members) {
		f.version++
	}
	f.members, f.known = members, known
}

// dropOldDemands drops the demands that were not reported for demandTTL.
func (f *Fleet) dropOldDemands(now time.Time) {
	for from, of := range f.demands {
		for pool, d := range of {
			if now.Sub(d.at) > demandTTL {
				delete(of, pool)
				f.version++
			}
		}
		if len(of) == 0 {
			delete(f.demands, from)
		}
	}
}

// Receive takes the demands of another entry. Pools that it does not list keep their
// demand; a demand of zero removes it.
func (f *Fleet) Receive(now time.Time, from string, demands []Demand) {
	if from == "" || from == f.self {
		return
	}
	of := f.demands[from]
	if of == nil {
		if len(f.demands) >= maxPeers {
			return
		}
		of = make(map[string]reportedDemand)
		f.demands[from] = of
	}
	f.version++
	for _, d := range demands {
		switch _, known := of[d.Pool]; {
		case !(d.Requests > 0):
			delete(of, d.Pool)
		case known || len(of) < MaxPools:
			of[d.Pool] = reportedDemand{requests: min(d.Requests, maxDemand), at: now}
		}
	}
}

// Report returns the demands of this entry that have to be reported now: those that have
// changed, and at intervals those that are not zero.
func (f *Fleet) Report(now time.Time) []Demand {
	if now.Sub(f.reportedAt) < max(minReportInterval, reportIntervalPerEntry*time.Duration(len(f.members))) {
		return nil
	}
	var list []Demand
	all := now.Sub(f.allReportedAt) >= maxReportAge
	for name, p := range f.pools {
		d, last := p.demandAt(now), f.reported[name]
		if d < 0.005 {
			d = 0
		}
		change := math.Abs(d - last)
		if d == 0 && last > 0 || d > 0 && (all || change >= max(minChange, minRelativeChange*last)) {
			list = append(list, Demand{Pool: name, Requests: math.Ceil(100*d) / 100})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(b.Requests, a.Requests) })
	list = list[:min(len(list), MaxPools)]
	if len(list) == 0 {
		return nil
	}
	f.reportedAt = now
	if all {
		f.allReportedAt = now
	}
	for _, d := range list {
		f.reported[d.Pool] = d.Requests
	}
	return list
}

// counted returns the part of the places of a pool that the counted entries may use. An
// entry that is connected with half of the known entries or fewer cannot know what the
// others do, and assumes that all known entries have the same demand.
func (f *Fleet) counted() float64 {
	if 2*len(f.members) <= f.known {
		return float64(len(f.members)) / float64(f.known)
	}
	return 1
}

// demandsFor returns the demands for a pool in the order of members, and the position of
// this entry.
func (f *Fleet) demandsFor(pool string, own float64) (list []float64, self int) {
	for _, m := range f.members {
		if m == f.self {
			self = len(list)
			list = append(list, own)
		} else if d, ok := f.demands[m][pool]; ok {
			list = append(list, d.requests)
		}
	}
	return list, self
}
