package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"agatelanding.example/agatelanding/internal/telemetry"
)

// reloadInterval is the time between two looks at the settings file, which may
// also change without a signal.
const reloadInterval = time.Second

// Reconfigurable is a process that takes changed settings while it runs.
type Reconfigurable[T any] interface {
	// Reconfigure puts settings in force. It must not end open requests.
	Reconfigure(T)
}

// reloads passes changed settings to a process until ctx ends. Settings that
// cannot be read or are invalid are refused, and the old ones stay in force.
// Without a handler a reload signal would end the process.
func reloads[T any](ctx context.Context, current T, load func() (T, error), p Process, signals <-chan os.Signal, interval time.Duration) {
	log := telemetry.For("settings")
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	refused := ""
	for {
		select {
		case <-signals:
			log.Info("reload asked for")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := load()
		switch {
		case err != nil:
			if refused != err.Error() {
				refused = err.Error()
				log.Error(err, "settings refused; the old ones stay in force")
			}
			continue
		case reflect.DeepEqual(next, current):
			continue
		}
		refused, current = "", next
		log.Info("settings changed")
		if r, ok := p.(Reconfigurable[T]); ok {
			r.Reconfigure(next)
		}
	}
}
