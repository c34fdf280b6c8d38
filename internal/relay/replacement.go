package relay

import (
	"context"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
)

// grantedTarget is a target that the broker has granted to a request.
type grantedTarget struct {
	grant         steering.Grant
	requestNumber uint64
}

// replacement searches for another target while the target of an attempt is silent.
// A silent target may go on, so the attempt ends only once another target has been
// granted. The timer, the search and the attempt run in goroutines of their own; mu
// guards the fields below it.
type replacement struct {
	// timeout is the silence after which a search begins, 0 for no search.
	timeout time.Duration
	// acquire waits for a target, spend takes a repeat from the retry budget and
	// reports whether there was one, release gives a granted target back, and
	// endAttempt ends the attempt.
	acquire    func(context.Context) (*grantedTarget, bool)
	spend      func() bool
	release    func(*grantedTarget)
	endAttempt func()

	mu    sync.Mutex
	timer *time.Timer
	// cancelSearch ends the search in progress, nil if there is none. searches
	// numbers the searches.
	cancelSearch context.CancelFunc
	searches     int
	// granted is the target that replaces the one of the attempt.
	granted *grantedTarget
	ended   bool
}

// start begins to watch for silence.
func (r *replacement) start() {
	if r.timeout <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(r.timeout, r.search)
}

// progressed records that the target sent an event. It ends a search in progress.
func (r *replacement) progressed() {
	if r.timeout <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.granted == nil && !r.ended {
		r.stopSearch()
		r.timer.Reset(r.timeout)
	}
}

// stopSearch ends the search in progress. r.mu must be held.
func (r *replacement) stopSearch() {
	if r.cancelSearch != nil {
		r.cancelSearch()
		r.cancelSearch = nil
	}
}

// search waits for another target and ends the attempt when there is one. Without
// one, the next search begins after another timeout.
func (r *replacement) search() {
	r.mu.Lock()
	if r.ended || r.cancelSearch != nil {
		r.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.searches++
	number := r.searches
	r.cancelSearch = cancel
	r.mu.Unlock()

	found, ok := r.acquire(ctx)

	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.cancelSearch != nil && r.searches == number
	if current {
		r.cancelSearch = nil
	}
	switch {
	case ok && current && r.spend():
		r.granted = found
		r.endAttempt()
		return
	case ok:
		r.release(found)
	}
	if current {
		r.timer.Reset(r.timeout)
	}
}

// end ends the watch with the attempt. It returns the target that replaces the one of
// the attempt, nil if there is none. A target that is no longer needed is released.
func (r *replacement) end(needed bool) *grantedTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.stopSearch()
	if r.timer != nil {
		r.timer.Stop()
	}
	granted := r.granted
	r.granted = nil
	if granted != nil && !needed {
		r.release(granted)
		return nil
	}
	return granted
}

// newReplacement returns the search for a target that replaces the one of the present
// attempt.
func (x *callerRequest) newReplacement(endAttempt func()) *replacement {
	timeout := attemptTimeout(x.route, &x.history)
	if !x.history.mayContinueAfterRun(x.route, x.remaining()) {
		timeout = 0
	}
	// The search may outlast the attempt, after which triedTargets changes.
	tried := x.triedTargets
	return &replacement{
		timeout: timeout, endAttempt: endAttempt,
		acquire: func(ctx context.Context) (*grantedTarget, bool) {
			grant, requestNumber, refused := x.h.Broker.Acquire(ctx, x.targetRequest(time.Now(), tried))
			if refused != nil {
				x.h.Metrics.Count("silent_attempts_kept")
				return nil, false
			}
			return &grantedTarget{grant: grant, requestNumber: requestNumber}, true
		},
		spend: func() bool {
			if x.remaining() < minAttemptTime || !x.h.RetryBudget.TrySpend(time.Now(), x.poolName) {
				x.h.Metrics.NotRetried(retry.StopBudget)
				return false
			}
			x.h.Metrics.Count("attempts_ended_by_silence")
			return true
		},
		release: func(g *grantedTarget) { x.h.Broker.Done(g.requestNumber, steering.Abandoned) },
	}
}
