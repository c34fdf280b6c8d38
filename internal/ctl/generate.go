package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/tables"
)

// deployment describes an example deployment with a pool of engines and a pool of
// plain services.
type deployment struct {
	title string
	// domains are the failure domains; targets are assigned to them in turn.
	domains []string
	engine  tables.Pool
	service tables.Pool
	// adapterPrefix precedes the number in the name of an adapter.
	adapterPrefix string
	// shortClass and longClass are the classes of the two routes of each
	// adapter.
	shortClass, longClass string
	// serviceRoutes are the routes to the plain service, without the pool.
	serviceRoutes []tables.Route
}

// options holds the flags of generate.
type options struct {
	adapters, engines, services, slots int
	host                               string
	basePort                           int
}

var deployments = map[string]deployment{
	"authority": {
		title:   "Kvemo Kartli Allotment Water Authority",
		domains: []string{"marneuli", "bolnisi", "gardabani", "tetritskaro"},
		engine: tables.Pool{Name: "rota", BaseModel: "rota-base", MaxRunning: 16, QueueLimit: 200, LongShare: 0.25,
			Classes: []tables.Class{{Name: "answer", FirstTokenMS: 2000, TotalMS: 20_000}, {Name: "notice", FirstTokenMS: 10_000, TotalMS: 120_000, Long: true}}},
		service: tables.Pool{Name: "ledger", MaxRunning: 16, QueueLimit: 200,
			Classes: []tables.Class{{Name: "release", FirstTokenMS: 3000, TotalMS: 3000}, {Name: "lookup", FirstTokenMS: 1000, TotalMS: 1000}}},
		adapterPrefix: "grower", shortClass: "answer", longClass: "notice",
		serviceRoutes: []tables.Route{{Path: "/gates/release", Class: "release"}, {Path: "/gates/status", Class: "lookup", Repeatable: true}},
	},
	"plateria": {
		title:   "Plateria Norte Recubrimientos",
		domains: []string{"bilbao-1", "bilbao-2", "oviedo", "santander"},
		engine: tables.Pool{Name: "plating", BaseModel: "plating-base", MaxRunning: 16, QueueLimit: 200, LongShare: 0.25,
			Classes: []tables.Class{{Name: "guidance", FirstTokenMS: 1500, TotalMS: 15_000}, {Name: "summary", FirstTokenMS: 15_000, TotalMS: 180_000, Long: true}}},
		service: tables.Pool{Name: "orders", MaxRunning: 16, QueueLimit: 200,
			Classes: []tables.Class{{Name: "order", FirstTokenMS: 3000, TotalMS: 3000}, {Name: "lookup", FirstTokenMS: 1000, TotalMS: 1000}}},
		adapterPrefix: "client", shortClass: "guidance", longClass: "summary",
		serviceRoutes: []tables.Route{{Path: "/orders/bookings", Class: "order"}, {Path: "/orders/payments", Class: "order"},
			{Path: "/orders/finishes", Class: "lookup", Repeatable: true}},
	},
}

func newGenerate() *cobra.Command {
	var opts options
	names := slices.Sorted(maps.Keys(deployments))
	cmd := &cobra.Command{
		Use:   "generate (" + strings.Join(names, "|") + ") OUT-DIR",
		Short: "Write example tables",
		Long: "generate writes " + RoutesFile + " and " + PoolsFile + " of an example deployment. Target processes of\n" +
			"engines listen from the base port on, those of plain services after them. Each adapter has\n" +
			"two models: PREFIX-NNNN for short work and PREFIX-NNNN/CLASS for long work.\n\n" + exitText,
		Example:   "  agatectl generate authority tables/ --adapters 3000 --base-port 9000",
		Args:      cobra.ExactArgs(2),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			d, ok := deployments[args[0]]
			if !ok {
				return usageError("no deployment %q, known: %s", args[0], strings.Join(names, ", "))
			}
			if err := opts.check(); err != nil {
				return err
			}
			return generate(cmd, d, opts, args[1])
		},
	}
	cmd.Flags().IntVar(&opts.adapters, "adapters", 3000, "number of adapters")
	cmd.Flags().IntVar(&opts.engines, "engines", 12, "number of engine targets")
	cmd.Flags().IntVar(&opts.services, "services", 4, "number of targets of the plain service")
	cmd.Flags().IntVar(&opts.slots, "slots", 8, "adapter slots of an engine")
	cmd.Flags().StringVar(&opts.host, "host", "127.0.0.1", "IP address of all targets")
	cmd.Flags().IntVar(&opts.basePort, "base-port", 9000, "port of the first target")
	return cmd
}

func (opts options) check() error {
	if _, err := netip.ParseAddr(opts.host); err != nil {
		return usageError("--host %q is not an IP address", opts.host)
	}
	if opts.adapters < 0 || opts.engines < 1 || opts.services < 1 {
		return usageError("--adapters must be at least 0, --engines and --services at least 1")
	}
	if last := opts.basePort + opts.engines + opts.services - 1; opts.basePort < 1 || last > 65535 {
		return usageError("--base-port %d: ports up to %d are needed, the last is 65535", opts.basePort, last)
	}
	return nil
}

func generate(cmd *cobra.Command, d deployment, opts options, outDir string) error {
	routes, pools := d.tables(opts)
	if faults := tables.Validate(routes, pools); len(faults) > 0 {
		return faultsError(faults)
	}
	if err := writeFile(filepath.Join(outDir, RoutesFile), formatRoutes(d.title, routes)); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(outDir, PoolsFile), formatPools(d.title, pools)); err != nil {
		return err
	}
	printf(cmd, "%s: %s, %s, ports %d to %d\n", outDir, plural(len(routes.Routes), "route"), plural(opts.engines+opts.services, "target"),
		opts.basePort, opts.basePort+opts.engines+opts.services-1)
	return nil
}

func (d deployment) tables(opts options) (*tables.RouteTable, *tables.PoolTable) {
	engine, service := d.engine, d.service
	engine.Kind, service.Kind = tables.KindEngine, tables.KindService
	engine.Slots = opts.slots
	engine.Targets = d.targets(opts, engine.Name, 0, opts.engines)
	service.Targets = d.targets(opts, service.Name, opts.engines, opts.services)
	routes := &tables.RouteTable{}
	for i := range opts.adapters {
		name := fmt.Sprintf("%s-%04d", d.adapterPrefix, i)
		route := tables.Route{Model: name, Adapter: name, Version: "v1", Pool: engine.Name, Class: d.shortClass, Repeatable: true}
		routes.Routes = append(routes.Routes, route)
		route.Model, route.Class = name+"/"+d.longClass, d.longClass
		routes.Routes = append(routes.Routes, route)
	}
	base := tables.Route{Model: engine.BaseModel, Pool: engine.Name, Class: d.shortClass, Repeatable: true}
	routes.Routes = append(routes.Routes, base)
	for _, route := range d.serviceRoutes {
		route.Pool = service.Name
		routes.Routes = append(routes.Routes, route)
	}
	return routes, &tables.PoolTable{
		WeightStore: tables.WeightStore{LoadsPerSecond: 4.5, MaxInFlight: 8, LoadMS: 250},
		Pools:       []tables.Pool{engine, service},
	}
}

// targets returns count targets of a pool. The ports start at the base port plus
// first.
func (d deployment) targets(opts options, pool string, first, count int) []tables.Target {
	list := make([]tables.Target, count)
	host := netip.MustParseAddr(opts.host)
	for i := range list {
		list[i] = tables.Target{
			Name:          fmt.Sprintf("%s-%02d", pool, i),
			Address:       netip.AddrPortFrom(host, uint16(opts.basePort+first+i)).String(),
			FailureDomain: d.domains[i%len(d.domains)],
		}
	}
	return list
}

// formatRoutes formats each route on its own line, so that a version control system
// shows a change of one route as one changed line.
func formatRoutes(title string, table *tables.RouteTable) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// Route table of %s. See docs/TABLES.md.\n{\n  \"routes\": [\n", title)
	for _, r := range table.Routes {
		fmt.Fprintf(&out, "    %s,\n", jsonLine(r))
	}
	out.WriteString("  ],\n}\n")
	return out.Bytes()
}

// formatPools formats each class and target on its own line.
func formatPools(title string, table *tables.PoolTable) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// Pool table of %s. See docs/TABLES.md.\n{\n", title)
	fmt.Fprintf(&out, "  // Limits of the weight store, shared by all engine pools.\n  \"weight_store\": %s,\n  \"pools\": [\n", jsonLine(table.WeightStore))
	for _, p := range table.Pools {
		classes, targets := p.Classes, p.Targets
		p.Classes, p.Targets = nil, nil
		poolFields := strings.TrimSuffix(jsonLine(p), `,"classes":null,"targets":null}`)
		fmt.Fprintf(&out, "    %s,\n      // Budgets in milliseconds.\n      \"classes\": [\n", poolFields)
		for _, c := range classes {
			fmt.Fprintf(&out, "        %s,\n", jsonLine(c))
		}
		out.WriteString("      ],\n      \"targets\": [\n")
		for _, t := range targets {
			fmt.Fprintf(&out, "        %s,\n", jsonLine(t))
		}
		out.WriteString("      ],\n    },\n")
	}
	out.WriteString("  ],\n}\n")
	return out.Bytes()
}

// jsonLine encodes v as JSON on one line.
func jsonLine(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}
