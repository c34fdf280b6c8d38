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
	// MaxNameBytes is the largest length of a name.
	MaxNameBytes  = 200
	maxPools      = 1000
	maxClasses    = 64
	maxTargets    = 5000
	maxRoutes     = 100_000
	maxDurationMS = 24 * 60 * 60 * 1000
	// maxConcurrency bounds the adapter slots and running requests of a
	// target and the loads in flight.
	maxConcurrency    = 4096
	maxLoadsPerSecond = 10_000
	maxQueueLimit     = 100_000
	// maxPoolRowBytes and maxEngineNamesBytes bound the two large fields of a
	// PoolUpdate message, whose frame is at most 1 MB.
	maxPoolRowBytes     = 640 << 10
	maxEngineNamesBytes = 256 << 10
)

// Validate returns the faults of the two tables and of the references from routes
// to pools and classes, at most MaxFaults. Each has a result code and wraps a
// *FieldError.
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
	if v.engineNamesBytes > maxEngineNamesBytes {
		v.fail(result.ValueTooLarge, "pools", "names of engine targets have %d bytes, limit %d", v.engineNamesBytes, maxEngineNamesBytes)
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

// validator collects faults, and the names and addresses in which it looks for
// duplicates and references.
type validator struct {
	// pools holds the pools seen so far by name.
	pools map[string]*Pool
	// targets holds the pool name of each target name seen so far, addresses
	// the target name of each address.
	targets   map[string]string
	addresses map[netip.AddrPort]string
	// engineNamesBytes is the total length of the names of all engine targets.
	engineNamesBytes int
	faults           []error
}

func (v *validator) fail(code result.Code, field, format string, args ...any) {
	if len(v.faults) < MaxFaults {
		v.faults = append(v.faults, result.Wrap(code, &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}))
	}
}

func (v *validator) malformed(field, format string, args ...any) {
	v.fail(result.MalformedTable, field, format, args...)
}

func (v *validator) checkRange(field string, n, minN, maxN int) {
	if n < minN || n > maxN {
		v.malformed(field, "%d is not in %d to %d", n, minN, maxN)
	}
}

// checkName refuses names that are empty or too long or that contain spaces or
// characters that are not printable. Names are used in log lines, headers and hash
// inputs, where control characters are ambiguous.
func (v *validator) checkName(fieldPath, field, name string) {
	if name == "" || len(name) > MaxNameBytes {
		v.malformed(fieldPath+field, "name of %d bytes, allowed 1 to %d", len(name), MaxNameBytes)
		return
	}
	forbidden := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) }
	if !utf8.ValidString(name) || strings.ContainsFunc(name, forbidden) {
		v.malformed(fieldPath+field, "%q contains a space or a character that is not printable", name)
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
	if !(ws.LoadsPerSecond > 0 && ws.LoadsPerSecond <= maxLoadsPerSecond) {
		v.malformed("weight_store.loads_per_second", "%g is not a number above 0 and at most %d", ws.LoadsPerSecond, maxLoadsPerSecond)
	}
	v.checkRange("weight_store.max_in_flight", ws.MaxInFlight, 1, maxConcurrency)
	v.checkRange("weight_store.load_ms", ws.LoadMS, 1, maxDurationMS)
}

func (v *validator) checkPool(fieldPath string, p *Pool) {
	v.checkName(fieldPath, ".name", p.Name)
	if _, ok := v.pools[p.Name]; ok {
		v.fail(result.DuplicateName, fieldPath+".name", "pool %q occurs twice", p.Name)
	}
	v.pools[p.Name] = p
	switch p.Kind {
	case KindEngine:
		v.checkName(fieldPath, ".base_model", p.BaseModel)
		v.checkRange(fieldPath+".slots", p.Slots, 1, maxConcurrency)
	case KindService:
		if p.BaseModel != "" || p.Slots != 0 {
			v.malformed(fieldPath+".kind", "a plain service has no base_model and no slots")
		}
	default:
		v.malformed(fieldPath+".kind", "%q is not one of %s, %s", p.Kind, KindEngine, KindService)
	}
	v.checkRange(fieldPath+".max_running", p.MaxRunning, 1, maxConcurrency)
	v.checkRange(fieldPath+".queue_limit", p.QueueLimit, 1, maxQueueLimit)
	if !(p.LongShare >= 0 && p.LongShare <= 1) {
		v.malformed(fieldPath+".long_share", "%g is not in 0 to 1", p.LongShare)
	}
	v.checkClasses(fieldPath+".classes", p)
	v.checkTargets(fieldPath+".targets", p)
	if row, err := json.Marshal(p); err != nil || len(row) > maxPoolRowBytes {
		v.fail(result.ValueTooLarge, fieldPath, "pool %q has %d bytes, limit %d", p.Name, len(row), maxPoolRowBytes)
	}
}

func (v *validator) checkClasses(fieldPath string, p *Pool) {
	v.checkCount(fieldPath, "classes", len(p.Classes), maxClasses)
	names := make(map[string]bool)
	for i, c := range p.Classes {
		field := fmt.Sprintf("%s[%d]", fieldPath, i)
		v.checkName(field, ".name", c.Name)
		if names[c.Name] {
			v.fail(result.DuplicateName, field+".name", "class %q occurs twice in pool %q", c.Name, p.Name)
		}
		names[c.Name] = true
		v.checkRange(field+".first_token_ms", c.FirstTokenMS, 1, maxDurationMS)
		v.checkRange(field+".total_ms", c.TotalMS, 1, maxDurationMS)
		if c.TotalMS < c.FirstTokenMS {
			v.malformed(field+".total_ms", "%d is less than first_token_ms %d", c.TotalMS, c.FirstTokenMS)
		}
	}
}

func (v *validator) checkCount(fieldPath, noun string, n, limit int) {
	if n < 1 || n > limit {
		v.malformed(fieldPath, "%d %s, allowed 1 to %d", n, noun, limit)
	}
}

func (v *validator) checkTargets(fieldPath string, p *Pool) {
	v.checkCount(fieldPath, "targets", len(p.Targets), maxTargets)
	for i, t := range p.Targets {
		field := fmt.Sprintf("%s[%d]", fieldPath, i)
		v.checkName(field, ".name", t.Name)
		if pool, ok := v.targets[t.Name]; ok {
			v.fail(result.DuplicateName, field+".name", "target %q occurs twice, first in pool %q", t.Name, pool)
		}
		v.targets[t.Name] = p.Name
		v.checkAddress(field+".address", t)
		v.checkName(field, ".failure_domain", t.FailureDomain)
		if p.Kind == KindEngine {
			v.engineNamesBytes += len(t.Name)
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

// checkRoute checks the route with index i. matches holds the index of the route
// with each match seen so far.
func (v *validator) checkRoute(i int, r *Route, matches map[string]int) {
	fieldPath := fmt.Sprintf("routes[%d]", i)
	if (r.Model == "") == (r.Path == "") {
		v.malformed(fieldPath, "set exactly one of model and path")
		return
	}
	if r.Model != "" {
		v.checkName(fieldPath, ".model", r.Model)
	} else {
		v.checkPath(fieldPath, r.Path)
	}
	if first, ok := matches[r.Match()]; ok {
		v.fail(result.DuplicateName, fieldPath, "%q occurs twice, first in routes[%d]", r.Match()[2:], first)
	}
	matches[r.Match()] = i
	v.checkAdapter(fieldPath, r)
	v.checkReferences(fieldPath, r)
}

func (v *validator) checkAdapter(fieldPath string, r *Route) {
	switch {
	case r.Adapter == "" && r.Version == "":
	case r.Adapter == "":
		v.malformed(fieldPath+".version", "version %q without an adapter", r.Version)
	case r.Version == "":
		v.malformed(fieldPath+".adapter", "adapter %q without a version", r.Adapter)
	default:
		v.checkName(fieldPath, ".adapter", r.Adapter)
		v.checkName(fieldPath, ".version", r.Version)
	}
}

// checkPath refuses paths that are not in the clean form that an HTTP server
// matches.
func (v *validator) checkPath(fieldPath, p string) {
	v.checkName(fieldPath, ".path", p)
	if p[0] != '/' || (path.Clean(p) != p && path.Clean(p)+"/" != p) || strings.ContainsAny(p, "?#%") {
		v.malformed(fieldPath+".path", "%q is not a clean absolute path", p)
	}
}

// checkReferences checks the pool and the class that a route refers to.
func (v *validator) checkReferences(fieldPath string, r *Route) {
	pool, ok := v.pools[r.Pool]
	if !ok {
		v.fail(result.DanglingName, fieldPath+".pool", "the pool table has no pool %q", r.Pool)
		return
	}
	if _, ok := pool.ClassByName(r.Class); !ok {
		v.fail(result.DanglingName, fieldPath+".class", "pool %q has no class %q", r.Pool, r.Class)
	}
	if pool.Kind == KindService && r.Adapter != "" {
		v.malformed(fieldPath+".adapter", "pool %q is a plain service and has no adapters", r.Pool)
	}
	if (pool.Kind == KindEngine) != (r.Model != "") {
		v.malformed(fieldPath+".pool", "a route to an engine pool needs model, a route to a plain service needs path")
	}
}
