package soak_test

import (
	"math/rand"
	"strings"
	"time"
)

const (
	// The crashing request is sent every crashingRequestPause during a quarter of the
	// faults, and lateCalls times once they are over.
	crashingRequestPause = 300 * time.Millisecond
	lateCalls            = 20
	// maxLateCrashes is how often a request may crash a target once it has crashed three.
	maxLateCrashes = 3
)

// callCrashingRequest sends the request under which services crash during a quarter of the
// faults.
func (s *soak) callCrashingRequest(rng *rand.Rand, faultTime time.Duration) {
	time.Sleep(time.Duration(rng.Int63n(int64(faultTime) * 3 / 4)))
	for end := time.Now().Add(faultTime / 4); time.Now().Before(end); time.Sleep(crashingRequestPause) {
		s.call(s.frontAddresses[rng.Intn(len(s.frontAddresses))], crashingPath, "a1")
	}
}

// checkCrashingRequest checks that the crashing request is refused at all entries once the
// faults are over, and that sound requests are served then.
func (s *soak) checkCrashingRequest() {
	time.Sleep(contactTime)
	before, refused := s.serviceCrashes(), 0
	for i := range lateCalls {
		if o := s.call(s.frontAddresses[i%len(s.frontAddresses)], crashingPath, "a1"); strings.Contains(o.body, "request_quarantined") {
			refused++
		}
		time.Sleep(crashingRequestPause)
	}
	late := s.serviceCrashes() - before
	s.t.Logf("crashing request: %d crashes of services during the faults, %d afterwards, %d of %d calls refused", before, late, refused, lateCalls)
	if before >= 3 && late > maxLateCrashes {
		s.t.Errorf("the crashing request crashed %d services after the faults, %d before", late, before)
	}
	s.waitServing("after the crashing request")
}

// serviceCrashes returns how often services crashed under a request.
func (s *soak) serviceCrashes() (n int) {
	for _, server := range s.serviceServers {
		n += len(server.Crashes())
	}
	return n - int(s.causedCrashes.Load())
}
