// Package engineagent decides for the target process of one model engine which
// requests may go to the engine, which adapters are resident in its slots and
// which orders it gets. It is for deployments in which the entries send the
// requests to the engine themselves (target/agent). Package scheduler decides for
// target processes through which the requests and answers pass (target/core).
//
// The engine sends its answers directly to the entry, so that the loss of the
// target process ends no answer. The target process controls the admission to the
// engine, the adapter slots and the orders. A poll reads the status of the engine.
// An order instructs it to load or unload an adapter or a base model.
//
// An incarnation is one run of the engine from its start to its end. The status
// identifies it by its start time (StartedAtMS), and orders and reservations by
// its ID (IncarnationID). The engine does not report its ID; the entries send
// it together with the start time.
//
// The package is designed for bursts of
// requests with long prompts: an engine that reads many prompts at once pauses
// all its streams.
//
// An Agent is a pure state machine: events are passed in as method calls with the
// current time, and return actions that the code which uses the Agent must
// perform. It is used by one goroutine.
package engineagent

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// SessionID identifies a session with an entry; 0 means none.
type SessionID uint64

// Adapter names an adapter of a base model. An empty Name stands for the base
// model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns MODEL/ADAPTER.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// EngineStatus is the status of the engine as returned by one poll.
type EngineStatus struct {
	// StartedAtMS is the start time of the engine in Unix milliseconds.
	StartedAtMS int64
	// AcceptedOrders is the number of orders that the engine has accepted since
	// its start.
	AcceptedOrders uint64
	// Busy is true while the engine loads or unloads a base model.
	Busy    bool
	Models  []string
	Running int
	Waiting int
	// Held maps the resident adapters, which are loaded into the engine's
	// slots, to their versions. Loading maps those that are being loaded.
	Held    map[Adapter]int
	Loading map[Adapter]int
	// BatchRequests lists the requests in the engine's batch.
	BatchRequests []BatchRequest
	// PromptMemoryUsed is the part of the memory for prompts and answers that cannot be
	// evicted, and PromptMemoryTotal all of it, in tokens; 0 if the engine does not state it.
	PromptMemoryUsed  int
	PromptMemoryTotal int
	// KeptConnection is true if the connection of the poll has carried an answer before:
	// the status may then be a copy of an earlier one.
	KeptConnection bool
}

// shows reports whether the status shows the effect of an order.
func (s *EngineStatus) shows(o Order) bool {
	held, resident := s.Held[o.Adapter]
	coming, loading := s.Loading[o.Adapter]
	switch {
	case o.Kind == Unload:
		return !resident
	case o.Adapter.Name == "":
		return s.Busy || slices.Contains(s.Models, o.Adapter.Model)
	}
	return resident && held >= o.Version || loading && coming >= o.Version
}

// BatchRequest is a request in the engine's batch.
type BatchRequest struct {
	ID string
	// Tokens is the number of the request's tokens in the engine's memory,
	// Events the number of events that the engine has sent for it.
	Tokens int
	Events int
}

// OrderKind is the operation of an order.
type OrderKind uint8

// Kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// Order instructs the engine to load or unload an adapter or a base model.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// Version is the version to load; 0 stands for the newest.
	Version int
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before; otherwise it refuses the order with OrderConflict.
	ExpectedOrders uint64
	// IncarnationID is the ID of the engine's incarnation, empty if it is unknown.
	IncarnationID string
	// Fence is the fencing number. The engine may refuse an order with a lower
	// number than one that it has seen.
	Fence uint64
}

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// Outcomes of orders.
const (
	// OrderAccepted means that the engine carries out the order.
	OrderAccepted OrderOutcome = iota + 1
	// OrderConflict means that the engine has accepted another order first.
	OrderConflict
	// OrderFenced means that the engine has seen a higher fencing number.
	OrderFenced
	// OrderMisdirected means that another incarnation uses the address.
	OrderMisdirected
	// OrderRefused means that the engine refused the order for any other reason,
	// for example because it cannot load the adapter.
	OrderRefused
	// OrderUnanswered means that no reply came; the engine may have accepted the
	// order.
	OrderUnanswered
)

var outcomeNames = map[OrderOutcome]string{
	OrderAccepted: "accepted", OrderConflict: "conflict", OrderFenced: "fenced",
	OrderMisdirected: "misdirected", OrderRefused: "refused", OrderUnanswered: "unanswered",
}

// String returns the name that logs and counters use.
func (o OrderOutcome) String() string { return outcomeNames[o] }

// Notice is what the engine says of itself in any answer.
type Notice struct {
	// Leaving is true if the engine ends and must get no new requests.
	Leaving bool
	// RetryAfter is how long the engine must get neither polls nor orders, 0 if it
	// did not ask for time.
	RetryAfter time.Duration
	// RateLimit is the number of requests a second that the engine takes from all
	// entries together, 0 if the answer names none.
	RateLimit float64
	// MalformedRateLimit is true if the answer names a rate that cannot be read.
	MalformedRateLimit bool
	// ExtraAnswer is true if, since the answer before, the engine has sent one that
	// belongs to no request.
	ExtraAnswer bool
}

// Action is something that the code which uses the Agent must perform.
type Action interface{ isAction() }

// Grant admits a request to the engine.
type Grant struct {
	Session SessionID
	ID      wire.AttemptID
	// Version is the resident version of the adapter, 0 if the request names
	// no adapter.
	Version int
	// QueueTime is the time since the reservation.
	QueueTime time.Duration
}

// Refuse ends a reservation. The request was not run.
type Refuse struct {
	Session    SessionID
	ID         wire.AttemptID
	Code       result.Code
	RetryAfter time.Duration
}

// SendOrder sends an order to the engine. Its outcome is passed to
// OrderCompleted.
type SendOrder struct {
	Order Order
	// NewConnection is true if the order must have a connection of its own.
	NewConnection bool
}

// PollEngine polls the status of the engine. The result is passed to
// PollSucceeded or PollFailed.
type PollEngine struct {
	// NewConnection is true if the poll must have a connection of its own.
	NewConnection bool
}

func (Grant) isAction()      {}
func (Refuse) isAction()     {}
func (SendOrder) isAction()  {}
func (PollEngine) isAction() {}

// Recorder counts decisions.
type Recorder interface {
	// Refused counts a reservation that ended with a code other than OK.
	Refused(code result.Code)
	// Count adds one to a named counter.
	Count(name string)
	// Add adds n to a named counter.
	Add(name string, n int64)
}

// phase is the progress of a request.
type phase uint8

const (
	// waiting requests are not admitted yet.
	waiting phase = iota
	// reading requests are admitted; the engine reads their prompts.
	reading
	// answering requests have sent their first event.
	answering
)

// reservation is a request that an entry has reserved or attached.
type reservation struct {
	id      wire.AttemptID
	session SessionID
	adapter Adapter
	// minVersion is the oldest adapter version that may serve the request.
	minVersion int
	// prompt is the number of prompt tokens that the engine has to read, and promptLength
	// the length of the prompt. They differ by what the engine holds of prefixes.
	prompt       int
	promptLength int
	prefixes     []wire.PromptPrefix
	// rank is the priority; lower ranks are admitted first.
	rank       int
	phase      phase
	reservedAt time.Time
	admittedAt time.Time
	// firstEventDue is the time after which the first event is late.
	firstEventDue time.Time
	deadline      time.Time
	// redirect is true if the request is refused once its first event would be late.
	redirect bool
	// attempt is the ID under which the engine lists the request, empty if the entry did
	// not send it.
	attempt string
	// sessionLostAt is when the session of an admitted request was lost, zero
	// while it has a session.
	sessionLostAt time.Time
}
