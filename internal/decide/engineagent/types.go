// Package engineagent decides for the process beside one model engine of the
// users' platform: which requests may go to the engine now, which adapters it
// holds and which orders it gets.
//
// Answers go from the engine straight to the entry, so that the loss of this
// process ends no answer. What it owns are the admission to the engine, the
// adapter slots and the orders. The load it is built for is arrivals in clumps
// with long prompts: an engine that reads many prompts at once pauses all its
// streams.
//
// An Agent is a pure state machine: events go in as method calls with the
// time, and actions come out for the caller to perform. It is used by one
// goroutine.
package engineagent

import (
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// SessionID numbers the sessions with entries; 0 means none.
type SessionID uint64

// Adapter names an adapter of a base model. An empty Name stands for the base
// model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns MODEL/ADAPTER.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// Look is what the engine says of itself.
type Look struct {
	// Incarnation is the start of the engine; it changes with a restart.
	Incarnation int64
	// Orders counts the orders that the engine accepted since its start.
	Orders uint64
	// Busy is true while a base model is loaded or unloaded.
	Busy    bool
	Models  []string
	Running int
	Waiting int
	// Held and Coming map the adapters to their versions.
	Held   map[Adapter]int
	Coming map[Adapter]int
	// Runs lists the requests in the engine's batch.
	Runs []Run
}

// Run is a request in the engine's batch.
type Run struct {
	ID string
	// Tokens is the number of tokens in the engine's memory, Events that of
	// the events that it gave.
	Tokens int
	Events int
}

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// Order is an order to the engine.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// Version is the version to load; 0 stands for the newest.
	Version int
	// After is the number of orders that the engine must have accepted
	// before; it refuses the order otherwise.
	After    uint64
	Instance string
	Fence    uint64
}

// OrderOutcome is what became of an order.
type OrderOutcome uint8

// Outcomes of orders.
const (
	OrderAccepted OrderOutcome = iota + 1
	// OrderConflict means that another order came first.
	OrderConflict
	// OrderFenced means that the engine has seen a higher fencing number.
	OrderFenced
	// OrderMisdirected means that another incarnation has the address.
	OrderMisdirected
	OrderRefused
	// OrderUnanswered means that the order may have been accepted.
	OrderUnanswered
)

var outcomeNames = map[OrderOutcome]string{
	OrderAccepted: "accepted", OrderConflict: "conflict", OrderFenced: "fenced",
	OrderMisdirected: "misdirected", OrderRefused: "refused", OrderUnanswered: "unanswered",
}

// String returns the name used in logs.
func (o OrderOutcome) String() string { return outcomeNames[o] }

// Action is something the caller must perform.
type Action interface{ isAction() }

// Grant lets a request go to the engine.
type Grant struct {
	Session SessionID
	ID      wire.AttemptID
	Version int
	// Waited is the time since the reservation.
	Waited time.Duration
}

// Refuse ends a reservation. The request was not run.
type Refuse struct {
	Session    SessionID
	ID         wire.AttemptID
	Code       result.Code
	RetryAfter time.Duration
}

// GiveOrder gives an order to the engine.
type GiveOrder struct{ Order Order }

// TakeLook asks for a Look.
type TakeLook struct{}

func (Grant) isAction()     {}
func (Refuse) isAction()    {}
func (GiveOrder) isAction() {}
func (TakeLook) isAction()  {}

// Recorder counts decisions.
type Recorder interface {
	// Refused counts a reservation that ended with a code other than OK.
	Refused(code result.Code)
	// Count adds one to a named counter.
	Count(name string)
}

type phase uint8

const (
	// waiting requests are not admitted yet.
	waiting phase = iota
	// reading requests are admitted; the engine reads their prompts.
	reading
	// answering requests gave their first event.
	answering
)

// job is one reservation.
type job struct {
	id      wire.AttemptID
	session SessionID
	adapter Adapter
	// want is the oldest version that may serve the request.
	want    int
	prompt  int
	rank    int
	phase   phase
	arrived time.Time
	granted time.Time
	// due is when a first event is no longer on time.
	due      time.Time
	deadline time.Time
	// orphaned is when the session was lost.
	orphaned time.Time
}
