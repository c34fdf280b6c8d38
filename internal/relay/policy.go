package relay

import (
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

const (
	// answerFactor is the multiple of its latency target after which an
	// idempotent request without an answer goes to another target.
	answerFactor = 2.5
	leastAnswer  = 250 * time.Millisecond
	// streamStall is how long a resumable stream may give no event before it
	// continues at another target. Callers abandon a stream after 2 s.
	streamStall = 1300 * time.Millisecond
	// extraDeclines is how many more targets than the route's attempts are
	// tried if targets decline without running the request.
	extraDeclines = 2
	// leastLeft is the time below which another attempt is useless.
	leastLeft = 40 * time.Millisecond
	// Callers abandon a stream that gives no event for the longest of
	// abandonLeast, 4 times the latency target and 8 times the pause target.
	abandonLeast   = 2 * time.Second
	abandonLatency = 4
	abandonPause   = 8
	// waitShare is the share of the time until then that a request waits for
	// a target, so that the engine has time for the first event.
	waitShare = 0.7
)

// history is what has happened to a request so far.
type history struct {
	// sends counts the targets that got the request, ran those that may have
	// run it.
	sends int
	ran   int
	// delivered is true once a part of the answer went to the caller.
	delivered bool
	// failure is the last failure that a target answered.
	failure *wholeAnswer
	// cause is the code of the last attempt.
	cause result.Code
	// retryAfter is the advice of a target that declined.
	retryAfter time.Duration
}

// wholeAnswer is an answer that was read in full.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// mayTryAgain tells whether a request may go to another target after its last
// attempt. It says nothing of the retry budget.
func (h *history) mayTryAgain(route *catalog.Route, left time.Duration, lastRan bool) bool {
	switch {
	case left < leastLeft:
		return false
	case h.ran >= route.MaxAttempts:
		return false
	case h.sends >= route.MaxAttempts+extraDeclines:
		return false
	case lastRan || h.ran > 0:
		return route.Repeatable()
	}
	return true
}

// refusal is the code with which a request ends that has no answer. One that
// may have run is never reported as not run.
func (h *history) refusal(late bool) result.Code {
	switch {
	case h.ran == 0 && h.cause != result.OK:
		return h.cause
	case h.ran == 0:
		return result.DeadlinePassed
	case late:
		return result.Cancelled
	}
	return result.AnswerCut
}

// attemptLimit is how long one attempt may go without an answer, of a stream
// without an event, before the request goes elsewhere. It is 0 if nothing else
// can be tried.
func attemptLimit(route *catalog.Route, h *history) time.Duration {
	if !route.Repeatable() || h.ran+1 >= route.MaxAttempts {
		return 0
	}
	if route.Kind == catalog.Stream {
		return streamStall
	}
	return max(leastAnswer, time.Duration(answerFactor*float64(route.LatencyTarget)))
}

// waitLimit is how long a request may wait for a target.
func waitLimit(route *catalog.Route, left time.Duration) time.Duration {
	patience := left
	if route.Kind == catalog.Stream {
		abandon := max(abandonLeast, abandonLatency*route.LatencyTarget, abandonPause*route.PauseTarget)
		patience = min(patience, abandon)
	}
	return time.Duration(waitShare * float64(patience))
}

const (
	// returnLeast and returnSpread spread the callers of an overload over a
	// multiple of the time in which the present queue is served. Callers that
	// come back together meet the same queue and are refused again.
	returnLeast  = 1.5
	returnSpread = 2.0
	// returnShare is the part of the time left up to which callers follow the
	// advice.
	returnShare = 1.0 / 3
	// returnMin is the least advice of a refused request.
	returnMin = 20 * time.Millisecond
)

// returnAfter is when a refused caller should come back; queue is the time in
// which the present queue is served, draw is uniform in [0, 1).
func returnAfter(queue, left time.Duration, draw float64) time.Duration {
	after := time.Duration((returnLeast + returnSpread*draw) * float64(queue))
	return max(returnMin, min(after, time.Duration(returnShare*float64(left))))
}

// status is the HTTP status of the system's own refusals. Only a request that
// did not run gets one that promises so.
func status(code result.Code) int {
	switch code {
	case result.Cancelled:
		return http.StatusGatewayTimeout
	case result.AnswerCut:
		return http.StatusBadGateway
	}
	return code.Info().HTTP
}
