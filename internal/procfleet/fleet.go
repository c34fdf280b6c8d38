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

// Options sets the size and the properties of a fleet.
type Options struct {
	Entries  int
	Engines  int
	Services int
	Adapters int
	// Slots is the number of adapter slots of one engine.
	Slots int
	// Relays places a relay, which can be cut, before each target process.
	Relays bool
	// IgnoreFence makes the engines ignore fencing numbers.
	IgnoreFence bool
	// OwnConfigs gives each entry its own configuration service, which can be
	// down or stale for that entry alone.
	OwnConfigs bool
	// PeerRelays places a relay before the peer port of each entry.
	PeerRelays bool
	// VMListLag is the delay until readers of the VM list see a change; 0 stands
	// for 500 ms.
	VMListLag time.Duration
	// ServiceDelay is the duration of one call at a plain service.
	ServiceDelay time.Duration
}

// Unit is a target process with its target and its relay.
type Unit struct {
	// Process is the target process.
	Process *Process
	// Backend is the stand-in process of the engine or service.
	Backend *Process
	// BackendURL is the base URL of the engine or service.
	BackendURL string
	// RelayControlURL is the base URL of the control interface of the relay, if
	// the fleet has relays.
	RelayControlURL string
	// AdminURL is the base URL of the admin address of the target process.
	AdminURL string
	// Row is the row of the target in its pool.
	Row tables.Target
	// VM is the row of the target process in the VM list.
	VM standin.VM
}

// EntryUnit is an entry process.
type EntryUnit struct {
	Process  *Process
	URL      string
	AdminURL string
	// ConfigURL is the base URL of the configuration service that this entry
	// reads.
	ConfigURL string
	// PeerRelayControlURL is the base URL of the control interface of the relay before
	// the peer port, if the fleet has peer relays.
	PeerRelayControlURL string
	// VM is the row of the entry in the VM list.
	VM standin.VM
	// settingsPath is the path of the settings file.
	settingsPath string
	name         string
}

// Fleet is a running fleet.
type Fleet struct {
	// Dir holds the settings files and the logs.
	Dir string
	// ConfigURL, VMListURL and WeightStoreURL are the base URLs of the first configuration
	// service, the VM list and the weight store.
	ConfigURL      string
	VMListURL      string
	WeightStoreURL string
	Engines        []*Unit
	Services       []*Unit
	Entries        []*EntryUnit
	// Routes and Pools are the tables that Publish writes.
	Routes tables.RouteTable
	Pools  tables.PoolTable
	// Revision is the revision that Publish used last.
	Revision uint64

	// configURLs are the base URLs of the configuration services that Publish
	// writes to.
	configURLs []string
	binDir     string
	options    Options
	processes  []*Process
}

// Build compiles all programs of the repository into dir.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "agatelanding.example/agatelanding/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

// Start starts a fleet with the programs in binDir and its files in dir. It
// returns the fleet also on an error, so that the caller can close it.
func Start(binDir, dir string, o Options) (*Fleet, error) {
	f := &Fleet{Dir: dir, binDir: binDir, options: o}
	return f, f.start()
}

func (f *Fleet) start() error {
	for _, s := range []struct {
		name string
		url  *string
		args []string
	}{
		{"config", &f.ConfigURL, nil}, {"vmlist", &f.VMListURL, []string{"--lag", vmListStartLag.String()}}, {"weights", &f.WeightStoreURL, nil},
	} {
		if _, err := f.startStandin(s.name, s.name, s.url, s.args...); err != nil {
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

// vmListStartLag is the lag of the VM list until the entries start.
const vmListStartLag = 20 * time.Millisecond

// startEntries starts the entries once the VM list shows every VM. An entry reads
// the list when it starts and then every 5 s. Without the rows, a restarted entry
// would have no process to ask for the revision in force.
func (f *Fleet) startEntries() error {
	for i := range f.options.Entries {
		if err := f.addEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	rows := len(f.Engines) + len(f.Services) + len(f.Entries)
	err := WaitFor(5*time.Second, "the VM list is complete", func() bool {
		_, body := Get(f.VMListURL + "/v1/vms")
		var vms []standin.VM
		return json.Unmarshal([]byte(body), &vms) == nil && len(vms) == rows
	})
	if err != nil {
		return err
	}
	if err := Post(fmt.Sprintf("%s/control?lag_ms=%d", f.VMListURL, f.options.vmListLag().Milliseconds())); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if e.Process, err = f.spawn(e.name, "agate-entry", "--settings", e.settingsPath); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) vmListLag() time.Duration {
	if o.VMListLag == 0 {
		return 500 * time.Millisecond
	}
	return o.VMListLag
}

// startConfigs starts a configuration service for each entry after the first, if
// OwnConfigs is set. The first entry reads f.ConfigURL.
func (f *Fleet) startConfigs() error {
	f.configURLs = []string{f.ConfigURL}
	for i := 1; f.options.OwnConfigs && i < f.options.Entries; i++ {
		var url string
		if _, err := f.startStandin(fmt.Sprintf("config-%d", i+1), "config", &url); err != nil {
			return err
		}
		f.configURLs = append(f.configURLs, url)
	}
	return nil
}

// spawn starts a process and records it for Close.
func (f *Fleet) spawn(name string, args ...string) (*Process, error) {
	p, err := startProcess(f.binDir, f.Dir, name, args...)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}

// startStandin starts a stand-in of the given kind, which is a subcommand of
// agate-standin. It sets url to the base URL and waits until the stand-in accepts
// connections.
func (f *Fleet) startStandin(name, kind string, url *string, args ...string) (*Process, error) {
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
	for i := range f.options.Engines {
		u, err := f.startUnit(fmt.Sprintf("assistant-%d", i+1), i, target.KindEngine)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, u)
	}
	for i := range f.options.Services {
		u, err := f.startUnit(fmt.Sprintf("ledger-%d", i+1), i, target.KindService)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, u)
	}
	return nil
}

// startUnit starts the stand-in of a target, its target process and, if the fleet
// has relays, the relay. It adds the VM to the VM list. i selects the failure
// domain.
func (f *Fleet) startUnit(name string, i int, kind string) (*Unit, error) {
	u := &Unit{}
	var err error
	if kind == target.KindEngine {
		u.Backend, err = f.startStandin(name+"-engine", "engine", &u.BackendURL, "--weights", f.WeightStoreURL,
			"--slots", fmt.Sprint(f.options.Slots), fmt.Sprintf("--keeps-fence=%t", !f.options.IgnoreFence))
	} else {
		u.Backend, err = f.startStandin(name+"-service", "service", &u.BackendURL, "--delay", f.options.ServiceDelay.String())
	}
	if err != nil {
		return nil, err
	}
	var s target.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain, s.Kind, s.Backend = name, fixture.FailureDomain(i), kind, u.BackendURL
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
	if f.options.Relays {
		if err := f.addRelay(u); err != nil {
			return nil, err
		}
	}
	u.VM = standin.VM{Name: name, Role: "target", Address: u.Row.Address, FailureDomain: s.FailureDomain, State: "live"}
	return u, f.ListVM(u.VM)
}

// addRelay starts a relay before a target process and puts its address into the
// row of the target.
func (f *Fleet) addRelay(u *Unit) error {
	var err error
	u.Row.Address, u.RelayControlURL, err = f.startRelay(u.Row.Name, u.Row.Address)
	return err
}

// startRelay starts a relay that forwards to upstream. It returns the address that
// the relay listens on and the base URL of its control interface.
func (f *Fleet) startRelay(name, upstream string) (address, controlURL string, err error) {
	address, control := fixture.FreeAddress(), fixture.FreeAddress()
	_, err = f.spawn(name+"-relay", "agate-standin", "relay", "--listen", address, "--control", control, "--upstream", upstream)
	return address, "http://" + control, err
}

// writeJSON writes v to the file NAME.json in the folder of the fleet and returns
// the path.
func (f *Fleet) writeJSON(name string, v any) (string, error) {
	path := filepath.Join(f.Dir, name+".json")
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o644)
}

func (f *Fleet) makeTables() {
	f.Routes, f.Pools = fixture.Tables(f.options.Adapters, f.options.Slots, targetRows(f.Engines), targetRows(f.Services))
}

func targetRows(units []*Unit) []tables.Target {
	list := make([]tables.Target, len(units))
	for i, u := range units {
		list[i] = u.Row
	}
	return list
}

// addEntry writes the settings file of an entry and adds its VM to the VM list.
// It does not start the entry.
func (f *Fleet) addEntry(name string) error {
	var s entry.Settings
	s.SetDefaults()
	s.Name, s.FailureDomain = name, fixture.FailureDomain(len(f.Entries))
	s.Listen, s.PeerListen, s.AdminListen = fixture.FreeAddress(), fixture.FreeAddress(), fixture.FreeAddress()
	s.ConfigService, s.VMList, s.DrainDelayMS = f.configURLs[len(f.Entries)%len(f.configURLs)], f.VMListURL, 300
	path, err := f.writeJSON(name, s)
	if err != nil {
		return err
	}
	e := &EntryUnit{URL: "http://" + s.Listen, AdminURL: "http://" + s.AdminListen, ConfigURL: s.ConfigService, settingsPath: path, name: name}
	e.VM = standin.VM{Name: name, Role: "entry", Address: s.PeerListen, FailureDomain: s.FailureDomain, State: "live"}
	if f.options.PeerRelays {
		if e.VM.Address, e.PeerRelayControlURL, err = f.startRelay(name, s.PeerListen); err != nil {
			return err
		}
	}
	if err = f.ListVM(e.VM); err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

// ListVM writes a row to the VM list.
func (f *Fleet) ListVM(vm standin.VM) error {
	data, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	return Put(f.VMListURL+"/v1/vms", string(data))
}

// WaitReady waits until every entry and target process is ready, for each at most
// timeout.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	var urls []string
	for _, e := range f.Entries {
		urls = append(urls, e.AdminURL)
	}
	for _, u := range append(append([]*Unit{}, f.Engines...), f.Services...) {
		urls = append(urls, u.AdminURL)
	}
	for _, url := range urls {
		err := WaitFor(timeout, url+" is ready", func() bool {
			status, _ := Get(url + "/readyz")
			return status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Effects returns the number of executions of each idempotency key at all plain
// services.
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

// Close kills every process of the fleet that is still running.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		if p.Running() {
			p.Kill()
		}
	}
}
