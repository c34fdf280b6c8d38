package experiment

import (
	"fmt"
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/tables"
)

// Default sizes of a run, from docs/design.md. DefaultSlots is the number of
// adapter slots of each engine.
const (
	DefaultTargets  = 12
	DefaultSlots    = 8
	DefaultAdapters = 3000
	DefaultEntries  = 3
)

const (
	poolName  = "bench"
	baseModel = "base"
	// ShortClass and LongClass are the latency classes of the pool.
	ShortClass = "short"
	LongClass  = "long"
	version    = "v1"
	// failureDomains is the number of failure domains of the targets. Both
	// users of the system have this many.
	failureDomains = 4
	// maxRunning is the pool's limit on running requests per target. It
	// equals the largest batch of the engine model.
	maxRunning = maxEngineBatch
	queueLimit = 64
	longShare  = 0.25
	revision   = 1
)

var (
	shortClass = tables.Class{Name: ShortClass, FirstTokenMS: 2_000, TotalMS: 30_000}
	longClass  = tables.Class{Name: LongClass, FirstTokenMS: 10_000, TotalMS: 180_000, Long: true}
)

// Policy selects the variants of the decision code that a run uses. Zero values
// stand for the variants in production, except for Retry, which must be set.
type Policy struct {
	Name string
	// Pick selects the target of an attempt.
	Pick  picker.Strategy
	Retry retry.Config
	// Slots is the eviction policy: it selects the adapter that is unloaded to
	// free an adapter slot. The number of slots is Config.Slots.
	Slots slots.Policy
	// FIFO runs queued requests in order of arrival.
	FIFO bool
	// StaticLoadShare gives each target process a fixed share of the load
	// tokens, which permit adapter loads from the weight store, instead of
	// granting them on demand.
	StaticLoadShare bool
}

// Naive returns the simple policies that serve as the baseline.
func Naive() Policy {
	unlimited := retry.DefaultConfig()
	unlimited.Unlimited = true
	return Policy{
		Name: "naive", Pick: picker.Random, Retry: unlimited, Slots: slots.LRU, FIFO: true, StaticLoadShare: true,
	}
}

// Chosen returns the production policies.
func Chosen() Policy { return Policy{Name: "chosen", Retry: retry.DefaultConfig()} }

// Config describes a run.
type Config struct {
	Seed    int64
	Targets int
	// Slots is the number of adapter slots of each engine.
	Slots    int
	Adapters int
	Entries  int
	// The measured window is [From, To), on the time scale of Request.At. The
	// run goes on until every request has ended.
	From time.Duration
	To   time.Duration
	// ReportLag is the age of the load reports that entries receive. A load
	// report (wire.LoadReport) describes the requests that a target runs and
	// queues. LagLoadTokens applies the lag also to the fields of a report
	// that ask for load tokens, which permit adapter loads.
	ReportLag     time.Duration
	LagLoadTokens bool
	// SlowTargets is the number of targets that run SlowFactor times slower
	// from SlowFrom on.
	SlowTargets int
	SlowFactor  float64
	SlowFrom    time.Duration
	// EngineRestartAt is the time at which the engine of the first target
	// restarts; 0 means never.
	EngineRestartAt time.Duration
}

// DefaultConfig returns a configuration with the default sizes.
func DefaultConfig(seed int64) Config {
	return Config{
		Seed: seed, Targets: DefaultTargets, Slots: DefaultSlots,
		Adapters: DefaultAdapters, Entries: DefaultEntries,
	}
}

func targetName(i int) string { return fmt.Sprintf("target-%02d", i) }

func adapterName(i int) string { return fmt.Sprintf("adapter-%04d", i) }

func modelName(adapter int, long bool) string {
	if long {
		return adapterName(adapter) + "-" + LongClass
	}
	return adapterName(adapter)
}

// snapshot builds the route and pool tables of a run.
func (c Config) snapshot() (*tables.Snapshot, error) {
	pool := tables.Pool{
		Name: poolName, Kind: tables.KindEngine, BaseModel: baseModel, Slots: c.Slots,
		MaxRunning: maxRunning, QueueLimit: queueLimit, LongShare: longShare,
		Classes: []tables.Class{shortClass, longClass},
	}
	for i := range c.Targets {
		pool.Targets = append(pool.Targets, tables.Target{
			Name: targetName(i), Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i),
			FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains),
		})
	}
	routes := &tables.RouteTable{}
	for i := range c.Adapters {
		for _, long := range []bool{false, true} {
			class := ShortClass
			if long {
				class = LongClass
			}
			routes.Routes = append(routes.Routes, tables.Route{
				Model: modelName(i, long), Adapter: adapterName(i), Version: version,
				Pool: poolName, Class: class, Repeatable: true,
			})
		}
	}
	s, faults := tables.Build(revision, routes, &tables.PoolTable{
		WeightStore: tables.WeightStore{
			LoadsPerSecond: StoreLoadsPerSecond, MaxInFlight: StoreMaxInFlight, LoadMS: int(StoreLoadTime.Milliseconds()),
		},
		Pools: []tables.Pool{pool},
	})
	if len(faults) > 0 {
		return nil, fmt.Errorf("tables of the experiment: %w", faults[0])
	}
	return s, nil
}
