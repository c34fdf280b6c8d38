// Package catalog holds what the operator and the replicas have published:
// routes, pools, targets and adapter versions. A Catalog merges changes by
// their revision, in whatever order and from whichever process they come, and
// publishes immutable views.
package catalog

import "time"

// Kind says how often a request may run.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events. They run at most once unless
	// their route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case NonIdempotent:
		return "non-idempotent"
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Share is the part of a route's requests that one pool gets.
type Share struct {
	Pool   string
	Weight float64
}

// Route says which pool serves the requests of a host below a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target.
	Resumable bool
	// Timeout is the longest time a request may be kept open.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, of a stream to its first
	// event, within which the answer has its full value. It may be 0.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between two events of a stream that
	// still counts as on time. It may be 0.
	PauseTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	Split       []Share
}

// Repeatable tells whether a request may run again from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model of a pool of engines.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
}

// Engine holds what the targets of a pool of model engines have in common.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// EventTokens is the number of tokens, and so of steps, in an event of a
	// stream.
	EventTokens int
	// MemoryMB is the memory for base models and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters an engine holds.
	AdapterSlots int
	Models       []Model
}

// Model returns the base model with that name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Capacity returns how many adapters of a model an engine holds.
func (e *Engine) Capacity(model Model) int {
	if model.AdapterMB <= 0 {
		return e.AdapterSlots
	}
	room := e.MemoryMB - model.WeightsMB
	return max(0, min(e.AdapterSlots, int(room/model.AdapterMB)))
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version int64
	Pools   map[string]*Pool
	Limits  Limits
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	count int
}

// Target is one replica as it describes itself.
type Target struct {
	// ID changes with each incarnation, mostly.
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	Slots         int
	// Draining targets get no new work.
	Draining bool
	// Born is the start of the incarnation in Unix milliseconds, 0 if the
	// target does not say.
	Born int64
}

// AdapterKey names an adapter over all its versions.
type AdapterKey struct {
	Model   string
	Adapter string
}
