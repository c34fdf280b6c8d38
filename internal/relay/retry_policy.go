package relay

import (
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

const (
	// For an idempotent request without a response another target is searched for
	// after attemptTimeoutFactor times its latency target, but no earlier than
	// minAttemptTimeout.
	attemptTimeoutFactor = 2.5
	minAttemptTimeout    = 250 * time.Millisecond
	// streamStallTimeout is how long a resumable stream may send no event before
	// another target is searched for. It is below minAbandonTimeout, the earliest
	// time at which callers abandon a stream.
	streamStallTimeout = 1300 * time.Millisecond
	// Callers abandon a stream that sends no event for the longest of
	// minAbandonTimeout, abandonLatencyFactor times the latency target and
	// abandonPauseFactor times the pause target.
	minAbandonTimeout    = 2 * time.Second
	abandonLatencyFactor = 4
	abandonPauseFactor   = 8
	// targetWaitShare is the share of the time until the caller abandons the
	// request that it may wait for a target. The rest is left to the engine
	// for the first event.
	targetWaitShare = 0.7
)

// history records what the attempts of a request have led to so far.
type history struct {
	// streamStarted is true once the header of a stream went to the caller.
	streamStarted bool
	// failureResponse is the last failure response of a target.
	failureResponse *heldResponse
	// lastCode is the code of the last failed attempt. While no target may have
	// run the request, a refusal by the broker replaces it.
	lastCode result.Code
	// requestedDelay is the retry delay that the last declining target or the
	// broker asked for.
	requestedDelay time.Duration
}

// wholeResponse is a response that was read to its end.
type wholeResponse struct {
	status int
	header http.Header
	body   [][]byte
}

// size returns the length of the body.
func (w *wholeResponse) size() (bytes int) {
	for _, part := range w.body {
		bytes += len(part)
	}
	return bytes
}

// refusalCode returns the code of a request that ends without a response from a
// target. lastCode is that of the last failure. A request that may have run is never
// reported as not run.
func refusalCode(mayHaveRun bool, lastCode result.Code, deadlineReached bool) result.Code {
	switch {
	case !mayHaveRun && lastCode != result.OK:
		return lastCode
	case !mayHaveRun:
		return result.DeadlinePassed
	case deadlineReached:
		return result.Cancelled
	}
	return result.AnswerCut
}

// attemptTimeout returns how long one attempt may go without a whole response, or
// a stream without an event, before another target is searched for. possibleRuns includes
// the attempt. It returns 0 for no timeout if the request may not be sent again.
func attemptTimeout(route *catalog.Route, possibleRuns int) time.Duration {
	if !route.Repeatable() || possibleRuns >= route.MaxAttempts {
		return 0
	}
	if route.Kind == catalog.Stream {
		return streamStallTimeout
	}
	return max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(route.LatencyTarget)))
}

// maxTargetWait returns how long a request may wait for a target.
func maxTargetWait(route *catalog.Route, remaining time.Duration) time.Duration {
	wait := remaining
	if route.Kind == catalog.Stream {
		abandonTimeout := max(minAbandonTimeout, abandonLatencyFactor*route.LatencyTarget, abandonPauseFactor*route.MaxEventGap)
		wait = min(wait, abandonTimeout)
	}
	return time.Duration(targetWaitShare * float64(wait))
}

const (
	// Retry-After is the requested delay times a random factor from
	// minRetryAfterFactor to minRetryAfterFactor + retryAfterFactorSpread. The
	// requested delay estimates the time until the requests that wait now are
	// admitted. Callers that return at the same time meet the same queue and are
	// refused again.
	minRetryAfterFactor    = 1.5
	retryAfterFactorSpread = 2.0
	// maxRetryAfterShare bounds Retry-After to a share of the time left to the
	// deadline. Callers do not follow a longer one.
	maxRetryAfterShare = 1.0 / 3
	// minRetryAfter is the shortest Retry-After of a refused request.
	minRetryAfter = 20 * time.Millisecond
)

// callerRetryAfter returns the Retry-After of a refused request. requestedDelay is
// the delay that a target or the broker asked for, remaining the time left to the
// deadline, random a uniform number in [0, 1).
func callerRetryAfter(requestedDelay, remaining time.Duration, random float64) time.Duration {
	retryAfter := time.Duration((minRetryAfterFactor + retryAfterFactorSpread*random) * float64(requestedDelay))
	return max(minRetryAfter, min(retryAfter, time.Duration(maxRetryAfterShare*float64(remaining))))
}

// httpStatus returns the HTTP status of a refusal by the entry itself. Only a
// request that did not run gets a status that promises so.
func httpStatus(code result.Code, mayHaveRun bool) int {
	switch code {
	case result.PromptQuarantined, result.RequestQuarantined:
		if mayHaveRun {
			return http.StatusBadGateway
		}
	case result.Cancelled:
		return http.StatusGatewayTimeout
	case result.AnswerCut:
		return http.StatusBadGateway
	}
	return code.Info().HTTP
}
