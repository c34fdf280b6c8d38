package tables

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// MaxName is the longest name in bytes.
	MaxName       = 200
	maxPools      = 1000
	maxClasses    = 64
	maxTargets    = 5000
	maxRoutes     = 100_000
	maxMillis     = 24 * 60 * 60 * 1000
	maxPerTarget  = 4096
	maxLoadRate   = 10_000
	maxQueueLimit = 100_000
	// maxPoolRow and maxMembers bound the two parts of a PoolUpdate message,
	// whose frame may have 1 MB.
	maxPoolRow = 640 << 10
	maxMembers = 256 << 10
)

// Validate returns the faults of the two tables and of their join, at most
// MaxFaults. Each carries a code and a *FieldError.
func Validate(routes *RouteTable, pools *PoolTable) []error {
	v := &validator{
		pools:     make(map[string]*Pool),
		targets:   make(map[string]string),
		addresses: make(map[netip.AddrPort]string),
	}
	v.checkWeightStore(pools)
	if n := len(pools.Pools); n < 1 || n > maxPools {
		v.malformed("pools", "%d pools, allowed 1 to %d", n, maxPools)
	}
	for i := range pools.Pools {
		v.checkPool(fmt.Sprintf("pools[%d]", i), &pools.Pools[i])
	}
	if v.members > maxMembers {
		v.fail(result.ValueTooLarge, "pools", "names of engine targets have %d bytes, limit %d", v.members, maxMembers)
	}
	if len(routes.Routes) > maxRoutes {
		v.fail(result.ValueTooLarge, "routes", "%d routes, limit %d", len(routes.Routes), maxRoutes)
	}
	matches := make(map[string]int, len(routes.Routes))
	for i := range routes.Routes {
		v.checkRoute(i, &routes.Routes[i], matches)
	}
	return v.faults
}

type validator struct {
	pools map[string]*Pool
	// targets and addresses hold where a name or address was used first.
	targets   map[string]string
	addresses map[netip.AddrPort]string
	// members is the size of the names of all engine targets in bytes.
	members int
	faults  []error
}

func (v *validator) fail(code result.Code, field, format string, args ...any) {
	if len(v.faults) < MaxFaults {
		v.faults = append(v.faults, result.Wrap(code, &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}))
	}
}

func (v *validator) malformed(field, format string, args ...any) {
	v.fail(result.MalformedTable, field, format, args...)
}

func (v *validator) within(field string, n, low, high int) {
	if n < low || n > high {
		v.malformed(field, "%d is not in %d to %d", n, low, high)
	}
}

// checkName accepts printable names without spaces. Names go into log lines,
// headers and hash inputs, where control characters are ambiguous.
func (v *validator) checkName(at, field, name string) {
	if name == "" || len(name) > MaxName {
		v.malformed(at+field, "name of %d bytes, allowed 1 to %d", len(name), MaxName)
		return
	}
	bad := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) }
	if !utf8.ValidString(name) || strings.ContainsFunc(name, bad) {
		v.malformed(at+field, "%q contains a space or a character that is not printable", name)
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
	if !(ws.LoadsPerSecond > 0 && ws.LoadsPerSecond <= maxLoadRate) {
		v.malformed("weight_store.loads_per_second", "%g is not above 0 and up to %d", ws.LoadsPerSecond, maxLoadRate)
	}
	v.within("weight_store.max_in_flight", ws.MaxInFlight, 1, maxPerTarget)
	v.within("weight_store.load_ms", ws.LoadMS, 1, maxMillis)
}

func (v *validator) checkPool(at string, p *Pool) {
	v.checkName(at, ".name", p.Name)
	if _, ok := v.pools[p.Name]; ok {
		v.fail(result.DuplicateName, at+".name", "pool %q occurs twice", p.Name)
	}
	v.pools[p.Name] = p
	switch p.Kind {
	case KindEngine:
		v.checkName(at, ".base_model", p.BaseModel)
		v.within(at+".slots", p.Slots, 1, maxPerTarget)
	case KindService:
		if p.BaseModel != "" || p.Slots != 0 {
			v.malformed(at+".kind", "a plain service has no base_model and no slots")
		}
	default:
		v.malformed(at+".kind", "%q is not one of %s, %s", p.Kind, KindEngine, KindService)
	}
	v.within(at+".max_running", p.MaxRunning, 1, maxPerTarget)
	v.within(at+".queue_limit", p.QueueLimit, 1, maxQueueLimit)
	if !(p.LongShare >= 0 && p.LongShare <= 1) {
		v.malformed(at+".long_share", "%g is not in 0 to 1", p.LongShare)
	}
	v.checkClasses(at+".classes", p)
	v.checkTargets(at+".targets", p)
	if row, err := json.Marshal(p); err != nil || len(row) > maxPoolRow {
		v.fail(result.ValueTooLarge, at, "pool %q has %d bytes, limit %d", p.Name, len(row), maxPoolRow)
	}
}

func (v *validator) checkClasses(at string, p *Pool) {
	v.count(at, "classes", len(p.Classes), maxClasses)
	names := make(map[string]bool)
	for i, c := range p.Classes {
		field := fmt.Sprintf("%s[%d]", at, i)
		v.checkName(field, ".name", c.Name)
		if names[c.Name] {
			v.fail(result.DuplicateName, field+".name", "class %q occurs twice in pool %q", c.Name, p.Name)
		}
		names[c.Name] = true
		v.within(field+".first_token_ms", c.FirstTokenMS, 1, maxMillis)
		v.within(field+".total_ms", c.TotalMS, 1, maxMillis)
		if c.TotalMS < c.FirstTokenMS {
			v.malformed(field+".total_ms", "%d is less than first_token_ms %d", c.TotalMS, c.FirstTokenMS)
		}
	}
}

func (v *validator) count(at, what string, n, limit int) {
	if n < 1 || n > limit {
		v.malformed(at, "%d %s, allowed 1 to %d", n, what, limit)
	}
}

func (v *validator) checkTargets(at string, p *Pool) {
	v.count(at, "targets", len(p.Targets), maxTargets)
	for i, t := range p.Targets {
		field := fmt.Sprintf("%s[%d]", at, i)
		v.checkName(field, ".name", t.Name)
		if pool, ok := v.targets[t.Name]; ok {
			v.fail(result.DuplicateName, field+".name", "target %q occurs twice, first in pool %q", t.Name, pool)
		}
		v.targets[t.Name] = p.Name
		v.checkAddress(field+".address", t)
		v.checkName(field, ".failure_domain", t.FailureDomain)
		if p.Kind == KindEngine {
			v.members += len(t.Name)
		}
	}
}

func (v *validator) checkAddress(field string, t Target) {
	addr, err := netip.ParseAddrPort(t.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		v.malformed(field, "%q is not IP:port", t.Address)
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if first, ok := v.addresses[addr]; ok {
		v.fail(result.DuplicateName, field, "address %s of target %q is that of target %q", addr, t.Name, first)
	}
	v.addresses[addr] = t.Name
}

func (v *validator) checkRoute(i int, r *Route, matches map[string]int) {
	at := fmt.Sprintf("routes[%d]", i)
	if (r.Model == "") == (r.Path == "") {
		v.malformed(at, "set exactly one of model and path")
		return
	}
	if r.Model != "" {
		v.checkName(at, ".model", r.Model)
	} else {
		v.checkPath(at, r.Path)
	}
	if first, ok := matches[r.Match()]; ok {
		v.fail(result.DuplicateName, at, "%q occurs twice, first in routes[%d]", r.Match()[2:], first)
	}
	matches[r.Match()] = i
	v.checkAdapter(at, r)
	v.checkJoin(at, r)
}

func (v *validator) checkAdapter(at string, r *Route) {
	switch {
	case r.Adapter == "" && r.Version == "":
	case r.Adapter == "":
		v.malformed(at+".version", "version %q without an adapter", r.Version)
	case r.Version == "":
		v.malformed(at+".adapter", "adapter %q without a version", r.Adapter)
	default:
		v.checkName(at, ".adapter", r.Adapter)
		v.checkName(at, ".version", r.Version)
	}
}

// checkPath accepts paths in the form that an HTTP server matches.
func (v *validator) checkPath(at, p string) {
	v.checkName(at, ".path", p)
	if p[0] != '/' || (path.Clean(p) != p && path.Clean(p)+"/" != p) || strings.ContainsAny(p, "?#%") {
		v.malformed(at+".path", "%q is not a clean absolute path", p)
	}
}

// checkJoin checks what a route refers to.
func (v *validator) checkJoin(at string, r *Route) {
	pool, ok := v.pools[r.Pool]
	if !ok {
		v.fail(result.DanglingName, at+".pool", "the pool table has no pool %q", r.Pool)
		return
	}
	if _, ok := pool.ClassByName(r.Class); !ok {
		v.fail(result.DanglingName, at+".class", "pool %q has no class %q", r.Pool, r.Class)
	}
	if pool.Kind == KindService && r.Adapter != "" {
		v.malformed(at+".adapter", "pool %q is a plain service and has no adapters", r.Pool)
	}
	if (pool.Kind == KindEngine) != (r.Model != "") {
		v.malformed(at+".pool", "engine pools are matched by model, plain services by path")
	}
}
