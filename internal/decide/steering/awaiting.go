package steering

import (
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// firstReportTimeout is how long after the session was requested a request
	// may wait for the first report of a target process. An entry that has just
	// started cannot select an engine before that report.
	firstReportTimeout = 600 * time.Millisecond
	// maxReadyWait is how long a request waits for an engine to become ready if
	// none is. By their data sheets, engines that start without a base model
	// load one in 0.6 to 1.6 s. Most callers retry only once, and a refused one
	// would retry while the engines are still loading.
	maxReadyWait = 2 * time.Second
)

// mayBecomeAvailable reports whether an engine that can take the request is
// expected shortly.
func (s *Steering) mayBecomeAvailable(now time.Time, r *request) bool {
	for _, listed := range s.view.Pools[r.Pool] {
		t, ok := s.targets[listed.ID]
		if !ok || !s.isUsable(now, t, r) || !t.sessionRequested {
			continue
		}
		if t.reportedAt.IsZero() && now.Sub(t.sessionRequestedAt) < firstReportTimeout {
			return true
		}
		// If another engine has already refused the request, the request does
		// not wait for one that is not ready.
		if t.sessionOpen && t.report.NotReady && r.attempts == 0 && now.Sub(r.requestedAt) < maxReadyWait {
			return true
		}
	}
	return false
}

// placeAwaiting tries again to select an engine for the requests that wait for
// one.
func (s *Steering) placeAwaiting(now time.Time) {
	waiting := s.awaitingEngine
	s.awaitingEngine = nil
	for _, r := range waiting {
		if !now.Before(r.Deadline) {
			s.refuse(r, result.DeadlinePassed, minRetryAfter)
			continue
		}
		s.reserveBestEngine(now, r)
	}
}
