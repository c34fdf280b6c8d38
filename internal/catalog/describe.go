package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Property is one property of the published state, in the words of the documentation:
// what it belongs to, its name and its value as text.
type Property struct {
	Subject string `json:"subject"`
	Name    string `json:"name"`
	Value   string `json:"value"`
}

// Difference is a property that differs between two states. Before or After is empty if
// the property is in one of them only.
type Difference struct {
	Subject string `json:"subject"`
	Name    string `json:"name"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Routes returns the routes, by host and with the longest prefix first.
func (c *Config) Routes() []*Route {
	var list []*Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		list = append(list, c.routes[host]...)
	}
	return list
}

// Properties returns the properties of the state in a fixed order. A state that was read
// from a file has no targets and adapter versions.
func (v *View) Properties() []Property {
	var list []Property
	add := func(subject, name string, value any) {
		list = append(list, Property{Subject: subject, Name: name, Value: fmt.Sprint(value)})
	}
	if c := v.Config; c != nil {
		add("configuration", "version", c.Version)
		add("limits", "header bytes", c.Limits.MaxHeaderBytes)
		add("limits", "body bytes", c.Limits.MaxBodyBytes)
		add("limits", "header timeout", c.Limits.HeaderTimeout)
		add("limits", "idle timeout", c.Limits.IdleTimeout)
		for _, r := range c.Routes() {
			r.describe(func(name string, value any) { add("route "+r.Name, name, value) })
		}
		for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
			c.Pools[name].describe(func(property string, value any) { add("pool "+name, property, value) })
		}
		for _, w := range c.Workspaces() {
			add("workspace "+w.Name, "keys", c.KeyCount(w.Name))
			w.describe(func(property string, value any) { add("workspace "+w.Name, property, value) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[id]
		state := "ready"
		if t.Draining {
			state = "draining"
		}
		add("target "+id, "pool", t.Pool)
		add("target "+id, "address", t.Address)
		add("target "+id, "failure domain", t.FailureDomain)
		add("target "+id, "state", state)
		add("target "+id, "running at once", t.MaxRunning)
	}
	var versions []Property
	for key, version := range v.Versions {
		versions = append(versions, Property{Subject: "adapter " + key.Model + "/" + key.Adapter, Name: "version", Value: fmt.Sprint(version)})
	}
	slices.SortFunc(versions, func(a, b Property) int { return strings.Compare(a.Subject, b.Subject) })
	return append(list, versions...)
}

func (r *Route) describe(add func(name string, value any)) {
	add("host", r.Host)
	add("prefix", r.Prefix)
	add("kind", r.Kind)
	add("resumable", r.Resumable)
	add("timeout", r.Timeout)
	add("latency target", r.LatencyTarget)
	add("longest pause", r.MaxEventGap)
	add("priority", r.Priority)
	add("attempts", r.MaxAttempts)
	add("public", r.Public)
	if r.Closed {
		add("closed", true)
	}
	for _, s := range r.Split {
		add("weight of pool "+s.Pool, s.Weight)
	}
}

func (w *Workspace) describe(add func(name string, value any)) {
	if w.Closed {
		add("closed", true)
	}
	add("priority", w.Priority)
	add("rate per second", w.Quota.RatePerSecond)
	add("burst", w.Quota.Burst)
	add("counts tokens", w.Quota.CountsTokens)
	add("plain tokens", w.Quota.PlainTokens)
}

func (p *Pool) describe(add func(name string, value any)) {
	if p.Engine == nil {
		add("kind", "plain service")
		return
	}
	add("kind", "engines")
	add("running at once", p.Engine.MaxRunning)
	add("tokens per event", p.Engine.TokensPerEvent)
	add("memory MB", p.Engine.MemoryMB)
	add("adapter slots", p.Engine.AdapterSlots)
	for _, m := range p.Engine.Models {
		add("weights MB of "+m.Name, m.WeightsMB)
		add("adapter MB of "+m.Name, m.AdapterMB)
	}
}

// Compare returns the properties that differ, in the order of the state before and
// then of the state after.
func Compare(before, after *View) []Difference {
	type key struct{ subject, name string }
	later := make(map[key]string)
	for _, p := range after.Properties() {
		later[key{p.Subject, p.Name}] = p.Value
	}
	var list []Difference
	for _, p := range before.Properties() {
		k := key{p.Subject, p.Name}
		value, ok := later[k]
		delete(later, k)
		if !ok || value != p.Value {
			list = append(list, Difference{Subject: p.Subject, Name: p.Name, Before: p.Value, After: value})
		}
	}
	for _, p := range after.Properties() {
		if value, ok := later[key{p.Subject, p.Name}]; ok {
			list = append(list, Difference{Subject: p.Subject, Name: p.Name, After: value})
		}
	}
	return list
}
