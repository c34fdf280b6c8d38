package experiment

import (
	"fmt"
	"time"

	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/tables"
)

// Sizes of the measurements, from docs/design.md.
const (
	DefaultTargets  = 12
	DefaultSlots    = 8
	DefaultAdapters = 3000
	DefaultEntries  = 3
)

const (
	poolName  = "bench"
	baseModel = "base"
	// ShortClass and LongClass are the classes of the pool.
	ShortClass = "short"
	LongClass  = "long"
	version    = "v1"
	// failureDomains is the number of zones of both users.
	failureDomains = 4
	// maxRunning matches the batch that an engine runs in one step.
	maxRunning = engineBatch
	queueLimit = 64
	longShare  = 0.25
	revision   = 1
)

var (
	shortClass = tables.Class{Name: ShortClass, FirstTokenMS: 2_000, TotalMS: 30_000}
	longClass  = tables.Class{Name: LongClass, FirstTokenMS: 10_000, TotalMS: 180_000, Long: true}
)

// Policy selects the decisions of a run.
type Policy struct {
	Name            string
	Pick            picker.Policy
	Retry           retry.Config
	Slots           slots.Policy
	FIFO            bool
	StaticLoadShare bool
}

// Naive returns the policies that measurements compare with.
func Naive() Policy {
	unlimited := retry.DefaultConfig()
	unlimited.Unlimited = true
	return Policy{
		Name: "naive", Pick: picker.Random, Retry: unlimited, Slots: slots.LRU, FIFO: true, StaticLoadShare: true,
	}
}

// Chosen returns the policies in production.
func Chosen() Policy { return Policy{Name: "chosen", Retry: retry.DefaultConfig()} }

// Config describes a run.
type Config struct {
	Seed     int64
	Targets  int
	Slots    int
	Adapters int
	Entries  int
	// From and To bound the measured window since the start of the run;
	// the run goes on until every request has ended.
	From time.Duration
	To   time.Duration
	// ReportLag delays the load reports of target processes; with LagTokens
	// also their need for load tokens.
	ReportLag time.Duration
	LagTokens bool
	// SlowTargets is the number of targets that run SlowFactor times slower
	// from SlowFrom on.
	SlowTargets int
	SlowFactor  float64
	SlowFrom    time.Duration
	// RestartAt restarts the engine of the first target; 0 never.
	RestartAt time.Duration
}

// DefaultConfig returns the sizes of the design page.
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

// snapshot builds the two tables of a run.
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
			LoadsPerSecond: StoreRate, MaxInFlight: StoreInFlight, LoadMS: int(StoreLoadTime.Milliseconds()),
		},
		Pools: []tables.Pool{pool},
	})
	if len(faults) > 0 {
		return nil, fmt.Errorf("tables of the experiment: %w", faults[0])
	}
	return s, nil
}
