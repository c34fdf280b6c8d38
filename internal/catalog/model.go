// Package catalog holds the state that the operator and the targets publish:
// routes, pools, targets and adapter versions. A Catalog merges changes by
// their revision, whatever their order and whichever process they come from,
// and publishes immutable views.
package catalog

import "time"

// Kind states how often a request may run.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a stream of events as the response. They run at most
	// once unless their route is resumable.
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

// PoolWeight is the share of a route's requests that one pool gets, relative to
// the other weights of the route.
type PoolWeight struct {
	Pool   string
	Weight float64
}

// Route states which pools serve the requests to a host below a path prefix, and
// how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is true if a stream may continue at another target.
	Resumable bool
	// Timeout bounds the time for which a request is kept open.
	Timeout time.Duration
	// LatencyTarget is the time within which the response, or the first event of
	// a stream, counts as on time. It may be 0.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between two events of a stream that
	// still counts as on time. It may be 0.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of targets that may run one request.
	MaxAttempts int
	// Public is true if requests need no key where the configuration has workspaces.
	Public bool
	// Closed is true if the route cannot be used. Its requests are refused.
	Closed bool
	// Split distributes the requests among pools.
	Split []PoolWeight
}

// Repeatable reports whether a request may run again from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model of a pool of engines.
type Model struct {
	Name string
	// WeightsMB is the memory for the base model, AdapterMB that for each of
	// its adapters.
	WeightsMB float64
	AdapterMB float64
}

// Engine holds the properties that all engines of a pool share.
type Engine struct {
	// MaxRunning is the number of requests that an engine runs at once.
	MaxRunning int
	// TokensPerEvent is the number of tokens in an event of a stream. An engine
	// needs one step for each token.
	TokensPerEvent int
	// MemoryMB is the memory of an engine for base models and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots int
	// PromptMemoryTokens is the memory for prompts and answers in tokens, 0 if the
	// configuration does not state it. Then held prompt prefixes are not considered.
	PromptMemoryTokens int
	Models             []Model
}

// Model returns the base model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Capacity returns how many adapters of a model an engine can hold, within both
// its slots and its memory.
func (e *Engine) Capacity(model Model) int {
	if model.AdapterMB <= 0 {
		return e.AdapterSlots
	}
	fitting := (e.MemoryMB - model.WeightsMB) / model.AdapterMB
	if fitting >= float64(e.AdapterSlots) {
		return e.AdapterSlots
	}
	return max(0, int(fitting))
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
	// Closed lists what cannot be used of the version. Requests that need it are refused; the
	// rest of the version is in force.
	Closed ClosedItems
	// RoutesIncomplete is true if the version may have routes that cannot be matched.
	RoutesIncomplete bool
	// routes holds the routes of each host, the longest prefix first. The
	// host names are in lower case.
	routes     map[string][]*Route
	routeCount int
	workspaces Workspaces
}

// Target is a target as it registers itself.
type Target struct {
	// ID usually changes with each incarnation.
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// MaxRunning is the number of requests that the target runs at once, 0 if it
	// does not report it. It limits the requests at a plain service; for an
	// engine, entries use Engine.MaxRunning of its pool.
	MaxRunning int
	// Draining is true if the target must get no new requests.
	Draining bool
	// StartedAtMS is the start of the incarnation in Unix milliseconds, 0 if the
	// target does not report it.
	StartedAtMS int64
	// SoftwareVersion is the version of the target's software, which has no order and is
	// not that of a configuration or an adapter. Empty is a version, too. What targets of
	// two versions write does not fit into one stream.
	SoftwareVersion string
}

// AdapterKey identifies an adapter in all its versions.
type AdapterKey struct {
	Model   string
	Adapter string
}
