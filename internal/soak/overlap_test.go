package soak_test

import (
	"math/rand"
	"slices"
	"sync"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// muteTime is how long streams fall silent and begin late without another fault.
	muteTime = 4 * time.Second
	// mutePause is the time between two such streams, and lateFirstEvent how late their first
	// event is.
	mutePause      = 50 * time.Millisecond
	lateFirstEvent = 900 * time.Millisecond
	// muteCallers is the number of further callers of streams that may go on elsewhere.
	muteCallers = 24
	// maxOverlap is how long a target may work on a stream after another one has begun to.
	maxOverlap = 400 * time.Millisecond
)

// muteStreams makes engines fall silent in streams, for good or for some time, and send their
// first events late, without another fault.
func (s *soak) muteStreams(rng *rand.Rand) {
	end := time.Now().Add(muteTime)
	var callers sync.WaitGroup
	for i := range muteCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				s.call(s.frontAddresses[i%len(s.frontAddresses)], "/query/x", "a1")
			}
		})
	}
	defer callers.Wait()
	for ; time.Now().Before(end); time.Sleep(mutePause) {
		s.engines[rng.Intn(engineCount)].InjectFaults(standin.Mute)
		s.engines[rng.Intn(engineCount)].InjectFaults([]standin.Fault{standin.EarlyPause, standin.Pause, standin.Hang}[rng.Intn(3)])
	}
	for _, e := range s.engines {
		e.ClearFaults()
	}
}

// checkOverlaps checks what targets saw of streams from begin to end: none worked on a stream
// for longer than maxOverlap after another one had begun to.
func (s *soak) checkOverlaps(runs map[string][]standin.Run, begin, end time.Time) {
	moved, longest := 0, time.Duration(0)
	for id, list := range runs {
		slices.SortFunc(list, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
		if len(list) < 2 || list[0].Started.Before(begin) || list[0].Started.After(end) || s.kinds[id] != "query" {
			continue
		}
		moved++
		for i, earlier := range list {
			for _, later := range list[i+1:] {
				stopped := earlier.Stopped
				if stopped.IsZero() {
					stopped = time.Now()
				}
				if !later.Dropped && later.Stopped.Before(stopped) {
					stopped = later.Stopped
				}
				overlap := stopped.Sub(later.Started)
				longest = max(longest, overlap)
				if overlap > maxOverlap {
					s.t.Errorf("%s was worked on at %s for %v after %s had begun to", id, earlier.Replica, overlap, later.Replica)
				}
			}
		}
	}
	s.t.Logf("%d streams went on at another engine while engines were mute, at most %v at two", moved, longest.Round(time.Millisecond))
}
