package ctl

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

// request is the request to explain, as set by the flags.
type request struct {
	// key is the idempotency key.
	model, path, method, key string
	// ranks is the largest number of targets to list.
	ranks int
}

// Explanation describes how one request is routed, as far as the tables determine
// it.
type Explanation struct {
	Request    string       `json:"request"`
	Route      string       `json:"route"`
	Adapter    string       `json:"adapter,omitempty"`
	Version    string       `json:"version,omitempty"`
	Pool       string       `json:"pool"`
	Kind       string       `json:"kind"`
	BaseModel  string       `json:"base_model,omitempty"`
	Class      tables.Class `json:"class"`
	Repeatable bool         `json:"repeatable"`
	// HashKey is the key by which the targets are ranked.
	HashKey string `json:"hash_key,omitempty"`
	// Targets holds the targets in rank order.
	Targets []RankedTarget `json:"targets"`
	// Why holds one sentence for each step of the routing.
	Why []string `json:"why"`
}

// RankedTarget is a target with its rank. Ranks count from 1; the entry prefers low
// ranks.
type RankedTarget struct {
	Rank int `json:"rank"`
	tables.Target
}

func newExplain() *cobra.Command {
	var req request
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain DIR (--model MODEL | --path PATH [--key KEY])",
		Short: "Explain how one request is routed",
		Long: "explain shows adapter, version, pool, class and ranked targets of one request, and why.\n" +
			"It uses the tables only: the entry also considers load and skips targets it cannot reach.\n\n" + dirText + "\n\n" + exitText,
		Example: "  agatectl explain tables/ --model rota/grower-0007\n  agatectl explain tables/ --path /gates/release --key 0190b1f2-8c00-7000-8000-000000000001",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (req.model == "") == (req.path == "") {
				return usageError("set exactly one of --model and --path")
			}
			if req.ranks < 1 {
				return usageError("--ranks %d is less than 1", req.ranks)
			}
			snap, err := loadTables(args[0])
			if err != nil {
				return err
			}
			e, err := explain(snap, req)
			if err != nil {
				return faultsError([]error{err})
			}
			if asJSON {
				return printJSON(cmd, e)
			}
			printExplanation(cmd, e)
			return nil
		},
	}
	cmd.Flags().StringVar(&req.model, "model", "", `"model" field of a completion request`)
	cmd.Flags().StringVar(&req.path, "path", "", "path of a call to a plain service")
	cmd.Flags().StringVar(&req.method, "method", "POST", "HTTP method of the call")
	cmd.Flags().StringVar(&req.key, "key", "", "Idempotency-Key of the call")
	cmd.Flags().IntVar(&req.ranks, "ranks", 4, "number of ranked targets to show")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func explain(snap *tables.Snapshot, req request) (*Explanation, error) {
	e := &Explanation{Request: fmt.Sprintf("model %q", req.model)}
	route, ok := snap.RouteModel(req.model)
	if req.path != "" {
		e.Request = fmt.Sprintf("path %q", req.path)
		route, ok = snap.RoutePath(req.path)
	}
	if !ok {
		return nil, result.Newf(result.UnknownRoute, "no route matches %s", e.Request)
	}
	pool, _ := snap.Pool(route.Pool)
	class, _ := pool.ClassByName(route.Class)
	e.Route, e.Adapter, e.Version = route.Match()[2:], route.Adapter, route.Version
	e.Pool, e.Kind, e.BaseModel, e.Class, e.Repeatable = pool.Name, pool.Kind, pool.BaseModel, class, route.Repeatable
	e.addReason("%s matches route %q: pool %s, class %s", e.Request, e.Route, e.Pool, class.Name)
	e.addReason("class %s allows %d ms to the first token or answer and %d ms in total", class.Name, class.FirstTokenMS, class.TotalMS)
	if class.Long {
		e.addReason("class %s is long work: own queue, at most the share %g of the requests that run at once", class.Name, pool.LongShare)
	}
	e.rankTargets(route, pool, req)
	return e, nil
}

func (e *Explanation) addReason(format string, args ...any) {
	e.Why = append(e.Why, fmt.Sprintf(format, args...))
}

// rankTargets ranks targets as the entry does. A call that is not idempotent goes to
// the home of its idempotency key, which is the only target that runs calls with
// that key. Other requests are ranked by base model and adapter, or by method and
// path.
func (e *Explanation) rankTargets(route *tables.Route, pool *tables.Pool, req request) {
	ranks, list := req.ranks, tables.PlacementTargets(pool)
	switch {
	case !route.Repeatable && req.key == "":
		e.addReason("the call is not idempotent: it needs an Idempotency-Key, whose home is one of %s; name it with --key", plural(len(pool.Targets), "target"))
		return
	case !route.Repeatable:
		e.HashKey, ranks, list = req.key, 1, tables.HomeTargets(pool)
		e.addReason("the call is not idempotent: it runs at most once, at the home of its key and nowhere else")
	case route.Adapter != "":
		e.HashKey = tables.PlacementKey(pool, route.Adapter)
		e.addReason("targets are ranked by rendezvous hashing of base model and adapter, consecutive ranks in different failure domains")
	default:
		e.HashKey = req.method + req.path
		e.addReason("without an adapter, targets are ranked by rendezvous hashing of method and path")
	}
	for i, index := range placement.NewRanker(list).Rank(e.HashKey, ranks) {
		t, _ := pool.TargetByName(list[index].Name)
		e.Targets = append(e.Targets, RankedTarget{Rank: i + 1, Target: t})
		if t.Draining && route.Repeatable {
			e.addReason("target %s is draining and is skipped", t.Name)
		}
		if t.Draining && !route.Repeatable {
			e.addReason("home %s is draining, as is every target of the pool", t.Name)
		}
	}
}

func printExplanation(cmd *cobra.Command, e *Explanation) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	printRow := func(name, value string) {
		if value != "" {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", name, value)
		}
	}
	printRow("request", e.Request)
	printRow("adapter", e.Adapter)
	printRow("version", e.Version)
	printRow("pool", fmt.Sprintf("%s (%s)", e.Pool, e.Kind))
	printRow("base model", e.BaseModel)
	printRow("class", fmt.Sprintf("%s, first token %d ms, total %d ms", e.Class.Name, e.Class.FirstTokenMS, e.Class.TotalMS))
	printRow("idempotent", fmt.Sprint(e.Repeatable))
	printRow("hash key", e.HashKey)
	for _, t := range e.Targets {
		state := ""
		if t.Draining {
			state = ", draining"
		}
		printRow(fmt.Sprintf("rank %d", t.Rank), fmt.Sprintf("%s at %s in %s%s", t.Name, t.Address, t.FailureDomain, state))
	}
	for _, reason := range e.Why {
		printRow("why", reason)
	}
	_ = w.Flush()
}
