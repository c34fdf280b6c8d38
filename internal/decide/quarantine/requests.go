package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// coincidence is the time within which two crashes in one failure domain may have one
	// cause outside the requests, such as a loss of power.
	coincidence = 50 * time.Millisecond
	// ageTolerance is the difference up to which the times that a request had been under way
	// at two hits are alike. A crashing request crashes each target after the same work.
	ageTolerance = 300 * time.Millisecond
	// ageNoise is the difference between the times of two hits that has no meaning.
	ageNoise = 50 * time.Millisecond
	// extraHits is the number of hits that are needed beyond those of like age, because
	// queues at targets make the times of a crashing request differ.
	extraHits = 2
	// minHitsApart is the number of crashes apart from others by which a request may be why
	// a target crashed.
	minHitsApart = 2
	// noiseRange is the time before and after a hit within which other crashes of the pool
	// count as noise.
	noiseRange = 5 * time.Second
	// maxNeededHits bounds the hits that are asked for however many other crashes there
	// are: three sends after the third crash are allowed.
	maxNeededHits = 6
	// lateTime is how long after the third crash under a request a send is late, and
	// maxLateCrashes the number of late sends that may crash a target.
	lateTime       = 2500 * time.Millisecond
	maxLateCrashes = 3

	// waveTime is the time in which crashes may be one wave: targets that lose power
	// together end within it, and a popular request may have been under way at each.
	waveTime = time.Second
	// earlyTrialDelay is the time from a verdict on one wave alone to a trial. Targets are
	// back after some seconds.
	earlyTrialDelay = 5 * time.Second
	// noEarlyTrial and noTrials are the numbers of trials left out for a verdict on more
	// than one wave and for one after the last late send that is allowed.
	noEarlyTrial, noTrials = 1, 2

	// contestedHits is the number of hits from which requests take turns: at a target only
	// one of them is under way at a time, so that the next crash or answer tells them apart.
	contestedHits = 2
	// contestedTime is how long after its last hit a request takes turns.
	contestedTime = 10 * time.Second
	// turnTime is how long a turn lasts.
	turnTime = 400 * time.Millisecond
	// hitsInterval is the shortest time between two looks at all records for turns. Requests
	// that wait for a turn ask again and again.
	hitsInterval = 25 * time.Millisecond
)

// TrialRate is the rate, in requests a second, at which all entries together send a request
// that was under way at as many crashes as a verdict needs. A crash under it is known before
// the next one.
const TrialRate = 0.5

// mostSuspectRequest returns the request that is to be quarantined next. A hit of a
// request is a crash of a target that had it under way and has not answered it whole
// since. Three hits of like age suffice, or five of any age, and one more for each three
// other crashes of the pool near them, if no other request explains them. If all hits are
// in one wave, a trial follows soon: a loss of power of all targets looks the same. A
// request that has been sent late as often as it may be is quarantined in any case, and
// without a trial.
func mostSuspectRequest(records []*Crash, answeredAt func(Part) time.Time) (candidate, bool) {
	under := crashesUnder(records, answeredAt)
	hits := requestHits(records, under)
	var list []candidate
	if c, ok := mostLateRequest(under); ok {
		return c, true
	}
	for p, of := range hits {
		if len(of) >= minHits {
			c := candidate{part: p, crashes: len(of), suspects: len(of)}
			if of[len(of)-1].At.Sub(of[0].At) >= waveTime {
				c.trialsLeftOut = noEarlyTrial
			}
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareCandidates)
	for _, c := range list {
		needed := neededHits(records, hits, c.part)
		if (hitsOfLikeAge(hits[c.part], c.part) >= needed || c.crashes >= needed+extraHits) && !explainedByOther(under, hits, c.part) {
			return c, true
		}
	}
	return candidate{}, false
}

// crashesUnder returns the crashes of targets that had each request under way and have not
// answered it whole since, in order of time.
func crashesUnder(records []*Crash, answeredAt func(Part) time.Time) map[Part][]*Crash {
	under := make(map[Part][]*Crash)
	for _, r := range records {
		for p := range r.parts() {
			if r.At.After(answeredAt(p)) {
				under[p] = append(under[p], r)
			}
		}
	}
	return under
}

// requestHits returns the hits of each request in order of time.
func requestHits(records []*Crash, under map[Part][]*Crash) map[Part][]*Crash {
	// Another request may be why a target crashed at the same time.
	apart := withoutCoincidences(under, records)
	unrelated := slices.DeleteFunc(slices.Clone(records), func(r *Crash) bool { return mayBeDue(r, apart, minHitsApart) })
	return withoutCoincidences(under, unrelated)
}

// withoutCoincidences returns the crashes under each request that do not coincide with one
// of records.
func withoutCoincidences(under map[Part][]*Crash, records []*Crash) map[Part][]*Crash {
	hits := make(map[Part][]*Crash)
	for p, of := range under {
		for _, r := range of {
			// Crashes in one failure domain at the same time are one hit at most.
			counted := slices.ContainsFunc(hits[p], func(x *Crash) bool { return r.isBeside(x, p) })
			if !counted && !slices.ContainsFunc(records, func(x *Crash) bool { return r.isBeside(x, p) && !x.holds(p) }) {
				hits[p] = append(hits[p], r)
			}
		}
	}
	return hits
}

// requestTrialDelay returns the time from a verdict on a request to its trial.
func requestTrialDelay(trials int) time.Duration {
	if trials < noEarlyTrial {
		return earlyTrialDelay
	}
	return quarantineTime
}

// mostLateRequest returns the request with the most late crashes, if it may have no more.
func mostLateRequest(under map[Part][]*Crash) (c candidate, found bool) {
	most := maxLateCrashes - 1
	for _, p := range slices.Sorted(maps.Keys(under)) {
		if n := lateCrashes(under[p], p); n > most {
			most, c, found = n, candidate{part: p, crashes: len(under[p]), trialsLeftOut: noTrials}, true
		}
	}
	return c, found
}

// lateCrashes returns the number of crashes under a request that was sent long after the
// third one.
func lateCrashes(under []*Crash, p Part) (n int) {
	if len(under) < minHits {
		return 0
	}
	late := under[minHits-1].At.Add(lateTime)
	for _, r := range under[minHits:] {
		if slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return s.Parts[0] == p && s.SentAt.After(late) }) {
			n++
		}
	}
	return n
}

// neededHits returns the number of hits for a verdict on a request.
func neededHits(records []*Crash, hits map[Part][]*Crash, p Part) int {
	own := hits[p]
	var others []*Crash
	for _, r := range records {
		if r.Pool == own[0].Pool && !r.holds(p) && !mayBeDue(r, hits, minHits) &&
			slices.ContainsFunc(own, func(h *Crash) bool { return r.At.Sub(h.At).Abs() < noiseRange }) &&
			// A loss of power is one reason, however many targets it ends.
			!slices.ContainsFunc(others, r.coincides) {
			others = append(others, r)
		}
	}
	return min(minHits+len(others)/othersPerHit, maxNeededHits)
}

// hitsOfLikeAge returns the largest number of hits of a request at which it had been under
// way for about the same time.
func hitsOfLikeAge(hits []*Crash, p Part) (most int) {
	ages := agesAt(hits, p)
	for i, a := range ages {
		end, _ := slices.BinarySearch(ages, a+ageTolerance)
		most = max(most, end-i)
	}
	return most
}

// steadier reports whether the times that a request had been under way at its hits are much
// more alike than those of another one. A crashing request has the same time at each hit,
// but for queues at its targets.
func steadier(hits map[Part][]*Crash, p, than Part) bool {
	spread, ok := leastAgeSpread(hits[p], p)
	if !ok {
		return false
	}
	other, ok := leastAgeSpread(hits[than], than)
	return !ok || other > 2*spread+ageNoise
}

// leastAgeSpread returns the least difference between the times that a request had been
// under way at as many of its hits as a verdict needs. It reports false with fewer hits.
func leastAgeSpread(hits []*Crash, p Part) (spread time.Duration, ok bool) {
	ages := agesAt(hits, p)
	for i := minHits - 1; i < len(ages); i++ {
		if d := ages[i] - ages[i-minHits+1]; !ok || d < spread {
			spread, ok = d, true
		}
	}
	return spread, ok
}

// agesAt returns the times that a request had been under way at its hits, the shortest
// first.
func agesAt(hits []*Crash, p Part) []time.Duration {
	ages := make([]time.Duration, 0, len(hits))
	for _, r := range hits {
		for _, s := range r.Suspects {
			if s.Parts[0] == p {
				ages = append(ages, r.At.Sub(s.SentAt))
			}
		}
	}
	slices.Sort(ages)
	return ages
}

// explainedByOther reports whether another request may be the cause of all hits of a request
// but one, which may have another reason, or but two if the other one is steadier. Of crashes
// that coincide, the hits of the two may be different ones, so that every crash under the
// other request counts.
func explainedByOther(under, hits map[Part][]*Crash, p Part) bool {
	for other, of := range hits {
		if len(of) < minHitsApart {
			continue
		}
		shared := 0
		for _, r := range hits[p] {
			if slices.Contains(under[other], r) {
				shared++
			}
		}
		apart := minHitsApart
		if steadier(hits, other, p) {
			apart = minHits
		}
		if other != p && shared >= minHitsApart && len(hits[p])-shared < apart {
			return true
		}
	}
	return false
}

// mayBeDue reports whether a crash may be due to a request with so many hits.
func mayBeDue(r *Crash, hits map[Part][]*Crash, count int) bool {
	return slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return len(hits[s.Parts[0]]) >= count })
}

// Turn is how a request that may have crashed targets may be sent now. The zero value is
// without restrictions.
type Turn struct {
	// Target is the only target that may get it, empty for any.
	Target string
	// Wait is true if it may be sent to none now.
	Wait bool
	// NeedsPermit is true if all entries together may send it at TrialRate only.
	NeedsPermit bool
	// Once is true if it is the trial of a quarantine, which is sent to one target.
	Once bool
}

// Turn returns the turn of a request; listed are the targets of its pool. All entries hold
// the same evidence and so agree on the turns, but for the time that evidence takes.
func (q *Quarantine) Turn(now time.Time, digest Part, pool string, listed []Incarnation) Turn {
	if q.quarantined(digest) {
		return Turn{Once: true}
	}
	if !q.Suspected(digest) {
		return Turn{}
	}
	var lastCrash time.Time
	crashed := make(map[Incarnation]bool)
	for _, r := range q.evidence.records {
		crashed[r.Incarnation] = true
		if r.Pool == pool {
			lastCrash = r.At
		}
	}
	under, hits := q.currentHits(now)
	turn := Turn{NeedsPermit: len(under[digest]) >= minHits}
	var contested []Part
	for p, of := range hits {
		if last := of[len(of)-1]; len(of) >= contestedHits && last.Pool == pool && now.Sub(last.At) < contestedTime {
			contested = append(contested, p)
		}
	}
	slices.Sort(contested)
	alive := slices.DeleteFunc(slices.Clone(listed), func(i Incarnation) bool { return crashed[i] })
	place := slices.Index(contested, digest)
	if place < 0 || len(contested) == 1 || len(alive) == 0 {
		return turn
	}
	slices.SortFunc(alive, func(a, b Incarnation) int { return cmp.Compare(a.Target, b.Target) })
	place = (place + int(now.Sub(lastCrash)/turnTime)*len(alive)) % len(contested)
	if place < len(alive) {
		turn.Target = alive[place].Target
	} else {
		turn.Wait = true
	}
	return turn
}

// currentHits returns the crashes under each request and its hits, as they were at most
// hitsInterval ago.
func (q *Quarantine) currentHits(now time.Time) (under, hits map[Part][]*Crash) {
	if q.hitsAt.IsZero() || now.Sub(q.hitsAt) >= hitsInterval {
		records := q.unexplained()
		q.hitsAt, q.under = now, crashesUnder(records, func(p Part) time.Time { return q.evidence.begins.get(p).at })
		q.hits = requestHits(records, q.under)
	}
	return q.under, q.hits
}

// coincides reports whether two crashes may have one cause outside the requests.
func (c *Crash) coincides(r *Crash) bool {
	return c.FailureDomain != "" && r.FailureDomain == c.FailureDomain && r.At.Sub(c.At).Abs() < coincidence
}

// isBeside reports whether another target of the same failure domain crashed at the same
// time, when the request had been sent already.
func (c *Crash) isBeside(r *Crash, p Part) bool {
	return r != c && c.coincides(r) &&
		slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Parts[0] == p && s.SentAt.Before(r.At) })
}
