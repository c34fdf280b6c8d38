// Package dispatch joins the decisions of one entry: placement, picking,
// retries, membership and answers.
//
// A Dispatcher is a pure state machine: events go in as method calls with the
// time, and actions come out for the caller to perform. It is used by one
// goroutine. The same events with the same seed give the same actions.
package dispatch

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

const (
	// ReserveTimeout is how long an answer to a Reserve may take.
	ReserveTimeout = time.Second
	// ResumeWait is how long a running attempt waits for a new session to
	// the same target process.
	ResumeWait = 3 * time.Second
	// ConnectTimeout is how long an attempt waits for a first session. A
	// connection within a region takes a few milliseconds.
	ConnectTimeout = 250 * time.Millisecond
	// FirstTokenGrace is how long after the first-token deadline the entry
	// waits for the target's own refusal before it gives up.
	FirstTokenGrace = 100 * time.Millisecond
	// IdleSession is how long an unused session on demand is kept.
	IdleSession = 60 * time.Second
	// AllToAllTargets is the size of a pool up to which the entry keeps a
	// session with every target.
	AllToAllTargets = 32
	// DefaultMaxSessions bounds the sessions on demand. With 340 entries
	// and 1,100 targets it is about 40 sessions at a target.
	DefaultMaxSessions = 128
	// candidateCount is the number of ranks considered for one request.
	candidateCount = 4
	// spareCandidates is the number of ranks considered beyond the homes.
	spareCandidates = 2
)

// Call is a request of a caller, joined with its route.
type Call struct {
	Number     uint64
	Revision   uint64
	Route      *tables.Route
	Pool       *tables.Pool
	PoolDigest uint64
	Class      tables.Class
	Method     string
	Path       string
	Body       []byte
	Stream     bool
	Tokens     int
	Key        string
	KeyTimeMS  int64
	BodyDigest uint64
	PrefixHash uint64
	Arrived    time.Time
}

// Outcome is the end of a call.
type Outcome struct {
	Code        result.Code
	Detail      string
	RetryAfter  time.Duration
	Status      int
	ContentType string
	Adapter     string
	Version     string
	Target      string
	Attempts    int
}

// Action is something the caller must perform.
type Action interface{ isAction() }

// Send sends a message to a target.
type Send struct {
	Target  string
	Message any
}

// Deliver passes a piece of the answer to the caller.
type Deliver struct {
	Number uint64
	Data   []byte
}

// Discard drops what was delivered of a call that is not streamed, because
// another attempt starts over.
type Discard struct{ Number uint64 }

// Finish ends a call.
type Finish struct {
	Number  uint64
	Outcome Outcome
}

// Connect asks for a session with a target, to be kept up until Disconnect.
type Connect struct {
	Target  string
	Address string
}

// Disconnect asks for the end of the session with a target.
type Disconnect struct{ Target string }

// Refresh asks for a look at the configuration, because a target holds a
// newer revision.
type Refresh struct{ Revision uint64 }

func (Send) isAction()       {}
func (Deliver) isAction()    {}
func (Discard) isAction()    {}
func (Finish) isAction()     {}
func (Connect) isAction()    {}
func (Disconnect) isAction() {}
func (Refresh) isAction()    {}

// Recorder counts decisions.
type Recorder interface {
	// Refused counts a call that ended with a code other than OK.
	Refused(code result.Code)
	// Retried counts a further attempt after a code.
	Retried(code result.Code)
	// NotRetried counts a failed attempt that ended the call.
	NotRetried(stop retry.Stop)
	// Count adds one to a named counter.
	Count(name string)
}

// Config holds what does not come from the tables.
type Config struct {
	Entry       string
	Incarnation int64
	Retry       retry.Config
	Pick        picker.Policy
	Seed        int64
	// MaxSessions bounds the sessions with targets of pools larger than
	// AllToAllTargets; 0 means DefaultMaxSessions.
	MaxSessions int
}

// TargetView is what the entry believes of one target, for operators.
type TargetView struct {
	Name      string
	Pool      string
	Connected bool
	Usable    bool
	Ejected   bool
	// InFlight counts this entry's attempts at the target.
	InFlight int
	Resident int
	Latency  time.Duration
}
