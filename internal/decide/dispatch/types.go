// Package dispatch decides how one entry serves its calls. It combines
// placement, target selection, retries and hedges, membership and the
// reassembly of answers.
//
// A Dispatcher is a pure state machine: each event is a method call with the
// current time, and the returned actions are performed by the program that
// owns the Dispatcher. It is used by one goroutine. The same events with the
// same seed give the same actions.
//
// Terms used in this package:
//
//   - A call is a request of a caller. An attempt is one try of a call at one
//     target: the entry sends a Reserve and, once that is accepted, a Run. A
//     hedge is a second attempt that runs in parallel to a slow one. A probe is
//     a second attempt that measures the speed of an ejected target.
//   - A call is repeatable (idempotent) if running its request twice is
//     harmless. A call that may not be repeated has an idempotency key and is
//     run at most once.
//   - A session is a connection with a target process. Pools with more than
//     MaxFullMeshTargets targets have sessions on demand, which are opened when
//     an attempt needs them.
//   - Placement computes for each placement key (an adapter or a bucket of
//     prompt prefixes) the targets of the pool in the order of preference. The
//     first of them are the adapter homes, which hold a copy of the adapter.
//     The number of copies is the number of adapter homes.
//   - The key home is the only target that runs a call that may not be
//     repeated. It is chosen by the idempotency key of the call and holds the
//     record of that key.
//   - A straggler is a target that is much slower than the median of its pool.
//     It is ejected: calls avoid it if they can. It still gets probes, calls
//     for an adapter that it holds if waiting for it is expected to take less
//     time than an adapter load elsewhere, and calls that have no other
//     target. It is readmitted when it is fast again.
//   - A load token is the permission to load one adapter from the weight
//     store. The tokens limit the loads of the whole fleet. A LoadGrant
//     message carries one token.
//   - An incarnation is the start time of an entry process, a target process
//     or an engine. It changes with each restart.
package dispatch

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

const (
	// ReserveTimeout is how long an attempt waits for the answer to a
	// Reserve.
	ReserveTimeout = time.Second
	// ResumeTimeout is how long a running attempt that lost its session waits
	// for a new session with the same target process.
	ResumeTimeout = 3 * time.Second
	// ConnectTimeout is how long an attempt waits for the first session
	// with its target. A connection within a region takes a few
	// milliseconds.
	ConnectTimeout = 250 * time.Millisecond
	// FirstTokenGracePeriod is how long after the first-token deadline the entry
	// waits for the target's own refusal before it ends the call itself.
	FirstTokenGracePeriod = 100 * time.Millisecond
	// IdleSessionTimeout is how long an unused session on demand is kept open.
	IdleSessionTimeout = 60 * time.Second
	// MaxFullMeshTargets is the largest number of targets in a pool for which
	// every entry keeps a session with every target. Sessions with the
	// targets of a larger pool are opened on demand.
	MaxFullMeshTargets = 32
	// DefaultMaxOnDemandSessions is the largest number of sessions on demand. With
	// 340 entries and 1,100 targets it is about 40 sessions for each
	// target.
	DefaultMaxOnDemandSessions = 128
	// candidateCount is the number of candidates that are collected for one
	// attempt. It is more if the adapter has many homes.
	candidateCount = 4
	// minSpareCandidates is the least number of candidates to collect
	// beyond the adapter homes.
	minSpareCandidates = 2
)

// Call is a request of a caller together with its route.
type Call struct {
	// Number identifies the call among those of this entry process.
	Number uint64
	// Revision is the configuration revision that Route, Pool and Class are
	// taken from.
	Revision uint64
	Route    *tables.Route
	Pool     *tables.Pool
	// TargetListDigest identifies the target list of Pool, not its other fields.
	TargetListDigest uint64
	Class            tables.Class
	Method           string
	Path             string
	Body             []byte
	// Stream is true if the answer is passed to the caller in chunks as
	// they arrive.
	Stream bool
	// EstimatedTokens is the estimated length of the answer in tokens.
	EstimatedTokens int
	// IdempotencyKey is the idempotency key of a call that may not be repeated,
	// that is, one whose route is not repeatable.
	IdempotencyKey string
	// KeyCreatedMS is the creation time of IdempotencyKey in Unix milliseconds, 0
	// if it is not known.
	KeyCreatedMS int64
	// BodyDigest distinguishes a repeated request from another request with
	// the same IdempotencyKey.
	BodyDigest uint64
	// PrefixHash is the hash of the start of the prompt, 0 for none.
	PrefixHash uint64
	ArrivedAt  time.Time
}

// Outcome is the result of a finished call.
type Outcome struct {
	Code result.Code
	// Detail describes the cause of a failure for people. It may be empty.
	Detail string
	// RetryAfter is the time after which the caller should retry, 0 if
	// unspecified.
	RetryAfter time.Duration
	// HTTPStatus is the HTTP status that the target returned. HTTPStatus,
	// ContentType, Adapter and Version are set if Code is OK.
	HTTPStatus  int
	ContentType string
	// Adapter and Version name the adapter that produced the answer.
	Adapter string
	Version string
	// Target is the target that began to answer, or else that of the last
	// attempt.
	Target string
	// Attempts counts all attempts, with hedges and probes.
	Attempts int
}

// Action is something that the owner of the Dispatcher must perform.
type Action interface{ isAction() }

// Send sends a message to a target.
type Send struct {
	Target  string
	Message any
}

// Deliver passes the next chunk of an answer to the caller.
type Deliver struct {
	Number uint64
	Data   []byte
}

// Discard drops the chunks delivered so far for a call that is not streamed,
// because another attempt starts from the beginning.
type Discard struct{ Number uint64 }

// Finish reports the outcome of a call. No Deliver or Discard of the call
// follows.
type Finish struct {
	Number  uint64
	Outcome Outcome
}

// Connect requests a session with a target. The owner of the Dispatcher opens
// it, and opens it again whenever it is lost, until Disconnect.
type Connect struct {
	Target  string
	Address string
}

// Disconnect requests the end of the session with a target.
type Disconnect struct{ Target string }

// RefreshConfiguration requests a check for a newer configuration, because a
// target reported this newer revision.
type RefreshConfiguration struct{ Revision uint64 }

func (Send) isAction()                 {}
func (Deliver) isAction()              {}
func (Discard) isAction()              {}
func (Finish) isAction()               {}
func (Connect) isAction()              {}
func (Disconnect) isAction()           {}
func (RefreshConfiguration) isAction() {}

// Recorder counts decisions for the metrics.
type Recorder interface {
	// Refused counts a call that ended with a code other than OK. This
	// includes calls that were run and failed.
	Refused(code result.Code)
	// Retried counts a further attempt after a code.
	Retried(code result.Code)
	// NotRetried counts a failed attempt that ended the call.
	NotRetried(stop retry.StopReason)
	// Count adds one to a named counter.
	Count(name string)
}

// Config holds the settings of a Dispatcher that do not come from the route
// and pool tables.
type Config struct {
	// Entry is the name of the entry.
	Entry string
	// Incarnation is the start time of the entry process in Unix
	// nanoseconds.
	Incarnation  int64
	Retry        retry.Config
	PickStrategy picker.Strategy
	// Seed is the seed of all random choices.
	Seed int64
	// MaxOnDemandSessions is the largest number of sessions on demand; 0 means
	// DefaultMaxOnDemandSessions.
	MaxOnDemandSessions int
}

// TargetStatus is the state of one target as the entry sees it, for operators.
type TargetStatus struct {
	Name string
	Pool string
	// Connected is true while a session is open.
	Connected bool
	// Usable is true while the target may get new calls: it is connected
	// and not leaving.
	Usable bool
	// Ejected is true while the target is treated as a straggler, so that
	// calls avoid it.
	Ejected bool
	// OpenAttempts counts this entry's attempts at the target.
	OpenAttempts int
	// ResidentAdapters counts the adapters that are assumed to be loaded or being
	// loaded.
	ResidentAdapters int
	// Latency is the first-token latency, scaled so that the median of each
	// kind of request is 100 ms.
	Latency time.Duration
}
