package tables

import (
	"fmt"
	"net"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// MaxName is the longest name in bytes.
	MaxName       = 200
	maxPools      = 1000
	maxTargets    = 5000
	maxRoutes     = 100_000
	maxMillis     = 24 * 60 * 60 * 1000
	maxPerTarget  = 4096
	maxLoadRate   = 10_000
	maxQueueLimit = 100_000
)

// Validate returns every fault of the two tables and of their join.
func Validate(routes *RouteTable, pools *PoolTable) []error {
	v := &validator{pools: make(map[string]*Pool)}
	v.checkWeightStore(pools)
	if len(pools.Pools) > maxPools {
		v.fail(result.ValueTooLarge, "%d pools, limit %d", len(pools.Pools), maxPools)
	}
	targets := make(map[string]bool)
	for i := range pools.Pools {
		v.checkPool(&pools.Pools[i], targets)
	}
	if len(routes.Routes) > maxRoutes {
		v.fail(result.ValueTooLarge, "%d routes, limit %d", len(routes.Routes), maxRoutes)
	}
	matches := make(map[string]bool, len(routes.Routes))
	for i := range routes.Routes {
		v.checkRoute(i, &routes.Routes[i], matches)
	}
	return v.faults
}

type validator struct {
	pools  map[string]*Pool
	faults []error
}

func (v *validator) fail(code result.Code, format string, args ...any) {
	v.faults = append(v.faults, result.Newf(code, format, args...))
}

func (v *validator) checkName(what, name string) {
	if name == "" || len(name) > MaxName {
		v.fail(result.MalformedTable, "%s: name of %d bytes, allowed 1 to %d", what, len(name), MaxName)
	}
}

func (v *validator) checkWeightStore(pools *PoolTable) {
	ws := pools.WeightStore
	hasEngines := false
	for i := range pools.Pools {
		hasEngines = hasEngines || pools.Pools[i].Kind == KindEngine
	}
	if !hasEngines {
		return
	}
	if ws.LoadsPerSecond <= 0 || ws.LoadsPerSecond > maxLoadRate {
		v.fail(result.MalformedTable, "weight_store.loads_per_second %g is not in (0, %d]", ws.LoadsPerSecond, maxLoadRate)
	}
	if ws.MaxInFlight < 1 || ws.LoadMS < 1 {
		v.fail(result.MalformedTable, "weight_store.max_in_flight and load_ms must be at least 1")
	}
}

func (v *validator) checkPool(p *Pool, targets map[string]bool) {
	what := fmt.Sprintf("pool %q", p.Name)
	v.checkName(what, p.Name)
	if _, ok := v.pools[p.Name]; ok {
		v.fail(result.DuplicateName, "%s occurs twice", what)
	}
	v.pools[p.Name] = p
	if p.Kind != KindEngine && p.Kind != KindService {
		v.fail(result.MalformedTable, "%s: kind %q, allowed %q and %q", what, p.Kind, KindEngine, KindService)
	}
	if p.Kind == KindEngine && (p.BaseModel == "" || p.Slots < 1 || p.Slots > maxPerTarget) {
		v.fail(result.MalformedTable, "%s: an engine pool needs base_model and slots from 1 to %d", what, maxPerTarget)
	}
	if p.MaxRunning < 1 || p.MaxRunning > maxPerTarget {
		v.fail(result.MalformedTable, "%s: max_running %d is not in 1 to %d", what, p.MaxRunning, maxPerTarget)
	}
	if p.QueueLimit < 1 || p.QueueLimit > maxQueueLimit {
		v.fail(result.MalformedTable, "%s: queue_limit %d is not in 1 to %d", what, p.QueueLimit, maxQueueLimit)
	}
	if p.LongShare < 0 || p.LongShare > 1 {
		v.fail(result.MalformedTable, "%s: long_share %g is not in 0 to 1", what, p.LongShare)
	}
	v.checkClasses(what, p)
	v.checkTargets(what, p, targets)
}

func (v *validator) checkClasses(what string, p *Pool) {
	if len(p.Classes) == 0 {
		v.fail(result.MalformedTable, "%s has no classes", what)
	}
	names := make(map[string]bool)
	for _, c := range p.Classes {
		v.checkName(what+" class", c.Name)
		if names[c.Name] {
			v.fail(result.DuplicateName, "%s: class %q occurs twice", what, c.Name)
		}
		names[c.Name] = true
		if c.FirstTokenMS < 1 || c.TotalMS < c.FirstTokenMS || c.TotalMS > maxMillis {
			v.fail(result.MalformedTable, "%s: class %q needs 1 <= first_token_ms <= total_ms <= %d", what, c.Name, maxMillis)
		}
	}
}

func (v *validator) checkTargets(what string, p *Pool, targets map[string]bool) {
	if len(p.Targets) == 0 || len(p.Targets) > maxTargets {
		v.fail(result.MalformedTable, "%s: %d targets, allowed 1 to %d", what, len(p.Targets), maxTargets)
	}
	for _, t := range p.Targets {
		v.checkName(what+" target", t.Name)
		if targets[t.Name] {
			v.fail(result.DuplicateName, "%s: target %q occurs twice", what, t.Name)
		}
		targets[t.Name] = true
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil || net.ParseIP(host) == nil {
			v.fail(result.MalformedTable, "%s: target %q: address %q is not IP:port", what, t.Name, t.Address)
		}
		if t.FailureDomain == "" {
			v.fail(result.MalformedTable, "%s: target %q has no failure_domain", what, t.Name)
		}
	}
}

func (v *validator) checkRoute(i int, r *Route, matches map[string]bool) {
	what := fmt.Sprintf("route %d (%s)", i, r.match())
	if (r.Model == "") == (r.Path == "") {
		v.fail(result.MalformedTable, "%s: set exactly one of model and path", what)
		return
	}
	if len(r.Model) > MaxName || len(r.Path) > MaxName || len(r.Adapter) > MaxName || len(r.Version) > MaxName {
		v.fail(result.MalformedTable, "%s: a name is longer than %d bytes", what, MaxName)
	}
	if r.Path != "" && r.Path[0] != '/' {
		v.fail(result.MalformedTable, "%s: a path starts with /", what)
	}
	if matches[r.match()] {
		v.fail(result.DuplicateName, "%s occurs twice", what)
	}
	matches[r.match()] = true
	if (r.Adapter == "") != (r.Version == "") {
		v.fail(result.MalformedTable, "%s: adapter and version go together", what)
	}
	pool, ok := v.pools[r.Pool]
	if !ok {
		v.fail(result.DanglingName, "%s: no pool %q", what, r.Pool)
		return
	}
	if _, ok := pool.ClassByName(r.Class); !ok {
		v.fail(result.DanglingName, "%s: pool %q has no class %q", what, r.Pool, r.Class)
	}
	if pool.Kind == KindService && r.Adapter != "" {
		v.fail(result.MalformedTable, "%s: a plain service has no adapters", what)
	}
	if (pool.Kind == KindEngine) != (r.Model != "") {
		v.fail(result.MalformedTable, "%s: engine pools are matched by model, plain services by path", what)
	}
}
