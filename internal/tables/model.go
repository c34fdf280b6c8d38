// Package tables holds the two tables that operators write. The route table maps
// requests to adapters, versions and pools; the pool table lists the pools and
// their targets. The package parses and validates the tables, builds an immutable
// Snapshot of both, and splits a snapshot into parts for publishing in the
// configuration service.
package tables

import "time"

// Kinds of pools.
const (
	// KindEngine marks a pool of model engines with adapter slots.
	KindEngine = "engine"
	// KindService marks a pool of plain services.
	KindService = "service"
)

// Route maps requests to an adapter, a version and a pool. Exactly one of Model
// and Path is set.
type Route struct {
	// Model matches the "model" field of a completion request exactly.
	Model string `json:"model,omitempty"`
	// Path matches the path of a call to a plain service: the same path or a
	// prefix of it that ends at a slash.
	Path string `json:"path,omitempty"`
	// Adapter and Version name the adapter; both are empty for the base
	// model and for plain services.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Pool    string `json:"pool"`
	// Class is the name of a class of the pool.
	Class string `json:"class"`
	// Repeatable marks an idempotent call. Any other call needs an
	// Idempotency-Key and runs at most once.
	Repeatable bool `json:"repeatable,omitempty"`
}

// Match returns the key of the route: the model with the prefix "m:" or the path
// with the prefix "p:". It is unique in a route table.
func (r *Route) Match() string {
	if r.Model != "" {
		return "m:" + r.Model
	}
	return "p:" + r.Path
}

// Class is a class of requests with the same time budgets.
type Class struct {
	Name string `json:"name"`
	// FirstTokenMS is the time budget in milliseconds until the first token
	// of a model's answer, or until the whole answer of a plain service.
	FirstTokenMS int `json:"first_token_ms"`
	// TotalMS is the time budget in milliseconds until the whole answer.
	TotalMS int `json:"total_ms"`
	// Long marks requests that run many times longer than the others of the
	// pool. They have their own queue and at most the pool's LongShare of the
	// requests that run at once.
	Long bool `json:"long,omitempty"`
}

// FirstTokenBudget returns FirstTokenMS as a duration.
func (c Class) FirstTokenBudget() time.Duration {
	return time.Duration(c.FirstTokenMS) * time.Millisecond
}

// TotalBudget returns TotalMS as a duration.
func (c Class) TotalBudget() time.Duration {
	return time.Duration(c.TotalMS) * time.Millisecond
}

// Target is one model engine or plain service.
type Target struct {
	Name string `json:"name"`
	// Address is the IP address and port of the target process.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Draining targets get no new requests and are not the home of an
	// idempotency key, unless all targets of the pool drain.
	Draining bool `json:"draining,omitempty"`
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// BaseModel is the model that the engines of the pool serve.
	BaseModel string `json:"base_model,omitempty"`
	// Slots is the number of adapter slots of one engine.
	Slots int `json:"slots,omitempty"`
	// MaxRunning is the largest number of requests that one target runs at
	// once.
	MaxRunning int `json:"max_running"`
	// QueueLimit is the largest number of requests that wait at one target.
	QueueLimit int `json:"queue_limit"`
	// LongShare is the largest share of MaxRunning, 0 to 1, for classes that
	// are Long.
	LongShare float64  `json:"long_share,omitempty"`
	Classes   []Class  `json:"classes"`
	Targets   []Target `json:"targets"`
}

// ClassByName returns the class with that name.
func (p *Pool) ClassByName(name string) (Class, bool) {
	for _, c := range p.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// TargetByName returns the target with that name.
func (p *Pool) TargetByName(name string) (Target, bool) {
	for _, t := range p.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// WeightStore holds the limits of the weight store, from which the engines of all
// pools load adapters.
type WeightStore struct {
	// LoadsPerSecond is the largest rate of adapter loads of the whole fleet.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// MaxInFlight is the number of concurrent loads above which each load
	// takes longer.
	MaxInFlight int `json:"max_in_flight"`
	// LoadMS is the duration of one load in milliseconds while the limits are
	// kept.
	LoadMS int `json:"load_ms"`
}

// RouteTable is the table of routes.
type RouteTable struct {
	Routes []Route `json:"routes"`
}

// PoolTable is the table of pools.
type PoolTable struct {
	WeightStore WeightStore `json:"weight_store"`
	Pools       []Pool      `json:"pools"`
}

// PoolRow is the configuration of one pool that a target process receives in a
// PoolUpdate message.
type PoolRow struct {
	Pool        Pool        `json:"pool"`
	WeightStore WeightStore `json:"weight_store"`
}

// PartRef identifies an encoded part of a table by its content.
type PartRef struct {
	// Key is the key of the part in the configuration service. It ends in the
	// first 16 bytes of the part's SHA-256 in hexadecimal.
	Key string `json:"key"`
	// Size is the size of the part in bytes.
	Size int `json:"size"`
}

// Manifest lists the parts of one snapshot.
type Manifest struct {
	Revision uint64    `json:"revision"`
	Routes   []PartRef `json:"routes,omitempty"`
	Pools    []PartRef `json:"pools"`
}
