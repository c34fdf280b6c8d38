package entry

import (
	"time"

	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/trust"
)

// Settings are the settings of one entry process, as its settings file holds them.
type Settings struct {
	Name          string         `json:"name" doc:"Name of this entry in the VM list." range:"1..200"`
	FailureDomain string         `json:"failure_domain" doc:"Failure domain of this VM." range:"1..200"`
	Listen        string         `json:"listen" doc:"IP address and port for callers' HTTP." range:"1..200"`
	PeerListen    string         `json:"peer_listen" doc:"IP address and port for other entries." range:"1..200"`
	AdminListen   string         `json:"admin_listen" doc:"IP address and port for health, readiness, metrics and status." range:"1..200"`
	ConfigService string         `json:"config_service" doc:"Base URL of the configuration service." range:"1..500"`
	VMList        string         `json:"vm_list" doc:"Base URL of the VM list." range:"1..500"`
	LogLevel      string         `json:"log_level" doc:"Least severe level that is logged." range:"debug|info|warn|error"`
	MaxBodyBytes  int64          `json:"max_body_bytes" doc:"Largest request body." unit:"bytes" range:"1..1000000"`
	MaxOpen       int64          `json:"max_open" doc:"Most requests that are open at once." range:"1..100000"`
	DrainDelayMS  int            `json:"drain_delay_ms" doc:"Time between failing readiness and refusing new requests, for the balancer to notice." unit:"ms" range:"0..600000"`
	DrainLimitMS  int            `json:"drain_limit_ms" doc:"Longest time that a planned stop waits for open requests." unit:"ms" range:"0..86400000"`
	TLS           trust.Settings `json:"tls" doc:"Mutual TLS between processes; plain TCP when empty."`
	PickPolicy    string         `json:"pick_policy" doc:"Target choice; random is for comparison." range:"affinity|random"`
	RetryPolicy   string         `json:"retry_policy" doc:"Retry policy; unlimited is for comparison." range:"budget|unlimited"`
}

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	s.Name = "entry-1"
	s.FailureDomain = "local"
	s.Listen = "127.0.0.1:8080"
	s.PeerListen = "127.0.0.1:8180"
	s.AdminListen = "127.0.0.1:8280"
	s.ConfigService = "http://127.0.0.1:9000"
	s.VMList = "http://127.0.0.1:9001"
	s.LogLevel = "info"
	s.MaxBodyBytes = 512 << 10
	s.MaxOpen = 5000
	s.DrainDelayMS = 3000
	s.DrainLimitMS = 10 * 60 * 1000
	s.PickPolicy = "affinity"
	s.RetryPolicy = "budget"
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Fault {
	var faults []settings.Fault
	fieldByAddress := map[string]string{s.Listen: "listen"}
	for _, f := range []struct{ field, address string }{{"peer_listen", s.PeerListen}, {"admin_listen", s.AdminListen}} {
		if other, ok := fieldByAddress[f.address]; ok {
			faults = append(faults, settings.Fault{Field: f.field, Reason: "is the same address as " + other})
		}
		fieldByAddress[f.address] = f.field
	}
	return faults
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
