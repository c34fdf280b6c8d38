// Package e2e runs a small fleet within the test process, for end-to-end tests on
// loopback. Entries and target processes are values of the packages entry and
// target, which the daemons run too. Engines, plain services and the platform are
// stand-ins.
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
	// StepBase is the base time of one engine step, standin.EngineConfig.StepBase.
	StepBase time.Duration
}

// Fleet is a running fleet. Routes and Pools are the tables that Publish writes.
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
	// Revision is the revision that Publish used last.
	Revision uint64

	configURL   string
	vmListURL   string
	engineURLs  []string
	serviceURLs []string
	servers     []*httptest.Server
}

// Start starts a fleet and publishes its first tables. It returns the fleet also
// on an error, so that the caller can close it.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Config: standin.NewConfigService(), VMs: standin.NewVMList(50 * time.Millisecond), Weights: standin.NewWeightStore(),
	}
	f.configURL = f.serve(f.Config.Handler())
	f.vmListURL = f.serve(f.VMs.Handler())
	weights := f.serve(f.Weights.Handler())
	for range o.Engines {
		cfg := standin.DefaultEngineConfig()
		cfg.Slots, cfg.StepBase, cfg.WeightStore = o.Slots, o.StepBase, weights
		e := standin.NewEngine(cfg)
		f.Engines = append(f.Engines, e)
		f.engineURLs = append(f.engineURLs, f.serve(e.Handler()))
	}
	for range o.Services {
		s := standin.NewService(time.Millisecond)
		f.Services = append(f.Services, s)
		f.serviceURLs = append(f.serviceURLs, f.serve(s.Handler()))
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

// serve starts an HTTP server and returns its base URL.
func (f *Fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.servers = append(f.servers, s)
	return s.URL
}

func (f *Fleet) startTargets() error {
	for i := range f.Engines {
		if err := f.startTarget(f.Pools.Pools[0].Targets[i], target.KindEngine, f.engineURLs[i]); err != nil {
			return err
		}
	}
	for i := range f.Services {
		if err := f.startTarget(f.Pools.Pools[1].Targets[i], target.KindService, f.serviceURLs[i]); err != nil {
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

// AddEntry starts another entry and adds its VM to the VM list.
func (f *Fleet) AddEntry(name string) error {
	var s entry.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain = name, fixture.FailureDomain(len(f.Entries))
	s.Listen, s.PeerListen, s.AdminListen = fixture.FreeAddress(), fixture.FreeAddress(), fixture.FreeAddress()
	s.ConfigService, s.VMList, s.DrainDelayMS = f.configURL, f.vmListURL, 50
	e := entry.New(s)
	if err := e.Provision(); err != nil {
		return err
	}
	f.VMs.Set(standin.VM{Name: name, Role: "entry", Address: s.PeerListen, FailureDomain: s.FailureDomain, State: "live"})
	e.Start()
	f.Entries = append(f.Entries, e)
	return nil
}

// Publish writes the tables to the configuration service under the next revision:
// the parts first, then the manifest that lists them, as operators do.
func (f *Fleet) Publish() {
	f.Revision++
	snapshot, errs := tables.Build(f.Revision, &f.Routes, &f.Pools)
	if len(errs) > 0 {
		panic(result.Wrap(result.MalformedTable, errs[0]))
	}
	for key, data := range snapshot.Parts() {
		f.Config.Put(key, data)
	}
	f.Config.Put(tables.ManifestKey, snapshot.Manifest())
}

// EntryURL returns the base URL of an entry.
func (f *Fleet) EntryURL(i int) string { return "http://" + f.Entries[i].Address() }

// EngineURL returns the base URL of an engine stand-in.
func (f *Fleet) EngineURL(i int) string { return f.engineURLs[i] }

// Close stops the fleet without a planned stop.
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
