package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// NewConfig returns a configuration with an index of its routes.
func NewConfig(version int64, routes []*Route, pools map[string]*Pool, limits Limits) *Config {
	c := &Config{Version: version, Pools: pools, Limits: limits, routes: make(map[string][]*Route), routeCount: len(routes)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		requireSameKeys(list)
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), compareBools(a.Closed, b.Closed))
		})
	}
	return c
}

// requireSameKeys makes routes of one host with the same prefix need a key if one of them does:
// which of them a request matches must not decide who gets in.
func requireSameKeys(routes []*Route) {
	keyed := make(map[string]bool)
	for _, r := range routes {
		keyed[r.Prefix] = keyed[r.Prefix] || !r.Public
	}
	for _, r := range routes {
		r.Public = r.Public && !keyed[r.Prefix]
	}
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// Match returns the route with the longest prefix that begins path. Of several with that prefix
// it is the first one that is not closed, if there is one.
func (c *Config) Match(host, path string) (*Route, bool) {
	list, ok := c.routes[strings.ToLower(host)]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		list = c.routes[strings.ToLower(name)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick chooses the pool of one request by the weights of the split. random is
// uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	for _, s := range r.Split {
		if s.Weight > 0 {
			return s.Pool
		}
	}
	return ""
}
