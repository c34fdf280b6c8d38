package target

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/trust"
)

// Values of Settings.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Settings are the settings of one target process.
type Settings struct {
	Name          string `json:"name" doc:"Name of the target in the pool table." range:"1..200"`
	FailureDomain string `json:"failure_domain" doc:"Failure domain of this VM." range:"1..200"`
	Kind          string `json:"kind" doc:"What stands beside this process." range:"engine|service"`
	Backend       string `json:"backend" doc:"Base URL of the engine or plain service beside this process." range:"1..500"`
	// Listen also prevents a second process beside the same target, because
	// the port stays bound until the process stops.
	Listen       string         `json:"listen" doc:"IP address and port for entries. Holding the port keeps a second process away." range:"1..200"`
	AdminListen  string         `json:"admin_listen" doc:"IP address and port for health, readiness, metrics and status." range:"1..200"`
	LogLevel     string         `json:"log_level" doc:"Least severe level that is logged." range:"debug|info|warn|error"`
	DrainLimitMS int            `json:"drain_limit_ms" doc:"Longest time that a planned stop waits for accepted requests." unit:"ms" range:"0..86400000"`
	TLS          trust.Settings `json:"tls" doc:"Mutual TLS between processes; plain TCP when empty."`
	// HomeGraceMS concerns the home of an idempotency key, which is the one target
	// that runs the calls with the key.
	HomeGraceMS int    `json:"home_grace_ms" doc:"Longest time in which a changed pool table is in force everywhere. A call that may not be repeated is not run if its key was created within this time after its home changed or this process started." unit:"ms" range:"1..3600000"`
	SlotPolicy  string `json:"slot_policy" doc:"Eviction policy; lru is for comparison." range:"frequency|lru"`
	QueuePolicy string `json:"queue_policy" doc:"Queue policy; fifo is for comparison." range:"class|fifo"`
}

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	s.Name = "target-1"
	s.FailureDomain = "local"
	s.Kind = KindEngine
	s.Backend = "http://127.0.0.1:8000"
	s.Listen = "127.0.0.1:7100"
	s.AdminListen = "127.0.0.1:7200"
	s.LogLevel = "info"
	s.DrainLimitMS = 10 * 60 * 1000
	s.HomeGraceMS = int(scheduler.DefaultHomeGracePeriod.Milliseconds())
	s.SlotPolicy = "frequency"
	s.QueuePolicy = "class"
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Fault {
	var faults []settings.Fault
	if s.Listen == s.AdminListen {
		faults = append(faults, settings.Fault{Field: "admin_listen", Reason: "is the same address as listen"})
	}
	return faults
}

func (s *Settings) drainLimit() time.Duration {
	return time.Duration(s.DrainLimitMS) * time.Millisecond
}
