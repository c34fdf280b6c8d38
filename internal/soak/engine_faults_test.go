package soak_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/knownred"
)

const (
	// A request whose prompt has the crashing part is sent every crashingPause during
	// a third of the faults.
	crashingPause = 250 * time.Millisecond
	// An engine is silent for minSilence to maxSilence.
	minSilence, maxSilence = time.Second, 1500 * time.Millisecond
	// maxRepeatedAnswers is how many answers to reports and orders an engine repeats at most.
	maxRepeatedAnswers = 20
	// silenceCheck is the name of checkSilence in KNOWN-RED.txt.
	silenceCheck = "soak a stream outlives the silence of its engine"
)

// callCrashing sends requests with the crashing part during a third of the faults.
func (s *soak) callCrashing(rng *rand.Rand, faultTime time.Duration) {
	time.Sleep(time.Duration(rng.Int63n(int64(faultTime) * 2 / 3)))
	for end := time.Now().Add(faultTime / 3); time.Now().Before(end); time.Sleep(crashingPause) {
		path := []string{"/query/x", "/brief/x"}[rng.Intn(2)]
		s.callWithParts(s.frontAddresses[rng.Intn(len(s.frontAddresses))], path, fmt.Sprintf("a%d", rng.Intn(12)), crashingPart)
	}
}

// silenceEngines makes one engine after the other silent, without another fault.
func (s *soak) silenceEngines() {
	for _, r := range s.engines {
		d := s.silence()
		r.Silence(d)
		time.Sleep(d + 200*time.Millisecond)
	}
}

func (s *soak) silence() time.Duration {
	return minSilence + time.Duration(s.partRng.Int63n(int64(maxSilence-minSilence)))
}

// checkSilence checks that no stream broke before its deadline after calm began, when
// engines were silent and nothing else was wrong.
func (s *soak) checkSilence(calm time.Time) {
	streams, report := 0, s.t.Errorf
	if knownred.Listed(silenceCheck) {
		report = s.t.Logf
	}
	for _, o := range s.outcomes {
		if (o.kind != "query" && o.kind != "brief") || o.status != http.StatusOK || o.sent.Before(calm) {
			continue
		}
		streams++
		if o.err != nil && o.took < callerTimeout-100*time.Millisecond {
			report("%s %s broke after %v while an engine was silent: %v", o.kind, o.id, o.took, o.err)
		}
	}
	crashes := 0
	for _, server := range s.engineServers {
		crashes += len(server.Crashes())
	}
	repeated := 0
	for _, r := range s.engines {
		repeated += r.RepeatedAnswers()
	}
	s.t.Logf("%d crashes of engines, %d streams while engines were silent, %d answers to reports and orders repeated", crashes, streams, repeated)
}
