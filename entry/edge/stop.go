package edge

import (
	"context"
	"time"
)

const (
	// drainDelay is the time between failing readiness and refusing new
	// requests. New connections arrive until the load balancer has noticed: it
	// probes readiness once a second and reacts to two failed probes.
	drainDelay = 2500 * time.Millisecond
	// killMargin is how long before the end of the grace period a planned stop
	// closes the requests that are still open. The process is killed at the end
	// of the grace period.
	killMargin = 400 * time.Millisecond
	// lastAnswersTime is how much of killMargin is left for the answers to the requests
	// that are open then.
	lastAnswersTime = 200 * time.Millisecond
	// openRequestsPollInterval is the time between two checks of a planned stop
	// for open requests.
	openRequestsPollInterval = 20 * time.Millisecond
)

// stopEnd returns when a planned stop ends the open requests, the zero time if none has
// begun.
func (e *Edge) stopEnd() time.Time {
	if began := e.stopBegan.Load(); began != nil {
		return began.Add(time.Duration(e.gracePeriod.Load()) - killMargin)
	}
	return time.Time{}
}

// Shutdown fails readiness, waits drainDelay for the load balancer to notice and
// then refuses new requests. Each answer closes its connection. When no request is
// open, or killMargin before the end of the grace period, it closes the listener, the
// idle connections and the process. Requests that are open then get an answer: that they
// have not run, or that nothing is known of their outcome.
func (e *Edge) Shutdown(ctx context.Context) {
	began := time.Now()
	e.log.With("open", e.openRequests.Load()).Info("planned stop begins")
	e.stopBegan.Store(&began)
	e.stopping.Store(true)
	sleep(ctx, drainDelay)
	e.refusesRequests.Store(true)
	e.awaitStop(ctx, 0, func() bool { return e.openRequests.Load() == 0 })
	_ = e.callerListener.Close()
	noConnections := func() bool { return e.callerConns.closeIdle() == 0 }
	e.awaitStop(ctx, 0, noConnections)
	e.log.With("open", e.openRequests.Load()).Info("planned stop ends")
	e.endRequests()
	e.awaitStop(ctx, lastAnswersTime, noConnections)
	e.Close()
}

// awaitStop waits until done returns true, or a time after the end of the planned stop. The
// settings may change that end meanwhile.
func (e *Edge) awaitStop(ctx context.Context, after time.Duration, done func() bool) {
	for !done() && time.Now().Before(e.stopEnd().Add(after)) && ctx.Err() == nil {
		time.Sleep(openRequestsPollInterval)
	}
}
