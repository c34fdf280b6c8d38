// Package idempotency keeps the records of calls that may not be repeated.
//
// A Store is a pure state machine used by one goroutine. Its memory ends with
// the process, so it must tell a key that was never seen from one that it
// cannot know: it knows every key created after its known-since time.
package idempotency

import "time"

const (
	// RecordLife is how long a finished record is kept.
	RecordLife = 10 * time.Minute
	// MaxRecords bounds the records; a full store refuses new keys rather
	// than forgetting old ones.
	MaxRecords = 100_000
	// ClockMargin is the largest difference between a caller's clock and
	// this one that is tolerated in a key's creation time.
	ClockMargin = 5 * time.Second
)

// Outcome is the recorded answer of a call.
type Outcome struct {
	Code        uint16
	Status      int
	ContentType string
	Body        []byte
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
	digest  uint64
	done    bool
	outcome Outcome
	expires time.Time
}

// Store holds the records of one target.
type Store struct {
	knownSince time.Time
	records    map[string]*record
	limit      int
}

// New returns an empty store that knows every key created after now.
func New(now time.Time, limit int) *Store {
	return &Store{knownSince: now, records: make(map[string]*record), limit: limit}
}

// HomesChanged tells the store that keys may have had another home before now.
func (s *Store) HomesChanged(now time.Time) { s.knownSince = now }

// Begin decides about a call. created is the creation time of the key, zero
// if the key carries none.
func (s *Store) Begin(now time.Time, key string, created time.Time, digest uint64) (Verdict, Outcome) {
	if r, ok := s.records[key]; ok && (!r.done || now.Before(r.expires)) {
		return r.verdict(digest)
	}
	if !s.knows(now, created) {
		return CannotKnow, Outcome{}
	}
	if len(s.records) >= s.limit {
		s.Expire(now)
	}
	if len(s.records) >= s.limit {
		return Full, Outcome{}
	}
	s.records[key] = &record{digest: digest}
	return Run, Outcome{}
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
// A key that is older than the record life may have had a record that expired.
func (s *Store) knows(now, created time.Time) bool {
	if created.IsZero() {
		return now.Sub(s.knownSince) > RecordLife
	}
	return created.After(s.knownSince.Add(ClockMargin)) && now.Sub(created) < RecordLife-ClockMargin
}

// Finish records the outcome of a call that was executed or may have been.
func (s *Store) Finish(now time.Time, key string, outcome Outcome) {
	if r, ok := s.records[key]; ok {
		r.done = true
		r.outcome = outcome
		r.expires = now.Add(RecordLife)
	}
}

// Abort drops the record of a call that was certainly not executed.
func (s *Store) Abort(key string) {
	if r, ok := s.records[key]; ok && !r.done {
		delete(s.records, key)
	}
}

// Expire drops finished records past their life.
func (s *Store) Expire(now time.Time) {
	for key, r := range s.records {
		if r.done && !now.Before(r.expires) {
			delete(s.records, key)
		}
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }
