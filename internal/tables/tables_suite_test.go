package tables_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "agatelanding.example/agatelanding/internal/rapidseed"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

func TestTables(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tables")
}

// fleet returns valid tables with an engine pool and a plain service. routes is
// the number of model routes, targets the number of engine targets.
func fleet(routes, targets int) *tables.Source {
	s := &tables.Source{}
	s.Pools.WeightStore = tables.WeightStore{LoadsPerSecond: 4.5, MaxInFlight: 8, LoadMS: 250}
	engine := tables.Pool{Name: "rota", Kind: tables.KindEngine, BaseModel: "base", Slots: 8, MaxRunning: 16, QueueLimit: 100,
		LongShare: 0.25, Classes: []tables.Class{{Name: "short", FirstTokenMS: 500, TotalMS: 5000}}}
	for i := range targets {
		engine.Targets = append(engine.Targets, tables.Target{Name: fmt.Sprintf("rota-%04d", i),
			Address: fmt.Sprintf("127.0.%d.%d:9000", i/200, i%200+1), FailureDomain: fmt.Sprintf("zone%d", i%4)})
	}
	ledger := tables.Pool{Name: "ledger", Kind: tables.KindService, MaxRunning: 4, QueueLimit: 10,
		Classes: []tables.Class{{Name: "gate", FirstTokenMS: 900, TotalMS: 900}},
		Targets: []tables.Target{{Name: "ledger-0", Address: "127.0.0.1:9500", FailureDomain: "zone0"}}}
	s.Pools.Pools = []tables.Pool{engine, ledger}
	for i := range routes {
		s.Routes.Routes = append(s.Routes.Routes, tables.Route{Model: fmt.Sprintf("grower-%05d", i),
			Adapter: fmt.Sprintf("grower-%05d-lora", i), Version: "2024-01", Pool: "rota", Class: "short", Repeatable: true})
	}
	s.Routes.Routes = append(s.Routes.Routes, tables.Route{Path: "/ledger/", Pool: "ledger", Class: "gate"})
	return s
}

func build(s *tables.Source) *tables.Snapshot {
	GinkgoHelper()
	snap, faults := s.Build(7)
	Expect(faults).To(BeEmpty())
	return snap
}

func texts(faults []error) []string {
	out := []string{}
	for _, err := range faults {
		out = append(out, strings.TrimPrefix(err.Error(), "agate: "))
	}
	return out
}

var _ = Describe("ParseSource", func() {
	const pools = `{
  // Limits of the weight store.
  "weight_store": {"loads_per_second": 4.5, "max_in_flight": 8, "load_ms": 250},
  "pools": [{
    "name": "rota", "kind": "engine", "base_model": "base", "slots": 8,
    "max_running": 16, "queue_limit": 100,
    "classes": [{"name": "short", "first_token_ms": 500, "total_ms": 5000}],
    "targets": [
      {"name": "a", "address": "127.0.0.1:9000", "failure_domain": "z"},
      {"name": "b", "address": "127.0.0.1:9001", "failure_domain": "z"}, // last
    ],
  }],
}`
	const routes = `{"routes": [
  {"model": "m", "adapter": "x", "version": "1", "pool": "rota", "class": "short"},
]}`

	It("reads tables with comments", func() {
		s, faults := tables.ParseSource("r", []byte(routes), "p", []byte(pools))
		Expect(faults).To(BeEmpty())
		Expect(build(s).RouteCount()).To(Equal(1))
	})

	// Each entry replaces one text of the valid tables by a mistake.
	DescribeTable("reports file, line and field", func(old, new string, want ...string) {
		r, p := strings.Replace(routes, old, new, 1), strings.Replace(pools, old, new, 1)
		Expect(r + p).NotTo(Equal(routes + pools))
		_, faults := tables.ParseSource("r", []byte(r), "p", []byte(p))
		Expect(texts(faults)).To(Equal(want))
	},
		Entry("route to no pool", `"pool": "rota"`, `"pool": "rotta"`, `5001 dangling_name: r:2: routes[0].pool: the pool table has no pool "rotta"`),
		Entry("route to no class", `"class": "short"`, `"class": "x"`, `5001 dangling_name: r:2: routes[0].class: pool "rota" has no class "x"`),
		Entry("value of another type", `"pool": "rota"`, `"pool": 5`, `5006 malformed_table: r:2: routes[0].pool: want a string, got 5`),
		Entry("null", `"version": "1"`, `"version": null`, `5006 malformed_table: r:2: routes[0].version: want a string, got null`, `5006 malformed_table: r:2: routes[0].adapter: adapter "x" without a version`),
		Entry("field twice", `"version": "1"`, `"version": "1", "version": "2"`, `5006 malformed_table: r:2: routes[0].version: occurs twice in the same object`),
		Entry("field in another case", `"model"`, `"Model"`, `5006 malformed_table: r:2: routes[0].Model: unknown field, did you mean "model"?`, `5006 malformed_table: r:2: routes[0]: set exactly one of model and path`),
		Entry("route twice", `]}`, `{"model": "m", "pool": "rota", "class": "short"}]}`, `5002 duplicate_name: r:3: routes[1]: "m" occurs twice, first in routes[0]`),
		Entry("control character", `"model": "m"`, `"model": "m\u0001"`, `5006 malformed_table: r:2: routes[0].model: "m\x01" contains a space or a character that is not printable`),
		Entry("path with ..", `"model": "m", "adapter": "x", "version": "1"`, `"path": "/a/../b"`, `5006 malformed_table: r:2: routes[0].path: "/a/../b" is not a clean absolute path`, `5006 malformed_table: r:2: routes[0].pool: a route to an engine pool needs model, a route to a plain service needs path`),
		Entry("no JSON", `{"routes": [`, `routes:`, `5006 malformed_table: r:1: not valid JSON: column 1: invalid literal: routes`),
		Entry("address twice", "127.0.0.1:9001", "127.0.0.1:9000", `5002 duplicate_name: p:10: pools[0].targets[1].address: address 127.0.0.1:9000 of target "b" is that of target "a"`),
		Entry("target twice", `"name": "b"`, `"name": "a"`, `5002 duplicate_name: p:10: pools[0].targets[1].name: target "a" occurs twice, first in pool "rota"`),
		Entry("port out of range", "127.0.0.1:9001", "127.0.0.1:99001", `5006 malformed_table: p:10: pools[0].targets[1].address: "127.0.0.1:99001" is not IP:port`),
		Entry("host name", "127.0.0.1:9001", "db:1", `5006 malformed_table: p:10: pools[0].targets[1].address: "db:1" is not IP:port`),
		Entry("unit in the value", `"load_ms": 250`, `"load_ms": "250ms"`, `5006 malformed_table: p:3: weight_store.load_ms: want a whole number of milliseconds, got the string "250ms"`),
		Entry("zero rate", `4.5`, `0`, `5006 malformed_table: p:3: weight_store.loads_per_second: 0 is not a number above 0 and at most 10000`),
		Entry("limits contradict", `"total_ms": 5000`, `"total_ms": 50`, `5006 malformed_table: p:7: pools[0].classes[0].total_ms: 50 is less than first_token_ms 500`),
		Entry("service with slots", `"engine"`, `"service"`, `5006 malformed_table: p:5: pools[0].kind: a plain service has no base_model and no slots`,
			`5006 malformed_table: r:2: routes[0].adapter: pool "rota" is a plain service and has no adapters`, `5006 malformed_table: r:2: routes[0].pool: a route to an engine pool needs model, a route to a plain service needs path`),
		Entry("deep nesting", `"routes": [`, `"routes": [`+strings.Repeat("[", 1<<20), `5006 malformed_table: r:1: nested deeper than 64 levels`),
	)

	It("refuses an empty route table", func() {
		_, faults := tables.ParseSource("r", []byte("{}"), "p", []byte(pools))
		Expect(texts(faults)).To(Equal([]string{"5006 malformed_table: r:1: routes: the table has no routes"}))
	})

	It("lists the faults of both files at once", func() {
		_, faults := tables.ParseSource("r", []byte(strings.Replace(routes, `"short"`, `"x"`, 1)), "p", []byte(strings.Replace(pools, `"max_running": 16`, `"max_running": 0`, 1)))
		Expect(faults).To(HaveLen(2))
		var f *tables.FieldError
		Expect(errors.As(faults[0], &f)).To(BeTrue())
		Expect(f).To(HaveField("Line", 6))
	})

	// 3,000 routes to an unknown pool must not yield 3,000 faults.
	It("limits the number of faults", func() {
		s := fleet(3000, 12)
		s.Pools.Pools[0].Name = "other"
		Expect(tables.Validate(&s.Routes, &s.Pools)).To(HaveLen(tables.MaxFaults))
	})

	DescribeTable("refuses files that it cannot read", func(prepare func(path string) error, code result.Code, want string) {
		dir := GinkgoT().TempDir()
		path, good := filepath.Join(dir, "r.jsonc"), filepath.Join(dir, "p.jsonc")
		Expect(os.WriteFile(good, []byte(pools), 0o600)).To(Succeed())
		Expect(prepare(path)).To(Succeed())
		_, faults := tables.ReadSource(path, good)
		Expect(faults).To(HaveLen(1))
		Expect(result.CodeOf(faults[0])).To(Equal(code))
		Expect(faults[0]).To(MatchError(ContainSubstring(want)))
	},
		Entry("absent", func(string) error { return nil }, result.MalformedTable, "no such file"),
		Entry("directory", func(p string) error { return os.Mkdir(p, 0o700) }, result.MalformedTable, "not a regular file"),
		Entry("twice the limit", func(p string) error { return os.WriteFile(p, make([]byte, 2*tables.MaxTablesBytes), 0o600) },
			result.ValueTooLarge, "33554432 bytes, limit 16777216"),
	)
})

var _ = Describe("parts", func() {
	// changed returns the number and total size of the parts that only b has.
	changed := func(a, b *tables.Snapshot) (parts, bytes int) {
		for key, data := range b.Parts() {
			if _, ok := a.Part(key); !ok {
				parts, bytes = parts+1, bytes+len(data)
			}
		}
		return parts, bytes
	}

	// Every entry fetches the parts that changed at each change, 2,000 times a
	// day.
	DescribeTable("change little after a small edit of the tables", func(routes int, edit func(*tables.Source), maxParts int) {
		before := build(fleet(routes, 1100))
		edited := fleet(routes, 1100)
		edit(edited)
		after := build(edited)
		parts, bytes := changed(before, after)
		AddReportEntry(fmt.Sprintf("%d of %d parts, %d bytes, manifest %d bytes", parts, len(after.Parts()), bytes, len(after.Manifest())))
		Expect(parts).To(BeNumerically("<=", maxParts))
		Expect(parts).To(BeNumerically(">", 0))
	}, func(routes int, _ func(*tables.Source), maxParts int) string {
		return fmt.Sprintf("%d routes, at most %d parts", routes, maxParts)
	},
		Entry(nil, 3000, func(s *tables.Source) { s.Routes.Routes[1500].Version = "2024-02" }, 1),
		Entry(nil, 14000, func(s *tables.Source) { s.Routes.Routes[9000].Version = "2024-02" }, 1),
		Entry(nil, 3000, func(s *tables.Source) { s.Routes.Routes = slices.Delete(s.Routes.Routes, 0, 1) }, 3),
		Entry(nil, 14000, func(s *tables.Source) { s.Routes.Routes = slices.Delete(s.Routes.Routes, 0, 1) }, 3),
		Entry(nil, 14000, func(s *tables.Source) {
			r := s.Routes.Routes[0]
			r.Model = "grower-07000-new"
			s.Routes.Routes = append(s.Routes.Routes, r)
		}, 3),
		Entry(nil, 3000, func(s *tables.Source) { s.Pools.Pools[0].Targets[500].Draining = true }, 1),
		Entry(nil, 3000, func(s *tables.Source) { s.Pools.Pools[0].Targets = s.Pools.Pools[0].Targets[1:] }, 3),
	)

	It("are at most 32 KB, in a manifest within its limit, for the largest tables", func() {
		snap := build(fleet(99_999, 5000))
		for _, data := range snap.Parts() {
			Expect(len(data)).To(BeNumerically("<=", tables.MaxPartBytes))
		}
		Expect(len(snap.Manifest())).To(BeNumerically("<=", tables.MaxManifestBytes))
	})

	It("refuses tables over the total limit", func() {
		s := fleet(99_999, 12)
		for i := range s.Routes.Routes[:99_999] {
			s.Routes.Routes[i].Adapter = strings.Repeat("a", tables.MaxNameBytes)
		}
		_, faults := s.Build(1)
		Expect(texts(faults)).To(ContainElement(HavePrefix("5003 value_too_large: tables of")))
	})

	// Sorting a file must cause no adapter loads and must not make targets lose
	// the records of idempotency keys.
	It("do not depend on the order in the files", func() {
		a, s := build(fleet(300, 50)), fleet(300, 50)
		slices.Reverse(s.Routes.Routes)
		slices.Reverse(s.Pools.Pools)
		slices.Reverse(s.Pools.Pools[1].Targets)
		b := build(s)
		Expect(b.Digest).To(Equal(a.Digest))
		Expect(b.TargetListDigest("rota")).To(Equal(a.TargetListDigest("rota")))
	})

	It("keep the manifest as published, so that the digest is the same in all versions", func() {
		a := build(fleet(300, 50))
		spaced := append([]byte("  "), a.Manifest()...)
		b, faults := tables.Assemble(spaced, a.Parts())
		Expect(faults).To(BeEmpty())
		Expect(b.Manifest()).To(Equal(spaced))
		Expect(b.Digest).NotTo(Equal(a.Digest))
	})

	// Target processes detect a change of the homes of idempotency keys by the
	// digest.
	It("have a pool digest that changes when a target starts draining", func() {
		s := fleet(1, 12)
		before := build(s).TargetListDigest("rota")
		s.Pools.Pools[0].Targets[3].Draining = true
		Expect(build(s).TargetListDigest("rota")).NotTo(Equal(before))
	})

	It("assemble to the snapshot that was built", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := fleet(rapid.IntRange(0, 400).Draw(t, "routes"), rapid.IntRange(1, 300).Draw(t, "targets"))
			if rapid.Bool().Draw(t, "noRoutes") {
				s.Routes.Routes = nil
			}
			a, faults := s.Build(rapid.Uint64Min(1).Draw(t, "revision"))
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			b, faults := tables.Assemble(a.Manifest(), a.Parts())
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			ar, ap := a.Tables()
			br, bp := b.Tables()
			if mustJSON(ar) != mustJSON(br) || mustJSON(ap) != mustJSON(bp) || a.Digest != b.Digest || a.Revision != b.Revision {
				t.Fatalf("the assembled snapshot differs")
			}
		})
	})

	// A reused part must not bring back routes of the previous snapshot.
	It("assemble after another snapshot as they do alone", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := fleet(400, 20)
			built, _ := s.Build(1)
			a, _ := tables.Assemble(built.Manifest(), built.Parts())
			for range rapid.IntRange(1, 5).Draw(t, "edits") {
				i := rapid.IntRange(0, len(s.Routes.Routes)-2).Draw(t, "route")
				if rapid.Bool().Draw(t, "delete") {
					s.Routes.Routes = slices.Delete(s.Routes.Routes, i, i+1)
				} else {
					s.Routes.Routes[i].Model += "x"
				}
			}
			b, faults := s.Build(2)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			parts := maps.Clone(b.Parts())
			maps.DeleteFunc(parts, func(key string, _ []byte) bool { _, ok := a.Part(key); return ok })
			got, faults := tables.AssembleAfter(a, b.Manifest(), parts)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			want, _ := b.Tables()
			if have, _ := got.Tables(); mustJSON(have) != mustJSON(want) || got.Digest != b.Digest || len(got.Parts()) != len(b.Parts()) {
				t.Fatal("the snapshots differ")
			}
		})
	})

	DescribeTable("are refused when one is missing or invalid", func(corrupt func(m *tables.Manifest, parts map[string][]byte), want string) {
		a := build(fleet(300, 50))
		m, err := tables.ParseManifest(a.Manifest())
		Expect(err).NotTo(HaveOccurred())
		parts := maps.Clone(a.Parts())
		corrupt(m, parts)
		snap, faults := tables.Assemble([]byte(mustJSON(m)), parts)
		Expect(snap).To(BeNil())
		Expect(texts(faults)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("missing part", func(m *tables.Manifest, p map[string][]byte) { delete(p, m.Routes[1].Key) }, "5007 part_missing: part agate/part/"),
		Entry("damaged part", func(m *tables.Manifest, p map[string][]byte) {
			p[m.Routes[0].Key] = slices.Clone(p[m.Routes[0].Key])
			p[m.Routes[0].Key][20] ^= 1
		}, "does not match its size or digest"),
		Entry("truncated part", func(m *tables.Manifest, p map[string][]byte) { p[m.Pools[0].Key] = p[m.Pools[0].Key][:9] }, "does not match its size or digest"),
		Entry("part twice", func(m *tables.Manifest, _ map[string][]byte) { m.Routes = append(m.Routes, m.Routes[0]) }, "5002 duplicate_name: part"),
		Entry("pool part left out", func(m *tables.Manifest, _ map[string][]byte) { m.Pools = m.Pools[1:] }, "5001 dangling_name: targets of pool"),
		Entry("key of another kind", func(m *tables.Manifest, _ map[string][]byte) { m.Routes[0].Key = "agate/part/../../secret" }, "is not the key of a part"),
		Entry("part over the limit", func(m *tables.Manifest, _ map[string][]byte) { m.Routes[0].Size = tables.MaxPartBytes + 1 }, "5003 value_too_large: part"),
		Entry("no revision", func(m *tables.Manifest, _ map[string][]byte) { m.Revision = 0 }, "manifest without a revision"),
	)

	It("refuses a pool table without pools", func() {
		_, faults := new(tables.Source).Build(1)
		Expect(texts(faults)).To(Equal([]string{"5006 malformed_table: pools: 0 pools, allowed 1 to 1000"}))
	})

	It("refuses revision 0", func() {
		_, faults := fleet(1, 1).Build(0)
		Expect(texts(faults)).To(ContainElement(ContainSubstring("revisions start at 1")))
	})
})

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

var _ = Describe("Diff", func() {
	DescribeTable("lists changes in terms of the tables", func(edit func(*tables.Source), want ...tables.Change) {
		edited := fleet(20, 12)
		edit(edited)
		Expect(tables.Diff(build(fleet(20, 12)), build(edited)).List).To(ConsistOf(want))
	},
		Entry("nothing", func(*tables.Source) {}),
		Entry("version", func(s *tables.Source) { s.Routes.Routes[3].Version = "2" }, tables.Change{Kind: tables.RouteVersionChanged, Name: "grower-00003", Before: "version 2024-01", After: "version 2"}),
		Entry("route removed", func(s *tables.Source) { s.Routes.Routes = s.Routes.Routes[1:] },
			tables.Change{Kind: tables.RouteRemoved, Name: "grower-00000", Before: "adapter grower-00000-lora@2024-01, pool rota, class short"}),
		Entry("draining", func(s *tables.Source) { s.Pools.Pools[0].Targets[2].Draining = true }, tables.Change{Kind: tables.TargetDraining, Name: "rota/rota-0002"}),
		Entry("target removed", func(s *tables.Source) { s.Pools.Pools[0].Targets = s.Pools.Pools[0].Targets[:11] },
			tables.Change{Kind: tables.TargetRemoved, Name: "rota/rota-0011", Before: "127.0.0.12:9000 in zone3"}),
		Entry("pool of a route", func(s *tables.Source) {
			p := s.Pools.Pools[1]
			p.Name, p.Targets = "ledger2", []tables.Target{{Name: "l2", Address: "127.0.0.1:9501", FailureDomain: "zone1"}}
			s.Pools.Pools = append(s.Pools.Pools, p)
			s.Routes.Routes[20].Pool = "ledger2"
		}, tables.Change{Kind: tables.RoutePoolChanged, Name: "/ledger/", Before: "pool ledger", After: "pool ledger2"},
			tables.Change{Kind: tables.PoolAdded, Name: "ledger2", After: "1 targets"}),
		Entry("weight store", func(s *tables.Source) { s.Pools.WeightStore.LoadsPerSecond = 6 },
			tables.Change{Kind: tables.WeightStoreChanged, Name: "weight_store", Before: "loads_per_second 4.5", After: "loads_per_second 6"}),
	)

	// Rendezvous hashing moves only the adapters whose first rank is the changed
	// target: about one in twelve.
	DescribeTable("counts adapters whose first-ranked target changes", func(edit func(*tables.Source), minShare, maxShare float64) {
		edited := fleet(3000, 12)
		edit(edited)
		diff := tables.Diff(build(fleet(3000, 12)), build(edited))
		AddReportEntry(fmt.Sprintf("%d of %d adapters, share %.4f", diff.FirstRankMoved, diff.Adapters, diff.MovedShare()))
		Expect(diff.Adapters).To(Equal(3000))
		Expect(diff.MovedShare()).To(And(BeNumerically(">=", minShare), BeNumerically("<=", maxShare)))
	},
		Entry("none", func(*tables.Source) {}, 0.0, 0.0),
		Entry("one target removed", func(s *tables.Source) { s.Pools.Pools[0].Targets = s.Pools.Pools[0].Targets[1:] }, 0.07, 0.10),
		Entry("one target draining", func(s *tables.Source) { s.Pools.Pools[0].Targets[0].Draining = true }, 0.07, 0.10),
		Entry("another base model", func(s *tables.Source) { s.Pools.Pools[0].BaseModel = "other" }, 0.88, 0.95),
	)
})
