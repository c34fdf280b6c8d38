// Package softwareversion decides which software versions of the targets of a pool a stream
// may use. What two versions write does not fit together, so a stream stays at the version
// that brought its first event, also when its caller takes it up at another entry.
//
// Its types are state machines without I/O or a clock of their own. They are not safe for
// concurrent use.
package softwareversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// seenTTL is how long after a version was last listed a stream of it may be taken up.
	seenTTL = 90 * time.Second
	// Needed is the span of the past in which all listed versions must be known for a
	// conclusion from there being one only. A stream that is taken up was served within it.
	Needed = 15 * time.Second
	// maxSeen bounds the versions of all pools.
	maxSeen = 1024
)

// Seen holds the software versions that pools had lately.
type Seen struct {
	pools map[string]map[string]time.Time
	count int
	// since is the time since which this entry knows the listed versions of all pools.
	since time.Time
}

// NewSeen returns a Seen of an entry that has started now.
func NewSeen(now time.Time) *Seen {
	return &Seen{pools: make(map[string]map[string]time.Time), since: now}
}

// Add records that a version of a pool was listed at a time, and reports whether it was not
// known.
func (s *Seen) Add(now time.Time, pool, version string, at time.Time) (isNew bool) {
	if at.After(now) {
		at = now
	}
	versions := s.pools[pool]
	last, known := versions[version]
	if now.Sub(at) >= seenTTL || known && !at.After(last) {
		return false
	}
	if !known {
		if s.count >= maxSeen {
			s.forget(now)
		}
		if s.count >= maxSeen {
			// Without room, no conclusion is drawn from what is known.
			s.since = now
			return false
		}
		if versions == nil {
			versions = make(map[string]time.Time)
			s.pools[pool] = versions
		}
		s.count++
	}
	versions[version] = at
	return !known
}

// forget deletes versions that were not listed lately.
func (s *Seen) forget(now time.Time) {
	s.count = 0
	for pool, versions := range s.pools {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) >= seenTTL })
		if s.count += len(versions); len(versions) == 0 {
			delete(s.pools, pool)
		}
	}
}

// Cover records that all versions which were listed since a time are known.
func (s *Seen) Cover(since time.Time) {
	if since.Before(s.since) {
		s.since = since
	}
}

// Uncover records that versions may have been listed up to now which are not known.
func (s *Seen) Uncover(now time.Time) { s.since = now }

// Versions returns the versions that a pool had lately, sorted, and whether these are all.
func (s *Seen) Versions(now time.Time, pool string) (versions []string, complete bool) {
	for version, at := range s.pools[pool] {
		if now.Sub(at) < seenTTL {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, now.Sub(s.since) >= Needed
}

// TakeUp is a request that takes a stream up at a pool.
type TakeUp struct {
	// Known is true if it is known which version began the stream, Version, at which pool.
	Known   bool
	Version string
	// SamePool is false if the stream began at another pool.
	SamePool bool
	// Versions are those that the pool had lately; Complete is true if these are all.
	Versions []string
	Complete bool
	// HasHome is true if the stream can only have begun at its home, Home.
	HasHome bool
	Home    string
}

// Decision is which versions a request may use.
type Decision uint8

// Decisions.
const (
	// Any version may serve the request.
	Any Decision = iota + 1
	// Only the returned version may.
	Only
	// None may, because the version that began the stream is not known.
	None
)

// Decide returns which versions a request that takes a stream up may use. Without knowledge
// of the stream, it may go on where there was one version only, and at its home.
func Decide(t TakeUp) (Decision, string) {
	switch {
	case t.Known && !t.SamePool:
		// Versions of different pools are not compared.
		return Any, ""
	case t.Known:
		return Only, t.Version
	case t.Complete && len(t.Versions) == 1:
		return Only, t.Versions[0]
	case t.Complete && t.HasHome:
		return Only, t.Home
	}
	return None, ""
}
