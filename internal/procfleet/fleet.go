package procfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	Slots    int
	// Relays puts a relay that can be cut before each target process.
	Relays bool
	// IgnoreFence makes the engines ignore fencing numbers.
	IgnoreFence bool
	// OwnConfigs gives each entry a configuration service of its own, which
	// can be down or stale for that entry alone.
	OwnConfigs bool
	// PeerRelays puts a relay before the peer port of each entry.
	PeerRelays bool
	// VMLag is how late the VM list shows a change; 0 means 500 ms.
	VMLag time.Duration
	// ServiceDelay is the time of one call at a plain service.
	ServiceDelay time.Duration
}

// Unit is a target process with what stands beside it.
type Unit struct {
	Process *Process
	Backend *Process
	// BackendURL is the base URL of the engine or service.
	BackendURL string
	// RelayControl is the base URL that cuts and heals the relay.
	RelayControl string
	AdminURL     string
	Row          tables.Target
	VM           standin.VM
}

// EntryUnit is an entry process.
type EntryUnit struct {
	Process  *Process
	URL      string
	AdminURL string
	// Config is the base URL of the configuration service of this entry.
	Config string
	// PeerControl is the base URL that cuts the relay before the peer port.
	PeerControl string
	VM          standin.VM
	settings    string
	name        string
}

// Fleet is a running fleet.
type Fleet struct {
	Dir      string
	Config   string
	VMs      string
	Weights  string
	Engines  []*Unit
	Services []*Unit
	Entries  []*EntryUnit
	Routes   tables.RouteTable
	Pools    tables.PoolTable
	Revision uint64

	// configs are the configuration services that Publish writes to.
	configs []string
	bin     string
	o       Options
	procs   []*Process
}

// Build compiles the programs into dir.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "agatelanding.example/agatelanding/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

// Start starts a fleet with binaries from bin and files in dir.
func Start(bin, dir string, o Options) (*Fleet, error) {
	f := &Fleet{Dir: dir, bin: bin, o: o}
	return f, f.start()
}

func (f *Fleet) start() error {
	for _, s := range []struct {
		name string
		url  *string
		args []string
	}{
		{"config", &f.Config, nil}, {"vmlist", &f.VMs, []string{"--lag", startLag.String()}}, {"weights", &f.Weights, nil},
	} {
		if _, err := f.standin(s.name, s.name, s.url, s.args...); err != nil {
			return err
		}
	}
	if err := f.startConfigs(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	f.makeTables()
	if err := f.Publish(); err != nil {
		return err
	}
	return f.startEntries()
}

// startLag is the lag of the VM list until the entries start.
const startLag = 20 * time.Millisecond

// startEntries starts the entries once the VM list shows every VM. An entry
// reads it at its start and then every 5 s; without its rows a restarted entry
// would know nobody to ask for the revision in force.
func (f *Fleet) startEntries() error {
	for i := range f.o.Entries {
		if err := f.addEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	rows := len(f.Engines) + len(f.Services) + len(f.Entries)
	err := WaitFor(5*time.Second, "the VM list is complete", func() bool {
		_, body := Get(f.VMs + "/v1/vms")
		var vms []standin.VM
		return json.Unmarshal([]byte(body), &vms) == nil && len(vms) == rows
	})
	if err != nil {
		return err
	}
	if err := Post(fmt.Sprintf("%s/control?lag_ms=%d", f.VMs, f.o.vmLag().Milliseconds())); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if e.Process, err = f.spawn(e.name, "agate-entry", "--settings", e.settings); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) vmLag() time.Duration {
	if o.VMLag == 0 {
		return 500 * time.Millisecond
	}
	return o.VMLag
}

// startConfigs starts the services of the second and further entries.
func (f *Fleet) startConfigs() error {
	f.configs = []string{f.Config}
	for i := 1; f.o.OwnConfigs && i < f.o.Entries; i++ {
		var url string
		if _, err := f.standin(fmt.Sprintf("config-%d", i+1), "config", &url); err != nil {
			return err
		}
		f.configs = append(f.configs, url)
	}
	return nil
}

// spawn starts a process that Close ends.
func (f *Fleet) spawn(name string, args ...string) (*Process, error) {
	p, err := startProcess(f.bin, f.Dir, name, args...)
	if err == nil {
		f.procs = append(f.procs, p)
	}
	return p, err
}

func (f *Fleet) standin(name, kind string, url *string, args ...string) (*Process, error) {
	address := fixture.FreeAddress()
	*url = "http://" + address
	p, err := f.spawn(name, append([]string{"agate-standin", kind, "--listen", address}, args...)...)
	if err != nil {
		return nil, err
	}
	return p, WaitFor(5*time.Second, name+" listens", func() bool { return canConnect(address) })
}

func canConnect(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (f *Fleet) startTargets() error {
	for i := range f.o.Engines {
		u, err := f.unit(fmt.Sprintf("assistant-%d", i+1), i, target.KindEngine)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, u)
	}
	for i := range f.o.Services {
		u, err := f.unit(fmt.Sprintf("ledger-%d", i+1), i, target.KindService)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, u)
	}
	return nil
}

func (f *Fleet) unit(name string, i int, kind string) (*Unit, error) {
	u := &Unit{}
	var err error
	if kind == target.KindEngine {
		u.Backend, err = f.standin(name+"-engine", "engine", &u.BackendURL, "--weights", f.Weights,
			"--slots", fmt.Sprint(f.o.Slots), fmt.Sprintf("--keeps-fence=%t", !f.o.IgnoreFence))
	} else {
		u.Backend, err = f.standin(name+"-service", "service", &u.BackendURL, "--delay", f.o.ServiceDelay.String())
	}
	if err != nil {
		return nil, err
	}
	var s target.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain, s.Kind, s.Backend = name, fixture.Domain(i), kind, u.BackendURL
	s.Listen, s.AdminListen, s.HomeGraceMS = fixture.FreeAddress(), fixture.FreeAddress(), 1000
	u.AdminURL = "http://" + s.AdminListen
	u.Row = tables.Target{Name: name, Address: s.Listen, FailureDomain: s.FailureDomain}
	path, err := f.writeJSON(name, s)
	if err != nil {
		return nil, err
	}
	if u.Process, err = f.spawn(name, "agate-target", "--settings", path); err != nil {
		return nil, err
	}
	if f.o.Relays {
		if err := f.relay(u); err != nil {
			return nil, err
		}
	}
	u.VM = standin.VM{Name: name, Role: "target", Address: u.Row.Address, FailureDomain: s.FailureDomain, State: "live"}
	return u, f.ListVM(u.VM)
}

// relay puts a relay before a target process.
func (f *Fleet) relay(u *Unit) error {
	var err error
	u.Row.Address, u.RelayControl, err = f.startRelay(u.Row.Name, u.Row.Address)
	return err
}

func (f *Fleet) startRelay(name, upstream string) (address, controlURL string, err error) {
	address, control := fixture.FreeAddress(), fixture.FreeAddress()
	_, err = f.spawn(name+"-relay", "agate-standin", "relay", "--listen", address, "--control", control, "--upstream", upstream)
	return address, "http://" + control, err
}

func (f *Fleet) writeJSON(name string, v any) (string, error) {
	path := filepath.Join(f.Dir, name+".json")
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o644)
}

func (f *Fleet) makeTables() {
	f.Routes, f.Pools = fixture.Tables(f.o.Adapters, f.o.Slots, rows(f.Engines), rows(f.Services))
}

func rows(units []*Unit) []tables.Target {
	list := make([]tables.Target, len(units))
	for i, u := range units {
		list[i] = u.Row
	}
	return list
}

// addEntry writes the settings of an entry and lists its VM.
func (f *Fleet) addEntry(name string) error {
	var s entry.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain = name, fixture.Domain(len(f.Entries))
	s.Listen, s.PeerListen, s.AdminListen = fixture.FreeAddress(), fixture.FreeAddress(), fixture.FreeAddress()
	s.ConfigService, s.VMList, s.DrainDelayMS = f.configs[len(f.Entries)%len(f.configs)], f.VMs, 300
	path, err := f.writeJSON(name, s)
	if err != nil {
		return err
	}
	e := &EntryUnit{URL: "http://" + s.Listen, AdminURL: "http://" + s.AdminListen, Config: s.ConfigService, settings: path, name: name}
	e.VM = standin.VM{Name: name, Role: "entry", Address: s.PeerListen, FailureDomain: s.FailureDomain, State: "live"}
	if f.o.PeerRelays {
		if e.VM.Address, e.PeerControl, err = f.startRelay(name, s.PeerListen); err != nil {
			return err
		}
	}
	if err = f.ListVM(e.VM); err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

// ListVM writes a row of the VM list.
func (f *Fleet) ListVM(vm standin.VM) error {
	data, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	return Put(f.VMs+"/v1/vms", string(data))
}

// WaitReady waits until every entry and target process is ready.
func (f *Fleet) WaitReady(limit time.Duration) error {
	var urls []string
	for _, e := range f.Entries {
		urls = append(urls, e.AdminURL)
	}
	for _, u := range append(append([]*Unit{}, f.Engines...), f.Services...) {
		urls = append(urls, u.AdminURL)
	}
	for _, url := range urls {
		err := WaitFor(limit, url+" is ready", func() bool {
			status, _ := Get(url + "/readyz")
			return status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Effects returns the executions of each key at all plain services.
func (f *Fleet) Effects() (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range f.Services {
		_, body := Get(u.BackendURL + "/effects")
		var effects map[string]int
		if err := json.Unmarshal([]byte(body), &effects); err != nil {
			return nil, result.Wrap(result.PlatformUnreached, err)
		}
		for k, n := range effects {
			total[k] += n
		}
	}
	return total, nil
}

// Close ends everything that was started, in any state.
func (f *Fleet) Close() {
	for _, p := range f.procs {
		if p.Running() {
			p.Kill()
		}
	}
}
