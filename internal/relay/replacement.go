package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/steering"
)

// errSilent ends an attempt whose target was silent when another one got the request.
var errSilent = errors.New("no response or event in time; another target has the request")

// maxStreamOverlap bounds how long two targets have one stream, from the send to the second
// one. It is enough for that one to decline. A target must not work on a stream 400 ms after
// another one has begun to, also if that one has ended since, and the entry does not see the
// begin.
const maxStreamOverlap = 50 * time.Millisecond

// maxOverlap returns how long two targets may have a request, 0 for no bound. An answer that is
// no stream does not go on at the other target: both run the whole request, the first answer
// counts, and an idempotent request may run more than once.
func maxOverlap(route *catalog.Route) time.Duration {
	if route.Kind == catalog.Stream {
		return maxStreamOverlap
	}
	return 0
}

// grantedTarget is a target that the broker has granted to a request.
type grantedTarget struct {
	grant         steering.Grant
	requestNumber uint64
	// opened is the response that the target has begun, nil if the request was not sent
	// yet.
	opened *openedResponse
}

// replacement sends a request to another target while the target of an attempt is
// silent. Whatever the silent target sends before that ends the search. Without a
// maxOverlap the same holds until the other target answers, which ends the attempt. With
// one, the attempt ends once the request was sent and the silent target goes on, the other
// one answers or maxOverlap has passed, unless the other one has failed by then. The
// timers, the search and the attempt run in goroutines of their own; mu guards the fields
// below it.
type replacement struct {
	// ctx is that of the request.
	ctx context.Context
	// timeout is the silence after which a search begins, 0 for no search.
	timeout time.Duration
	// maxOverlap is how long two targets may have the request, 0 for no bound.
	maxOverlap time.Duration
	// mayReplace reports whether the request may go to another target, after failed
	// ones.
	mayReplace func(failed resend.Counts) bool
	// open sends the request to another target than those tried and waits until it
	// begins to answer. It calls sent just before the send. It returns nil if there is none
	// or it failed.
	open func(ctx context.Context, resumeAfter string, tried []string, sent func()) openOutcome
	// release gives up a target that has begun to answer, and endAttempt ends the
	// attempt.
	release    func(*grantedTarget)
	endAttempt func()

	mu    sync.Mutex
	timer *time.Timer
	// awaiting is true while the attempt waits for its target.
	awaiting    bool
	resumeAfter string
	// cancelSearch ends the search in progress, nil if there is none.
	cancelSearch context.CancelFunc
	// overlapTimer ends the attempt during the search in progress, then the search.
	overlapTimer *time.Timer
	// endedAttempt is true once the attempt was ended although no other target answered.
	endedAttempt bool
	// granted is the target that replaces the one of the attempt.
	granted *grantedTarget
	ended   bool
	// failed and tried are the sends to other targets that failed.
	failed resend.Counts
	tried  []string
	// searching is held by the search in progress.
	searching sync.WaitGroup
}

// openOutcome is the result of a search. target is nil if no other target answers.
type openOutcome struct {
	target     *grantedTarget
	tried      string // the target that failed, empty if the request was not sent
	mayHaveRun bool
	// brokeBeforeBegin is true if the target ended the connection.
	brokeBeforeBegin bool
}

// await begins to watch for silence. The stream continues at another target after the
// event with the ID resumeAfter.
func (r *replacement) await(resumeAfter string) {
	if r.timeout <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting, r.resumeAfter = true, resumeAfter
	if r.timer == nil {
		r.timer = time.AfterFunc(r.timeout, r.search)
	} else {
		r.timer.Reset(r.timeout)
	}
}

// arrived records that the target has sent something, and ends the watch and a search in
// progress. It returns false if another target has the request already: then what arrived
// must not be used.
func (r *replacement) arrived() bool {
	if r.timeout <= 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting = false
	r.timer.Stop()
	// The other target may have begun already.
	r.endSilentAttempt()
	if r.endedAttempt {
		return false
	}
	r.stopSearch()
	return r.granted == nil
}

// sentElsewhere begins to bound the time for which two targets have the request.
func (r *replacement) sentElsewhere() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxOverlap > 0 && r.cancelSearch != nil {
		r.overlapTimer = time.AfterFunc(r.maxOverlap, r.endOverlap)
	}
}

// endOverlap ends the attempt, because the other target has had the request for maxOverlap.
// The search goes on without it, for another timeout if the request may be sent once more.
func (r *replacement) endOverlap() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endSilentAttempt()
}

// endSilentAttempt ends the attempt if the other target has the request. r.mu must be held.
func (r *replacement) endSilentAttempt() {
	// Without a timer the search has ended, or has not sent the request.
	if r.endedAttempt || r.overlapTimer == nil {
		return
	}
	r.overlapTimer.Stop()
	if !r.ended {
		r.endedAttempt = true
		r.endAttempt()
	}
	failed := r.failed
	failed.Sends++
	failed.PossibleRuns++
	if r.endedAttempt || r.mayReplace(failed) {
		r.overlapTimer = time.AfterFunc(r.timeout, r.endSearch)
	}
}

// endSearch ends the search in progress.
func (r *replacement) endSearch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopSearch()
}

// stopSearch ends the search in progress. r.mu must be held.
func (r *replacement) stopSearch() {
	if r.cancelSearch != nil {
		r.cancelSearch()
		r.cancelSearch = nil
	}
	r.stopOverlapTimer()
}

// stopOverlapTimer stops the timer of the search that has ended. r.mu must be held.
func (r *replacement) stopOverlapTimer() {
	if r.overlapTimer != nil {
		r.overlapTimer.Stop()
		r.overlapTimer = nil
	}
}

// search sends the request to another target and ends the attempt if that one begins to
// answer. Otherwise the next search begins after another timeout.
func (r *replacement) search() {
	r.mu.Lock()
	if !r.awaiting || r.ended || r.endedAttempt || r.granted != nil || r.cancelSearch != nil || !r.mayReplace(r.failed) {
		r.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelSearch = cancel
	resumeAfter, tried := r.resumeAfter, r.tried
	r.searching.Add(1)
	r.mu.Unlock()
	defer r.searching.Done()

	found := r.open(ctx, resumeAfter, tried, r.sentElsewhere)

	r.mu.Lock()
	defer r.mu.Unlock()
	// A search that was ended has a cancelled context, also if another one has begun.
	cancelled := ctx.Err() != nil
	cancel()
	if found.tried != "" {
		r.tried = append(r.tried, found.tried)
		r.failed.Sends++
		if found.mayHaveRun {
			r.failed.PossibleRuns++
		}
		if found.brokeBeforeBegin {
			r.failed.BrokenBegins++
		}
	}
	switch {
	case cancelled && found.target != nil:
		r.tried = append(r.tried, found.target.grant.Target.ID)
		r.failed.Sends++
		r.failed.PossibleRuns++
		r.release(found.target)
		return
	case cancelled:
		return
	}
	r.cancelSearch = nil
	r.stopOverlapTimer()
	if found.target != nil {
		r.granted = found.target
		r.endAttempt()
		return
	}
	if !r.ended && !r.endedAttempt {
		r.timer.Reset(r.timeout)
	}
}

// finish ends the watch with the attempt. It returns the target that replaces the one of
// the attempt, nil if there is none. If the attempt failed, needed is true and a search
// in progress goes on to its end. A target that is not needed is released.
func (r *replacement) finish(needed bool) *grantedTarget {
	r.mu.Lock()
	r.ended = true
	if r.timer != nil {
		r.timer.Stop()
	}
	if !needed {
		r.stopSearch()
	}
	r.mu.Unlock()
	// The failed sends are counted after this.
	r.searching.Wait()
	granted := r.granted
	if granted != nil && !needed {
		r.release(granted)
		return nil
	}
	return granted
}

// watchedBody is the body of a response whose bytes end a silence.
type watchedBody struct {
	body    io.Reader
	silence *replacement
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.silence.await("")
	n, err := b.body.Read(p)
	if !b.silence.arrived() {
		return 0, errSilent
	}
	return n, err
}
