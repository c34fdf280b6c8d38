// Package idempotency keeps the records of calls that may not be repeated.
//
// A Store is a pure state machine used by one goroutine. Its memory ends with
// the process and its records expire, so it must tell a key that was never
// executed from one that it cannot know. It knows every key that was created
// after it became the key's home and after every key whose record it has
// dropped; any other key without a record is not executed.
//
// What remains possible and cannot be decided here:
//   - A caller that gives the same key another creation time can repeat a call
//     after its record has expired. A UUIDv7 carries its time in the key.
//   - A key without a creation time is protected for RecordLife only.
//   - A target that is removed from its pool, and that no entry with the new
//     list reaches, keeps executing keys that entries with the old list send. The new home executes no key created
//     within the grace that the caller passes in HomeSince, which is longer
//     than a change takes to be in force everywhere. If the old entry and the
//     old target stay cut off from the change for longer, and a caller sends
//     one new key to both sides, the key can be executed once on each side.
//   - Clocks of targets that differ by more than MaxTargetSkew.
package idempotency

import "time"

const (
	// RecordLife is how long a finished record is kept.
	RecordLife = 10 * time.Minute
	// MaxRecords bounds the records; a full store refuses new keys rather
	// than forgetting old ones. It allows 50 new keys a second at one home
	// and takes 7 MB at the measured 236 bytes a record, besides the answers.
	MaxRecords = 30_000
	// MaxBody bounds the answer kept with one record, MaxBytes all answers
	// of a store. A larger answer is recorded without its body.
	MaxBody  = 64 << 10
	MaxBytes = 4 << 20
	// MaxKeyLength bounds a key.
	MaxKeyLength = 256
	// MaxFuture is how far a caller's clock may be ahead of this one. A key
	// from further ahead is not believed: it would seem to be new even after
	// a restart that followed its execution.
	MaxFuture = 2 * time.Second
	// MaxTargetSkew is the largest difference between the clocks of two
	// processes that are home of the same key one after the other.
	MaxTargetSkew = 3 * time.Second
	// ClockMargin is added to the time since when a key's home is known.
	ClockMargin = MaxFuture + MaxTargetSkew
)

// Call describes a call that may not be repeated.
type Call struct {
	Key string
	// Created is the creation time of the key, zero if it carries none.
	Created time.Time
	// Digest tells a reused key from a repeated call.
	Digest uint64
	// HomeSince is the time since when no other target executes the key,
	// zero if that is not later than the start of the store.
	HomeSince time.Time
}

// KnownIn returns how long a key that is created now has to wait until its home
// can tell that it was never executed.
func (c *Call) KnownIn(now time.Time) time.Duration {
	return max(0, c.HomeSince.Add(ClockMargin).Sub(now))
}

// Outcome is the recorded answer of a call.
type Outcome struct {
	Code        uint16
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped says that the answer had a body that is not kept.
	BodyDropped bool
}

// Verdict says what to do with a call.
type Verdict uint8

const (
	// Run means that the key was never seen; a record is now open.
	Run Verdict = iota + 1
	// Replay means that the recorded outcome is the answer.
	Replay
	// InProgress means that a call with the same key is being executed.
	InProgress
	// CannotKnow means that the key may have been executed before.
	CannotKnow
	// Full means that there is no room for a further record.
	Full
	// Mismatch means that the key was used for a different call.
	Mismatch
)

type record struct {
	key     string
	created time.Time
	digest  uint64
	done    bool
	outcome Outcome
	expires time.Time
}

// Store holds the records of one target.
type Store struct {
	started time.Time
	// dropped is the latest creation time of a key whose record was dropped.
	dropped time.Time
	records map[string]*record
	// finished lists finished records in the order in which they expire.
	finished []*record
	bytes    int
	limit    int
}

// New returns an empty store that knows keys created after now.
func New(now time.Time, limit int) *Store {
	return &Store{started: now, records: make(map[string]*record), limit: limit}
}

// Begin decides about a call. After Run, exactly one of Finish and Abort must
// follow.
func (s *Store) Begin(now time.Time, call Call) (Verdict, Outcome) {
	if verdict, outcome, ok := s.Lookup(call); ok {
		return verdict, outcome
	}
	if !s.knows(now, call) {
		return CannotKnow, Outcome{}
	}
	s.Expire(now)
	if len(s.records) >= s.limit {
		return Full, Outcome{}
	}
	s.records[call.Key] = &record{key: call.Key, created: call.Created, digest: call.Digest}
	return Run, Outcome{}
}

// Lookup answers from the record of a key. It returns false if there is none.
// A record is valid whether or not this target is still the key's home.
func (s *Store) Lookup(call Call) (Verdict, Outcome, bool) {
	r, ok := s.records[call.Key]
	if !ok {
		return 0, Outcome{}, false
	}
	verdict, outcome := r.verdict(call.Digest)
	return verdict, outcome, true
}

func (r *record) verdict(digest uint64) (Verdict, Outcome) {
	switch {
	case r.digest != digest:
		return Mismatch, Outcome{}
	case !r.done:
		return InProgress, Outcome{}
	default:
		return Replay, r.outcome
	}
}

// knows reports whether a key without a record was certainly never executed.
func (s *Store) knows(now time.Time, call Call) bool {
	since := s.started
	if call.HomeSince.After(since) {
		since = call.HomeSince
	}
	if call.Created.IsZero() {
		return now.Sub(since) > RecordLife+ClockMargin
	}
	return call.Created.After(since.Add(ClockMargin)) && call.Created.After(s.dropped) &&
		!call.Created.After(now.Add(MaxFuture))
}

// Finish records the outcome of a call that was executed or may have been.
func (s *Store) Finish(now time.Time, key string, outcome Outcome) {
	r, ok := s.records[key]
	if !ok || r.done {
		return
	}
	if n := len(outcome.Body); n > MaxBody || s.bytes+n > MaxBytes {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	s.bytes += len(outcome.Body)
	r.done = true
	r.outcome = outcome
	r.expires = now.Add(RecordLife)
	s.finished = append(s.finished, r)
}

// Abort drops the record of a call that was certainly not executed.
func (s *Store) Abort(key string) {
	if r, ok := s.records[key]; ok && !r.done {
		delete(s.records, key)
	}
}

// Expire drops finished records past their life. It looks only at the oldest
// ones; a record that expires out of order, after the clock was set back,
// is dropped later than necessary.
func (s *Store) Expire(now time.Time) {
	n := 0
	for n < len(s.finished) && !now.Before(s.finished[n].expires) {
		r := s.finished[n]
		if r.created.After(s.dropped) {
			s.dropped = r.created
		}
		s.bytes -= len(r.outcome.Body)
		delete(s.records, r.key)
		s.finished[n] = nil
		n++
	}
	s.finished = s.finished[n:]
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Bytes returns the size of the answers kept.
func (s *Store) Bytes() int { return s.bytes }
