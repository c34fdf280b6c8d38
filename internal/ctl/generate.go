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

// deployment describes one of the example deployments.
type deployment struct {
	title   string
	domains []string
	engine  tables.Pool
	service tables.Pool
	// member is the word before an adapter's number.
	member string
	// short and long are the classes of an adapter's two routes.
	short, long string
	// calls are the routes of the plain service.
	calls []tables.Route
}

// sizes are what the flags of generate set.
type sizes struct {
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
		member: "grower", short: "answer", long: "notice",
		calls: []tables.Route{{Path: "/gates/release", Class: "release"}, {Path: "/gates/status", Class: "lookup", Repeatable: true}},
	},
	"plateria": {
		title:   "Plateria Norte Recubrimientos",
		domains: []string{"bilbao-1", "bilbao-2", "oviedo", "santander"},
		engine: tables.Pool{Name: "plating", BaseModel: "plating-base", MaxRunning: 16, QueueLimit: 200, LongShare: 0.25,
			Classes: []tables.Class{{Name: "guidance", FirstTokenMS: 1500, TotalMS: 15_000}, {Name: "summary", FirstTokenMS: 15_000, TotalMS: 180_000, Long: true}}},
		service: tables.Pool{Name: "orders", MaxRunning: 16, QueueLimit: 200,
			Classes: []tables.Class{{Name: "order", FirstTokenMS: 3000, TotalMS: 3000}, {Name: "lookup", FirstTokenMS: 1000, TotalMS: 1000}}},
		member: "client", short: "guidance", long: "summary",
		calls: []tables.Route{{Path: "/orders/bookings", Class: "order"}, {Path: "/orders/payments", Class: "order"},
			{Path: "/orders/finishes", Class: "lookup", Repeatable: true}},
	},
}

func newGenerate() *cobra.Command {
	var s sizes
	names := slices.Sorted(maps.Keys(deployments))
	cmd := &cobra.Command{
		Use:   "generate (" + strings.Join(names, "|") + ") OUT-DIR",
		Short: "Write example tables",
		Long: "generate writes " + RoutesFile + " and " + PoolsFile + " of an example deployment. Target processes of\n" +
			"engines listen from the base port on, those of plain services after them. Each adapter has\n" +
			"two models: MEMBER-NNNN for short work and MEMBER-NNNN/CLASS for long work.\n\n" + exitText,
		Example:   "  agatectl generate authority tables/ --adapters 3000 --base-port 9000",
		Args:      cobra.ExactArgs(2),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			d, ok := deployments[args[0]]
			if !ok {
				return usage("no deployment %q, known: %s", args[0], strings.Join(names, ", "))
			}
			if err := s.check(); err != nil {
				return err
			}
			return generate(cmd, d, s, args[1])
		},
	}
	cmd.Flags().IntVar(&s.adapters, "adapters", 3000, "number of adapters")
	cmd.Flags().IntVar(&s.engines, "engines", 12, "number of engine targets")
	cmd.Flags().IntVar(&s.services, "services", 4, "number of targets of the plain service")
	cmd.Flags().IntVar(&s.slots, "slots", 8, "adapter slots of an engine")
	cmd.Flags().StringVar(&s.host, "host", "127.0.0.1", "IP address of all targets")
	cmd.Flags().IntVar(&s.basePort, "base-port", 9000, "port of the first target")
	return cmd
}

func (s sizes) check() error {
	if _, err := netip.ParseAddr(s.host); err != nil {
		return usage("--host %q is not an IP address", s.host)
	}
	if s.adapters < 0 || s.engines < 1 || s.services < 1 {
		return usage("--adapters must be at least 0, --engines and --services at least 1")
	}
	if last := s.basePort + s.engines + s.services - 1; s.basePort < 1 || last > 65535 {
		return usage("--base-port %d: ports up to %d are needed, the last is 65535", s.basePort, last)
	}
	return nil
}

func generate(cmd *cobra.Command, d deployment, s sizes, out string) error {
	routes, pools := d.tables(s)
	if found := tables.Validate(routes, pools); len(found) > 0 {
		return faults(found)
	}
	if err := writeFile(filepath.Join(out, RoutesFile), formatRoutes(d.title, routes)); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(out, PoolsFile), formatPools(d.title, pools)); err != nil {
		return err
	}
	printf(cmd, "%s: %s, %s, ports %d to %d\n", out, plural(len(routes.Routes), "route"), plural(s.engines+s.services, "target"),
		s.basePort, s.basePort+s.engines+s.services-1)
	return nil
}

func (d deployment) tables(s sizes) (*tables.RouteTable, *tables.PoolTable) {
	engine, service := d.engine, d.service
	engine.Kind, service.Kind = tables.KindEngine, tables.KindService
	engine.Slots = s.slots
	engine.Targets = d.targets(s, engine.Name, 0, s.engines)
	service.Targets = d.targets(s, service.Name, s.engines, s.services)
	routes := &tables.RouteTable{}
	for i := range s.adapters {
		name := fmt.Sprintf("%s-%04d", d.member, i)
		route := tables.Route{Model: name, Adapter: name, Version: "v1", Pool: engine.Name, Class: d.short, Repeatable: true}
		routes.Routes = append(routes.Routes, route)
		route.Model, route.Class = name+"/"+d.long, d.long
		routes.Routes = append(routes.Routes, route)
	}
	base := tables.Route{Model: engine.BaseModel, Pool: engine.Name, Class: d.short, Repeatable: true}
	routes.Routes = append(routes.Routes, base)
	for _, call := range d.calls {
		call.Pool = service.Name
		routes.Routes = append(routes.Routes, call)
	}
	return routes, &tables.PoolTable{
		WeightStore: tables.WeightStore{LoadsPerSecond: 4.5, MaxInFlight: 8, LoadMS: 250},
		Pools:       []tables.Pool{engine, service},
	}
}

func (d deployment) targets(s sizes, pool string, first, n int) []tables.Target {
	list := make([]tables.Target, n)
	host := netip.MustParseAddr(s.host)
	for i := range list {
		list[i] = tables.Target{
			Name:          fmt.Sprintf("%s-%02d", pool, i),
			Address:       netip.AddrPortFrom(host, uint16(s.basePort+first+i)).String(),
			FailureDomain: d.domains[i%len(d.domains)],
		}
	}
	return list
}

// formatRoutes writes one route on a line, so that a version control system
// shows a change of a route as one line.
func formatRoutes(title string, table *tables.RouteTable) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// Route table of %s. See docs/TABLES.md.\n{\n  \"routes\": [\n", title)
	for _, r := range table.Routes {
		fmt.Fprintf(&out, "    %s,\n", line(r))
	}
	out.WriteString("  ],\n}\n")
	return out.Bytes()
}

func formatPools(title string, table *tables.PoolTable) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// Pool table of %s. See docs/TABLES.md.\n{\n", title)
	fmt.Fprintf(&out, "  // Limits of the weight store, shared by all engine pools.\n  \"weight_store\": %s,\n  \"pools\": [\n", line(table.WeightStore))
	for _, p := range table.Pools {
		classes, targets := p.Classes, p.Targets
		p.Classes, p.Targets = nil, nil
		head := strings.TrimSuffix(line(p), `,"classes":null,"targets":null}`)
		fmt.Fprintf(&out, "    %s,\n      // Budgets in milliseconds.\n      \"classes\": [\n", head)
		for _, c := range classes {
			fmt.Fprintf(&out, "        %s,\n", line(c))
		}
		out.WriteString("      ],\n      \"targets\": [\n")
		for _, t := range targets {
			fmt.Fprintf(&out, "        %s,\n", line(t))
		}
		out.WriteString("      ],\n    },\n")
	}
	out.WriteString("  ],\n}\n")
	return out.Bytes()
}

func line(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}
