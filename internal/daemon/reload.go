package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"agatelanding.example/agatelanding/internal/telemetry"
)

// settingsPollInterval is the time between two checks of the settings file,
// which may also change without a signal.
const settingsPollInterval = time.Second

// Reconfigurable is a process that can apply changed settings while it runs.
type Reconfigurable[T any] interface {
	// Reconfigure applies settings. It must not end open requests.
	Reconfigure(T)
}

// watchSettings loads the settings after each signal and each interval and
// passes changed ones to p until ctx ends. Settings that cannot be read or are
// invalid are refused, and the previous ones stay in force. SIGHUP must have a
// receiver even if p is not Reconfigurable, because an unhandled SIGHUP would
// end the process.
func watchSettings[T any](ctx context.Context, current T, load func() (T, error), p Process, signals <-chan os.Signal, interval time.Duration) {
	log := telemetry.For("settings")
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastRefusal := ""
	for {
		select {
		case <-signals:
			log.Info("reload requested")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := load()
		switch {
		case err != nil:
			if lastRefusal != err.Error() {
				lastRefusal = err.Error()
				log.Error(err, "settings refused; the previous ones stay in force")
			}
			continue
		case reflect.DeepEqual(next, current):
			continue
		}
		lastRefusal, current = "", next
		log.Info("settings changed")
		if r, ok := p.(Reconfigurable[T]); ok {
			r.Reconfigure(next)
		}
	}
}
