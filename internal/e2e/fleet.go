// Package e2e builds a small fleet in one process, with stand-ins for the
// platform, for end-to-end tests on loopback. Every process of the fleet is a
// value of the libraries that the daemons run.
package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"agatelanding.example/agatelanding/entry"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/standin"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/target"
)

// Options sets the size of a fleet.
type Options struct {
	Entries  int
	Engines  int
	Services int
	Adapters int
	// Slots is the number of adapter slots of one engine.
	Slots int
	// Step is the base time of one engine step.
	Step time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Config   *standin.ConfigService
	VMs      *standin.VMList
	Weights  *standin.WeightStore
	Engines  []*standin.Engine
	Services []*standin.Service
	Entries  []*entry.Entry
	Targets  []*target.Target
	Routes   tables.RouteTable
	Pools    tables.PoolTable
	Revision uint64

	configURL string
	vmURL     string
	engineURL []string
	serveURL  []string
	servers   []*httptest.Server
}

// Start builds a fleet and publishes its first tables.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Config: standin.NewConfigService(), VMs: standin.NewVMList(50 * time.Millisecond), Weights: standin.NewWeightStore(),
	}
	f.configURL = f.serve(f.Config.Handler())
	f.vmURL = f.serve(f.VMs.Handler())
	weights := f.serve(f.Weights.Handler())
	for range o.Engines {
		cfg := standin.DefaultEngineConfig()
		cfg.Slots, cfg.StepBase, cfg.WeightStore = o.Slots, o.Step, weights
		e := standin.NewEngine(cfg)
		f.Engines = append(f.Engines, e)
		f.engineURL = append(f.engineURL, f.serve(e.Handler()))
	}
	for range o.Services {
		s := standin.NewService(time.Millisecond)
		f.Services = append(f.Services, s)
		f.serveURL = append(f.serveURL, f.serve(s.Handler()))
	}
	f.Routes, f.Pools = fixture.Tables(o.Adapters, o.Slots,
		fixture.Targets("assistant", o.Engines), fixture.Targets("ledger", o.Services))
	if err := f.startTargets(); err != nil {
		return f, err
	}
	f.Publish()
	for i := range o.Entries {
		if err := f.AddEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.servers = append(f.servers, s)
	return s.URL
}

func (f *Fleet) startTargets() error {
	for i := range f.Engines {
		if err := f.startTarget(f.Pools.Pools[0].Targets[i], target.KindEngine, f.engineURL[i]); err != nil {
			return err
		}
	}
	for i := range f.Services {
		if err := f.startTarget(f.Pools.Pools[1].Targets[i], target.KindService, f.serveURL[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startTarget(row tables.Target, kind, backend string) error {
	var s target.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain, s.Kind, s.Backend = row.Name, row.FailureDomain, kind, backend
	s.Listen, s.AdminListen, s.HomeGraceMS = row.Address, fixture.FreeAddress(), 100
	t := target.New(s)
	if err := t.Provision(); err != nil {
		return err
	}
	t.Start()
	f.Targets = append(f.Targets, t)
	return nil
}

// AddEntry starts one more entry.
func (f *Fleet) AddEntry(name string) error {
	var s entry.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain = name, fixture.Domain(len(f.Entries))
	s.Listen, s.PeerListen, s.AdminListen = fixture.FreeAddress(), fixture.FreeAddress(), fixture.FreeAddress()
	s.ConfigService, s.VMList, s.DrainDelayMS = f.configURL, f.vmURL, 50
	e := entry.New(s)
	if err := e.Provision(); err != nil {
		return err
	}
	f.VMs.Set(standin.VM{Name: name, Role: "entry", Address: s.PeerListen, FailureDomain: s.FailureDomain, State: "live"})
	e.Start()
	f.Entries = append(f.Entries, e)
	return nil
}

// Publish writes the tables to the configuration service under a new revision,
// parts first, as operators do.
func (f *Fleet) Publish() {
	f.Revision++
	snapshot, faults := tables.Build(f.Revision, &f.Routes, &f.Pools)
	if len(faults) > 0 {
		panic(result.Wrap(result.MalformedTable, faults[0]))
	}
	for key, data := range snapshot.Parts() {
		f.Config.Put(key, data)
	}
	f.Config.Put(tables.ManifestKey, snapshot.Manifest())
}

// URL returns the base URL of an entry.
func (f *Fleet) URL(i int) string { return "http://" + f.Entries[i].Address() }

// EngineURL returns the base URL of an engine.
func (f *Fleet) EngineURL(i int) string { return f.engineURL[i] }

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Close()
	}
	for _, t := range f.Targets {
		t.Close()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
