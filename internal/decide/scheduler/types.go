// Package scheduler joins the decisions of one target process: reservations,
// adapter slots, load budget, queue, idempotency records and authority.
//
// A Scheduler is a pure state machine: events go in as method calls with the
// time, and actions come out for the caller to perform. It is used by one
// goroutine.
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
	// ReservationLife bounds a reservation without a Run.
	ReservationLife = 2 * time.Second
	// AnswerLife is how long the answer of a lost session is kept for a
	// Resume, and how long repeatable work of a lost session runs on.
	AnswerLife = 10 * time.Second
	// StaleGrace is how long requests routed by an older revision are still
	// taken after a newer one is known.
	StaleGrace = 2 * time.Second
	// ProbeInterval is the time between two looks at the engine.
	ProbeInterval = time.Second
)

// Action is something the caller must perform.
type Action interface{ isAction() }

// ToSession sends a message to one session.
type ToSession struct {
	Session SessionID
	Message any
}

// LoadAdapter orders the engine to load an adapter.
type LoadAdapter struct {
	Key   slots.Key
	Fence uint64
}

// UnloadAdapter orders the engine to unload an adapter.
type UnloadAdapter struct {
	Key   slots.Key
	Fence uint64
}

// Execute runs a request at the engine or service.
type Execute struct {
	ID       wire.AttemptID
	Adapter  slots.Key
	Run      *wire.Run
	Key      string
	Priority int
	Fence    uint64
	// Limit bounds the execution.
	Limit time.Duration
}

// CancelExecution ends a running request.
type CancelExecution struct{ ID wire.AttemptID }

// ProbeEngine asks for a fresh look at the engine.
type ProbeEngine struct{}

// TakeFence sets the fencing number at the engine.
type TakeFence struct{ Fence uint64 }

func (ToSession) isAction()       {}
func (LoadAdapter) isAction()     {}
func (UnloadAdapter) isAction()   {}
func (Execute) isAction()         {}
func (CancelExecution) isAction() {}
func (ProbeEngine) isAction()     {}
func (TakeFence) isAction()       {}

// EngineState is a look at the engine.
type EngineState struct {
	View     authority.EngineView
	Resident []slots.Key
}

// Completion is the end of an execution.
type Completion struct {
	ID          wire.AttemptID
	Code        result.Code
	Detail      string
	Status      int
	ContentType string
	Adapter     string
	Version     string
	// Tokens is the length of the answer; 0 means unknown.
	Tokens int
}

// Recorder counts decisions.
type Recorder interface {
	// Refused counts a request that ended with a code other than OK.
	Refused(code result.Code)
	// Count adds one to a named counter.
	Count(name string)
}

// Config holds what does not come from the pool table.
type Config struct {
	Name          string
	FailureDomain string
	// SlotPolicy and FIFO select naive decisions for measurements.
	SlotPolicy slots.Policy
	FIFO       bool
	// StaticLimit keeps the number of running requests at the pool's
	// max_running instead of adapting it to what the engine sustains.
	StaticLimit bool
	// Rand spreads the retry advice over time; nil leaves it without spread.
	Rand *rand.Rand
	// StaticLoadShare keeps each target to its own load tokens.
	StaticLoadShare bool
}

type phase uint8

const (
	phaseReserved phase = iota
	phaseQueued
	phaseRunning
	phaseDone
)

type job struct {
	id      wire.AttemptID
	session SessionID
	// lostAt is when the session ended; zero while it is open.
	lostAt   time.Time
	reserve  *wire.Reserve
	run      *wire.Run
	adapter  slots.Key
	pinned   bool
	phase    phase
	expires  time.Time
	deadline time.Time
	limit    time.Duration
	// streams is set while the first token of a running stream is awaited.
	streams  bool
	chunks   [][]byte
	sum      uint32
	end      *wire.End
	waitFrom time.Time
}

func (j *job) usesAdapter() bool { return j.adapter.Adapter != "" }

// Status is a view of the scheduler for operators.
type Status struct {
	Revision  uint64
	State     wire.State
	Authority bool
	Fence     uint64
	Running   int
	Waiting   int
	Slots     int
	Resident  []slots.Key
	Records   int
	Tokens    int
	Sessions  int
}

// parts groups the decision packages.
type parts struct {
	slots  *slots.Table
	budget *loadbudget.Budget
	queue  *admission.Queue
	guard  *authority.Guard
}
