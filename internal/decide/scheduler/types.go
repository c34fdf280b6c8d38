// Package scheduler makes the decisions of a target process through which the
// requests and answers of one target pass (target/core). The target is a model
// engine or a plain service. If entries send the requests to the engine
// themselves, package engineagent decides for its target process (target/agent).
//
// The package combines reservations, adapter slots, load tokens, the request
// queue, idempotency records and the authority over the engine.
//
// A Scheduler is a pure state machine: the calling code passes events as method
// calls with the time and performs the actions that they return. It is used by
// one goroutine.
//
// A request arrives in two steps. Reserve admits it to the queue and pins its
// adapter; Run brings its body. Each admitted request is a job until its answer
// is no longer kept. An entry whose session broke can fetch the answer by Resume
// on a new session.
//
// An order is a command to the engine to load or unload an adapter. A probe
// reads the engine's state. The home of an idempotency key is the one target
// that executes requests with that key.
package scheduler

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/loadbudget"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// SessionID numbers the sessions of the process; 0 means none.
type SessionID uint64

const (
	// ReservationTimeout is the longest time from Reserve to Run; after it the
	// reservation ends.
	ReservationTimeout = 2 * time.Second
	// AnswerRetention is how long a finished answer is kept for a Resume, and how
	// long a repeatable request runs on after its session was lost.
	AnswerRetention = 10 * time.Second
	// StaleRouteGracePeriod is how long a target accepts requests that were routed
	// by an older revision after it has received a newer one.
	StaleRouteGracePeriod = 2 * time.Second
	// ProbeInterval is the time between two probes of the engine.
	ProbeInterval = time.Second
)

// Action is something that the calling code must perform.
type Action interface{ isAction() }

// ToSession sends a message to one session.
type ToSession struct {
	Session SessionID
	Message any
}

// LoadAdapter orders the engine to load an adapter.
type LoadAdapter struct {
	Adapter slots.Key
	authority.FencingStamp
}

// UnloadAdapter orders the engine to unload an adapter.
type UnloadAdapter struct {
	Adapter slots.Key
	authority.FencingStamp
}

// Execute runs a request at the engine or service.
type Execute struct {
	ID      wire.AttemptID
	Adapter slots.Key
	Run     *wire.Run
	// IdempotencyKey is the idempotency key, empty for a request without one.
	IdempotencyKey string
	// Priority is the engine priority; lower values run first.
	Priority int
	authority.FencingStamp
	// Timeout is the longest time that the execution may take.
	Timeout time.Duration
}

// Exit makes the process exit once its running requests have finished,
// because another process has taken over the engine.
type Exit struct{}

// CancelExecution ends a running request.
type CancelExecution struct{ ID wire.AttemptID }

// ProbeEngine reads the state of the engine and reports it by EngineProbed.
type ProbeEngine struct {
	// ProbeNumber identifies the probe; ProbeResult.ProbeNumber repeats it.
	ProbeNumber uint64
}

// SetFence sets the fencing number at the engine.
type SetFence struct {
	Fence uint64
	// EndRuns is true if every run of this process must be gone from the
	// engine before FenceSet, because the adapters of these runs are no
	// longer pinned.
	EndRuns bool
}

func (ToSession) isAction()       {}
func (LoadAdapter) isAction()     {}
func (UnloadAdapter) isAction()   {}
func (Execute) isAction()         {}
func (CancelExecution) isAction() {}
func (ProbeEngine) isAction()     {}
func (SetFence) isAction()        {}
func (Exit) isAction()            {}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// ProbeNumber is ProbeEngine.ProbeNumber; 0 stands for the newest probe. It
	// shows whether the probe was sent before or after a pause.
	ProbeNumber uint64
	Fence       authority.FenceState
	// Resident lists the loaded adapters; nil means that the result does not
	// include them.
	Resident []slots.Key
}

// Completion is the end of an execution.
type Completion struct {
	ID     wire.AttemptID
	Code   result.Code
	Detail string
	// Status is the HTTP status of the answer.
	Status      int
	ContentType string
	// Adapter and Version name the adapter that gave the answer, according
	// to the engine.
	Adapter string
	Version string
	// AnswerTokens is the number of tokens in the answer; 0 means unknown.
	AnswerTokens int
}

// Recorder counts decisions for the metrics.
type Recorder interface {
	// Refused counts a request that ended with a code other than OK.
	Refused(code result.Code)
	// Count adds one to a named counter.
	Count(name string)
}

// Config holds the settings that do not come from the pool table.
type Config struct {
	// Name is the name of the target.
	Name string
	// FailureDomain is the failure domain of the VM; the scheduler does not
	// use it.
	FailureDomain string
	// SlotPolicy selects the eviction policy. Measurements compare the others
	// with the default.
	SlotPolicy slots.Policy
	// FIFO makes the queue serve requests in order of arrival. Measurements
	// compare it with the default order.
	FIFO bool
	// StaticLimit keeps the number of running requests at the pool's
	// max_running instead of adapting it to what the engine sustains.
	StaticLimit bool
	// Rand adds jitter to the Retry-After values; nil means no jitter.
	Rand *rand.Rand
	// StaticLoadShare makes the target use only the load tokens that it mints
	// and pass none on.
	StaticLoadShare bool
	// HomeGracePeriod is the longest time for which other processes may use an
	// older target list; 0 stands for DefaultHomeGracePeriod. A key that was
	// created within this time after its home changed is not executed.
	HomeGracePeriod time.Duration
}

// phase is the state of a job.
type phase uint8

const (
	// phaseReserved is the phase before Run, phaseQueued the one between Run
	// and the start of the execution.
	phaseReserved phase = iota
	phaseQueued
	phaseRunning
	phaseFinished
)

// job is an admitted request.
type job struct {
	id wire.AttemptID
	// session receives the answer; 0 while there is none.
	session SessionID
	// arrival numbers the jobs by arrival, so that they are handled in a
	// fixed order.
	arrival uint64
	// sessionLostAt is when the session ended; zero while it is open.
	sessionLostAt time.Time
	// run holds the body from Run until the execution starts.
	run     *wire.Run
	adapter slots.Key
	class   string
	// answerTokens is the estimated length of the answer.
	answerTokens int
	// repeatable is true if the request may be executed more than once.
	repeatable     bool
	idempotencyKey string
	// ownsRecord is true while the job owns the open record of its key.
	ownsRecord bool
	pinned     bool
	cancelled  bool
	phase      phase
	// due is when the job's timer fires; zero without a timer.
	due time.Time
	// deadline is the end of the request's budget, which covers the first
	// token of an engine or the whole answer of a plain service.
	deadline time.Time
	// timeLimit is the longest time that the execution may take.
	timeLimit time.Duration
	// awaitsFirstToken is true while a running stream has given no token.
	awaitsFirstToken bool
	// chunkCount and checksum cover all chunks of the answer. chunks keeps
	// the data for a Resume, unless chunksDropped is true.
	chunkCount    uint32
	checksum      uint32
	chunks        [][]byte
	keptBytes     int
	chunksDropped bool
	// end is the last message of a finished job.
	end *wire.End
}

func (j *job) usesAdapter() bool { return j.adapter.Adapter != "" }

// Status is the state of the scheduler that operators see.
type Status struct {
	Revision  uint64      `json:"revision"`
	BaseModel string      `json:"base_model"`
	State     wire.State  `json:"state"`
	Authority bool        `json:"authority"`
	Fence     uint64      `json:"fence"`
	Running   int         `json:"running"`
	Waiting   int         `json:"waiting"`
	Slots     int         `json:"slots"`
	Resident  []slots.Key `json:"resident"`
	// Pins is the number of requests that keep their adapter from eviction.
	Pins int `json:"pins"`
	// Records is the number of idempotency records.
	Records int `json:"records"`
	// LoadTokens is the number of load tokens held.
	LoadTokens int `json:"load_tokens"`
	// KeptBytes is the size of the answers kept for a Resume.
	KeptBytes int `json:"kept_bytes"`
	Sessions  int `json:"sessions"`
}

// components holds the state machines that the scheduler combines.
type components struct {
	slots      *slots.Table
	loadBudget *loadbudget.Budget
	queue      *admission.Queue
	guard      *authority.Guard
}
