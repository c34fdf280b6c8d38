// Package idempotency keeps the records of calls that may not be repeated, by
// their idempotency key. The home of a key is the one target that executes calls
// with that key.
//
// A Store is a pure state machine used by one goroutine. Its records are lost
// with the process and expire, so a key without a record may have been executed
// before. The store executes such a key only if it was created after the process
// started, after this target became the key's home and after every key whose
// record has expired. A key without a creation time is executed only if this
// target has been its home for RecordTTL. Any other key without a record is
// refused.
//
// A call can still be executed twice in these cases, which a store cannot detect:
//   - The caller gives the same key another creation time and repeats the call
//     after its record has expired. A UUIDv7 contains its creation time.
//   - The key has no creation time, and the call is repeated after RecordTTL.
//   - A target was removed from its pool, but no entry with the new target list
//     reaches it, so it goes on executing keys that entries with the old list
//     send. The new home executes no key that was created before Call.HomeSince,
//     which includes a grace period longer than a change takes to be in force
//     everywhere. If the old entry and the old target are partitioned from the
//     change for longer, and a caller sends one new key to both sides, each side
//     can execute it once.
//   - The clocks of two targets differ by more than MaxTargetClockSkew.
package idempotency

import "time"

const (
	// RecordTTL is how long a finished record is kept.
	RecordTTL = 10 * time.Minute
	// MaxRecords bounds the number of records; a full store refuses new keys
	// and keeps its records. It allows 50 new keys a second at one home and
	// takes 7 MB at 236 bytes a record, in addition to the answers.
	MaxRecords = 30_000
	// MaxBodyBytes bounds the size of the body kept with one record in bytes,
	// MaxStoreBytes that of all bodies in a store. An answer that exceeds either
	// is recorded without its body.
	MaxBodyBytes  = 64 << 10
	MaxStoreBytes = 4 << 20
	// MaxKeyBytes bounds the length of a key in bytes.
	MaxKeyBytes = 256
	// MaxCallerClockLead is how far a caller's clock may be ahead of this one. A
	// key created further in the future is refused, because it would seem to be
	// new even after a restart that followed its execution.
	MaxCallerClockLead = 2 * time.Second
	// MaxTargetClockSkew is the largest difference between the clocks of two
	// processes that are home of the same key one after the other.
	MaxTargetClockSkew = 3 * time.Second
	// ClockMargin is added to the time since which this target is the home
	// of a key, so that clock differences cannot make an old key seem new.
	ClockMargin = MaxCallerClockLead + MaxTargetClockSkew
)

// Call describes a call that may not be repeated.
type Call struct {
	// Key is the idempotency key.
	Key string
	// KeyCreated is the creation time of the key, zero if it carries none.
	KeyCreated time.Time
	// BodyDigest is the hash of the call's body. It distinguishes a repeated call
	// from a different call with the same key.
	BodyDigest uint64
	// HomeSince is the time since which no other target executes the key,
	// zero if that is not later than the start of the store.
	HomeSince time.Time
}

// NewKeyDelay returns how long it takes from now until a newly created key can
// be executed at its home.
func (c *Call) NewKeyDelay(now time.Time) time.Duration {
	return max(0, c.HomeSince.Add(ClockMargin).Sub(now))
}

// Outcome is the recorded answer of a call.
type Outcome struct {
	Code        uint16
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is true if the answer had a body that is not kept.
	BodyDropped bool
}

// Verdict is the decision about a call.
type Verdict uint8

const (
	// Execute means that the call must be executed; its record is now open.
	Execute Verdict = iota + 1
	// Replay means that the call must be answered by the recorded outcome.
	Replay
	// InProgress means that a call with the same key is being executed.
	InProgress
	// PossiblyExecuted means that the key has no record but may have been executed
	// before; the call must not be executed.
	PossiblyExecuted
	// Full means that the store holds its maximum number of records.
	Full
	// Mismatch means that the key was used before for a different call.
	Mismatch
)

// record is the record of one key. It is open until the call has finished.
type record struct {
	key      string
	created  time.Time
	digest   uint64
	finished bool
	outcome  Outcome
	// expiresAt is set when the call has finished.
	expiresAt time.Time
}

// Store holds the records of one target.
type Store struct {
	startedAt time.Time
	// latestExpired is the latest creation time of a key whose record has
	// expired.
	latestExpired time.Time
	records       map[string]*record
	// finished lists the finished records in the order in which they finished.
	finished []*record
	// bodyBytes is the size of all bodies kept.
	bodyBytes  int
	maxRecords int
}

// New returns an empty store for at most maxRecords records. A key with a creation
// time is executed only if it is created later than ClockMargin after now.
func New(now time.Time, maxRecords int) *Store {
	return &Store{startedAt: now, records: make(map[string]*record), maxRecords: maxRecords}
}

// Begin decides about a call. The outcome is set only with the verdict Replay.
// After the verdict Execute, exactly one of Finish and Abort must follow.
func (s *Store) Begin(now time.Time, call Call) (Verdict, Outcome) {
	if verdict, outcome, ok := s.Lookup(call); ok {
		return verdict, outcome
	}
	if !s.neverExecuted(now, call) {
		return PossiblyExecuted, Outcome{}
	}
	s.Expire(now)
	if len(s.records) >= s.maxRecords {
		return Full, Outcome{}
	}
	s.records[call.Key] = &record{key: call.Key, created: call.KeyCreated, digest: call.BodyDigest}
	return Execute, Outcome{}
}

// Lookup decides about a call by the record of its key, and returns false if
// there is none. A record is valid whether or not this target is still the key's
// home.
func (s *Store) Lookup(call Call) (Verdict, Outcome, bool) {
	r, ok := s.records[call.Key]
	if !ok {
		return 0, Outcome{}, false
	}
	verdict, outcome := r.verdict(call.BodyDigest)
	return verdict, outcome, true
}

func (r *record) verdict(digest uint64) (Verdict, Outcome) {
	switch {
	case r.digest != digest:
		return Mismatch, Outcome{}
	case !r.finished:
		return InProgress, Outcome{}
	default:
		return Replay, r.outcome
	}
}

// neverExecuted reports whether a key without a record was certainly never
// executed.
func (s *Store) neverExecuted(now time.Time, call Call) bool {
	since := s.startedAt
	if call.HomeSince.After(since) {
		since = call.HomeSince
	}
	if call.KeyCreated.IsZero() {
		return now.Sub(since) > RecordTTL+ClockMargin
	}
	return call.KeyCreated.After(since.Add(ClockMargin)) && call.KeyCreated.After(s.latestExpired) &&
		!call.KeyCreated.After(now.Add(MaxCallerClockLead))
}

// Finish records the outcome of a call that was executed or may have been.
func (s *Store) Finish(now time.Time, key string, outcome Outcome) {
	r, ok := s.records[key]
	if !ok || r.finished {
		return
	}
	if n := len(outcome.Body); n > MaxBodyBytes || s.bodyBytes+n > MaxStoreBytes {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	s.bodyBytes += len(outcome.Body)
	r.finished = true
	r.outcome = outcome
	r.expiresAt = now.Add(RecordTTL)
	s.finished = append(s.finished, r)
}

// Abort drops the record of a call that was certainly not executed.
func (s *Store) Abort(key string) {
	if r, ok := s.records[key]; ok && !r.finished {
		delete(s.records, key)
	}
}

// Expire drops the finished records whose expiry time has passed. It checks only
// the oldest ones, so a record that expires out of order, because the clock was
// set back, is dropped later than necessary.
func (s *Store) Expire(now time.Time) {
	n := 0
	for n < len(s.finished) && !now.Before(s.finished[n].expiresAt) {
		r := s.finished[n]
		if r.created.After(s.latestExpired) {
			s.latestExpired = r.created
		}
		s.bodyBytes -= len(r.outcome.Body)
		delete(s.records, r.key)
		s.finished[n] = nil
		n++
	}
	s.finished = s.finished[n:]
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// BodyBytes returns the size of all bodies kept.
func (s *Store) BodyBytes() int { return s.bodyBytes }
