package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/platform"
)

// configChecks find what the entries accept in a configuration though it can't be meant. Each
// returns one text for each fault.
var configChecks = []func(*catalog.Config) []string{
	shadowedRoutes, brokenSplits, contradictingTimes, unusedPools, tightMemory, unusableWorkspaces,
}

// shadowedRoutes finds routes that match nothing: of two with the same host and prefix, the
// first one in the configuration gets the requests.
func shadowedRoutes(c *catalog.Config) (faults []string) {
	first := make(map[string]string)
	for _, r := range c.Routes() {
		key := strings.ToLower(r.Host) + r.Prefix
		if other, shadowed := first[key]; shadowed {
			faults = append(faults, fmt.Sprintf("route %s: matches nothing, route %s has the same host and prefix", r.Name, other))
		} else {
			first[key] = r.Name
		}
	}
	return faults
}

// brokenSplits finds shares of routes that get no request, or lead to no pool.
func brokenSplits(c *catalog.Config) (faults []string) {
	for _, r := range c.Routes() {
		for _, s := range r.Split {
			if s.Weight <= 0 {
				faults = append(faults, fmt.Sprintf("route %s: service %s has the weight %g and gets no request", r.Name, s.Pool, s.Weight))
			} else if c.Pools[s.Pool] == nil {
				faults = append(faults, fmt.Sprintf("route %s: service %q is not configured, its requests are refused", r.Name, s.Pool))
			}
		}
	}
	return faults
}

// contradictingTimes finds routes whose requests end before they are late.
func contradictingTimes(c *catalog.Config) (faults []string) {
	for _, r := range c.Routes() {
		if r.Timeout < r.LatencyTarget {
			faults = append(faults, fmt.Sprintf("route %s: timeout_ms (%v) is under target_latency_ms (%v)", r.Name, r.Timeout, r.LatencyTarget))
		}
	}
	return faults
}

// unusedPools finds services that no route names.
func unusedPools(c *catalog.Config) (faults []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		named := func(r *catalog.Route) bool {
			return slices.ContainsFunc(r.Split, func(s catalog.PoolWeight) bool { return s.Pool == name })
		}
		if !slices.ContainsFunc(c.Routes(), named) {
			faults = append(faults, fmt.Sprintf("service %s: no route leads to it", name))
		}
	}
	return faults
}

// tightMemory finds models that do not fit an engine with all adapter slots in use.
func tightMemory(c *catalog.Config) (faults []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		e := c.Pools[name].Engine
		if e == nil {
			continue
		}
		for _, m := range e.Models {
			if need := m.WeightsMB + float64(e.AdapterSlots)*m.AdapterMB; need > e.MemoryMB {
				faults = append(faults, fmt.Sprintf("service %s: model %s with adapter_slots (%d) adapters needs %g MB, weights_mb is %g", name, m.Name, e.AdapterSlots, need, e.MemoryMB))
			}
		}
	}
	return faults
}

// unusableWorkspaces finds workspaces without a key, and quotas whose burst does not hold one
// request.
func unusableWorkspaces(c *catalog.Config) (faults []string) {
	for _, w := range c.Workspaces() {
		if w.Closed {
			continue
		}
		if c.KeyCount(w.Name) == 0 {
			faults = append(faults, fmt.Sprintf("workspace %s: has no key", w.Name))
		}
		cost := 1.0
		if w.Quota.CountsTokens {
			cost = max(cost, w.Quota.PlainTokens)
		}
		if w.Quota.Limited() && w.Quota.Burst < cost {
			faults = append(faults, fmt.Sprintf("workspace %s: burst (%g) is smaller than one request (%g)", w.Name, w.Quota.Burst, cost))
		}
	}
	return faults
}

// changeEffects tells what a change of a property does to requests in progress. The first
// entry with the beginning of the subject and, unless it is empty, of the property applies.
var changeEffects = []struct{ subject, property, effect string }{
	{"route ", "", "routes: they keep the route, the service and the times with which they began"},
	{"limits", "body bytes", "body bytes: bodies that are being read keep the former bound"},
	{"limits", "", "header bytes, header and idle timeout: in force at each entry from its next start on"},
	{"workspace ", "keys", "keys: a request whose key was taken away is refused with 401 before its next send; answers in progress go on. A replaced key does not show here"},
	{"workspace ", "priority", "priority of workspaces: they keep the former one"},
	{"workspace ", "", "quotas: what was charged stays charged; a lower rate holds one quota_window_s later"},
	{"pool ", "kind", "services: one that is removed gets no further attempt of them, one that is added gets new ones"},
}

// printEffects prints the effects of differences, each once.
func printEffects(cmd *cobra.Command, list []catalog.Difference) {
	printed := make(map[string]bool)
	for _, d := range list {
		for _, e := range changeEffects {
			if strings.HasPrefix(d.Subject, e.subject) && strings.HasPrefix(d.Name, e.property) {
				if !printed[e.effect] {
					printf(cmd, "requests in progress: %s\n", e.effect)
				}
				printed[e.effect] = true
				break
			}
		}
	}
}

func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use: "config", Short: "Check a configuration of the users' platform", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return usageError("a command is missing") },
	}
	cmd.AddCommand(newConfigCheck())
	return cmd
}

func newConfigCheck() *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:   "check SOURCE [--against SOURCE]",
		Short: "List the faults of a configuration",
		Long: "check lists what entries cannot use, and what can't be meant: routes and services that match nothing, limits that\n" +
			"contradict each other, workspaces that can't be used. With --against it also prints what\n" +
			"differs from another version, such as the one in force, and what that does to requests in\n" +
			"progress. A key that is replaced by another one shows no difference.\n" + sourceText + "\n\n" + exitText,
		Example: "  agatectl config check new.json --against http://10.200.1.7:8142",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			view, err := loadState(cmd, args[0])
			if err != nil {
				return err
			}
			if against != "" {
				inForce, err := loadState(cmd, against)
				if err != nil {
					return err
				}
				// A file has no targets and adapter versions, so that only configurations differ.
				list := catalog.Compare(&catalog.View{Config: inForce.Config}, &catalog.View{Config: view.Config})
				printDifferences(cmd, list)
				printEffects(cmd, list)
			}
			faults := platform.ConfigFaults(args[0], view.Config)
			for _, check := range configChecks {
				for _, fault := range check(view.Config) {
					faults = append(faults, result.Newf(result.MalformedTable, "%s: %s", args[0], fault))
				}
			}
			return faultsError(faults)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "print what differs from this SOURCE")
	return cmd
}
